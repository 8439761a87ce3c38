//! The TCP edge: fetches from a peer what it knows of the platform, the configuration and the
//! endpoints. Messages are signed like datagrams, so that strangers learn nothing.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

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

/// What a fetch brought.
#[derive(Clone, Debug)]
pub struct Fetched {
    /// What the peer knows.
    pub bundle: Bundle,
    /// Its length in bytes.
    pub bytes: usize,
}

/// Something was sent to a peer that fetched it.
#[derive(Clone, Copy, Debug)]
pub struct ServedFetch {
    /// The peer.
    pub peer: SocketAddr,
    /// Bytes of the answer.
    pub bytes: usize,
    /// Whether all of it was taken in time.
    pub is_whole: bool,
    /// Fetches that were being served when this one ended, itself included.
    pub at_once: usize,
    /// From the connection to its end.
    pub took: Duration,
}

/// Fetches what the peer at `addr` knows beyond `have`.
pub async fn fetch(addr: SocketAddr, keys: &Keys, have: Facts) -> Result<Fetched, FetchError> {
    let exchange = async {
        let mut stream = TcpStream::connect(addr).await?;
        write(&mut stream, keys, &FetchRequest { have }).await?;
        let (bundle, bytes) = read(&mut stream, keys, MAX_MESSAGE_BYTES).await?;
        Ok(Fetched { bundle, bytes })
    };
    timeout(LIMIT, exchange).await.map_err(|_| FetchError::Timeout)?
}

/// Serves fetches for ever. `bundle` gives what is known now beyond the asker's copy; `served` is told
/// of each fetch that was answered.
pub async fn serve_fetches<Fut>(
    listener: TcpListener,
    keys: Keys,
    bundle: impl Fn(Facts) -> Fut + Clone + Send + Sync + 'static,
    served: impl Fn(ServedFetch) + Clone + Send + Sync + 'static,
) where
    Fut: Future<Output = Bundle> + Send,
{
    let permits = std::sync::Arc::new(tokio::sync::Semaphore::new(MAX_SERVED));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let Ok((stream, peer)) = listener.accept().await else { continue };
        let (keys, bundle, served) = (keys.clone(), bundle.clone(), served.clone());
        let permits = permits.clone();
        tokio::spawn(async move {
            let since = Instant::now();
            let mut bytes = 0;
            // The asker notices a fetch that fails and asks elsewhere.
            let ended = timeout(LIMIT, answer(stream, keys, bundle, &mut bytes)).await;
            served(ServedFetch {
                peer,
                bytes,
                is_whole: matches!(ended, Ok(Ok(()))),
                at_once: MAX_SERVED - permits.available_permits(),
                took: since.elapsed(),
            });
            drop(permit);
        });
    }
}

async fn answer<Fut: Future<Output = Bundle>>(
    mut stream: TcpStream,
    keys: Keys,
    bundle: impl Fn(Facts) -> Fut,
    bytes: &mut usize,
) -> Result<(), FetchError> {
    let (req, _) = read::<FetchRequest>(&mut stream, &keys, MAX_REQUEST_BYTES).await?;
    let bundle = bundle(req.have).await;
    *bytes = write(&mut stream, &keys, &bundle).await?;
    // Written is not taken: the asker closes when it has all of it.
    let _ = stream.read(&mut [0]).await;
    Ok(())
}

async fn write(
    stream: &mut TcpStream,
    keys: &Keys,
    message: &impl Serialize,
) -> Result<usize, FetchError> {
    let body = postcard::to_stdvec(message).map_err(|_| FetchError::Untrusted)?;
    stream.write_u32((TAG_BYTES + body.len()) as u32).await?;
    stream.write_all(&keys.sign(&body)).await?;
    stream.write_all(&body).await?;
    Ok(body.len())
}

async fn read<T: DeserializeOwned>(
    stream: &mut TcpStream,
    keys: &Keys,
    max: usize,
) -> Result<(T, usize), FetchError> {
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
    let message = postcard::from_bytes(&buf[TAG_BYTES..]).map_err(|_| FetchError::Untrusted)?;
    Ok((message, n))
}
