//! Sends to endpoints that this node does not reach: the way through another node, and what is reported about the
//! endpoint.

mod common;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use caller::{Admission, DetourRequest, Dispatch, NoDetour, Refused, Slot, SlotRequest};
use common::ClosedAddr;
use policy::{Grant, Kind, Notice, SendKind};
use resources::{Name, Route};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Grants slots on one endpoint, for as many sends as given, and records how they ended.
#[derive(Clone)]
struct Detouring {
    grant: Grant,
    sends: u32,
    /// Address at which another node reaches the endpoint.
    detour: Result<SocketAddr, NoDetour>,
    /// How long the other node takes to connect the first time.
    first_detour_takes: Arc<Mutex<Duration>>,
    reports: Arc<Mutex<Vec<String>>>,
}

impl Detouring {
    fn new(endpoint: SocketAddr, detour: Result<SocketAddr, NoDetour>) -> Self {
        let grant = Grant { stall_after: Duration::from_millis(100), ..common::grant(endpoint) };
        Self {
            grant,
            sends: 1,
            detour,
            first_detour_takes: Arc::default(),
            reports: Arc::default(),
        }
    }

    fn record(&self, report: impl Into<String>) {
        self.reports.lock().unwrap().push(report.into());
    }

    /// Sends a request; returns its status line and the reports about the endpoint.
    async fn request(self) -> (String, Vec<String>) {
        let reports = self.reports.clone();
        let answer = common::request(self).await;
        let status = answer.lines().next().unwrap_or_default().to_owned();
        let reports = reports.lock().unwrap().clone();
        (status, reports)
    }
}

impl Slot for Detouring {
    fn grant(&self) -> &Grant {
        &self.grant
    }

    fn granted_by(&self) -> &'static str {
        "test"
    }

    fn report_stall(&mut self, _: Duration) {
        self.record("stalled");
    }

    fn report_answer_start(&mut self, _: Duration) {}

    fn report_notice(&mut self, _: Notice) {}

    fn end(self, kind: Kind, _: Duration) {
        self.record(format!("{kind:?}"));
    }
}

impl Dispatch for Detouring {
    type Slot = Self;
    type Detour = TcpStream;

    async fn open_detour(&self, _: DetourRequest) -> Result<TcpStream, NoDetour> {
        let takes = std::mem::take(&mut *self.first_detour_takes.lock().unwrap());
        tokio::time::sleep(takes).await;
        Ok(TcpStream::connect(self.detour?).await.unwrap())
    }

    fn record_unserved(&self, _: &Arc<Route>, _: &Name) {}

    fn record_refused(&self, _: &Arc<Route>) {}

    async fn admit(&self, _: u64) -> Admission {
        Admission::Granted
    }

    async fn acquire(&self, request: SlotRequest) -> Result<Self, Refused> {
        match request.send == SendKind::First || self.sends > 1 {
            true => Ok(self.clone()),
            false => Err(Refused::no_capacity(Duration::ZERO)),
        }
    }
}

/// A listener whose loopback address no other listener has, so that nobody gets its port once it is closed.
async fn listener() -> (TcpListener, SocketAddr) {
    static COUNT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, high | 0x80, low, COUNT.fetch_add(1, Ordering::Relaxed));
    let listener = TcpListener::bind((ip, 0)).await.unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

/// An endpoint that answers every request.
async fn answering() -> SocketAddr {
    let (listener, addr) = listener().await;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                if stream.read(&mut [0; 4096]).await.is_ok_and(|n| n > 0) {
                    let _ = stream.write_all(common::genuine(ANSWER).as_bytes()).await;
                }
            });
        }
    });
    addr
}

/// What an endpoint does after it has read a request and refuses new connections.
#[derive(Clone, Copy)]
enum After {
    Nothing,
    Reset,
}

/// An endpoint that accepts one connection only.
async fn accepting_once(after: After) -> SocketAddr {
    let (listener, addr) = listener().await;
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        drop(listener);
        let _ = stream.read(&mut [0; 4096]).await;
        match after {
            After::Nothing => std::future::pending().await,
            After::Reset => stream.set_zero_linger().unwrap(),
        }
    });
    addr
}

async fn check(dispatch: Detouring, status: u16, reports: &[&str]) {
    let (line, reported) = dispatch.request().await;
    assert!(line.contains(&status.to_string()), "{line}");
    assert_eq!(reported, reports);
}

#[tokio::test]
async fn an_endpoint_that_only_another_node_reaches_answers_and_is_not_blamed() {
    let closed = ClosedAddr::new();
    check(Detouring::new(closed.addr, Ok(answering().await)), 200, &["Answered"]).await;
}

#[tokio::test]
async fn an_endpoint_that_no_node_reaches_is_reported() {
    let closed = ClosedAddr::new();
    for why in [NoDetour::Refused, NoDetour::Silent, NoDetour::NoNode] {
        check(Detouring::new(closed.addr, Err(why)), 503, &["Unreachable"]).await;
    }
}

#[tokio::test]
async fn an_endpoint_that_leaves_according_to_another_node_is_not_blamed() {
    let closed = ClosedAddr::new();
    check(Detouring::new(closed.addr, Err(NoDetour::Closed)), 503, &[]).await;
}

#[tokio::test]
async fn silence_on_a_lost_path_is_no_evidence_and_the_request_is_sent_through_another_node() {
    let endpoint = accepting_once(After::Nothing).await;
    let dispatch = Detouring::new(endpoint, Ok(answering().await));
    check(Detouring { sends: 2, ..dispatch }, 200, &["Answered"]).await;
}

#[tokio::test]
async fn silence_of_an_endpoint_that_no_node_reaches_is_reported() {
    let endpoint = accepting_once(After::Nothing).await;
    let (_, reports) = Detouring::new(endpoint, Err(NoDetour::Refused)).request().await;
    assert_eq!(reports, ["stalled", "TimedOut"]);
}

#[tokio::test]
async fn a_connection_that_breaks_with_the_path_is_no_crash() {
    let endpoint = accepting_once(After::Reset).await;
    let dispatch = Detouring::new(endpoint, Ok(answering().await));
    check(Detouring { sends: 2, ..dispatch }, 200, &["Answered"]).await;
}

#[tokio::test]
async fn a_crash_that_another_node_confirms_is_reported() {
    let endpoint = accepting_once(After::Reset).await;
    check(Detouring::new(endpoint, Err(NoDetour::Refused)), 502, &["Crashed"]).await;
}

#[tokio::test]
async fn a_node_that_is_lost_during_a_send_says_nothing_about_the_endpoint() {
    let closed = ClosedAddr::new();
    let (other_node, addr) = listener().await;
    tokio::spawn(async move {
        let (mut stream, _) = other_node.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4096]).await;
        stream.set_zero_linger().unwrap();
        drop(stream);
        // Another node opens the next connection.
        let _next = other_node.accept().await;
        std::future::pending::<()>().await;
    });
    check(Detouring::new(closed.addr, Ok(addr)), 502, &[]).await;
}

#[tokio::test]
async fn a_connection_through_another_node_that_takes_long_is_no_silence() {
    let closed = ClosedAddr::new();
    let dispatch = Detouring::new(closed.addr, Ok(answering().await));
    *dispatch.first_detour_takes.lock().unwrap() = dispatch.grant.stall_after * 3;
    check(dispatch, 200, &["Answered"]).await;
}
