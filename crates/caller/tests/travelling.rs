//! What is told of a slot while the answer travels.

mod bed;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use caller::{Admission, Dispatch, Refused, Slot, Want};
use expect_test::{Expect, expect};
use policy::{Grant, Kind, Notice};
use resources::{Name, Route};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Grants one slot and records what is told of it.
#[derive(Clone)]
struct Recorder {
    grant: Grant,
    /// Slots for further sends are granted too.
    grants_further: bool,
    told: Arc<Mutex<Vec<String>>>,
}

impl Recorder {
    fn tell(&self, what: impl Into<String>) {
        self.told.lock().unwrap().push(what.into());
    }
}

impl Slot for Recorder {
    fn grant(&self) -> &Grant {
        &self.grant
    }

    fn granted_by(&self) -> &'static str {
        "test"
    }

    fn stalled(&mut self, _: Duration) {
        self.tell("stalled");
    }

    fn answer_began(&mut self, _: Duration) {
        self.tell("began");
    }

    fn noticed(&mut self, notice: Notice) {
        self.tell(format!("{notice:?}"));
    }

    fn end(self, kind: Kind, _: Duration) {
        self.tell(format!("{kind:?}"));
    }
}

impl Dispatch for Recorder {
    type Slot = Self;

    fn unserved(&self, _: &Arc<Route>, _: &Name) {}

    fn refused(&self, _: &Arc<Route>) {}

    async fn admit(&self, _: u64) -> Admission {
        Admission::Granted
    }

    async fn acquire(&self, want: Want) -> Result<Self, Refused> {
        match want.send {
            policy::SendKind::First => Ok(self.clone()),
            _ if self.grants_further => Ok(self.clone()),
            _ => Err(Refused::no_capacity(Duration::ZERO)),
        }
    }
}

/// An endpoint sends parts of an answer with pauses between them and closes the connection.
async fn check(parts: &[&'static str], pause: Duration, expect: Expect) {
    check_with(|it| it, parts, pause, expect).await;
}

/// The same with an endpoint that is taken for one under a rate limit.
async fn check_limited(parts: &[&'static str], pause: Duration, expect: Expect) {
    check_with(|it| Grant { is_rate_limited: true, ..it }, parts, pause, expect).await;
}

async fn check_with(
    granted: impl Fn(Grant) -> Grant,
    parts: &[&'static str],
    pause: Duration,
    expect: Expect,
) {
    let endpoint = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let grant = granted(bed::grant(endpoint.local_addr().unwrap()));
    let recorder = Recorder { grant, grants_further: false, told: Arc::default() };
    let answering = async {
        let (mut stream, _) = endpoint.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4096]).await.unwrap();
        for (i, part) in parts.iter().enumerate() {
            if i > 0 {
                sleep(pause).await;
            }
            stream.write_all(part.as_bytes()).await.unwrap();
        }
        drop(stream);
        std::future::pending::<()>().await
    };
    tokio::select! {
        _ = bed::request(recorder.clone()) => {}
        () = answering => {}
    }
    // The caller may have left first.
    let told = recorder.told.lock().unwrap().join(" ");
    expect.assert_eq(&told);
}

const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n";
const LONG: Duration = Duration::from_millis(100);

#[tokio::test]
async fn an_answer_that_is_whole_at_once_tells_its_end_alone() {
    check(&["HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody"], LONG, expect!["Answered"]).await;
}

#[tokio::test]
async fn an_answer_that_travels_tells_its_beginning() {
    check(&[HEAD, "bo", "dy"], LONG, expect!["began Answered"]).await;
}

#[tokio::test]
async fn an_answer_without_a_length_tells_its_beginning_and_ends_with_its_connection() {
    check(&["HTTP/1.1 200 OK\r\n\r\n", "body"], LONG, expect!["began Answered"]).await;
}

#[tokio::test]
async fn an_answer_that_stops_moving_is_stalled() {
    let longer_than_a_stall = Duration::from_millis(1_300);
    check(&[HEAD, "body"], longer_than_a_stall, expect!["began stalled Answered"]).await;
}

#[tokio::test]
async fn an_answer_that_breaks_off_is_a_failure() {
    check(&[HEAD, "bo"], LONG, expect!["began Failed"]).await;
}

#[tokio::test]
async fn a_failure_holds_its_slot_until_it_is_whole() {
    let head = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 4\r\n\r\n";
    check(&[head, "body"], LONG, expect!["Failed"]).await;
}

#[tokio::test]
async fn a_rate_limit_is_told_whatever_the_answer_is() {
    let told = expect!["RateLimit(Some(RateLimit(2.5))) Answered"];
    check(&["HTTP/1.1 200 OK\r\ncontent-length: 0\r\nx-limit: 2.5\r\n\r\n"], LONG, told).await;
    let shed = "HTTP/1.1 503 Full\r\ncontent-length: 0\r\nx-not-run: 1\r\nx-limit: 1\r\n\r\n";
    check(&[shed], LONG, expect!["RateLimit(Some(RateLimit(1.0))) Shed"]).await;
    let of_another = "HTTP/1.1 421 No\r\ncontent-length: 0\r\nx-limit: 1\r\n\r\n";
    check(&[of_another], LONG, expect!["Failed"]).await;
    let unreadable = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nx-limit: few\r\n\r\n";
    check(&[unreadable], LONG, expect!["Answered"]).await;
}

#[tokio::test]
async fn a_failure_without_a_rate_limit_lifts_none() {
    let failed = "HTTP/1.1 500 Oh\r\ncontent-length: 0\r\n\r\n";
    check_limited(&[failed], LONG, expect!["Failed"]).await;
    let good = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    check_limited(&[good], LONG, expect!["RateLimit(None) Answered"]).await;
}

#[tokio::test]
async fn the_rest_of_a_download_tells_a_rate_limit_too() {
    let endpoint = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let grant = bed::grant(endpoint.local_addr().unwrap());
    let recorder = Recorder { grant, grants_further: true, told: Arc::default() };
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
            // A connection without a request looks whether the endpoint has ended.
            let mut stream = loop {
                let (mut stream, _) = endpoint.accept().await.unwrap();
                if stream.read(&mut [0; 4096]).await.unwrap() > 0 {
                    break stream;
                }
            };
            stream.write_all(format!("HTTP/1.1 {head}\r\n\r\n").as_bytes()).await.unwrap();
            stream.write_all(&body).await.unwrap();
        }
        std::future::pending::<()>().await
    };
    tokio::select! {
        _ = bed::request(recorder.clone()) => {}
        () = answering => {}
    }
    let told = recorder.told.lock().unwrap().join(" ");
    expect!["began Failed RateLimit(Some(RateLimit(3.0))) began Answered"].assert_eq(&told);
}

#[tokio::test]
async fn an_endpoint_that_leaves_or_asks_for_rest_is_heard() {
    let leaving = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nx-leaving: 1\r\n\r\n";
    check(&[leaving], LONG, expect!["Leaving Answered"]).await;
    let staying = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nx-leaving: 0\r\n\r\n";
    check(&[staying], LONG, expect!["Answered"]).await;
    let resting =
        "HTTP/1.1 503 Full\r\ncontent-length: 0\r\nx-not-run: 1\r\nretry-after: 2.5\r\n\r\n";
    check(&[resting], LONG, expect!["Backoff(2.5s) Shed"]).await;
    let some_day =
        "HTTP/1.1 503 Full\r\ncontent-length: 0\r\nx-not-run: 1\r\nretry-after: x\r\n\r\n";
    check(&[some_day], LONG, expect!["Shed"]).await;
}
