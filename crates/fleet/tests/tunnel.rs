//! Tunnels through a peer over loopback.

use std::net::SocketAddr;
use std::time::Duration;

use fleet::{
    Backlog, Bundle, Gateway, Key, Keys, TunnelError, TunnelRefusal, TunnelStream, TunnelTarget,
    Tunnels, open_tunnel, serve_peers,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Handle, Runtime};

/// Longer than anything here takes.
const LIMIT: Duration = Duration::from_secs(5);

fn keys(secret: &[u8]) -> Keys {
    Keys { current: Key::new(secret), also_accepted: None }
}

fn target() -> TunnelTarget {
    TunnelTarget { service: 1, endpoint: "e".into(), started_ms: 7 }
}

/// Connects to one endpoint, or refuses.
#[derive(Clone)]
struct OneEndpoint(Result<SocketAddr, TunnelRefusal>);

impl Gateway for OneEndpoint {
    async fn connect(&self, target: TunnelTarget) -> Result<TcpStream, TunnelRefusal> {
        assert_eq!(target, self::target());
        Ok(TcpStream::connect(self.0?).await.unwrap())
    }
}

/// Starts a peer whose tunnels run on `tunnels`.
async fn peer(endpoint: Result<SocketAddr, TunnelRefusal>, tunnels: Handle) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let tunnels = Tunnels::new(OneEndpoint(endpoint), keys(b"k"), tunnels);
    let bundle = |_| async { Bundle::default() };
    let backlog = Backlog::for_link(10.0);
    tokio::spawn(serve_peers(listener, keys(b"k"), backlog, bundle, |_| {}, tunnels));
    addr
}

/// Opens a tunnel to an endpoint; returns the tunnel and the endpoint's end.
async fn open(tunnels: Handle) -> (TunnelStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = peer(Ok(listener.local_addr().unwrap()), tunnels).await;
    let tunnel = open_tunnel(peer, &keys(b"k"), &target(), LIMIT).await.unwrap();
    (tunnel, listener.accept().await.unwrap().0)
}

#[tokio::test]
async fn bytes_pass_in_both_directions_until_the_endpoint_closes() {
    let (mut tunnel, mut endpoint) = open(Handle::current()).await;
    let answer: Vec<u8> = (0..100_000_u32).map(|it| it as u8).collect();
    tunnel.write_all(b"request").await.unwrap();
    let mut request = [0; 7];
    endpoint.read_exact(&mut request).await.unwrap();
    assert_eq!(&request, b"request");
    let mut received = Vec::new();
    let sending = async {
        endpoint.write_all(&answer).await.unwrap();
        drop(endpoint);
    };
    let ((), read) = tokio::join!(sending, tunnel.read_to_end(&mut received));
    read.unwrap();
    assert_eq!(received, answer);
}

#[tokio::test]
async fn a_reset_by_the_endpoint_does_not_look_like_the_end_of_an_answer() {
    let (mut tunnel, mut endpoint) = open(Handle::current()).await;
    endpoint.write_all(b"half").await.unwrap();
    let mut half = [0; 4];
    tunnel.read_exact(&mut half).await.unwrap();
    endpoint.set_zero_linger().unwrap();
    drop(endpoint);
    tunnel.read_to_end(&mut Vec::new()).await.unwrap_err();
}

#[test]
fn the_loss_of_the_peer_does_not_look_like_the_end_of_an_answer() {
    let runtime = Runtime::new().unwrap();
    let peer = Builder::new_multi_thread().enable_all().worker_threads(1).build().unwrap();
    let (mut tunnel, mut endpoint) = runtime.block_on(open(peer.handle().clone()));
    runtime.block_on(async {
        endpoint.write_all(b"half").await.unwrap();
        let mut half = [0; 4];
        tunnel.read_exact(&mut half).await.unwrap();
    });
    peer.shutdown_timeout(LIMIT);
    runtime.block_on(tunnel.read_to_end(&mut Vec::new())).unwrap_err();
}

#[tokio::test]
async fn the_endpoint_sees_that_a_request_is_cancelled() {
    let (mut tunnel, mut endpoint) = open(Handle::current()).await;
    tunnel.write_all(b"request").await.unwrap();
    drop(tunnel);
    let mut received = Vec::new();
    endpoint.read_to_end(&mut received).await.unwrap();
    assert_eq!(received, b"request");
}

#[tokio::test]
async fn an_endpoint_that_answers_early_and_stops_reading_is_heard() {
    let (mut tunnel, mut endpoint) = open(Handle::current()).await;
    tunnel.write_all(b"start").await.unwrap();
    let mut start = [0; 5];
    endpoint.read_exact(&mut start).await.unwrap();
    endpoint.write_all(b"early").await.unwrap();
    let mut early = [0; 5];
    tunnel.read_exact(&mut early).await.unwrap();
    assert_eq!(&early, b"early");
    tunnel.write_all(b"rest").await.unwrap();
    let mut rest = [0; 4];
    endpoint.read_exact(&mut rest).await.unwrap();
    assert_eq!(&rest, b"rest");
}

#[tokio::test]
async fn a_refusal_reaches_the_asking_node() {
    for refusal in [
        TunnelRefusal::Busy,
        TunnelRefusal::Unknown,
        TunnelRefusal::Closed,
        TunnelRefusal::NoPath,
        TunnelRefusal::Refused,
        TunnelRefusal::Silent,
    ] {
        let peer = peer(Err(refusal), Handle::current()).await;
        let result = open_tunnel(peer, &keys(b"k"), &target(), LIMIT).await;
        assert!(matches!(result, Err(TunnelError::Refused(it)) if it == refusal), "{result:?}");
    }
}

#[tokio::test]
async fn a_node_with_another_key_gets_no_tunnel() {
    let endpoint = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = peer(Ok(endpoint.local_addr().unwrap()), Handle::current()).await;
    open_tunnel(peer, &keys(b"other"), &target(), LIMIT).await.unwrap_err();
}

#[tokio::test]
async fn a_build_without_tunnels_is_not_waited_for() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let open = tokio::spawn(async move { open_tunnel(addr, &keys(b"k"), &target(), LIMIT).await });
    // Such a build takes the preface for the length of a fetch, which is too long.
    let (mut stream, _) = listener.accept().await.unwrap();
    stream.read_u32().await.unwrap();
    drop(stream);
    let result = open.await.unwrap();
    assert!(matches!(result, Err(TunnelError::Io(_))), "{result:?}");
}
