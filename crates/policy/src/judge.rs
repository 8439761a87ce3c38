//! Verdicts on endpoints from the outcomes of real requests.
//!
//! Outcomes are compared with the service's own baseline and summed up per endpoint by a sequential
//! test. When a sum crosses its threshold the judge first asks whose fault it is: the endpoint's,
//! the path's from one reporter or failure domain, or one that all siblings share. Only the first
//! ejects. Probes and load reports are not evidence here.

mod fault;

use std::collections::VecDeque;
use std::time::Duration;

use resources::Service;

use crate::baseline::{Baseline, RouteTerms};
use crate::class::Class;
use crate::observation::{Kind, Observation, Reporter};
use crate::rotation::{Lives, Rotation, State};
use crate::time::Time;
use crate::verdict::{Score, Thresholds, log_ratio};
use fault::{Fault, Scope};

/// Outcomes kept per endpoint to find whose fault a bad run is.
const RECENT: usize = 32;
/// How long a path fault keeps a reporter away from an endpoint.
const AVOID_FOR: Duration = Duration::from_secs(5);
/// A fault that siblings share ejects nobody for this long, so that it has time to end.
const EXCUSED_FOR: Duration = Duration::from_secs(2);
/// The baseline is decayed this often.
const REFRESH: Duration = Duration::from_millis(100);
/// Part of the baseline that is kept at each refresh: a half-life of about seven seconds.
const KEEP: f64 = 0.99;
/// How much the part of bad siblings raises the threshold. One sick endpoint among well ones is not
/// found any later for it.
const SIBLING_WEIGHT: f64 = 2.0;
/// Part of the threshold that fails a trial: one stalled request, or several late ones.
const TRIAL_PART: f64 = 0.3;
#[derive(Clone, Copy, Debug)]
struct Recent {
    at: Time,
    started: Time,
    reporter: Reporter,
    class: Class,
    /// What it added to the score.
    ratio: f64,
}

#[derive(Clone, Debug, Default)]
struct Evidence {
    score: Score,
    recent: VecDeque<Recent>,
    avoid: Vec<Avoid>,
    /// Its siblings were as bad; until then it is not judged again.
    excused_until: Time,
}

#[derive(Clone, Copy, Debug)]
struct Avoid {
    scope: Scope,
    until: Time,
}

/// The judge of one service on one node.
#[derive(Clone, Debug)]
pub(crate) struct Judge {
    pub(crate) rotation: Rotation,
    pub(crate) baseline: Baseline,
    thresholds: Thresholds,
    evidence: Vec<Evidence>,
    refreshed: Time,
    /// Outcomes have come since the last refresh.
    is_active: bool,
    /// Counts for the report: path, shared and reporter faults seen.
    pub(crate) path_faults: u64,
    pub(crate) shared_faults: u64,
    pub(crate) reporter_faults: u64,
}

impl Judge {
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

    pub(crate) fn reconfigure(&mut self, now: Time, service: &Service, routes: &[RouteTerms]) {
        let before = Lives::of(self.rotation.endpoints());
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

    /// Takes in one outcome.
    pub(crate) fn observe(&mut self, now: Time, it: Observation) {
        let Some(class) = self.baseline.class_of(it.kind, it.route, it.elapsed) else { return };
        self.is_active = true;
        let state = self.rotation.endpoints()[it.endpoint].state;
        if matches!(state, State::Unknown | State::Healthy | State::Ramping { .. }) {
            let answered = (it.kind == Kind::Answered).then_some(it.elapsed);
            self.baseline.add(it.route, class, answered);
        }
        self.remember(now, it, class);
        self.evidence[it.endpoint].score.add(class, self.baseline.shares(), self.thresholds);
        match class {
            Class::Good => self.good(now, it.endpoint),
            Class::Shed => {}
            _ if matches!(state, State::Trial { .. }) => self.judge_trial(now, it.endpoint),
            _ => self.judge(now, it),
        }
    }

    /// Whether a path fault keeps anybody away from an endpoint.
    pub(crate) fn has_path_faults(&self) -> bool {
        self.evidence.iter().any(|it| !it.avoid.is_empty())
    }

    /// Whether a path fault keeps `reporter` away from an endpoint.
    pub(crate) fn avoids(&self, now: Time, endpoint: usize, reporter: Reporter) -> bool {
        self.evidence[endpoint].avoid.iter().any(|it| now < it.until && it.scope.covers(reporter))
    }

    /// The sequential test's score of an endpoint.
    pub(crate) fn score(&self, endpoint: usize) -> f64 {
        self.evidence[endpoint].score.value()
    }

    /// Moves what time alone moves. Call it several times a second.
    pub(crate) fn tick(&mut self, now: Time) {
        self.rotation.tick(now);
        self.start_trials(now);
        let intervals = now.since(self.refreshed).as_micros() / REFRESH.as_micros();
        if intervals == 0 {
            return;
        }
        self.refreshed = now;
        self.is_active = false;
        self.baseline.refresh(KEEP.powf(intervals as f64));
        for i in 0..self.evidence.len() {
            self.evidence[i].avoid.retain(|it| now < it.until);
            self.retry_ejection(now, i);
        }
    }

    /// Whether nothing has happened that a tick would have to follow up.
    pub(crate) fn is_idle(&self) -> bool {
        !self.is_active && self.rotation.is_steady()
    }

    /// Drops all evidence, as after a pause of this process: it may speak of our own absence.
    pub(crate) fn forget(&mut self) {
        self.evidence.iter_mut().for_each(|it| *it = Evidence::default());
    }

    fn good(&mut self, now: Time, endpoint: usize) {
        self.rotation.good(now, endpoint);
        if self.evidence[endpoint].score.value() == 0.0 {
            self.rotation.clear(now, endpoint);
        }
    }

    fn judge(&mut self, now: Time, it: Observation) {
        if now < self.evidence[it.endpoint].excused_until {
            return;
        }
        if self.evidence[it.endpoint].score.value() < self.thresholds.eject {
            return;
        }
        match self.whose_fault(now, it.endpoint) {
            Fault::Endpoint if !self.is_convicted(now, it.endpoint) => {}
            Fault::Endpoint => {
                self.rotation.eject(now, it.endpoint, "sick against its siblings");
                self.purge_baseline(now, it.endpoint);
            }
            Fault::Path(scope) => {
                self.path_faults += 1;
                let evidence = &mut self.evidence[it.endpoint];
                evidence.recent.retain(|it| !scope.covers(it.reporter));
                evidence.score.reset();
                evidence.avoid.push(Avoid { scope, until: now + AVOID_FOR });
            }
            Fault::Reporter(reporter) => {
                self.reporter_faults += 1;
                self.discard(reporter);
            }
            // Siblings that are alike are used alike.
            Fault::Shared => {
                self.shared_faults += 1;
                self.evidence[it.endpoint].excused_until = now + EXCUSED_FOR;
            }
        }
    }

    /// Takes what a sick endpoint did out of what counts as normal; otherwise the next one that falls
    /// sick in the same way would look less unusual.
    fn purge_baseline(&mut self, now: Time, endpoint: usize) {
        let bad: Vec<Class> = self.recent(now, endpoint).map(|it| it.class).collect();
        bad.into_iter().filter(|it| it.is_bad()).for_each(|it| self.baseline.remove(it));
    }

    /// Whether the evidence suffices. It takes more when siblings have begun to look bad too, so that
    /// a shared fault has time to show at all of them.
    fn is_convicted(&self, now: Time, i: usize) -> bool {
        let score = self.evidence[i].score.value();
        score >= self.thresholds.eject * (1.0 + SIBLING_WEIGHT * self.bad_siblings(now, i))
    }

    /// On trial little evidence is enough: the endpoint was judged sick a moment ago.
    fn judge_trial(&mut self, now: Time, i: usize) {
        if self.evidence[i].score.value() >= self.thresholds.eject * TRIAL_PART {
            self.rotation.eject(now, i, "trial failed");
        }
    }

    /// Evidence from before a trial does not count in it.
    fn start_trials(&mut self, now: Time) {
        for (it, evidence) in self.rotation.endpoints().iter().zip(&mut self.evidence) {
            if matches!(it.state, State::Trial { since, .. } if since == now) {
                *evidence = Evidence::default();
            }
        }
    }

    /// An endpoint that the floor kept is ejected as soon as the floor allows it.
    fn retry_ejection(&mut self, now: Time, i: usize) {
        let is_suspect = self.rotation.endpoints()[i].state == State::Suspect;
        if is_suspect && self.is_convicted(now, i) && self.whose_fault(now, i) == Fault::Endpoint {
            self.rotation.eject(now, i, "sick, and the floor now allows it");
        }
    }

    fn discard(&mut self, reporter: Reporter) {
        for it in &mut self.evidence {
            if it.recent.iter().any(|r| r.class.is_bad() && r.reporter == reporter) {
                it.score.reset();
                it.recent.retain(|r| r.reporter != reporter);
            }
        }
    }

    fn remember(&mut self, now: Time, it: Observation, class: Class) {
        if class == Class::Shed {
            return;
        }
        let ratio = log_ratio(class, self.baseline.shares());
        let recent = &mut self.evidence[it.endpoint].recent;
        if recent.len() == RECENT {
            recent.pop_front();
        }
        let started = now - it.elapsed;
        recent.push_back(Recent { at: now, started, reporter: it.reporter, class, ratio });
    }
}
