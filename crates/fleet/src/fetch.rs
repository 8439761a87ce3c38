//! TCP transport: fetches from a peer what it knows of the platform, the configuration and the
//! endpoints. Connections for tunnels arrive at the same address. Messages are signed like datagrams,
//! so that nodes without the key learn nothing.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;

use crate::backlog::Backlog;
use crate::bundle::Bundle;
use crate::tunnel::{self, Gateway, Tunnels};
use crate::wire::{Features, Keys, NodeInfo, TAG_BYTES};

/// Largest answer in bytes: a complete configuration with space to grow.
const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;
/// Largest request in bytes.
const MAX_REQUEST_BYTES: usize = 1024;
/// Time limit of one fetch.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// A peer that sends nothing for this long is given up. A peer answers at once, at least that it is
/// busy.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of concurrent connections; the backlog decides how many of them get an answer.
const MAX_CONNECTIONS: usize = 64;

/// Answer of the peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum FetchAnswer {
    /// What the asking node misses.
    Bundle(Bundle),
    /// The peer is too busy sending to others.
    Busy,
}

/// Reason for which a fetch failed.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// The connection failed.
    #[error(
        "the peer cannot be reached ({0}): check that TCP connections between the VMs are allowed"
    )]
    Io(#[from] io::Error),
    /// The peer stopped sending.
    #[error("the peer stopped sending: another peer will be asked")]
    Timeout,
    /// The link of the peer is busy with answers to others.
    #[error("the peer is busy serving other nodes: the platform is read instead")]
    Busy,
    /// The answer is not signed with the fleet's key or cannot be decoded.
    #[error("the peer's answer is unsigned or malformed: check that all nodes use the same key")]
    Untrusted,
}

/// Result of a fetch.
#[derive(Clone, Debug)]
pub struct Fetched {
    /// What the peer knows.
    pub bundle: Bundle,
    /// Length of the answer in bytes.
    pub bytes: usize,
}

/// Describes a fetch that this node has served.
#[derive(Clone, Copy, Debug)]
pub struct ServedFetch {
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Length of the answer in bytes.
    pub bytes: usize,
    /// How the fetch ended.
    pub outcome: ServedOutcome,
    /// Bytes in flight to other peers when it ended.
    pub in_flight: usize,
    /// Time from the connection to its end.
    pub took: Duration,
}

/// How a served fetch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServedOutcome {
    /// The asking node has received the complete answer.
    Complete,
    /// The asking node was refused because too many bytes are in flight.
    Busy,
    /// The connection broke off.
    Broken,
}

impl ServedOutcome {
    /// Short name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Complete => "whole",
            Self::Busy => "busy",
            Self::Broken => "broken",
        }
    }
}

/// Fetches what the peer at `addr` knows beyond the copy of `asker`, the local node.
pub async fn fetch(addr: SocketAddr, keys: &Keys, asker: NodeInfo) -> Result<Fetched, FetchError> {
    let exchange = async {
        let mut stream =
            with_silence_timeout(async { Ok(TcpStream::connect(addr).await?) }).await?;
        write(&mut stream, keys, &encode(&asker, &[asker])?).await?;
        let answer = read(&mut stream, keys, MAX_MESSAGE_BYTES).await?;
        match answer.message {
            FetchAnswer::Bundle(mut bundle) => {
                Features::apply(&mut bundle.members, &answer.features);
                Ok(Fetched { bundle, bytes: answer.bytes })
            }
            FetchAnswer::Busy => Err(FetchError::Busy),
        }
    };
    timeout(FETCH_TIMEOUT, exchange).await.map_err(|_| FetchError::Timeout)?
}

/// Serves fetches until its task is dropped, as many as `backlog` admits, and passes connections for
/// tunnels on to `tunnels`. `bundle` returns what is known beyond the copy of the asking node; `served`
/// is called with every fetch that has ended.
pub async fn serve_peers<Fut, G: Gateway>(
    listener: TcpListener,
    keys: Keys,
    backlog: Arc<Backlog>,
    bundle: impl Fn(NodeInfo) -> Fut + Clone + Send + Sync + 'static,
    served: impl Fn(ServedFetch) + Clone + Send + Sync + 'static,
    tunnels: Tunnels<G>,
) where
    Fut: Future<Output = Bundle> + Send,
{
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let Ok((stream, peer)) = listener.accept().await else { continue };
        let (keys, backlog) = (keys.clone(), backlog.clone());
        let (bundle, served, tunnels) = (bundle.clone(), served.clone(), tunnels.clone());
        tokio::spawn(async move {
            let start = Instant::now();
            let mut stream = stream;
            let length = match read_length(&mut stream).await {
                Ok(tunnel::PREFACE) => return tunnels.spawn(stream),
                it => it,
            };
            let serve = async { serve(stream, length?, &keys, &backlog, bundle).await };
            // The asking node notices a failed fetch and asks another peer.
            let result = timeout(FETCH_TIMEOUT, serve).await;
            let (outcome, bytes) = match result {
                Ok(Ok(it)) => it,
                _ => (ServedOutcome::Broken, 0),
            };
            let (took, in_flight) = (start.elapsed(), backlog.in_flight());
            served(ServedFetch { peer, bytes, outcome, in_flight, took });
            drop(permit);
        });
    }
}

async fn serve<Fut: Future<Output = Bundle>>(
    mut stream: TcpStream,
    length: u32,
    keys: &Keys,
    backlog: &Arc<Backlog>,
    bundle: impl Fn(NodeInfo) -> Fut,
) -> Result<(ServedOutcome, usize), FetchError> {
    let request = read_rest::<NodeInfo>(&mut stream, length, keys, MAX_REQUEST_BYTES).await?;
    let mut asker = request.message;
    Features::apply(std::slice::from_mut(&mut asker), &request.features);
    let bundle = bundle(asker).await;
    let members = bundle.members.clone();
    let body = encode(&FetchAnswer::Bundle(bundle), &members)?;
    let Some(_admitted) = backlog.admit(body.len()) else {
        write(&mut stream, keys, &encode(&FetchAnswer::Busy, &[])?).await?;
        return Ok((ServedOutcome::Busy, 0));
    };
    write(&mut stream, keys, &body).await?;
    // Written bytes may still wait for the link; the asking node closes the connection when it has
    // received all of them.
    let _ = stream.read(&mut [0]).await;
    Ok((ServedOutcome::Complete, body.len()))
}

/// Encodes a message. The features of the nodes in it follow behind it, as in frames, because
/// builds that know no features ignore what follows a message.
fn encode(message: &impl Serialize, nodes: &[NodeInfo]) -> Result<Vec<u8>, FetchError> {
    let mut body = postcard::to_stdvec(message).map_err(|_| FetchError::Untrusted)?;
    body.extend(Features::of(nodes));
    Ok(body)
}

async fn write(stream: &mut TcpStream, keys: &Keys, body: &[u8]) -> Result<(), FetchError> {
    stream.write_u32((TAG_BYTES + body.len()) as u32).await?;
    stream.write_all(&keys.sign(body)).await?;
    stream.write_all(body).await?;
    Ok(())
}

/// A received message.
struct Received<T> {
    message: T,
    /// The bytes behind the message: the features of the nodes in it.
    features: Vec<u8>,
    /// Length in bytes.
    bytes: usize,
}

/// Reads a message.
async fn read<T: DeserializeOwned>(
    stream: &mut TcpStream,
    keys: &Keys,
    max: usize,
) -> Result<Received<T>, FetchError> {
    let length = read_length(stream).await?;
    read_rest(stream, length, keys, max).await
}

async fn read_length(stream: &mut TcpStream) -> Result<u32, FetchError> {
    with_silence_timeout(async { Ok(stream.read_u32().await?) }).await
}

/// Reads a message whose length was read.
async fn read_rest<T: DeserializeOwned>(
    stream: &mut TcpStream,
    length: u32,
    keys: &Keys,
    max: usize,
) -> Result<Received<T>, FetchError> {
    let n = length as usize;
    if n <= TAG_BYTES || n > max {
        return Err(FetchError::Untrusted);
    }
    // The buffer grows with the received bytes, so a forged length reserves no memory.
    let mut buf = Vec::new();
    let mut remaining = stream.take(n as u64);
    while with_silence_timeout(async { Ok(remaining.read_buf(&mut buf).await?) }).await? > 0 {}
    if buf.len() != n || !keys.verify(&buf[..TAG_BYTES], &buf[TAG_BYTES..]) {
        return Err(FetchError::Untrusted);
    }
    let (message, features) =
        postcard::take_from_bytes(&buf[TAG_BYTES..]).map_err(|_| FetchError::Untrusted)?;
    Ok(Received { message, features: features.to_vec(), bytes: n })
}

/// Writes a message that carries no node states.
pub(crate) async fn write_message(
    stream: &mut TcpStream,
    keys: &Keys,
    message: &impl Serialize,
) -> Result<(), FetchError> {
    write(stream, keys, &encode(message, &[])?).await
}

/// Reads such a message.
pub(crate) async fn read_message<T: DeserializeOwned>(
    stream: &mut TcpStream,
    keys: &Keys,
    max: usize,
) -> Result<T, FetchError> {
    Ok(read(stream, keys, max).await?.message)
}

async fn with_silence_timeout<T>(
    operation: impl Future<Output = Result<T, FetchError>>,
) -> Result<T, FetchError> {
    timeout(SILENCE_TIMEOUT, operation).await.map_err(|_| FetchError::Timeout)?
}
