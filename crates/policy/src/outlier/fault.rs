//! Attribution of an endpoint's failures: to the endpoint itself, to the network path from one
//! reporter or failure domain, to a fault shared by all siblings, or to the reporter.

use std::time::Duration;

use super::{Evidence, OutlierDetector, Recent};
use crate::observation::Reporter;
use crate::rendezvous::NodeId;
use crate::time::Time;
use crate::verdict::Score;

/// Outcomes older than this are no evidence of a current fault.
const RECENT_LIFETIME: Duration = Duration::from_secs(10);
/// Outcomes seen by other reporters that are needed to exonerate an endpoint.
const MIN_ELSEWHERE: usize = 3;
/// Fraction of the ejection threshold below which the score from other reporters must stay to
/// exonerate the endpoint.
const ELSEWHERE_FRACTION: f64 = 0.3;
/// A fault is shared when at least this share of the siblings fails: more than one failure domain
/// of three.
const SHARED_FRACTION: f64 = 0.4;
/// A reporter is itself at fault when it sees this many endpoints fail while others see them work.
const MIN_REPORTER_FAULT_ENDPOINTS: usize = 3;

/// The reporters that a path fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scope {
    Node(NodeId),
    FailureDomain(u64),
}

impl Scope {
    pub(super) fn covers(self, reporter: Reporter) -> bool {
        match self {
            Self::Node(it) => it == reporter.node,
            Self::FailureDomain(it) => it == reporter.failure_domain,
        }
    }
}

/// The cause of a run of failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    Endpoint,
    Path(Scope),
    Shared,
    Reporter(Reporter),
}

impl OutlierDetector {
    /// Attributes the bad outcomes of an endpoint.
    pub(super) fn attribute_fault(&self, now: Time, endpoint: usize) -> Fault {
        let bad = self.recent(now, endpoint).filter(|it| it.class.is_bad()).map(|it| it.reporter);
        for reporter in bad {
            let node = Scope::Node(reporter.node);
            for scope in [node, Scope::FailureDomain(reporter.failure_domain)] {
                if !self.works_elsewhere(now, endpoint, scope) {
                    continue;
                }
                let is_reporter_fault = scope == node && self.sees_many_failures(now, reporter);
                return if is_reporter_fault {
                    Fault::Reporter(reporter)
                } else {
                    Fault::Path(scope)
                };
            }
        }
        let is_shared = self.bad_sibling_share(now, endpoint) >= SHARED_FRACTION;
        if is_shared { Fault::Shared } else { Fault::Endpoint }
    }

    /// Whether reporters outside `scope` see the endpoint work. Their good outcomes count only for
    /// requests that began after the first request that failed inside the scope.
    fn works_elsewhere(&self, now: Time, endpoint: usize, scope: Scope) -> bool {
        let mut covered = self.recent(now, endpoint).filter(|it| scope.covers(it.reporter));
        let Some(first) = covered.find(|it| it.class.is_bad()) else { return false };
        let elsewhere = self.recent(now, endpoint).filter(|it| {
            !scope.covers(it.reporter) && (it.class.is_bad() || it.started >= first.started)
        });
        let mut score = Score::default();
        let mut count = 0;
        for it in elsewhere {
            score.add_ratio(it.ratio, self.thresholds);
            count += 1;
        }
        count >= MIN_ELSEWHERE && score.value() < self.thresholds.eject * ELSEWHERE_FRACTION
    }

    /// Recent outcomes of an endpoint.
    pub(super) fn recent(&self, now: Time, endpoint: usize) -> impl Iterator<Item = &Recent> {
        let recent = self.evidence[endpoint].recent.iter();
        recent.filter(move |it| now.since(it.at) < RECENT_LIFETIME)
    }

    /// Whether one reporter sees several endpoints fail.
    fn sees_many_failures(&self, now: Time, reporter: Reporter) -> bool {
        let fails = |it: &Evidence| {
            it.recent.iter().any(|r| {
                r.class.is_bad() && r.reporter == reporter && now.since(r.at) < RECENT_LIFETIME
            })
        };
        self.evidence.iter().filter(|it| fails(it)).count() >= MIN_REPORTER_FAULT_ENDPOINTS
    }

    /// The share of the active siblings that have begun to fail too.
    pub(super) fn bad_sibling_share(&self, now: Time, endpoint: usize) -> f64 {
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

    /// Whether outcomes of the endpoint have arrived recently.
    fn is_active(&self, now: Time, i: usize) -> bool {
        self.evidence[i].recent.back().is_some_and(|it| now.since(it.at) < RECENT_LIFETIME)
    }
}
