//! The gauge of requests in flight. A request counts from the arrival of its head to the end of the
//! answer's body.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use crate::Metrics;
use crate::body::{BodyError, ResponseBody};

/// The body of an answer; its request counts as in flight until the body is dropped.
pub(crate) struct CountedBody {
    body: ResponseBody,
    _guard: InFlightGuard,
}

/// Counts one request as in flight until it is dropped.
pub(crate) struct InFlightGuard(Metrics);

impl CountedBody {
    pub(crate) fn new(body: ResponseBody, guard: InFlightGuard) -> Self {
        Self { body, _guard: guard }
    }
}

impl InFlightGuard {
    pub(crate) fn new(metrics: &Metrics) -> Self {
        metrics.in_flight.inc();
        Self(metrics.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.dec();
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
