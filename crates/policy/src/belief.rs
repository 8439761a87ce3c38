//! The probability that an endpoint is unhealthy, estimated from the outcomes of the last seconds.
//!
//! Each endpoint is modelled as a hidden Markov chain with two states, healthy and unhealthy. An
//! outcome updates the probability by Bayes' rule; between outcomes the probability decays towards
//! the share of unhealthy endpoints learned for the service (`likelihoods`). A few answers outweigh
//! an isolated failure, and an endpoint that failed twice is avoided for seconds. The belief never
//! ejects an endpoint: a doubtful endpoint is only ranked behind better ones, so no capacity is
//! lost.

use std::time::Duration;

use crate::observation::{Kind, Reporter};
use crate::time::Time;

/// Time constant with which evidence decays, in seconds. Gray failures last seconds; a wrong
/// estimate of their length costs little because trial requests correct the belief.
const EVIDENCE_DECAY_S: f64 = 6.5;
/// Probability for an endpoint without any evidence.
const P_UNKNOWN: f64 = 0.1;
/// Likelihood ratio (unhealthy against healthy) above which an unanswered request counts as a
/// failure.
pub(crate) const SILENCE_RATIO: f64 = 4.0;
/// Bounds of the probability. At 0 or 1 no further evidence could change it.
const P_BOUNDS: (f64, f64) = (0.002, 0.985);
/// Below this probability an endpoint is used without restriction.
pub(crate) const FREELY_BELOW: f64 = 0.12;
/// Below this probability an endpoint takes one request at a time. One failure puts a busy endpoint
/// slightly above this bound; the probability decays below it within two seconds.
pub(crate) const SINGLY_BELOW: f64 = 0.34;
/// Below this probability an endpoint takes one request at a time, preferably a repeatable one.
const CAUTIOUSLY_BELOW: f64 = 0.5;
/// After a failure, the longest time without work before the endpoint may count as idle in the
/// availability target. The target counts an endpoint as healthy two seconds after its last failure
/// and expects work at most of the healthy endpoints in any two seconds. Only endpoints without
/// failures are counted, so using a given share of all endpoints does not meet the target.
pub(crate) const IDLE_AFTER_FAILURE: Duration = Duration::from_millis(3_600);
/// In steady state an endpoint without work for this long is due for a request. The availability
/// target uses windows of two seconds, within which the next request has to arrive and reach the
/// endpoint.
pub(crate) const PROBE_AFTER: Duration = Duration::from_millis(1_750);
/// While some requests are not served, an endpoint is due after this long without work. This is
/// shorter than [`PROBE_AFTER`] because the request may have to wait for a slot.
pub(crate) const STARVED_AFTER: Duration = Duration::from_millis(1_500);
/// While some requests are not served, an endpoint is tried again this long after its last failure.
pub(crate) const RETRY_FAILED_AFTER: Duration = Duration::from_millis(1_900);
/// Number of nodes that must fail to reach an endpoint in succession, with no answer to any node in
/// between, before the endpoint counts as failed. Fewer may only show a fault of their network
/// paths.
const MIN_UNREACHED_NODES: u32 = 3;

/// The estimated health of one endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Belief {
    p_unhealthy: f64,
    at: Time,
    failed_at: Option<Time>,
    unreached_by: Option<(Reporter, u32)>,
}

impl Default for Belief {
    fn default() -> Self {
        Self { p_unhealthy: P_UNKNOWN, at: Time(0), failed_at: None, unreached_by: None }
    }
}

/// How much of a service's work is not served, which decides how soon idle and failed endpoints are
/// used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Pressure {
    /// Nearly all requests are served.
    None,
    /// More requests than usual are not served, or their share is rising: no endpoint stays idle
    /// for longer than the availability target permits in any case.
    Growing,
    /// Some requests are not served: endpoints are tried again sooner.
    Unserved,
}

impl Pressure {
    /// Name used in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Growing => "growing",
            Self::Unserved => "unserved",
        }
    }

    /// How long an endpoint may be without work when none is deliberately kept idle.
    pub(crate) fn probe_after(self) -> Duration {
        match self {
            Self::None | Self::Growing => PROBE_AFTER,
            Self::Unserved => STARVED_AFTER,
        }
    }

    /// The longest time for which an endpoint gets no work after a failure.
    pub(crate) fn retry_failed_after(self) -> Duration {
        match self {
            Self::None | Self::Growing => IDLE_AFTER_FAILURE,
            Self::Unserved => RETRY_FAILED_AFTER,
        }
    }
}

/// How an endpoint is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Use {
    /// Without restriction.
    Freely,
    /// One request at a time, of any kind.
    Singly,
    /// One request at a time, preferably a repeatable one.
    Cautiously,
    /// Only when no other endpoint is free.
    Last,
}

impl Use {
    /// Name used in reports.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Freely => "freely",
            Self::Singly => "singly",
            Self::Cautiously => "cautiously",
            Self::Last => "last",
        }
    }
}

impl Belief {
    /// Applies the outcome of a request that took `elapsed`. `ratio` is the likelihood ratio of the
    /// outcome (unhealthy against healthy), and `prior` the probability that the belief decays to.
    pub(crate) fn observe(
        &mut self,
        now: Time,
        kind: Kind,
        reporter: Reporter,
        elapsed: Duration,
        ratio: f64,
        prior: f64,
    ) {
        match kind {
            Kind::Answered => {
                self.unreached_by = None;
                // Unhealthy endpoints fail at the start of the work, so an answer is evidence for
                // the time at which its request began, and is no evidence if a failure followed.
                let began = now - elapsed;
                if self.failed_at.is_none_or(|it| began > it) {
                    self.update_odds(began.max(self.at), ratio, prior);
                }
            }
            Kind::Failed | Kind::Crashed => self.record_failure(now, now, ratio, prior),
            Kind::Stalled | Kind::LostToHedge | Kind::TimedOut | Kind::Abandoned => {
                self.observe_silence(now, elapsed, ratio, prior);
            }
            Kind::Unreachable if self.note_unreachable(reporter) => {
                self.record_failure(now, now, ratio, prior);
            }
            Kind::Unreachable | Kind::Shed => {}
        }
    }

    /// The probability that the endpoint is unhealthy, updated by `ratio`, the likelihood ratio of
    /// its open requests.
    pub(crate) fn p_unhealthy_given(&self, now: Time, ratio: f64, prior: f64) -> f64 {
        let p_unhealthy = self.p_unhealthy(now, prior);
        p_unhealthy * ratio / (p_unhealthy * ratio + 1.0 - p_unhealthy)
    }

    /// The probability that the endpoint is unhealthy.
    pub(crate) fn p_unhealthy(&self, now: Time, prior: f64) -> f64 {
        let kept = (-now.seconds_since(self.at) / EVIDENCE_DECAY_S).exp();
        prior + (self.p_unhealthy - prior) * kept
    }

    /// Age of the latest outcome.
    pub(crate) fn evidence_age(&self, now: Time) -> Duration {
        now.since(self.at)
    }

    /// Whether the latest outcome is recent enough to count as evidence.
    pub(crate) fn is_recent(&self, now: Time) -> bool {
        self.evidence_age(now).as_secs_f64() < EVIDENCE_DECAY_S
    }

    /// Time since the last failure of the endpoint, or `None` if it never failed.
    pub(crate) fn since_failure(&self, now: Time) -> Option<Duration> {
        self.failed_at.map(|it| now.since(it))
    }

    /// How the endpoint is used now.
    pub(crate) fn usage(&self, now: Time, pressure: Pressure, prior: f64) -> Use {
        self.usage_at(self.p_unhealthy(now, prior), now, pressure)
    }

    /// Like [`Self::usage`], for a probability that the caller has already computed.
    pub(crate) fn usage_at(&self, p_unhealthy: f64, now: Time, pressure: Pressure) -> Use {
        match p_unhealthy {
            it if it < FREELY_BELOW => Use::Freely,
            it if it < SINGLY_BELOW => Use::Singly,
            _ if self.failed_before(now, pressure.retry_failed_after()) => Use::Singly,
            it if it < CAUTIOUSLY_BELOW => Use::Cautiously,
            _ => Use::Last,
        }
    }

    /// Whether the last failure, if any, is longer ago than `age`.
    pub(crate) fn failed_before(&self, now: Time, age: Duration) -> bool {
        self.failed_at.is_none_or(|it| now.since(it) > age)
    }

    /// Records a failure that happened at `at` and became known at `now`.
    fn record_failure(&mut self, now: Time, at: Time, ratio: f64, prior: f64) {
        self.update_odds(now, ratio, prior);
        self.failed_at = self.failed_at.max(Some(at));
    }

    /// Applies an unanswered request that was open for `elapsed`. The failure is dated at the send:
    /// a timeout is no evidence for the time after the send.
    fn observe_silence(&mut self, now: Time, elapsed: Duration, ratio: f64, prior: f64) {
        match ratio > SILENCE_RATIO {
            true => self.record_failure(now, now - elapsed, ratio, prior),
            false => self.update_odds(now, ratio, prior),
        }
    }

    /// Multiplies the odds by a likelihood ratio (unhealthy against healthy).
    fn update_odds(&mut self, now: Time, ratio: f64, prior: f64) {
        let p_unhealthy = self.p_unhealthy(now, prior);
        let odds = p_unhealthy / (1.0 - p_unhealthy) * ratio;
        self.p_unhealthy = (odds / (1.0 + odds)).clamp(P_BOUNDS.0, P_BOUNDS.1);
        self.at = now;
    }

    /// Records that `reporter` could not reach the endpoint. Returns whether at least
    /// [`MIN_UNREACHED_NODES`] nodes in a row could not.
    fn note_unreachable(&mut self, reporter: Reporter) -> bool {
        let (last, count) = self.unreached_by.unwrap_or((reporter, 0));
        let is_other_node = count == 0 || last.node != reporter.node;
        let count = count + u32::from(is_other_node);
        self.unreached_by = Some((reporter, count));
        count >= MIN_UNREACHED_NODES
    }
}
