//! What a dispatcher does about requests under which endpoints have ended.
//!
//! Such a request runs on one endpoint at a time, so that its copies do not end one endpoint each before the first
//! crash is known, and never beside another such request, so that the next crash tells which of them it was. A
//! harmless one loses the time until its next answer by that and nothing else.

use std::time::Duration;

use super::load::Load;
use super::{Dispatcher, Permit};
use crate::observation::Kind;
use crate::permit::{Ask, QueuedReply, Reply};
use crate::suspects::{Rejection, RequestKey, RunEnd};
use crate::time::Time;

/// What several nodes tell of one and the same crash comes within this time.
const SAME_CRASH: Duration = Duration::from_millis(50);

impl Dispatcher {
    /// For how much longer a request is rejected.
    pub fn rejected(&self, now: Time, request: RequestKey) -> Option<Duration> {
        self.suspects.rejected(now, request)
    }

    /// Takes in a rejection by another node.
    pub fn reject(&mut self, now: Time, it: Rejection) {
        self.has_rejected |= self.suspects.reject(now, it);
    }

    /// Requests that have come to be rejected here since the last call.
    pub fn take_rejections(&mut self) -> Vec<Rejection> {
        self.suspects.take_rejections()
    }

    /// Learns how a send ended, `elapsed` after it began, for which another dispatcher gave the slot.
    pub fn ran(&mut self, now: Time, request: RequestKey, end: RunEnd, elapsed: Duration) {
        match end {
            RunEnd::Answered => self.suspects.answered(now, request),
            RunEnd::Crashed => self.crashed(now, request, now - (elapsed + SAME_CRASH)),
        }
    }

    /// The same for a slot of this dispatcher.
    pub(super) fn suspect(&mut self, now: Time, permit: &Permit, kind: Kind) {
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
        self.has_rejected = true;
    }

    /// Whether one of the slots is held by the request.
    pub(super) fn is_open(&self, request: RequestKey) -> bool {
        self.loads.iter().any(|it| it.requests().any(|it| it == request))
    }

    /// Whether an endpoint runs a request under which another one has ended.
    pub(super) fn runs_watched(&self, load: &Load) -> bool {
        load.requests().any(|it| self.suspects.is_watched(it))
    }

    /// The request of an ask, if an endpoint has ended under it.
    pub(super) fn watched(&self, ask: &Ask) -> Option<RequestKey> {
        self.suspects.is_watched(ask.request).then_some(ask.request)
    }

    /// Answers those that wait for a slot and are sent no more.
    pub(super) fn turn_away_rejected(&mut self, now: Time) -> Vec<QueuedReply> {
        if !std::mem::take(&mut self.has_rejected) {
            return Vec::new();
        }
        let suspects = &self.suspects;
        let rejected = self.queue.extract(|it| suspects.rejected(now, it.item.request).is_some());
        self.counts.rejected += rejected.len() as u32;
        self.leave_queue(rejected.iter().map(|it| &it.item));
        let answer = |ask: Ask| {
            let left = self.suspects.rejected(now, ask.request);
            let reply = Reply::Rejected { retry_after: left.unwrap_or_default() };
            QueuedReply { id: ask.id, reply }
        };
        rejected.into_iter().map(|it| answer(it.item)).collect()
    }
}
