//! One organisation's bucket at its owner: a token bucket that grows by what nodes entrust.

use std::time::Duration;

use resources::Allowance;

use super::shares::Supply;
use super::{BucketReport, Decision};
use crate::time::Time;

/// The rate is granted a little beyond its figure, so that an organisation that keeps to it is not refused for coming in
/// clusters. The users count a quarter beyond it, and twenty, as kept in each window of five seconds; the rest of that is for
/// shares that count at two owners until one of them notices.
const RATE: f64 = 1.02;
/// Requests a second beyond that: a small organisation's come in clusters all the more.
const RATE_EXTRA: f64 = 0.6;
/// Requests at once beyond the burst.
const EXTRA: f64 = 8.0;
/// What a new owner is given: a part of the burst, and requests beyond it.
const BROUGHT_OF_BURST: f64 = 0.05;
const BROUGHT: f64 = 9.0;
/// What nodes that have just started bring along: a part of the burst, or of what a second grants where that is less, in
/// place of the other part. No owner still counts their shares, so that there is more room for it; without it most
/// requests would be refused in the first second after a return of the fleet.
const BROUGHT_FIRST: f64 = 0.5;
/// Asking is said to be in vain for this long at most: a bucket that grows slowly may be entrusted with more at any time.
const MAX_IN_VAIN: Duration = Duration::from_millis(100);
/// When to come back is worked out for this part of an allowance at least. With less an owner has just taken over, or stands in
/// for a node that lost a few messages; neither lasts.
const MIN_PART: f64 = 0.25;
/// Longest time after which one that was refused is asked to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

#[derive(Clone, Debug)]
pub(super) struct Bucket {
    /// Requests that may run now.
    left: f64,
    /// What was had of the supply.
    had: Supply,
    /// Until when the places of those that were refused reach.
    line: Time,
    asked: Time,
    granted: u64,
    refused: u64,
}

impl Bucket {
    pub(super) fn new(now: Time) -> Self {
        Self { left: 0.0, had: Supply::default(), line: now, asked: now, granted: 0, refused: 0 }
    }

    pub(super) fn ask(&mut self, now: Time, supply: Supply, allowance: Allowance) -> Decision {
        if self.take(now, supply, allowance) {
            return Decision::Granted;
        }
        self.refused += 1;
        let rate = grows(allowance) * supply.part.max(MIN_PART);
        let after = |requests: f64| {
            Duration::from_secs_f64((requests / rate).min(MAX_RETRY_AFTER.as_secs_f64()))
        };
        let next = after(1.0 - self.left).min(MAX_IN_VAIN);
        // Each gets a place of its own, so that they do not all come back for the same one.
        self.line = self.line.max(now + next).min(now + MAX_RETRY_AFTER) + after(1.0);
        let retry_after = self.line.since(now).min(MAX_RETRY_AFTER);
        Decision::Exhausted { next, retry_after }
    }

    /// Takes one request if there is one.
    pub(super) fn take(&mut self, now: Time, supply: Supply, allowance: Allowance) -> bool {
        self.asked = now;
        self.grow(supply, allowance);
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

    fn grow(&mut self, supply: Supply, allowance: Allowance) {
        let Allowance { rate_per_s, burst } = allowance;
        let seconds = (supply.seconds - self.had.seconds).max(0.0);
        let brought = (supply.brought - self.had.brought).max(0.0);
        let brought_first = (supply.brought_first - self.had.brought_first).max(0.0);
        self.had = supply;
        let more = seconds * grows(allowance)
            + brought * (burst * BROUGHT_OF_BURST + BROUGHT)
            + brought_first * (burst.min(rate_per_s) * BROUGHT_FIRST + BROUGHT);
        let most = (burst + EXTRA) * supply.part;
        self.left = (self.left + more).min(most);
    }
}

/// Requests a second by which a whole allowance grows.
fn grows(allowance: Allowance) -> f64 {
    allowance.rate_per_s * RATE + RATE_EXTRA
}
