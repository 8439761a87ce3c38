//! Requests in flight, and how far each has come. A request counts from the arrival of its head to the
//! end of the answer's body.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use clock::Moment;
use http::HeaderValue;
use http_body::{Body, Frame, SizeHint};
use slog::Logger;

use crate::body::{BodyError, ResponseBody, data_len};
use crate::cx::Cx;
use crate::{Metrics, PlannedStop, trace};

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub(crate) enum Stage {
    /// Its head was read.
    Arrived,
    /// All of it was read, or as much as is kept; it waits for a slot.
    Read,
    /// It was passed on to an endpoint.
    Sent,
    /// The head of its answer was passed on to the caller.
    Answering,
    /// All of its answer was handed to the caller's connection, which may not have sent all of it yet.
    Answered,
}

impl Stage {
    const ALL: [Self; 5] = [Self::Arrived, Self::Read, Self::Sent, Self::Answering, Self::Answered];

    /// Label for metrics and logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Arrived => "arrived",
            Self::Read => "read",
            Self::Sent => "sent",
            Self::Answering => "answering",
            Self::Answered => "answered",
        }
    }
}

/// How far one request has come. Clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Progress(Arc<AtomicU8>);

impl Progress {
    fn new() -> Self {
        Self(Arc::new(AtomicU8::new(Stage::Arrived as u8)))
    }

    /// Records that the request has reached a stage. It never goes back: a request that waits for a
    /// second slot was sent before.
    pub(crate) fn reach(&self, stage: Stage) {
        self.0.fetch_max(stage as u8, Ordering::Relaxed);
    }

    pub(crate) fn stage(&self) -> Stage {
        Stage::ALL[usize::from(self.0.load(Ordering::Relaxed))]
    }
}

/// Counts one request as in flight until it is dropped. If its answer is incomplete then, the request
/// was cut: its caller has left, its connection has failed, or the process ends.
pub(crate) struct InFlight {
    pub(crate) progress: Progress,
    id: Option<HeaderValue>,
    arrived: Moment,
    metrics: Metrics,
    stop: PlannedStop,
    log: Logger,
}

impl InFlight {
    /// Counts a request whose head has arrived.
    pub(crate) fn new<D>(cx: &Cx<D>, id: Option<HeaderValue>) -> Self {
        cx.metrics.in_flight.inc();
        if cx.stop.elapsed().is_some() {
            cx.metrics.arrived_late.inc();
        }
        Self {
            progress: Progress::new(),
            id,
            arrived: Moment::now(),
            metrics: cx.metrics.clone(),
            stop: cx.stop.clone(),
            log: cx.log.clone(),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.metrics.in_flight.dec();
        let stage = self.progress.stage();
        if stage == Stage::Answered {
            return;
        }
        self.metrics.cut.with_label_values(&[stage.name()]).inc();
        if let Some(since_signal) = self.stop.elapsed() {
            trace::cut_in_stop(
                &self.log,
                self.id.as_ref(),
                stage,
                self.arrived.elapsed(),
                since_signal,
            );
        }
    }
}

/// The body of an answer; its request counts as in flight until the body is dropped.
pub(crate) struct CountedBody {
    body: ResponseBody,
    /// Bytes that are still to come, if the length is known.
    left: Option<u64>,
    request: InFlight,
}

impl CountedBody {
    /// A body of `length` bytes; `None` if the length is unknown.
    pub(crate) fn new(body: ResponseBody, length: Option<u64>, request: InFlight) -> Self {
        request.progress.reach(Stage::Answering);
        let it = Self { body, left: length, request };
        it.record_end();
        it
    }

    /// Records the end of the answer. The body is not polled again after its last byte.
    fn record_end(&self) {
        if self.left == Some(0) || self.body.is_end_stream() {
            self.request.progress.reach(Stage::Answered);
        }
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => self.request.progress.reach(Stage::Answered),
            Poll::Ready(Some(Ok(frame))) => {
                let n = data_len(frame);
                self.left = self.left.map(|it| it.saturating_sub(n));
                self.record_end();
            }
            Poll::Ready(Some(Err(_))) | Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
