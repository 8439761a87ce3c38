//! Stand-in for callers. Arrivals are open-loop, so that a slow answer does not delay later requests, and latencies
//! are measured from the time at which a request was due, which avoids coordinated omission.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use parking_lot::Mutex;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::client;

/// Time after which a caller abandons a request. Deadlines of routes are shorter.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Requests that the callers send.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Addresses over which requests are spread, as by a load balancer.
    pub targets: Vec<SocketAddr>,
    /// Requests per second.
    pub rate: f64,
    /// Time for which requests are sent.
    pub duration: Duration,
    /// Method of the requests.
    pub method: String,
    /// Path of the requests.
    pub path: String,
}

/// Results of the callers.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Summary {
    /// Number of requests sent.
    pub sent: u64,
    /// Complete answers with a success status.
    pub answered: u64,
    /// Error answers that state that the request did not run.
    pub not_run: u64,
    /// Error answers that state that the request may have run.
    pub unknown: u64,
    /// Other error answers.
    pub other: u64,
    /// Broken connections, timeouts, and answers that were visibly cut short.
    pub broken: u64,
    /// Answers that belong to another request.
    pub crossed: u64,
    /// Number of answers by status.
    pub statuses: BTreeMap<u16, u64>,
    /// Latency of complete answers in microseconds: p50, p99, p99.9 and maximum.
    pub latency_us: [u64; 4],
    /// Latency of error answers in microseconds: p50 and maximum.
    pub error_latency_us: [u64; 2],
    /// Ids of the requests that did not run according to their answers.
    pub not_run_ids: Vec<String>,
    /// Ids of the requests that were answered.
    pub answered_ids: Vec<String>,
}

struct Recorder {
    summary: Summary,
    latency: Histogram<u64>,
    errors: Histogram<u64>,
    records_ids: bool,
}

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Sends the requests of a plan and waits for the last answer.
pub async fn run(plan: Plan) -> Summary {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let client = Client::builder(TokioExecutor::new()).build(connector);
    let histogram = || Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid");
    let recorder = Arc::new(Mutex::new(Recorder {
        summary: Summary::default(),
        latency: histogram(),
        errors: histogram(),
        records_ids: plan.method != "GET",
    }));
    let started = Instant::now();
    let run_id: u64 = rand::rng().random();
    let mut due = Duration::ZERO;
    let mut tasks = tokio::task::JoinSet::new();
    let mut n = 0_u64;
    loop {
        due += Duration::from_secs_f64(-(1.0 - rand::rng().random::<f64>()).ln() / plan.rate);
        if due > plan.duration {
            break;
        }
        tokio::time::sleep_until(started + due).await;
        let target = plan.targets[n as usize % plan.targets.len()];
        let id = format!("{run_id:016x}-{n}");
        let req = Request::builder()
            .method(plan.method.as_str())
            .uri(format!("http://{target}{}", plan.path))
            .header("host", client::HOST)
            .header("x-request-id", &id)
            .body(Full::new(Bytes::from(if plan.method == "GET" { "" } else { "work" })))
            .expect("the plan has a valid method and path");
        tasks.spawn(send_one(client.clone(), req, id, started + due, recorder.clone()));
        n += 1;
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
    let mut recorder = recorder.lock();
    recorder.summary.sent = n;
    recorder.finish()
}

async fn send_one(
    client: HttpClient,
    req: Request<Full<Bytes>>,
    id: String,
    due: Instant,
    recorder: Arc<Mutex<Recorder>>,
) {
    let exchange = async {
        let res = client.request(req).await.ok()?;
        let (parts, body) = res.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some((parts, body))
    };
    let got = tokio::time::timeout(REQUEST_TIMEOUT, exchange).await.ok().flatten();
    let us = due.elapsed().as_micros() as u64;
    let mut recorder = recorder.lock();
    let Some((parts, body)) = got else {
        recorder.summary.broken += 1;
        return;
    };
    *recorder.summary.statuses.entry(parts.status.as_u16()).or_insert(0) += 1;
    let outcome = parts.headers.get("x-request-outcome").map(|it| it.as_bytes().to_vec());
    let has_own_id =
        parts.headers.get("x-request-id").is_none_or(|it| it.as_bytes() == id.as_bytes());
    let body_has_id = body.windows(id.len()).any(|it| it == id.as_bytes());
    let is_download = parts.headers.contains_key("etag");
    match (parts.status, outcome.as_deref()) {
        (status, None) if status.is_success() => {
            recorder.summary.answered += 1;
            recorder.summary.crossed += u64::from(!has_own_id || !body_has_id && !is_download);
            let _ = recorder.latency.record(us.max(1));
            if recorder.records_ids {
                recorder.summary.answered_ids.push(id);
            }
            return;
        }
        (_, Some(b"not-run")) => {
            recorder.summary.not_run += 1;
            if recorder.records_ids {
                recorder.summary.not_run_ids.push(id);
            }
        }
        (_, Some(b"unknown")) => recorder.summary.unknown += 1,
        (StatusCode::SERVICE_UNAVAILABLE, _) if parts.headers.contains_key("x-not-executed") => {
            recorder.summary.not_run += 1;
        }
        _ => recorder.summary.other += 1,
    }
    let _ = recorder.errors.record(us.max(1));
}

impl Recorder {
    fn finish(&mut self) -> Summary {
        let at = |q: f64| self.latency.value_at_quantile(q);
        self.summary.latency_us = [at(0.5), at(0.99), at(0.999), self.latency.max()];
        self.summary.error_latency_us = [self.errors.value_at_quantile(0.5), self.errors.max()];
        self.summary.clone()
    }
}
