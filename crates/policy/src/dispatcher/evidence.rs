//! Learns from outcomes: each one updates the health estimate of its endpoint at once, while
//! outlier detection turns sustained evidence into verdicts.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;

use super::load::Slot;
use super::overlap::OverlapKind;
use super::{ANSWERED_PERMIT_LIFETIME, Dispatcher, Permit, Reported};
use crate::belief::{Pressure, Use};
use crate::observation::{Kind, Observation};
use crate::options::ConcurrencyLimits;
use crate::permit::{PermitId, QueuedReply};
use crate::rate_limit::RateLimit;
use crate::time::Time;
use crate::unserved::Completion;

/// How often the learned likelihoods are refreshed.
const LIKELIHOOD_REFRESH: Duration = Duration::from_millis(100);

/// Weight of an answer to a request that began before the last failure of its endpoint, in the learned
/// ends of requests at unhealthy endpoints. It says nothing about the time after that failure. At
/// full weight, up to five such answers for each random failure made two thirds of these ends
/// answers, and an answer nearly no evidence of health. Some weight remains because answers that
/// clear an endpoint of doubt are not counted at all.
const OLD_ANSWER_WEIGHT: f64 = 0.15;

/// Health of an endpoint, for reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EvidenceReport {
    /// Score of the sequential test of outlier detection.
    pub score: f64,
    /// Slots in use.
    pub in_use: u32,
    /// Probability that the endpoint is unhealthy.
    pub p_unhealthy: f64,
    /// Name of its usage, which follows from this probability.
    pub usage: &'static str,
    /// Time since its last failure.
    pub since_failure: Option<Duration>,
    /// Rate limit that it has advertised.
    pub rate_limit: Option<RateLimit>,
}

impl Dispatcher {
    /// Records that an open request has stalled. Before the answer has begun, only outlier
    /// detection counts the stall: the health estimate already includes the age of open requests at
    /// each choice.
    pub fn stalled(&mut self, now: Time, id: PermitId, elapsed: Duration) {
        let Some(permit) = self.permits.get_mut(&id) else { return };
        match permit.reported {
            Reported::Nothing => {
                permit.reported = Reported::Stalled;
                if permit.is_last_send {
                    // Counted at its deadline, seconds later, the request would raise the pressure
                    // after the window in which the floor is evaluated.
                    permit.is_counted_unserved = true;
                    self.unserved.note(now, Completion::Unserved);
                }
                let it = permit.observation(Kind::Stalled, elapsed);
                self.detector.observe(now, it);
                self.learn_failure_time(now, it.endpoint, Kind::Stalled, elapsed, 0.0);
            }
            // The age of a request no longer counts once its answer has begun, so that the health
            // estimate must count the stall, too.
            Reported::AnswerBegan => {
                permit.reported = Reported::AnswerStalled;
                let it = permit.observation(Kind::Stalled, elapsed);
                self.note_outcome(now, it);
            }
            Reported::Stalled | Reported::AnswerStalled => {}
        }
    }

    /// Records that an answer has begun after `elapsed` and is not complete yet. The time until its
    /// end is no evidence of health. Returns replies for queued requests that got the slot.
    pub fn answer_began(
        &mut self,
        now: Time,
        id: PermitId,
        elapsed: Duration,
        rng: &mut impl Rng,
    ) -> Vec<QueuedReply> {
        let Some(permit) = self.permits.get_mut(&id).filter(|it| !it.reported.has_answer()) else {
            return Vec::new();
        };
        permit.reported = Reported::AnswerBegan;
        let it = permit.observation(Kind::Answered, elapsed);
        let slot = if self.overlap.frees_slots(now) { Slot::Free } else { Slot::Held };
        if slot == Slot::Free {
            permit.expires = now + ANSWERED_PERMIT_LIFETIME;
            self.counts.freed_early += 1;
        }
        self.loads[it.endpoint].answer_began(id, slot);
        let permit = permit.clone();
        if slot == Slot::Free {
            self.note_hold(permit.route, now.since(permit.granted));
        }
        self.note_answer(now, &permit, elapsed);
        self.note_answer_time(now, &permit, elapsed);
        self.note_outcome(now, it);
        self.drain(now, rng)
    }

    /// Records the outcome of a request whose slot another dispatcher granted. An outcome of a
    /// request that may have gone to the previous incarnation of the endpoint is ignored.
    pub fn observe(&mut self, now: Time, id: &str, observation: Observation) {
        let Some(endpoint) = self.detector.rotation.position(id) else { return };
        if !self.loads[endpoint].predates_restart(now, observation.elapsed) {
            self.note_outcome(now, Observation { endpoint, ..observation });
        }
    }

    /// Records requests of split routes that lead here too and that another service did not serve.
    pub fn unserved_elsewhere(&mut self, now: Time, requests: u32) {
        if requests > 0 {
            self.counts.unserved_elsewhere += requests;
            self.unserved.note_unserved_elsewhere(now, requests);
        }
    }

    /// Records requests that were refused before this service was asked for a slot. The
    /// availability target counts them as not served by this service, and while many are not served
    /// it requires work at most of the healthy endpoints.
    pub fn refused_before_dispatch(&mut self, now: Time, requests: u32) {
        self.counts.refused_before_dispatch += requests;
        self.note_unserved(now, requests as usize);
    }

    /// Counts requests that ended here without being served.
    pub(super) fn note_unserved(&mut self, now: Time, requests: usize) {
        (0..requests).for_each(|_| self.unserved.note(now, Completion::Unserved));
    }

    /// Takes over the health estimates, advertisements and crash suspects of another dispatcher of
    /// the same service.
    pub fn with_health_of(mut self, now: Time, other: &Self) -> Self {
        for (it, load) in self.detector.rotation.endpoints().iter().zip(&mut self.loads) {
            if let Some(i) = other.detector.rotation.position(&it.id) {
                load.belief = other.loads[i].belief;
                load.advertised = other.loads[i].advertised.clone();
            }
        }
        self.apply_advertised_leaving(now);
        self.likelihoods = other.likelihoods.clone();
        self.suspects = other.suspects.clone();
        self
    }

    /// Uses an endpoint only as a last resort until `until`, as reported by the peer that
    /// dispatches the service.
    pub fn hint(&mut self, until: Time, addr: SocketAddr) {
        for (it, load) in self.detector.rotation.endpoints().iter().zip(&mut self.loads) {
            if it.addr == addr {
                load.hinted_until = until;
            }
        }
    }

    /// Addresses of the endpoints that are used only as a last resort because of recent failures.
    pub fn last_resort_endpoints(&self, now: Time) -> impl Iterator<Item = SocketAddr> + '_ {
        let endpoints = self.endpoints().iter().zip(&self.loads);
        endpoints
            .filter(move |(_, load)| {
                load.belief.usage(now, Pressure::None, self.likelihoods.p_unhealthy()) == Use::Last
            })
            .map(|(it, _)| it.addr)
    }

    /// Health of an endpoint, for reports.
    pub fn evidence_of(&self, now: Time, endpoint: usize) -> EvidenceReport {
        let load = &self.loads[endpoint];
        EvidenceReport {
            score: self.detector.score(endpoint),
            in_use: load.in_use(),
            p_unhealthy: load.belief.p_unhealthy(now, self.likelihoods.p_unhealthy()),
            usage: load.belief.usage(now, self.pressure, self.likelihoods.p_unhealthy()).name(),
            since_failure: load.belief.since_failure(now),
            rate_limit: load.advertised.pacer.limit(),
        }
    }

    /// Learns from the outcome of a request whose slot was granted here.
    pub(super) fn learn(&mut self, now: Time, permit: Permit, kind: Kind, elapsed: Duration) {
        match kind {
            Kind::Answered => {
                self.counts.answered += 1;
                match permit.is_counted_unserved {
                    true => self.unserved.revise_to_served(now),
                    false => self.unserved.note(now, Completion::Served),
                }
            }
            Kind::Failed | Kind::Crashed if permit.is_last_send => {
                self.counts.failed += 1;
                self.note_end_unserved(now, &permit);
            }
            Kind::TimedOut => {
                self.counts.timed_out += 1;
                self.note_end_unserved(now, &permit);
            }
            Kind::Shed if permit.is_last_send && permit.is_further => {
                self.counts.shed_last += 1;
                self.unserved.note(now, Completion::Unserved);
            }
            _ => {}
        }
        self.note_run_end(now, &permit, kind);
        let open_for = now.since(permit.granted);
        let prior = self.likelihoods.p_unhealthy();
        let p_before = self.loads[permit.endpoint].belief.p_unhealthy(now, prior);
        let it = permit.observation(kind, elapsed);
        match permit.reported {
            Reported::Nothing => self.note_outcome(now, it),
            Reported::Stalled => self.update_belief(now, it),
            Reported::AnswerBegan | Reported::AnswerStalled if kind == Kind::Answered => {}
            Reported::AnswerBegan | Reported::AnswerStalled => self.note_outcome(now, it),
        }
        self.learn_failure_time(now, it.endpoint, kind, open_for, p_before);
    }

    /// Counts a request that ended without being served, unless its stall was counted.
    fn note_end_unserved(&mut self, now: Time, permit: &Permit) {
        if !permit.is_counted_unserved {
            self.unserved.note(now, Completion::Unserved);
        }
    }

    pub(super) fn refresh_likelihoods(&mut self, now: Time) {
        if now.since(self.likelihoods_refreshed) < LIKELIHOOD_REFRESH {
            return;
        }
        self.likelihoods_refreshed = now;
        let prior = self.likelihoods.p_unhealthy();
        let in_use = self.loads.iter().filter(|it| it.belief.is_recent(now));
        self.likelihoods.refresh(in_use.map(|it| it.belief.p_unhealthy(now, prior)));
    }

    /// Passes an outcome to the health estimate and to outlier detection.
    fn note_outcome(&mut self, now: Time, it: Observation) {
        self.update_belief(now, it);
        self.detector.observe(now, it);
    }

    fn update_belief(&mut self, now: Time, it: Observation) {
        let ratio = self.likelihood_ratio(&it);
        let prior = self.likelihoods.p_unhealthy();
        let belief = &mut self.loads[it.endpoint].belief;
        let before = belief.usage(now, Pressure::None, prior);
        belief.observe(now, it.kind, it.reporter, it.elapsed, ratio, prior);
        if before != Use::Last && belief.usage(now, Pressure::None, prior) == Use::Last {
            let reason = match it.kind {
                Kind::Unreachable => "used last: several nodes in a row cannot reach it",
                it if it.is_silence() => "used last: a request had no answer",
                _ => "used last: a request failed",
            };
            self.detector.rotation.note_event(it.endpoint, reason);
        }
        let p_unhealthy = self.loads[it.endpoint].belief.p_unhealthy(now, prior);
        let is_old_answer =
            it.kind == Kind::Answered && !self.began_after_failure(now, it.endpoint, it.elapsed);
        let weight = if is_old_answer { OLD_ANSWER_WEIGHT } else { 1.0 };
        self.likelihoods.learn(it.kind, p_unhealthy, weight);
        match it.kind {
            Kind::TimedOut | Kind::LostToHedge | Kind::Abandoned => {
                self.detector.baseline.add_unanswered(it.route, it.elapsed, 1.0 - p_unhealthy);
            }
            Kind::Failed | Kind::Crashed => {
                self.detector.baseline.add_failed(it.route, 1.0 - p_unhealthy)
            }
            _ => {}
        }
    }

    /// Learns from a send that its endpoint shed.
    pub(super) fn note_shed_by(&mut self, now: Time, permit: &Permit) {
        if self.options.concurrency_limits == ConcurrencyLimits::Off {
            return;
        }
        let configured = self.endpoints()[permit.endpoint].usable_slots(now);
        let concurrency = &mut self.loads[permit.endpoint].concurrency;
        // Answers in transit may hold slots, which `overlap` finds out by such sends.
        let evidence = match permit.overlap_kind {
            OverlapKind::Regular => Some(permit.concurrency),
            OverlapKind::Overlapping => None,
        };
        if concurrency.note_shed(now, evidence, configured) {
            self.counts.limits_lowered += 1;
            let reason = "concurrency limit lowered: a request was shed below it";
            self.detector.rotation.note_event(permit.endpoint, reason);
        }
    }

    /// Learns from the end of a send that its endpoint accepted.
    pub(super) fn note_accepted(&mut self, now: Time, permit: &Permit, kind: Kind) {
        let is_accepted = !matches!(kind, Kind::Shed | Kind::Unreachable);
        if self.options.concurrency_limits == ConcurrencyLimits::Off || !is_accepted {
            return;
        }
        let concurrency = &mut self.loads[permit.endpoint].concurrency;
        concurrency.note_accepted(now, permit.concurrency);
    }

    /// Learns from the time until an answer began how an endpoint slows down with the number of
    /// requests in progress.
    pub(super) fn note_answer_time(&mut self, now: Time, permit: &Permit, elapsed: Duration) {
        if self.options.concurrency_limits == ConcurrencyLimits::Off {
            return;
        }
        let objective = permit.objective.max(Duration::from_millis(1));
        let took = elapsed.as_secs_f64() / objective.as_secs_f64();
        let configured = self.endpoints()[permit.endpoint].usable_slots(now);
        let all_slots = self.endpoints()[permit.endpoint].slots;
        self.answer_time.note_in_service(now, took);
        let load = &mut self.loads[permit.endpoint];
        load.answer_time.note_at_endpoint(now, took);
        load.slow_start = load.slow_start.map(|it| it + 1).filter(|it| *it < all_slots);
        let concurrency = &mut load.concurrency;
        if concurrency.note_answer(now, permit.concurrency, configured, took) {
            self.counts.limits_lowered += 1;
            let reason = "concurrency limit lowered: further requests only slow it down";
            self.detector.rotation.note_event(permit.endpoint, reason);
        }
    }

    /// Whether a request that took `elapsed` until now began after the last failure of its endpoint.
    pub(super) fn began_after_failure(
        &self,
        now: Time,
        endpoint: usize,
        elapsed: Duration,
    ) -> bool {
        self.loads[endpoint].belief.since_failure(now).is_none_or(|it| elapsed < it)
    }

    /// Likelihood ratio of an outcome, unhealthy against healthy.
    fn likelihood_ratio(&self, it: &Observation) -> f64 {
        let baseline = &self.detector.baseline;
        match it.kind.is_silence() {
            true => self.likelihoods.silence_ratio(baseline.still_open(it.route, it.elapsed)),
            false => self.likelihoods.ratio(baseline, it.kind, it.route),
        }
    }
}
