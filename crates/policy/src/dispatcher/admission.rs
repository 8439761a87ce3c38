//! Admission stage: whether a request that finds no free slot waits for one or is refused, and which
//! waiting request is evicted for it.

use std::time::Duration;

use rand::Rng;

use super::Dispatcher;
use super::congestion::{Arrival, TARGET_SHARE};
use super::contention::Refusal;
use crate::permit::{Ask, QueuedReply, Reply, SendKind};
use crate::queue::{Rank, Waiting};
use crate::time::Time;
use resources::Priority;

/// Maximum number of queued requests per slot.
const QUEUE_PER_SLOT: f64 = 8.0;
/// Lower bound for the number of slots in an estimate of the wait.
pub(super) const MIN_SLOTS: f64 = 0.05;
/// Maximum number of queued requests, whatever the number of slots, which bounds the cost of a pass
/// over the queue.
const MAX_QUEUE: usize = 512;
/// The same for a ranked queue. Larger, because requests with an objective of 8 s that wait for the
/// end of a burst do not delay those that rank before them: with 512, a tenth of a burst of 2.4
/// times the usual rate on 582 slots was refused for want of space.
const MAX_RANKED_QUEUE: usize = 1_024;
/// Smallest share of the slots that is assumed to be left for a priority. With less, the wait of
/// its requests exceeds their objective in any case.
pub(super) const MIN_SHARE_LEFT: f64 = 0.05;
/// Share of the objective after which the refusal of a waiting request is late: its caller would
/// have been better off with a refusal at once.
const HELD_SHARE: f64 = 0.1;
/// The wait of a queued request is counted with this factor when it is judged whether it can still
/// finish: capacity may recover while it waits, and a refusal is final.
const CERTAIN_WAIT: f64 = 0.5;

/// The decision on a request that finds no free slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// The request enters the queue.
    Wait,
    /// The request is refused.
    Refuse {
        /// Why it is refused.
        why: Refusal,
        /// Expected wait for a slot.
        wait: Duration,
    },
}

impl Dispatcher {
    /// Queues an ask or refuses it. `slots` is the number of slots that may be used now. An ask
    /// that may be redirected leaves instead of being refused if another failure domain has room.
    pub(super) fn enqueue(
        &mut self,
        now: Time,
        ask: Ask,
        slots: f64,
        may_redirect: bool,
        rng: &mut impl Rng,
    ) -> Reply {
        if self.is_ranked() {
            return self.enqueue_ranked(now, ask, slots, may_redirect, rng);
        }
        if let Admission::Refuse { why, wait } = self.admit(now, &ask, slots) {
            return self.redirect_or_refuse(now, &ask, (why, wait), may_redirect, rng);
        }
        self.push(now, ask);
        Reply::Queued
    }

    /// Redirects a newcomer that may not wait here, or refuses it for a reason, with its expected
    /// wait.
    fn redirect_or_refuse(
        &mut self,
        now: Time,
        ask: &Ask,
        (why, wait): (Refusal, Duration),
        may_redirect: bool,
        rng: &mut impl Rng,
    ) -> Reply {
        if may_redirect && let Some(reply) = self.redirect_refused(now, ask, ask.left, rng) {
            return reply;
        }
        Reply::Refused { retry_after: self.refuse(now, ask, why, wait) }
    }

    /// Decides by the length of the queue and the expected wait whether a request may wait.
    fn admit(&mut self, now: Time, ask: &Ask, slots: f64) -> Admission {
        let wait = self.expected_wait(self.queue.ahead_of(ask.priority), slots);
        let arrival =
            Arrival { wait, work: self.mean_hold, objective: ask.objective, left: ask.left };
        // One state for all priorities.
        if !self.congestion.admits(now, Priority::default(), arrival) {
            return Admission::Refuse { why: Refusal::Congested, wait };
        }
        if self.queue.len() >= max_length(slots, MAX_QUEUE) {
            return Admission::Refuse { why: Refusal::QueueFull, wait };
        }
        Admission::Wait
    }

    /// Queues an ask if its rank and the time that it has left allow it. It may take the place of a
    /// request that ranks after it.
    fn enqueue_ranked(
        &mut self,
        now: Time,
        ask: Ask,
        slots: f64,
        may_redirect: bool,
        rng: &mut impl Rng,
    ) -> Reply {
        self.contended.slots = slots;
        let (id, priority) = (ask.id, ask.priority);
        let typical = self.contended.work.typical(ask.route);
        let arrival = Arrival {
            wait: Duration::ZERO,
            work: Duration::from_secs_f64(self.work_of(&ask)),
            objective: ask.objective,
            left: ask.left,
        };
        if let Some(refusal) = self.refuse_return(now, &ask, arrival, slots) {
            return self.redirect_or_refuse(now, &ask, refusal, may_redirect, rng);
        }
        self.push(now, ask);
        let ranks = self.rank_queue(now);
        let own = self.queue.iter().position(|it| it.item.id == id).expect("just pushed");
        let arrival = Arrival { wait: self.wait_of_newcomer(now, own, &ranks, slots), ..arrival };
        let may_wait = self.congestion.admits(now, priority, arrival);
        let victim = if arrival.wait + typical > arrival.left {
            Err(Refusal::CannotFinish)
        } else if !may_wait {
            Err(Refusal::Congested)
        } else if self.queue.len() > max_length(slots, MAX_RANKED_QUEUE) {
            let is_late = arrival.wait + arrival.work > arrival.objective;
            let may_displace = |it: &usize| !is_late || ranks[*it].priority > priority;
            let victim = self.victim(now, own, &ranks).filter(may_displace);
            victim.ok_or(Refusal::QueueFull).map(Some)
        } else {
            self.victim_if_too_late(now, own, &ranks, slots)
        };
        match victim {
            Ok(Some(victim)) => {
                let evicted = self.refuse_waiting(now, victim, Refusal::Evicted, rng);
                self.contended.evicted.push(evicted);
                Reply::Queued
            }
            Ok(None) => Reply::Queued,
            Err(why) => {
                let ask = self.queue.remove(own).item;
                self.release_reserved_repeats(std::iter::once(&ask));
                self.counts.uncount_queued(ask.priority);
                self.redirect_or_refuse(now, &ask, (why, arrival.wait), may_redirect, rng)
            }
        }
    }

    /// Whether a request that has come back is refused because those of its priority leave no room,
    /// with its expected wait. It ranks after all of them, so that the queue need not be sorted:
    /// callers that come back at once may ask many times as often as all others.
    fn refuse_return(
        &mut self,
        now: Time,
        ask: &Ask,
        arrival: Arrival,
        slots: f64,
    ) -> Option<(Refusal, Duration)> {
        self.contended.returns.find(now, ask.request)?;
        let before = self.queue.iter().filter(|it| it.priority <= ask.priority);
        let (mut count, mut work) = (0, self.work_of(ask));
        for it in before {
            count += 1;
            work += self.work_of(&it.item);
        }
        let wait = self.wait_behind(now, work, ask.priority, slots);
        let may_wait = self.congestion.admits(now, ask.priority, Arrival { wait, ..arrival });
        if wait + self.contended.work.typical(ask.route) > ask.left {
            Some((Refusal::CannotFinish, wait))
        } else if !may_wait {
            Some((Refusal::Congested, wait))
        } else if count >= max_length(slots, MAX_RANKED_QUEUE) {
            Some((Refusal::QueueFull, wait))
        } else {
            None
        }
    }

    fn push(&mut self, now: Time, ask: Ask) {
        if ask.send == SendKind::Further {
            self.budget.reserve();
        }
        self.counts.count_queued(ask.priority);
        self.queue.push(Waiting {
            priority: ask.priority,
            organisation: ask.organisation,
            weight: ask.weight,
            deadline: now + ask.left,
            is_return: self.contended.returns.find(now, ask.request).is_some(),
            item: ask,
        });
    }

    /// The position of the request that the one at `own` displaces: the last one of a lower
    /// priority, or else the last one of its own priority that would not be refused late. An
    /// organisation that holds nothing displaces the last one in any case.
    fn victim(&self, now: Time, own: usize, ranks: &[Rank]) -> Option<usize> {
        let mut displaced = self.displaced(own, ranks);
        let last = displaced.next()?;
        if ranks[last].priority > ranks[own].priority {
            return Some(last);
        }
        let young = std::iter::once(last).chain(displaced).find(|it| !self.is_held(now, *it));
        young.or((ranks[own].share == 0.0).then_some(last))
    }

    /// Like [`Self::victim`], for a queue that is not full: a request is evicted if the one at `own`
    /// delays the last one so much that it ends too late.
    fn victim_if_too_late(
        &self,
        now: Time,
        own: usize,
        ranks: &[Rank],
        slots: f64,
    ) -> Result<Option<usize>, Refusal> {
        let last = self.displaced(own, ranks).next();
        if !last.is_some_and(|it| self.is_too_late(now, it, slots)) {
            return Ok(None);
        }
        match self.victim(now, own, ranks) {
            Some(it) if ranks[it].priority == ranks[own].priority && self.is_held(now, it) => {
                Ok(None)
            }
            Some(it) => Ok(Some(it)),
            None => Err(Refusal::Congested),
        }
    }

    /// The positions of the requests that the one at `own` displaces, the last one first.
    fn displaced<'a>(
        &'a self,
        own: usize,
        ranks: &'a [Rank],
    ) -> impl Iterator<Item = usize> + use<'a> {
        let waiting = self.queue.iter().as_slice();
        (own + 1..ranks.len())
            .rev()
            .filter(move |i| ranks[own].displaces(&ranks[*i], waiting[*i].weight))
    }

    /// Whether a request has waited so long that its refusal is late.
    fn is_held(&self, now: Time, i: usize) -> bool {
        let it = &self.queue.iter().as_slice()[i];
        now.since(it.asked()) > it.item.objective.mul_f64(HELD_SHARE)
    }

    /// Whether a waiting request is expected to miss its objective while congestion lasts, or its
    /// deadline at any time.
    fn is_too_late(&self, now: Time, i: usize, slots: f64) -> bool {
        let Some(it) = self.queue.iter().as_slice().get(i) else { return false };
        let wait = self.wait_at(now, i, it.priority, slots);
        let work = Duration::from_secs_f64(self.work_of(&it.item));
        let end = now.since(it.asked()) + wait + work;
        let is_lasting = self.congestion.is_lasting(now, it.priority, it.item.objective);
        let target = it.item.objective.mul_f64(TARGET_SHARE);
        end > if is_lasting { target.min(it.item.left) } else { it.item.left }
    }

    /// Expected wait of the request at a position of the ranked queue. Requests of higher priority
    /// that arrive meanwhile are served before it.
    fn wait_at(&self, now: Time, position: usize, priority: Priority, slots: f64) -> Duration {
        let work = self.queue.iter().take(position + 1).map(|it| self.work_of(&it.item)).sum();
        self.wait_behind(now, work, priority, slots)
    }

    /// Expected wait of a newcomer. Requests that it does not displace count as served before it,
    /// also where it ranks slightly before them.
    fn wait_of_newcomer(&self, now: Time, own: usize, ranks: &[Rank], slots: f64) -> Duration {
        let all: f64 = self.queue.iter().map(|it| self.work_of(&it.item)).sum();
        let waiting = self.queue.iter().as_slice();
        let displaced = self.displaced(own, ranks).map(|i| self.work_of(&waiting[i].item));
        self.wait_behind(now, all - displaced.sum::<f64>(), ranks[own].priority, slots)
    }

    /// Time until `work`, in slot seconds, is done, beside the requests of higher priorities that
    /// arrive meanwhile.
    fn wait_behind(&self, now: Time, work: f64, priority: Priority, slots: f64) -> Duration {
        let slots = slots.max(MIN_SLOTS);
        let left = 1.0 - self.contended.demand.above(now, priority) / slots;
        Duration::from_secs_f64(work.max(0.0) / slots / left.max(MIN_SHARE_LEFT))
    }

    /// Expected time for which a request holds a slot, in seconds.
    fn work_of(&self, ask: &Ask) -> f64 {
        self.contended.work.mean(ask.route, self.mean_hold)
    }

    /// Refuses the queued requests that cannot finish before their deadline. The queue is sorted by
    /// rank.
    pub(super) fn refuse_hopeless(
        &mut self,
        now: Time,
        slots: f64,
        rng: &mut impl Rng,
    ) -> Vec<QueuedReply> {
        let slots = slots.max(MIN_SLOTS);
        let mut refused = Vec::new();
        let (mut i, mut ahead) = (0, 0.0);
        while let Some(it) = self.queue.iter().as_slice().get(i) {
            let wait = Duration::from_secs_f64(ahead / slots * CERTAIN_WAIT);
            let end = now + wait + self.contended.work.typical(it.item.route);
            if end > it.deadline {
                refused.push(self.refuse_waiting(now, i, Refusal::CannotFinish, rng));
            } else {
                ahead += self.work_of(&it.item);
                i += 1;
            }
        }
        refused
    }

    /// Expected wait of a request behind `ahead` others.
    pub(super) fn expected_wait(&self, ahead: usize, slots: f64) -> Duration {
        self.mean_hold.mul_f64((ahead + 1) as f64 / slots.max(MIN_SLOTS))
    }
}

/// Maximum number of queued requests at this number of usable slots.
fn max_length(slots: f64, bound: usize) -> usize {
    ((slots * QUEUE_PER_SLOT).ceil() as usize).min(bound)
}
