//! How the requests of a service fare at one dispatcher, for logs: what was asked for, how it ended, and which
//! endpoints had nothing.

use std::time::Duration;

use resources::Name;

use super::Dispatcher;
use super::choice::SOUND_AFTER;
use crate::belief::Pressure;
use crate::rate_limit::RateLimit;
use crate::time::Time;

/// Endpoints without work for this long are reported. The users look at stretches of two seconds.
const REPORTED_IDLE: Duration = Duration::from_secs(2);

/// Counts since the counts were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DispatchCounts {
    /// First sends asked for for the first time.
    pub first: u32,
    /// Further sends granted.
    pub repeats: u32,
    /// Further sends that the budget refused.
    pub repeats_refused: u32,
    /// Requests refused because the queue was too long.
    pub queue_refused: u32,
    /// Requests whose time ended while they waited for a slot.
    pub waited_in_vain: u32,
    /// Requests that were withdrawn while they waited.
    pub withdrawn: u32,
    /// Requests that were answered.
    pub answered: u32,
    /// Last sends that failed.
    pub failed: u32,
    /// Last sends beyond the first that endpoints turned away.
    pub shed_last: u32,
    /// Requests that timed out at an endpoint.
    pub timed_out: u32,
    /// Sends that were rejected because endpoints end under their request.
    pub rejected: u32,
    /// Requests of routes that lead here too, and that another service did not serve.
    pub unserved_elsewhere: u32,
    /// Requests that were refused before the service was asked for them.
    pub refused_before: u32,
    /// Slots that were given back.
    pub released: u32,
    /// Slots that came free when an answer had begun, before it was whole.
    pub freed_early: u32,
    /// Slots that were taken back because nothing was heard of their request any more.
    pub expired: u32,
    /// Sends granted to endpoints under a rate limit.
    pub to_limited: u32,
    /// Endpoints that were looked at for requests when they came.
    pub looks: u64,
}

/// The slots of a service and the endpoints without work at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Occupancy {
    /// Slots in use.
    pub in_use: u32,
    /// Answers that travel and hold no slot.
    pub travelling: u32,
    /// Endpoints that are expected to serve.
    pub expected: u32,
    /// Those of them whose last failure is old enough for the users to count them as sound.
    pub sound: u32,
    /// Sound ones that have had no work for two seconds.
    pub sound_idle: u32,
    /// Endpoints under a rate limit.
    pub limited: u32,
    /// Requests a second that these take.
    pub limit_per_s: f64,
    /// Endpoints that have said that they leave.
    pub leaving: u32,
    /// Endpoints that want nothing from some nodes for a while.
    pub resting: u32,
}

/// An endpoint that has had no work for two seconds, and what may be the reason.
#[derive(Clone, Debug, PartialEq)]
pub struct IdleEndpoint {
    /// Identity of the endpoint.
    pub id: Name,
    /// Time since it was last given work; nothing if it never was.
    pub idle: Option<Duration>,
    /// Where it stands in the rotation.
    pub state: &'static str,
    /// How it is used.
    pub used: &'static str,
    /// Whether its entry in the registry is missing.
    pub is_missing: bool,
    /// Probability that it is sick.
    pub sick: f64,
    /// Time since its last failure.
    pub since_failure: Option<Duration>,
    /// Slots in use.
    pub in_use: u32,
    /// For how long the oldest request on it has been open.
    pub oldest_open: Option<Duration>,
}

impl Dispatcher {
    /// Counts since the last call.
    pub fn take_counts(&mut self) -> DispatchCounts {
        std::mem::take(&mut self.counts)
    }

    /// Endpoints that could be used and have had no work for two seconds.
    pub fn idle_endpoints(&self, now: Time) -> impl Iterator<Item = IdleEndpoint> + '_ {
        let share = self.signs.p_unhealthy();
        let all = self.endpoints().iter().zip(&self.loads);
        let is_idle = move |idle: Option<Duration>| idle.is_none_or(|it| it >= REPORTED_IDLE);
        all.filter(move |(_, load)| is_idle(load.idle(now)) && load.age(now) >= REPORTED_IDLE).map(
            move |(it, load)| IdleEndpoint {
                id: it.id.clone(),
                idle: load.idle(now),
                state: it.state.name(),
                used: load.belief.usage(now, self.strain, share).name(),
                is_missing: it.is_missing,
                sick: load.belief.p_unhealthy(now, share),
                since_failure: load.belief.since_failure(now),
                in_use: load.in_use(),
                oldest_open: load.oldest_open(now),
            },
        )
    }

    /// Slots in use and sound endpoints without work.
    pub fn occupancy(&self, now: Time) -> Occupancy {
        let mut it = Occupancy::default();
        for (status, load) in self.endpoints().iter().zip(&self.loads) {
            it.in_use += load.in_use();
            it.travelling += load.travelling();
            it.leaving += u32::from(load.said.is_leaving);
            it.resting += u32::from(load.said.rests.count(now) > 0);
            it.limited += u32::from(load.said.pace.limit().is_some());
            it.limit_per_s += load.said.pace.limit().map_or(0.0, RateLimit::per_second);
            if !status.is_expected() {
                continue;
            }
            it.expected += 1;
            if load.age(now) >= REPORTED_IDLE && load.belief.failed_before(now, SOUND_AFTER) {
                it.sound += 1;
                it.sound_idle += u32::from(load.idle(now).is_none_or(|idle| idle >= REPORTED_IDLE));
            }
        }
        it
    }

    /// Whether so much is not served, here or elsewhere, that endpoints without work are missed; as of the last choice.
    pub fn is_strained(&self) -> bool {
        self.strain != Pressure::None
    }

    /// How much the service misses endpoints, as of the last choice; for logs.
    pub fn strain_name(&self) -> &'static str {
        self.strain.name()
    }
}
