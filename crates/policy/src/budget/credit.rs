//! Repeats earned by first sends and not yet spent, at one granting node.
//!
//! Each first send earns a fraction of a repeat at one node, which has to be spent there within a
//! short time. Credit from the fixed part accrues with time. No credit survives a restart of its
//! process. The repeats of a window are therefore limited by the credit earned within it and
//! shortly before it, whichever nodes grant them: after a change of the granting node, in a
//! partitioned fleet and after restarts.
//!
//! A count of the window alone does not have this property, because it is known only to the node
//! that counted: a change of the granting node while repeats were needed led to 1,036 repeats where
//! 641 are allowed, a restart of all nodes to 1,026 (`fleet/tests/repeats.rs`).

use std::time::Duration;

use super::window::slice_number;
use super::{Balance, BudgetLimits, RATIO_FRACTION};
use crate::time::Time;

/// Lifetime of earned credit, as a divisor of the window. Together with [`RATIO_FRACTION`], it keeps
/// the repeats of a window within the ratio.
const LIFETIME_DIVISOR: u32 = 10;
/// Number of slices of the lifetime that are counted separately.
const SLICES: usize = 5;
/// Fraction of the fixed part that accrues in a window.
const EXTRA_ACCRUAL: f64 = 0.4;
/// Fraction of the fixed part that can be accumulated. A window can hold this amount and the one
/// that accrues in it.
const EXTRA_CAPACITY: f64 = 0.3;
/// Fraction of the fixed part that a node's share contributes at once when the node assigns the
/// share to this one, so that a recently started service can repeat. What the other two fractions
/// leave covers seven restarts of the whole fleet in a window.
const EXTRA_INITIAL: f64 = 0.04;

/// The credit earned in one slice, and what is left of it.
#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: u64,
    earned: f64,
    left: f64,
}

/// Credit that has been earned and not spent.
#[derive(Clone, Debug)]
pub(super) struct Credit {
    lifetime: Duration,
    slices: [Slice; SLICES],
    extra: Extra,
}

/// The credit from the fixed part, as of `at`.
#[derive(Clone, Copy, Debug)]
struct Extra {
    at: Time,
    /// What would be left if nothing had been spent.
    available: f64,
    left: f64,
}

impl Credit {
    pub(super) fn new(now: Time, window: Duration) -> Self {
        let lifetime = window / LIFETIME_DIVISOR;
        Self {
            lifetime,
            slices: Default::default(),
            extra: Extra { at: now, available: 0.0, left: 0.0 },
        }
    }

    /// Adds the credit for a first send.
    pub(super) fn earn(&mut self, now: Time, limits: &BudgetLimits) {
        let number = self.number(now);
        let it = &mut self.slices[(number % SLICES as u64) as usize];
        if it.number != number {
            *it = Slice { number, ..Slice::default() };
        }
        it.earned += limits.ratio * RATIO_FRACTION;
        it.left += limits.ratio * RATIO_FRACTION;
    }

    /// Lets the credit from the fixed part accrue; `fraction` is the share of the fixed part that is
    /// spent here.
    pub(super) fn accrue(&mut self, now: Time, limits: &BudgetLimits, fraction: f64) {
        self.extra = self.extra.after(now, limits, fraction);
    }

    /// Applies that the fraction of the fixed part spent here grows by `increase`.
    pub(super) fn add_initial(&mut self, limits: &BudgetLimits, increase: f64) {
        let initial = limits.extra * EXTRA_INITIAL * increase;
        self.extra.available += initial;
        self.extra.left += initial;
    }

    /// The credit that would be available if nothing had been spent, and how much of it is spent.
    pub(super) fn balance(&self, now: Time, limits: &BudgetLimits, fraction: f64) -> Balance {
        let earned: f64 = self.unexpired(now).map(|it| it.earned).sum();
        let left: f64 = self.unexpired(now).map(|it| it.left).sum();
        let extra = self.extra.after(now, limits, fraction);
        let allowed = earned + extra.available;
        Balance { allowed, spent: allowed - left - extra.left }
    }

    /// Pays for one repeat; the credit that expires first is used first.
    pub(super) fn spend(&mut self, now: Time) {
        let oldest = self.number(now).saturating_sub(SLICES as u64 - 1);
        let mut owed = 1.0;
        for number in oldest..oldest + SLICES as u64 {
            let it = &mut self.slices[(number % SLICES as u64) as usize];
            if it.number == number {
                let paid = it.left.min(owed);
                it.left -= paid;
                owed -= paid;
            }
        }
        self.extra.left -= owed;
    }

    /// Slices that have not expired. The current slice is not complete, so that credit expires up
    /// to one slice early.
    fn unexpired(&self, now: Time) -> impl Iterator<Item = &Slice> {
        let number = self.number(now);
        self.slices.iter().filter(move |it| it.number + SLICES as u64 > number)
    }

    fn number(&self, now: Time) -> u64 {
        slice_number(now, self.lifetime, SLICES)
    }
}

impl Extra {
    /// The credit at `now`.
    fn after(self, now: Time, limits: &BudgetLimits, fraction: f64) -> Self {
        let windows = now.since(self.at).as_secs_f64() / limits.window.as_secs_f64();
        let accrued = limits.extra * EXTRA_ACCRUAL * fraction * windows;
        let capacity = limits.extra * EXTRA_CAPACITY * fraction;
        let available = (self.available + accrued).min(capacity);
        Self { at: now, available, left: (self.left + accrued).min(available) }
    }
}
