//! What a dispatcher learns from outcomes: beliefs at once and softly, verdicts by the judge.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;

use super::load::Slot;
use super::{ANSWERED_LIFETIME, Dispatcher, Permit, Told};
use crate::belief::{Pressure, Use};
use crate::observation::{Kind, Observation};
use crate::permit::{PermitId, QueuedReply};
use crate::rate_limit::RateLimit;
use crate::time::Time;
use crate::unserved::Completion;

/// What is learned of the service's signs is refreshed this often.
const REFRESH: Duration = Duration::from_millis(100);

/// What is known of an endpoint, for reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EvidenceReport {
    /// Score of the sequential test.
    pub score: f64,
    /// Slots in use.
    pub in_use: u32,
    /// Probability that it is sick.
    pub sick: f64,
    /// How it is used for that.
    pub used: &'static str,
    /// Time since its last failure.
    pub since_failure: Option<Duration>,
    /// The rate limit that it has named.
    pub rate_limit: Option<RateLimit>,
}

impl Dispatcher {
    /// Learns that a request is stalled while it is still open. What its age says of the endpoint
    /// is counted at each choice; here it counts for a verdict.
    pub fn stalled(&mut self, now: Time, id: PermitId, elapsed: Duration) {
        let Some(permit) = self.permits.get_mut(&id) else { return };
        match permit.told {
            Told::Nothing => {
                permit.told = Told::Stalled;
                let it = permit.observation(Kind::Stalled, elapsed);
                self.judge.observe(now, it);
            }
            // Its age says nothing, so that the silence counts at once.
            Told::AnswerBegan => {
                permit.told = Told::AnswerStalled;
                let it = permit.observation(Kind::Stalled, elapsed);
                self.note(now, it);
            }
            Told::Stalled | Told::AnswerStalled => {}
        }
    }

    /// Learns that an answer has begun after `elapsed`, and is not whole yet. The time until its end says nothing. Returns
    /// replies for those that waited for its slot.
    pub fn answer_began(
        &mut self,
        now: Time,
        id: PermitId,
        elapsed: Duration,
        rng: &mut impl Rng,
    ) -> Vec<QueuedReply> {
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

    /// Learns from a request that another dispatcher gave the slot for. One that began before this life of the
    /// endpoint was known went to the life before.
    pub fn observe(&mut self, now: Time, id: &str, observation: Observation) {
        let Some(endpoint) = self.judge.rotation.position(id) else { return };
        if !self.loads[endpoint].is_older(now, observation.elapsed) {
            self.note(now, Observation { endpoint, ..observation });
        }
    }

    /// Learns of requests that another service did not serve, on routes that lead to this one too.
    pub fn unserved_elsewhere(&mut self, now: Time, requests: u32) {
        if requests > 0 {
            self.counts.unserved_elsewhere += requests;
            self.served.note_unserved_elsewhere(now, requests);
        }
    }

    /// Learns of requests that were refused before this service was asked for them. The users count them as not served by
    /// it, and want work at most of its sound endpoints while many are.
    pub fn refused_before(&mut self, now: Time, requests: u32) {
        self.counts.refused_before += requests;
        self.note_unserved(now, requests as usize);
    }

    /// Counts requests that ended here without being served.
    pub(super) fn note_unserved(&mut self, now: Time, requests: usize) {
        (0..requests).for_each(|_| self.served.note(now, Completion::Unserved));
    }

    /// Takes over what another dispatcher of the same service knows of failures.
    pub fn with_beliefs_of(mut self, now: Time, other: &Self) -> Self {
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

    /// Uses an endpoint last until `until`, on the word of the peer that dispatches it.
    pub fn hint(&mut self, until: Time, addr: SocketAddr) {
        for (it, load) in self.judge.rotation.endpoints().iter().zip(&mut self.loads) {
            if it.addr == addr {
                load.hinted_until = until;
            }
        }
    }

    /// Endpoints that are used last because of their latest failures, with the time until when.
    pub fn set_back(&self, now: Time) -> impl Iterator<Item = SocketAddr> + '_ {
        let endpoints = self.endpoints().iter().zip(&self.loads);
        endpoints
            .filter(move |(_, load)| {
                load.belief.usage(now, Pressure::None, self.signs.p_unhealthy()) == Use::Last
            })
            .map(|(it, _)| it.addr)
    }

    /// What is known of an endpoint, for the report.
    pub fn evidence_of(&self, now: Time, endpoint: usize) -> EvidenceReport {
        let load = &self.loads[endpoint];
        EvidenceReport {
            score: self.judge.score(endpoint),
            in_use: load.in_use(),
            sick: load.belief.p_unhealthy(now, self.signs.p_unhealthy()),
            used: load.belief.usage(now, self.strain, self.signs.p_unhealthy()).name(),
            since_failure: load.belief.since_failure(now),
            rate_limit: load.said.pace.limit(),
        }
    }

    pub(super) fn learn(&mut self, now: Time, permit: Permit, kind: Kind, elapsed: Duration) {
        match kind {
            Kind::Answered => {
                self.counts.answered += 1;
                self.served.note(now, Completion::Served);
            }
            Kind::Failed | Kind::Crashed if permit.is_last_send => {
                self.counts.failed += 1;
                self.served.note(now, Completion::Unserved);
            }
            Kind::TimedOut => {
                self.counts.timed_out += 1;
                self.served.note(now, Completion::Unserved);
            }
            Kind::Shed if permit.is_last_send && permit.is_further => {
                self.counts.shed_last += 1;
                self.served.note(now, Completion::Unserved);
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
        let rest = self.signs.p_unhealthy();
        let in_use = self.loads.iter().filter(|it| it.belief.is_recent(now));
        self.signs.refresh(in_use.map(|it| it.belief.p_unhealthy(now, rest)));
    }

    fn note(&mut self, now: Time, it: Observation) {
        self.believe(now, it);
        self.judge.observe(now, it);
    }

    fn believe(&mut self, now: Time, it: Observation) {
        let ratio = self.ratio(&it);
        let rest = self.signs.p_unhealthy();
        let belief = &mut self.loads[it.endpoint].belief;
        let before = belief.usage(now, Pressure::None, rest);
        belief.observe(now, it.kind, it.reporter, it.elapsed, ratio, rest);
        if before != Use::Last && belief.usage(now, Pressure::None, rest) == Use::Last {
            let reason = match it.kind {
                Kind::Unreachable => "used last: several nodes in a row cannot reach it",
                it if it.is_silence() => "used last: a request had no answer",
                _ => "used last: a request failed",
            };
            self.judge.rotation.note_event(it.endpoint, reason);
        }
        let sick = self.loads[it.endpoint].belief.p_unhealthy(now, rest);
        self.signs.learn(it.kind, sick);
        match it.kind {
            Kind::TimedOut | Kind::LostToHedge | Kind::Abandoned => {
                self.judge.baseline.add_unanswered(it.route, it.elapsed, 1.0 - sick);
            }
            Kind::Failed | Kind::Crashed => self.judge.baseline.add_failed(it.route, 1.0 - sick),
            _ => {}
        }
    }

    /// How much more likely an outcome is at a sick endpoint.
    fn ratio(&self, it: &Observation) -> f64 {
        let baseline = &self.judge.baseline;
        match it.kind.is_silence() {
            true => self.signs.silence_ratio(baseline.still_open(it.route, it.elapsed)),
            false => self.signs.ratio(baseline, it.kind, it.route),
        }
    }
}
