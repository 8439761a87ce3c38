//! Tunnels: connections of one node to an endpoint that lead through another node.
//!
//! A node that does not reach an endpoint asks a peer for a tunnel. The peer connects to the endpoint
//! and then passes bytes in both directions; it never opens a tunnel of its own for that, so that
//! tunnels form no loops. The asking node remains responsible for the request: nothing is written to
//! the endpoint before the peer has confirmed the connection.
//!
//! Bytes from the endpoint travel in frames, each with its length. The end of the endpoint's connection
//! is a frame of its own, because the loss of the peer must not look like the end of an answer. A peer
//! without data sends keep-alives, so that its loss is noticed.

mod server;
mod stream;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use resources::Name;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

pub use self::server::{Gateway, Tunnels};
pub use self::stream::TunnelStream;
use crate::fetch::{FetchError, read_message, write_message};
use crate::wire::Keys;

/// Opens a tunnel, in place of the length of a fetch. It is longer than any fetch, so that builds without
/// tunnels refuse it.
pub(crate) const PREFACE: u32 = u32::from_be_bytes(*b"dwt1");
/// Largest message before the tunnel is open, in bytes.
const MAX_MESSAGE_BYTES: usize = 1024;
/// Length value of a keep-alive frame.
const KEEP_ALIVE: u16 = u16::MAX;
/// Interval of keep-alives.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(250);
/// A tunnel whose peer sends nothing for this long has failed.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Chosen by the peer for each tunnel, so that a recorded request opens no other one.
type Nonce = [u8; 16];

/// The endpoint that a tunnel leads to. Nodes may reach an endpoint at different addresses, so it is
/// given by its identity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TunnelTarget {
    /// Hash of the service's name.
    pub service: u64,
    /// Identity of the endpoint.
    pub endpoint: Name,
    /// Start of the endpoint's incarnation, in Unix milliseconds.
    pub started_ms: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct TunnelRequest {
    nonce: Nonce,
    target: TunnelTarget,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct TunnelReply {
    nonce: Nonce,
    result: Result<(), TunnelRefusal>,
}

/// Why a peer opens no tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum TunnelRefusal {
    /// The peer has too many tunnels open, or is shutting down.
    #[error("the peer takes no tunnels now")]
    Busy,
    /// The peer does not know the endpoint.
    #[error("the peer does not know the endpoint")]
    Unknown,
    /// The peer knows that the endpoint takes no more requests.
    #[error("the endpoint takes no more requests")]
    Closed,
    /// The peer did not reach the endpoint, but cannot rule out that its own path has failed.
    #[error("the peer does not reach the endpoint, and perhaps no other one")]
    NoPath,
    /// The endpoint refuses connections of the peer, which reaches other endpoints.
    #[error("the endpoint refuses connections")]
    Refused,
    /// The endpoint does not answer the peer, which reaches other endpoints.
    #[error("the endpoint does not answer")]
    Silent,
}

/// Why no tunnel was opened.
#[derive(Debug, thiserror::Error)]
pub enum TunnelError {
    /// The peer refused.
    #[error(transparent)]
    Refused(#[from] TunnelRefusal),
    /// The peer cannot be reached.
    #[error("the peer cannot be reached ({0})")]
    Io(#[from] io::Error),
    /// The peer's messages are not signed with the fleet's key or cannot be decoded.
    #[error("the peer's messages are unsigned or malformed: check that all nodes use the same key")]
    Untrusted,
    /// The peer did not answer in time.
    #[error("the peer did not answer in time")]
    Timeout,
}

impl From<FetchError> for TunnelError {
    fn from(it: FetchError) -> Self {
        match it {
            FetchError::Io(error) => Self::Io(error),
            FetchError::Timeout => Self::Timeout,
            FetchError::Busy => Self::Refused(TunnelRefusal::Busy),
            FetchError::Untrusted => Self::Untrusted,
        }
    }
}

/// Opens a tunnel to an endpoint through the peer at `peer` within `limit`.
pub async fn open_tunnel(
    peer: SocketAddr,
    keys: &Keys,
    target: &TunnelTarget,
    limit: Duration,
) -> Result<TunnelStream, TunnelError> {
    timeout(limit, open(peer, keys, target)).await.map_err(|_| TunnelError::Timeout)?
}

async fn open(
    peer: SocketAddr,
    keys: &Keys,
    target: &TunnelTarget,
) -> Result<TunnelStream, TunnelError> {
    let mut stream = TcpStream::connect(peer).await?;
    stream.set_nodelay(true)?;
    stream.write_u32(PREFACE).await?;
    let mut nonce = Nonce::default();
    stream.read_exact(&mut nonce).await?;
    write_message(&mut stream, keys, &TunnelRequest { nonce, target: target.clone() }).await?;
    let reply: TunnelReply = read_message(&mut stream, keys, MAX_MESSAGE_BYTES).await?;
    if reply.nonce != nonce {
        return Err(TunnelError::Untrusted);
    }
    reply.result?;
    Ok(TunnelStream::new(stream))
}

fn new_nonce() -> Nonce {
    rand::rng().random()
}
