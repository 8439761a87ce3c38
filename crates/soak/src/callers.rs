//! Simulated callers: open-loop requests to each node over persistent connections, and callers that send one request
//! after the other on a connection of their own.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use standin::upstream::WORK_PARAMETER;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::check::{RequestOutcome, RequestRecord, Target};
use crate::deployment::{Deployment, ROUTE_LIFETIME};

/// Time after which a caller abandons a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
/// Time limit for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Range of long requests per second to all nodes together. At most they nearly fill the slots of their service.
const LONG_RATE: std::ops::Range<f64> = 15.0..45.0;
/// Maximum share of long requests.
const MAX_LONG_SHARE: f64 = 0.25;
/// Range of the time that an endpoint works on a long request, in milliseconds; each magnitude is equally likely.
const LONG_WORK_MS: std::ops::Range<f64> = 5.0..3_200.0;
/// Pause of a caller with a connection of its own after an answer, in terms of the interval between two requests to a
/// node.
const OWN_PAUSE: std::ops::Range<f64> = 0.0..4.0;
/// Pause before such a caller tries to connect again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Draws what callers ask for.
struct Draw {
    rng: StdRng,
    long_share: f64,
}

impl Draw {
    fn target(&mut self, deployment: &Deployment) -> Target {
        let version = deployment.history.lock().versions.last().map_or(1, |it| it.number);
        if self.rng.random_bool(self.long_share) {
            let magnitude = self.rng.random_range(LONG_WORK_MS.start.ln()..LONG_WORK_MS.end.ln());
            let work = Duration::from_millis(magnitude.exp() as u64);
            return match self.rng.random_bool(0.5) {
                true => Target::Long(work),
                false => Target::LongBooking(work),
            };
        }
        match self.rng.random_range(0..4) {
            0 => Target::Booking,
            1 => Target::Moved,
            _ => {
                let age = self.rng.random_range(0..ROUTE_LIFETIME);
                Target::Added(version.saturating_sub(age).max(1))
            }
        }
    }
}

/// Creates a client that keeps connections open between requests, until the server closes them or asks for it.
fn pooled_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    // The client must not retry by itself: the checks would count the second send as a duplicate run.
    Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector)
}

/// Sends `rate` requests a second to each node until `end`, beside one caller for each node with a connection of its
/// own, and returns a record of each request.
pub(crate) async fn send_requests(
    deployment: Arc<Deployment>,
    mut rng: StdRng,
    rate: f64,
    end: Instant,
) -> Vec<RequestRecord> {
    let client = pooled_client();
    let records = Arc::new(Mutex::new(Vec::new()));
    let targets = deployment.targets();
    let total_rate = rate * targets.len() as f64;
    let long_share = (rng.random_range(LONG_RATE) / total_rate).min(MAX_LONG_SHARE);
    let mut tasks = JoinSet::new();
    for node in 0..targets.len() {
        let draw = Draw { rng: StdRng::from_rng(&mut rng), long_share };
        let (deployment, records) = (deployment.clone(), records.clone());
        tasks.spawn(send_one_after_the_other(deployment, draw, rate, node, end, records));
    }
    let mut draw = Draw { rng, long_share };
    let mut count = 0;
    while Instant::now() < end {
        let node = count % targets.len();
        let id = format!("soak-{count}");
        let target = draw.target(&deployment);
        let (client, deployment) = (client.clone(), deployment.clone());
        let (addr, records) = (targets[node], records.clone());
        tasks.spawn(async move {
            let sent = Instant::now();
            let exchange = send(&client, &deployment, addr, &id, &target);
            let outcome =
                timeout(REQUEST_TIMEOUT, exchange).await.unwrap_or(RequestOutcome::TimedOut);
            let ended = Instant::now();
            records.lock().push(RequestRecord { id, node, target, sent, ended, outcome });
        });
        while tasks.try_join_next().is_some() {}
        count += 1;
        tokio::time::sleep(Duration::from_secs_f64(1.0 / total_rate)).await;
    }
    while tasks.join_next().await.is_some() {}
    std::mem::take(&mut *records.lock())
}

/// Sends requests to a node on one connection until the node closes it, and then on the next.
async fn send_one_after_the_other(
    deployment: Arc<Deployment>,
    mut draw: Draw,
    rate: f64,
    node: usize,
    end: Instant,
    records: Arc<Mutex<Vec<RequestRecord>>>,
) {
    let addr = deployment.targets()[node];
    let mut conn = None;
    let mut count = 0;
    while Instant::now() < end {
        let opened = match conn.take() {
            Some(it) => Some(it),
            None => connect(addr).await,
        };
        let Some(mut tx) = opened else {
            tokio::time::sleep(RECONNECT_PAUSE).await;
            continue;
        };
        if tx.ready().await.is_err() {
            continue;
        }
        let id = format!("own-{node}-{count}");
        count += 1;
        let target = draw.target(&deployment);
        let sent = Instant::now();
        let exchange = async {
            match tx.send_request(request("", &id, &target)).await {
                Ok(res) => receive(&deployment, res, &id).await,
                Err(_) => RequestOutcome::Broken,
            }
        };
        let outcome = timeout(REQUEST_TIMEOUT, exchange).await.unwrap_or(RequestOutcome::TimedOut);
        let is_answered = !matches!(outcome, RequestOutcome::Broken | RequestOutcome::TimedOut);
        let ended = Instant::now();
        records.lock().push(RequestRecord { id, node, target, sent, ended, outcome });
        conn = is_answered.then_some(tx);
        let pause = draw.rng.random_range(OWN_PAUSE) / rate;
        tokio::time::sleep(Duration::from_secs_f64(pause)).await;
    }
}

/// Opens a connection.
async fn connect(addr: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    let (tx, conn) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    // The connection closes when its sender is dropped.
    tokio::spawn(conn);
    Some(tx)
}

/// Sends a request and classifies its outcome.
async fn send(
    client: &HttpClient,
    deployment: &Deployment,
    addr: SocketAddr,
    id: &str,
    target: &Target,
) -> RequestOutcome {
    match client.request(request(&format!("http://{addr}"), id, target)).await {
        Ok(res) => receive(deployment, res, id).await,
        Err(error) if error.is_connect() => RequestOutcome::Unsent,
        Err(_) => RequestOutcome::Broken,
    }
}

/// Builds a request. `to` precedes the path in its URI; it is empty on a connection that is open already.
fn request(to: &str, id: &str, target: &Target) -> Request<Full<Bytes>> {
    let working =
        |path: &str, work: &Duration| format!("/{path}/x?{WORK_PARAMETER}={}", work.as_millis());
    let (method, path) = match target {
        Target::Moved => (Method::GET, "/moved/x".to_owned()),
        Target::Booking => (Method::POST, "/bookings/x".to_owned()),
        Target::Added(version) => (Method::GET, format!("/since-{version}/x")),
        Target::Long(work) => (Method::GET, working("long", work)),
        Target::LongBooking(work) => (Method::POST, working("long-bookings", work)),
    };
    let body = if method == Method::POST { "work" } else { "" };
    Request::builder()
        .method(method)
        .uri(format!("{to}{path}"))
        .header("host", standin::client::HOST)
        .header("x-request-id", id)
        .body(Full::new(body.into()))
        .expect("the parts are valid")
}

/// Receives the rest of an answer and classifies it.
async fn receive(
    deployment: &Deployment,
    res: http::Response<Incoming>,
    id: &str,
) -> RequestOutcome {
    let (head, body) = res.into_parts();
    let Ok(body) = body.collect().await else { return RequestOutcome::Broken };
    let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    if !head.status.is_success() {
        return RequestOutcome::Refused(head.status.as_u16(), text);
    }
    let mut words = text.split_whitespace();
    let service = words.next().and_then(|it| deployment.service_of(it));
    match (service, words.next() == Some(id)) {
        (Some(service), true) => RequestOutcome::Ran(service),
        _ => RequestOutcome::Mixed(text),
    }
}
