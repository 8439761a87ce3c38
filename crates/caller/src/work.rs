//! One request after its route was found, and the requests sent for it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::header::{self, HeaderValue};
use http::{HeaderMap, Method, Request, Uri};
use hyper::body::Incoming;
use policy::stable_hash;
use resources::Route;
use tokio::time::Instant;

use crate::body::RequestOut;
use crate::headers::{self, Span};
use crate::{Shared, Snapshot, Want};

/// One request after its route was found.
pub(crate) struct Work {
    pub(crate) snapshot: Arc<Snapshot>,
    pub(crate) route: Arc<Route>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) span: Span,
    pub(crate) organisation: u64,
    pub(crate) weight: u32,
    pub(crate) deadline: Instant,
}

impl Work {
    /// Finds the route; nothing if there is none.
    pub(crate) fn new(shared: &Shared, req: &Request<Incoming>) -> Option<Self> {
        let snapshot = Arc::clone(&shared.load());
        let host = headers::host_of(req.uri(), req.headers());
        let path = req.uri().path();
        let route = snapshot.config.routes.find(&host, path, req.method().as_str())?;
        let span = Span::of(req.headers());
        let mut out = req.headers().clone();
        headers::strip_hop_by_hop(&mut out);
        out.remove(header::CONTENT_LENGTH);
        out.remove(header::EXPECT);
        if let Some(authority) = req.uri().authority()
            && let Ok(it) = HeaderValue::from_str(authority.as_str())
        {
            out.insert(header::HOST, it);
        }
        if !out.contains_key(headers::REQUEST_ID) {
            let id = HeaderValue::from_str(&format!("{:032x}", span.trace));
            out.insert(headers::REQUEST_ID, id.expect("hexadecimal digits"));
        }
        let org = out.get(headers::ORGANISATION).and_then(|it| it.to_str().ok()).unwrap_or("");
        let weight = snapshot.config.organisations.get(org).copied().unwrap_or(1);
        let limit = Duration::from_millis(route.deadline_ms.into());
        let left = headers::deadline_of(&out).map_or(limit, |it| it.min(limit));
        Some(Self {
            organisation: stable_hash(org.as_bytes()),
            weight,
            route: route.clone(),
            method: req.method().clone(),
            uri: origin_form(req.uri()),
            headers: out,
            span,
            deadline: Instant::now() + left,
            snapshot,
        })
    }

    pub(crate) fn request_id(&self) -> &str {
        self.headers[headers::REQUEST_ID].to_str().unwrap_or("(not text)")
    }

    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    pub(crate) fn want(&self, exclude: Option<SocketAddr>, left: Duration) -> Want {
        Want {
            route: self.route.clone(),
            organisation: self.organisation,
            weight: self.weight,
            exclude,
            left,
        }
    }

    /// The request for one send, with a span of its own.
    pub(crate) fn request(&self, span: &Span, body: RequestOut) -> Request<RequestOut> {
        let mut req = Request::new(body);
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = self.headers.clone();
        let left = self.left().as_millis() as u64;
        req.headers_mut().insert(headers::DEADLINE, left.into());
        req.headers_mut().insert(headers::TRACEPARENT, span.header());
        req
    }
}

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |it| it.as_str());
    path.parse().expect("the path of a valid URI is a valid URI")
}
