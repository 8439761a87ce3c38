//! Sends to rate-limited endpoints.
//!
//! An overloaded endpoint may take only a few requests a second, while its free slots would attract
//! as many as those of any other endpoint. It receives work up to its limit, and the estimate of
//! the service's capacity for queued requests counts it with its limit.

use std::time::Duration;

use super::load::EndpointLoad;
use super::{Dispatcher, Precedence};
use crate::permit::Ask;
use crate::rate_limit::ObservedLimit;
use crate::time::Time;

impl Dispatcher {
    /// Records that a request of this node goes to an endpoint whose slot another dispatcher
    /// granted.
    pub fn sent_elsewhere(&mut self, now: Time, id: &str) {
        if let Some(endpoint) = self.detector.rotation.position(id) {
            self.loads[endpoint].advertised.pacer.sent_elsewhere(now);
        }
    }

    /// Rate limits that this node has received recently, latest first.
    pub fn received_limits(&self, now: Time) -> Vec<ObservedLimit> {
        let all = self.endpoints().iter().zip(&self.loads);
        let mut limits: Vec<_> = all
            .filter_map(|(it, load)| load.advertised.pacer.observed_limit(now, it.addr))
            .collect();
        limits.sort_by_key(|it| it.age_ms);
        limits.truncate(Ask::MAX_LIMITS);
        limits
    }

    /// Takes over the limits that an asker has received, and its sends under them.
    pub(super) fn take_over_limits(&mut self, now: Time, ask: &Ask) {
        let before = |ms: u32| now - Duration::from_millis(ms.into());
        for it in &ask.limits {
            let all = self.detector.rotation.endpoints().iter().zip(&mut self.loads);
            for (_, load) in all.filter(|(status, _)| status.addr == it.endpoint) {
                load.advertised.pacer.observe(now, before(it.age_ms), Some(it.limit));
                it.sent_ms
                    .map(before)
                    .into_iter()
                    .for_each(|at| load.advertised.pacer.asker_sent(at));
            }
        }
    }

    /// Whether any endpoint is under a rate limit.
    pub fn has_limits(&self, now: Time) -> bool {
        self.loads.iter().any(|it| it.advertised.pacer.effective_limit(now).is_some())
    }

    /// Applies the registry's warm-up times of cold endpoints. When the evacuation of a failure
    /// domain ends, its endpoints are taken for cold as well until the registry reports their
    /// warm-up time.
    pub(super) fn update_cold_limits(&mut self, now: Time) {
        let Some(rate) = self.cold_rate else { return };
        for (it, load) in self.detector.rotation.endpoints().iter().zip(&mut self.loads) {
            let before = std::mem::replace(&mut load.registered_warm_up, it.warm_up);
            let was_evacuated = std::mem::replace(&mut load.was_evacuated, it.is_evacuated);
            let pacer = &mut load.advertised.pacer;
            if before != it.warm_up {
                match it.warm_up.is_zero() {
                    true => pacer.mark_warm(),
                    false => pacer.mark_cold(now, rate, now + it.warm_up),
                }
            }
            if was_evacuated && !it.is_evacuated && !pacer.is_cold(now) {
                pacer.mark_cold(now, rate, now + self.warm_up);
            }
        }
    }

    /// Number of dispatchers that may send under the limit of an endpoint at the same time, each
    /// with an equal share of it. The first choice in the endpoint's region uses the whole limit;
    /// the shares of the others are so small that together they hardly exceed one more limit.
    pub(super) fn sharers(&self, load: &EndpointLoad) -> usize {
        match self.precedence {
            Precedence::First if !self.is_in_other_region(load) => 1,
            _ => self.nodes,
        }
    }
}
