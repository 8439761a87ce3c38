//! Chooses the endpoint for a request: first by tier, which follows from its health estimate, then
//! by slots in use and distance.

use std::net::SocketAddr;
use std::time::Duration;

use super::Dispatcher;
use super::idle::{IdleCandidate, probe_after};
use super::load::EndpointLoad;
use super::working_set::Spread;
use crate::belief::{
    Belief, IDLE_AFTER_FAILURE, Pressure, RETRY_FAILED_AFTER, SILENCE_RATIO, STARVED_AFTER, Use,
};
use crate::permit::{Ask, HealthEstimate, SendKind, Tier};
use crate::rotation::State;
use crate::time::Time;
use crate::topology::Distance;
use resources::Priority;

/// An endpoint becomes due for a probe this much sooner for requests from its own failure domain.
/// Where there are callers such requests come soon, and traffic between failure domains is costly.
const NEAR_PROBE_LEAD: Duration = Duration::from_millis(100);
/// Share of the objective for which a send waits for a good endpoint if another send may follow.
/// Small enough that a second send still fits in the objective.
const FIRST_SEND_MAX_WAIT: f64 = 0.15;
/// Share of the objective for which the last send of a request waits. If sends waited for all of
/// the remaining time, all requests would wait under load and all would be late.
const LAST_SEND_MAX_WAIT: f64 = 0.5;

/// How often `probe_after` is recomputed while the service has spare slots. Within this interval at
/// most a few endpoints exceed the allowed idle time.
const PROBE_REFRESH: Duration = Duration::from_millis(50);
/// Minimum age of an endpoint that counts as settled. The availability target counts an endpoint as
/// healthy after eight seconds without trouble, so a younger one may still be in trouble.
const SETTLED_AFTER: Duration = Duration::from_secs(8);
/// Time since the last failure after which an endpoint is reported as healthy. The availability
/// target counts an endpoint as healthy two seconds after its last failure, and evaluates windows
/// of two more seconds.
pub(super) const HEALTHY_AFTER: Duration = Duration::from_secs(4);

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

/// Snapshot of one endpoint for a choice.
#[derive(Clone, Copy)]
struct Candidate {
    /// Position in the rotation.
    i: usize,
    now: Time,
    pressure: Pressure,
    spread: Spread,
    addr: SocketAddr,
    state: State,
    /// When the endpoint entered `state`.
    state_since: Time,
    is_missing: bool,
    is_evacuated: bool,
    /// Slots that the state allows.
    slots: u32,
    belief: Belief,
    /// Likelihood ratio of the silence of its open requests, unhealthy against healthy.
    silence_ratio: f64,
    /// Probability that the endpoint is unhealthy, given its outcomes and the silence of its open
    /// requests.
    p_unhealthy: f64,
    /// Whether the endpoint has been idle for so long that the next request should probe it, by the
    /// distance from which that request comes.
    probe_due: [ProbeDue; Distance::ALL.len()],
    /// Time since its last request, or since it became known if it had none.
    idle: Duration,
    /// Slots that sends at its rate limit keep busy, if it has a limit.
    rate_limited_slots: Option<f64>,
    /// Whether its rate limit allows a send now.
    may_send: bool,
}

/// Whether an idle endpoint is due for a probe. The probe is a real request of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeDue {
    /// Not due.
    No,
    /// Due for repeatable requests only. Non-repeatable requests avoid idle endpoints, which may
    /// still fail; repeatable ones lose a repeat at most. They probe early because the number of
    /// idle endpoints is bounded by a share of all endpoints, which may be most of the few that the
    /// availability target counts.
    ForRepeatable,
    /// Due for any request.
    ForAny,
}

/// Snapshot of endpoints and of the queue, shared by all choices made at one moment. Most of the
/// cost of a choice is the health estimate, and there may be a choice for each queued request: with
/// estimates computed for every choice, a node with a tenth of a core falls behind by seconds.
pub(super) struct Survey {
    now: Time,
    candidates: Vec<Candidate>,
    /// Number of queued requests, by priority.
    waiting: Vec<(Priority, usize)>,
}

impl Survey {
    /// Time of the snapshot.
    pub(super) fn now(&self) -> Time {
        self.now
    }

    /// Number of endpoints in the snapshot.
    pub(super) fn len(&self) -> usize {
        self.candidates.len()
    }

    /// Slots that may be used now, free or not.
    pub(super) fn capacity(&self) -> f64 {
        self.candidates.iter().map(|it| it.within_rate_limit(it.usable_slots())).sum()
    }

    /// Number of queued requests that would be served before one of this priority.
    fn ahead_of(&self, priority: Priority) -> usize {
        self.waiting.iter().filter(|(it, _)| *it <= priority).map(|(_, n)| n).sum()
    }
}

impl Candidate {
    /// Whether the endpoint is due for a probe by this request.
    fn is_due(&self, ask: &Ask, distance: Distance) -> bool {
        match self.probe_due[distance as usize] {
            ProbeDue::No => false,
            ProbeDue::ForRepeatable => ask.repeatable,
            ProbeDue::ForAny => true,
        }
    }

    /// Whether the endpoint is due and has been idle so long that it counts against the floor. The
    /// floor counts endpoints of all failure domains alike, so distance does not matter for a
    /// starved endpoint.
    fn is_starved(&self, ask: &Ask, distance: Distance) -> bool {
        self.idle > STARVED_AFTER && self.is_due(ask, distance)
    }

    fn usage(&self) -> Use {
        if self.silence_ratio > SILENCE_RATIO {
            return Use::Last;
        }
        self.belief.usage_at(self.p_unhealthy, self.now, self.pressure)
    }

    /// Whether an ejected endpoint is tried nevertheless, with one request at a time, because a
    /// part of the requests is not served.
    fn is_tried_while_ejected(&self) -> bool {
        let is_out = matches!(self.state, State::Ejected { .. })
            && !self.is_evacuated
            && self.now.since(self.state_since) > RETRY_FAILED_AFTER;
        // Unhealthy endpoints fail at once; without a pause they would be tried again and again.
        is_out
            && self.pressure == Pressure::Unserved
            && self.belief.failed_before(self.now, RETRY_FAILED_AFTER)
    }

    /// Slots that may be used now: one until there is evidence that the endpoint is healthy again.
    fn usable_slots(&self) -> u32 {
        if self.is_tried_while_ejected() {
            return 1;
        }
        match self.usage() {
            Use::Singly | Use::Cautiously => self.slots.min(1),
            Use::Freely | Use::Last => self.slots,
        }
    }

    /// Limits a number of slots to those that the rate limit keeps busy.
    fn within_rate_limit(&self, slots: u32) -> f64 {
        let slots = f64::from(slots);
        self.rate_limited_slots.map_or(slots, |it| it.min(slots))
    }

    /// Whether a request may use all slots of the endpoint, however long the requests on it have
    /// been open. The endpoint is starved, and the requests that hold its slots may never be
    /// answered although it is healthy. Repeatable work loses little by trying.
    fn may_use_all_slots(&self, ask: &Ask, distance: Distance) -> bool {
        self.is_starved(ask, distance)
            && self.pressure == Pressure::Unserved
            && ask.repeatable
            && self.state.in_rotation()
    }

    /// Slots for a request, free or not.
    fn slots_for(&self, ask: &Ask, tier: Tier, distance: Distance) -> u32 {
        let usable = if tier == Tier::Trial { 1 } else { self.usable_slots() };
        match self.may_use_all_slots(ask, distance) {
            true => self.slots,
            false => usable,
        }
    }

    /// Whether the endpoint is used only as a last resort or cautiously, and its last failure is so
    /// old that it may have recovered. In a working set, a failed member is replaced instead.
    fn is_due_for_trial(&self) -> bool {
        if self.spread == Spread::WorkingSet {
            return false;
        }
        let usage = self.belief.usage_at(self.p_unhealthy, self.now, Pressure::None);
        matches!(usage, Use::Last | Use::Cautiously)
            && self.belief.failed_before(self.now, RETRY_FAILED_AFTER)
            && self.silence_ratio <= SILENCE_RATIO
    }

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
    /// Takes a snapshot of all endpoints and of the queue.
    pub(super) fn survey(&self, now: Time) -> Survey {
        self.survey_of(now, 0..self.loads.len())
    }

    /// Takes a snapshot of the given endpoints and of the queue.
    pub(super) fn survey_of(&self, now: Time, endpoints: impl Iterator<Item = usize>) -> Survey {
        let candidates = endpoints.map(|i| self.candidate(now, i)).collect();
        Survey { now, candidates, waiting: self.queue.count_by_priority() }
    }

    /// Updates the snapshot of one endpoint and of the queue after a queued request was granted a
    /// slot.
    pub(super) fn refresh_candidate(&self, survey: &mut Survey, i: usize) {
        survey.waiting = self.queue.count_by_priority();
        let now = survey.now;
        if let Some(it) = survey.candidates.iter_mut().find(|it| it.i == i) {
            *it = self.candidate(now, i);
        }
    }

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
    ) -> Option<(usize, Tier)> {
        let now = survey.now;
        let is_watched = self.suspects.is_watched(ask.request);
        if is_watched && self.has_open_send(ask.request) {
            return None;
        }
        let region = self.topology.region_of(ask.reporter.failure_domain);
        let mut best = None;
        let mut good_slots = 0.0;
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
            if tier < Tier::Near {
                good_slots += candidate.within_rate_limit(usable);
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
            let distance_cost = if candidate.is_starved(ask, distance) {
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
            // An endpoint with answers in transit shares its link among them.
            let key = (
                tier,
                candidate.health_rank(tier, ask, distance),
                cost,
                load.in_transit(),
                by_idle,
                tie(),
            );
            if best.is_none_or(|(other, _)| key < other) {
                best = Some((key, candidate.i));
            }
        }
        let ((tier, ..), i) = best?;
        let exceeds_max_wait =
            || self.expected_wait(survey.ahead_of(ask.priority), good_slots) > self.max_wait(ask);
        let take_worse = ask.wait && (good_slots == 0.0 || exceeds_max_wait());
        (tier < Tier::Near || take_worse).then_some((i, tier))
    }

    /// Longest time to wait for a good endpoint. A send that another one can follow loses little on
    /// an endpoint that fails; for the last send the request fails.
    pub(super) fn max_wait(&self, ask: &Ask) -> Duration {
        let part = if self.is_last_send(ask) { LAST_SEND_MAX_WAIT } else { FIRST_SEND_MAX_WAIT };
        ask.objective.mul_f64(part)
    }

    /// Whether no other send will follow, by the rules of the route or because the repeat budget is
    /// nearly spent.
    fn is_last_send(&self, ask: &Ask) -> bool {
        ask.is_last || self.is_budget_short
    }

    /// Refreshes the inputs that all choices at this moment share.
    pub(super) fn refresh_inputs(&mut self, now: Time) {
        self.is_budget_short = self.budget.is_short(now);
        self.pressure = self.unserved.pressure(now);
        self.update_spread(now);
        self.refresh_probe_after(now);
    }

    /// Computes the idle time after which endpoints are due for a probe: several times a second in
    /// steady state, and on every call under pressure or while requests are queued.
    fn refresh_probe_after(&mut self, now: Time) {
        if self.pressure != Pressure::None || self.queue.len() > 0 {
            self.probe_after = (self.pressure.probe_after(), now);
        } else if now.since(self.probe_after.1) >= PROBE_REFRESH {
            let endpoints = self.endpoints().iter().zip(&self.loads);
            let expected = endpoints.filter(|(it, _)| it.is_expected());
            let idle_candidates = expected.map(|(status, load)| IdleCandidate {
                idle: load.idle(now),
                may_be_healthy: load.belief.failed_before(now, IDLE_AFTER_FAILURE),
                is_settled: load.age(now) > SETTLED_AFTER,
                is_in_rotation: status.state.in_rotation(),
            });
            self.probe_after = (probe_after(idle_candidates, self.floor_share), now);
        }
    }

    /// Health estimate of an endpoint, for a grant.
    pub(super) fn health_estimate(&self, now: Time, i: usize) -> HealthEstimate {
        let candidate = self.candidate(now, i);
        HealthEstimate {
            unhealthy_permille: (candidate.p_unhealthy * 1e3) as u16,
            evidence_ms: candidate.belief.evidence_age(now).as_millis() as u32,
        }
    }

    fn candidate(&self, now: Time, i: usize) -> Candidate {
        let (load, status) = (&self.loads[i], &self.endpoints()[i]);
        let silence_ratio = load.silence_ratio(now, &self.detector.baseline, &self.likelihoods);
        Candidate {
            i,
            now,
            pressure: self.pressure,
            spread: self.working_set.spread,
            addr: status.addr,
            state: status.state,
            state_since: status.since,
            is_missing: status.is_missing,
            is_evacuated: status.is_evacuated,
            slots: status.usable_slots(now),
            belief: load.belief,
            silence_ratio,
            probe_due: Distance::ALL.map(|it| self.probe_due(now, load, it)),
            idle: load.idle_or_age(now),
            rate_limited_slots: load.advertised.pacer.slots(now, self.mean_hold),
            may_send: load.advertised.pacer.allows(now, self.sharers(load)),
            p_unhealthy: load.belief.p_unhealthy_given(
                now,
                silence_ratio,
                self.likelihoods.p_unhealthy(),
            ),
        }
    }

    /// Whether the next request should probe an idle endpoint. An endpoint whose last failure is
    /// recent is not probed. Requests from its own failure domain probe it first.
    fn probe_due(&self, now: Time, load: &EndpointLoad, distance: Distance) -> ProbeDue {
        // A node in that region grants these slots and sees which endpoints are idle.
        if self.is_in_other_region(load) {
            return ProbeDue::No;
        }
        if self.working_set.spread == Spread::WorkingSet {
            return if load.is_due_for_introduction(now) { ProbeDue::ForAny } else { ProbeDue::No };
        }
        let Some(idle) = load.idle(now) else { return ProbeDue::ForAny };
        let may_have_recovered = load.belief.failed_before(now, self.pressure.retry_failed_after());
        match if distance == Distance::Near { idle + NEAR_PROBE_LEAD } else { idle } {
            _ if !may_have_recovered => ProbeDue::No,
            it if it > self.probe_after.0 => ProbeDue::ForAny,
            it if it > self.pressure.probe_after() => ProbeDue::ForRepeatable,
            _ => ProbeDue::No,
        }
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

    /// Whether some endpoint in the snapshot may take a request, leaving its health aside.
    pub(super) fn has_free_slot(&self, survey: &Survey) -> bool {
        survey.candidates.iter().any(|candidate| {
            let slots = candidate.slots.max(candidate.usable_slots());
            candidate.may_send && self.loads[candidate.i].in_use() < slots
        })
    }
}
