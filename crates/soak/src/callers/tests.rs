use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use super::{connect, pooled_client};

/// Starts a server whose answers ask for the connection to be closed if they are told to. Returns its address and the
/// number of connections that it has accepted.
async fn serve(closes: bool) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = accepted.clone();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            count.fetch_add(1, Ordering::Relaxed);
            let service = service_fn(move |_: Request<Incoming>| async move {
                let connection = if closes { "close" } else { "keep-alive" };
                let res = Response::builder().header("connection", connection);
                Ok::<_, Infallible>(res.body(Full::<Bytes>::default()).unwrap())
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    (addr, accepted)
}

fn request(addr: SocketAddr) -> Request<Full<Bytes>> {
    Request::builder().uri(format!("http://{addr}/")).body(Full::default()).unwrap()
}

async fn check_pooled(closes: bool, connections: usize) {
    let (addr, accepted) = serve(closes).await;
    let client = pooled_client();
    for _ in 0..3 {
        let res = client.request(request(addr)).await.unwrap();
        res.into_body().collect().await.unwrap();
        // The client returns a connection to its pool in a task of its own.
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    assert_eq!(accepted.load(Ordering::Relaxed), connections);
}

#[tokio::test]
async fn a_pooled_connection_is_used_until_the_server_asks_for_its_end() {
    check_pooled(false, 1).await;
    check_pooled(true, 3).await;
}

async fn check_own(closes: bool, answers: usize) {
    let (addr, _) = serve(closes).await;
    let mut tx = connect(addr).await.unwrap();
    let mut answered = 0;
    while answered < 3 && tx.ready().await.is_ok() {
        let res = tx.send_request(request(addr)).await.unwrap();
        res.into_body().collect().await.unwrap();
        answered += 1;
    }
    assert_eq!(answered, answers);
}

#[tokio::test]
async fn an_own_connection_is_used_until_the_server_closes_it() {
    check_own(false, 3).await;
    check_own(true, 1).await;
}
