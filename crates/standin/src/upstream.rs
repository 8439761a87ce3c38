//! Stand-in for an upstream endpoint with limited slots, a random service time and injectable gray failures.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use parking_lot::Mutex;
use rand::RngExt;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore, mpsc};
use tokio_stream::wrappers::ReceiverStream;

use crate::server::{self, Answer, Body, answer, json};

/// Query parameter that makes every endpoint that starts to run the request crash.
pub const CRASH_PARAMETER: &str = "crashing";
/// Query parameter that sets the service time of a request, in milliseconds.
pub const WORK_PARAMETER: &str = "work_ms";
/// Time after which a crashed endpoint accepts connections again.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of connections that wait to be accepted after a crash.
const LISTEN_BACKLOG: u32 = 1024;
/// Size of one chunk of a download in bytes.
const CHUNK_LEN: usize = 16 * 1024;

/// Fault of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Requests never complete, but probes are answered.
    Stall,
    /// Requests take longer by the given factor, while the reported load is zero.
    Slow,
    /// Answers are delayed by two seconds.
    Late,
    /// Answers have status 500.
    Error,
    /// Bodies stop in the middle and the connection stays open.
    StallBody,
    /// Bodies stop in the middle and the connection closes.
    CutBody,
    /// Requests run, but the connection closes without an answer.
    LoseAnswer,
    /// The connection closes before the request runs.
    LoseRequest,
    /// Answers carry the id of another request.
    Swap,
    /// Requests are rejected as not run, as if all slots were in use.
    Shed,
}

/// Capacity and service time of an endpoint.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Profile {
    /// Number of requests that run concurrently.
    pub slots: usize,
    /// Mean of the exponentially distributed service time, in microseconds.
    pub service_us: u64,
    /// Whether one request in a hundred takes twenty times as long.
    pub heavy_tail: bool,
    /// Time after the start during which requests take three times as long, in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
    /// Pause between chunks of a download, in microseconds.
    pub piece_us: u64,
}

/// Information that an endpoint advertises in its answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Advertised {
    /// Requests per second that the endpoint accepts from all nodes together.
    pub rate_limit: Option<f64>,
    /// Whether the endpoint is leaving.
    pub leaving: bool,
    /// Back-off in seconds that the endpoint asks for when it rejects a request.
    pub back_off: Option<f64>,
}

impl Advertised {
    fn add_to(self, res: &mut Response<Body>) {
        let is_shed = res.status() == StatusCode::SERVICE_UNAVAILABLE;
        let headers = [
            ("server-limit", self.rate_limit),
            ("server-leaving", self.leaving.then_some(1.0)),
            ("retry-after", self.back_off.filter(|_| is_shed)),
        ];
        for (name, value) in headers {
            if let Some(value) = value {
                let value = value.to_string().parse().expect("numbers are valid header values");
                res.headers_mut().insert(name, value);
            }
        }
    }
}

/// Counts of the requests at an endpoint.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that ran.
    pub run: u64,
    /// Requests that were rejected as not run.
    pub shed: u64,
    /// Requests that arrived since the fault was last set.
    pub since_fault: u64,
    /// Time from setting the fault to the latest arrival, in milliseconds.
    pub last_arrival_ms: u64,
    /// Arrival times of requests while the fault is active, in milliseconds since it was set, in ascending order.
    pub arrivals_ms: Vec<u64>,
}

/// Work of an endpoint on a request.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// When the endpoint had read the request.
    pub began: std::time::Instant,
    /// When the answer was ready, or the connection of the request closed.
    pub ended: Option<std::time::Instant>,
}

/// Work of an endpoint on each request, by request id.
pub type WorkLog = FxHashMap<String, Vec<Work>>;

#[derive(Debug)]
struct State {
    fault: Fault,
    /// Share of the requests that the fault affects.
    share: f64,
    /// Factor by which `Fault::Slow` lengthens requests.
    factor: f64,
    /// When the fault was last set.
    fault_set_at: std::time::Instant,
    counts: Counts,
    /// Number of runs of each request other than GET, by request id.
    runs: FxHashMap<String, u32>,
    /// Work on all requests, if it is recorded.
    work: Option<WorkLog>,
    /// Times of the crashes.
    crashes: Vec<std::time::Instant>,
    advertised: Advertised,
    /// Arrival times of all requests.
    arrivals: Vec<std::time::Instant>,
}

/// Answer header with the endpoint's signature.
pub const SIGNATURE: &str = "x-response-signature";
/// Answer header that repeats the organisation of the received request.
pub const ECHOED_ORGANISATION: &str = "x-standin-organisation";
/// Answer header that repeats the API key of the received request.
pub const ECHOED_KEY: &str = "x-standin-key";

/// A stand-in endpoint. Clones share their state.
#[derive(Clone, Debug)]
pub struct Upstream {
    name: Arc<str>,
    profile: Arc<Profile>,
    slots: Arc<Semaphore>,
    state: Arc<Mutex<State>>,
    crash: Arc<Notify>,
    started: std::time::Instant,
}

impl Upstream {
    /// Creates an endpoint without a fault.
    pub fn new(name: &str, profile: Profile) -> Self {
        let state = State {
            fault: Fault::None,
            share: 1.0,
            factor: 1.0,
            fault_set_at: std::time::Instant::now(),
            counts: Counts::default(),
            runs: FxHashMap::default(),
            work: None,
            crashes: Vec::new(),
            advertised: Advertised::default(),
            arrivals: Vec::new(),
        };
        Self {
            name: name.into(),
            slots: Arc::new(Semaphore::new(profile.slots)),
            profile: Arc::new(profile),
            state: Arc::new(Mutex::new(state)),
            crash: Arc::new(Notify::new()),
            started: std::time::Instant::now(),
        }
    }

    /// Returns the name, which is both the endpoint's id and its address.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Serves on a listener forever. A crash closes the listener and all connections; the endpoint listens on the
    /// same address again after `RESTART_DELAY`.
    pub async fn serve(self, mut listener: TcpListener) {
        loop {
            let addr = listener.local_addr().expect("the listener is bound");
            let it = self.clone();
            tokio::select! {
                () = server::serve(listener, move |req| it.clone().handle(req)) => return,
                () = self.crash.notified() => {}
            }
            let socket = server::reserve(addr).expect("the address was released by this endpoint");
            tokio::time::sleep(RESTART_DELAY).await;
            listener = socket.listen(LISTEN_BACKLOG).expect("the address is reserved");
        }
    }

    /// Returns the times of the crashes.
    pub fn crashes(&self) -> Vec<std::time::Instant> {
        self.state.lock().crashes.clone()
    }

    /// Sets the information that the endpoint advertises in all answers from now on.
    pub fn advertise(&self, advertised: Advertised) {
        self.state.lock().advertised = advertised;
    }

    /// Returns the arrival times of all requests.
    pub fn arrivals(&self) -> Vec<std::time::Instant> {
        self.state.lock().arrivals.clone()
    }

    /// Crashes the endpoint. The request that caused the crash is never answered.
    async fn crash(&self) -> Answer {
        self.state.lock().crashes.push(std::time::Instant::now());
        self.crash.notify_one();
        std::future::pending().await
    }

    /// Sets the fault for a share of the requests. `factor` applies to `Fault::Slow` only.
    pub fn set_fault(&self, fault: Fault, share: f64, factor: f64) {
        let mut state = self.state.lock();
        state.fault = fault;
        state.share = share;
        state.factor = factor;
        state.fault_set_at = std::time::Instant::now();
        state.counts.since_fault = 0;
        state.counts.last_arrival_ms = 0;
        state.counts.arrivals_ms.clear();
    }

    /// Returns the counts of requests.
    pub fn counts(&self) -> Counts {
        self.state.lock().counts.clone()
    }

    /// Returns the number of runs of each request other than GET, by request id.
    pub fn runs(&self) -> FxHashMap<String, u32> {
        self.state.lock().runs.clone()
    }

    /// Records the work on all requests from now on, also on GET requests and on those without an answer.
    pub fn record_work(&self) {
        self.state.lock().work.get_or_insert_default();
    }

    /// Returns the recorded work.
    pub fn work(&self) -> WorkLog {
        self.state.lock().work.clone().unwrap_or_default()
    }

    /// Records that work on a request begins, if work is recorded.
    fn begin_work(&self, id: &str) -> Option<OpenWork> {
        let mut state = self.state.lock();
        let all = state.work.as_mut()?.entry(id.to_owned()).or_default();
        all.push(Work { began: std::time::Instant::now(), ended: None });
        Some(OpenWork { state: self.state.clone(), id: id.to_owned(), index: all.len() - 1 })
    }

    async fn handle(self, req: Request<Incoming>) -> Answer {
        match (req.method(), req.uri().path()) {
            (&Method::PUT, "/_standin/fault") => self.put_fault(&req),
            (_, "/_standin/health") => Ok(answer(StatusCode::OK, "ok")),
            (_, "/_standin/load") => Ok(json(&self.reported_load())),
            (_, "/_standin/counts") => Ok(json(&self.counts())),
            (_, "/_standin/runs") => Ok(json(&self.runs())),
            _ => {
                let id = header(&req, "x-request-id");
                let signature = format!("{}.{id}", self.name);
                let mut res = self.clone().handle_request(req).await?;
                for (name, value) in [("x-request-id", id), (SIGNATURE, signature)] {
                    let value = value.parse().expect("a received header value is valid");
                    res.headers_mut().entry(name).or_insert(value);
                }
                let advertised = self.state.lock().advertised;
                advertised.add_to(&mut res);
                Ok(res)
            }
        }
    }

    /// Returns the share of the slots in use as the endpoint reports it. With `Fault::Slow` the endpoint reports
    /// zero.
    fn reported_load(&self) -> f64 {
        let used = self.profile.slots - self.slots.available_permits();
        let underreports = self.state.lock().fault == Fault::Slow;
        if underreports { 0.0 } else { used as f64 / self.profile.slots as f64 }
    }

    fn put_fault(&self, req: &Request<Incoming>) -> Answer {
        let kind: String = server::query(req, "kind").unwrap_or_default();
        let Ok(fault) = serde_json::from_value::<Fault>(kind.into()) else {
            return Ok(answer(StatusCode::BAD_REQUEST, "kind=none|stall|slow|late|error|...\n"));
        };
        let share = server::query(req, "share").unwrap_or(1.0);
        let factor = server::query(req, "factor").unwrap_or(5.0);
        self.set_fault(fault, share, factor);
        Ok(answer(StatusCode::OK, ""))
    }

    /// Handles a request of a caller under the current fault.
    async fn handle_request(self, req: Request<Incoming>) -> Answer {
        let fault = self.record_arrival();
        let id = header(&req, "x-request-id");
        let target = header(&req, "x-target-instance");
        let received = [header(&req, "x-tenant"), header(&req, "x-api-key")];
        if !target.is_empty() && *target != *self.name {
            return Ok(answer(StatusCode::MISDIRECTED_REQUEST, "another endpoint is here\n"));
        }
        let is_repeatable = req.method() == Method::GET;
        if fault == Fault::LoseRequest {
            return Err(std::io::Error::other("connection closed before the request ran"));
        }
        let slot = self.slots.clone().try_acquire_owned().ok().filter(|_| fault != Fault::Shed);
        let Some(slot) = slot else {
            // An answer before the end of the request would close the connection and could get lost.
            req.into_body().collect().await.map_err(std::io::Error::other)?;
            return Ok(self.rejection());
        };
        if fault == Fault::Stall {
            std::future::pending::<()>().await;
        }
        if server::query::<u8>(&req, CRASH_PARAMETER).is_some() {
            return self.crash().await;
        }
        let download = server::query::<usize>(&req, "bytes");
        let work = server::query(&req, WORK_PARAMETER).map(Duration::from_millis);
        let (parts, body) = req.into_parts();
        let body = body.collect().await.map_err(std::io::Error::other)?.to_bytes();
        let _open = self.begin_work(&id);
        let factor = if fault == Fault::Slow { self.state.lock().factor } else { 1.0 };
        let service_time = work.unwrap_or_else(|| self.service_time());
        tokio::time::sleep(service_time.mul_f64(factor)).await;
        self.record_run(&id, is_repeatable);
        match fault {
            Fault::Late => tokio::time::sleep(Duration::from_secs(2)).await,
            Fault::LoseAnswer => {
                return Err(std::io::Error::other("connection closed instead of an answer"));
            }
            _ => {}
        }
        let mut res = match download {
            Some(total) => self.download(&parts.headers, total, fault),
            None => self.short_answer(&id, &body, fault),
        };
        drop(slot);
        if fault == Fault::Swap {
            let other = "another-request".parse().expect("a valid header value");
            res.headers_mut().insert("x-request-id", other);
        }
        for (name, value) in [ECHOED_ORGANISATION, ECHOED_KEY].into_iter().zip(received) {
            res.headers_mut()
                .insert(name, value.parse().expect("a received header value is valid"));
        }
        Ok(res)
    }

    /// Counts an arrival and returns the fault that affects the request.
    fn record_arrival(&self) -> Fault {
        let mut state = self.state.lock();
        let at = state.fault_set_at.elapsed().as_millis() as u64;
        state.counts.since_fault += 1;
        state.arrivals.push(std::time::Instant::now());
        state.counts.last_arrival_ms = at;
        if state.fault != Fault::None {
            state.counts.arrivals_ms.push(at);
        }
        let is_affected = state.share >= 1.0 || rand::rng().random_bool(state.share);
        if is_affected { state.fault } else { Fault::None }
    }

    fn record_run(&self, id: &str, is_repeatable: bool) {
        let mut state = self.state.lock();
        state.counts.run += 1;
        if !is_repeatable {
            *state.runs.entry(id.to_owned()).or_insert(0) += 1;
        }
    }

    fn rejection(&self) -> Response<Body> {
        self.state.lock().counts.shed += 1;
        let mut res = answer(StatusCode::SERVICE_UNAVAILABLE, "full\n");
        res.headers_mut().insert("x-not-executed", "1".parse().expect("a valid header value"));
        res
    }

    /// Draws a random service time.
    fn service_time(&self) -> Duration {
        let mut rng = rand::rng();
        let exponential = -(1.0 - rng.random::<f64>()).ln();
        let is_cold = self.started.elapsed() < Duration::from_millis(self.profile.cold_ms);
        let cold = if is_cold { 3.0 } else { 1.0 };
        let tail = if self.profile.heavy_tail && rng.random_bool(0.01) { 20.0 } else { 1.0 };
        Duration::from_micros((self.profile.service_us as f64 * exponential * tail * cold) as u64)
    }

    fn short_answer(&self, id: &str, body: &Bytes, fault: Fault) -> Response<Body> {
        if fault == Fault::Error {
            return answer(StatusCode::INTERNAL_SERVER_ERROR, "broken\n");
        }
        let text = format!("{} {id} {}\n", self.name, String::from_utf8_lossy(body));
        match fault {
            Fault::StallBody | Fault::CutBody => {
                let half = Bytes::from(text.clone()).slice(..text.len() / 2);
                let mut res = Response::new(truncated_body(half, fault));
                res.headers_mut().insert("content-length", text.len().into());
                res
            }
            _ => answer(StatusCode::OK, text),
        }
    }

    /// Creates the answer to a download, which supports ranges.
    fn download(&self, headers: &http::HeaderMap, total: usize, fault: Fault) -> Response<Body> {
        let etag = format!("\"v1-{total}\"");
        let range = headers.get("range").and_then(|it| it.to_str().ok());
        let start: usize = range
            .and_then(|it| it.strip_prefix("bytes=")?.strip_suffix('-')?.parse().ok())
            .filter(|_| headers.get("if-range").is_some_and(|it| it.as_bytes() == etag.as_bytes()))
            .unwrap_or(0);
        let pause = Duration::from_micros(self.profile.piece_us);
        let (tx, rx) = mpsc::channel(1);
        tokio::spawn(send_chunks(tx, start, total, fault, pause));
        let mut res = Response::new(BodyExt::boxed(StreamBody::new(ReceiverStream::new(rx))));
        if start > 0 {
            *res.status_mut() = StatusCode::PARTIAL_CONTENT;
            let range = format!("bytes {start}-{}/{total}", total - 1);
            res.headers_mut().insert("content-range", range.parse().expect("a valid header value"));
        }
        res.headers_mut().insert("etag", etag.parse().expect("a valid header value"));
        res.headers_mut().insert("accept-ranges", "bytes".parse().expect("a valid header value"));
        res.headers_mut().insert("content-length", (total - start).into());
        res
    }
}

/// Work that has not ended. Dropping it records the end, also when the connection closes.
struct OpenWork {
    state: Arc<Mutex<State>>,
    id: String,
    index: usize,
}

impl Drop for OpenWork {
    fn drop(&mut self) {
        let mut state = self.state.lock();
        let work = state.work.as_mut().and_then(|it| it.get_mut(&self.id)?.get_mut(self.index));
        work.into_iter().for_each(|it| it.ended = Some(std::time::Instant::now()));
    }
}

/// Returns a range of the bytes of a download, which are the same on every endpoint.
pub fn download_bytes(start: usize, end: usize) -> Bytes {
    (start..end).map(|i| (i % 251) as u8).collect::<Vec<u8>>().into()
}

async fn send_chunks(
    tx: mpsc::Sender<Result<Frame<Bytes>, std::io::Error>>,
    start: usize,
    total: usize,
    fault: Fault,
    pause: Duration,
) {
    let mut at = start;
    while at < total {
        if at >= (start + total) / 2 {
            match fault {
                Fault::StallBody => std::future::pending().await,
                Fault::CutBody => {
                    let _ = tx.send(Err(std::io::Error::other("body cut short"))).await;
                    return;
                }
                _ => {}
            }
        }
        let end = (at + CHUNK_LEN).min(total);
        if tx.send(Ok(Frame::data(download_bytes(at, end)))).await.is_err() {
            return;
        }
        at = end;
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }
}

/// Creates a body that stops after its first part.
fn truncated_body(first: Bytes, fault: Fault) -> Body {
    let (tx, rx) = mpsc::channel(2);
    tokio::spawn(async move {
        let _ = tx.send(Ok(Frame::data(first))).await;
        if fault == Fault::CutBody {
            let _ = tx.send(Err(std::io::Error::other("body cut short"))).await;
            return;
        }
        tx.closed().await;
    });
    BodyExt::boxed(StreamBody::new(ReceiverStream::new(rx)))
}

fn header(req: &Request<Incoming>, name: &str) -> String {
    req.headers().get(name).and_then(|it| it.to_str().ok()).unwrap_or_default().to_owned()
}
