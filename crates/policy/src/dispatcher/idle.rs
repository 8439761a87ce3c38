//! Computes how long endpoints may stay idle before a request probes them.
//!
//! The case this addresses: a service with spare slots, some of whose endpoints fail for seconds
//! now and then, and whose requests must not be repeated. Each request that probes such an endpoint
//! may be lost, and as long as its slots are not needed nobody gains by the probe. The limit is the
//! availability floor: while a tenth to a half of a service's requests are not served in a window
//! of two seconds, most of its healthy endpoints must get work in that window. An endpoint with an
//! isolated failure counts as healthy again after two seconds, so one that is idle for longer than
//! [`IDLE_AFTER_FAILURE`](crate::belief::IDLE_AFTER_FAILURE) may count as starved.
//!
//! The event that makes the floor apply may follow the evaluated window, for example the loss of
//! all nodes with the requests in progress. Therefore the bound holds at all times, also in normal
//! operation, and for the smallest number of endpoints that the availability target may count: it
//! leaves out endpoints in trouble, and this node sees only a part of that trouble. The endpoints
//! that have been idle the longest are the most likely to have recovered, so they are probed first
//! when too many are idle. Any sign that capacity is needed, such as queued requests or a growing
//! share of unserved ones, makes all idle endpoints due.

use std::time::Duration;

use crate::belief::PROBE_AFTER;

/// Share of the active endpoints that the availability target surely counts. The others may be
/// slow, cut off from the platform or behind bad links, which causes no visible failures; eight of
/// 19 have been left out at once.
const MIN_COUNTED_SHARE: f64 = 0.55;

/// An endpoint that may take work, as input of [`probe_after`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct IdleCandidate {
    /// Time since its last request; `None` if it had none.
    pub(crate) idle: Option<Duration>,
    /// Whether the availability target may count it as healthy because its last failure is old.
    pub(crate) may_be_healthy: bool,
    /// Whether it has been known for long enough to count as healthy.
    pub(crate) is_settled: bool,
    /// Whether it is in rotation and can be probed.
    pub(crate) is_in_rotation: bool,
}

/// Returns the idle time after which an endpoint is due for a probe in a service with spare slots,
/// where at least the share `floor` of the healthy endpoints must get work.
pub(crate) fn probe_after(endpoints: impl Iterator<Item = IdleCandidate>, floor: f64) -> Duration {
    let mut idle_times = Vec::new();
    let mut out_of_rotation = 0;
    let mut active = 0;
    for it in endpoints.filter(|it| it.may_be_healthy) {
        match it.idle {
            Some(idle) if idle > PROBE_AFTER && it.is_in_rotation => idle_times.push(idle),
            Some(idle) if idle > PROBE_AFTER => out_of_rotation += 1,
            Some(_) => active += usize::from(it.is_settled),
            None => {}
        }
    }
    // The floor requires its share of the active and idle endpoints together to be active.
    let allowed = (MIN_COUNTED_SHARE * active as f64 * (1.0 - floor) / floor) as usize;
    let may_stay_idle = allowed.saturating_sub(out_of_rotation);
    // All endpoints that have been idle longer than those that may stay idle are due.
    idle_times.sort_unstable();
    match may_stay_idle.checked_sub(1) {
        Some(last) => idle_times.get(last).copied().unwrap_or(Duration::MAX),
        None => PROBE_AFTER,
    }
}
