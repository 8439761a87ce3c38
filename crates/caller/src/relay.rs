//! Streams long answers to the caller as they arrive, with back pressure.
//!
//! A download that stalls or breaks is resumed on another endpoint with a range request if the
//! answer has a strong validator and the service accepts ranges. Otherwise the answer to the caller
//! is aborted, so that the caller can detect the truncation.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use clock::{Moment, timeout_at};
use http::header::{self, HeaderValue};
use http::{Method, StatusCode, response};
use http_body::Frame;
use http_body_util::{BodyExt, Full};
use policy::{Kind, SendKind};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};
use upstream::{AnswerBody, AnswerError, Reuse};

use crate::active_slot::{ActiveSlot, STALL_AFTER};
use crate::body::{RelayItem, RequestBody, ResponseBody, data_len};
use crate::cx::Cx;
use crate::foreign::{Foreign, check_answer};
use crate::routed_request::RoutedRequest;
use crate::sending::acquire_skipping_closed;
use crate::way::{SendFailure, Way};
use crate::{Dispatch, headers, notice, trace};

/// A stalled body that cannot be resumed elsewhere is aborted after this additional time, and at the
/// deadline if that comes first: a stream may outlast it only while data arrives.
const STALL_GIVE_UP_AFTER: Duration = Duration::from_secs(30);
/// Time limit for resuming a download on another endpoint.
const RESUME_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of resume attempts per download.
const MAX_RESUMES: u32 = 4;
/// Capacity of the channel to the caller. A larger one would only delay back pressure.
const RELAY_CAPACITY: usize = 2;

/// State of the task that streams one answer to the caller.
pub(crate) struct Relay<D: Dispatch> {
    cx: Arc<Cx<D>>,
    request: Arc<RoutedRequest>,
    active_slot: ActiveSlot<D::Slot>,
    way: Way<D>,
    body: AnswerBody<RequestBody>,
    tx: mpsc::Sender<RelayItem>,
    /// When the answer is cut; `None` on a route of streams, which may outlast the deadline.
    cut_at: Option<Moment>,
    /// Time spent waiting for the caller to take more.
    waited_for_caller: Duration,
    /// Number of bytes passed on to the caller.
    forwarded: u64,
    resume: Option<Resume>,
}

/// What is needed to resume a download.
struct Resume {
    etag: HeaderValue,
    /// Length of the complete body.
    total: u64,
    /// Attempts left.
    attempts_left: u32,
}

/// Result of one read from the endpoint.
enum Step {
    Frame(Frame<Bytes>),
    /// The answer is complete.
    End,
    /// The connection broke, or the endpoint stayed silent for too long.
    Broken,
    /// No data arrived in time, because the endpoint stalled or this process was paused.
    Stalled,
    /// The answer goes on beyond the deadline.
    Late,
    /// The answer has more bytes than are missing, so that those before may be wrong as well.
    TooLong,
}

/// Result of passing an item on.
enum Sent {
    Taken,
    CallerLeft,
    /// The caller has not taken it by the deadline, or for as long as a connection may be idle.
    Late,
}

impl<D: Dispatch> Relay<D> {
    /// Spawns a task that streams `start` and then `body`, and returns the caller's end of the
    /// stream.
    pub(crate) fn start(
        cx: Arc<Cx<D>>,
        request: Arc<RoutedRequest>,
        mut active_slot: ActiveSlot<D::Slot>,
        parts: &response::Parts,
        start: Bytes,
        body: AnswerBody<RequestBody>,
        way: Way<D>,
    ) -> ResponseBody {
        active_slot.report_start();
        let (tx, rx) = mpsc::channel(RELAY_CAPACITY);
        let resume = Resume::from_answer(&request.method, parts);
        let cut_at = (!request.route.stream).then_some(request.give_up_at);
        let relay = Self {
            cx,
            request,
            active_slot,
            way,
            body,
            tx,
            cut_at,
            waited_for_caller: Duration::ZERO,
            forwarded: 0,
            resume,
        };
        tokio::spawn(relay.run(start));
        ResponseBody::Streamed(rx)
    }

    /// Runs until the answer ends or the caller disconnects.
    async fn run(self, start: Bytes) {
        let tx = self.tx.clone();
        tokio::select! {
            () = self.forward(start) => {}
            () = tx.closed() => {}
        }
    }

    /// Forwards the answer, resuming it on other endpoints where possible.
    async fn forward(mut self, start: Bytes) {
        let began = Moment::now();
        if !start.is_empty() {
            let item = RelayItem::Frame(Frame::data(start));
            match self.send(item).await {
                Sent::Taken => {}
                Sent::CallerLeft => return,
                Sent::Late => return self.cut(began),
            }
        }
        loop {
            let cut_at = self.cut_at;
            // An endpoint that never pauses would keep the timeout from being noticed.
            let step = match cut_at {
                Some(at) if at.left().is_zero() => Step::Late,
                Some(at) => timeout_at(at, self.read_step()).await.unwrap_or(Step::Late),
                None => self.read_step().await,
            };
            let item = match step {
                Step::Late => return self.cut(began),
                Step::TooLong => return self.break_off(&step),
                Step::Frame(frame) => RelayItem::Frame(frame),
                Step::End => RelayItem::End,
                step @ (Step::Broken | Step::Stalled) => {
                    if matches!(step, Step::Broken) {
                        // Reported before the resume, so that dispatch takes the failure into
                        // account when it chooses the next endpoint.
                        self.active_slot.settle(self.way.classify_break().await);
                    }
                    let resumed = match cut_at {
                        Some(at) => timeout_at(at, self.resume()).await.unwrap_or(false),
                        None => self.resume().await,
                    };
                    match resumed {
                        true => continue,
                        // Dropping the channel without `End` aborts the answer to the caller.
                        false => return self.break_off(&step),
                    }
                }
            };
            let is_end = matches!(item, RelayItem::End);
            match self.send(item).await {
                Sent::Taken => {}
                Sent::CallerLeft => return,
                Sent::Late => return self.cut(began),
            }
            if is_end {
                self.active_slot.end(Kind::Answered);
                return;
            }
        }
    }

    /// Passes an item on to the caller.
    async fn send(&mut self, item: RelayItem) -> Sent {
        self.forwarded += item.len();
        let since = Moment::now();
        // A caller that takes nothing would keep the endpoint at work for as long as it likes.
        let idle_at = since + self.request.snapshot.config.limits.next_head();
        let until = self.cut_at.map_or(idle_at, |it| it.min(idle_at));
        let sent = timeout_at(until, self.tx.send(item)).await;
        self.waited_for_caller += since.elapsed();
        match sent {
            Some(Ok(())) => Sent::Taken,
            Some(Err(_)) => Sent::CallerLeft,
            None => Sent::Late,
        }
    }

    /// Ends an answer that goes on beyond the deadline. A caller that takes it slowly is not the endpoint's fault.
    fn cut(mut self, began: Moment) {
        if self.waited_for_caller > began.elapsed() / 2 {
            self.active_slot.discard();
        }
        self.break_off(&Step::Late);
    }

    /// Reads the next frame, and reports a stall.
    async fn read_step(&mut self) -> Step {
        let read_started = Instant::now();
        self.active_slot.record_activity();
        let frame = match timeout(STALL_AFTER, self.body.frame()).await {
            Ok(frame) => frame,
            // If the timer fires very late, this process was paused; the endpoint is not at fault.
            Err(_) if read_started.elapsed() > STALL_AFTER * 2 => return Step::Stalled,
            Err(_) => {
                self.active_slot.report_silence(&self.way).await;
                if self.resume.is_some() {
                    return Step::Stalled;
                }
                let patience = self.request.give_up_at.left().min(STALL_GIVE_UP_AFTER);
                match timeout(patience, self.body.frame()).await {
                    Ok(frame) => frame,
                    Err(_) => return Step::Broken,
                }
            }
        };
        let missing = self.resume.as_ref().map(|it| it.missing(self.forwarded));
        match frame {
            // Chunks may be whole and still end before the part that was asked for, or go on beyond it.
            None if missing.is_some_and(|it| it > 0) => Step::Broken,
            Some(Ok(frame)) if missing.is_some_and(|it| it < data_len(&frame)) => Step::TooLong,
            None => Step::End,
            Some(Ok(frame)) => Step::Frame(frame),
            Some(Err(AnswerError::Excess)) => Step::TooLong,
            Some(Err(AnswerError::Broken(_))) => Step::Broken,
        }
    }

    /// Resumes the download on another endpoint at the first missing byte.
    async fn resume(&mut self) -> bool {
        let give_up_at = Instant::now() + RESUME_TIMEOUT;
        while Instant::now() < give_up_at {
            if self.cx.stop.left().is_some_and(|it| it < STALL_AFTER) {
                return false;
            }
            let Some(resume) = &mut self.resume else { return false };
            let Some(attempts_left) = resume.attempts_left.checked_sub(1) else { return false };
            resume.attempts_left = attempts_left;
            if self.try_resume().await.is_some() {
                self.cx.metrics.resumes.inc();
                trace::resumed(
                    &self.cx,
                    &self.request,
                    &self.active_slot.grant().endpoint,
                    self.forwarded,
                );
                return true;
            }
        }
        false
    }

    /// Logs the abort and releases the slot.
    fn break_off(self, step: &Step) {
        let endpoint = self.active_slot.grant().endpoint.clone();
        let reason = match step {
            Step::Late => "the answer goes on beyond the deadline",
            Step::TooLong => "the endpoint sent more than was asked for",
            Step::Stalled => "the endpoint went silent in the middle of its answer",
            _ => "the endpoint broke off its answer",
        };
        trace::broken_off(&self.cx, &self.request, &endpoint, self.forwarded, reason);
        self.active_slot.end(Kind::Failed);
    }

    /// Makes one attempt to resume.
    async fn try_resume(&mut self) -> Option<()> {
        let resume = self.resume.as_ref()?;
        let mut slot_request =
            self.request.slot_request(self.cx.unreachable.to_avoid(&[self.active_slot.addr()]));
        slot_request.left = RESUME_TIMEOUT;
        slot_request.send = SendKind::Further;
        let acquire = acquire_skipping_closed(&self.cx, slot_request);
        let slot = timeout(RESUME_TIMEOUT, acquire).await.ok()?.ok()?;
        if !self.request.is_still_authorized(&self.cx) {
            return None;
        }
        let mut active_slot = ActiveSlot::new(slot, self.cx.pool.connector().watch_cut_off());
        let body = RequestBody::Complete(Full::default());
        let span = self.request.span.child();
        let mut req = self.request.upstream_request(
            &self.cx.names,
            &active_slot.grant().endpoint,
            &span,
            body,
        );
        resume.set_range_headers(req.headers_mut(), self.forwarded);
        let way = Way::new(&self.cx, &self.request, active_slot.grant().clone());
        let res = match timeout(STALL_AFTER, way.send(req, Reuse::Allowed)).await.ok()? {
            Ok(res) => res,
            Err(SendFailure::Broken(_)) => {
                active_slot.settle(way.classify_break().await);
                return None;
            }
            Err(_) => return None,
        };
        let checked =
            check_answer(&self.cx.names, &self.request.headers, res.status(), res.headers())
                .and_then(|()| resume.check_length(&res, self.forwarded));
        if let Err(foreign) = checked {
            trace::foreign_answer(&self.cx, &self.request, &active_slot.grant().endpoint, foreign);
            active_slot.end(Kind::Failed);
            return None;
        }
        notice::report_notices(&self.cx, &mut active_slot, &res);
        if !resume.matches(&res, self.forwarded) {
            return None;
        }
        active_slot.record_head();
        active_slot.report_start();
        self.body = res.into_body();
        self.way = way;
        let old = std::mem::replace(&mut self.active_slot, active_slot);
        old.end(Kind::Failed);
        Some(())
    }
}

impl Resume {
    /// The resume state for an answer, or `None` if the download cannot be resumed.
    fn from_answer(method: &Method, parts: &response::Parts) -> Option<Self> {
        let headers = &parts.headers;
        let etag = headers.get(header::ETAG)?;
        let is_strong = etag.as_bytes().starts_with(b"\"");
        let accepts_ranges = headers.get(header::ACCEPT_RANGES)?.as_bytes() == b"bytes";
        let total = headers::content_length(headers)?;
        let is_complete = parts.status == StatusCode::OK && *method == Method::GET;
        (is_complete && is_strong && accepts_ranges).then(|| Self {
            etag: etag.clone(),
            total,
            attempts_left: MAX_RESUMES,
        })
    }

    /// Adds the headers that request the bytes after the first `received` ones.
    fn set_range_headers(&self, headers: &mut http::HeaderMap, received: u64) {
        let range = format!("bytes={received}-");
        headers.insert(header::RANGE, HeaderValue::from_str(&range).expect("digits"));
        headers.insert(header::IF_RANGE, self.etag.clone());
    }

    /// Number of bytes after the first `received` ones.
    fn missing(&self, received: u64) -> u64 {
        self.total.saturating_sub(received)
    }

    /// Checks that an answer with a part of the body, if it announces a length, announces that of the missing bytes.
    fn check_length<B>(&self, res: &http::Response<B>, received: u64) -> Result<(), Foreign> {
        let length = headers::content_length(res.headers());
        match res.status() == StatusCode::PARTIAL_CONTENT
            && length.is_some_and(|it| it != self.missing(received))
        {
            true => Err(Foreign::PartLength),
            false => Ok(()),
        }
    }

    /// Whether an answer contains exactly the missing bytes of the same version of the body.
    fn matches<B>(&self, res: &http::Response<B>, received: u64) -> bool {
        let range = format!("bytes {received}-{}/{}", self.total.saturating_sub(1), self.total);
        let headers = res.headers();
        res.status() == StatusCode::PARTIAL_CONTENT
            && headers.get(header::ETAG) == Some(&self.etag)
            && headers
                .get(header::CONTENT_RANGE)
                .is_some_and(|it| it.as_bytes() == range.as_bytes())
    }
}
