//! Latencies and failure rate of one route's requests at healthy endpoints.

use std::time::Duration;

/// Buckets of the latency histogram: two for each doubling from 64 µs on.
const BUCKETS: usize = 48;
/// Samples needed before the histogram's quantile is used.
const MIN_SAMPLES: f64 = 100.0;
/// Share of healthy answers that may count as late.
const LATE_SHARE: f64 = 0.02;
/// Prior share of healthy answers within the route's objective.
const WITHIN_OBJECTIVE: f64 = 0.9;
/// Weight of that prior, in answers.
const WITHIN_OBJECTIVE_WEIGHT: f64 = 3.0;
/// Lower bound of the share of healthy requests still open at any age: some requests take very
/// long.
const MIN_STILL_OPEN: f64 = 0.005;
/// Prior share of requests that fail at healthy endpoints.
pub(super) const PRIOR_FAILURE_RATE: f64 = 0.0125;
/// Weight of [`PRIOR_FAILURE_RATE`], in requests.
const PRIOR_FAILURE_RATE_WEIGHT: f64 = 60.0;
/// Lower bound of the share of failures: rare failures are observed too seldom to count them.
const MIN_FAILURE_RATE: f64 = 0.004;
/// A request is late enough for a hedge when at most this share of the healthy requests is still
/// open.
const HEDGE_STILL_OPEN: f64 = 0.2;
/// Number of ages, up to the latest start of a hedge, that are examined.
const HEDGE_STEPS: u32 = 24;
/// Fraction of the objective after which a hedge starts at the latest, so that its answer can still
/// arrive in time.
const HEDGE_OBJECTIVE_FRACTION: f64 = 0.5;
/// Samples below which a route counts as unused.
const MIN_RETAINED_SAMPLES: f64 = 0.01;
/// Lower bound of the late threshold.
const MIN_LATE_AFTER: Duration = Duration::from_millis(5);

/// Latencies of one route.
#[derive(Clone, Debug)]
pub(super) struct Latency {
    objective: Duration,
    /// No sample has been added since the last reset.
    is_empty: bool,
    /// Answers by latency.
    histogram: [f32; BUCKETS],
    /// Unanswered requests at healthy endpoints, by the time after which they were given up.
    unanswered: [f32; BUCKETS],
    /// Failed requests at healthy endpoints.
    failed: f64,
    /// Answers above the lower edge of each bucket, as of the last refresh.
    above: [f32; BUCKETS + 1],
    /// Unanswered requests above the lower edge of each bucket, as of the last refresh.
    unanswered_above: [f32; BUCKETS + 1],
    /// Answers that take longer are late.
    pub(super) late_after: Duration,
    /// Requests that are open for longer are hedged.
    pub(super) hedge_after: Duration,
}

impl Latency {
    pub(super) fn new(objective: Duration) -> Self {
        Self {
            objective,
            is_empty: true,
            histogram: [0.0; BUCKETS],
            unanswered: [0.0; BUCKETS],
            failed: 0.0,
            above: [0.0; BUCKETS + 1],
            unanswered_above: [0.0; BUCKETS + 1],
            late_after: objective,
            hedge_after: objective.mul_f64(HEDGE_OBJECTIVE_FRACTION),
        }
    }

    /// Applies a change of the route's objective.
    pub(super) fn set_objective(&mut self, objective: Duration) {
        self.objective = objective;
        self.hedge_after = self.find_hedge_after();
    }

    /// Adds an answer.
    pub(super) fn add_answer(&mut self, elapsed: Duration) {
        self.histogram[bucket(elapsed)] += 1.0;
        self.is_empty = false;
    }

    /// Adds an unanswered request, weighted by the probability that its endpoint is healthy.
    pub(super) fn add_unanswered(&mut self, elapsed: Duration, p_healthy: f64) {
        self.unanswered[bucket(elapsed)] += p_healthy as f32;
        self.is_empty = false;
    }

    /// Adds a failed request, weighted by the probability that its endpoint is healthy.
    pub(super) fn add_failed(&mut self, p_healthy: f64) {
        self.failed += p_healthy;
        self.is_empty = false;
    }

    /// Decays the samples and recomputes everything derived from them. Routes without samples,
    /// which are most of them, cost nothing.
    pub(super) fn refresh(&mut self, keep: f64) {
        if self.is_empty {
            return;
        }
        for it in self.histogram.iter_mut().chain(&mut self.unanswered) {
            *it *= keep as f32;
        }
        self.failed *= keep;
        for i in (0..BUCKETS).rev() {
            self.above[i] = self.above[i + 1] + self.histogram[i];
            self.unanswered_above[i] = self.unanswered_above[i + 1] + self.unanswered[i];
        }
        if let Some(quantile) = quantile(&self.histogram) {
            self.late_after = quantile.max(MIN_LATE_AFTER);
        }
        self.hedge_after = self.find_hedge_after();
        let all = f64::from(self.above[0] + self.unanswered_above[0]) + self.failed;
        if all < MIN_RETAINED_SAMPLES {
            *self = Self { late_after: self.late_after, ..Self::new(self.objective) };
        }
    }

    /// The age at which few healthy requests are still open.
    fn find_hedge_after(&self) -> Duration {
        let latest = self.objective.mul_f64(HEDGE_OBJECTIVE_FRACTION);
        let is_late = |it: &Duration| self.still_open(*it) <= HEDGE_STILL_OPEN;
        let steps = (1..HEDGE_STEPS).map(|it| latest * it / HEDGE_STEPS);
        steps.into_iter().find(is_late).unwrap_or(latest)
    }

    /// Share of requests at healthy endpoints that fail.
    pub(super) fn failure_rate(&self) -> f64 {
        let all = f64::from(self.above[0]) + self.failed + PRIOR_FAILURE_RATE_WEIGHT;
        ((self.failed + PRIOR_FAILURE_RATE * PRIOR_FAILURE_RATE_WEIGHT) / all).max(MIN_FAILURE_RATE)
    }

    /// Share of healthy requests that are open for longer than `elapsed`, from the answers and from
    /// the requests given up later (Kaplan and Meier, 1958, without those given up earlier).
    pub(super) fn still_open(&self, elapsed: Duration) -> f64 {
        let in_objectives = elapsed.as_secs_f64() / self.objective.as_secs_f64().max(1e-3);
        let expected = (1.0 - WITHIN_OBJECTIVE).powf(in_objectives);
        let at = position(elapsed);
        let (i, fraction) = (at as usize, at.fract());
        let above =
            f64::from(self.above[i]) * (1.0 - fraction) + f64::from(self.above[i + 1]) * fraction;
        let given_up = f64::from(self.unanswered_above[i]);
        let share = (above + given_up + WITHIN_OBJECTIVE_WEIGHT * expected)
            / (f64::from(self.above[0]) + given_up + WITHIN_OBJECTIVE_WEIGHT);
        share.max(MIN_STILL_OPEN)
    }
}

/// Position of a latency among the buckets; the fraction is the position within the bucket.
fn position(elapsed: Duration) -> f64 {
    let units = (elapsed.as_micros() as f64 / 64.0).max(1.0);
    (units.log2() * 2.0).min(BUCKETS as f64 - 1.0)
}

fn bucket(elapsed: Duration) -> usize {
    position(elapsed) as usize
}

fn upper_edge(bucket: usize) -> Duration {
    Duration::from_micros((64.0 * 2f64.powf((bucket + 1) as f64 / 2.0)) as u64)
}

/// The smallest bucket edge that at most `LATE_SHARE` of the samples exceed.
fn quantile(histogram: &[f32; BUCKETS]) -> Option<Duration> {
    let total: f64 = histogram.iter().map(|it| f64::from(*it)).sum();
    if total < MIN_SAMPLES {
        return None;
    }
    let mut above = 0.0;
    for i in (0..BUCKETS).rev() {
        above += f64::from(histogram[i]);
        if above > total * LATE_SHARE {
            return Some(upper_edge(i));
        }
    }
    None
}
