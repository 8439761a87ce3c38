//! A slot in use: tracks a request from the send to the end of the answer and reports its progress
//! to dispatch.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use clock::{Moment, sleep_until, timeout_at};
use http_body::Body;
use policy::{Grant, Kind, Notice};
use tokio::sync::watch;

use crate::Slot;
use crate::body::{AnswerReader, AnswerStart};
use crate::body_memory::BodyMemory;

/// A timer that fires later than this indicates that the process was paused. The delay is then not
/// attributed to the endpoint.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(100);

/// If an answer is still incomplete this long after its head, the start of the answer is reported
/// separately, which frees the endpoint's slot early. Most answers are complete before that, and
/// the report of their end frees the slot without an extra message.
const REPORT_START_AFTER: Duration = Duration::from_millis(5);
/// A body is stalled if no data arrives for this long while it is being read.
pub(crate) const STALL_AFTER: Duration = Duration::from_secs(1);

/// A slot in use. Dropping it reports how long the endpoint has been silent, so that a request that
/// is abandoned after a long silence still counts against the endpoint.
pub(crate) struct ActiveSlot<S: Slot> {
    slot: Option<S>,
    grant: Grant,
    /// When the request was sent.
    started: Moment,
    /// When data last arrived from the endpoint; initially, when the request was sent.
    last_activity: Moment,
    /// Time from the send to the head of the answer.
    head_after: Option<Duration>,
    is_start_reported: bool,
    is_stall_reported: bool,
    /// Whether the process was paused meanwhile. The outcome is then not reported.
    was_paused: bool,
    /// Whether a hedge of this send was answered first.
    race: HedgeRace,
    /// Whether this node is cut off from all endpoints, so that silence is no evidence.
    cut_off: watch::Receiver<bool>,
}

/// A report about an answer that is still incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProgressReport {
    Started,
    Stalled,
}

/// Result of waiting for an endpoint.
pub(crate) enum Waited<T> {
    /// The awaited event.
    Done(T),
    /// The deadline has passed.
    TimedOut,
    /// This node's path to the endpoint is lost, so that nothing more will arrive.
    PathLost,
}

/// What the silence of an endpoint is due to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Silence {
    /// The endpoint: this node can connect to it, or no other node that reaches endpoints can either.
    Endpoint,
    /// This node's path to the endpoint: another node can connect to it.
    OwnPath,
    /// The request is not on its way yet.
    NotSent,
}

/// Tells a lost path of this node from an endpoint that is silent.
pub(crate) trait PathCheck: Send + Sync + 'static {
    /// Finds out what the silence is due to.
    fn explain_silence(&self) -> impl Future<Output = Silence> + Send;

    /// Whether the send is given up on a lost path, because the request may be sent again. Otherwise
    /// the answer is awaited: it may arrive when the path comes back.
    fn is_given_up_on_loss(&self) -> bool;
}

/// Shared by a send and its hedge: set when the hedge was answered first.
#[derive(Clone, Debug, Default)]
pub(crate) struct HedgeRace(Arc<AtomicBool>);

impl HedgeRace {
    /// Records that the hedge was answered first. The original send is dropped next.
    pub(crate) fn mark_lost(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// The outcome to report when the original send is dropped.
    fn kind_on_drop(&self) -> Kind {
        if self.0.load(Ordering::Relaxed) { Kind::LostToHedge } else { Kind::Abandoned }
    }
}

impl<S: Slot> ActiveSlot<S> {
    /// Starts the use of a slot for a send without a hedge.
    pub(crate) fn new(slot: S, cut_off: watch::Receiver<bool>) -> Self {
        Self::with_race(slot, HedgeRace::default(), cut_off)
    }

    /// Starts the use of a slot for a send that may be hedged.
    pub(crate) fn with_race(slot: S, race: HedgeRace, cut_off: watch::Receiver<bool>) -> Self {
        let grant = slot.grant().clone();
        let started = Moment::now();
        Self {
            slot: Some(slot),
            grant,
            started,
            last_activity: started,
            head_after: None,
            is_start_reported: false,
            is_stall_reported: false,
            was_paused: false,
            race,
            cut_off,
        }
    }

    pub(crate) fn grant(&self) -> &Grant {
        &self.grant
    }

    pub(crate) fn granted_by(&self) -> &'static str {
        self.slot.as_ref().map_or("", Slot::granted_by)
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.grant().addr
    }

    /// Records the arrival of the answer's head, which determines the latency of the request.
    pub(crate) fn record_head(&mut self) {
        self.head_after = Some(self.started.elapsed());
        self.record_activity();
    }

    /// Reports that the answer has begun and is not complete yet.
    pub(crate) fn report_start(&mut self) {
        let Some(elapsed) = self.head_after.filter(|_| !self.is_start_reported) else { return };
        self.is_start_reported = true;
        if let Some(slot) = &mut self.slot {
            slot.report_answer_start(elapsed);
        }
    }

    /// Reports a notice from the endpoint. The absence of a rate limit is reported only if a limit
    /// was known before.
    pub(crate) fn report_notice(&mut self, notice: Notice) {
        let is_change = self.grant.is_rate_limited || notice != Notice::RateLimit(None);
        if let Some(slot) = self.slot.as_mut().filter(|_| is_change) {
            slot.report_notice(notice);
        }
    }

    /// Restarts the stall timer: data arrived from the endpoint, or a read starts only now.
    pub(crate) fn record_activity(&mut self) {
        self.last_activity = Moment::now();
    }

    /// Releases the slot without an outcome: what happened says nothing about the endpoint.
    pub(crate) fn discard(&mut self) {
        self.slot = None;
    }

    /// Reports that the endpoint has stopped sending, unless this node's own path is lost. Returns
    /// whether the send is to be given up.
    pub(crate) async fn report_silence(&mut self, path: &impl PathCheck) -> bool {
        let silence = path.explain_silence().await;
        match silence {
            Silence::Endpoint => self.report_stall(),
            Silence::OwnPath => self.discard(),
            Silence::NotSent => {}
        }
        silence == Silence::OwnPath && path.is_given_up_on_loss()
    }

    /// Ends a send without an answer at its deadline. What the silence says is still to be found out if
    /// the deadline came first; the caller does not wait for that.
    pub(crate) fn end_timed_out(mut self, path: impl PathCheck) {
        if self.is_trickling() {
            return self.end(Kind::Failed);
        }
        if self.slot.is_none() || self.is_stall_reported || self.was_paused {
            return self.end(Kind::TimedOut);
        }
        tokio::spawn(async move {
            match path.explain_silence().await {
                Silence::Endpoint => self.end(Kind::TimedOut),
                Silence::OwnPath | Silence::NotSent => self.discard(),
            }
        });
    }

    /// Whether the answer began long ago and still arrives, so that no silence tells that the endpoint fails.
    fn is_trickling(&self) -> bool {
        let Some(head_after) = self.head_after else { return false };
        let since_head = self.started.elapsed().saturating_sub(head_after);
        let stall_after = self.grant.stall_after;
        since_head > stall_after && self.last_activity.elapsed() < stall_after
    }

    /// Reports that the endpoint has stopped sending.
    fn report_stall(&mut self) {
        self.is_stall_reported = true;
        let elapsed = self.last_activity.elapsed();
        if let Some(slot) = &mut self.slot {
            slot.report_stall(elapsed);
        }
    }

    /// Releases the slot and reports the outcome.
    pub(crate) fn end(mut self, kind: Kind) {
        self.release(kind);
    }

    /// Releases the slot and reports the outcome, but keeps the grant available.
    pub(crate) fn release(&mut self, kind: Kind) {
        let elapsed = match kind {
            Kind::Answered => self.head_after.unwrap_or_else(|| self.started.elapsed()),
            it if it.is_silence() => self.last_activity.elapsed(),
            _ => self.started.elapsed(),
        };
        if let Some(slot) = self.slot.take()
            && !self.was_paused
        {
            slot.end(kind, elapsed);
        }
    }

    /// Releases the slot with the outcome, or without one if what happened says nothing about the endpoint.
    pub(crate) fn settle(&mut self, kind: Option<Kind>) {
        match kind {
            Some(kind) => self.release(kind),
            None => self.discard(),
        }
    }

    /// Reads the body of an answer until it is complete or cannot be buffered any further in `memory`.
    /// Meanwhile reports that the answer has begun and whether it has stalled.
    pub(crate) async fn receive<B>(
        &mut self,
        body: B,
        memory: &BodyMemory,
        deadline: Moment,
        path: &impl PathCheck,
    ) -> Waited<Result<AnswerStart<B>, B::Error>>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let mut reader = AnswerReader::new(body, memory);
        loop {
            let next_report = self.next_report();
            let until = next_report.map_or(deadline, |(at, _)| at.min(deadline));
            match timeout_at(until, reader.read_frame()).await {
                Some(Ok(Some(start))) => return Waited::Done(Ok(start)),
                Some(Ok(None)) => self.record_activity(),
                Some(Err(error)) => return Waited::Done(Err(error)),
                None if deadline.left().is_zero() => return Waited::TimedOut,
                None => match next_report {
                    Some((_, ProgressReport::Started)) => self.report_start(),
                    Some((at, ProgressReport::Stalled)) if at.elapsed() < PAUSE_THRESHOLD => {
                        match timeout_at(deadline, self.report_silence(path)).await {
                            Some(false) => {}
                            Some(true) => return Waited::PathLost,
                            None => return Waited::TimedOut,
                        }
                    }
                    Some((_, ProgressReport::Stalled)) => self.was_paused = true,
                    None => {}
                },
            }
        }
    }

    /// The next report that is due for an answer that is being read, and when.
    fn next_report(&self) -> Option<(Moment, ProgressReport)> {
        match self.head_after {
            Some(after) if !self.is_start_reported => {
                Some((self.started + after + REPORT_START_AFTER, ProgressReport::Started))
            }
            _ if self.is_stall_reported || self.was_paused || self.slot.is_none() => None,
            _ => Some((self.last_activity + STALL_AFTER, ProgressReport::Stalled)),
        }
    }

    /// Runs `fut` until the deadline and reports a stall meanwhile.
    pub(crate) async fn run_until<F: Future>(
        &mut self,
        fut: F,
        deadline: Moment,
        path: &impl PathCheck,
    ) -> Waited<F::Output> {
        let mut fut = pin!(fut);
        let stall_at = (self.started + self.grant.stall_after).min(deadline);
        tokio::select! {
            biased;
            out = &mut fut => return Waited::Done(out),
            () = sleep_until(stall_at) => {}
        }
        if stall_at.elapsed() < PAUSE_THRESHOLD {
            tokio::select! {
                biased;
                out = &mut fut => return Waited::Done(out),
                is_given_up = self.report_silence(path) => {
                    if is_given_up {
                        return Waited::PathLost;
                    }
                }
                () = sleep_until(deadline) => return Waited::TimedOut,
            }
        } else if stall_at > self.started {
            self.was_paused = true;
        }
        tokio::select! {
            biased;
            out = &mut fut => Waited::Done(out),
            () = sleep_until(deadline) => Waited::TimedOut,
        }
    }
}

impl<S: Slot> Drop for ActiveSlot<S> {
    fn drop(&mut self) {
        if let Some(slot) = self.slot.take()
            && !self.was_paused
            && !*self.cut_off.borrow()
        {
            slot.end(self.race.kind_on_drop(), self.last_activity.elapsed());
        }
    }
}
