//! The dropshot server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dropshot::{
    ApiDescription, Body, ClientErrorStatusCode, ConfigDropshot, HttpError, HttpResponseOk,
    HttpServer, HttpServerStarter, Path, Query, RequestContext, TypedBody, endpoint,
};
use http::Response;
use prometheus::{Encoder, Registry, TextEncoder};
use resources::Resource;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use slog::Logger;
use tokio::sync::{mpsc, oneshot, watch};

use crate::{Access, Report};

/// Longest time that a watch waits.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// What is in force at this node.
#[derive(Clone, Debug, Default)]
pub struct Published {
    /// Its version.
    pub version: u64,
    /// Its documents.
    pub resources: Arc<Vec<Resource>>,
}

/// What the API reads. The node writes to the other ends.
#[derive(Clone)]
pub struct ApiContext {
    /// What is in force.
    pub published: watch::Receiver<Published>,
    /// Why the node is not ready; nothing if it is.
    pub not_ready: watch::Receiver<Option<String>>,
    /// Asks the node for its report, which is made only when it is asked for.
    pub reports: mpsc::UnboundedSender<oneshot::Sender<Report>>,
    /// All metrics.
    pub registry: Registry,
    /// Who may use more than liveness, readiness and metrics.
    pub access: Access,
    /// Where to send faults to induce; absent unless the settings allow fault injection.
    pub faults: Option<mpsc::UnboundedSender<Cut>>,
}

/// A cut in one direction: frames to these nodes are dropped before they are sent.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
pub struct Cut {
    /// Addresses of the nodes' exchange; an empty list heals the cut.
    #[schemars(with = "Vec<String>")]
    pub to: Vec<SocketAddr>,
}

/// A document with what the node reports about it.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct ResourceView {
    /// The document as published.
    pub spec: Resource,
    /// What the node reports about it.
    pub status: ResourceStatus,
}

/// What a node reports about a document.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
pub struct ResourceStatus {
    /// Version of the configuration in force that contains it.
    pub in_force: u64,
    /// For a service: endpoints in rotation with fresh proof of health.
    pub healthy: Option<usize>,
    /// For a service: its floor in endpoints.
    pub floor: Option<usize>,
}

/// Documents of one configuration.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Resources {
    /// Version of the configuration in force; pass it as `after` to wait for the next one.
    pub version: u64,
    /// The documents.
    pub items: Vec<ResourceView>,
}

#[derive(Deserialize, JsonSchema)]
struct Filter {
    /// Only documents of this kind.
    kind: Option<String>,
}

#[derive(Deserialize, JsonSchema)]
struct Named {
    kind: String,
    name: String,
}

#[derive(Deserialize, JsonSchema)]
struct After {
    /// Wait until a version above this one is in force.
    after: u64,
    /// Wait this long at most, in milliseconds.
    wait_ms: Option<u64>,
}

#[derive(Serialize, JsonSchema)]
struct Alive {
    alive: bool,
}

#[derive(Serialize, JsonSchema)]
struct Ready {
    ready: bool,
}

/// All endpoints of the API.
pub fn api_description() -> ApiDescription<ApiContext> {
    let mut api = ApiDescription::new();
    let registered = api
        .register(live)
        .and_then(|()| api.register(ready))
        .and_then(|()| api.register(readyz))
        .and_then(|()| api.register(list))
        .and_then(|()| api.register(get))
        .and_then(|()| api.register(watch_resources))
        .and_then(|()| api.register(fleet))
        .and_then(|()| api.register(put_cut))
        .and_then(|()| api.register(metrics));
    registered.expect("paths are distinct");
    api
}

/// Starts the server; it must be polled by a runtime.
pub fn serve(
    addr: SocketAddr,
    view: ApiContext,
    log: &Logger,
) -> Result<HttpServer<ApiContext>, String> {
    let config = ConfigDropshot { bind_address: addr, ..ConfigDropshot::default() };
    // The balancer asks every second; a line for each question would drown the others.
    let quiet = slog::LevelFilter::new(log.clone(), slog::Level::Warning);
    let log = Logger::root(slog::Fuse::new(quiet), slog::o!());
    HttpServerStarter::new(&config, api_description(), view, &log)
        .map(HttpServerStarter::start)
        .map_err(|it| format!("operator API at {addr}: {it}"))
}

/// Whether the process runs.
#[endpoint { method = GET, path = "/v1/live" }]
async fn live(_cx: RequestContext<ApiContext>) -> Result<HttpResponseOk<Alive>, HttpError> {
    Ok(HttpResponseOk(Alive { alive: true }))
}

/// Whether the node should get traffic; if not, the answer is 503 with the reason.
#[endpoint { method = GET, path = "/v1/ready" }]
async fn ready(cx: RequestContext<ApiContext>) -> Result<HttpResponseOk<Ready>, HttpError> {
    readiness(&cx)
}

/// The same, where balancers usually look.
#[endpoint { method = GET, path = "/readyz" }]
async fn readyz(cx: RequestContext<ApiContext>) -> Result<HttpResponseOk<Ready>, HttpError> {
    readiness(&cx)
}

fn allow(cx: &RequestContext<ApiContext>) -> Result<(), HttpError> {
    Ok(cx.context().access.check(cx.request.headers(), cx.request.remote_addr())?)
}

fn readiness(cx: &RequestContext<ApiContext>) -> Result<HttpResponseOk<Ready>, HttpError> {
    match &*cx.context().not_ready.borrow() {
        None => Ok(HttpResponseOk(Ready { ready: true })),
        Some(reason) => Err(HttpError::for_unavail(None, reason.clone()).with_reason(reason)),
    }
}

/// Documents in force.
#[endpoint { method = GET, path = "/v1/resources" }]
async fn list(
    cx: RequestContext<ApiContext>,
    query: Query<Filter>,
) -> Result<HttpResponseOk<Resources>, HttpError> {
    allow(&cx)?;
    let kind = query.into_inner().kind;
    let is_wanted = |it: &Resource| kind.as_ref().is_none_or(|kind| it.kind() == kind);
    Ok(HttpResponseOk(cx.context().resources(is_wanted).await?))
}

/// One document in force.
#[endpoint { method = GET, path = "/v1/resources/{kind}/{name}" }]
async fn get(
    cx: RequestContext<ApiContext>,
    path: Path<Named>,
) -> Result<HttpResponseOk<ResourceView>, HttpError> {
    allow(&cx)?;
    let Named { kind, name } = path.into_inner();
    let is_wanted = |it: &Resource| it.kind() == kind && *it.name() == name;
    let found = cx.context().resources(is_wanted).await?.items.into_iter().next();
    found.map(HttpResponseOk).ok_or_else(|| {
        let text = format!("no {kind} `{name}` is in force: see GET /v1/resources for what is");
        HttpError::for_not_found(None, text.clone()).with_reason(&text)
    })
}

/// Waits for a newer configuration and returns the documents then in force.
#[endpoint { method = GET, path = "/v1/watch" }]
async fn watch_resources(
    cx: RequestContext<ApiContext>,
    query: Query<After>,
) -> Result<HttpResponseOk<Resources>, HttpError> {
    allow(&cx)?;
    let After { after, wait_ms } = query.into_inner();
    let wait = wait_ms.map_or(MAX_WAIT, Duration::from_millis).min(MAX_WAIT);
    let mut published = cx.context().published.clone();
    let newer = published.wait_for(|it| it.version > after);
    // Running out of time is an answer too: the version in it tells that nothing is new.
    let _ = tokio::time::timeout(wait, newer).await;
    Ok(HttpResponseOk(cx.context().resources(|_| true).await?))
}

/// The fleet as this node sees it.
#[endpoint { method = GET, path = "/v1/fleet" }]
async fn fleet(cx: RequestContext<ApiContext>) -> Result<HttpResponseOk<Report>, HttpError> {
    allow(&cx)?;
    Ok(HttpResponseOk(cx.context().report().await?))
}

/// Induces a cut between nodes, for failure tests. Refused unless the settings allow it.
#[endpoint { method = PUT, path = "/v1/faults/cut" }]
async fn put_cut(
    cx: RequestContext<ApiContext>,
    cut: TypedBody<Cut>,
) -> Result<HttpResponseOk<Cut>, HttpError> {
    allow(&cx)?;
    let Some(faults) = &cx.context().faults else {
        let text = "faults are not induced here: set `operator.fault_injection` in a test fleet";
        return Err(HttpError::for_client_error(
            None,
            ClientErrorStatusCode::FORBIDDEN,
            text.into(),
        ));
    };
    let cut = cut.into_inner();
    // The node ends only after this server.
    let _ = faults.send(cut.clone());
    Ok(HttpResponseOk(cut))
}

/// Metrics in the prometheus text format.
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics(cx: RequestContext<ApiContext>) -> Result<Response<Body>, HttpError> {
    let mut buf = Vec::new();
    TextEncoder::new()
        .encode(&cx.context().registry.gather(), &mut buf)
        .map_err(|it| HttpError::for_internal_error(it.to_string()))?;
    let res = Response::builder().header("content-type", prometheus::TEXT_FORMAT);
    res.body(Body::from(buf)).map_err(|it| HttpError::for_internal_error(it.to_string()))
}

impl ApiContext {
    async fn report(&self) -> Result<Report, HttpError> {
        let (tx, rx) = oneshot::channel();
        let _ = self.reports.send(tx);
        rx.await.map_err(|_| HttpError::for_unavail(None, "the node is ending".to_owned()))
    }

    async fn resources(
        &self,
        is_wanted: impl Fn(&Resource) -> bool,
    ) -> Result<Resources, HttpError> {
        let report = self.report().await?;
        let published = self.published.borrow().clone();
        let items = published
            .resources
            .iter()
            .filter(|it| is_wanted(it))
            .map(|it| ResourceView { spec: it.clone(), status: status(it, &published, &report) })
            .collect();
        Ok(Resources { version: published.version, items })
    }
}

fn status(resource: &Resource, published: &Published, report: &Report) -> ResourceStatus {
    let service = match resource {
        Resource::Service(it) => report.services.iter().find(|s| s.name == it.name),
        _ => None,
    };
    ResourceStatus {
        in_force: published.version,
        healthy: service.map(|it| it.healthy),
        floor: service.map(|it| it.floor),
    }
}

/// dropshot keeps the text of a server error to itself unless it is put in the external message.
trait WithReason {
    fn with_reason(self, reason: &str) -> Self;
}

impl WithReason for HttpError {
    fn with_reason(mut self, reason: &str) -> Self {
        self.external_message = reason.to_owned();
        self
    }
}
