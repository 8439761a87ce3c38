//! Limit on the sends of a service beyond the first of each request. It holds for the whole fleet
//! in every window of time, without agreement between the nodes that grant repeats.
//!
//! The limit is a ratio of the requests plus a fixed part. The ratio needs no agreement: each
//! granting node counts the first sends that it has seen, and the repeats they earn are spent soon
//! or expire (`credit`). The fixed part is split into equal shares, one for each asking node. A
//! node assigns its share to one dispatching node at a time, and to another one only after it has
//! not asked the previous one for a whole window. The shares of all dispatching nodes therefore
//! never exceed the fixed part.

mod credit;
mod window;

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::rendezvous::NodeId;
use crate::time::Time;
use credit::Credit;
use window::{Window, slice_number};

/// Size of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed for the whole fleet in addition.
    pub extra: f64,
    /// Length of the sliding window in which both limits hold.
    pub window: Duration,
}

/// The reason for a further send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spend {
    /// The previous send has failed.
    OnFailure,
    /// The previous send is late.
    OnHedge,
}

/// Fraction of the ratio that is used, because credit earned shortly before a window may be spent
/// within it (`credit`).
const RATIO_FRACTION: f64 = 0.9;
/// Fraction of the fixed part that one granting node uses in a window.
const EXTRA_FRACTION: f64 = 0.5;
/// How often per window the nodes that have not asked for a whole window are dropped.
const ASKER_CHECKS_PER_WINDOW: usize = 20;
/// Fraction of the budget that hedges leave for repeats after failures.
const RESERVED_FOR_FAILURES: f64 = 0.4;
/// Remaining fraction of the budget below which it is short: the first send of a request may then
/// be its last.
const SHORT_BELOW: f64 = 0.35;

/// One of the limits on repeats: the allowed and the spent number.
#[derive(Clone, Copy, Debug)]
struct Balance {
    allowed: f64,
    spent: f64,
}

impl Balance {
    /// Whether one more repeat fits while the fraction `reserved` is set aside.
    fn has_room(self, reserved: f64) -> bool {
        self.spent + 1.0 <= self.allowed * (1.0 - reserved)
    }
}

/// The budget of one service at one node.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: BudgetLimits,
    /// Counts of the window; exact as long as a single node grants.
    window: Window,
    /// Credit for repeats; effective with any number of granting nodes.
    credit: Credit,
    /// Nodes that assign their share to this node, and when they last asked.
    askers: FxHashMap<NodeId, Time>,
    /// The slice in which outdated askers were last dropped.
    askers_checked_in: u64,
    /// Number of known nodes in the fleet.
    nodes: usize,
    /// Repeats that wait for a slot. They count as spent, but enter a slice only when they are
    /// sent. Counted in the slice in which they began to wait, the repeats of one window were sent
    /// together with all that the next one allows (167 where 140 are allowed, `tests/budget.rs`).
    reserved: u32,
    first_total: u64,
    granted: u64,
    refused: u64,
}

/// Figures of a budget, for reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RepeatsReport {
    /// Repeats granted since the start.
    pub granted: u64,
    /// Repeats refused since the start.
    pub refused: u64,
    /// Repeats allowed in the window that ends now.
    pub allowed: f64,
    /// Repeats spent in that window.
    pub spent: f64,
    /// Recently earned repeats that may be sent now.
    pub credit: f64,
    /// First sends in that window.
    pub first: u64,
    /// Nodes that asked in that window.
    pub askers: usize,
    /// First sends since the start.
    pub first_total: u64,
}

impl Budget {
    /// The budget of a node that begins to grant repeats at `now`.
    pub fn new(now: Time, limits: BudgetLimits) -> Self {
        Self {
            limits,
            window: Window::new(limits.window),
            credit: Credit::new(now, limits.window),
            askers: FxHashMap::default(),
            askers_checked_in: 0,
            nodes: 1,
            reserved: 0,
            first_total: 0,
            granted: 0,
            refused: 0,
        }
    }

    /// Applies a change of the limits.
    pub fn set_limits(&mut self, now: Time, limits: BudgetLimits) {
        if limits.window != self.limits.window {
            // Counts of slices of another length are meaningless.
            self.window = Window::new(limits.window);
            self.credit = Credit::new(now, limits.window);
        }
        self.limits = limits;
    }

    /// Applies a change of the fleet's size.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Records the first send of a request.
    pub fn first_send(&mut self, now: Time) {
        self.window.note_first(now);
        self.credit.earn(now, &self.limits);
        self.first_total += 1;
    }

    /// Records that `node` assigns its share to this node.
    pub fn hold_share(&mut self, now: Time, node: NodeId) {
        self.accrue(now);
        let before = self.held_fraction();
        self.askers.insert(node, now);
        let increase = self.held_fraction() - before;
        self.credit.add_initial(&self.limits, increase);
    }

    /// Whether the budget allows one further send now.
    pub fn allows(&mut self, now: Time, spend: Spend) -> bool {
        let reserved = match spend {
            Spend::OnFailure => 0.0,
            Spend::OnHedge => RESERVED_FOR_FAILURES,
        };
        let is_allowed = self.balances(now).iter().all(|it| it.has_room(reserved));
        self.refused += u64::from(!is_allowed);
        is_allowed
    }

    /// Reserves a repeat for a further send that waits for a slot.
    pub fn reserve(&mut self) {
        self.reserved += 1;
    }

    /// Cancels a reservation, because the send goes out now or never.
    pub fn cancel_reservation(&mut self) {
        self.reserved -= 1;
    }

    /// Whether a further send with a reservation may still go out: the credit for it may have
    /// expired while it waited.
    pub fn covers(&self, now: Time) -> bool {
        self.credit.balance(now, &self.limits, self.held_fraction()).has_room(0.0)
    }

    /// Records a further send.
    pub fn spend(&mut self, now: Time) {
        self.accrue(now);
        self.window.note_repeat(now);
        self.credit.spend(now);
        self.granted += 1;
    }

    /// Whether so little is left that a failed first send may get no repeat.
    pub fn is_short(&mut self, now: Time) -> bool {
        !self.balances(now).iter().all(|it| it.has_room(SHORT_BELOW))
    }

    /// Repeats refused since the start.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Figures for reports.
    pub fn report(&mut self, now: Time) -> RepeatsReport {
        let [Balance { allowed, spent }, credit] = self.balances(now);
        let (first, _) = self.window.counts(now);
        RepeatsReport {
            granted: self.granted,
            refused: self.refused,
            allowed,
            spent,
            credit: credit.allowed - credit.spent,
            first: first.into(),
            askers: self.askers.len(),
            first_total: self.first_total,
        }
    }

    /// The limit of the window that ends now, and that of the recently earned credit.
    fn balances(&mut self, now: Time) -> [Balance; 2] {
        self.drop_outdated_askers(now);
        let (first, repeats) = self.window.counts(now);
        let fraction = self.held_fraction();
        let extra = self.limits.extra * EXTRA_FRACTION * fraction;
        let window = Balance {
            allowed: f64::from(first) * self.limits.ratio * RATIO_FRACTION + extra,
            spent: f64::from(repeats + self.reserved),
        };
        let mut credit = self.credit.balance(now, &self.limits, fraction);
        credit.spent += f64::from(self.reserved);
        [window, credit]
    }

    /// The fraction of the fixed part that is spent here: the shares of the nodes that have asked.
    fn held_fraction(&self) -> f64 {
        (self.askers.len() as f64 / self.nodes as f64).min(1.0)
    }

    /// Lets the credit from the fixed part accrue up to now.
    fn accrue(&mut self, now: Time) {
        let fraction = self.held_fraction();
        self.credit.accrue(now, &self.limits, fraction);
    }

    /// Drops outdated askers, only once per slice because there may be hundreds of them.
    fn drop_outdated_askers(&mut self, now: Time) {
        let length = self.limits.window;
        let number = slice_number(now, length, ASKER_CHECKS_PER_WINDOW);
        if std::mem::replace(&mut self.askers_checked_in, number) != number {
            self.accrue(now);
            self.askers.retain(|_, at| now.since(*at) < length);
        }
    }
}
