//! The TCP edge: fetches the parts of a revision from a peer that holds it. Contents are checked by
//! digest by the caller; the frames are signed like datagrams, so that strangers learn nothing.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::wire::{Keys, TAG_BYTES};

/// Largest message, in bytes: a whole configuration with room to grow.
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;
/// Largest request, in bytes.
const MAX_REQUEST_BYTES: usize = 1024 * 1024;
/// Time for one fetch.
const LIMIT: Duration = Duration::from_secs(10);
/// Fetches served at once.
const MAX_SERVED: usize = 16;

/// Asks for the revision that a peer holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FetchRequest {
    /// Digests of the parts that are here already.
    pub have: Vec<[u8; 32]>,
}

/// A revision as bytes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Bundle {
    /// The manifest as the platform gave it.
    pub manifest: Vec<u8>,
    /// The parts; in an answer only those that the asker lacks.
    pub parts: Vec<Vec<u8>>,
}

/// What a fetch brought.
pub type Fetched = Result<Bundle, FetchError>;

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

/// Fetches the revision that the peer at `addr` holds, without the parts in `have`.
pub async fn fetch(addr: SocketAddr, keys: &Keys, have: Vec<[u8; 32]>) -> Fetched {
    let exchange = async {
        let mut stream = TcpStream::connect(addr).await?;
        write(&mut stream, keys, &FetchRequest { have }).await?;
        read(&mut stream, keys, MAX_MESSAGE_BYTES).await
    };
    timeout(LIMIT, exchange).await.map_err(|_| FetchError::Timeout)?
}

/// Serves fetches for ever. `bundle` gives what is held now, less the parts named.
pub async fn serve_fetches(
    listener: TcpListener,
    keys: impl Fn() -> Keys + Clone + Send + 'static,
    bundle: impl Fn(&[[u8; 32]]) -> Bundle + Clone + Send + 'static,
) {
    let permits = std::sync::Arc::new(tokio::sync::Semaphore::new(MAX_SERVED));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else { continue };
        let (keys, bundle) = (keys.clone(), bundle.clone());
        tokio::spawn(async move {
            let _ = timeout(LIMIT, answer(stream, keys(), bundle)).await;
            drop(permit);
        });
    }
}

async fn answer(
    mut stream: TcpStream,
    keys: Keys,
    bundle: impl Fn(&[[u8; 32]]) -> Bundle,
) -> Result<(), FetchError> {
    let req: FetchRequest = read(&mut stream, &keys, MAX_REQUEST_BYTES).await?;
    write(&mut stream, &keys, &bundle(&req.have)).await
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
