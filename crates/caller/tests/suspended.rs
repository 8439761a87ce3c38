//! A request whose time passed while the machine was suspended is not sent.

use std::sync::Arc;
use std::time::Duration;

use caller::{Dispatch, HeaderNames, ListenerBuilder, Metrics, Refused, Shared, Slot, Want};
use http::HeaderName;
use policy::{Grant, Kind, Tier};
use prometheus::Registry;
use resources::{Config, Name, Route};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Grants a slot after a suspension of the machine that is longer than any caller waits.
#[derive(Clone)]
struct Suspended(Grant);

struct Granted(Grant);

impl Slot for Granted {
    fn grant(&self) -> &Grant {
        &self.0
    }

    fn granted_by(&self) -> &'static str {
        "test"
    }

    fn stalled(&mut self, _: Duration) {}

    fn answer_began(&mut self, _: Duration) {}

    fn end(self, _: Kind, _: Duration) {}
}

impl Dispatch for Suspended {
    type Slot = Granted;

    fn unserved(&self, _: &Arc<Route>, _: &Name) {}

    async fn acquire(&self, _: Want) -> Result<Granted, Refused> {
        clock::suspend(Duration::from_secs(60));
        Ok(Granted(self.0.clone()))
    }
}

const CONFIG: &str = r#"{"version": 1, "resources": [
    {"kind": "Service", "name": "s", "slots": 1, "connections": 9, "floor": "50%", "bias": "speed"},
    {"kind": "Route", "name": "r", "path": "/", "service": "s", "deadline_ms": 5000, "repeat": "anytime"}
]}"#;

#[tokio::test]
async fn what_waited_through_a_suspension_is_refused_and_not_sent() {
    let endpoint = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let grant = Grant {
        endpoint: "e".into(),
        addr: endpoint.local_addr().unwrap(),
        stall_after: Duration::from_secs(1),
        hedge_after: Duration::from_secs(1),
        trial: false,
        tier: Tier::Good,
        doubt: Default::default(),
        is_watched: false,
    };
    let shared = Shared::default();
    shared.publish(Config::compile(serde_json::from_str(CONFIG).unwrap()).unwrap());
    let header = HeaderName::from_static;
    let names = HeaderNames {
        request_id: header("x-request-id"),
        deadline: header("x-left-ms"),
        wanted_endpoint: header("x-endpoint"),
        not_run: header("x-not-run"),
    };
    let metrics = Metrics::register(&Registry::new()).unwrap();
    let builder = ListenerBuilder::new(shared, Suspended(grant), names, metrics);
    let listener = builder.bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let mut stream = TcpStream::connect(listener.addr().unwrap()).await.unwrap();
    let (_stop, stopped) = watch::channel(false);
    tokio::spawn(listener.serve(stopped));

    stream.write_all(b"GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n").await.unwrap();
    let mut answer = String::new();
    let answered = stream.read_to_string(&mut answer);
    tokio::select! {
        _ = answered => {}
        _ = endpoint.accept() => panic!("it is sent after its time"),
    }
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("not-run"), "{answer}");
}
