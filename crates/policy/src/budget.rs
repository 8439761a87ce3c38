//! Bound on the sends of a service beyond the first of each request, over the whole fleet and any
//! window of time, without any agreement between the nodes that grant them.
//!
//! The bound is a share of the requests and a fixed part. The share needs no agreement: whoever grants a repeat
//! counts the requests it has seen itself, and what they earn is spent soon or not at all (`credit`). The fixed part
//! is split over the nodes that ask: each gives its part to one dispatching node, and to another one only when it has
//! not asked that one for a window. However many nodes dispatch, their parts add up to no more than the whole.

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
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats of the whole fleet beyond that.
    pub extra: f64,
    /// Both hold for every stretch of this length.
    pub window: Duration,
}

/// What a further send is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spend {
    /// The send before it has failed.
    OnFailure,
    /// The send before it is late.
    OnHedge,
}

/// Part of the ratio that is used: what was earned shortly before a window may be spent in it (`credit`).
const RATIO_PART: f64 = 0.9;
/// Part of the fixed bound that one granting node uses in a window.
const EXTRA_PART: f64 = 0.5;
/// Times in a window that nodes which asked too long ago are forgotten.
const FORGET_TIMES: usize = 20;
/// Part of the budget that hedges leave for what has failed.
const KEPT_FOR_FAILURES: f64 = 0.4;
/// Part of the budget below which it is short: a first send that fails may then be the last.
const SHORT: f64 = 0.35;

/// One of the bounds on repeats: what it allows, and what is spent of that.
#[derive(Clone, Copy, Debug)]
struct Balance {
    allowed: f64,
    spent: f64,
}

impl Balance {
    /// Whether one more fits if the part `kept` is left for others.
    fn has_room(self, kept: f64) -> bool {
        self.spent + 1.0 <= self.allowed * (1.0 - kept)
    }
}

/// The budget of one service at one node.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: BudgetLimits,
    /// Exact as long as one node grants.
    window: Window,
    /// Holds whoever grants.
    credit: Credit,
    /// Nodes whose part is spent here, and when they last asked.
    askers: FxHashMap<NodeId, Time>,
    /// Slice in which those that asked too long ago were last forgotten.
    forgot_in: u64,
    /// Nodes of the fleet, as far as they are known.
    nodes: usize,
    /// Repeats that wait for a slot. They count as spent, and only when they go out they count in a
    /// slice: counted while they waited, those of one window went out together with all that the next one
    /// allows (167 where 140 are allowed, `tests/budget.rs`).
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
    /// Those spent in it.
    pub spent: f64,
    /// Repeats earned lately that may go out now.
    pub credit: f64,
    /// First sends counted in it.
    pub first: u64,
    /// Nodes that have asked in it.
    pub askers: usize,
    /// First sends counted since the start.
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
            forgot_in: 0,
            nodes: 1,
            reserved: 0,
            first_total: 0,
            granted: 0,
            refused: 0,
        }
    }

    /// Follows a change of its size.
    pub fn set_limits(&mut self, now: Time, limits: BudgetLimits) {
        if limits.window != self.limits.window {
            // Counts of slices of another length mean nothing.
            self.window = Window::new(limits.window);
            self.credit = Credit::new(now, limits.window);
        }
        self.limits = limits;
    }

    /// Follows a change of the fleet's size.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Records the first send of a request.
    pub fn first_send(&mut self, now: Time) {
        self.window.note_first(now);
        self.credit.earn(now, &self.limits);
        self.first_total += 1;
    }

    /// Records that the part of `node` is spent here.
    pub fn hold_part(&mut self, now: Time, node: NodeId) {
        self.accrue(now);
        let before = self.part();
        self.askers.insert(node, now);
        let more = self.part() - before;
        self.credit.bring(&self.limits, more);
    }

    /// Whether the budget allows one further send now.
    pub fn allows(&mut self, now: Time, what: Spend) -> bool {
        let kept = match what {
            Spend::OnFailure => 0.0,
            Spend::OnHedge => KEPT_FOR_FAILURES,
        };
        let is_allowed = self.balances(now).iter().all(|it| it.has_room(kept));
        self.refused += u64::from(!is_allowed);
        is_allowed
    }

    /// Keeps a part for a further send that waits for a slot.
    pub fn reserve(&mut self) {
        self.reserved += 1;
    }

    /// Gives that part back: the send goes out now, or never.
    pub fn give_back(&mut self) {
        self.reserved -= 1;
    }

    /// Whether a further send for which a part is reserved may go out now: what it waited for may have lapsed.
    pub fn covers(&self, now: Time) -> bool {
        self.credit.balance(now, &self.limits, self.part()).has_room(0.0)
    }

    /// Records a further send.
    pub fn spend(&mut self, now: Time) {
        self.accrue(now);
        self.window.note_repeat(now);
        self.credit.spend(now);
        self.granted += 1;
    }

    /// Whether so little is left that a send that fails may not be followed by another.
    pub fn is_short(&mut self, now: Time) -> bool {
        !self.balances(now).iter().all(|it| it.has_room(SHORT))
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

    /// The bound on the window that ends now, and that on what was earned lately.
    fn balances(&mut self, now: Time) -> [Balance; 2] {
        self.forget_askers(now);
        let (first, repeats) = self.window.counts(now);
        let part = self.part();
        let extra = self.limits.extra * EXTRA_PART * part;
        let window = Balance {
            allowed: f64::from(first) * self.limits.ratio * RATIO_PART + extra,
            spent: f64::from(repeats + self.reserved),
        };
        let mut credit = self.credit.balance(now, &self.limits, part);
        credit.spent += f64::from(self.reserved);
        [window, credit]
    }

    /// The part of the fixed bound that is spent here: that of the nodes that have asked.
    fn part(&self) -> f64 {
        (self.askers.len() as f64 / self.nodes as f64).min(1.0)
    }

    fn accrue(&mut self, now: Time) {
        let part = self.part();
        self.credit.accrue(now, &self.limits, part);
    }

    /// Once a slice, because there may be hundreds of them.
    fn forget_askers(&mut self, now: Time) {
        let length = self.limits.window;
        let number = slice_number(now, length, FORGET_TIMES);
        if std::mem::replace(&mut self.forgot_in, number) != number {
            self.accrue(now);
            self.askers.retain(|_, at| now.since(*at) < length);
        }
    }
}
