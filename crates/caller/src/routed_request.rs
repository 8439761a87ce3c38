//! A request with its route, caller and deadline, and the upstream requests derived from it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use clock::Moment;
use http::header::{self, HeaderValue};
use http::{HeaderMap, Method, Request, Uri};
use hyper::body::Incoming;
use policy::{RequestKey, SendKind, SendTime};
use resources::{Name, Repeat, Route};

use crate::body::RequestBody;
use crate::cx::Cx;
use crate::headers::{self, HeaderNames, Span};
use crate::identity::{Caller, Denied};
use crate::in_flight::Progress;
use crate::{PlannedStop, SlotRequest, Snapshot};

/// How long to wait past the deadline for the endpoint's own timeout answer: a round trip plus
/// scheduling delay. Endpoints receive the deadline, and answer when they stop at it.
const FINAL_ANSWER_GRACE: Duration = Duration::from_millis(80);

/// A request whose route was found and whose caller was identified.
pub(crate) struct RoutedRequest {
    pub(crate) snapshot: Arc<Snapshot>,
    pub(crate) route: Arc<Route>,
    /// The service that the request is sent to, one of the route's.
    pub(crate) service: Name,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    /// Equal for identical requests. Set once the body has been read.
    pub(crate) key: RequestKey,
    pub(crate) span: Span,
    pub(crate) caller: Caller,
    /// Nothing is sent after the deadline, and it is passed on to the endpoints.
    pub(crate) deadline: Moment,
    /// When to stop waiting for an answer, a little after the deadline.
    pub(crate) give_up_at: Moment,
    pub(crate) progress: Progress,
    stop: PlannedStop,
    /// Total time spent waiting for slots, in milliseconds.
    slot_ms: AtomicU64,
}

/// Why a request is not routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RouteError {
    /// No configuration is in force yet.
    NoConfiguration,
    /// No route matches, but a newer configuration may exist.
    MayBeOutdated,
    /// No route matches, but invalid resources were left out of the configuration.
    MayBeLeftOut,
    /// The route is suspended because its configuration cannot be served.
    Suspended,
    /// No route matches.
    NoRoute,
    /// The caller is not authorized.
    Denied(Denied),
}

impl RoutedRequest {
    /// Finds the route of a request and identifies its caller.
    pub(crate) fn new<D>(
        cx: &Cx<D>,
        req: &Request<Incoming>,
        progress: &Progress,
    ) -> Result<Self, RouteError> {
        // Read before the configuration is loaded. In the other order an outdated configuration
        // could be combined with a freshness flag that was set for its successor.
        let is_fresh = cx.shared.is_fresh();
        let snapshot = Arc::clone(&cx.shared.load());
        if snapshot.config.version == 0 {
            return Err(RouteError::NoConfiguration);
        }
        let host = headers::host_of(req.uri(), req.headers());
        let path = req.uri().path();
        // Why a route or key that is unknown here may still exist.
        let fallback = match (is_fresh, snapshot.config.is_partial) {
            (false, _) => Some(RouteError::MayBeOutdated),
            (true, true) => Some(RouteError::MayBeLeftOut),
            (true, false) => None,
        };
        let Some(route) = snapshot.config.routes.find(&host, path, req.method().as_str()) else {
            return Err(fallback.unwrap_or(RouteError::NoRoute));
        };
        if route.suspended {
            return Err(RouteError::Suspended);
        }
        let organisations = &snapshot.config.organisations;
        let caller =
            Caller::identify(organisations, route, &cx.names, req.headers()).map_err(|denied| {
                let fallback = fallback.filter(|_| denied.depends_on_configuration());
                fallback.unwrap_or(RouteError::Denied(denied))
            })?;
        let span = Span::from_headers(req.headers());
        let mut out = forwarded_headers(&cx.names, req, &span);
        caller.set_headers(organisations, &cx.names, &mut out);
        let limit = Duration::from_millis(route.deadline_ms.into());
        let left = headers::deadline_of(&cx.names, &out).map_or(limit, |it| it.min(limit));
        let deadline = Moment::now() + left;
        Ok(Self {
            caller,
            service: snapshot.pick_service(route),
            route: route.clone(),
            method: req.method().clone(),
            uri: origin_form(req.uri()),
            headers: out,
            key: RequestKey::default(),
            span,
            deadline,
            give_up_at: deadline + FINAL_ANSWER_GRACE,
            progress: progress.clone(),
            stop: cx.stop.clone(),
            slot_ms: AtomicU64::new(0),
            snapshot,
        })
    }

    /// The request ID, for logs.
    pub(crate) fn request_id(&self, names: &HeaderNames) -> &str {
        self.headers.get(&names.request_id).and_then(|it| it.to_str().ok()).unwrap_or("(none)")
    }

    /// Adds to the time spent waiting for slots.
    pub(crate) fn record_slot_wait(&self, wait: Duration) {
        self.slot_ms.fetch_add(wait.as_millis() as u64, Ordering::Relaxed);
    }

    /// Total time spent waiting for slots, in milliseconds.
    pub(crate) fn slot_ms(&self) -> u64 {
        self.slot_ms.load(Ordering::Relaxed)
    }

    /// Whether the caller is still authorized by the configuration that is in force now.
    pub(crate) fn is_still_authorized<D>(&self, cx: &Cx<D>) -> bool {
        let current = cx.shared.load();
        current.config.version == self.snapshot.config.version
            || self.caller.is_still_valid(&current.config.organisations)
    }

    /// Time left until the deadline, or until answers are due in a planned stop.
    pub(crate) fn left(&self) -> Duration {
        let left = self.deadline.left();
        self.stop.left().map_or(left, |it| it.min(left))
    }

    /// The time that the request may need if it is passed on now, where healthy endpoints answer nearly all
    /// requests within `usual`.
    pub(crate) fn send_time(&self, usual: Duration) -> SendTime {
        SendTime { left: self.deadline.left(), usual }
    }

    /// Whether the next send is the last one that the route allows, after `sends_before` earlier
    /// sends that reached an endpoint.
    pub(crate) fn is_last_send(&self, sends_before: u32) -> bool {
        self.route.repeat != Repeat::Anytime || sends_before + 1 >= self.route.max_sends
    }

    /// The regions whose endpoints may serve the request: those that both the route and the
    /// organisation allow. `None` if neither restricts them.
    pub(crate) fn regions(&self) -> Option<Vec<Name>> {
        let (route, caller) = (&self.route.regions[..], self.caller.regions());
        match (route, caller) {
            ([], []) => None,
            (it, []) | ([], it) => Some(it.to_vec()),
            (route, caller) => {
                Some(route.iter().filter(|it| caller.contains(it)).cloned().collect())
            }
        }
    }

    /// The slot request for the first send. `avoid` lists endpoints to use only as a last resort.
    pub(crate) fn slot_request(&self, avoid: Vec<SocketAddr>) -> SlotRequest {
        SlotRequest {
            route: self.route.clone(),
            service: self.service.clone(),
            request: self.key,
            organisation: self.caller.hash,
            weight: self.caller.weight(),
            priority: self.caller.priority().unwrap_or(self.route.priority),
            regions: self.regions(),
            avoid,
            send: SendKind::First,
            wait: true,
            left: self.left(),
            is_last: self.is_last_send(0),
        }
    }

    /// The upstream request for one send.
    pub(crate) fn upstream_request(
        &self,
        names: &HeaderNames,
        endpoint: &Name,
        span: &Span,
        body: RequestBody,
    ) -> Request<RequestBody> {
        let mut req = Request::new(body);
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = self.headers.clone();
        self.set_deadline(names, req.headers_mut());
        req.headers_mut().insert(headers::TRACEPARENT, span.header());
        if let Ok(id) = HeaderValue::from_str(endpoint) {
            req.headers_mut().insert(names.target_endpoint.clone(), id);
        }
        req
    }

    /// Sets the time left until the deadline.
    pub(crate) fn set_deadline(&self, names: &HeaderNames, headers: &mut HeaderMap) {
        let mut left = self.deadline.left();
        if let Some(stop) = self.stop.left() {
            // The endpoint's own answer at this limit must arrive before answers are due.
            left = left.min(stop.saturating_sub(FINAL_ANSWER_GRACE));
        }
        headers.insert(names.deadline.clone(), (left.as_millis() as u64).into());
    }
}

/// The caller's headers without the hop-by-hop ones. Generates a request ID if there is none.
fn forwarded_headers(names: &HeaderNames, req: &Request<Incoming>, span: &Span) -> HeaderMap {
    let mut out = req.headers().clone();
    headers::strip_hop_by_hop(&mut out);
    out.remove(header::CONTENT_LENGTH);
    out.remove(header::EXPECT);
    if let Some(authority) = req.uri().authority()
        && let Ok(it) = HeaderValue::from_str(authority.as_str())
    {
        out.insert(header::HOST, it);
    }
    if !out.contains_key(&names.request_id) {
        let id = HeaderValue::from_str(&format!("{:032x}", span.trace));
        out.insert(names.request_id.clone(), id.expect("hexadecimal digits"));
    }
    out
}

/// The path and query of a URI, as an origin server expects it in the request line.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |it| it.as_str());
    path.parse().expect("the path of a valid URI is a valid URI")
}
