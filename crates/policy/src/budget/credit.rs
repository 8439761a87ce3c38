//! What first sends have earned for repeats and nobody has spent yet, at one granting node.
//!
//! Each first send earns a share of a repeat at one node, to be spent there once and soon; the fixed part accrues with
//! time. None of it outlives its process. So the repeats of a window are no more than what was earned in it and a
//! moment before it, whoever grants them: after a change of the granting node, in a fleet in parts, after restarts.
//!
//! A count of the window alone does not give that, because only the node that counted knows it: with one change
//! of the granting node in the middle of need 1,036 repeats went out where 641 are allowed, with a restart of all
//! 1,026 (`fleet/tests/repeats.rs`).

use std::time::Duration;

use super::window::slice_number;
use super::{Balance, BudgetLimits, RATIO_PART};
use crate::time::Time;

/// Part of the window for which an earned share lasts. With the part of the ratio that is used, the repeats of a
/// window stay within the ratio.
const LIFETIME_PART: u32 = 10;
/// Slices of the lifetime that are kept apart.
const SLICES: usize = 5;
/// Part of the fixed bound that accrues in a window.
const EXTRA_ACCRUES: f64 = 0.4;
/// Part of the fixed bound that may lie ready. A window can hold this and what accrues in it.
const EXTRA_READY: f64 = 0.3;
/// Part of the fixed bound that a node brings along when it gives its part to this one, so that a service that has
/// just started is not without. What the other two leave pays for seven starts of the whole fleet in a window.
const EXTRA_BROUGHT: f64 = 0.04;

/// What was earned in one slice, and what is left of it.
#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: u64,
    earned: f64,
    left: f64,
}

/// Earned and not spent.
#[derive(Clone, Debug)]
pub(super) struct Credit {
    lifetime: Duration,
    slices: [Slice; SLICES],
    extra: Extra,
}

/// The fixed part, at the moment when it was last worked out.
#[derive(Clone, Copy, Debug)]
struct Extra {
    at: Time,
    /// What would be left if nothing had been spent.
    ready: f64,
    left: f64,
}

impl Credit {
    pub(super) fn new(now: Time, window: Duration) -> Self {
        let lifetime = window / LIFETIME_PART;
        Self {
            lifetime,
            slices: Default::default(),
            extra: Extra { at: now, ready: 0.0, left: 0.0 },
        }
    }

    /// A first send earns its share.
    pub(super) fn earn(&mut self, now: Time, limits: &BudgetLimits) {
        let number = self.number(now);
        let it = &mut self.slices[(number % SLICES as u64) as usize];
        if it.number != number {
            *it = Slice { number, ..Slice::default() };
        }
        it.earned += limits.ratio * RATIO_PART;
        it.left += limits.ratio * RATIO_PART;
    }

    /// Lets the fixed part accrue, of which `part` is spent here.
    pub(super) fn accrue(&mut self, now: Time, limits: &BudgetLimits, part: f64) {
        self.extra = self.extra.after(now, limits, part);
    }

    /// The part of the fixed bound that is spent here grows by `more`.
    pub(super) fn bring(&mut self, limits: &BudgetLimits, more: f64) {
        let brought = limits.extra * EXTRA_BROUGHT * more;
        self.extra.ready += brought;
        self.extra.left += brought;
    }

    /// What could be spent now if nothing had been, and how much of that is.
    pub(super) fn balance(&self, now: Time, limits: &BudgetLimits, part: f64) -> Balance {
        let earned: f64 = self.lasting(now).map(|it| it.earned).sum();
        let left: f64 = self.lasting(now).map(|it| it.left).sum();
        let extra = self.extra.after(now, limits, part);
        let allowed = earned + extra.ready;
        Balance { allowed, spent: allowed - left - extra.left }
    }

    /// Pays for one repeat: what ends soonest goes first.
    pub(super) fn spend(&mut self, now: Time) {
        let oldest = self.number(now).saturating_sub(SLICES as u64 - 1);
        let mut due = 1.0;
        for number in oldest..oldest + SLICES as u64 {
            let it = &mut self.slices[(number % SLICES as u64) as usize];
            if it.number == number {
                let paid = it.left.min(due);
                it.left -= paid;
                due -= paid;
            }
        }
        self.extra.left -= due;
    }

    /// Slices that still last. The present one is not full, so that a share lasts for a slice less at most.
    fn lasting(&self, now: Time) -> impl Iterator<Item = &Slice> {
        let number = self.number(now);
        self.slices.iter().filter(move |it| it.number + SLICES as u64 > number)
    }

    fn number(&self, now: Time) -> u64 {
        slice_number(now, self.lifetime, SLICES)
    }
}

impl Extra {
    fn after(self, now: Time, limits: &BudgetLimits, part: f64) -> Self {
        let windows = now.since(self.at).as_secs_f64() / limits.window.as_secs_f64();
        let accrued = limits.extra * EXTRA_ACCRUES * part * windows;
        let most = limits.extra * EXTRA_READY * part;
        let ready = (self.ready + accrued).min(most);
        Self { at: now, ready, left: (self.left + accrued).min(ready) }
    }
}
