//! The time within which failures arrive from the unhealthy endpoints of a service.
//!
//! An unhealthy endpoint that fails its requests does so at the start of the work. A send that has
//! been open for longer than nearly all failures take is therefore at little risk, and the risk at a
//! doubtful endpoint is the number of its younger sends. This holds only where unhealthy endpoints
//! fail. Where they hang, an old send is no evidence of health; the share of the requests at
//! unhealthy endpoints that outlive the failure time tells the two apart.

use std::time::Duration;

use crate::time::Time;

/// Buckets of the histogram: two for each doubling from 1 ms on, up to 4 s.
const BUCKETS: usize = 24;
/// Quantile of the failures' ages that is the failure time. Random failures at healthy endpoints,
/// which happen at any age, are a few percent of those that are counted.
const QUANTILE: f64 = 0.9;
/// Failures needed before ages are evidence.
const MIN_FAILURES: f64 = 8.0;
/// Time constant of the decay of older outcomes, in seconds: about one episode of gray failures. Where
/// failures turn into hangs, age counts as evidence for about this long.
const MEMORY_S: f64 = 8.0;
/// Lower bound of the failure time: outcomes are reported by other nodes, and scheduling delays of a
/// node with a tenth of a core are some tens of milliseconds.
const MIN_FAILURE_TIME: Duration = Duration::from_millis(25);
/// Upper bound. Where failures take longer, requests are answered sooner than they fail, and age
/// says little.
const MAX_FAILURE_TIME: Duration = Duration::from_secs(2);
/// Share of the requests at unhealthy endpoints that may outlive the failure time. Above it, an old
/// send is weak evidence.
const MAX_SURVIVING_SHARE: f64 = 0.25;
/// Likelihood ratio (unhealthy against healthy) of a send that has outlived the failure time, an
/// upper bound while at most [`MAX_SURVIVING_SHARE`] of them do and few healthy ones have ended.
pub(super) const SURVIVAL_RATIO: f64 = 0.3;

/// Ages of failures at unhealthy endpoints, and the number of requests there that did not fail.
#[derive(Clone, Debug, Default)]
pub(super) struct FailureTime {
    /// Failures by age.
    failures: [f64; BUCKETS],
    /// Requests that were answered, or were silent for unusually long.
    surviving: f64,
    /// Time up to which the counts have decayed.
    at: Time,
}

impl FailureTime {
    /// Records that a request at an unhealthy endpoint failed at the given age.
    pub(super) fn note_failure(&mut self, now: Time, age: Duration) {
        self.decay(now);
        let half_doublings = (age.as_secs_f64() * 1e3).max(1.0).log2() * 2.0;
        self.failures[(half_doublings as usize).min(BUCKETS - 1)] += 1.0;
    }

    /// Records that a request at an unhealthy endpoint did not fail.
    pub(super) fn note_survival(&mut self, now: Time) {
        self.decay(now);
        self.surviving += 1.0;
    }

    /// Age from which on an open send is evidence of health; `None` if age is no evidence, because
    /// too few failures are known or too many requests outlive them.
    pub(super) fn get(&self) -> Option<Duration> {
        let total: f64 = self.failures.iter().sum();
        let is_known = total >= MIN_FAILURES;
        if !is_known || self.surviving > MAX_SURVIVING_SHARE * (total + self.surviving) {
            return None;
        }
        let mut below = 0.0;
        let bucket = self.failures.iter().position(|it| {
            below += it;
            below >= QUANTILE * total
        })?;
        let upper_edge = Duration::from_secs_f64(1e-3 * 2f64.powf((bucket + 1) as f64 / 2.0));
        (upper_edge <= MAX_FAILURE_TIME).then_some(upper_edge.max(MIN_FAILURE_TIME))
    }

    /// Forgets everything, after a pause of the process in which outcomes were missed.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    fn decay(&mut self, now: Time) {
        let kept = (-now.seconds_since(self.at) / MEMORY_S).exp();
        self.failures.iter_mut().chain([&mut self.surviving]).for_each(|it| *it *= kept);
        self.at = now;
    }
}
