//! Requests that wait for a slot.

use std::time::Duration;

use rand::{Rng, RngExt};
use resources::Priority;

use super::{Dispatcher, MIN_RETRY_AFTER};
use crate::permit::{Ask, PermitId, Reply, SendKind, Settled};
use crate::queue::Waiting;
use crate::time::Time;

/// Waiting requests for each slot at most.
const QUEUE_PER_SLOT: usize = 8;
/// Waiting requests at most, whatever the number of slots, so that a turn of the queue stays short.
const MAX_QUEUE: usize = 512;

impl Dispatcher {
    pub(super) fn enqueue(&mut self, now: Time, ask: Ask) -> Reply {
        let slots = self.total_slots(now);
        let wait = self.expected_wait(slots, ask.priority);
        if wait > ask.left || self.queue.len() >= (slots * QUEUE_PER_SLOT).min(MAX_QUEUE) {
            return Reply::Refused { retry_after: wait.max(MIN_RETRY_AFTER) };
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

    pub(super) fn expected_wait(&self, slots: usize, priority: Priority) -> Duration {
        let ahead = self.queue.ahead_of(priority) + 1;
        self.mean_hold.mul_f64(ahead as f64 / slots.max(1) as f64)
    }

    /// Gives free slots to those that wait.
    pub(super) fn drain(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Settled> {
        if self.queue.len() == 0 {
            return Vec::new();
        }
        self.look_around(now);
        let mut settled = Vec::new();
        while self.queue.len() > 0 && self.has_free_slot(now) {
            let fits = |ask: &Ask| self.choose(now, ask, || 0).is_some();
            let Some(next) = self.queue.best(fits) else { break };
            // The endpoint is chosen while the request still counts as waiting: how urgent it is
            // depends on the queue, and a request that has left it must not be lost.
            let ask = self.queue.get(next);
            let Some(choice) = self.choose(now, ask, || rng.random()) else { break };
            let ask = self.queue.take(next).item;
            self.leave_queue(std::iter::once(&ask));
            let reply = Reply::Granted(self.grant(now, &ask, choice));
            settled.push(Settled { id: ask.id, reply });
        }
        settled
    }

    /// Gives back what is reserved for repeats that do not wait any more; those that are granted a slot
    /// are counted when that happens.
    pub(super) fn leave_queue<'a>(&mut self, asks: impl Iterator<Item = &'a Ask>) {
        asks.filter(|it| it.send == SendKind::Further).for_each(|_| self.budget.give_back());
    }

    pub(super) fn refusal(&self, id: PermitId) -> Settled {
        let retry_after = self.mean_hold.max(MIN_RETRY_AFTER);
        Settled { id, reply: Reply::Refused { retry_after } }
    }
}
