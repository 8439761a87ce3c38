//! Restricts requests during which endpoints have crashed.
//!
//! Such a request runs on one endpoint at a time, so that its copies do not crash several endpoints
//! before the first crash is known. It never runs on the same endpoint as another such request, so
//! that the next crash identifies the one at fault. A harmless request loses
//! nothing but the time until its next answer.

use std::time::Duration;

use super::load::EndpointLoad;
use super::{Dispatcher, Permit};
use crate::observation::Kind;
use crate::permit::{Ask, QueuedReply, Reply};
use crate::suspects::{Rejection, RequestKey, RunEnd};
use crate::time::Time;

/// Reports of the same crash by several nodes arrive within this time.
const CRASH_REPORT_SPREAD: Duration = Duration::from_millis(50);

impl Dispatcher {
    /// Remaining time for which a request is rejected; `None` if it is not.
    pub fn rejected(&self, now: Time, request: RequestKey) -> Option<Duration> {
        self.suspects.rejected(now, request)
    }

    /// Applies a rejection decided by another node.
    pub fn reject(&mut self, now: Time, it: Rejection) {
        self.has_new_rejections |= self.suspects.reject(now, it);
    }

    /// Rejections decided here since the last call.
    pub fn take_rejections(&mut self) -> Vec<Rejection> {
        self.suspects.take_rejections()
    }

    /// Records the end of a send, `elapsed` after it began, whose slot another dispatcher granted.
    pub fn run_ended(&mut self, now: Time, request: RequestKey, end: RunEnd, elapsed: Duration) {
        match end {
            RunEnd::Answered => self.suspects.answered(now, request),
            RunEnd::Crashed => self.crashed(now, request, now - (elapsed + CRASH_REPORT_SPREAD)),
        }
    }

    /// Records the end of a send whose slot this dispatcher granted.
    pub(super) fn note_run_end(&mut self, now: Time, permit: &Permit, kind: Kind) {
        match kind {
            Kind::Answered => self.suspects.answered(now, permit.request),
            Kind::Crashed if self.endpoints()[permit.endpoint].is_expected() => {
                self.crashed(now, permit.request, permit.granted);
            }
            _ => {}
        }
    }

    fn crashed(&mut self, now: Time, request: RequestKey, sent: Time) {
        self.suspects.crashed(now, request, sent);
        self.has_new_rejections = true;
    }

    /// Whether the request is open on an endpoint.
    pub(super) fn has_open_send(&self, request: RequestKey) -> bool {
        self.loads.iter().any(|it| it.requests().any(|it| it == request))
    }

    /// Whether an endpoint runs a request during which another endpoint has crashed.
    pub(super) fn runs_watched(&self, load: &EndpointLoad) -> bool {
        load.requests().any(|it| self.suspects.is_watched(it))
    }

    /// The request of an ask, if an endpoint has crashed during it.
    pub(super) fn watched(&self, ask: &Ask) -> Option<RequestKey> {
        self.suspects.is_watched(ask.request).then_some(ask.request)
    }

    /// Removes rejected requests from the queue and returns replies for them.
    pub(super) fn turn_away_rejected(&mut self, now: Time) -> Vec<QueuedReply> {
        if !std::mem::take(&mut self.has_new_rejections) {
            return Vec::new();
        }
        let suspects = &self.suspects;
        let rejected = self.queue.extract(|it| suspects.rejected(now, it.item.request).is_some());
        self.counts.rejected += rejected.len() as u32;
        self.release_reserved_repeats(rejected.iter().map(|it| &it.item));
        let answer = |ask: Ask| {
            let left = self.suspects.rejected(now, ask.request);
            let reply = Reply::Rejected { retry_after: left.unwrap_or_default() };
            QueuedReply { id: ask.id, reply }
        };
        rejected.into_iter().map(|it| answer(it.item)).collect()
    }
}
