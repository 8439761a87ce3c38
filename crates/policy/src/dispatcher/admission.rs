//! Admission stage: whether a request that finds no free slot waits for one or is refused.

use std::time::Duration;

use super::congestion::Arrival;
use super::{Dispatcher, MIN_RETRY_AFTER};
use crate::permit::{Ask, Reply, SendKind};
use crate::queue::Waiting;
use crate::time::Time;

/// Maximum number of queued requests per slot.
const QUEUE_PER_SLOT: f64 = 8.0;
/// Lower bound for the number of slots in an estimate of the wait.
const MIN_SLOTS: f64 = 0.05;
/// Maximum number of queued requests, whatever the number of slots, which bounds the cost of a pass
/// over the queue.
const MAX_QUEUE: usize = 512;

/// The decision on a request that finds no free slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// The request enters the queue.
    Wait,
    /// The request is refused.
    Refuse {
        /// When the caller may try again.
        retry_after: Duration,
    },
}

impl Dispatcher {
    /// Queues an ask or refuses it. `slots` is the number of slots that may be used now.
    pub(super) fn enqueue(&mut self, now: Time, ask: Ask, slots: f64) -> Reply {
        if let Admission::Refuse { retry_after } = self.admit(now, &ask, slots) {
            self.counts.queue_refused += 1;
            self.note_unserved(now, 1);
            return Reply::Refused { retry_after };
        }
        if ask.send == SendKind::Further {
            self.budget.reserve();
        }
        self.queue.push(Waiting {
            priority: ask.priority,
            organisation: ask.organisation,
            weight: ask.weight,
            deadline: now + ask.left,
            item: ask,
        });
        Reply::Queued
    }

    /// Decides whether a request may wait.
    fn admit(&mut self, now: Time, ask: &Ask, slots: f64) -> Admission {
        let wait = self.expected_wait(self.queue.ahead_of(ask.priority), slots);
        let max_length = (slots * QUEUE_PER_SLOT).ceil() as usize;
        let arrival =
            Arrival { wait, work: self.mean_hold, objective: ask.objective, left: ask.left };
        let may_wait = self.congestion.admits(now, arrival);
        if !may_wait || self.queue.len() >= max_length.min(MAX_QUEUE) {
            return Admission::Refuse { retry_after: wait.max(MIN_RETRY_AFTER) };
        }
        Admission::Wait
    }

    /// Expected wait of a request behind `ahead` others.
    pub(super) fn expected_wait(&self, ahead: usize, slots: f64) -> Duration {
        self.mean_hold.mul_f64((ahead + 1) as f64 / slots.max(MIN_SLOTS))
    }
}
