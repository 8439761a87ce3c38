//! Rate limits of endpoints and the pacing of sends under them. Limits come from overloaded
//! endpoints, which state them in their answers, and from the service, which states a rate for cold
//! endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Time;

/// Lowest rate of sends, in requests a second, under any limit: only an answer can lift the limit.
const MIN_RATE_PER_S: f64 = 0.25;
/// A limit is passed on to other nodes for this long after the answer that stated it. While the
/// limit lasts, later answers state it again.
const PASS_ON_TIME: Duration = Duration::from_secs(10);

/// Requests a second that an endpoint accepts from all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RateLimit(f64);

impl RateLimit {
    /// A limit in requests a second; `None` unless the number is finite and not negative.
    pub fn from_per_second(it: f64) -> Option<Self> {
        (it.is_finite() && it >= 0.0).then_some(Self(it))
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Time between two sends of one dispatcher when `sharers` dispatchers send under this limit.
    fn interval(self, sharers: usize) -> Duration {
        Duration::from_secs_f64(sharers.max(1) as f64 / self.0.max(MIN_RATE_PER_S))
    }
}

/// A rate limit that the asker of a slot has observed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObservedLimit {
    /// Address of the endpoint.
    pub endpoint: SocketAddr,
    /// The limit.
    pub limit: RateLimit,
    /// Time since the answer that stated the limit, in milliseconds.
    pub age_ms: u32,
    /// Time since the asker last sent to the endpoint, in milliseconds.
    pub sent_ms: Option<u32>,
}

/// Spaces the sends of one dispatcher to one endpoint according to its rate limit.
///
/// A dispatcher that takes over from another one does not know the sends of that one. Therefore at
/// most one send is ever saved up, and askers report their own sends.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pacer {
    /// The limit that the endpoint has stated.
    limit: Option<RateLimit>,
    /// The rate for the cold endpoint, and until when it is cold.
    cold: Option<(RateLimit, Time)>,
    /// When the latest answer arrived that stated a limit or the absence of one.
    stated_at: Option<Time>,
    /// Scheduled time of the latest send under the limit. The next send is due one interval later,
    /// with the interval of the limit that then applies.
    last_scheduled: Time,
    /// The latest send by this node itself.
    last_sent: Option<Time>,
}

impl Pacer {
    /// The limit that the endpoint has stated.
    pub(crate) fn limit(&self) -> Option<RateLimit> {
        self.limit
    }

    /// The effective limit: the lower one of the stated limit and the rate for cold endpoints.
    pub(crate) fn effective_limit(&self, now: Time) -> Option<RateLimit> {
        match (self.limit, self.cold_rate(now)) {
            (Some(stated), Some(cold)) if cold < stated => Some(cold),
            (stated, cold) => stated.or(cold),
        }
    }

    /// Whether the endpoint is cold.
    pub(crate) fn is_cold(&self, now: Time) -> bool {
        self.cold_rate(now).is_some()
    }

    /// The rate for the endpoint while it is cold.
    fn cold_rate(&self, now: Time) -> Option<RateLimit> {
        self.cold.filter(|(_, until)| now < *until).map(|(rate, _)| rate)
    }

    /// Marks the endpoint as cold until `until`.
    pub(crate) fn mark_cold(&mut self, now: Time, rate: RateLimit, until: Time) {
        if self.effective_limit(now).is_none() {
            self.last_scheduled = now;
        }
        self.cold = Some((rate, until));
    }

    /// Marks the endpoint as warm.
    pub(crate) fn mark_warm(&mut self) {
        self.cold = None;
    }

    /// Number of slots kept busy by sends at the rate of the limit, each for `hold`; `None` without
    /// a limit.
    pub(crate) fn slots(&self, now: Time, hold: Duration) -> Option<f64> {
        self.effective_limit(now).map(|it| it.per_second() * hold.as_secs_f64())
    }

    /// Applies what an answer that arrived at `stated_at` stated, unless a later answer is known.
    /// Returns whether the limit changes.
    pub(crate) fn observe(&mut self, now: Time, stated_at: Time, limit: Option<RateLimit>) -> bool {
        if self.stated_at.is_some_and(|it| it > stated_at) {
            return false;
        }
        self.stated_at = Some(stated_at);
        if self.effective_limit(now).is_none() {
            self.last_scheduled = now;
        }
        let previous = std::mem::replace(&mut self.limit, limit);
        previous != limit
    }

    /// Whether the limit allows a send now.
    pub(crate) fn allows(&self, now: Time, sharers: usize) -> bool {
        self.effective_limit(now).is_none_or(|it| now >= self.last_scheduled + it.interval(sharers))
    }

    /// Records a send.
    pub(crate) fn sent(&mut self, now: Time, sharers: usize) {
        self.last_sent = Some(now);
        if let Some(limit) = self.effective_limit(now) {
            let interval = limit.interval(sharers);
            self.last_scheduled = (self.last_scheduled + interval).max(now - interval);
        }
    }

    /// Records a send by this node for which another dispatcher granted the slot.
    pub(crate) fn sent_elsewhere(&mut self, now: Time) {
        self.last_sent = Some(now);
    }

    /// Records a send by an asker at `sent`, whichever dispatcher granted the slot.
    pub(crate) fn asker_sent(&mut self, sent: Time) {
        self.last_scheduled = self.last_scheduled.max(sent);
    }

    /// The stated limit in the form passed on to other nodes; `None` if it is too old.
    pub(crate) fn observed_limit(&self, now: Time, endpoint: SocketAddr) -> Option<ObservedLimit> {
        let (limit, age) = (self.limit?, now.since(self.stated_at?));
        let ms = |it: Duration| it.as_millis() as u32;
        let sent_ms = self.last_sent.map(|it| ms(now.since(it)));
        let observed = ObservedLimit { endpoint, limit, age_ms: ms(age), sent_ms };
        (age < PASS_ON_TIME).then_some(observed)
    }
}
