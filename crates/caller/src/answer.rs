//! Answers that the proxy itself gives. Each is final and says when to come back.

use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderName, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::Full;

use crate::body::AnswerOut;

/// On an error: `not-run` if the request certainly did not run, `unknown` if it may have run.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("x-request-outcome");
/// The same as `Retry-After`, in milliseconds.
const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("x-retry-after-ms");

/// Why a request is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GiveUp {
    /// No slot in time; nothing was sent.
    Overloaded { retry_after: Duration },
    /// Nothing that was sent has run.
    NotRun { retry_after: Duration },
    /// It may have run.
    Unknown { retry_after: Duration },
    /// The deadline passed and it may have run.
    TimedOut { retry_after: Duration },
}

impl GiveUp {
    pub(crate) fn outcome(self) -> &'static str {
        match self {
            Self::Overloaded { .. } | Self::NotRun { .. } => "not-run",
            Self::Unknown { .. } | Self::TimedOut { .. } => "unknown",
        }
    }

    pub(crate) fn response(self) -> Response<AnswerOut> {
        let (status, text, retry_after) = match self {
            Self::Overloaded { retry_after } => (
                StatusCode::SERVICE_UNAVAILABLE,
                "not run: no capacity in time; come back after Retry-After\n",
                retry_after,
            ),
            Self::NotRun { retry_after } => (
                StatusCode::SERVICE_UNAVAILABLE,
                "not run: no upstream took it; come back after Retry-After\n",
                retry_after,
            ),
            Self::Unknown { retry_after } => (
                StatusCode::BAD_GATEWAY,
                "it may have run: check before you repeat it, and not before Retry-After\n",
                retry_after,
            ),
            Self::TimedOut { retry_after } => (
                StatusCode::GATEWAY_TIMEOUT,
                "late, and it may have run: check before you repeat it, after Retry-After\n",
                retry_after,
            ),
        };
        let mut res = plain(status, text);
        let headers = res.headers_mut();
        headers.insert(OUTCOME_HEADER, HeaderValue::from_static(self.outcome()));
        headers.insert(header::RETRY_AFTER, (retry_after.as_millis().div_ceil(1000) as u64).into());
        headers.insert(RETRY_AFTER_MS, (retry_after.as_millis() as u64).into());
        res
    }
}

/// A refusal of a request that cannot be understood or matches no route. It was not run.
pub(crate) fn refuse(status: StatusCode, text: &'static str) -> Response<AnswerOut> {
    let mut res = plain(status, text);
    res.headers_mut().insert(OUTCOME_HEADER, HeaderValue::from_static("not-run"));
    res
}

fn plain(status: StatusCode, text: &'static str) -> Response<AnswerOut> {
    let mut res = Response::new(AnswerOut::Whole(Full::new(Bytes::from_static(text.as_bytes()))));
    *res.status_mut() = status;
    let text = HeaderValue::from_static("text/plain; charset=utf-8");
    res.headers_mut().insert(header::CONTENT_TYPE, text);
    res
}
