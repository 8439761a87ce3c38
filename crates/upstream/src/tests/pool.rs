use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::channel::Channel;
use http_body_util::{BodyExt, Full};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::{AnswerError, Connector, Pool, Reuse};

/// What a scripted server does with one connection after it has read a request.
#[derive(Clone, Copy)]
enum Script {
    Answer(&'static str),
    /// Answers, and keeps the connection open.
    AnswerAndWait(&'static str),
    CloseBeforeAnswer,
}

/// Accepts one connection per script, reads a request from it, and closes the connection after the
/// script.
async fn serve(scripts: &'static [Script]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for script in scripts {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buf = [0; 1024];
            let n = stream.read(&mut buf).await.unwrap();
            assert!(n > 0);
            match script {
                Script::Answer(text) => stream.write_all(text.as_bytes()).await.unwrap(),
                Script::AnswerAndWait(text) => {
                    stream.write_all(text.as_bytes()).await.unwrap();
                    while stream.read(&mut buf).await.is_ok_and(|n| n > 0) {}
                }
                Script::CloseBeforeAnswer => {}
            }
        }
    });
    addr
}

fn pool() -> Pool<Full<Bytes>> {
    Pool::new(Connector::new(Duration::from_secs(1)))
}

fn post() -> Request<Full<Bytes>> {
    Request::post("/x").header("host", "h").body(Full::new(Bytes::from("abc"))).unwrap()
}

#[tokio::test]
async fn a_refused_connection_is_not_run_and_returns_the_request() {
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let err = pool().send(closed, post(), Reuse::Allowed).await.err().unwrap();
    assert!(err.failure.is_not_run());
    assert!(err.req.is_some());
}

#[tokio::test]
async fn a_connection_that_closes_after_the_request_is_unknown() {
    let addr = serve(&[Script::CloseBeforeAnswer]).await;
    let err = pool().send(addr, post(), Reuse::Allowed).await.err().unwrap();
    assert!(!err.failure.is_not_run());
    assert!(err.req.is_none());
}

#[tokio::test]
async fn an_answer_cut_short_ends_in_an_error() {
    for text in [
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
    ] {
        let scripts: &'static [Script] = Box::leak(Box::new([Script::Answer(text)]));
        let addr = serve(scripts).await;
        let res = pool().send(addr, post(), Reuse::Allowed).await.ok().unwrap();
        assert!(res.into_body().collect().await.is_err(), "{text}");
    }
}

/// Reads the body of an answer without a length, whose end is the end of the connection.
async fn unframed(ending: Ending) -> Result<Bytes, AnswerError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 1024];
        assert!(stream.read(&mut buf).await.unwrap() > 0);
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nabc").await.unwrap();
        if ending == Ending::Reset {
            // Gives the client time to read, because a reset discards unread data.
            tokio::time::sleep(Duration::from_millis(50)).await;
            stream.set_zero_linger().unwrap();
        }
    });
    let res = pool().send(addr, post(), Reuse::Allowed).await.ok().unwrap();
    Ok(res.into_body().collect().await?.to_bytes())
}

#[derive(Clone, Copy, PartialEq)]
enum Ending {
    Clean,
    Reset,
}

#[tokio::test]
async fn an_answer_without_a_length_is_complete_only_if_its_connection_ends_cleanly() {
    assert_eq!(&unframed(Ending::Clean).await.unwrap()[..], b"abc");
    assert!(unframed(Ending::Reset).await.is_err());
}

#[tokio::test]
async fn a_send_without_reuse_opens_a_new_connection() {
    const COMPLETE: Script = Script::Answer("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    // The server answers only one request per connection.
    let addr = serve(&[COMPLETE, COMPLETE]).await;
    let pool = pool();
    for _ in 0..2 {
        let res = pool.send(addr, post(), Reuse::Never).await.ok().unwrap();
        assert_eq!(&res.into_body().collect().await.unwrap().to_bytes()[..], b"ok");
    }
}

#[tokio::test]
async fn a_connection_is_not_reused_after_an_answer_that_was_given_up() {
    const TRUNCATED: Script = Script::Answer("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc");
    const COMPLETE: Script = Script::Answer("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    let addr = serve(&[TRUNCATED, COMPLETE]).await;
    let pool = pool();
    drop(pool.send(addr, post(), Reuse::Allowed).await.ok().unwrap());
    let res = pool.send(addr, post(), Reuse::Allowed).await.ok().unwrap();
    let body = res.into_body().collect().await.unwrap().to_bytes();
    assert_eq!(&body[..], b"ok");
}

/// Answers all requests without a body, and counts the connections.
async fn serve_empty() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let connections = Arc::new(AtomicUsize::new(0));
    let count = connections.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                let empty = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                while stream.read(&mut [0; 1024]).await.is_ok_and(|n| n > 0) {
                    stream.write_all(empty).await.unwrap();
                }
            });
        }
    });
    (addr, connections)
}

#[tokio::test]
async fn a_connection_is_reused_after_an_empty_answer_only_if_the_head_was_accepted() {
    for (is_accepted, expected) in [(true, 1), (false, 2)] {
        let (addr, connections) = serve_empty().await;
        let pool = pool();
        for _ in 0..2 {
            let body = pool.send(addr, post(), Reuse::Allowed).await.ok().unwrap().into_body();
            match is_accepted {
                true => body.release_if_empty(),
                false => drop(body),
            }
            // Lets the connection return to the pool.
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(connections.load(Ordering::Relaxed), expected);
    }
}

/// Guards against an answer that is held until the rest of its request is sent.
#[tokio::test]
async fn an_answer_to_a_request_that_is_still_being_sent_is_whole() {
    for reuse in [Reuse::Allowed, Reuse::Never] {
        let addr =
            serve(&[Script::AnswerAndWait("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")]).await;
        let (mut tx, body) = Channel::<Bytes>::new(1);
        tx.send_data(Bytes::from_static(b"the beginning")).await.unwrap();
        let req = Request::post("/x").header("host", "h").body(body).unwrap();
        let pool = Pool::new(Connector::new(Duration::from_secs(1)));
        let res = pool.send(addr, req, reuse).await.ok().unwrap();
        let read = tokio::time::timeout(Duration::from_secs(10), res.into_body().collect()).await;
        assert_eq!(&read.expect("the answer ends").unwrap().to_bytes()[..], b"ok", "{reuse:?}");
        drop(tx);
    }
}

#[tokio::test]
async fn bytes_that_follow_a_body_of_known_length_make_it_unusable() {
    let check = |answer: &'static str, expected: Option<&'static str>| async move {
        for reuse in [Reuse::Allowed, Reuse::Never] {
            let scripts: &'static [Script] = Box::leak(Box::new([Script::Answer(answer)]));
            let addr = serve(scripts).await;
            let res = pool().send(addr, post(), reuse).await.ok().unwrap();
            let body = res.into_body().collect().await.map(|it| it.to_bytes());
            match expected {
                Some(it) => assert_eq!(body.unwrap(), it, "{answer}"),
                None => assert!(matches!(body, Err(AnswerError::Excess)), "{answer}"),
            }
        }
    };
    check("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokay", None).await;
    check("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nokay", None).await;
    check("HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nokay", None).await;
    check("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\nokay", None).await;
    check("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok\r\n", Some("ok")).await;
    check("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200", Some("ok")).await;
    check("HTTP/1.1 204 No Content\r\n\r\nokay", Some("")).await;
    check(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\nay",
        Some("ok"),
    )
    .await;
}
