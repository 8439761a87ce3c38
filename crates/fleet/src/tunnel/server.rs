//! The peer's side of a tunnel.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::runtime::Handle;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use super::{
    KEEP_ALIVE, KEEP_ALIVE_INTERVAL, MAX_MESSAGE_BYTES, SILENCE_TIMEOUT, TunnelError,
    TunnelRefusal, TunnelReply, TunnelRequest, TunnelTarget, new_nonce,
};
use crate::fetch::{read_message, write_message};
use crate::wire::Keys;

/// Maximum number of open tunnels. Each takes two file descriptors and two buffers.
const MAX_TUNNELS: u32 = 256;
/// Bytes that are passed on at once.
const CHUNK_BYTES: usize = 8 * 1024;
/// Time limit for the messages before a tunnel is open.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Connects to the endpoints that tunnels lead to.
pub trait Gateway: Clone + Send + Sync + 'static {
    /// Connects to an endpoint, on this node's own path only.
    fn connect(
        &self,
        target: TunnelTarget,
    ) -> impl Future<Output = Result<TcpStream, TunnelRefusal>> + Send;
}

/// The tunnels that lead through this node. Clones share them.
#[derive(Clone, Debug)]
pub struct Tunnels<G> {
    gateway: G,
    keys: Keys,
    free: Arc<Semaphore>,
    /// Runs the tunnels, apart from the control thread.
    runtime: Handle,
}

impl<G: Gateway> Tunnels<G> {
    /// Tunnels to the endpoints of `gateway`, which run on `runtime`.
    pub fn new(gateway: G, keys: Keys, runtime: Handle) -> Self {
        Self { gateway, keys, free: Arc::new(Semaphore::new(MAX_TUNNELS as usize)), runtime }
    }

    /// Waits until no tunnel is open.
    pub async fn ended(&self) {
        // The semaphore is never closed.
        let _ = self.free.acquire_many(MAX_TUNNELS).await;
    }

    /// Serves a connection whose preface was read.
    pub(crate) fn spawn(&self, stream: TcpStream) {
        let it = self.clone();
        // An error ends the tunnel; the asking node notices it.
        let serve = async move { drop(it.serve(stream).await) };
        self.runtime.spawn(serve);
    }

    async fn serve(self, stream: TcpStream) -> Result<(), TunnelError> {
        // Registers the socket with the runtime that the tunnel runs on.
        let mut stream = TcpStream::from_std(stream.into_std()?)?;
        stream.set_nodelay(true)?;
        let nonce = new_nonce();
        let request = async {
            stream.write_all(&nonce).await?;
            let it: TunnelRequest =
                read_message(&mut stream, &self.keys, MAX_MESSAGE_BYTES).await?;
            Ok::<_, TunnelError>(it)
        };
        let request = timeout(OPEN_TIMEOUT, request).await.map_err(|_| TunnelError::Timeout)??;
        if request.nonce != nonce {
            return Err(TunnelError::Untrusted);
        }
        let permit = self.free.clone().try_acquire_owned();
        let connected = match &permit {
            Ok(_) => self.gateway.connect(request.target).await,
            Err(_) => Err(TunnelRefusal::Busy),
        };
        let result = connected.as_ref().map(drop).map_err(|it| *it);
        write_message(&mut stream, &self.keys, &TunnelReply { nonce, result }).await?;
        Ok(pass(stream, connected?).await?)
    }
}

/// Passes bytes between the asking node and an endpoint until either has gone.
async fn pass(asker: TcpStream, endpoint: TcpStream) -> io::Result<()> {
    let (from_asker, to_asker) = asker.into_split();
    let (from_endpoint, to_endpoint) = endpoint.into_split();
    let mut requests = std::pin::pin!(pass_requests(from_asker, to_endpoint));
    tokio::select! {
        () = &mut requests => return Ok(()),
        it = pass_answers(from_endpoint, to_asker) => it?,
    }
    // Closing with unread bytes could reset the connection before the asking node has read the end.
    let _ = timeout(SILENCE_TIMEOUT, requests).await;
    Ok(())
}

/// Passes bytes to an endpoint until the asking node has gone. It closes its side only to cancel the
/// request, so that the endpoint's connection is closed then, too.
async fn pass_requests(mut from: OwnedReadHalf, to: OwnedWriteHalf) {
    let mut buf = vec![0; CHUNK_BYTES];
    let mut to = Some(to);
    while let Ok(n @ 1..) = from.read(&mut buf).await {
        // An endpoint may answer and stop reading before the end of a request.
        if let Some(it) = &mut to
            && it.write_all(&buf[..n]).await.is_err()
        {
            to = None;
        }
    }
}

/// Passes bytes to the asking node in frames until the endpoint closes its connection. Nothing tells the
/// asking node of a connection that breaks, except that the last frame is missing.
async fn pass_answers(mut from: OwnedReadHalf, mut to: OwnedWriteHalf) -> io::Result<()> {
    const HEADER: usize = size_of::<u16>();
    let mut buf = vec![0; HEADER + CHUNK_BYTES];
    loop {
        let Ok(read) = timeout(KEEP_ALIVE_INTERVAL, from.read(&mut buf[HEADER..])).await else {
            to.write_u16(KEEP_ALIVE).await?;
            continue;
        };
        let n = read?;
        buf[..HEADER].copy_from_slice(&(n as u16).to_be_bytes());
        to.write_all(&buf[..HEADER + n]).await?;
        if n == 0 {
            return to.shutdown().await;
        }
    }
}
