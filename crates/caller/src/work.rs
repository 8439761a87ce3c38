//! One request after its route was found, and the requests sent for it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use clock::Moment;
use http::header::{self, HeaderValue};
use http::{HeaderMap, Method, Request, Uri};
use hyper::body::Incoming;
use policy::{RequestKey, SendKind};
use resources::{Name, Repeat, Route};

use crate::body::RequestOut;
use crate::cx::Cx;
use crate::headers::{self, HeaderNames, Span};
use crate::identity::{Caller, Denied};
use crate::{Snapshot, Want};

/// An endpoint stops at the deadline that it was handed and says so; its own word is waited for
/// this long, a round trip and a late scheduler.
const LAST_WORD: Duration = Duration::from_millis(80);

/// One request after its route was found.
pub(crate) struct Work {
    pub(crate) snapshot: Arc<Snapshot>,
    pub(crate) route: Arc<Route>,
    /// The service that is to answer.
    pub(crate) service: Name,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    /// What makes it the same as another request; known once its body was read.
    pub(crate) key: RequestKey,
    pub(crate) span: Span,
    pub(crate) caller: Caller,
    /// No work is handed out after it, and no endpoint is given more time.
    pub(crate) deadline: Moment,
    /// An answer is not waited for any longer.
    pub(crate) give_up_at: Moment,
    /// Time spent in waits for slots, in milliseconds.
    slot_ms: AtomicU64,
}

/// Why a request finds no route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoWork {
    /// No configuration is in force yet.
    NoConfiguration,
    /// No route matches, but a newer configuration may exist.
    MayBeOutdated,
    /// No route matches, but a part of the configuration was left out.
    MayBeLeftOut,
    /// What the route says cannot be served.
    Suspended,
    /// No route matches.
    NoRoute,
    /// The caller may not use it.
    Denied(Denied),
}

impl Work {
    /// Finds the route.
    pub(crate) fn new<D>(cx: &Cx<D>, req: &Request<Incoming>) -> Result<Self, NoWork> {
        // Before the configuration, which may be replaced meanwhile by the one that is surely the newest.
        let is_fresh = cx.shared.is_fresh();
        let snapshot = Arc::clone(&cx.shared.load());
        if snapshot.config.version == 0 {
            return Err(NoWork::NoConfiguration);
        }
        let host = headers::host_of(req.uri(), req.headers());
        let path = req.uri().path();
        // Why something that is not known here may be known elsewhere.
        let gap = match (is_fresh, snapshot.config.is_partial) {
            (false, _) => Some(NoWork::MayBeOutdated),
            (true, true) => Some(NoWork::MayBeLeftOut),
            (true, false) => None,
        };
        let Some(route) = snapshot.config.routes.find(&host, path, req.method().as_str()) else {
            return Err(gap.unwrap_or(NoWork::NoRoute));
        };
        if route.suspended {
            return Err(NoWork::Suspended);
        }
        let organisations = &snapshot.config.organisations;
        let caller =
            Caller::of(organisations, route, &cx.names, req.headers()).map_err(|denied| {
                let gap = gap.filter(|_| denied.depends_on_configuration());
                gap.unwrap_or(NoWork::Denied(denied))
            })?;
        let span = Span::of(req.headers());
        let mut out = onward_headers(&cx.names, req, &span);
        caller.introduce(organisations, &cx.names, &mut out);
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
            give_up_at: deadline + LAST_WORD,
            slot_ms: AtomicU64::new(0),
            snapshot,
        })
    }

    pub(crate) fn request_id(&self, names: &HeaderNames) -> &str {
        self.headers.get(&names.request_id).and_then(|it| it.to_str().ok()).unwrap_or("(none)")
    }

    /// Records a wait for a slot.
    pub(crate) fn waited(&self, it: Duration) {
        self.slot_ms.fetch_add(it.as_millis() as u64, Ordering::Relaxed);
    }

    /// Time spent in waits for slots, in milliseconds.
    pub(crate) fn slot_ms(&self) -> u64 {
        self.slot_ms.load(Ordering::Relaxed)
    }

    /// Whether the caller may still be served by what is in force now.
    pub(crate) fn may_be_sent<D>(&self, cx: &Cx<D>) -> bool {
        let current = cx.shared.load();
        current.config.version == self.snapshot.config.version
            || self.caller.is_known_to(&current.config.organisations)
    }

    pub(crate) fn left(&self) -> Duration {
        self.deadline.left()
    }

    /// Whether no further send may follow one after `sends_before` that reached an endpoint.
    pub(crate) fn is_last_send(&self, sends_before: u32) -> bool {
        self.route.repeat != Repeat::Anytime || sends_before + 1 >= self.route.max_sends
    }

    /// The only regions whose endpoints may serve it, if that is restricted: what its route and its organisation both allow.
    fn regions(&self) -> Option<Vec<Name>> {
        let (route, caller) = (&self.route.regions[..], self.caller.regions());
        match (route, caller) {
            ([], []) => None,
            (it, []) | ([], it) => Some(it.to_vec()),
            (route, caller) => {
                Some(route.iter().filter(|it| caller.contains(it)).cloned().collect())
            }
        }
    }

    pub(crate) fn want(&self, avoid: Vec<SocketAddr>) -> Want {
        Want {
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

    /// The request for one send, with a span of its own.
    pub(crate) fn request(
        &self,
        names: &HeaderNames,
        endpoint: &Name,
        span: &Span,
        body: RequestOut,
    ) -> Request<RequestOut> {
        let mut req = Request::new(body);
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = self.headers.clone();
        let left = self.left().as_millis() as u64;
        req.headers_mut().insert(names.deadline.clone(), left.into());
        req.headers_mut().insert(headers::TRACEPARENT, span.header());
        if let Ok(id) = HeaderValue::from_str(endpoint) {
            req.headers_mut().insert(names.wanted_endpoint.clone(), id);
        }
        req
    }
}

/// The caller's headers without those of this hop. The request's identity is made up if absent.
fn onward_headers(names: &HeaderNames, req: &Request<Incoming>, span: &Span) -> HeaderMap {
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

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |it| it.as_str());
    path.parse().expect("the path of a valid URI is a valid URI")
}
