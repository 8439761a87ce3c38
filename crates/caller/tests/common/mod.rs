//! Runs a listener with slots from the test's own dispatch.

// Each test file uses a part of this.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use caller::{
    Admission, DetourRequest, Dispatch, HeaderNames, IdEcho, ListenerBuilder, Metrics, NoDetour,
    Refused, SharedSnapshot, Slot, SlotRequest,
};
use http::HeaderName;
use policy::{Grant, Kind, Notice, SendKind, Tier};
use prometheus::Registry;
use resources::{Config, Name, Route};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{Instant, sleep};

/// Generous limit for the reports about an endpoint.
const REPORTS_LIMIT: Duration = Duration::from_secs(20);

const CONFIG: &str = r#"{"version": 1, "resources": [
    {"kind": "Service", "name": "s", "slots": 1, "connections": 9, "floor": "50%", "bias": "speed"},
    {"kind": "Route", "name": "r", "path": "/", "service": "s", "deadline_ms": 5000, "repeat": "anytime"},
    {"kind": "Route", "name": "b", "path": "/bookings", "service": "s", "deadline_ms": 5000, "repeat": "if-not-run"}
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

/// A request that may be sent again, with the id that `genuine` answers carry.
pub const LOOKUP: &str = "GET / HTTP/1.1\r\nx-request-id: r1";

/// A request that may not be sent again once it may have run, with the same id.
pub const BOOKING: &str = "POST /bookings HTTP/1.1\r\nx-request-id: r1\r\ncontent-length: 0";

/// Adds to an answer what each answer of an endpoint to `LOOKUP` carries.
pub fn genuine(answer: &str) -> String {
    answer.replacen("\r\n", "\r\nx-request-id: r1\r\nx-signature: s\r\n", 1)
}

/// A genuine answer to `LOOKUP` with these lines in its head.
pub fn genuine_answer(status: &str, lines: &str, body: &str) -> String {
    genuine(&format!("HTTP/1.1 {status}\r\n{lines}\r\n\r\n{body}"))
}

/// Sends `LOOKUP` to a listener that takes its slots from `dispatch`, and returns the raw answer.
pub async fn request(dispatch: impl Dispatch) -> String {
    send(dispatch, LOOKUP).await
}

/// Sends a request that starts with `head`, and returns the raw answer.
pub async fn send(dispatch: impl Dispatch, head: &str) -> String {
    send_to(listen(dispatch).await, head).await
}

/// Sends a request that starts with `head` to a listener, and returns the raw answer.
pub async fn send_to(listener: SocketAddr, head: &str) -> String {
    let mut answer = String::new();
    // A truncated answer is returned as far as it was received.
    let _ = open_request_to(listener, head).await.read_to_string(&mut answer).await;
    answer
}

/// Sends a request that starts with `head` to a listener that takes its slots from `dispatch`, and returns the
/// caller's connection.
pub async fn open_request(dispatch: impl Dispatch, head: &str) -> TcpStream {
    open_request_to(listen(dispatch).await, head).await
}

async fn open_request_to(listener: SocketAddr, head: &str) -> TcpStream {
    let mut stream = TcpStream::connect(listener).await.unwrap();
    let request = format!("{head}\r\nhost: h\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}

/// Starts a listener that takes its slots from `dispatch`, and returns its address.
pub async fn listen(dispatch: impl Dispatch) -> SocketAddr {
    listen_with(CONFIG, dispatch).await
}

/// Starts a listener with a configuration of the test.
pub async fn listen_with(config: &str, dispatch: impl Dispatch) -> SocketAddr {
    let shared = SharedSnapshot::default();
    shared.publish(Config::compile(serde_json::from_str(config).unwrap()).unwrap());
    let header = HeaderName::from_static;
    let names = HeaderNames {
        request_id: header("x-request-id"),
        id_echo: IdEcho::Always,
        signature: Some(header("x-signature")),
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

/// Grants a slot to every request, once.
#[derive(Clone)]
pub struct Slots(pub Grant);

impl Slot for Slots {
    fn grant(&self) -> &Grant {
        &self.0
    }

    fn granted_by(&self) -> &'static str {
        "test"
    }

    fn report_stall(&mut self, _: Duration) {}

    fn report_answer_start(&mut self, _: Duration) {}

    fn report_notice(&mut self, _: Notice) {}

    fn end(self, _: Kind, _: Duration) {}
}

impl Dispatch for Slots {
    type Slot = Self;
    type Detour = DuplexStream;

    async fn open_detour(&self, _: DetourRequest) -> Result<DuplexStream, NoDetour> {
        Err(NoDetour::NoNode)
    }

    fn record_unserved(&self, _: &Arc<Route>, _: &Name) {}

    fn record_refused(&self, _: &Arc<Route>) {}

    async fn admit(&self, _: u64) -> Admission {
        Admission::Granted
    }

    async fn acquire(&self, request: SlotRequest) -> Result<Self, Refused> {
        match request.send {
            SendKind::First => Ok(self.clone()),
            _ => Err(Refused::no_capacity(Duration::ZERO)),
        }
    }
}

/// An address that refuses connections until this is dropped.
#[derive(Clone)]
pub struct ClosedAddr {
    pub addr: SocketAddr,
    /// Bound, so that no other test gets the address, and not listening.
    _socket: Arc<TcpSocket>,
}

impl ClosedAddr {
    pub fn new() -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        Self { addr: socket.local_addr().unwrap(), _socket: Arc::new(socket) }
    }
}

/// The path to the endpoint of an `exchange`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    Direct,
    /// This node cannot connect to the endpoint; another node can.
    ThroughNode,
}

/// Grants any number of slots on one endpoint and records what is reported about it.
#[derive(Clone)]
pub struct Recording {
    pub grant: Grant,
    /// Address at which another node reaches the endpoint.
    detour: Option<SocketAddr>,
    _closed: Option<ClosedAddr>,
    reports: Arc<Mutex<Vec<String>>>,
}

impl Recording {
    pub fn new(path: Path, endpoint: SocketAddr) -> Self {
        let reports = Arc::default();
        if path == Path::Direct {
            return Self { grant: grant(endpoint), detour: None, _closed: None, reports };
        }
        let closed = ClosedAddr::new();
        Self { grant: grant(closed.addr), detour: Some(endpoint), _closed: Some(closed), reports }
    }

    pub fn reports(&self) -> String {
        self.reports.lock().unwrap().join(" ")
    }
}

impl Slot for Recording {
    fn grant(&self) -> &Grant {
        &self.grant
    }

    fn granted_by(&self) -> &'static str {
        "test"
    }

    fn report_stall(&mut self, _: Duration) {}

    fn report_answer_start(&mut self, _: Duration) {}

    fn report_notice(&mut self, notice: Notice) {
        self.reports.lock().unwrap().push(format!("{notice:?}"));
    }

    fn end(self, kind: Kind, _: Duration) {
        self.reports.lock().unwrap().push(format!("{kind:?}"));
    }
}

impl Dispatch for Recording {
    type Slot = Self;
    type Detour = TcpStream;

    async fn open_detour(&self, _: DetourRequest) -> Result<TcpStream, NoDetour> {
        let addr = self.detour.ok_or(NoDetour::NoNode)?;
        Ok(TcpStream::connect(addr).await.unwrap())
    }

    fn record_unserved(&self, _: &Arc<Route>, _: &Name) {}

    fn record_refused(&self, _: &Arc<Route>) {}

    async fn admit(&self, _: u64) -> Admission {
        Admission::Granted
    }

    async fn acquire(&self, _: SlotRequest) -> Result<Self, Refused> {
        Ok(self.clone())
    }
}

/// A listener, and an endpoint that gives chosen answers.
pub struct Exchange {
    endpoint: TcpListener,
    recording: Recording,
    listener: SocketAddr,
}

impl Exchange {
    pub async fn new(path: Path) -> Self {
        let endpoint = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let recording = Recording::new(path, endpoint.local_addr().unwrap());
        let listener = listen(recording.clone()).await;
        Self { endpoint, recording, listener }
    }

    /// Sends a request to an endpoint that gives these answers, one on each connection, with `{id}` replaced by the id of
    /// the request. Returns the caller's answer and the reports about the endpoint.
    pub async fn run(&self, request: &str, answers: &[String]) -> (String, String) {
        self.recording.reports.lock().unwrap().clear();
        let answering = async {
            for answer in answers {
                let (mut stream, received) = accept_request(&self.endpoint).await;
                let id = received.lines().find_map(|it| it.strip_prefix("x-request-id: "));
                let answer = answer.replace("{id}", id.unwrap());
                let _ = stream.write_all(answer.as_bytes()).await;
            }
            std::future::pending::<()>().await
        };
        let answer = tokio::select! {
            it = send_to(self.listener, request) => it,
            () = answering => unreachable!(),
        };
        (answer, self.recording.reports())
    }

    /// Waits for these reports about the endpoint since the last request was sent, and returns those that there are. The
    /// caller may have the last byte of a streamed answer before its end is reported.
    pub async fn wait_reports(&self, expected: &str) -> String {
        let until = Instant::now() + REPORTS_LIMIT;
        loop {
            let reports = self.recording.reports();
            if reports == expected || Instant::now() > until {
                return reports;
            }
            sleep(Duration::from_millis(1)).await;
        }
    }
}

/// Runs one exchange with a listener and an endpoint of its own.
pub async fn exchange(path: Path, request: &str, answers: &[String]) -> (String, String) {
    Exchange::new(path).await.run(request, answers).await
}

/// Accepts the next connection with a request, and reads the request. A connection without one only checks whether the
/// process has ended.
pub async fn accept_request(endpoint: &TcpListener) -> (TcpStream, String) {
    loop {
        let (mut stream, _) = endpoint.accept().await.unwrap();
        let mut buf = [0; 4096];
        let len = stream.read(&mut buf).await.unwrap();
        if len > 0 {
            return (stream, String::from_utf8_lossy(&buf[..len]).into_owned());
        }
    }
}
