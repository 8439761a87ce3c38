//! Placement by failure domain: when a request leaves its failure domain, and where it goes.

use std::time::Duration;

/// Cost of a send to another failure domain, as a share of the value of a request.
const FAR_SEND_COST: f64 = 0.01;
/// Share of the requests that an unhealthy endpoint fails.
const FAILURE_SHARE: f64 = 0.9;
/// Share of its value that a request loses when a send fails that another one can follow: it draws
/// on the repeat budget and comes later.
const REPEAT_COST: f64 = 0.1;
/// Share of the objective for which a request waits for a slot of its own failure domain while
/// another one has free slots.
const NEAR_WAIT_SHARE: f64 = 0.15;
/// Service times that must fit in the objective after such a wait, because they vary.
const SERVICE_TIMES_LEFT: u32 = 2;
/// A request that cannot wait near goes to a failure domain where requests wait, too, only if the
/// wait there is shorter by this factor. With a factor near one, two overloaded failure domains
/// exchange their requests.
const SHORTER_WAIT_FACTOR: f64 = 1.5;

/// What a request loses when its send fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OnFailure {
    /// Another send follows.
    Repeated,
    /// The request fails.
    Lost,
}

/// Whether a far endpoint that is less likely to be unhealthy is worth the traffic between failure
/// domains.
pub(crate) fn is_worth_leaving(p_near: f64, p_far: f64, on_failure: OnFailure) -> bool {
    let loss = match on_failure {
        OnFailure::Repeated => REPEAT_COST,
        OnFailure::Lost => 1.0,
    };
    (p_near - p_far) * FAILURE_SHARE * loss > FAR_SEND_COST
}

/// The longest wait for a near slot after which a request still ends within its objective.
pub(crate) fn near_wait(objective: Duration, work: Duration) -> Duration {
    let after_work = objective.saturating_sub(work * SERVICE_TIMES_LEFT);
    objective.mul_f64(NEAR_WAIT_SHARE).min(after_work)
}

/// Whether a request that would wait too long near may take a slot of a failure domain whose own
/// requests wait for `wait_there`; `None` if none of them waits.
pub(crate) fn may_spill(wait_near: Duration, wait_there: Option<Duration>) -> bool {
    wait_there.is_none_or(|it| wait_near > it.mul_f64(SHORTER_WAIT_FACTOR))
}

/// Chooses one of several failure domains with a probability in proportion to its headroom, for a
/// random number. A choice of the largest headroom alone would send all requests to one failure
/// domain until the next update of the loads.
pub(crate) fn pick_by_headroom(headrooms: impl Iterator<Item = f64> + Clone, random: u32) -> usize {
    let weight = |it: f64| if it.is_finite() { it.max(0.0) } else { 0.0 };
    let total: f64 = headrooms.clone().map(weight).sum();
    let mut rest = total * f64::from(random) / (f64::from(u32::MAX) + 1.0);
    for (i, it) in headrooms.enumerate() {
        rest -= weight(it);
        if rest < 0.0 {
            return i;
        }
    }
    0
}
