//! Reports to dispatch about a slot while its answer is in transit.

mod common;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use caller::{Admission, DetourRequest, Dispatch, NoDetour, Refused, Slot, SlotRequest};
use expect_test::{Expect, expect};
use policy::{Grant, Kind, Notice};
use resources::{Name, Route};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Grants slots and records the reports about them.
#[derive(Clone)]
struct Recorder {
    grant: Grant,
    /// Whether slots for further sends are granted too.
    grants_further: bool,
    reports: Arc<Mutex<Vec<String>>>,
}

impl Recorder {
    fn record(&self, report: impl Into<String>) {
        self.reports.lock().unwrap().push(report.into());
    }
}

impl Slot for Recorder {
    fn grant(&self) -> &Grant {
        &self.grant
    }

    fn granted_by(&self) -> &'static str {
        "test"
    }

    fn report_stall(&mut self, _: Duration) {
        self.record("stalled");
    }

    fn report_answer_start(&mut self, _: Duration) {
        self.record("began");
    }

    fn report_notice(&mut self, notice: Notice) {
        self.record(format!("{notice:?}"));
    }

    fn end(self, kind: Kind, _: Duration) {
        self.record(format!("{kind:?}"));
    }
}

impl Dispatch for Recorder {
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
            policy::SendKind::First => Ok(self.clone()),
            _ if self.grants_further => Ok(self.clone()),
            _ => Err(Refused::no_capacity(Duration::ZERO)),
        }
    }
}

/// Checks the reports about an endpoint that sends an answer in parts, with pauses between them,
/// and closes the connection.
async fn check(parts: &[&'static str], pause: Duration, expect: Expect) {
    check_with(|it| it, parts, pause, expect).await;
}

/// Like `check`, with an endpoint that is known to have a rate limit.
async fn check_limited(parts: &[&'static str], pause: Duration, expect: Expect) {
    check_with(|it| Grant { is_rate_limited: true, ..it }, parts, pause, expect).await;
}

async fn check_with(
    adjust_grant: impl Fn(Grant) -> Grant,
    parts: &[&'static str],
    pause: Duration,
    expect: Expect,
) {
    let endpoint = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let grant = adjust_grant(common::grant(endpoint.local_addr().unwrap()));
    let recorder = Recorder { grant, grants_further: false, reports: Arc::default() };
    let answering = async {
        let (mut stream, _) = endpoint.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4096]).await.unwrap();
        stream.write_all(common::genuine(parts[0]).as_bytes()).await.unwrap();
        for part in &parts[1..] {
            sleep(pause).await;
            stream.write_all(part.as_bytes()).await.unwrap();
        }
        drop(stream);
        std::future::pending::<()>().await
    };
    tokio::select! {
        _ = common::request(recorder.clone()) => {}
        () = answering => {}
    }
    // All reports have been made once the caller's connection has ended.
    let reports = recorder.reports.lock().unwrap().join(" ");
    expect.assert_eq(&reports);
}

const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n";
/// Pause between the parts of an answer, shorter than the stall timeout.
const PAUSE: Duration = Duration::from_millis(100);

#[tokio::test]
async fn an_answer_that_is_complete_at_once_reports_only_its_end() {
    check(&["HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody"], PAUSE, expect!["Answered"]).await;
}

#[tokio::test]
async fn an_answer_in_transit_reports_its_start() {
    check(&[HEAD, "bo", "dy"], PAUSE, expect!["began Answered"]).await;
}

#[tokio::test]
async fn an_answer_without_a_length_reports_its_start_and_ends_with_its_connection() {
    check(&["HTTP/1.1 200 OK\r\n\r\n", "body"], PAUSE, expect!["began Answered"]).await;
}

#[tokio::test]
async fn an_answer_without_progress_is_stalled() {
    let longer_than_the_stall_timeout = Duration::from_millis(1_300);
    check(&[HEAD, "body"], longer_than_the_stall_timeout, expect!["began stalled Answered"]).await;
}

#[tokio::test]
async fn a_truncated_answer_is_a_failure() {
    check(&[HEAD, "bo"], PAUSE, expect!["began Failed"]).await;
}

#[tokio::test]
async fn an_error_answer_holds_its_slot_until_it_is_complete() {
    let head = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 4\r\n\r\n";
    check(&[head, "body"], PAUSE, expect!["Failed"]).await;
}

#[tokio::test]
async fn a_rate_limit_is_reported_whatever_the_answer_is() {
    let reports = expect!["RateLimit(Some(RateLimit(2.5))) Answered"];
    check(&["HTTP/1.1 200 OK\r\ncontent-length: 0\r\nx-limit: 2.5\r\n\r\n"], PAUSE, reports).await;
    let shed = "HTTP/1.1 503 Full\r\ncontent-length: 0\r\nx-not-run: 1\r\nx-limit: 1\r\n\r\n";
    check(&[shed], PAUSE, expect!["RateLimit(Some(RateLimit(1.0))) Shed"]).await;
    let from_another_endpoint = "HTTP/1.1 421 No\r\ncontent-length: 0\r\nx-limit: 1\r\n\r\n";
    check(&[from_another_endpoint], PAUSE, expect!["Failed"]).await;
    let invalid = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nx-limit: few\r\n\r\n";
    check(&[invalid], PAUSE, expect!["Answered"]).await;
}

#[tokio::test]
async fn an_error_answer_without_a_rate_limit_lifts_none() {
    let failed = "HTTP/1.1 500 Oh\r\ncontent-length: 0\r\n\r\n";
    check_limited(&[failed], PAUSE, expect!["Failed"]).await;
    let good = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    check_limited(&[good], PAUSE, expect!["RateLimit(None) Answered"]).await;
}

#[tokio::test]
async fn a_resumed_download_reports_a_rate_limit_too() {
    let endpoint = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let grant = common::grant(endpoint.local_addr().unwrap());
    let recorder = Recorder { grant, grants_further: true, reports: Arc::default() };
    let total = 2_000_000;
    let answers = [
        format!("200 OK\r\ncontent-length: {total}\r\naccept-ranges: bytes\r\netag: \"a\""),
        format!(
            "206 Rest\r\ncontent-length: 1\r\ncontent-range: bytes {}-{}/{total}\r\n\
             etag: \"a\"\r\nx-limit: 3",
            total - 1,
            total - 1
        ),
    ];
    let bodies = [vec![b'.'; total - 1], vec![b'.']];
    let answering = async {
        for (head, body) in answers.iter().zip(bodies) {
            // A connection without a request only checks whether the process has ended.
            let mut stream = loop {
                let (mut stream, _) = endpoint.accept().await.unwrap();
                if stream.read(&mut [0; 4096]).await.unwrap() > 0 {
                    break stream;
                }
            };
            let head = common::genuine(&format!("HTTP/1.1 {head}\r\n\r\n"));
            stream.write_all(head.as_bytes()).await.unwrap();
            stream.write_all(&body).await.unwrap();
        }
        std::future::pending::<()>().await
    };
    tokio::select! {
        _ = common::request(recorder.clone()) => {}
        () = answering => {}
    }
    let reports = recorder.reports.lock().unwrap().join(" ");
    expect!["began Failed RateLimit(Some(RateLimit(3.0))) began Answered"].assert_eq(&reports);
}

#[tokio::test]
async fn an_endpoint_that_leaves_or_asks_for_a_back_off_is_reported() {
    let leaving = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nx-leaving: 1\r\n\r\n";
    check(&[leaving], PAUSE, expect!["Leaving Answered"]).await;
    let staying = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nx-leaving: 0\r\n\r\n";
    check(&[staying], PAUSE, expect!["Answered"]).await;
    let asks_for_back_off =
        "HTTP/1.1 503 Full\r\ncontent-length: 0\r\nx-not-run: 1\r\nretry-after: 2.5\r\n\r\n";
    check(&[asks_for_back_off], PAUSE, expect!["Backoff(2.5s) Shed"]).await;
    let invalid_back_off =
        "HTTP/1.1 503 Full\r\ncontent-length: 0\r\nx-not-run: 1\r\nretry-after: x\r\n\r\n";
    check(&[invalid_back_off], PAUSE, expect!["Shed"]).await;
}
