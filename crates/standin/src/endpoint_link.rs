//! A loopback proxy between one node and one endpoint that simulates faults of the network path.

use std::io;
use std::net::SocketAddr;

use resources::Endpoint;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::{node, server};

/// Size of the forwarding buffers in bytes.
const CHUNK: usize = 16 * 1024;
/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// Connections that fill the shortest backlog, so that further ones get no answer.
const FILLING_CONNECTIONS: usize = 3;

/// Fault of the network path between a node and an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PathFault {
    /// No fault.
    #[default]
    None,
    /// Nothing passes. Open connections stay silent and new ones hang; held data passes when the fault ends.
    Hang,
    /// Open connections are reset and new ones are refused.
    Reset,
    /// Open connections live on, and new ones are refused.
    RefuseNew,
    /// Data passes from the node to the endpoint only, so that new connections hang.
    OneWay,
}

impl PathFault {
    fn blocks_requests(self) -> bool {
        self == Self::Hang
    }

    fn blocks_answers(self) -> bool {
        matches!(self, Self::Hang | Self::OneWay)
    }
}

/// The path from one node to one endpoint.
#[derive(Debug)]
pub struct EndpointLink {
    /// Address at which the node reaches the endpoint.
    pub addr: SocketAddr,
    fault: watch::Sender<PathFault>,
}

impl EndpointLink {
    /// Starts a proxy at `addr` for the endpoint at `endpoint`.
    pub async fn start(addr: SocketAddr, endpoint: SocketAddr) -> io::Result<Self> {
        let listener = server::bind(addr).await?;
        let (fault, receiver) = watch::channel(PathFault::None);
        tokio::spawn(run(listener, endpoint, receiver));
        Ok(Self { addr, fault })
    }

    /// Starts a proxy at a free address for each of the endpoints.
    pub async fn start_all(endpoints: &[Endpoint]) -> anyhow::Result<Vec<Self>> {
        let mut links = Vec::new();
        for (endpoint, addr) in endpoints.iter().zip(node::free_addrs(endpoints.len())?) {
            links.push(Self::start(addr, endpoint.addr).await?);
        }
        Ok(links)
    }

    /// Sets the current fault.
    pub fn set(&self, fault: PathFault) {
        self.fault.send_replace(fault);
    }
}

/// Serves until the link is dropped.
async fn run(
    mut listener: TcpListener,
    endpoint: SocketAddr,
    mut fault: watch::Receiver<PathFault>,
) -> io::Result<()> {
    let addr = listener.local_addr()?;
    let mut connections = JoinSet::new();
    loop {
        let mut next = fault.clone();
        tokio::select! {
            never = accept(&listener, endpoint, &fault, &mut connections) => match never {},
            changed = next.wait_for(|it| *it != PathFault::None) => if changed.is_err() { return Ok(()) },
        }
        drop(listener);
        let is_silent = fault.borrow_and_update().blocks_answers();
        let socket = server::reserve(addr)?;
        let until_changed = fault.changed();
        let socket = match is_silent {
            true => {
                let unanswering = socket.listen(0)?;
                let mut filling = JoinSet::new();
                (0..FILLING_CONNECTIONS)
                    .for_each(|_| drop(filling.spawn(TcpStream::connect(addr))));
                if until_changed.await.is_err() {
                    return Ok(());
                }
                drop(unanswering);
                server::reserve(addr)?
            }
            false if until_changed.await.is_err() => return Ok(()),
            false => socket,
        };
        listener = socket.listen(LISTEN_BACKLOG)?;
    }
}

async fn accept(
    listener: &TcpListener,
    endpoint: SocketAddr,
    fault: &watch::Receiver<PathFault>,
    connections: &mut JoinSet<()>,
) -> std::convert::Infallible {
    loop {
        let Ok((node, _)) = listener.accept().await else { continue };
        while connections.try_join_next().is_some() {}
        let fault = fault.clone();
        // Errors are ignored: handling a broken connection is up to the node.
        connections.spawn(async move { drop(forward(node, endpoint, fault).await) });
    }
}

/// Forwards data between a node and an endpoint until either side or a reset ends the connection.
async fn forward(
    node: TcpStream,
    endpoint: SocketAddr,
    mut fault: watch::Receiver<PathFault>,
) -> io::Result<()> {
    let upstream = TcpStream::connect(endpoint).await?;
    node.set_nodelay(true)?;
    upstream.set_nodelay(true)?;
    let (requests, answers) = (fault.clone(), fault.clone());
    let (mut from_node, mut to_node) = node.into_split();
    let (mut from_endpoint, mut to_endpoint) = upstream.into_split();
    let is_reset = tokio::select! {
        _ = copy(&mut from_node, &mut to_endpoint, requests, PathFault::blocks_requests) => false,
        _ = copy(&mut from_endpoint, &mut to_node, answers, PathFault::blocks_answers) => false,
        _ = fault.wait_for(|it| *it == PathFault::Reset) => true,
    };
    if is_reset {
        from_node.as_ref().set_zero_linger()?;
        from_endpoint.as_ref().set_zero_linger()?;
    }
    Ok(())
}

/// Copies data in one direction while no fault blocks it.
async fn copy(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
    mut fault: watch::Receiver<PathFault>,
    is_blocked_by: fn(PathFault) -> bool,
) -> io::Result<()> {
    let mut buf = vec![0; CHUNK];
    loop {
        let n = from.read(&mut buf).await?;
        if fault.wait_for(|it| !is_blocked_by(*it)).await.is_err() || n == 0 {
            return Ok(());
        }
        to.write_all(&buf[..n]).await?;
    }
}
