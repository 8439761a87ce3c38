//! Answers that the proxy itself generates for requests that it refuses or gives up.

use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderName, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::Full;

use crate::body::ResponseBody;

/// Header of error answers: `not-run` if the request certainly did not run, `unknown` if it may
/// have run.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("x-request-outcome");
/// `retry-after` if another node can probably serve the request.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(250);
/// `retry-after` if this node can probably serve the request shortly, as after a start.
const RETRY_AFTER_START: Duration = Duration::from_millis(500);

/// Why a request is given up, and the answer that the caller gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GiveUp {
    status: StatusCode,
    /// Label for metrics.
    pub(crate) cause: &'static str,
    /// Description for logs and for the caller.
    pub(crate) reason: &'static str,
    retry_after: Duration,
}

impl GiveUp {
    /// No slot became free in time.
    pub(crate) fn overloaded(retry_after: Duration) -> Self {
        Self::not_run_because("no-capacity", "no capacity in time", retry_after)
    }

    /// Endpoints crashed when they ran identical requests, so the request is not sent.
    pub(crate) fn crashes_endpoints(retry_after: Duration) -> Self {
        let reason = "endpoints crash under this request, and it is not sent for a while";
        Self::not_run_because("crashes-endpoints", reason, retry_after)
    }

    /// The caller's organisation has used up its allowance.
    pub(crate) fn allowance_used_up(retry_after: Duration) -> Self {
        let reason = "the organisation's allowance is used up";
        let it = Self::not_run_because("allowance", reason, retry_after);
        Self { status: StatusCode::TOO_MANY_REQUESTS, ..it }
    }

    /// The remaining allowance of the organisation cannot be determined.
    pub(crate) fn allowance_unknown() -> Self {
        let reason = "this node cannot ask what is left of the organisation's allowance";
        Self::not_run_because("allowance-unknown", reason, RETRY_ELSEWHERE)
    }

    /// The caller's key was revoked before the request was sent.
    pub(crate) fn key_taken_away() -> Self {
        let reason = "the key was taken away";
        let it = Self::not_run_because("key-taken-away", reason, RETRY_AFTER_START);
        Self { status: StatusCode::UNAUTHORIZED, ..it }
    }

    /// The request was sent, but no endpoint ran it.
    pub(crate) fn not_run(retry_after: Duration) -> Self {
        let reason = "no upstream took it, and no further send is granted";
        Self::not_run_because("not-taken", reason, retry_after)
    }

    /// This node has reached its limit of concurrent requests.
    pub(crate) fn too_many_in_flight() -> Self {
        let reason = "too many requests in flight at this node";
        Self::not_run_because("too-many-in-flight", reason, RETRY_AFTER_START)
    }

    /// This node has no configuration yet.
    pub(crate) fn no_configuration() -> Self {
        let reason = "this node has no configuration yet";
        Self::not_run_because("no-configuration", reason, RETRY_AFTER_START)
    }

    /// The route or key is unknown, but a newer configuration may contain it.
    pub(crate) fn may_be_outdated() -> Self {
        let reason = "neither route nor key known here, and this node may have missed a change of configuration";
        Self::not_run_because("maybe-outdated", reason, RETRY_AFTER_START)
    }

    /// The route or key is unknown, but invalid resources were left out of the configuration, and
    /// it may be among them.
    pub(crate) fn may_be_left_out() -> Self {
        let reason =
            "neither route nor key known here, and a part of the configuration cannot be served";
        Self::not_run_because("maybe-left-out", reason, RETRY_AFTER_START)
    }

    /// The route is suspended because its configuration cannot be served.
    pub(crate) fn suspended() -> Self {
        let reason = "the configuration of this route cannot be served";
        Self::not_run_because("route-suspended", reason, RETRY_AFTER_START)
    }

    /// This node is being stopped, and the request would not be answered in time.
    pub(crate) fn stopping() -> Self {
        let reason = "this node is being stopped, and another one takes the request";
        Self::not_run_because("stopping", reason, RETRY_ELSEWHERE)
    }

    /// This node is being stopped, and the endpoint has not answered in time.
    pub(crate) fn unknown_at_stop() -> Self {
        let reason = "this node is being stopped, and it may have run: check before you repeat it";
        Self { cause: "unknown-at-stop", reason, ..Self::unknown(RETRY_ELSEWHERE) }
    }

    /// The request may have run.
    pub(crate) fn unknown(retry_after: Duration) -> Self {
        let reason = "it may have run: check before you repeat it";
        Self { status: StatusCode::BAD_GATEWAY, cause: "unknown", reason, retry_after }
    }

    /// The deadline passed, and the request may have run.
    pub(crate) fn timed_out(retry_after: Duration) -> Self {
        let reason = "late, and it may have run: check before you repeat it";
        Self { status: StatusCode::GATEWAY_TIMEOUT, cause: "timed-out", reason, retry_after }
    }

    fn not_run_because(cause: &'static str, reason: &'static str, retry_after: Duration) -> Self {
        Self { status: StatusCode::SERVICE_UNAVAILABLE, cause, reason, retry_after }
    }

    pub(crate) fn status(self) -> StatusCode {
        self.status
    }

    /// Value of [`OUTCOME_HEADER`], and label for metrics and logs.
    pub(crate) fn outcome(self) -> &'static str {
        match self.status {
            StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => "unknown",
            _ => "not-run",
        }
    }

    /// The answer to the caller.
    pub(crate) fn response(self) -> Response<ResponseBody> {
        let text = format!("{}: {}; come back after Retry-After\n", self.outcome(), self.reason);
        let mut res = plain(self.status, text.into());
        let headers = res.headers_mut();
        headers.insert(OUTCOME_HEADER, HeaderValue::from_static(self.outcome()));
        headers.insert(header::RETRY_AFTER, seconds(self.retry_after));
        res
    }
}

/// Formats a `retry-after` value with fractional seconds. Callers support fractions; a whole second
/// would be too large a part of their deadline.
fn seconds(it: Duration) -> HeaderValue {
    let text = format!("{:.3}", it.as_secs_f64());
    HeaderValue::from_str(&text).expect("digits and a point")
}

/// The answer to a request that is malformed, not authorized or matches no route, and was not run.
pub(crate) fn refuse(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut res = plain(status, Bytes::from_static(text.as_bytes()));
    res.headers_mut().insert(OUTCOME_HEADER, HeaderValue::from_static("not-run"));
    res
}

fn plain(status: StatusCode, text: Bytes) -> Response<ResponseBody> {
    let mut res = Response::new(ResponseBody::Complete(Full::new(text)));
    *res.status_mut() = status;
    let text = HeaderValue::from_static("text/plain; charset=utf-8");
    res.headers_mut().insert(header::CONTENT_TYPE, text);
    res
}
