//! Verdicts on endpoints from the outcomes of real requests.
//!
//! Outcomes are compared with the service's own baseline and summed up per endpoint by a sequential
//! test. When a sum crosses its threshold the judge first asks whose fault it is: the endpoint's,
//! the path's from one reporter or failure domain, or one that all siblings share. Only the first
//! ejects. Probes and load reports are not evidence here.

use std::collections::VecDeque;
use std::time::Duration;

use resources::Service;

use crate::baseline::Baseline;
use crate::rendezvous::NodeId;
use crate::rotation::{Rotation, State};
use crate::time::Time;
use crate::verdict::{Class, Score, Thresholds, log_ratio};

/// Outcomes kept per endpoint to find whose fault a bad run is.
const RECENT: usize = 32;
/// Outcomes older than this do not speak about a current fault.
const RECENT_LIFETIME: Duration = Duration::from_secs(10);
/// How long a path fault keeps a reporter away from an endpoint.
const AVOID_FOR: Duration = Duration::from_secs(5);
/// A fault that siblings share ejects nobody for this long, so that it has time to end.
const EXCUSED_FOR: Duration = Duration::from_secs(2);
/// The baseline is decayed this often.
const REFRESH: Duration = Duration::from_millis(100);
/// Part of the baseline that is kept at each refresh: a half-life of about seven seconds.
const KEEP: f64 = 0.99;
/// Outcomes of others that are needed to speak for an endpoint.
const MIN_ELSEWHERE: usize = 3;
/// Part of the threshold that the evidence of others must stay below to speak for an endpoint.
const ELSEWHERE_PART: f64 = 0.3;
/// A fault is shared when this part of the siblings look bad: more than one failure domain of three.
const SHARED_BY: f64 = 0.4;
/// How much the part of bad siblings raises the threshold. One sick endpoint among well ones is not
/// found any later for it.
const SIBLING_WEIGHT: f64 = 2.0;
/// Part of the threshold that fails a trial: one stalled request, or several late ones.
const TRIAL_PART: f64 = 0.3;
/// A reporter that sees this many endpoints fail while others see them work is itself at fault.
const OWN_FAULT_ENDPOINTS: usize = 3;

/// How a request ended, as far as the reporter can tell without comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Kind {
    /// A whole answer.
    Answered,
    /// Still open, or a body that has stopped moving, after the time that was asked for.
    Stalled,
    /// Connection lost, answer broken off, or a server error.
    Failed,
    /// No connection could be made; nothing was sent.
    Unreachable,
    /// Refused before any work because the endpoint is full.
    Shed,
    /// Given up by the reporter's own side while it was still open, as by a hedge.
    Abandoned,
}

/// Who observed an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Reporter {
    /// The node.
    pub node: NodeId,
    /// Hash of its failure domain.
    pub failure_domain: u64,
}

/// One outcome of real work.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Observation {
    /// Who observed it.
    pub reporter: Reporter,
    /// Position of the endpoint in the rotation of whoever takes it in.
    #[serde(skip)]
    pub endpoint: usize,
    /// Hash of the route's name.
    pub route: u32,
    /// How it ended.
    pub kind: Kind,
    /// Time from send to the outcome.
    pub elapsed: Duration,
}

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

/// Whom a path fault concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scope {
    Node(NodeId),
    FailureDomain(u64),
}

impl Scope {
    fn covers(self, reporter: Reporter) -> bool {
        match self {
            Self::Node(it) => it == reporter.node,
            Self::FailureDomain(it) => it == reporter.failure_domain,
        }
    }
}

/// Whose fault a bad run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Endpoint,
    Path(Scope),
    Shared,
    Reporter(Reporter),
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
    pub(crate) fn new(now: Time, service: &Service, routes: &[u32]) -> Self {
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

    pub(crate) fn reconfigure(&mut self, now: Time, service: &Service, routes: &[u32]) {
        let before: Vec<_> = self.rotation.endpoints().iter().map(|it| it.id.clone()).collect();
        let mut evidence = std::mem::take(&mut self.evidence);
        self.rotation.reconfigure(now, service);
        self.thresholds = Thresholds::of(service.bias);
        self.evidence = self
            .rotation
            .endpoints()
            .iter()
            .map(|it| match before.iter().position(|id| *id == it.id) {
                Some(i) => std::mem::take(&mut evidence[i]),
                None => Evidence::default(),
            })
            .collect();
        self.baseline.retain_routes(routes);
    }

    /// Takes in one outcome.
    pub(crate) fn observe(&mut self, now: Time, it: Observation) {
        let Some(class) = Class::of(it.kind, it.route, it.elapsed, &self.baseline) else { return };
        self.is_active = true;
        let state = self.rotation.endpoints()[it.endpoint].state;
        if matches!(state, State::Unknown | State::Healthy | State::Ramping { .. }) {
            let answered = (it.kind == Kind::Answered).then_some(it.elapsed);
            self.baseline.add(it.route, class, answered);
        }
        self.remember(now, it, class);
        self.evidence[it.endpoint].score.add(class, &self.baseline, self.thresholds);
        match class {
            Class::Good => self.good(now, it.endpoint),
            Class::Shed => {}
            _ if matches!(state, State::Trial { .. }) => self.judge_trial(now, it.endpoint),
            _ => self.judge(now, it),
        }
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

    fn whose_fault(&self, now: Time, endpoint: usize) -> Fault {
        let bad = self.recent(now, endpoint).filter(|it| it.class.is_bad()).map(|it| it.reporter);
        for reporter in bad {
            let node = Scope::Node(reporter.node);
            for scope in [node, Scope::FailureDomain(reporter.failure_domain)] {
                if !self.is_well_elsewhere(now, endpoint, scope) {
                    continue;
                }
                let is_own = scope == node && self.fails_widely(now, reporter);
                return if is_own { Fault::Reporter(reporter) } else { Fault::Path(scope) };
            }
        }
        let is_shared = self.bad_siblings(now, endpoint) >= SHARED_BY;
        if is_shared { Fault::Shared } else { Fault::Endpoint }
    }

    /// Whether those outside `scope` see the endpoint work, by outcomes of requests that began after
    /// the first bad one of the scope had begun.
    fn is_well_elsewhere(&self, now: Time, endpoint: usize, scope: Scope) -> bool {
        let mut covered = self.recent(now, endpoint).filter(|it| scope.covers(it.reporter));
        let Some(first) = covered.find(|it| it.class.is_bad()) else { return false };
        let elsewhere = self.recent(now, endpoint).filter(|it| {
            !scope.covers(it.reporter) && (it.class.is_bad() || it.started >= first.started)
        });
        let mut score = Score::default();
        let mut seen = 0;
        for it in elsewhere {
            score.add_ratio(it.ratio, self.thresholds);
            seen += 1;
        }
        seen >= MIN_ELSEWHERE && score.value() < self.thresholds.eject * ELSEWHERE_PART
    }

    fn recent(&self, now: Time, endpoint: usize) -> impl Iterator<Item = &Recent> {
        let recent = self.evidence[endpoint].recent.iter();
        recent.filter(move |it| now.since(it.at) < RECENT_LIFETIME)
    }

    /// Whether one reporter sees several endpoints fail.
    fn fails_widely(&self, now: Time, reporter: Reporter) -> bool {
        let fails = |it: &Evidence| {
            it.recent.iter().any(|r| {
                r.class.is_bad() && r.reporter == reporter && now.since(r.at) < RECENT_LIFETIME
            })
        };
        self.evidence.iter().filter(|it| fails(it)).count() >= OWN_FAULT_ENDPOINTS
    }

    /// The part of the siblings that have begun to look as bad, among those at work.
    fn bad_siblings(&self, now: Time, endpoint: usize) -> f64 {
        let siblings = (0..self.evidence.len())
            .filter(|i| *i != endpoint && self.rotation.endpoints()[*i].state.in_rotation())
            .filter(|i| self.is_active(now, *i));
        let (mut all, mut bad) = (0, 0);
        for i in siblings {
            all += 1;
            bad += usize::from(self.evidence[i].score.value() >= self.thresholds.shared);
        }
        bad as f64 / f64::from(all.max(1))
    }

    /// Whether this node has heard of work on the endpoint lately.
    fn is_active(&self, now: Time, i: usize) -> bool {
        self.evidence[i].recent.back().is_some_and(|it| now.since(it.at) < RECENT_LIFETIME)
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
        let ratio = log_ratio(class, &self.baseline);
        let recent = &mut self.evidence[it.endpoint].recent;
        if recent.len() == RECENT {
            recent.pop_front();
        }
        let started = now - it.elapsed;
        recent.push_back(Recent { at: now, started, reporter: it.reporter, class, ratio });
    }
}
