//! The normal behaviour of a service: how long its answers take and how often outcomes are bad.
//!
//! Both are pooled over the endpoints in good standing and decay with time, so that an endpoint is
//! always compared with its siblings over the last seconds.

mod latency;

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::class::Class;
use crate::observation::Kind;
use latency::{Latency, PRIOR_FAILURE_RATE};

/// A request is stalled when it has been open for this many late thresholds. With three, a hanging
/// request was noticed only after the deadlines of the operators' routes.
const STALL_FACTOR: u32 = 2;
/// On a route where more than this share of healthy requests is still open at some age, an open
/// request of that age is no evidence.
const MAX_STILL_OPEN: f64 = 0.25;
/// Late threshold of a route that this node does not know yet.
const UNKNOWN_LATE_AFTER: Duration = Duration::from_millis(600);

/// Weight of the prior shares, in samples.
const PRIOR_SAMPLES: f64 = 400.0;
/// Prior shares of late, stalled, failed and shed outcomes.
const PRIOR_SHARE: [f64; 4] = [0.02, 0.0005, 0.002, 0.05];
/// Lower bounds of the estimated shares.
const MIN_SHARE: [f64; 4] = [0.015, 0.0005, 0.001, 0.01];

/// Counts of good, late, stalled, failed and shed outcomes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Tally {
    /// Complete answers in time.
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

/// Terms of a route that leads to a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteTerms {
    /// Hash of the route's name.
    pub id: u32,
    /// The route's objective: answers that take longer are of less use to the caller.
    pub objective: Duration,
    /// Share of the route's requests that this service receives; the others go to other services.
    pub share: f64,
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
        self.routes.get(&route).map_or(UNKNOWN_LATE_AFTER, |it| it.late_after)
    }

    /// Share of the route's healthy requests that are still open after `elapsed`. Before enough
    /// answers are known, the objective determines the result.
    pub(crate) fn still_open(&self, route: u32, elapsed: Duration) -> f64 {
        self.routes.get(&route).map_or(1.0, |it| it.still_open(elapsed))
    }

    /// Share of the route's requests that fail at healthy endpoints.
    pub(crate) fn failure_rate(&self, route: u32) -> f64 {
        self.routes.get(&route).map_or(PRIOR_FAILURE_RATE, Latency::failure_rate)
    }

    /// Requests of the route that are open for longer than this are stalled.
    pub(crate) fn stall_after(&self, route: u32) -> Duration {
        self.late_after(route) * STALL_FACTOR
    }

    /// Requests of the route that are open for longer than this are hedged.
    pub(crate) fn hedge_after(&self, route: u32) -> Duration {
        self.routes.get(&route).map_or(UNKNOWN_LATE_AFTER, |it| it.hedge_after)
    }

    /// The class of an outcome, or `None` if the outcome is no evidence.
    pub(crate) fn class_of(&self, kind: Kind, route: u32, elapsed: Duration) -> Option<Class> {
        let is_late = elapsed > self.late_after(route);
        let is_silence = matches!(kind, Kind::Stalled | Kind::TimedOut | Kind::Abandoned);
        if is_silence && self.still_open(route, elapsed) > MAX_STILL_OPEN {
            return None;
        }
        match kind {
            Kind::Answered if !is_late => Some(Class::Good),
            Kind::Answered | Kind::LostToHedge => Some(Class::Late),
            Kind::TimedOut if elapsed > self.stall_after(route) => Some(Class::Stalled),
            Kind::Abandoned | Kind::TimedOut => is_late.then_some(Class::Late),
            Kind::Stalled => Some(Class::Stalled),
            Kind::Failed | Kind::Crashed | Kind::Unreachable => Some(Class::Failed),
            Kind::Shed => Some(Class::Shed),
        }
    }

    /// Normal shares of late, stalled, failed and shed outcomes.
    pub(crate) fn shares(&self) -> [f64; 4] {
        let total = self.tally.total() + PRIOR_SAMPLES;
        std::array::from_fn(|i| {
            let share = (self.tally.bad[i] + PRIOR_SAMPLES * PRIOR_SHARE[i]) / total;
            share.max(MIN_SHARE[i])
        })
    }

    /// Applies a new set of routes and keeps what is known of those that remain.
    pub(crate) fn retain_routes(&mut self, routes: &[RouteTerms]) {
        self.routes.retain(|id, _| routes.iter().any(|it| it.id == *id));
        for it in routes {
            let known = self.routes.entry(it.id).or_insert_with(|| Latency::new(it.objective));
            known.set_objective(it.objective);
        }
    }

    /// Adds an outcome and, for an answer, its latency.
    pub(crate) fn add(&mut self, route: u32, class: Class, answered: Option<Duration>) {
        self.tally.add(class);
        let Some(elapsed) = answered else { return };
        if let Some(latency) = self.routes.get_mut(&route) {
            latency.add_answer(elapsed);
        }
    }

    /// Adds an unanswered request, weighted by the probability that its endpoint is healthy.
    pub(crate) fn add_unanswered(&mut self, route: u32, elapsed: Duration, p_healthy: f64) {
        if let Some(latency) = self.routes.get_mut(&route) {
            latency.add_unanswered(elapsed, p_healthy);
        }
    }

    /// Adds a failed request, weighted by the probability that its endpoint is healthy.
    pub(crate) fn add_failed(&mut self, route: u32, p_healthy: f64) {
        if let Some(latency) = self.routes.get_mut(&route) {
            latency.add_failed(p_healthy);
        }
    }

    /// Removes one outcome.
    pub(crate) fn remove(&mut self, class: Class) {
        self.tally.remove(class);
    }

    /// Decays the counts by the factor `keep` and recomputes the late thresholds.
    pub(crate) fn refresh(&mut self, keep: f64) {
        self.tally.decay(keep);
        self.routes.values_mut().for_each(|it| it.refresh(keep));
    }
}
