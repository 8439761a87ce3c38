//! State of the admission stage that no other stage reads: demand, work and grants of the last
//! seconds, and replies to evicted requests.

use std::time::Duration;

use super::demand::Demand;
use super::holdings::RecentGrants;
use super::work::Work;
use super::{Dispatcher, MIN_RETRY_AFTER};
use crate::options::{Contention, DispatchOptions};
use crate::permit::{Ask, QueuedReply, Reply, SendKind};
use crate::queue::{Rank, Waiting};
use crate::time::Time;

/// Why a request is refused a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It cannot finish before its deadline.
    CannotFinish,
    /// The queue is full of requests that rank before it.
    QueueFull,
    /// Congestion lasts, and it would end late.
    Congested,
    /// A request that ranks before it took its place in the queue.
    Evicted,
    /// No endpoint accepts the request from this node.
    Closed,
}

impl Refusal {
    /// All reasons, in the order of [`super::DispatchCounts::refusals`].
    pub const ALL: [Self; 5] =
        [Self::CannotFinish, Self::QueueFull, Self::Congested, Self::Evicted, Self::Closed];

    /// Name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::CannotFinish => "cannot-finish",
            Self::QueueFull => "queue-full",
            Self::Congested => "congested",
            Self::Evicted => "evicted",
            Self::Closed => "closed",
        }
    }
}

/// State of the admission stage.
#[derive(Debug, Default)]
pub(super) struct Contended {
    pub(super) work: Work,
    pub(super) demand: Demand,
    pub(super) recent_grants: RecentGrants,
    /// Replies to requests that were evicted by an ask.
    pub(super) evicted: Vec<QueuedReply>,
    /// When the queue was last searched for requests that cannot finish.
    pub(super) last_check: Time,
}

impl Dispatcher {
    /// Applies the options of the process.
    pub fn set_options(&mut self, options: DispatchOptions) {
        self.options = options;
    }

    /// Replies to requests that were evicted since the last call. The other calls that return
    /// replies include them; after [`Self::ask`] they are available here at once.
    pub fn take_evicted(&mut self) -> Vec<QueuedReply> {
        std::mem::take(&mut self.contended.evicted)
    }

    /// Whether the rank of a request decides.
    pub(super) fn is_ranked(&self) -> bool {
        self.options.contention == Contention::Ranked
    }

    /// Records that a request asks for a slot. One that asks again was counted before.
    pub(super) fn note_demand(&mut self, now: Time, ask: &Ask) {
        if ask.send != SendKind::FirstAgain {
            let work = self.contended.work.mean(ask.route, self.mean_hold);
            self.contended.demand.add(now, ask.priority, work);
        }
    }

    /// Records a grant for the share of its organisation.
    pub(super) fn note_granted(&mut self, now: Time, ask: &Ask) {
        let work = self.contended.work.mean(ask.route, self.mean_hold);
        self.contended.recent_grants.add(now, ask.organisation, work);
    }

    /// Sorts the queue by rank and returns the ranks.
    pub(super) fn rank_queue(&mut self, now: Time) -> Vec<Rank> {
        let holdings = self.holdings(now);
        let work = &self.contended.work;
        self.queue.sort_by_rank(&holdings, |it| {
            now + work.typical(it.item.route) > it.asked() + it.item.objective
        })
    }

    /// Takes a request off the queue and refuses it.
    pub(super) fn refuse_waiting(&mut self, now: Time, i: usize, why: Refusal) -> QueuedReply {
        let it = self.queue.remove(i);
        self.release_reserved_repeats(std::iter::once(&it.item));
        let retry_after = self.refuse(now, &it.item, why, self.mean_hold);
        QueuedReply { id: it.item.id, reply: Reply::Refused { retry_after } }
    }

    /// Counts a refusal and returns when the caller may try again.
    pub(super) fn refuse(
        &mut self,
        now: Time,
        ask: &Ask,
        why: Refusal,
        wait: Duration,
    ) -> Duration {
        self.counts.count_refusal(ask.priority, why);
        self.note_unserved(now, 1);
        wait.max(MIN_RETRY_AFTER)
    }
}

impl Waiting<Ask> {
    /// When the request was asked for.
    pub(super) fn asked(&self) -> Time {
        self.deadline - self.item.left
    }
}
