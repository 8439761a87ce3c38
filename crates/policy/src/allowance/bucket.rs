//! The token bucket of one organisation at its owner, refilled in proportion to the delegated
//! shares.

use std::time::Duration;

use resources::Allowance;

use super::shares::Supply;
use super::{BucketReport, Decision};
use crate::time::Time;

/// Factor on the granted rate, so that an organisation that keeps to its rate is not refused for
/// sending in bursts. The availability target tolerates a quarter more, plus twenty requests, in
/// each window of five seconds; the remaining margin covers shares that count at two owners until
/// one of them learns of the change.
const RATE_FACTOR: f64 = 1.02;
/// Requests a second granted in addition: the requests of a small organisation are more irregular.
const EXTRA_RATE_PER_S: f64 = 0.6;
/// Capacity of the bucket beyond the burst.
const EXTRA_CAPACITY: f64 = 8.0;
/// Initial credit of a new owner, as a share of the burst.
const INITIAL_BURST_FRACTION: f64 = 0.05;
/// Initial credit of a new owner beyond that share, in requests.
const INITIAL_REQUESTS: f64 = 9.0;
/// Initial credit from nodes that have just started, as a share of the burst or of the requests of
/// one second, whichever is less. It replaces [`INITIAL_BURST_FRACTION`] and is larger because no
/// other owner still counts the shares of these nodes; otherwise most requests would be refused in
/// the first second after a restart of the fleet.
const STARTUP_BURST_FRACTION: f64 = 0.5;
/// Upper bound of [`Decision::Exhausted`]'s `next`: a slowly refilled bucket may be delegated
/// further shares at any time.
const MAX_NEXT: Duration = Duration::from_millis(100);
/// Lower bound of the share of an allowance for which the time to the next grant is computed. An
/// owner with a smaller share has only just taken over, or temporarily replaces an owner after a
/// node lost a few messages; neither lasts.
const MIN_SHARE: f64 = 0.25;
/// Longest time after which a refused request is asked to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// The bucket of one organisation.
#[derive(Clone, Debug)]
pub(super) struct Bucket {
    /// Requests that may run now.
    left: f64,
    /// The part of the supply that has already been added.
    added: Supply,
    /// When the last refused request may run.
    queue_end: Time,
    /// When the bucket was last asked.
    asked: Time,
    granted: u64,
    refused: u64,
}

impl Bucket {
    pub(super) fn new(now: Time) -> Self {
        Self {
            left: 0.0,
            added: Supply::default(),
            queue_end: now,
            asked: now,
            granted: 0,
            refused: 0,
        }
    }

    /// Decides on one request.
    pub(super) fn ask(&mut self, now: Time, supply: Supply, allowance: Allowance) -> Decision {
        if self.take(now, supply, allowance) {
            return Decision::Granted;
        }
        self.refused += 1;
        let rate = refill_rate(allowance) * supply.share.max(MIN_SHARE);
        let after = |requests: f64| {
            Duration::from_secs_f64((requests / rate).min(MAX_RETRY_AFTER.as_secs_f64()))
        };
        let next = after(1.0 - self.left).min(MAX_NEXT);
        // Each refused request is given a time of its own, so that they do not all come back at
        // once.
        self.queue_end = self.queue_end.max(now + next).min(now + MAX_RETRY_AFTER) + after(1.0);
        let retry_after = self.queue_end.since(now).min(MAX_RETRY_AFTER);
        Decision::Exhausted { next, retry_after }
    }

    /// Takes one request if there is one.
    pub(super) fn take(&mut self, now: Time, supply: Supply, allowance: Allowance) -> bool {
        self.asked = now;
        self.refill(supply, allowance);
        let is_granted = self.left >= 1.0;
        if is_granted {
            self.left -= 1.0;
            self.granted += 1;
        }
        is_granted
    }

    pub(super) fn is_in_use(&self, now: Time, within: Duration) -> bool {
        now.since(self.asked) < within
    }

    pub(super) fn report(&self, organisation: u64) -> BucketReport {
        let Self { left, granted, refused, .. } = *self;
        BucketReport { organisation, left, granted, refused }
    }

    fn refill(&mut self, supply: Supply, allowance: Allowance) {
        let Allowance { rate_per_s, burst } = allowance;
        let seconds = (supply.seconds - self.added.seconds).max(0.0);
        let initial = (supply.initial - self.added.initial).max(0.0);
        let startup = (supply.startup - self.added.startup).max(0.0);
        self.added = supply;
        let refill = seconds * refill_rate(allowance)
            + initial * (burst * INITIAL_BURST_FRACTION + INITIAL_REQUESTS)
            + startup * (burst.min(rate_per_s) * STARTUP_BURST_FRACTION + INITIAL_REQUESTS);
        let capacity = (burst + EXTRA_CAPACITY) * supply.share;
        self.left = (self.left + refill).min(capacity);
    }
}

/// Requests a second by which an undivided allowance grows.
fn refill_rate(allowance: Allowance) -> f64 {
    allowance.rate_per_s * RATE_FACTOR + EXTRA_RATE_PER_S
}
