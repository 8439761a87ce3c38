//! Sends to endpoints that name a rate limit.
//!
//! Answers what load it saves: an endpoint in need that takes a few requests a second, while its free slots would draw as many as
//! any other's. It keeps its work up to the limit, and what the limit takes from the service's capacity counts for
//! everyone who waits.

use std::time::Duration;

use super::load::Load;
use super::{Dispatcher, Precedence};
use crate::permit::Ask;
use crate::rate_limit::ObservedLimit;
use crate::time::Time;

impl Dispatcher {
    /// Learns that a request of this node goes to an endpoint on the word of another dispatcher.
    pub fn sent_elsewhere(&mut self, now: Time, id: &str) {
        if let Some(endpoint) = self.judge.rotation.position(id) {
            self.loads[endpoint].said.pace.sent_elsewhere(now);
        }
    }

    /// The rate limits that this node has heard of lately, the latest first.
    pub fn heard_limits(&self, now: Time) -> Vec<ObservedLimit> {
        let all = self.endpoints().iter().zip(&self.loads);
        let mut told: Vec<_> =
            all.filter_map(|(it, load)| load.said.pace.observed_limit(now, it.addr)).collect();
        told.sort_by_key(|it| it.age_ms);
        told.truncate(Ask::MAX_LIMITS);
        told
    }

    /// Takes in the limits that an asker has heard of, and its sends under them.
    pub(super) fn hear_limits(&mut self, now: Time, ask: &Ask) {
        let before = |ms: u32| now - Duration::from_millis(ms.into());
        for it in &ask.limits {
            let all = self.judge.rotation.endpoints().iter().zip(&mut self.loads);
            for (_, load) in all.filter(|(status, _)| status.addr == it.endpoint) {
                load.said.pace.observe(now, before(it.age_ms), Some(it.limit));
                it.sent_ms.map(before).into_iter().for_each(|at| load.said.pace.asker_sent(at));
            }
        }
    }

    /// Whether an endpoint is under a rate limit.
    pub fn has_limits(&self, now: Time) -> bool {
        self.loads.iter().any(|it| it.said.pace.effective_limit(now).is_some())
    }

    /// Follows what the registry tells of cold endpoints. One in a failure domain whose evacuation ends may be cold too:
    /// its next word is still to come.
    pub(super) fn chill(&mut self, now: Time) {
        let Some(rate) = self.cold_rate else { return };
        for (it, load) in self.judge.rotation.endpoints().iter().zip(&mut self.loads) {
            let told = std::mem::replace(&mut load.told_warm_up, it.warm_up);
            let was_evacuated = std::mem::replace(&mut load.was_evacuated, it.is_evacuated);
            let pace = &mut load.said.pace;
            if told != it.warm_up {
                match it.warm_up.is_zero() {
                    true => pace.mark_warm(),
                    false => pace.mark_cold(now, rate, now + it.warm_up),
                }
            }
            if was_evacuated && !it.is_evacuated && !pace.is_cold(now) {
                pace.mark_cold(now, rate, now + self.warm_up);
            }
        }
    }

    /// Dispatchers that may send under the limit of an endpoint at the same time, each with an equal part. The first choice in
    /// the endpoint's region has all of it: parts of the others are so small that they hardly add up to as much again.
    pub(super) fn sharers(&self, load: &Load) -> usize {
        match self.precedence {
            Precedence::First if !self.is_elsewhere(load) => 1,
            _ => self.nodes,
        }
    }
}
