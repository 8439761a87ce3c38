//! Runs a listener with slots from the test's own dispatch.

use std::net::SocketAddr;

use caller::{Dispatch, HeaderNames, ListenerBuilder, Metrics, SharedSnapshot};
use http::HeaderName;
use policy::{Grant, Tier};
use prometheus::Registry;
use resources::Config;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const CONFIG: &str = r#"{"version": 1, "resources": [
    {"kind": "Service", "name": "s", "slots": 1, "connections": 9, "floor": "50%", "bias": "speed"},
    {"kind": "Route", "name": "r", "path": "/", "service": "s", "deadline_ms": 5000, "repeat": "anytime"}
]}"#;

/// A grant of a slot on the endpoint at `addr`.
pub fn grant(addr: SocketAddr) -> Grant {
    Grant {
        endpoint: "e".into(),
        started_ms: 0,
        addr,
        stall_after: Duration::from_secs(1),
        hedge_after: Duration::from_secs(1),
        trial: false,
        tier: Tier::Good,
        health: Default::default(),
        is_watched: false,
        is_rate_limited: false,
    }
}

/// Sends a request to a listener that takes its slots from `dispatch`, and returns the raw answer.
#[allow(dead_code, reason = "not every test file reads complete answers")]
pub async fn request(dispatch: impl Dispatch) -> String {
    let mut answer = String::new();
    // A truncated answer is returned as far as it was received.
    let _ = open_request(dispatch).await.read_to_string(&mut answer).await;
    answer
}

/// Sends a request to a listener that takes its slots from `dispatch`, and returns the caller's connection.
#[allow(dead_code, reason = "not every test file sends this request")]
pub async fn open_request(dispatch: impl Dispatch) -> TcpStream {
    let mut stream = TcpStream::connect(listen(dispatch).await).await.unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n").await.unwrap();
    stream
}

/// Starts a listener that takes its slots from `dispatch`, and returns its address.
pub async fn listen(dispatch: impl Dispatch) -> SocketAddr {
    let shared = SharedSnapshot::default();
    shared.publish(Config::compile(serde_json::from_str(CONFIG).unwrap()).unwrap());
    let header = HeaderName::from_static;
    let names = HeaderNames {
        request_id: header("x-request-id"),
        deadline: header("x-left-ms"),
        target_endpoint: header("x-endpoint"),
        not_run: header("x-not-run"),
        rate_limit: header("x-limit"),
        leaving: header("x-leaving"),
        api_key: header("x-key"),
        organisation: header("x-organisation"),
    };
    let metrics = Metrics::register(&Registry::new()).unwrap();
    let builder = ListenerBuilder::new(shared, dispatch, names, metrics);
    let listener = builder.bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let addr = listener.addr().unwrap();
    tokio::spawn(listener.serve());
    addr
}
