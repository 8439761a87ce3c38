//! A loopback proxy between one node and the store, with the faults of real connections.

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

/// Bytes that are passed on at once.
const CHUNK: usize = 16 * 1024;
/// The end of a request without a body.
const END_OF_HEAD: &[u8] = b"\r\n\r\n";

/// What a link does to its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Nothing passes, and nobody is told. Connections of that time stay silent for good.
    Silent,
    /// Requests pass, answers do not.
    OneWay,
    /// Connections are reset.
    Reset,
    /// Each request is answered with 503.
    Busy,
    /// Each piece of an answer is this late.
    Slow(Duration),
    /// Every other answer breaks off in the middle.
    Broken,
    /// Connections close as soon as an answer is through, as those of a server that keeps none.
    Closing,
}

/// The link of one node.
#[derive(Debug)]
pub struct Link {
    /// Where the node finds the store.
    pub addr: SocketAddr,
    fault: watch::Sender<Fault>,
}

impl Link {
    /// Serves at `addr` what the store at `store` answers.
    pub async fn start(
        addr: SocketAddr,
        store: SocketAddr,
        platform: Platform,
    ) -> std::io::Result<Self> {
        let listener = server::bind(addr).await?;
        let (fault, is_now) = watch::channel(Fault::None);
        tokio::spawn(accept(listener, store, platform, is_now));
        Ok(Self { addr, fault })
    }

    /// Switches the fault.
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
    let answers = Arc::new(AtomicU32::new(0));
    let mut connections = JoinSet::new();
    loop {
        let Ok((node, _)) = listener.accept().await else { continue };
        while connections.try_join_next().is_some() {}
        let (fault, platform, answers) = (fault.clone(), platform.clone(), answers.clone());
        let connection = Connection { fault, platform, answers };
        // A connection that breaks is what the node is to notice.
        connections.spawn(async move { drop(connection.serve(node, store).await) });
    }
}

struct Connection {
    fault: watch::Receiver<Fault>,
    platform: Platform,
    /// Pieces of answers that all connections of the link have passed on.
    answers: Arc<AtomicU32>,
}

impl Connection {
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
                    if answer.is_empty() || !self.pass(&mut node, answer, fault).await? {
                        return Ok(());
                    }
                }
                changed = self.fault.changed() => if changed.is_err() { return Ok(()) },
            }
        }
    }

    /// Passes a piece of an answer on; returns whether the connection goes on.
    async fn pass(
        &self,
        node: &mut TcpStream,
        answer: &[u8],
        fault: Fault,
    ) -> std::io::Result<bool> {
        let number = self.answers.fetch_add(1, Ordering::Relaxed);
        match fault {
            Fault::OneWay => return Ok(true),
            Fault::Slow(by) => sleep(by).await,
            Fault::Broken if number.is_multiple_of(2) => {
                node.write_all(&answer[..answer.len() / 2]).await?;
                return Ok(false);
            }
            _ => {}
        }
        node.write_all(answer).await?;
        Ok(fault != Fault::Closing)
    }
}
