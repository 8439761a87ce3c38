//! How long requests hold a slot, by route. Routes of one service may differ by a factor of three,
//! so that one mean for all would misjudge both the wait and whether a request can finish in time.

use std::time::Duration;

use rustc_hash::FxHashMap;

/// Weight of a new sample in the moving averages.
const GAIN: f64 = 0.05;
/// Maximum number of routes with an estimate of their own; all others use the mean of the service.
const MAX_ROUTES: usize = 256;

/// The hold time of the requests of one route.
#[derive(Clone, Copy, Debug)]
struct RouteWork {
    /// Moving average, in seconds.
    mean: f64,
    /// Moving estimate of the median, in seconds. A few slow endpoints hardly change it.
    median: f64,
}

/// Hold times by route.
#[derive(Debug, Default)]
pub(super) struct Work {
    by_route: FxHashMap<u32, RouteWork>,
}

impl Work {
    /// Adds the hold time of an answered request.
    pub(super) fn add(&mut self, route: u32, held: Duration) {
        let held = held.as_secs_f64();
        if self.by_route.len() >= MAX_ROUTES && !self.by_route.contains_key(&route) {
            return;
        }
        let it = self.by_route.entry(route).or_insert(RouteWork { mean: held, median: held });
        it.mean += GAIN * (held - it.mean);
        let step = if held > it.median { 1.0 + GAIN } else { 1.0 / (1.0 + GAIN) };
        it.median *= step;
    }

    /// Mean hold time of a request, in seconds; `otherwise` for a route without samples.
    pub(super) fn mean(&self, route: u32, otherwise: Duration) -> f64 {
        self.by_route.get(&route).map_or(otherwise.as_secs_f64(), |it| it.mean)
    }

    /// Hold time that half of the requests of a route stay below. A route without samples gives
    /// zero: nothing is known that would rule out an answer in time.
    pub(super) fn typical(&self, route: u32) -> Duration {
        Duration::from_secs_f64(self.by_route.get(&route).map_or(0.0, |it| it.median))
    }
}
