//! Memory that the answers of faulty endpoints take, all together. A test process of its own, whose memory is measured.

mod common;

use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

const REQUESTS: usize = 400;
/// What the endpoint sends of each answer, a little less than what is buffered of one.
const SENT_BYTES: usize = 1_000_000;
/// The default budget for long answers, in MB.
const BUDGET_MB: f64 = 32.0;
/// Memory for each request besides, in MB: 64 KB that are always buffered, 64 KB read ahead, two frames of up to 64 KB on
/// their way to the caller, and as much again for buffers that grow.
const PER_REQUEST_MB: f64 = 0.5;

/// Resident memory of this process in MB.
fn memory_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|it| it.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<f64>().unwrap() / 1024.0
}

/// Answers each connection with a large part of an answer that never ends.
async fn endpoint() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let head = common::genuine("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
        let chunk = format!("3e8\r\n{}\r\n", "x".repeat(1_000));
        let start: Arc<str> = format!("{head}{}", chunk.repeat(SENT_BYTES / 1_000)).into();
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let start = start.clone();
            tokio::spawn(async move {
                let _ = stream.read(&mut [0; 4_096]).await;
                let _ = stream.write_all(start.as_bytes()).await;
                // Stays open until the proxy closes it.
                let _ = stream.read(&mut [0; 1]).await;
            });
        }
    });
    addr
}

/// Guards against a node that runs out of memory, and takes the requests of other callers with it, while endpoints send
/// long answers without an end.
#[tokio::test(flavor = "multi_thread")]
async fn answers_without_an_end_take_bounded_memory_all_together() {
    let addr = common::listen(common::Slots(common::grant(endpoint().await))).await;
    let before = memory_mb();
    let mut callers = Vec::new();
    for _ in 0..REQUESTS {
        callers.push(tokio::spawn(async move {
            let mut stream = TcpStream::connect(addr).await.unwrap();
            let request = format!("{}\r\nhost: h\r\nconnection: close\r\n\r\n", common::LOOKUP);
            stream.write_all(request.as_bytes()).await.unwrap();
            let mut buf = vec![0; 16 * 1024];
            while stream.read(&mut buf).await.is_ok_and(|n| n > 0) {}
        }));
    }
    let mut most = 0.0_f64;
    while !callers.iter().all(|it| it.is_finished()) {
        most = most.max(memory_mb() - before);
        sleep(Duration::from_millis(50)).await;
    }
    let limit = BUDGET_MB + REQUESTS as f64 * PER_REQUEST_MB;
    assert!(most < limit, "{most} MB for {REQUESTS} answers, at most {limit}");
}
