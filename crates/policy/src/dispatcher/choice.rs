//! Which endpoint a request gets: tiers by what is believed of it, then slots in use and distance.

use std::time::Duration;

use super::Dispatcher;
use crate::belief::{Strain, TRY_AGAIN, Use};
use crate::permit::{Ask, Tier};
use crate::rendezvous::stable_hash;
use crate::rotation::State;
use crate::time::Time;

/// What an endpoint of another failure domain counts for, in slots in use, when short answers are
/// placed. Traffic between failure domains has a price; a busy slot costs more.
const FAR_SLOTS: u32 = 2;
/// Part of the objective that a send waits for a good endpoint if another one may follow. Work takes
/// a third of the objective on the users' sites, so that a second send still fits.
const FIRST_SEND_PATIENCE: f64 = 0.15;
/// The same for the last send of a request. Trials with six tenths of the time left and with the whole
/// objective made requests late on days of high load and served no more of them.
const LAST_SEND_PATIENCE: f64 = 0.5;

impl Dispatcher {
    /// The free endpoint of the best tier with the least cost; ties are broken at random.
    ///
    /// A worse one is taken only by those that wait, and only if waiting for a
    /// good one would be in vain or take longer than the asker's patience.
    pub(super) fn choose(
        &self,
        now: Time,
        ask: &Ask,
        mut tie: impl FnMut() -> u32,
    ) -> Option<usize> {
        let mut best = None;
        let mut good_slots = 0;
        for (i, load) in self.loads.iter().enumerate() {
            let Some(tier) = self.tier(now, i, ask) else { continue };
            let usable = match tier {
                Tier::Trial => 1,
                _ => self.usable_slots(now, i),
            };
            if tier < Tier::Near {
                good_slots += usable as usize;
            }
            if load.in_use >= usable {
                continue;
            }
            let key = (tier, self.doubt(now, i, tier), self.cost(i, ask), tie());
            if best.is_none_or(|(other, _)| key < other) {
                best = Some((key, i));
            }
        }
        let ((tier, ..), i) = best?;
        let is_impatient = || self.expected_wait(good_slots, ask.priority) > self.patience(ask);
        let take_worse = ask.wait && (good_slots == 0 || is_impatient());
        (tier < Tier::Near || take_worse).then_some(i)
    }

    /// How long a good endpoint is waited for. A send that can be followed by another one loses little
    /// on an endpoint that fails; the last one loses all.
    fn patience(&self, ask: &Ask) -> Duration {
        let part = if self.is_last_send(ask) { LAST_SEND_PATIENCE } else { FIRST_SEND_PATIENCE };
        ask.objective.mul_f64(part)
    }

    /// Whether no other send will follow, by the route's rules or because the budget is nearly spent.
    fn is_last_send(&self, ask: &Ask) -> bool {
        ask.is_last || self.is_budget_short
    }

    /// Looks at what bears on all choices at this moment.
    pub(super) fn look_around(&mut self, now: Time) {
        self.is_budget_short = self.budget.is_short(now);
        self.strain = self.served.strain(now);
    }

    /// Whether an endpoint that is out of rotation is tried all the same, one request at a time,
    /// because a part of the requests is not served.
    fn is_needed(&self, now: Time, i: usize) -> bool {
        let it = &self.endpoints()[i];
        let is_out = matches!(it.state, State::Ejected { .. }) && now.since(it.since) > TRY_AGAIN;
        // Sick endpoints fail at once: without a pause they would be tried again and again.
        is_out
            && self.strain == Strain::Unserved
            && self.loads[i].belief.failed_before(now, TRY_AGAIN)
    }

    /// Slots of an endpoint that may be used now: one while nothing proves that it is well again.
    fn usable_slots(&self, now: Time, i: usize) -> u32 {
        if self.is_needed(now, i) {
            return 1;
        }
        let usable = self.endpoints()[i].usable_slots(now);
        match self.loads[i].belief.usage(now, self.strain) {
            Use::Singly | Use::Cautiously => usable.min(1),
            Use::Freely | Use::Last => usable,
        }
    }

    /// Among those that are used last, how likely an endpoint is sick, in steps of a twentieth.
    /// Sick ones fail fast and so are always free: by free slots alone they would be chosen first.
    fn doubt(&self, now: Time, i: usize, tier: Tier) -> u32 {
        match tier {
            Tier::Near | Tier::Last => (self.loads[i].belief.sick(now) * 20.0) as u32,
            _ => 0,
        }
    }

    /// Slots in use, and what the way to another failure domain counts for.
    fn cost(&self, i: usize, ask: &Ask) -> u32 {
        self.loads[i].in_use + if self.is_near(i, ask) { 0 } else { FAR_SLOTS }
    }

    /// Whether an endpoint is in the asker's failure domain.
    fn is_near(&self, i: usize, ask: &Ask) -> bool {
        let failure_domain = &self.endpoints()[i].failure_domain;
        stable_hash(failure_domain.as_bytes()) == ask.reporter.failure_domain
    }

    /// Whether a request that can be sent again is to find out if an endpoint that is used last is well
    /// by now. It costs little, and a recovered endpoint is missed capacity until someone tries it.
    fn is_due_for_trial(&self, now: Time, i: usize, ask: &Ask) -> bool {
        let belief = &self.loads[i].belief;
        !self.is_last_send(ask)
            && (!ask.bulky || self.is_near(i, ask))
            && matches!(belief.usage(now, Strain::None), Use::Last | Use::Cautiously)
            && belief.failed_before(now, TRY_AGAIN)
    }

    pub(super) fn tier(&self, now: Time, i: usize, ask: &Ask) -> Option<Tier> {
        let (it, load) = (&self.endpoints()[i], &self.loads[i]);
        if !it.admits(now, ask.repeatable) {
            return self.is_needed(now, i).then_some(Tier::Cautious);
        }
        // A trial is there to find out whether the failures have ended.
        let is_on_trial = matches!(it.state, State::Trial { .. });
        let usage = if is_on_trial { Use::Freely } else { load.belief.usage(now, self.strain) };
        let is_suspect = it.state == State::Suspect && now.since(it.since) < TRY_AGAIN;
        let is_out_of_use = it.is_missing
            || now < load.hinted_until
            || now < load.full_until
            || self.judge.avoids(now, i, ask.reporter);
        let last = is_suspect || usage == Use::Last || is_out_of_use;
        match usage {
            _ if ask.avoid.contains(&it.addr) => Some(Tier::Avoided),
            _ if is_on_trial && last => None,
            _ if !is_out_of_use && self.is_due_for_trial(now, i, ask) => Some(Tier::Trial),
            _ if is_on_trial && ask.repeatable && !ask.bulky => Some(Tier::Trial),
            _ if last && ask.bulky && !self.is_last_send(ask) && self.is_near(i, ask) => {
                Some(Tier::Near)
            }
            _ if last => Some(Tier::Last),
            _ if ask.bulky && !self.is_near(i, ask) => Some(Tier::Far),
            Use::Cautiously if !ask.repeatable => Some(Tier::Cautious),
            _ => Some(Tier::Good),
        }
    }

    pub(super) fn total_slots(&self, now: Time) -> usize {
        (0..self.loads.len()).map(|i| self.usable_slots(now, i) as usize).sum()
    }

    pub(super) fn has_free_slot(&self, now: Time) -> bool {
        (0..self.loads.len()).any(|i| self.loads[i].in_use < self.usable_slots(now, i))
    }
}
