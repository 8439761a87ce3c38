//! The idle time of a connection includes the time that the VM was suspended.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::yield_now;
use upstream::{Connector, Pool, Reuse};

/// Number of yields, more than the tasks of the pool need to finish.
const YIELDS: usize = 100;

#[tokio::test]
async fn a_connection_that_was_idle_during_a_suspension_is_not_used_again() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let pool: Pool<Full<Bytes>> = Pool::new(Connector::new(Duration::from_secs(1)));
    let exchange = async {
        let req = Request::get("/").header("host", "h").body(Full::default()).unwrap();
        let res = pool.send(addr, req, Reuse::Allowed).await.unwrap();
        res.into_body().collect().await.unwrap();
    };
    let serve = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        assert!(stream.read(&mut [0; 1024]).await.unwrap() > 0);
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await.unwrap();
        stream
    };
    let ((), first) = tokio::join!(exchange, serve);
    // The connection returns to the pool in a separate task.
    for _ in 0..YIELDS {
        yield_now().await;
    }
    clock::simulate_suspension(Duration::from_secs(60));

    let req = Request::get("/").header("host", "h").body(Full::default()).unwrap();
    let send = tokio::spawn({
        let pool = pool.clone();
        async move { pool.send(addr, req, Reuse::Allowed).await }
    });
    // The pool opens a second connection although the first one is still open.
    let (_second, _) = listener.accept().await.unwrap();
    drop(first);
    send.abort();
}
