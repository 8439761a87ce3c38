//! Statistics of one dispatcher for logs: slots asked for, outcomes of requests, and idle
//! endpoints.

use std::time::Duration;

use resources::Name;

use super::Dispatcher;
use super::candidate::HEALTHY_AFTER;
use super::placement::Placed;
use crate::belief::Pressure;
use crate::domain_load::FarReason;
use crate::rate_limit::RateLimit;
use crate::time::Time;

/// Endpoints idle for this long are reported. The availability target evaluates windows of two
/// seconds.
const REPORTED_IDLE: Duration = Duration::from_secs(2);

/// Event counts since the last call of [`Dispatcher::take_counts`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DispatchCounts {
    /// Asks for a first send, without repeated asks.
    pub first: u32,
    /// Further sends granted.
    pub repeats: u32,
    /// Further sends refused by the repeat budget.
    pub repeats_refused: u32,
    /// Requests refused because the queue was too long.
    pub queue_refused: u32,
    /// Requests that waited for a slot until their deadline.
    pub expired_waiting: u32,
    /// Requests withdrawn while they waited.
    pub withdrawn: u32,
    /// Requests that were answered.
    pub answered: u32,
    /// Last sends that failed.
    pub failed: u32,
    /// Last sends, other than first sends, that endpoints shed.
    pub shed_last: u32,
    /// Requests that timed out at an endpoint.
    pub timed_out: u32,
    /// Sends rejected because endpoints crash while they run the request.
    pub rejected: u32,
    /// Requests of split routes that lead here too and that another service did not serve.
    pub unserved_elsewhere: u32,
    /// Requests refused before this service was asked for a slot.
    pub refused_before_dispatch: u32,
    /// Slots that were given back.
    pub released: u32,
    /// Slots freed when an answer had begun, before it was complete.
    pub freed_early: u32,
    /// Slots whose permit expired without release or renewal.
    pub expired: u32,
    /// Sends granted to rate-limited endpoints.
    pub to_limited: u32,
    /// Endpoints evaluated in choices for newly arrived requests.
    pub endpoints_evaluated: u64,
    /// Sends granted in the failure domain of the asker.
    pub near: u32,
    /// Sends granted in another failure domain, by reason.
    pub far: FarCounts,
    /// Requests redirected to the dispatcher of another failure domain, by reason.
    pub redirected: FarCounts,
}

/// Numbers of far sends or redirected requests, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FarCounts([u32; FarReason::ALL.len()]);

impl FarCounts {
    /// Number for one reason.
    pub fn of(self, reason: FarReason) -> u32 {
        self.0[reason as usize]
    }

    /// Number for all reasons together.
    pub fn total(self) -> u32 {
        self.0.iter().sum()
    }

    pub(super) fn add(&mut self, reason: FarReason) {
        self.0[reason as usize] += 1;
    }
}

impl DispatchCounts {
    /// Counts a granted send by distance and reason.
    pub(super) fn note_placement(&mut self, it: &Placed) {
        match it.far_reason {
            Some(reason) => self.far.add(reason),
            None => self.near += 1,
        }
    }
}

/// Slots in use and state of the endpoints of a service at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Occupancy {
    /// Slots in use.
    pub in_use: u32,
    /// Answers in transit that hold no slot.
    pub in_transit: u32,
    /// Endpoints that are expected to serve.
    pub expected: u32,
    /// Expected endpoints whose last failure is so old that the availability target counts them as
    /// healthy.
    pub healthy: u32,
    /// Healthy endpoints that have been idle for two seconds.
    pub healthy_idle: u32,
    /// Endpoints that have advertised a rate limit.
    pub limited: u32,
    /// Sum of these rate limits, in requests a second.
    pub limit_per_s: f64,
    /// Endpoints that have advertised that they are leaving.
    pub leaving: u32,
    /// Endpoints that have asked at least one node to back off.
    pub with_backoffs: u32,
}

/// An endpoint that has been idle for two seconds, with possible reasons.
#[derive(Clone, Debug, PartialEq)]
pub struct IdleEndpoint {
    /// Identity of the endpoint.
    pub id: Name,
    /// Time since its last request; `None` if it had none.
    pub idle: Option<Duration>,
    /// Name of its state in the rotation.
    pub state: &'static str,
    /// Name of its usage, which follows from the health estimate.
    pub usage: &'static str,
    /// Whether its entry in the registry is missing.
    pub is_missing: bool,
    /// Probability that the endpoint is unhealthy.
    pub p_unhealthy: f64,
    /// Time since its last failure.
    pub since_failure: Option<Duration>,
    /// Slots in use.
    pub in_use: u32,
    /// Age of the oldest open request on it.
    pub oldest_open: Option<Duration>,
}

impl Dispatcher {
    /// Returns the counts since the last call and resets them.
    pub fn take_counts(&mut self) -> DispatchCounts {
        std::mem::take(&mut self.counts)
    }

    /// Endpoints that have been known and idle for at least two seconds.
    pub fn idle_endpoints(&self, now: Time) -> impl Iterator<Item = IdleEndpoint> + '_ {
        let share = self.likelihoods.p_unhealthy();
        let all = self.endpoints().iter().zip(&self.loads);
        let is_idle = move |idle: Option<Duration>| idle.is_none_or(|it| it >= REPORTED_IDLE);
        all.filter(move |(_, load)| is_idle(load.idle(now)) && load.age(now) >= REPORTED_IDLE).map(
            move |(it, load)| IdleEndpoint {
                id: it.id.clone(),
                idle: load.idle(now),
                state: it.state.name(),
                usage: load.belief.usage(now, self.pressure, share).name(),
                is_missing: it.is_missing,
                p_unhealthy: load.belief.p_unhealthy(now, share),
                since_failure: load.belief.since_failure(now),
                in_use: load.in_use(),
                oldest_open: load.oldest_open(now),
            },
        )
    }

    /// Slots in use and state of the endpoints.
    pub fn occupancy(&self, now: Time) -> Occupancy {
        let mut it = Occupancy::default();
        for (status, load) in self.endpoints().iter().zip(&self.loads) {
            it.in_use += load.in_use();
            it.in_transit += load.in_transit();
            it.leaving += u32::from(load.advertised.is_leaving);
            it.with_backoffs += u32::from(load.advertised.backoffs.count(now) > 0);
            it.limited += u32::from(load.advertised.pacer.limit().is_some());
            it.limit_per_s += load.advertised.pacer.limit().map_or(0.0, RateLimit::per_second);
            if !status.is_expected() {
                continue;
            }
            it.expected += 1;
            if load.age(now) >= REPORTED_IDLE && load.belief.failed_before(now, HEALTHY_AFTER) {
                it.healthy += 1;
                it.healthy_idle +=
                    u32::from(load.idle(now).is_none_or(|idle| idle >= REPORTED_IDLE));
            }
        }
        it
    }

    /// Whether so many requests are not served, here or by other services of a split route, that
    /// idle endpoints count against the floor; as of the last choice.
    pub fn is_under_pressure(&self) -> bool {
        self.pressure != Pressure::None
    }

    /// Name of the pressure on the service as of the last choice, for logs.
    pub fn pressure_name(&self) -> &'static str {
        self.pressure.name()
    }
}
