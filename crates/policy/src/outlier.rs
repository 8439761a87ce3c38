//! Outlier detection: finds unhealthy endpoints from the outcomes of real requests.
//!
//! Outcomes are compared with the service's own baseline and accumulated per endpoint by a
//! sequential test. When an endpoint's score crosses the threshold, the detector first attributes
//! the failures: to the endpoint, to the network path from one reporter or failure domain, to a
//! fault shared by all siblings, or to the reporter. Only a fault of the endpoint leads to an
//! ejection. Health probes and load reports are not used as evidence.

mod fault;

use std::collections::VecDeque;
use std::time::Duration;

use resources::Service;

use crate::baseline::{Baseline, RouteTerms};
use crate::class::Class;
use crate::observation::{Kind, Observation, Reporter};
use crate::rotation::{Incarnations, Rotation, State};
use crate::time::Time;
use crate::verdict::{Score, Thresholds, log_likelihood_ratio};
use fault::{Fault, Scope};

/// Outcomes kept per endpoint to attribute a run of failures.
const MAX_RECENT: usize = 32;
/// How long a reporter avoids an endpoint after a path fault.
const AVOID_FOR: Duration = Duration::from_secs(5);
/// After a fault shared by siblings, the endpoint is not ejected for this long, so that the fault
/// can end.
const SHARED_FAULT_DEFERRAL: Duration = Duration::from_secs(2);
/// Interval at which the baseline is decayed.
const REFRESH: Duration = Duration::from_millis(100);
/// Share of the baseline kept at each refresh: a half-life of about seven seconds.
const REFRESH_KEEP: f64 = 0.99;
/// How much the share of failing siblings raises the threshold. A single unhealthy endpoint among
/// healthy ones is detected no later.
const SIBLING_WEIGHT: f64 = 2.0;
/// Fraction of the ejection threshold that fails a trial: one stalled request or several late ones.
const TRIAL_FRACTION: f64 = 0.3;

/// One outcome of an endpoint.
#[derive(Clone, Copy, Debug)]
struct Recent {
    at: Time,
    started: Time,
    reporter: Reporter,
    class: Class,
    /// The log-likelihood ratio that the outcome added to the score.
    ratio: f64,
}

/// What is known about one endpoint.
#[derive(Clone, Debug, Default)]
struct Evidence {
    score: Score,
    recent: VecDeque<Recent>,
    path_faults: Vec<PathFault>,
    /// Until then the endpoint is not examined again, because its siblings failed as well.
    deferred_until: Time,
}

/// A path fault in effect: the reporters that avoid the endpoint, and until when.
#[derive(Clone, Copy, Debug)]
struct PathFault {
    scope: Scope,
    until: Time,
}

/// The outlier detector of one service on one node.
#[derive(Clone, Debug)]
pub(crate) struct OutlierDetector {
    pub(crate) rotation: Rotation,
    pub(crate) baseline: Baseline,
    thresholds: Thresholds,
    evidence: Vec<Evidence>,
    refreshed: Time,
    /// Outcomes have arrived since the last refresh.
    is_active: bool,
    // Faults found so far by cause, for the report.
    pub(crate) path_faults: u64,
    pub(crate) shared_faults: u64,
    pub(crate) reporter_faults: u64,
}

impl OutlierDetector {
    pub(crate) fn new(now: Time, service: &Service, routes: &[RouteTerms]) -> Self {
        let mut baseline = Baseline::default();
        baseline.retain_routes(routes);
        Self {
            rotation: Rotation::new(now, service),
            baseline,
            thresholds: Thresholds::of(service.bias),
            evidence: vec![Evidence::default(); service.endpoints.len()],
            refreshed: now,
            is_active: false,
            path_faults: 0,
            shared_faults: 0,
            reporter_faults: 0,
        }
    }

    /// Applies a new configuration; evidence about remaining endpoint incarnations is kept.
    pub(crate) fn reconfigure(&mut self, now: Time, service: &Service, routes: &[RouteTerms]) {
        let before = Incarnations::of(self.rotation.endpoints());
        let mut evidence = std::mem::take(&mut self.evidence);
        self.rotation.reconfigure(now, service);
        self.thresholds = Thresholds::of(service.bias);
        self.evidence = self
            .rotation
            .endpoints()
            .iter()
            .map(|it| match before.position(it) {
                Some(i) => std::mem::take(&mut evidence[i]),
                None => Evidence::default(),
            })
            .collect();
        self.baseline.retain_routes(routes);
    }

    /// Applies one outcome.
    pub(crate) fn observe(&mut self, now: Time, it: Observation) {
        let Some(class) = self.baseline.class_of(it.kind, it.route, it.elapsed) else { return };
        self.is_active = true;
        let state = self.rotation.endpoints()[it.endpoint].state;
        if matches!(state, State::Unknown | State::Healthy | State::Ramping { .. }) {
            let answered = (it.kind == Kind::Answered).then_some(it.elapsed);
            self.baseline.add(it.route, class, answered);
        }
        self.record_recent(now, it, class);
        self.evidence[it.endpoint].score.add(class, self.baseline.shares(), self.thresholds);
        match class {
            Class::Good => self.record_good(now, it.endpoint),
            Class::Shed => {}
            _ if matches!(state, State::Trial { .. }) => self.check_trial(now, it.endpoint),
            _ => self.check_score(now, it),
        }
    }

    /// Whether any path fault is in effect.
    pub(crate) fn has_path_faults(&self) -> bool {
        self.evidence.iter().any(|it| !it.path_faults.is_empty())
    }

    /// Whether a path fault makes `reporter` avoid an endpoint.
    pub(crate) fn avoids(&self, now: Time, endpoint: usize, reporter: Reporter) -> bool {
        self.evidence[endpoint]
            .path_faults
            .iter()
            .any(|it| now < it.until && it.scope.covers(reporter))
    }

    /// The score of an endpoint in the sequential test.
    pub(crate) fn score(&self, endpoint: usize) -> f64 {
        self.evidence[endpoint].score.value()
    }

    /// Applies the changes that depend on time alone. To be called several times a second.
    pub(crate) fn tick(&mut self, now: Time) {
        self.rotation.tick(now);
        self.start_trials(now);
        let intervals = now.since(self.refreshed).as_micros() / REFRESH.as_micros();
        if intervals == 0 {
            return;
        }
        self.refreshed = now;
        self.is_active = false;
        self.baseline.refresh(REFRESH_KEEP.powf(intervals as f64));
        for i in 0..self.evidence.len() {
            self.evidence[i].path_faults.retain(|it| now < it.until);
            self.retry_ejection(now, i);
        }
    }

    /// Whether a tick has nothing to do.
    pub(crate) fn is_idle(&self) -> bool {
        !self.is_active && self.rotation.is_steady()
    }

    /// Drops all evidence, as after a pause of this process: requests may have failed because of
    /// the pause.
    pub(crate) fn discard_evidence(&mut self) {
        self.evidence.iter_mut().for_each(|it| *it = Evidence::default());
    }

    fn record_good(&mut self, now: Time, endpoint: usize) {
        self.rotation.record_good(now, endpoint);
        if self.evidence[endpoint].score.value() == 0.0 {
            self.rotation.clear_suspicion(now, endpoint);
        }
    }

    fn check_score(&mut self, now: Time, it: Observation) {
        if now < self.evidence[it.endpoint].deferred_until {
            return;
        }
        if self.evidence[it.endpoint].score.value() < self.thresholds.eject {
            return;
        }
        match self.attribute_fault(now, it.endpoint) {
            Fault::Endpoint if !self.is_confirmed(now, it.endpoint) => {}
            Fault::Endpoint => {
                self.rotation.eject(now, it.endpoint, "unhealthy compared with its siblings");
                self.purge_baseline(now, it.endpoint);
            }
            Fault::Path(scope) => {
                self.path_faults += 1;
                let evidence = &mut self.evidence[it.endpoint];
                evidence.recent.retain(|it| !scope.covers(it.reporter));
                evidence.score.reset();
                evidence.path_faults.push(PathFault { scope, until: now + AVOID_FOR });
            }
            Fault::Reporter(reporter) => {
                self.reporter_faults += 1;
                self.discard_reports_of(reporter);
            }
            // The siblings fail alike, so none of them is ejected.
            Fault::Shared => {
                self.shared_faults += 1;
                self.evidence[it.endpoint].deferred_until = now + SHARED_FAULT_DEFERRAL;
            }
        }
    }

    /// Removes the failures of an unhealthy endpoint from the baseline. Otherwise the next endpoint
    /// that fails in the same way would look less unusual.
    fn purge_baseline(&mut self, now: Time, endpoint: usize) {
        let bad: Vec<Class> = self.recent(now, endpoint).map(|it| it.class).collect();
        bad.into_iter().filter(|it| it.is_bad()).for_each(|it| self.baseline.remove(it));
    }

    /// Whether the evidence suffices for an ejection. The threshold is higher when siblings have
    /// begun to fail too, so that a shared fault has time to show at all of them.
    fn is_confirmed(&self, now: Time, i: usize) -> bool {
        let score = self.evidence[i].score.value();
        score >= self.thresholds.eject * (1.0 + SIBLING_WEIGHT * self.bad_sibling_share(now, i))
    }

    /// Fails a trial on little evidence, because the endpoint was unhealthy a moment ago.
    fn check_trial(&mut self, now: Time, i: usize) {
        if self.evidence[i].score.value() >= self.thresholds.eject * TRIAL_FRACTION {
            self.rotation.eject(now, i, "trial failed");
        }
    }

    /// Discards the evidence from before a trial.
    fn start_trials(&mut self, now: Time) {
        for (it, evidence) in self.rotation.endpoints().iter().zip(&mut self.evidence) {
            if matches!(it.state, State::Trial { since, .. } if since == now) {
                *evidence = Evidence::default();
            }
        }
    }

    /// Ejects a suspect as soon as the floor allows it.
    fn retry_ejection(&mut self, now: Time, i: usize) {
        let is_suspect = self.rotation.endpoints()[i].state == State::Suspect;
        if is_suspect
            && self.is_confirmed(now, i)
            && self.attribute_fault(now, i) == Fault::Endpoint
        {
            self.rotation.eject(now, i, "unhealthy, and the floor now allows an ejection");
        }
    }

    fn discard_reports_of(&mut self, reporter: Reporter) {
        for it in &mut self.evidence {
            if it.recent.iter().any(|r| r.class.is_bad() && r.reporter == reporter) {
                it.score.reset();
                it.recent.retain(|r| r.reporter != reporter);
            }
        }
    }

    fn record_recent(&mut self, now: Time, it: Observation, class: Class) {
        if class == Class::Shed {
            return;
        }
        let ratio = log_likelihood_ratio(class, self.baseline.shares());
        let recent = &mut self.evidence[it.endpoint].recent;
        if recent.len() == MAX_RECENT {
            recent.pop_front();
        }
        let started = now - it.elapsed;
        recent.push_back(Recent { at: now, started, reporter: it.reporter, class, ratio });
    }
}
