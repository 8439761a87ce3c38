//! State of the admission stage that no other stage reads: demand, work and grants of the last
//! seconds, and replies to evicted requests.

use std::time::Duration;

use rand::Rng;

use super::admission::{MIN_SHARE_LEFT, MIN_SLOTS};
use super::demand::Demand;
use super::holdings::{RecentGrants, fair_fraction};
use super::returns::{Return, Returns};
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
    pub(super) returns: Returns,
    /// Slots that could be used when a request last asked to wait.
    pub(super) slots: f64,
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

    /// Records that a request asks for a slot. One that asks again was counted before. A request
    /// that comes back earlier than it was told is charged to its organisation like a grant, so that
    /// callers gain nothing by asking often.
    pub(super) fn note_demand(&mut self, now: Time, ask: &Ask) {
        let work = self.contended.work.mean(ask.route, self.mean_hold);
        match self.contended.returns.find(now, ask.request) {
            _ if ask.send == SendKind::FirstAgain => {}
            None => self.contended.demand.add(now, ask.priority, work),
            Some(Return::WhenTold) => {}
            Some(Return::Early) => {
                self.counts.early_returns += 1;
                self.contended.recent_grants.charge(now, ask.organisation, work);
            }
        }
    }

    /// Records a grant for the share of its organisation.
    pub(super) fn note_granted(&mut self, now: Time, ask: &Ask) {
        let work = self.contended.work.mean(ask.route, self.mean_hold);
        self.contended.recent_grants.add(now, (ask.organisation, ask.weight), work);
    }

    /// Sorts the queue by rank and returns the ranks.
    pub(super) fn rank_queue(&mut self, now: Time) -> Vec<Rank> {
        let holdings = self.holdings(now);
        self.queue.sort_by_rank(&holdings)
    }

    /// Takes a request off the queue and refuses it, or redirects it if it may leave and another
    /// failure domain has room for it.
    pub(super) fn refuse_waiting(
        &mut self,
        now: Time,
        i: usize,
        why: Refusal,
        rng: &mut impl Rng,
    ) -> QueuedReply {
        let it = self.queue.remove(i);
        self.release_reserved_repeats(std::iter::once(&it.item));
        if let Some(reply) = self.redirect_refused_waiting(now, &it, rng) {
            return QueuedReply { id: it.item.id, reply };
        }
        let retry_after = self.refuse(now, &it.item, why, Duration::ZERO);
        QueuedReply { id: it.item.id, reply: Reply::Refused { retry_after } }
    }

    /// Counts a refusal and returns when the caller may try again, given the time until there is
    /// room for its priority.
    pub(super) fn refuse(
        &mut self,
        now: Time,
        ask: &Ask,
        why: Refusal,
        room: Duration,
    ) -> Duration {
        self.counts.count_refusal(ask.priority, why);
        self.note_unserved(now, 1);
        if !self.is_ranked() {
            return room.max(MIN_RETRY_AFTER);
        }
        let pace = self.pace(now, ask);
        let kind = (ask.priority, ask.organisation);
        self.contended.returns.refuse(now, ask.request, kind, room, pace)
    }

    /// Time between two requests of an organisation that its share of the slots can serve.
    fn pace(&self, now: Time, ask: &Ask) -> Duration {
        let share = fair_fraction(&self.holdings(now), ask.organisation, ask.weight);
        let slots = self.contended.slots;
        let above = self.contended.demand.above(now, ask.priority);
        let left = (slots - above).max(slots * MIN_SHARE_LEFT).max(MIN_SLOTS);
        let work = self.contended.work.mean(ask.route, self.mean_hold);
        Duration::from_secs_f64(work / (left * share))
    }
}

impl Waiting<Ask> {
    /// When the request was asked for.
    pub(super) fn asked(&self) -> Time {
        self.deadline - self.item.left
    }
}
