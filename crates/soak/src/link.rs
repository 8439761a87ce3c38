//! A loopback proxy between one node and the store that simulates connection faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use standin::platform::Platform;
use standin::server;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Size of the forwarding buffers in bytes.
const CHUNK: usize = 16 * 1024;
/// Bytes that end a request without a body.
const END_OF_HEAD: &[u8] = b"\r\n\r\n";

/// Fault of a link, which affects all its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Drops all data without closing connections. Connections that are open or opened meanwhile stay silent after
    /// the fault has ended.
    Silent,
    /// Forwards requests and drops answers.
    OneWay,
    /// Resets connections.
    Reset,
    /// Answers each request with status 503.
    Busy,
    /// Delays each chunk of an answer by this time.
    Slow(Duration),
    /// Cuts every other chunk of an answer in half and closes the connection.
    Broken,
    /// Closes each connection after an answer, like a server without keep-alive.
    Closing,
}

/// Link between one node and the store.
#[derive(Debug)]
pub struct Link {
    /// Address at which the node reaches the store.
    pub addr: SocketAddr,
    fault: watch::Sender<Fault>,
}

impl Link {
    /// Starts a proxy at `addr` for the store at `store`.
    pub async fn start(
        addr: SocketAddr,
        store: SocketAddr,
        platform: Platform,
    ) -> std::io::Result<Self> {
        let listener = server::bind(addr).await?;
        let (fault, receiver) = watch::channel(Fault::None);
        tokio::spawn(accept(listener, store, platform, receiver));
        Ok(Self { addr, fault })
    }

    /// Sets the current fault.
    pub fn set(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }
}

async fn accept(
    listener: TcpListener,
    store: SocketAddr,
    platform: Platform,
    fault: watch::Receiver<Fault>,
) {
    let answer_chunks = Arc::new(AtomicU32::new(0));
    let mut connections = JoinSet::new();
    loop {
        let Ok((node, _)) = listener.accept().await else { continue };
        while connections.try_join_next().is_some() {}
        let (fault, platform, answer_chunks) =
            (fault.clone(), platform.clone(), answer_chunks.clone());
        let connection = Connection { fault, platform, answer_chunks };
        // Errors are ignored: handling a broken connection is up to the node.
        connections.spawn(async move { drop(connection.serve(node, store).await) });
    }
}

/// A proxied connection.
struct Connection {
    fault: watch::Receiver<Fault>,
    platform: Platform,
    /// Number of answer chunks that all connections of the link have received from the store.
    answer_chunks: Arc<AtomicU32>,
}

impl Connection {
    /// Forwards data between a node and the store until either side or a fault ends the connection.
    async fn serve(mut self, mut node: TcpStream, store: SocketAddr) -> std::io::Result<()> {
        let mut store = TcpStream::connect(store).await?;
        node.set_nodelay(true)?;
        store.set_nodelay(true)?;
        let (mut to_store, mut to_node) = ([0; CHUNK], [0; CHUNK]);
        loop {
            let fault = *self.fault.borrow_and_update();
            match fault {
                Fault::Silent => return std::future::pending().await,
                Fault::Reset => {
                    node.set_zero_linger()?;
                    return Ok(());
                }
                _ => {}
            }
            tokio::select! {
                n = node.read(&mut to_store) => {
                    let request = &to_store[..n?];
                    match (request.is_empty(), fault) {
                        (true, _) => return Ok(()),
                        (_, Fault::Busy) if request.ends_with(END_OF_HEAD) => {
                            node.write_all(self.platform.refusal().as_bytes()).await?;
                        }
                        _ => store.write_all(request).await?,
                    }
                }
                n = store.read(&mut to_node) => {
                    let answer = &to_node[..n?];
                    if answer.is_empty() || !self.forward(&mut node, answer, fault).await? {
                        return Ok(());
                    }
                }
                changed = self.fault.changed() => if changed.is_err() { return Ok(()) },
            }
        }
    }

    /// Forwards a chunk of an answer; returns whether the connection stays open.
    async fn forward(
        &self,
        node: &mut TcpStream,
        answer: &[u8],
        fault: Fault,
    ) -> std::io::Result<bool> {
        let index = self.answer_chunks.fetch_add(1, Ordering::Relaxed);
        match fault {
            Fault::OneWay => return Ok(true),
            Fault::Slow(delay) => sleep(delay).await,
            Fault::Broken if index.is_multiple_of(2) => {
                node.write_all(&answer[..answer.len() / 2]).await?;
                return Ok(false);
            }
            _ => {}
        }
        node.write_all(answer).await?;
        Ok(fault != Fault::Closing)
    }
}
