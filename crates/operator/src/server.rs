//! The HTTP server of the API, built on dropshot.

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

/// Upper limit for the wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// The configuration in force at this node.
#[derive(Clone, Debug, Default)]
pub struct Published {
    /// Version of the configuration.
    pub version: u64,
    /// Resources of the configuration.
    pub resources: Arc<Vec<Resource>>,
}

/// The data that the API reads. The node holds the other ends of the channels.
#[derive(Clone)]
pub struct ApiContext {
    /// The configuration in force.
    pub published: watch::Receiver<Published>,
    /// Why the node is not ready; `None` if it is ready.
    pub not_ready: watch::Receiver<Option<String>>,
    /// Requests a report from the node, which builds reports only on request.
    pub reports: mpsc::UnboundedSender<oneshot::Sender<Report>>,
    /// Registry of all metrics.
    pub registry: Registry,
    /// Access control for everything except liveness, readiness and metrics.
    pub access: Access,
    /// Receives the faults to inject; absent unless the settings allow fault injection.
    pub faults: Option<mpsc::UnboundedSender<Cut>>,
}

/// A network cut in one direction: this node drops frames to the listed nodes instead of sending them.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
pub struct Cut {
    /// Addresses at which the nodes exchange frames; an empty list ends the cut.
    #[schemars(with = "Vec<String>")]
    pub to: Vec<SocketAddr>,
}

/// A resource with its status at the node.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct ResourceView {
    /// The resource as published.
    pub spec: Resource,
    /// The status of the resource at the node.
    pub status: ResourceStatus,
}

/// Status of a resource at a node.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
pub struct ResourceStatus {
    /// Version of the configuration in force that contains the resource.
    pub in_force: u64,
    /// For a service: number of endpoints in rotation that were recently confirmed as healthy.
    pub healthy: Option<usize>,
    /// For a service: the floor as a number of endpoints.
    pub floor: Option<usize>,
}

/// Resources of the configuration in force.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Resources {
    /// Version of the configuration in force; pass it as `after` to wait for the next one.
    pub version: u64,
    /// The resources with their status.
    pub items: Vec<ResourceView>,
}

#[derive(Deserialize, JsonSchema)]
struct Filter {
    /// Return only resources of this kind.
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
    /// Maximum wait in milliseconds.
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

/// Returns the description of the API with all of its operations.
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

/// Starts the server. Must be called within a tokio runtime.
pub fn serve(
    addr: SocketAddr,
    view: ApiContext,
    log: &Logger,
) -> Result<HttpServer<ApiContext>, String> {
    let config = ConfigDropshot { bind_address: addr, ..ConfigDropshot::default() };
    // Load balancers probe every second, and a log line per probe would hide other lines.
    let warnings_only = slog::LevelFilter::new(log.clone(), slog::Level::Warning);
    let log = Logger::root(slog::Fuse::new(warnings_only), slog::o!());
    HttpServerStarter::new(&config, api_description(), view, &log)
        .map(HttpServerStarter::start)
        .map_err(|it| format!("operator API at {addr}: {it}"))
}

/// Check whether the process is alive.
#[endpoint { method = GET, path = "/v1/live" }]
async fn live(_cx: RequestContext<ApiContext>) -> Result<HttpResponseOk<Alive>, HttpError> {
    Ok(HttpResponseOk(Alive { alive: true }))
}

/// Check whether the node should get traffic; if not, the answer is 503 with the reason.
#[endpoint { method = GET, path = "/v1/ready" }]
async fn ready(cx: RequestContext<ApiContext>) -> Result<HttpResponseOk<Ready>, HttpError> {
    readiness(&cx)
}

/// Same as /v1/ready, at the path that load balancers commonly probe.
#[endpoint { method = GET, path = "/readyz" }]
async fn readyz(cx: RequestContext<ApiContext>) -> Result<HttpResponseOk<Ready>, HttpError> {
    readiness(&cx)
}

fn authorize(cx: &RequestContext<ApiContext>) -> Result<(), HttpError> {
    Ok(cx.context().access.check(cx.request.headers(), cx.request.remote_addr())?)
}

fn readiness(cx: &RequestContext<ApiContext>) -> Result<HttpResponseOk<Ready>, HttpError> {
    match &*cx.context().not_ready.borrow() {
        None => Ok(HttpResponseOk(Ready { ready: true })),
        Some(reason) => Err(HttpError::for_unavail(None, reason.clone()).with_reason(reason)),
    }
}

/// List the resources in force.
#[endpoint { method = GET, path = "/v1/resources" }]
async fn list(
    cx: RequestContext<ApiContext>,
    query: Query<Filter>,
) -> Result<HttpResponseOk<Resources>, HttpError> {
    authorize(&cx)?;
    let kind = query.into_inner().kind;
    let filter = |it: &Resource| kind.as_ref().is_none_or(|kind| it.kind() == kind);
    Ok(HttpResponseOk(cx.context().resources(filter).await?))
}

/// Get one resource in force.
#[endpoint { method = GET, path = "/v1/resources/{kind}/{name}" }]
async fn get(
    cx: RequestContext<ApiContext>,
    path: Path<Named>,
) -> Result<HttpResponseOk<ResourceView>, HttpError> {
    authorize(&cx)?;
    let Named { kind, name } = path.into_inner();
    let filter = |it: &Resource| it.kind() == kind && *it.name() == name;
    let found = cx.context().resources(filter).await?.items.into_iter().next();
    found.map(HttpResponseOk).ok_or_else(|| {
        let text = format!("no {kind} `{name}` is in force: see GET /v1/resources for what is");
        HttpError::for_not_found(None, text.clone()).with_reason(&text)
    })
}

/// Wait for a newer configuration and return the resources then in force.
#[endpoint { method = GET, path = "/v1/watch" }]
async fn watch_resources(
    cx: RequestContext<ApiContext>,
    query: Query<After>,
) -> Result<HttpResponseOk<Resources>, HttpError> {
    authorize(&cx)?;
    let After { after, wait_ms } = query.into_inner();
    let wait = wait_ms.map_or(MAX_WAIT, Duration::from_millis).min(MAX_WAIT);
    let mut published = cx.context().published.clone();
    let newer = published.wait_for(|it| it.version > after);
    // A timeout is not an error: the unchanged version in the answer shows that no newer configuration is in force.
    let _ = tokio::time::timeout(wait, newer).await;
    Ok(HttpResponseOk(cx.context().resources(|_| true).await?))
}

/// Get this node's report about the fleet.
#[endpoint { method = GET, path = "/v1/fleet" }]
async fn fleet(cx: RequestContext<ApiContext>) -> Result<HttpResponseOk<Report>, HttpError> {
    authorize(&cx)?;
    Ok(HttpResponseOk(cx.context().report().await?))
}

/// Inject a network cut between nodes for failure tests. Refused unless the settings allow fault injection.
#[endpoint { method = PUT, path = "/v1/faults/cut" }]
async fn put_cut(
    cx: RequestContext<ApiContext>,
    cut: TypedBody<Cut>,
) -> Result<HttpResponseOk<Cut>, HttpError> {
    authorize(&cx)?;
    let Some(faults) = &cx.context().faults else {
        let text = "fault injection is disabled: set `operator.fault_injection` in the settings of a test fleet";
        return Err(HttpError::for_client_error(
            None,
            ClientErrorStatusCode::FORBIDDEN,
            text.into(),
        ));
    };
    let cut = cut.into_inner();
    // Sending cannot fail while the server runs because the node stops after the server.
    let _ = faults.send(cut.clone());
    Ok(HttpResponseOk(cut))
}

/// Get metrics in the Prometheus text format.
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
        rx.await.map_err(|_| HttpError::for_unavail(None, "the node is shutting down".to_owned()))
    }

    async fn resources(&self, filter: impl Fn(&Resource) -> bool) -> Result<Resources, HttpError> {
        let report = self.report().await?;
        let published = self.published.borrow().clone();
        let items = published
            .resources
            .iter()
            .filter(|it| filter(it))
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

/// Exposes the text of a server error to the client. By default dropshot sends only the external message of an error and
/// keeps the internal one private.
trait WithReason {
    fn with_reason(self, reason: &str) -> Self;
}

impl WithReason for HttpError {
    fn with_reason(mut self, reason: &str) -> Self {
        self.external_message = reason.to_owned();
        self
    }
}
