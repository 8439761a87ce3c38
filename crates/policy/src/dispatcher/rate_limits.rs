//! Sends to rate-limited endpoints.
//!
//! An overloaded endpoint may take only a few requests a second, while its free slots would attract
//! as many as those of any other endpoint. It receives work up to its limit, and the estimate of
//! the service's capacity for queued requests counts it with its limit.

use std::time::Duration;

use super::load::Load;
use super::{Dispatcher, Precedence};
use crate::permit::Ask;
use crate::rate_limit::HeardLimit;
use crate::time::Time;

impl Dispatcher {
    /// Records that a request of this node goes to an endpoint whose slot another dispatcher
    /// granted.
    pub fn sent_elsewhere(&mut self, now: Time, id: &str) {
        if let Some(endpoint) = self.judge.rotation.position(id) {
            self.loads[endpoint].said.pace.sent_elsewhere(now);
        }
    }

    /// Rate limits that this node has received recently, latest first.
    pub fn received_limits(&self, now: Time) -> Vec<HeardLimit> {
        let all = self.endpoints().iter().zip(&self.loads);
        let mut told: Vec<_> =
            all.filter_map(|(it, load)| load.said.pace.told(now, it.addr)).collect();
        told.sort_by_key(|it| it.age_ms);
        told.truncate(Ask::MAX_LIMITS);
        told
    }

    /// Takes over the limits that an asker has received, and its sends under them.
    pub(super) fn hear_limits(&mut self, now: Time, ask: &Ask) {
        let before = |ms: u32| now - Duration::from_millis(ms.into());
        for it in &ask.limits {
            let all = self.judge.rotation.endpoints().iter().zip(&mut self.loads);
            for (_, load) in all.filter(|(status, _)| status.addr == it.endpoint) {
                load.said.pace.hear(now, before(it.age_ms), Some(it.limit));
                it.sent_ms.map(before).into_iter().for_each(|at| load.said.pace.asker_sent(at));
            }
        }
    }

    /// Whether any endpoint is under a rate limit.
    pub fn has_limits(&self, now: Time) -> bool {
        self.loads.iter().any(|it| it.said.pace.bound(now).is_some())
    }

    /// Applies the registry's warm-up times of cold endpoints. When the evacuation of a failure
    /// domain ends, its endpoints are taken for cold as well until the registry reports their
    /// warm-up time.
    pub(super) fn chill(&mut self, now: Time) {
        let Some(rate) = self.cold_rate else { return };
        for (it, load) in self.judge.rotation.endpoints().iter().zip(&mut self.loads) {
            let told = std::mem::replace(&mut load.told_warm_up, it.warm_up);
            let was_evacuated = std::mem::replace(&mut load.was_evacuated, it.is_evacuated);
            let pace = &mut load.said.pace;
            if told != it.warm_up {
                match it.warm_up.is_zero() {
                    true => pace.warm(),
                    false => pace.chill(now, rate, now + it.warm_up),
                }
            }
            if was_evacuated && !it.is_evacuated && !pace.is_cold(now) {
                pace.chill(now, rate, now + self.warm_up);
            }
        }
    }

    /// Number of dispatchers that may send under the limit of an endpoint at the same time, each
    /// with an equal share of it. The first choice in the endpoint's region uses the whole limit;
    /// the shares of the others are so small that together they hardly exceed one more limit.
    pub(super) fn sharers(&self, load: &Load) -> usize {
        match self.precedence {
            Precedence::First if !self.is_elsewhere(load) => 1,
            _ => self.nodes,
        }
    }
}
