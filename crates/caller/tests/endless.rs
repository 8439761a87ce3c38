//! Endpoints that send bytes without end, in a head or a body: the request ends and the connection is closed.

mod common;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use caller::{Admission, DetourRequest, Dispatch, NoDetour, Refused, Slot, SlotRequest};
use policy::{Grant, Kind, Notice, SendKind};
use resources::{Name, Route};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Generous limit for the end of a request with a deadline of five seconds.
const LIMIT: Duration = Duration::from_secs(40);
/// Generous limit for the end of a stream with a deadline of half a second whose endpoint has fallen silent.
const SILENCE_LIMIT: Duration = Duration::from_secs(20);
/// Pause between two bytes of a slow endpoint, shorter than the stall timeout.
const PAUSE: Duration = Duration::from_millis(20);

/// Grants one slot and records how its use ends.
#[derive(Clone)]
struct OneSlot {
    grant: Grant,
    ends: Arc<Mutex<Vec<Kind>>>,
}

impl Slot for OneSlot {
    fn grant(&self) -> &Grant {
        &self.grant
    }

    fn granted_by(&self) -> &'static str {
        "test"
    }

    fn report_stall(&mut self, _: Duration) {}

    fn report_answer_start(&mut self, _: Duration) {}

    fn report_notice(&mut self, _: Notice) {}

    fn end(self, kind: Kind, _: Duration) {
        self.ends.lock().unwrap().push(kind);
    }
}

impl Dispatch for OneSlot {
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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Speed {
    Fast,
    Slow,
}

/// What became of a request.
#[derive(Debug)]
struct Ended {
    /// Start of the answer to the caller.
    start: String,
    /// Last bytes of the answer to the caller.
    last: Vec<u8>,
    /// Bytes that the endpoint could send before its connection closed.
    sent: usize,
    ends: Vec<Kind>,
}

/// Sends a request to an endpoint that answers `start` and then `endless` again and again until its connection closes.
async fn run(start: &str, endless: &str, speed: Speed) -> Ended {
    let endpoint = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let grant = common::grant(endpoint.local_addr().unwrap());
    let slot = OneSlot { grant, ends: Arc::default() };
    let answering = async {
        let (mut stream, _) = endpoint.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4096]).await.unwrap();
        let mut sent = 0;
        if stream.write_all(common::genuine(start).as_bytes()).await.is_err() {
            return sent;
        }
        let many = endless.repeat(64 * 1024 / endless.len());
        let mut bytes = endless.bytes().cycle();
        loop {
            let written = match speed {
                Speed::Fast => stream.write(many.as_bytes()).await,
                Speed::Slow => stream.write(&[bytes.next().unwrap()]).await,
            };
            match written {
                Ok(n) => sent += n,
                Err(_) => return sent,
            }
            if speed == Speed::Slow {
                sleep(PAUSE).await;
            }
        }
    };
    let asking = async {
        let mut stream = common::open_request(slot.clone(), common::LOOKUP).await;
        let (mut start, mut last) = (Vec::new(), Vec::new());
        let mut buf = vec![0; 64 * 1024];
        // A reset ends the answer as well.
        while let Ok(n) = stream.read(&mut buf).await
            && n > 0
        {
            if start.len() < 1024 {
                start.extend_from_slice(&buf[..n]);
            }
            last.extend_from_slice(&buf[..n]);
            last.drain(..last.len().saturating_sub(16));
        }
        (String::from_utf8_lossy(&start).into_owned(), last)
    };
    let both = async { tokio::join!(asking, answering) };
    let ((start, last), sent) =
        timeout(LIMIT, both).await.expect("the request ends, and its connection");
    // The last report may be made after the caller's connection has ended.
    let mut ends = slot.ends.lock().unwrap().clone();
    for _ in 0..100 {
        if !ends.is_empty() {
            break;
        }
        sleep(Duration::from_millis(100)).await;
        ends = slot.ends.lock().unwrap().clone();
    }
    Ended { start, last, sent, ends }
}

impl Ended {
    fn is_error(&self) -> bool {
        self.start.starts_with("HTTP/1.1 5")
    }

    /// Whether the caller sees that the answer is cut.
    fn is_cut(&self) -> bool {
        self.start.starts_with("HTTP/1.1 200") && !self.last.ends_with(b"0\r\n\r\n")
    }
}

/// Checks an endless head, of which little may be read.
async fn check_head(start: &str, endless: &str, speed: Speed) {
    let it = run(start, endless, speed).await;
    assert!(it.is_error(), "{start:?} {endless:?} {speed:?}: {it:?}");
    assert_eq!(it.ends.len(), 1, "{it:?}");
    assert!(it.ends[0] != Kind::Answered, "{it:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_without_end_ends_the_request() {
    let ok = "HTTP/1.1 200 OK\r\n";
    for speed in [Speed::Fast, Speed::Slow] {
        tokio::join!(
            check_head(ok, "x-more: 1\r\n", speed),
            check_head("HTTP/1.1 200 OK\r\nx-long: ", "x", speed),
            check_head("HTTP/1.1 200 ", "O", speed),
            check_head("", "\r\n", speed),
            check_head("", "x", speed),
            check_head("", "HTTP/1.1 100 Continue\r\n\r\n", speed),
            check_head("", "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n", speed),
        );
    }
}

/// Checks a body without end, of which the caller gets an error or a cut answer.
async fn check_body(start: &str, endless: &str, speed: Speed) {
    let it = run(start, endless, speed).await;
    assert!(it.is_error() || it.is_cut(), "{start:.80?} {endless:?} {speed:?}: {it:?}");
    // A slot whose answer waited mostly for the caller ends without an outcome.
    let is_relayed = speed == Speed::Fast && it.is_cut();
    let ends = it.ends.len();
    assert!(ends == 1 || ends == 0 && is_relayed, "{start:.80?} {endless:?} {speed:?}: {it:?}");
    assert!(!it.ends.contains(&Kind::Answered), "{start:.80?} {endless:?} {speed:?}: {it:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_without_end_ends_the_request_at_its_deadline() {
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let extension = format!("{chunked}1;x=");
    let size = format!("{chunked}0");
    let trailers = format!("{chunked}2\r\nok\r\n0\r\n");
    for speed in [Speed::Fast, Speed::Slow] {
        tokio::join!(
            check_body(chunked, "1\r\nx\r\n", speed),
            check_body(&extension, "x", speed),
            check_body(&size, "0", speed),
            check_body(&trailers, "x-more: 1\r\n", speed),
            check_body("HTTP/1.1 200 OK\r\n\r\n", "x", speed),
            check_body("HTTP/1.1 500 Oh\r\n\r\n", "x", speed),
        );
    }
}

/// Guards against an answer that goes on beyond its deadline once it is too long to buffer.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_answer_on_a_route_without_streams_is_cut_at_the_deadline() {
    let long = format!("HTTP/1.1 200 OK\r\n\r\n{}", "x".repeat(1_100_000));
    let announced =
        format!("HTTP/1.1 200 OK\r\ncontent-length: 4000000000\r\n\r\n{}", "x".repeat(1_100_000));
    let it = run(&long, "x", Speed::Slow).await;
    assert!(it.is_cut() && it.ends == [Kind::Failed], "{:.80} {:?}", it.start, it.ends);
    let it = run(&announced, "x", Speed::Slow).await;
    assert!(it.is_cut() && it.ends == [Kind::Failed], "{:.80} {:?}", it.start, it.ends);
}

/// Guards against an endpoint that never completes an answer and still counts as good.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_trickles_until_the_deadline_is_a_failure() {
    let it = run("HTTP/1.1 200 OK\r\n\r\n", "x", Speed::Slow).await;
    assert!(it.is_error() && it.ends == [Kind::Failed], "{it:?}");
}

const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// The answer itself is whole; nothing more is read from its connection.
#[tokio::test(flavor = "multi_thread")]
async fn answers_after_a_whole_answer_close_the_connection() {
    for speed in [Speed::Fast, Speed::Slow] {
        let it = run(WHOLE, WHOLE, speed).await;
        assert!(it.start.starts_with("HTTP/1.1 200") && it.last.ends_with(b"ok"), "{it:?}");
        assert_eq!(it.ends, [Kind::Answered]);
        assert!(it.sent < 32 << 20, "{it:?}");
    }
}

/// The answer is refused if the bytes arrive with it, because they may belong to its body, and is whole otherwise; nothing
/// more is read from its connection.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_after_an_answer_close_the_connection() {
    for speed in [Speed::Fast, Speed::Slow] {
        let it = run(WHOLE, "x", speed).await;
        match it.is_error() {
            true => assert_eq!(it.ends, [Kind::Failed]),
            false => {
                assert!(it.start.starts_with("HTTP/1.1 200") && it.last.ends_with(b"ok"), "{it:?}");
                assert_eq!(it.ends, [Kind::Answered]);
            }
        }
        assert!(it.sent < 32 << 20, "{it:?}");
    }
}

/// A route of streams whose callers may be idle for a second.
const STREAMS: &str = r#"{"version": 1, "limits": {"head_timeout_ms": 1000, "idle_timeout_ms": 1000}, "resources": [
    {"kind": "Service", "name": "s", "slots": 1, "connections": 9, "floor": "50%", "bias": "speed"},
    {"kind": "Route", "name": "r", "path": "/", "service": "s", "deadline_ms": 500, "repeat": "anytime", "stream": true}
]}"#;

/// Asks for a stream; returns the connections of the caller and of the endpoint, which has read the request.
async fn open_stream() -> (TcpStream, TcpStream) {
    let endpoint = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let grant = common::grant(endpoint.local_addr().unwrap());
    let addr = common::listen_with(STREAMS, OneSlot { grant, ends: Arc::default() }).await;
    let mut caller = TcpStream::connect(addr).await.unwrap();
    let request = format!("{}\r\nhost: h\r\n\r\n", common::LOOKUP);
    caller.write_all(request.as_bytes()).await.unwrap();
    let (mut stream, _) = endpoint.accept().await.unwrap();
    let _ = stream.read(&mut [0; 4096]).await.unwrap();
    (caller, stream)
}

/// Guards against callers that keep endpoints at work for good by reading nothing of a stream.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_its_caller_does_not_read_is_cut() {
    let (caller, mut stream) = open_stream().await;
    let head = common::genuine("HTTP/1.1 200 OK\r\ncontent-length: 4000000000\r\n\r\n");
    let sending = async {
        stream.write_all(head.as_bytes()).await.unwrap();
        while stream.write_all(&[b'x'; 64 * 1024]).await.is_ok() {}
    };
    timeout(LIMIT, sending).await.expect("the endpoint's connection closes");
    drop(caller);
}

/// Guards against a download that is held for half a minute beyond its deadline after its connection went silent, while the
/// caller could ask for it again.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_falls_silent_is_cut_once_its_deadline_has_passed() {
    let (mut caller, mut stream) = open_stream().await;
    let head = common::genuine("HTTP/1.1 200 OK\r\ncontent-length: 4000000\r\n\r\n");
    let start = format!("{head}{}", "x".repeat(2_000_000));
    let sending = async { stream.write_all(start.as_bytes()).await.unwrap() };
    let reading = async {
        let mut buf = vec![0; 64 * 1024];
        while caller.read(&mut buf).await.is_ok_and(|n| n > 0) {}
    };
    let both = async { tokio::join!(sending, reading) };
    timeout(SILENCE_LIMIT, both).await.expect("the caller's connection closes");
}

/// Sends `start` and then `endless` again and again as a caller, until the connection closes. Returns the answer.
async fn call(start: &str, endless: &str, speed: Speed) -> String {
    let endpoint = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let grant = common::grant(endpoint.local_addr().unwrap());
    // The endpoint takes everything and answers nothing.
    let taking = tokio::spawn(async move {
        loop {
            let (mut stream, _) = endpoint.accept().await.unwrap();
            tokio::spawn(async move {
                let mut buf = vec![0; 64 * 1024];
                while stream.read(&mut buf).await.is_ok_and(|n| n > 0) {}
            });
        }
    });
    let addr = common::listen(OneSlot { grant, ends: Arc::default() }).await;
    let (mut rx, mut tx) = TcpStream::connect(addr).await.unwrap().into_split();
    let start = start.to_owned();
    let many = endless.repeat(64 * 1024 / endless.len());
    let mut bytes = endless.to_owned().into_bytes().into_iter().cycle();
    let sending = tokio::spawn(async move {
        tx.write_all(start.as_bytes()).await.unwrap();
        loop {
            let written = match speed {
                Speed::Fast => tx.write_all(many.as_bytes()).await,
                Speed::Slow => tx.write_all(&[bytes.next().unwrap()]).await,
            };
            if written.is_err() {
                return;
            }
            if speed == Speed::Slow {
                sleep(PAUSE).await;
            }
        }
    });
    let mut answer = Vec::new();
    let mut buf = [0; 4096];
    while let Ok(n) = rx.read(&mut buf).await
        && n > 0
    {
        answer.extend_from_slice(&buf[..n]);
    }
    drop(rx);
    timeout(LIMIT, sending).await.expect("the connection closes").unwrap();
    taking.abort();
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against callers that hold a connection, and memory, with a request that never ends.
#[tokio::test(flavor = "multi_thread")]
async fn a_callers_request_without_end_is_refused() {
    let chunked = "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";
    let extension = format!("{chunked}1;x=");
    let trailers = format!("{chunked}2\r\nok\r\n0\r\n");
    let cases = [
        ("GET / HTTP/1.1\r\nhost: h\r\n", "x-more: 1\r\n", Speed::Fast),
        ("GET /", "x", Speed::Fast),
        (chunked, "1\r\nx\r\n", Speed::Fast),
        (chunked, "1\r\nx\r\n", Speed::Slow),
        (&extension, "x", Speed::Fast),
        (&extension, "x", Speed::Slow),
        (&trailers, "x-more: 1\r\n", Speed::Fast),
        (&trailers, "x-more: 1\r\n", Speed::Slow),
    ];
    let calls = cases.map(|(start, endless, speed)| {
        let (start, endless) = (start.to_owned(), endless.to_owned());
        tokio::spawn(async move {
            let answer = timeout(LIMIT, call(&start, &endless, speed)).await;
            let answer = answer.unwrap_or_else(|_| panic!("{start:?} {endless:?} {speed:?}"));
            let is_refused = answer.is_empty()
                || answer.starts_with("HTTP/1.1 4")
                || answer.starts_with("HTTP/1.1 5");
            assert!(is_refused, "{start:?} {endless:?} {speed:?}: {answer}");
        })
    });
    for it in calls {
        it.await.unwrap();
    }
}
