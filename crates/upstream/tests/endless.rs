//! Connections of endpoints that send more than one answer.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Empty};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;
use upstream::{Connector, Pool, Reuse};

/// Guards against bytes of one exchange that are taken for the answer of the next one.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_after_a_whole_answer_are_not_taken_for_the_next_one() {
    let whole = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngood";
    let empty = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n";
    let odd = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nodd";
    for first in [whole, empty, chunked] {
        // The further bytes come at once, or while the connection is idle.
        for pause in [None, Some(Duration::from_millis(50))] {
            let endpoint = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let addr = endpoint.local_addr().unwrap();
            tokio::spawn(async move {
                loop {
                    let (mut stream, _) = endpoint.accept().await.unwrap();
                    tokio::spawn(async move {
                        while stream.read(&mut [0; 4096]).await.is_ok_and(|n| n > 0) {
                            let sent = match pause {
                                None => stream.write_all(format!("{first}{odd}").as_bytes()).await,
                                Some(pause) => {
                                    let _ = stream.write_all(first.as_bytes()).await;
                                    sleep(pause).await;
                                    stream.write_all(odd.as_bytes()).await
                                }
                            };
                            if sent.is_err() {
                                return;
                            }
                        }
                    });
                }
            });
            let pool: Pool<Empty<Bytes>> = Pool::new(Connector::new(Duration::from_secs(5)));
            for i in 0..10 {
                let req = Request::get("/").header("host", "h").body(Empty::new()).unwrap();
                let res = pool.send(addr, req, Reuse::Allowed).await.unwrap();
                let body = res.into_body().collect().await.unwrap().to_bytes();
                assert_ne!(&body[..], b"odd", "request {i}, {first:?}, {pause:?}");
                // Bytes that come after the next request was sent cannot be told from its answer here.
                if let Some(pause) = pause {
                    sleep(pause * 4).await;
                }
            }
        }
    }
}
