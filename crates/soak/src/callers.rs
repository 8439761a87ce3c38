//! Simulated callers: open-loop requests to each node over persistent connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use parking_lot::Mutex;
use rand::RngExt;
use rand::rngs::StdRng;
use tokio::task::JoinSet;

use crate::check::{RequestOutcome, RequestRecord, Target};
use crate::deployment::{Deployment, ROUTE_LIFETIME};

/// Time after which a caller abandons a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Sends `rate` requests a second to each node until `end` and returns a record of each request.
pub(crate) async fn send_requests(
    deployment: Arc<Deployment>,
    mut rng: StdRng,
    rate: f64,
    end: Instant,
) -> Vec<RequestRecord> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_secs(1)));
    // The client must not retry by itself: the checks would count the second send as a duplicate run.
    let client: HttpClient =
        Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector);
    let records = Arc::new(Mutex::new(Vec::new()));
    let targets = deployment.targets();
    let mut tasks = JoinSet::new();
    let mut count = 0;
    while Instant::now() < end {
        let node = count % targets.len();
        let id = format!("soak-{count}");
        let version = deployment.history.lock().versions.last().map_or(1, |it| it.number);
        let target = match rng.random_range(0..4) {
            0 => Target::Booking,
            1 => Target::Moved,
            _ => Target::Added(version.saturating_sub(rng.random_range(0..ROUTE_LIFETIME)).max(1)),
        };
        let (client, deployment) = (client.clone(), deployment.clone());
        let (addr, records) = (targets[node], records.clone());
        tasks.spawn(async move {
            let sent = Instant::now();
            let exchange = send(&client, &deployment, addr, &id, &target);
            let answer = tokio::time::timeout(REQUEST_TIMEOUT, exchange).await.ok().flatten();
            let (ended, outcome) = (Instant::now(), answer.unwrap_or(RequestOutcome::Broken));
            records.lock().push(RequestRecord { id, node, target, sent, ended, outcome });
        });
        while tasks.try_join_next().is_some() {}
        count += 1;
        let pause = 1.0 / (rate * targets.len() as f64);
        tokio::time::sleep(Duration::from_secs_f64(pause)).await;
    }
    while tasks.join_next().await.is_some() {}
    std::mem::take(&mut *records.lock())
}

/// Sends a request and classifies its outcome; `None` if the connection broke.
async fn send(
    client: &HttpClient,
    deployment: &Deployment,
    addr: SocketAddr,
    id: &str,
    target: &Target,
) -> Option<RequestOutcome> {
    let (method, path) = match target {
        Target::Moved => (Method::GET, "/moved/x".to_owned()),
        Target::Booking => (Method::POST, "/bookings/x".to_owned()),
        Target::Added(version) => (Method::GET, format!("/since-{version}/x")),
    };
    let body = if method == Method::POST { "work" } else { "" };
    let req = Request::builder()
        .method(method)
        .uri(format!("http://{addr}{path}"))
        .header("host", standin::client::HOST)
        .header("x-request-id", id)
        .body(Full::new(body.into()))
        .expect("the parts are valid");
    let res = client.request(req).await.ok()?;
    let (head, body) = res.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    let text = String::from_utf8_lossy(&body).into_owned();
    if !head.status.is_success() {
        return Some(RequestOutcome::Refused(head.status.as_u16(), text));
    }
    let mut words = text.split_whitespace();
    let service = words.next().and_then(|it| deployment.service_of(it));
    match (service, words.next() == Some(id)) {
        (Some(service), true) => Some(RequestOutcome::Ran(service)),
        _ => Some(RequestOutcome::Mixed(text)),
    }
}
