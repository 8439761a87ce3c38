//! Placement stage: chooses the endpoint for a request. Inside a failure domain the order is by tier,
//! which follows from the health estimate, then by slots in use. A first send stays in the failure
//! domain of its asker while there is room for it (`near_first`).

use std::time::Duration;

use super::Dispatcher;
use super::candidate::{Candidate, Survey};
use super::near_first::{Best, Rank, ServiceChoices};
use super::working_set::Spread;
use crate::belief::{RETRY_FAILED_AFTER, Use};
use crate::domain_load::FarReason;
use crate::permit::{Ask, SendKind, Tier};
use crate::rotation::State;
use crate::topology::Distance;

/// Share of the objective for which a send waits for a good endpoint if another send may follow.
/// Small enough that a second send still fits in the objective.
const FIRST_SEND_MAX_WAIT: f64 = 0.15;
/// Share of the objective for which the last send of a request waits. If sends waited for all of
/// the remaining time, all requests would wait under load and all would be late.
const LAST_SEND_MAX_WAIT: f64 = 0.5;

/// Number of steps to which the probability of being unhealthy is rounded down: endpoints in the same
/// step rank equal.
const HEALTH_RANK_STEPS: f64 = 50.0;

/// Cost of an endpoint in another failure domain of the same region, in slots in use, for short
/// answers. Traffic between failure domains is costly, but less so than a busy slot.
const FAR_COST: u32 = 2;

/// Cost of the distance to an endpoint with `slots` slots, in slots in use. Answers from another
/// region take tens of milliseconds longer, so its endpoints are used only when all others are
/// full.
fn distance_cost(distance: Distance, slots: u32) -> u32 {
    match distance {
        Distance::Near => 0,
        Distance::SameRegion => FAR_COST,
        Distance::OtherRegion => slots * 2,
    }
}

/// The endpoint chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Placed {
    /// Position in the rotation.
    pub(super) endpoint: usize,
    /// Rank of the endpoint for this request.
    pub(super) tier: Tier,
    /// Distance of the endpoint from the asker.
    pub(super) distance: Distance,
    /// Why the request leaves the failure domain of its asker; `None` if it stays.
    pub(super) far_reason: Option<FarReason>,
}

impl Candidate {
    /// Health rank among endpoints of one tier, compared before slots and distance; lower is
    /// better. Last-resort choices and further sends are ranked by the probability that the
    /// endpoint is unhealthy: unhealthy endpoints fail fast, so ranked by free slots alone they
    /// would be chosen first. All other sends only distinguish endpoints used freely, or due for a
    /// probe, from the rest, because a finer rank causes more traffic to other failure domains than
    /// it saves.
    fn health_rank(&self, tier: Tier, ask: &Ask, distance: Distance) -> u32 {
        match tier {
            Tier::Near | Tier::Last => (self.p_unhealthy * HEALTH_RANK_STEPS) as u32,
            // A further send is the last chance of its request.
            _ if ask.send == SendKind::Further => (self.p_unhealthy * HEALTH_RANK_STEPS) as u32,
            _ if self.is_due(ask, distance) || self.usage() == Use::Freely => 0,
            // Endpoints of the reserve rank before a member that has failed.
            _ if self.spread == Spread::WorkingSet => {
                1 + (self.p_unhealthy * HEALTH_RANK_STEPS) as u32
            }
            _ => 1,
        }
    }
}

impl Dispatcher {
    /// Chooses the free endpoint of the best tier with the least cost. Ties go to the endpoint that
    /// has been idle longest or, in a working set, to the one used last.
    ///
    /// Tiers from [`Tier::Near`] on are used only for requests that may wait, and only if no good
    /// endpoint can come free or the expected wait exceeds the longest acceptable one.
    pub(super) fn choose(
        &self,
        survey: &Survey,
        ask: &Ask,
        mut tie: impl FnMut() -> u32,
    ) -> Option<Placed> {
        let choices = self.choices(survey, ask, &mut tie)?;
        self.decide(survey, ask, &choices, tie)
    }

    /// What the endpoints offer to a request; `None` if it must not be sent now.
    pub(super) fn choices(
        &self,
        survey: &Survey,
        ask: &Ask,
        mut tie: impl FnMut() -> u32,
    ) -> Option<ServiceChoices> {
        let now = survey.now();
        let is_watched = self.suspects.is_watched(ask.request);
        if is_watched && self.has_open_send(ask.request) {
            return None;
        }
        let region = self.topology.region_of(ask.reporter.failure_domain);
        let is_near_first = self.is_near_first(ask);
        let mut choices = ServiceChoices::new(is_near_first);
        for candidate in &survey.candidates {
            let load = &self.loads[candidate.i];
            let distance = load.distance(ask.reporter.failure_domain, region);
            if is_watched && self.runs_watched(load) {
                continue;
            }
            let is_closed = load.advertised.is_closed_to(now, ask.reporter.node);
            if is_closed
                || ask.excludes(load.failure_domain)
                || ask.closed.contains(&candidate.addr)
            {
                continue;
            }
            let Some(tier) = self.tier(candidate, ask, distance) else { continue };
            let usable = candidate.slots_for(ask, tier, distance);
            let domain = choices.domain(load.failure_domain, distance);
            if tier < Tier::Near {
                domain.good_slots += candidate.within_rate_limit(usable);
                domain.headroom += f64::from(usable.saturating_sub(load.in_use()));
            }
            if !candidate.may_send {
                continue;
            }
            let tier = match load.in_use() {
                it if it < usable => tier,
                // Further slots of a doubtful endpoint are better than an endpoint known to fail.
                it if it < candidate.slots && tier < Tier::Last => Tier::Last,
                _ => continue,
            };
            let is_starved = candidate.is_starved(ask, distance);
            let distance_cost = if is_starved {
                0
            } else {
                distance_cost(distance, self.endpoints()[candidate.i].slots)
            };
            let cost = load.in_use() + distance_cost;
            // Ties go to the endpoint that has been idle longest. With a random choice and 1.2
            // sends per endpoint in two seconds, a quarter of the endpoints get nothing for two
            // seconds, then rank as slightly doubtful and fall behind the others.
            let idle = load.idle(now).unwrap_or(Duration::MAX);
            let by_idle = match candidate.spread {
                Spread::Even => Duration::MAX - idle,
                Spread::WorkingSet => idle,
            };
            let rank = Rank {
                tier,
                health: candidate.health_rank(tier, ask, distance),
                cost,
                // An endpoint with answers in transit shares its link among them.
                in_transit: load.in_transit(),
                by_idle,
                tie: tie(),
            };
            let (endpoint, p_unhealthy) = (candidate.i, candidate.p_unhealthy);
            choices.offer(
                load.failure_domain,
                Best { rank, endpoint, distance, p_unhealthy, is_starved },
            );
        }
        Some(choices)
    }

    /// Whether a request takes an endpoint that is likely to fail rather than wait for a good one.
    pub(super) fn takes_worse(&self, survey: &Survey, ask: &Ask, good_slots: f64) -> bool {
        let exceeds_max_wait =
            || self.expected_wait(survey.ahead_of(ask.priority), good_slots) > self.max_wait(ask);
        ask.wait && (good_slots == 0.0 || exceeds_max_wait())
    }

    /// Longest time to wait for a good endpoint. A send that another one can follow loses little on
    /// an endpoint that fails; for the last send the request fails.
    pub(super) fn max_wait(&self, ask: &Ask) -> Duration {
        let part = if self.is_last_send(ask) { LAST_SEND_MAX_WAIT } else { FIRST_SEND_MAX_WAIT };
        ask.objective.mul_f64(part)
    }

    /// Whether no other send will follow, by the rules of the route or because the repeat budget is
    /// nearly spent.
    pub(super) fn is_last_send(&self, ask: &Ask) -> bool {
        ask.is_last || self.is_budget_short
    }

    /// Tier of an endpoint for a request; `None` if the endpoint must not get the request.
    fn tier(&self, candidate: &Candidate, ask: &Ask, distance: Distance) -> Option<Tier> {
        let is_near = distance == Distance::Near;
        let (now, load) = (candidate.now, &self.loads[candidate.i]);
        if !self.endpoints()[candidate.i].admits(now, ask.repeatable) {
            return candidate.is_tried_while_ejected().then_some(
                if candidate.is_due(ask, distance) { Tier::Good } else { Tier::Cautious },
            );
        }
        // A trial exists to find out whether the failures have ended, so it ignores the estimate.
        let is_on_trial = matches!(candidate.state, State::Trial { .. });
        let usage = if is_on_trial { Use::Freely } else { candidate.usage() };
        let is_suspect = candidate.state == State::Suspect
            && now.since(candidate.state_since) < RETRY_FAILED_AFTER;
        let is_out_of_use = candidate.is_missing
            || now < load.hinted_until
            || now < load.full_until
            || self.detector.avoids(now, candidate.i, ask.reporter);
        let is_last_resort = is_suspect || usage == Use::Last || is_out_of_use;
        // Repeatable work loses little by testing whether an endpoint has recovered, and a
        // recovered endpoint is unused capacity until a request tries it.
        let may_start_trial =
            !is_out_of_use && !self.is_last_send(ask) && (is_near || !ask.long_answer);
        match usage {
            _ if ask.avoid.contains(&candidate.addr) => Some(Tier::Avoided),
            _ if is_on_trial && is_last_resort => None,
            _ if may_start_trial && candidate.is_due_for_trial() => Some(Tier::Trial),
            _ if is_on_trial && ask.repeatable && !ask.long_answer => Some(Tier::Trial),
            _ if candidate.may_use_all_slots(ask, distance) && !is_out_of_use => Some(Tier::Good),
            _ if is_last_resort && ask.long_answer && is_near && !self.is_last_send(ask) => {
                Some(Tier::Near)
            }
            _ if is_last_resort => Some(Tier::Last),
            _ if candidate.is_starved(ask, distance) => Some(Tier::Good),
            _ if ask.long_answer && !is_near => Some(Tier::Far),
            Use::Cautiously if !ask.repeatable => Some(Tier::Cautious),
            _ => Some(Tier::Good),
        }
    }
}
