//! Fetches between nodes over loopback.

use std::net::SocketAddr;
use std::sync::Arc;

use fleet::{
    Backlog, Bundle, Capacity, EncodedDocument, Features, FetchError, Gateway, Key, Keys, NodeInfo,
    Phase, ServedOutcome, TunnelRefusal, TunnelTarget, Tunnels, Versions, fetch, serve_peers,
};
use resources::Document;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::mpsc;

/// A node that has just started and has no copy.
fn asker() -> NodeInfo {
    NodeInfo {
        addr: ([127, 0, 0, 1], 7400).into(),
        failure_domain: 1,
        incarnation: 1,
        version: 0,
        capacity: Capacity::default(),
        phase: Phase::Starting,
        versions: Versions::default(),
        features: Features::NONE,
    }
}

fn keys() -> Keys {
    Keys { current: Key::new(b"k"), also_accepted: None }
}

fn bundle() -> Bundle {
    let document = Document { version: 7, ..Document::default() };
    Bundle {
        document: Some(EncodedDocument::new(&document)),
        registry: None,
        // A node that starts must know at once whether all nodes support an optional part.
        members: vec![NodeInfo { features: Features::DOMAIN_DISPATCH, ..asker() }],
    }
}

#[derive(Clone)]
struct NoEndpoints;

impl Gateway for NoEndpoints {
    async fn connect(&self, _: TunnelTarget) -> Result<TcpStream, TunnelRefusal> {
        Err(TunnelRefusal::Unknown)
    }
}

/// A node that serves fetches, and a channel with the result of each fetch.
async fn serving(backlog: Arc<Backlog>) -> (SocketAddr, mpsc::UnboundedReceiver<ServedOutcome>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (tx, ended) = mpsc::unbounded_channel();
    let served = move |it: fleet::ServedFetch| tx.send(it.outcome).unwrap();
    let tunnels = Tunnels::new(NoEndpoints, keys(), Handle::current());
    let bundle = |_| async { bundle() };
    tokio::spawn(serve_peers(listener, keys(), backlog, bundle, served, tunnels));
    (addr, ended)
}

#[tokio::test]
async fn a_fetch_returns_the_bundle_and_frees_the_backlog() {
    let backlog = Backlog::for_link(10.0);
    let (addr, mut ended) = serving(backlog.clone()).await;
    let fetched = fetch(addr, &keys(), asker()).await.unwrap();
    assert_eq!(fetched.bundle, bundle());
    assert_eq!(fetched.bundle.decode().unwrap().document.unwrap().version, 7);
    assert_eq!(ended.recv().await, Some(ServedOutcome::Complete));
    assert_eq!(backlog.in_flight(), 0);
}

#[tokio::test]
async fn a_fetch_is_refused_at_once_while_too_many_bytes_are_in_flight() {
    let backlog = Backlog::for_link(10.0);
    let (addr, mut ended) = serving(backlog.clone()).await;
    // More than the link carries in a moment, admitted because the backlog is empty.
    let long = backlog.admit(1_000_000).expect("nothing else is in flight");
    let refused = fetch(addr, &keys(), asker()).await;
    assert!(matches!(refused, Err(FetchError::Busy)), "{refused:?}");
    assert_eq!(ended.recv().await, Some(ServedOutcome::Busy));
    drop(long);
    assert!(fetch(addr, &keys(), asker()).await.is_ok());
}
