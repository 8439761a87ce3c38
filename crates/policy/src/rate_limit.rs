//! Rate limits of endpoints and the pacing of sends under them. Limits come from overloaded
//! endpoints, which state them in their answers, and from the service, which states a rate for cold
//! endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Time;

/// Lowest rate of sends, in requests a second, under any limit: only an answer can lift the limit.
const LEAST_RATE: f64 = 0.25;
/// A limit is passed on to other nodes for this long after the answer that stated it. While the
/// limit lasts, later answers state it again.
const PASSED_ON_FOR: Duration = Duration::from_secs(10);

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
        Duration::from_secs_f64(sharers.max(1) as f64 / self.0.max(LEAST_RATE))
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
    heard: Option<Time>,
    /// Scheduled time of the latest send under the limit. The next send is due one interval later,
    /// with the interval of the limit that then applies.
    last: Time,
    /// The latest send by this node itself.
    sent: Option<Time>,
}

impl Pacer {
    /// The limit that the endpoint has stated.
    pub(crate) fn limit(&self) -> Option<RateLimit> {
        self.limit
    }

    /// The effective limit: the lower one of the stated limit and the rate for cold endpoints.
    pub(crate) fn bound(&self, now: Time) -> Option<RateLimit> {
        match (self.limit, self.cold_rate(now)) {
            (Some(named), Some(cold)) if cold < named => Some(cold),
            (named, cold) => named.or(cold),
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
        if self.bound(now).is_none() {
            self.last = now;
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
        self.bound(now).map(|it| it.per_second() * hold.as_secs_f64())
    }

    /// Applies what an answer that arrived at `heard` stated, unless a later answer is known.
    /// Returns whether the limit changes.
    pub(crate) fn observe(&mut self, now: Time, heard: Time, limit: Option<RateLimit>) -> bool {
        if self.heard.is_some_and(|it| it > heard) {
            return false;
        }
        self.heard = Some(heard);
        if self.bound(now).is_none() {
            self.last = now;
        }
        let before = std::mem::replace(&mut self.limit, limit);
        before != limit
    }

    /// Whether a send may go out now.
    pub(crate) fn allows(&self, now: Time, sharers: usize) -> bool {
        self.bound(now).is_none_or(|it| now >= self.last + it.interval(sharers))
    }

    /// Records a send.
    pub(crate) fn sent(&mut self, now: Time, sharers: usize) {
        self.sent = Some(now);
        if let Some(limit) = self.bound(now) {
            let interval = limit.interval(sharers);
            self.last = (self.last + interval).max(now - interval);
        }
    }

    /// Records a send by this node for which another dispatcher granted the slot.
    pub(crate) fn sent_elsewhere(&mut self, now: Time) {
        self.sent = Some(now);
    }

    /// Records a send by an asker at `sent`, whichever dispatcher granted the slot.
    pub(crate) fn asker_sent(&mut self, sent: Time) {
        self.last = self.last.max(sent);
    }

    /// The stated limit in the form passed on to other nodes; `None` if it is too old.
    pub(crate) fn observed_limit(&self, now: Time, endpoint: SocketAddr) -> Option<ObservedLimit> {
        let (limit, age) = (self.limit?, now.since(self.heard?));
        let ms = |it: Duration| it.as_millis() as u32;
        let sent_ms = self.sent.map(|it| ms(now.since(it)));
        let told = ObservedLimit { endpoint, limit, age_ms: ms(age), sent_ms };
        (age < PASSED_ON_FOR).then_some(told)
    }
}
