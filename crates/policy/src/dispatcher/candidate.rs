//! Snapshots of the endpoints and of the queue, on which the stages of a decision work.

use std::net::SocketAddr;
use std::time::Duration;

use super::Dispatcher;
use super::idle::{IdleCandidate, probe_after};
use super::load::{EndpointLoad, Silence};
use super::working_set::Spread;
use crate::belief::{
    Belief, IDLE_AFTER_FAILURE, Pressure, RETRY_FAILED_AFTER, SILENCE_RATIO, STARVED_AFTER, Use,
};
use crate::permit::{Ask, HealthEstimate};
use crate::rotation::State;
use crate::time::Time;
use crate::topology::Distance;
use resources::Priority;

/// An endpoint becomes due for a probe this much sooner for requests from its own failure domain.
/// Where there are callers such requests come soon, and traffic between failure domains is costly.
const NEAR_PROBE_LEAD: Duration = Duration::from_millis(100);
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

/// Probability of being unhealthy below which an endpoint is tried soon after its last failure while
/// requests wait. Two failures in a row exceed it for over a second.
const TRIAL_BELOW: f64 = 0.85;
/// Time since the last failure after which such an endpoint is tried. Failures that come at the same
/// time, when an endpoint begins to fail, are reported within it.
const WANTED_TRIAL_AFTER: Duration = Duration::from_millis(100);

/// Snapshot of one endpoint for a choice.
#[derive(Clone, Copy)]
pub(super) struct Candidate {
    /// Position in the rotation.
    pub(super) i: usize,
    pub(super) now: Time,
    pub(super) pressure: Pressure,
    pub(super) spread: Spread,
    pub(super) addr: SocketAddr,
    pub(super) state: State,
    /// When the endpoint entered `state`.
    pub(super) state_since: Time,
    pub(super) is_missing: bool,
    pub(super) is_evacuated: bool,
    /// Slots that the state and the learned concurrency limit allow.
    pub(super) slots: u32,
    /// Slots that the state allows.
    pub(super) configured_slots: u32,
    /// Share of its recent sends that it accepted.
    pub(super) acceptance: f64,
    /// How many times as long its answers take as the mean of the service.
    pub(super) slowness: f64,
    pub(super) belief: Belief,
    /// The silence of its open requests.
    pub(super) silence: Silence,
    /// Probability that the endpoint is unhealthy, given its outcomes and the silence of its open
    /// requests.
    pub(super) p_unhealthy: f64,
    /// Sends that hold a slot and have outlived the learned failure time; `None` if their age is no
    /// evidence or is not to be used.
    pub(super) outlived: Option<u32>,
    /// Whether the endpoint has been idle for so long that the next request should probe it, by the
    /// distance from which that request comes.
    pub(super) probe_due: [ProbeDue; Distance::ALL.len()],
    /// Time since its last request, or since it became known if it had none.
    pub(super) idle: Duration,
    /// Slots that sends at its rate limit keep busy, if it has a limit.
    pub(super) rate_limited_slots: Option<f64>,
    /// Whether requests wait for a slot.
    pub(super) requests_wait: bool,
    /// Whether its rate limit allows a send now.
    pub(super) may_send: bool,
}

/// Whether an idle endpoint is due for a probe. The probe is a real request of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProbeDue {
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
    pub(super) candidates: Vec<Candidate>,
    /// Number of queued requests, by priority.
    pub(super) waiting: Vec<(Priority, usize)>,
    /// Number of queued requests, by failure domain of the asker and priority.
    pub(super) waiting_near: Vec<((u64, Priority), usize)>,
    /// Whether no queued request takes a free slot of its own failure domain, so that requests of
    /// others may take it.
    pub(super) is_left_over: bool,
}

impl Survey {
    /// Whether requests of more than one failure domain wait.
    pub(super) fn several_domains_wait(&self) -> bool {
        let mut domains = self.waiting_near.iter().map(|((domain, _), _)| *domain);
        let first = domains.next();
        domains.any(|it| Some(it) != first)
    }

    /// Time of the snapshot.
    pub(super) fn now(&self) -> Time {
        self.now
    }

    /// Number of endpoints in the snapshot.
    pub(super) fn len(&self) -> usize {
        self.candidates.len()
    }

    /// Number of queued requests from a failure domain that would be served before one of this
    /// priority.
    pub(super) fn ahead_in(&self, failure_domain: u64, priority: Priority) -> usize {
        let from_there = self.waiting_near.iter();
        let ahead = from_there.filter(|((it, p), _)| *it == failure_domain && *p <= priority);
        ahead.map(|(_, n)| n).sum()
    }

    /// Number of queued requests that would be served before one of this priority.
    pub(super) fn ahead_of(&self, priority: Priority) -> usize {
        self.waiting.iter().filter(|(it, _)| *it <= priority).map(|(_, n)| n).sum()
    }
}

impl Candidate {
    /// Whether the endpoint is due for a probe by this request.
    pub(super) fn is_due(&self, ask: &Ask, distance: Distance) -> bool {
        match self.probe_due[distance as usize] {
            ProbeDue::No => false,
            ProbeDue::ForRepeatable => ask.repeatable,
            ProbeDue::ForAny => true,
        }
    }

    /// Whether the endpoint is due and has been idle so long that it counts against the floor. The
    /// floor counts endpoints of all failure domains alike, so distance does not matter for a
    /// starved endpoint.
    pub(super) fn is_starved(&self, ask: &Ask, distance: Distance) -> bool {
        self.idle > STARVED_AFTER && self.is_due(ask, distance)
    }

    /// Whether this request tests an endpoint that only another node hears nothing from. Without such
    /// a test the endpoint would get no work from any node until that node's request ends.
    pub(super) fn is_silence_test(&self, ask: &Ask, distance: Distance) -> bool {
        self.silence.is_unconfirmed()
            && self.silence.node != Some(ask.reporter.node)
            && self.is_due(ask, distance)
    }

    pub(super) fn usage(&self) -> Use {
        if self.silence.ratio > SILENCE_RATIO {
            return Use::Last;
        }
        self.belief.usage_at(self.p_unhealthy, self.now, self.pressure)
    }

    /// Whether the endpoint is used only as a last resort or cautiously, and its last failure is so
    /// old that it may have recovered. In a working set, a failed member is replaced instead.
    pub(super) fn is_due_for_trial(&self) -> bool {
        if self.spread == Spread::WorkingSet {
            return false;
        }
        let usage = self.belief.usage_at(self.p_unhealthy, self.now, Pressure::None);
        // One failure makes an endpoint a last resort if it has had few answers lately, and it is
        // as likely healthy as not. A request that waits loses less by a failed send than by the
        // wait.
        let is_wanted = self.requests_wait
            && self.outlived.is_some()
            && self.p_unhealthy < TRIAL_BELOW
            && self.belief.failed_before(self.now, WANTED_TRIAL_AFTER);
        matches!(usage, Use::Last | Use::Cautiously)
            && (is_wanted || self.belief.failed_before(self.now, RETRY_FAILED_AFTER))
            && self.silence.ratio <= SILENCE_RATIO
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
        Survey {
            now,
            candidates,
            waiting: self.queue.count_by_priority(),
            waiting_near: self.waiting_near(),
            is_left_over: false,
        }
    }

    /// Updates the snapshot of one endpoint and of the queue after a queued request was granted a
    /// slot.
    pub(super) fn refresh_candidate(&self, survey: &mut Survey, i: usize) {
        survey.waiting = self.queue.count_by_priority();
        survey.waiting_near = self.waiting_near();
        survey.is_left_over = false;
        let now = survey.now;
        if let Some(it) = survey.candidates.iter_mut().find(|it| it.i == i) {
            *it = self.candidate(now, i);
        }
    }

    /// Refreshes the inputs that all choices at this moment share.
    pub(crate) fn refresh_inputs(&mut self, now: Time) {
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
        let silence = load.silence(now, &self.detector.baseline, &self.likelihoods);
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
            slots: self.slots_given(now, load, status.usable_slots(now)),
            configured_slots: status.usable_slots(now),
            acceptance: load.concurrency.acceptance(now),
            slowness: load.answer_time.slowness(now, &self.answer_time),
            belief: load.belief,
            silence,
            outlived: self.outlived_sends(now, load),
            probe_due: Distance::ALL.map(|it| self.probe_due(now, load, it)),
            idle: load.idle_or_age(now),
            rate_limited_slots: load.advertised.pacer.slots(now, self.mean_hold),
            may_send: load.advertised.pacer.allows(now, self.sharers(load)),
            requests_wait: self.queue.len() > 0,
            p_unhealthy: self.p_unhealthy_with_survivors(
                now,
                load,
                load.belief.p_unhealthy_given(now, silence.ratio, self.likelihoods.p_unhealthy()),
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
}
