//! The TCP edge: fetches from a peer what it knows of the platform, the configuration and the
//! endpoints. Messages are signed like datagrams, so that strangers learn nothing.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use resources::RegistryChange;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::replica::Facts;
use crate::wire::{Keys, TAG_BYTES};

/// Largest message, in bytes: a whole configuration with room to grow.
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;
/// Largest request, in bytes.
const MAX_REQUEST_BYTES: usize = 1024;
/// Time for one fetch.
const LIMIT: Duration = Duration::from_secs(2);
/// Fetches served at once.
const MAX_SERVED: usize = 16;

/// Asks a peer for what it knows of the platform.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct FetchRequest {
    /// How new the asker's copy is.
    have: Facts,
}

/// What a peer knows that the asker lacks.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Bundle {
    /// The configuration as JSON, if it is newer.
    pub document: Option<Vec<u8>>,
    /// The platform's revision of the latest change that is known.
    pub revision: u64,
    /// The platform's revision up to which the endpoints are complete.
    pub complete_to: u64,
    /// All endpoints.
    pub endpoints: Vec<RegistryChange>,
}

/// Why a fetch failed. Another peer will be asked.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// The connection failed.
    #[error("the peer cannot be reached ({0}): check that TCP between VMs passes")]
    Io(#[from] io::Error),
    /// It took too long.
    #[error("the peer did not answer within {LIMIT:?}: another one will be asked")]
    Timeout,
    /// The answer is not signed with the fleet's key, or cannot be read.
    #[error("the peer's answer cannot be trusted: check that all nodes hold the same key")]
    Untrusted,
}

/// Fetches what the peer at `addr` knows beyond `have`.
pub async fn fetch(addr: SocketAddr, keys: &Keys, have: Facts) -> Result<Bundle, FetchError> {
    let exchange = async {
        let mut stream = TcpStream::connect(addr).await?;
        write(&mut stream, keys, &FetchRequest { have }).await?;
        read(&mut stream, keys, MAX_MESSAGE_BYTES).await
    };
    timeout(LIMIT, exchange).await.map_err(|_| FetchError::Timeout)?
}

/// Serves fetches for ever. `bundle` gives what is known now beyond the asker's copy.
pub async fn serve_fetches<Fut>(
    listener: TcpListener,
    keys: Keys,
    bundle: impl Fn(Facts) -> Fut + Clone + Send + Sync + 'static,
) where
    Fut: Future<Output = Bundle> + Send,
{
    let permits = std::sync::Arc::new(tokio::sync::Semaphore::new(MAX_SERVED));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else { continue };
        let (keys, bundle) = (keys.clone(), bundle.clone());
        tokio::spawn(async move {
            // The asker notices a fetch that fails and asks elsewhere.
            let _ = timeout(LIMIT, answer(stream, keys, bundle)).await;
            drop(permit);
        });
    }
}

async fn answer<Fut: Future<Output = Bundle>>(
    mut stream: TcpStream,
    keys: Keys,
    bundle: impl Fn(Facts) -> Fut,
) -> Result<(), FetchError> {
    let req: FetchRequest = read(&mut stream, &keys, MAX_REQUEST_BYTES).await?;
    let bundle = bundle(req.have).await;
    write(&mut stream, &keys, &bundle).await
}

async fn write(
    stream: &mut TcpStream,
    keys: &Keys,
    message: &impl Serialize,
) -> Result<(), FetchError> {
    let body = postcard::to_stdvec(message).map_err(|_| FetchError::Untrusted)?;
    stream.write_u32((TAG_BYTES + body.len()) as u32).await?;
    stream.write_all(&keys.sign(&body)).await?;
    stream.write_all(&body).await?;
    Ok(())
}

async fn read<T: DeserializeOwned>(
    stream: &mut TcpStream,
    keys: &Keys,
    max: usize,
) -> Result<T, FetchError> {
    let n = stream.read_u32().await? as usize;
    if n <= TAG_BYTES || n > max {
        return Err(FetchError::Untrusted);
    }
    // The buffer grows with what arrives, so a stranger's length reserves no memory.
    let mut buf = Vec::new();
    stream.take(n as u64).read_to_end(&mut buf).await?;
    if buf.len() != n || !keys.accept(&buf[..TAG_BYTES], &buf[TAG_BYTES..]) {
        return Err(FetchError::Untrusted);
    }
    postcard::from_bytes(&buf[TAG_BYTES..]).map_err(|_| FetchError::Untrusted)
}
