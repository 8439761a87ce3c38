//! Placement stage: chooses the endpoint for a request. Inside a failure domain the order is by tier,
//! which follows from the health estimate, then by expected completion. A first send stays in the
//! failure domain of its asker while there is room for it (`near_first`).

use std::time::Duration;

use super::Dispatcher;
use super::candidate::{Candidate, Survey};
use super::near_first::{Best, Rank, ServiceChoices};
use super::working_set::Spread;
use crate::belief::{RETRY_FAILED_AFTER, SINGLY_BELOW, Use};
use crate::domain_load::FarReason;
use crate::domains::FAILURE_SHARE;
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

/// Number of steps to which the shed share is rounded down. It is estimated from a few sends.
const ACCEPTANCE_RANK_STEPS: f64 = 5.0;
/// Accepted share below which the last send of a request is not made. Above it, a send that may be
/// shed serves more callers than a refusal.
const MIN_LAST_ACCEPTANCE: f64 = 0.25;

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
        Distance::OtherRegion => slots.saturating_mul(2),
    }
}

/// Cost of a send in thousandths of a slot in use: the expected completion beside the requests in
/// progress. At an endpoint that takes twice as long, each of them counts as two.
fn expected_cost(in_use: u32, slowness: f64, distance_cost: u32) -> u32 {
    let completion = f64::from(in_use + 1) * slowness + f64::from(distance_cost);
    (completion * 1e3) as u32
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
            // Endpoints in doubt take several sends while requests wait, so one that is far more
            // doubtful than its peers ranks behind them.
            _ if self.requests_wait && self.is_far_more_doubtful() => 2,
            _ => 1,
        }
    }

    /// Rank by the share of sends that the endpoint accepts; lower is better. A probe goes to an idle
    /// endpoint whatever it accepted before.
    fn acceptance_rank(&self, ask: &Ask, distance: Distance) -> u32 {
        match self.accepts() || self.is_due(ask, distance) {
            true => 0,
            false => 1 + ((1.0 - self.acceptance) * ACCEPTANCE_RANK_STEPS) as u32,
        }
    }

    /// Probability that a send is shed or fails. Endpoints of acceptance rank 0 count as accepting.
    fn p_loss(&self, acceptance_rank: u32) -> f64 {
        let accepted = if acceptance_rank == 0 { 1.0 } else { self.acceptance };
        1.0 - accepted * (1.0 - self.p_unhealthy * FAILURE_SHARE)
    }

    fn is_far_more_doubtful(&self) -> bool {
        self.outlived.is_some() && self.p_unhealthy >= SINGLY_BELOW
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
        let choice = self.decide(survey, ask, &choices, tie)?;
        (!self.waits_for_acceptance(survey, ask, &choices, &choice)).then_some(choice)
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
            if tier < Tier::Near && candidate.accepts() {
                choices.accepting_slots += candidate.within_rate_limit(usable);
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
            let cost = expected_cost(load.in_use(), candidate.slowness, distance_cost);
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
                acceptance: candidate.acceptance_rank(ask, distance),
                health: candidate.health_rank(tier, ask, distance),
                cost,
                // An endpoint with answers in transit shares its link among them.
                in_transit: load.in_transit(),
                by_idle,
                tie: tie(),
            };
            let best = Best {
                endpoint: candidate.i,
                distance,
                p_loss: candidate.p_loss(rank.acceptance),
                is_out_of_use: tier == Tier::Avoided || self.is_out_of_use(candidate, ask),
                is_starved,
                rank,
            };
            choices.offer(load.failure_domain, best);
        }
        Some(choices)
    }

    /// Whether the last send of a request waits for an endpoint that accepts instead of taking the
    /// chosen one, which may shed it and so end the request.
    fn waits_for_acceptance(
        &self,
        survey: &Survey,
        ask: &Ask,
        choices: &ServiceChoices,
        choice: &Placed,
    ) -> bool {
        let chosen = survey.candidates.iter().find(|it| it.i == choice.endpoint);
        let Some(chosen) = chosen.filter(|_| ask.wait && self.is_last_send(ask)) else {
            return false;
        };
        if chosen.acceptance_rank(ask, choice.distance) == 0 {
            return false;
        }
        let wait = self.expected_wait(survey.ahead_of(ask.priority), choices.accepting_slots);
        let may_wait = choices.accepting_slots > 0.0 && wait <= self.max_wait(ask);
        may_wait || chosen.acceptance < MIN_LAST_ACCEPTANCE
    }

    /// Whether a request takes an endpoint that is likely to fail rather than wait for a good one.
    pub(super) fn takes_worse(&self, survey: &Survey, ask: &Ask, good_slots: f64) -> bool {
        let exceeds_max_wait =
            || self.expected_wait(survey.ahead_of(ask.priority), good_slots) > self.max_wait(ask);
        ask.wait && (good_slots == 0.0 || exceeds_max_wait())
    }

    /// Whether a request that got no slot is refused instead of waiting: all endpoints that may serve
    /// it shed nearly everything, and no other send may follow.
    pub(super) fn is_likely_shed(&self, survey: &Survey, ask: &Ask) -> bool {
        let mut open = survey
            .candidates
            .iter()
            .filter(|it| it.configured_slots > 0 && !ask.excludes(self.loads[it.i].failure_domain));
        self.is_last_send(ask)
            && survey.len() > 0
            && open.all(|it| it.acceptance < MIN_LAST_ACCEPTANCE)
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

    /// Whether an endpoint is known not to serve a request now, whatever its health.
    fn is_out_of_use(&self, candidate: &Candidate, ask: &Ask) -> bool {
        let (now, load) = (candidate.now, &self.loads[candidate.i]);
        candidate.is_missing
            || now < load.hinted_until
            || now < load.full_until
            || self.detector.avoids(now, candidate.i, ask.reporter)
    }

    /// Tier of an endpoint for a request; `None` if the endpoint must not get the request.
    fn tier(&self, candidate: &Candidate, ask: &Ask, distance: Distance) -> Option<Tier> {
        let is_near = distance == Distance::Near;
        let now = candidate.now;
        if !self.endpoints()[candidate.i].admits(now, ask.repeatable) {
            return candidate.is_tried_while_ejected().then_some(
                if candidate.is_due(ask, distance) { Tier::Good } else { Tier::Cautious },
            );
        }
        // A trial exists to find out whether the failures have ended, so it ignores the estimate.
        let is_on_trial = matches!(candidate.state, State::Trial { .. });
        let usage = match candidate.is_silence_test(ask, distance) {
            _ if is_on_trial => Use::Freely,
            true => Use::Singly,
            false => candidate.usage(),
        };
        let is_suspect = candidate.state == State::Suspect
            && now.since(candidate.state_since) < RETRY_FAILED_AFTER;
        let is_out_of_use = self.is_out_of_use(candidate, ask);
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
