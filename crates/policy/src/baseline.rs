//! What is normal for a service: how long its answers take and how often they are bad.
//!
//! Both are pooled over the endpoints that are in good standing, and decay, so that an endpoint is
//! always compared with its siblings of the last seconds.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::class::Class;
use crate::observation::Kind;

/// Buckets of the latency histogram: two for each doubling from 64 µs on.
const BUCKETS: usize = 48;
/// Samples needed before the histogram's quantile is used.
const MIN_SAMPLES: f64 = 100.0;
/// Share of healthy answers that may count as late.
const LATE_SHARE: f64 = 0.02;
/// A request is stalled when it is open for this many late thresholds. With three, a request that
/// hangs is noticed after the deadlines of the users' routes.
const STALL_FACTOR: u32 = 2;
/// Part of the healthy answers that are expected within the route's objective before any was seen.
const WITHIN_OBJECTIVE: f64 = 0.9;
/// Weight of that expectation, in answers.
const EXPECTED_WEIGHT: f64 = 3.0;
/// A request is late enough for a hedge when at most this share of the healthy ones is still open. With a
/// tenth the worth of a day is 0.001 less where endpoints hang (48 days), and between 0.004 less and 0.001
/// more where they fail (18 days each).
const HEDGE_SHARE: f64 = 0.2;
/// Ages up to the latest at which a hedge may start that are looked at.
const HEDGE_STEPS: u32 = 24;
/// Part of the objective after which a hedge starts at the latest, so that its answer can still be in
/// time.
const HEDGE_OBJECTIVE_PART: f64 = 0.5;
/// A route on which so many healthy requests are still open tells nothing by silence.
const USUALLY_OPEN: f64 = 0.25;
/// Prior share of requests that fail at well endpoints, its weight in requests, and the least that is
/// believed: rare failures are met too seldom to count them.
const PRIOR_FAILS: f64 = 0.0125;
const PRIOR_FAILS_WEIGHT: f64 = 60.0;
const MIN_FAILS: f64 = 0.004;
/// Healthy answers that may still be to come, whatever was counted: work sometimes takes very long.
const MIN_STILL_OPEN: f64 = 0.005;
/// Late threshold of a route that this node does not know yet.
const LATE_ON_UNKNOWN: Duration = Duration::from_millis(600);
/// Bounds of the late threshold.
const MIN_LATE: Duration = Duration::from_millis(5);

/// Weight of prior knowledge, in samples.
const PRIOR: f64 = 400.0;
/// Prior shares of late, stalled, failed and shed answers.
const PRIOR_SHARE: [f64; 4] = [0.02, 0.0005, 0.002, 0.05];
/// Lowest share that is believed, whatever was counted.
const MIN_SHARE: [f64; 4] = [0.015, 0.0005, 0.001, 0.01];

/// Counts of good, late, stalled, failed and shed outcomes; addition merges them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Tally {
    /// Whole answers in time.
    good: f64,
    /// Late, stalled, failed and shed outcomes.
    bad: [f64; 4],
}

impl Tally {
    pub(crate) fn add(&mut self, class: Class) {
        match class.bad_index() {
            None => self.good += 1.0,
            Some(it) => self.bad[it] += 1.0,
        }
    }

    fn remove(&mut self, class: Class) {
        let count = match class.bad_index() {
            None => &mut self.good,
            Some(it) => &mut self.bad[it],
        };
        *count = (*count - 1.0).max(0.0);
    }

    fn total(&self) -> f64 {
        self.good + self.bad.iter().sum::<f64>()
    }

    fn decay(&mut self, keep: f64) {
        self.good *= keep;
        self.bad.iter_mut().for_each(|it| *it *= keep);
    }
}

/// What is to be known of a route that leads to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteTerms {
    /// Hash of the route's name.
    pub id: u32,
    /// Time within which an answer is worth most to the caller.
    pub objective: Duration,
}

/// Latencies of one route.
#[derive(Clone, Debug)]
struct Latency {
    objective: Duration,
    /// Answers by the time that they took.
    histogram: [f32; BUCKETS],
    /// Requests at well endpoints that were given up without an answer, by the time that they had.
    unanswered: [f32; BUCKETS],
    /// Requests at well endpoints that failed.
    failed: f64,
    /// Answers above the lower edge of each bucket, as of the last refresh.
    above: [f32; BUCKETS + 1],
    /// The same of requests without an answer.
    unanswered_above: [f32; BUCKETS + 1],
    late_after: Duration,
    hedge_after: Duration,
}

impl Latency {
    fn new(objective: Duration) -> Self {
        Self {
            objective,
            histogram: [0.0; BUCKETS],
            unanswered: [0.0; BUCKETS],
            failed: 0.0,
            above: [0.0; BUCKETS + 1],
            unanswered_above: [0.0; BUCKETS + 1],
            late_after: objective,
            hedge_after: objective.mul_f64(HEDGE_OBJECTIVE_PART),
        }
    }

    /// Decays the samples and derives anew what follows from them.
    fn refresh(&mut self, keep: f64) {
        for it in self.histogram.iter_mut().chain(&mut self.unanswered) {
            *it *= keep as f32;
        }
        self.failed *= keep;
        for i in (0..BUCKETS).rev() {
            self.above[i] = self.above[i + 1] + self.histogram[i];
            self.unanswered_above[i] = self.unanswered_above[i + 1] + self.unanswered[i];
        }
        if let Some(quantile) = quantile(&self.histogram) {
            self.late_after = quantile.max(MIN_LATE);
        }
        self.hedge_after = self.find_hedge_after();
    }

    /// The age at which few healthy requests are still open.
    fn find_hedge_after(&self) -> Duration {
        let latest = self.objective.mul_f64(HEDGE_OBJECTIVE_PART);
        let is_late = |it: &Duration| self.still_open(*it) <= HEDGE_SHARE;
        let steps = (1..HEDGE_STEPS).map(|it| latest * it / HEDGE_STEPS);
        steps.into_iter().find(is_late).unwrap_or(latest)
    }

    /// Share of the requests at well endpoints that fail.
    fn fails(&self) -> f64 {
        let all = f64::from(self.above[0]) + self.failed + PRIOR_FAILS_WEIGHT;
        ((self.failed + PRIOR_FAILS * PRIOR_FAILS_WEIGHT) / all).max(MIN_FAILS)
    }

    /// Share of healthy requests that are open for longer than `elapsed`, by answers and by requests
    /// that were given up later (Kaplan and Meier, 1958, with those given up earlier left out).
    fn still_open(&self, elapsed: Duration) -> f64 {
        let in_objectives = elapsed.as_secs_f64() / self.objective.as_secs_f64().max(1e-3);
        let expected = (1.0 - WITHIN_OBJECTIVE).powf(in_objectives);
        let at = position(elapsed);
        let (i, part) = (at as usize, at.fract());
        let above = f64::from(self.above[i]) * (1.0 - part) + f64::from(self.above[i + 1]) * part;
        let given_up = f64::from(self.unanswered_above[i]);
        let share = (above + given_up + EXPECTED_WEIGHT * expected)
            / (f64::from(self.above[0]) + given_up + EXPECTED_WEIGHT);
        share.max(MIN_STILL_OPEN)
    }
}

/// The normal behaviour of a service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Baseline {
    tally: Tally,
    routes: FxHashMap<u32, Latency>,
}

impl Baseline {
    /// Answers of the route that take longer than this are late.
    pub(crate) fn late_after(&self, route: u32) -> Duration {
        self.routes.get(&route).map_or(LATE_ON_UNKNOWN, |it| it.late_after)
    }

    /// Share of the route's healthy requests that are still open after `elapsed`. Until enough answers
    /// are known it rests on the objective.
    pub(crate) fn still_open(&self, route: u32, elapsed: Duration) -> f64 {
        self.routes.get(&route).map_or(1.0, |it| it.still_open(elapsed))
    }

    /// Share of the route's requests that fail at well endpoints.
    pub(crate) fn fails(&self, route: u32) -> f64 {
        self.routes.get(&route).map_or(PRIOR_FAILS, Latency::fails)
    }

    /// Requests of the route that are open for longer than this are stalled.
    pub(crate) fn stall_after(&self, route: u32) -> Duration {
        self.late_after(route) * STALL_FACTOR
    }

    /// Requests of the route that are open for longer than this are hedged.
    pub(crate) fn hedge_after(&self, route: u32) -> Duration {
        self.routes.get(&route).map_or(LATE_ON_UNKNOWN, |it| it.hedge_after)
    }

    /// The class of an outcome; nothing for a request that was abandoned before it was late.
    pub(crate) fn class_of(&self, kind: Kind, route: u32, elapsed: Duration) -> Option<Class> {
        let is_late = elapsed > self.late_after(route);
        let is_silence = matches!(kind, Kind::Stalled | Kind::TimedOut | Kind::Abandoned);
        if is_silence && self.still_open(route, elapsed) > USUALLY_OPEN {
            return None;
        }
        match kind {
            Kind::Answered if !is_late => Some(Class::Good),
            Kind::Answered | Kind::Beaten => Some(Class::Late),
            Kind::TimedOut if elapsed > self.stall_after(route) => Some(Class::Stalled),
            Kind::Abandoned | Kind::TimedOut => is_late.then_some(Class::Late),
            Kind::Stalled => Some(Class::Stalled),
            Kind::Failed | Kind::Unreachable => Some(Class::Failed),
            Kind::Shed => Some(Class::Shed),
        }
    }

    /// Normal shares of late, stalled, failed and shed outcomes.
    pub(crate) fn shares(&self) -> [f64; 4] {
        let total = self.tally.total() + PRIOR;
        std::array::from_fn(|i| {
            let share = (self.tally.bad[i] + PRIOR * PRIOR_SHARE[i]) / total;
            share.max(MIN_SHARE[i])
        })
    }

    /// Keeps the latencies of the routes that still exist.
    pub(crate) fn retain_routes(&mut self, routes: &[RouteTerms]) {
        self.routes.retain(|id, _| routes.iter().any(|it| it.id == *id));
        for it in routes {
            let known = self.routes.entry(it.id).or_insert_with(|| Latency::new(it.objective));
            known.objective = it.objective;
        }
    }

    /// Adds an outcome and, for an answer, its latency.
    pub(crate) fn add(&mut self, route: u32, class: Class, answered: Option<Duration>) {
        self.tally.add(class);
        let Some(elapsed) = answered else { return };
        if let Some(latency) = self.routes.get_mut(&route) {
            latency.histogram[bucket(elapsed)] += 1.0;
        }
    }

    /// Adds a request without an answer, with the probability that its endpoint is well.
    pub(crate) fn add_unanswered(&mut self, route: u32, elapsed: Duration, well: f64) {
        if let Some(latency) = self.routes.get_mut(&route) {
            latency.unanswered[bucket(elapsed)] += well as f32;
        }
    }

    /// Adds a request that failed, with the probability that its endpoint is well.
    pub(crate) fn add_failed(&mut self, route: u32, well: f64) {
        if let Some(latency) = self.routes.get_mut(&route) {
            latency.failed += well;
        }
    }

    /// Takes one outcome out again.
    pub(crate) fn remove(&mut self, class: Class) {
        self.tally.remove(class);
    }

    /// Decays the counts by `keep` and derives the late thresholds anew.
    pub(crate) fn refresh(&mut self, keep: f64) {
        self.tally.decay(keep);
        self.routes.values_mut().for_each(|it| it.refresh(keep));
    }
}

/// Position of a latency among the buckets; its fraction is that of the way through the bucket.
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
