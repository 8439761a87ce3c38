//! Learns from outcomes: each one updates the health estimate of its endpoint at once, while
//! outlier detection turns sustained evidence into verdicts.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;

use super::load::Slot;
use super::{ANSWERED_LIFETIME, Dispatcher, Permit, Told};
use crate::belief::{Strain, Use};
use crate::observation::{Kind, Observation};
use crate::permit::{PermitId, Settled};
use crate::rate_limit::RateLimit;
use crate::served::Ending;
use crate::time::Time;

/// How often the learned likelihoods are refreshed.
const REFRESH: Duration = Duration::from_millis(100);

/// Health of an endpoint, for reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EvidenceReport {
    /// Score of the sequential test of outlier detection.
    pub score: f64,
    /// Slots in use.
    pub in_use: u32,
    /// Probability that it is unhealthy.
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
        match permit.told {
            Told::Nothing => {
                permit.told = Told::Stalled;
                let it = permit.observation(Kind::Stalled, elapsed);
                self.judge.observe(now, it);
            }
            // The age of a request no longer counts once its answer has begun, so that the health
            // estimate must count the stall, too.
            Told::AnswerBegan => {
                permit.told = Told::AnswerStalled;
                let it = permit.observation(Kind::Stalled, elapsed);
                self.note(now, it);
            }
            Told::Stalled | Told::AnswerStalled => {}
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
    ) -> Vec<Settled> {
        let Some(permit) = self.permits.get_mut(&id).filter(|it| !it.told.has_answer()) else {
            return Vec::new();
        };
        permit.told = Told::AnswerBegan;
        let it = permit.observation(Kind::Answered, elapsed);
        let slot = if self.overlap.frees_slots(now) { Slot::Free } else { Slot::Held };
        if slot == Slot::Free {
            permit.expires = now + ANSWERED_LIFETIME;
            self.counts.freed_early += 1;
        }
        self.loads[it.endpoint].answer_began(id, slot);
        let permit = permit.clone();
        if slot == Slot::Free {
            self.note_hold(now.since(permit.granted));
        }
        self.note_answer(now, &permit, elapsed);
        self.note(now, it);
        self.drain(now, rng)
    }

    /// Records the outcome of a request whose slot another dispatcher granted. An outcome of a
    /// request that may have gone to the previous incarnation of the endpoint is ignored.
    pub fn observe(&mut self, now: Time, id: &str, observation: Observation) {
        let Some(endpoint) = self.judge.rotation.position(id) else { return };
        if !self.loads[endpoint].is_older(now, observation.elapsed) {
            self.note(now, Observation { endpoint, ..observation });
        }
    }

    /// Records requests of split routes that lead here too and that another service did not serve.
    pub fn unserved_elsewhere(&mut self, now: Time, requests: u32) {
        if requests > 0 {
            self.counts.unserved_elsewhere += requests;
            self.served.note_unserved_elsewhere(now, requests);
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
        (0..requests).for_each(|_| self.served.note(now, Ending::Unserved));
    }

    /// Takes over the health estimates, advertisements and crash suspects of another dispatcher of
    /// the same service.
    pub fn with_health_of(mut self, now: Time, other: &Self) -> Self {
        for (it, load) in self.judge.rotation.endpoints().iter().zip(&mut self.loads) {
            if let Some(i) = other.judge.rotation.position(&it.id) {
                load.belief = other.loads[i].belief;
                load.said = other.loads[i].said.clone();
            }
        }
        self.leave_as_said(now);
        self.signs = other.signs.clone();
        self.suspects = other.suspects.clone();
        self
    }

    /// Uses an endpoint only as a last resort until `until`, as reported by the peer that
    /// dispatches the service.
    pub fn hint(&mut self, until: Time, addr: SocketAddr) {
        for (it, load) in self.judge.rotation.endpoints().iter().zip(&mut self.loads) {
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
                load.belief.usage(now, Strain::None, self.signs.share()) == Use::Last
            })
            .map(|(it, _)| it.addr)
    }

    /// Health of an endpoint, for reports.
    pub fn evidence_of(&self, now: Time, endpoint: usize) -> EvidenceReport {
        let load = &self.loads[endpoint];
        EvidenceReport {
            score: self.judge.score(endpoint),
            in_use: load.in_use(),
            p_unhealthy: load.belief.sick(now, self.signs.share()),
            usage: load.belief.usage(now, self.strain, self.signs.share()).name(),
            since_failure: load.belief.since_failure(now),
            rate_limit: load.said.pace.limit(),
        }
    }

    pub(super) fn learn(&mut self, now: Time, permit: Permit, kind: Kind, elapsed: Duration) {
        match kind {
            Kind::Answered => {
                self.counts.answered += 1;
                self.served.note(now, Ending::Served);
            }
            Kind::Failed | Kind::Crashed if permit.is_last_send => {
                self.counts.failed += 1;
                self.served.note(now, Ending::Unserved);
            }
            Kind::TimedOut => {
                self.counts.timed_out += 1;
                self.served.note(now, Ending::Unserved);
            }
            Kind::Shed if permit.is_last_send && permit.is_further => {
                self.counts.shed_last += 1;
                self.served.note(now, Ending::Unserved);
            }
            _ => {}
        }
        self.suspect(now, &permit, kind);
        let it = permit.observation(kind, elapsed);
        match permit.told {
            Told::Nothing => self.note(now, it),
            Told::Stalled => self.believe(now, it),
            Told::AnswerBegan | Told::AnswerStalled if kind == Kind::Answered => {}
            Told::AnswerBegan | Told::AnswerStalled => self.note(now, it),
        }
    }

    pub(super) fn refresh_signs(&mut self, now: Time) {
        if now.since(self.refreshed) < REFRESH {
            return;
        }
        self.refreshed = now;
        let rest = self.signs.share();
        let in_use = self.loads.iter().filter(|it| it.belief.is_recent(now));
        self.signs.refresh(in_use.map(|it| it.belief.sick(now, rest)));
    }

    fn note(&mut self, now: Time, it: Observation) {
        self.believe(now, it);
        self.judge.observe(now, it);
    }

    fn believe(&mut self, now: Time, it: Observation) {
        let ratio = self.ratio(&it);
        let rest = self.signs.share();
        let belief = &mut self.loads[it.endpoint].belief;
        let before = belief.usage(now, Strain::None, rest);
        belief.observe(now, it.kind, it.reporter, it.elapsed, ratio, rest);
        if before != Use::Last && belief.usage(now, Strain::None, rest) == Use::Last {
            let reason = match it.kind {
                Kind::Unreachable => "used last: several nodes in a row cannot reach it",
                it if it.is_silence() => "used last: a request had no answer",
                _ => "used last: a request failed",
            };
            self.judge.rotation.remark(it.endpoint, reason);
        }
        let sick = self.loads[it.endpoint].belief.sick(now, rest);
        self.signs.learn(it.kind, sick);
        match it.kind {
            Kind::TimedOut | Kind::Beaten | Kind::Abandoned => {
                self.judge.baseline.add_unanswered(it.route, it.elapsed, 1.0 - sick);
            }
            Kind::Failed | Kind::Crashed => self.judge.baseline.add_failed(it.route, 1.0 - sick),
            _ => {}
        }
    }

    /// Likelihood ratio of an outcome, unhealthy against healthy.
    fn ratio(&self, it: &Observation) -> f64 {
        let baseline = &self.judge.baseline;
        match it.kind.is_silence() {
            true => self.signs.silence(baseline.still_open(it.route, it.elapsed)),
            false => self.signs.ratio(baseline, it.kind, it.route),
        }
    }
}
