//! Bound on the sends of a service beyond the first of each request, over the whole fleet and any
//! window of time, without any agreement between the nodes that grant them.
//!
//! The bound is a share of the requests and a fixed part. The share needs no agreement: whoever grants
//! a repeat counts the requests it has seen itself. The fixed part is split over the nodes that ask: each
//! gives its part to one dispatching node, and to another one only when it has not asked that one for a
//! window. However many nodes dispatch, their parts add up to no more than the whole.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::rendezvous::NodeId;
use crate::time::Time;

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

/// Slices of the window that are counted apart.
const SLICES: usize = 20;
/// Part of the ratio that is used: requests are counted where they ask, and some never do.
const RATIO_PART: f64 = 0.9;
/// Part of the fixed bound that is used. A dispatching node may have ended within the window, and neither the
/// one that begins anew in its place nor askers that begin anew know what it spent.
const EXTRA_PART: f64 = 0.5;
/// Part of that in the first window of a new dispatching node: the one before may have spent its own a
/// moment ago, and the one before that too.
const EXTRA_AT_START: f64 = 0.5;
/// Part of the budget that hedges leave for what has failed.
const KEPT_FOR_FAILURES: f64 = 0.4;
/// Part of the budget below which it is short: a first send that fails may then be the last.
const SHORT: f64 = 0.35;

/// Counts of one slice of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: u64,
    first: u32,
    repeats: u32,
}

/// The budget of one service at one node.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: BudgetLimits,
    started: Time,
    /// Slices by their number, modulo the length; one more than a window, because the present one is
    /// not full.
    slices: [Slice; SLICES + 1],
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
            started: now,
            slices: [Slice::default(); SLICES + 1],
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
    pub fn set_limits(&mut self, limits: BudgetLimits) {
        if limits.window != self.limits.window {
            // Counts of slices of another length mean nothing.
            self.slices = Default::default();
        }
        self.limits = limits;
    }

    /// Follows a change of the fleet's size.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Records the first send of a request.
    pub fn first_send(&mut self, now: Time) {
        self.slice(now).first += 1;
        self.first_total += 1;
    }

    /// Records that the part of `node` is spent here.
    pub fn hold_part(&mut self, now: Time, node: NodeId) {
        self.askers.insert(node, now);
    }

    /// Whether the budget allows one further send now.
    pub fn allows(&mut self, now: Time, what: Spend) -> bool {
        let kept = match what {
            Spend::OnFailure => 0.0,
            Spend::OnHedge => KEPT_FOR_FAILURES,
        };
        let (allowed, spent) = self.balance(now);
        let is_allowed = spent + 1.0 <= allowed * (1.0 - kept);
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

    /// Records a further send.
    pub fn spend(&mut self, now: Time) {
        self.slice(now).repeats += 1;
        self.granted += 1;
    }

    /// Whether so little is left that a send that fails may not be followed by another.
    pub fn is_short(&mut self, now: Time) -> bool {
        let (allowed, spent) = self.balance(now);
        spent + 1.0 > allowed * (1.0 - SHORT)
    }

    /// Repeats refused since the start.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Figures for reports.
    pub fn report(&mut self, now: Time) -> RepeatsReport {
        let (allowed, spent) = self.balance(now);
        let (first, _) = self.in_window(now);
        RepeatsReport {
            granted: self.granted,
            refused: self.refused,
            allowed,
            spent,
            first: first.into(),
            askers: self.askers.len(),
            first_total: self.first_total,
        }
    }

    /// Repeats allowed in the window that ends now, and those spent in it.
    fn balance(&mut self, now: Time) -> (f64, f64) {
        self.forget_askers(now, self.number(now));
        let (first, repeats) = self.in_window(now);
        let allowed = f64::from(first) * self.limits.ratio * RATIO_PART + self.extra(now);
        (allowed, f64::from(repeats + self.reserved))
    }

    /// First sends and repeats in the window that ends now.
    fn in_window(&self, now: Time) -> (u32, u32) {
        let number = self.number(now);
        let in_window = |it: &&Slice| it.number + SLICES as u64 >= number;
        let sum =
            |(first, repeats): (u32, u32), it: &Slice| (first + it.first, repeats + it.repeats);
        self.slices.iter().filter(in_window).fold((0, 0), sum)
    }

    /// The fixed part, for the nodes that have asked here.
    fn extra(&self, now: Time) -> f64 {
        let part = (self.askers.len() as f64 / self.nodes as f64).min(1.0);
        let is_new = now.since(self.started) < self.limits.window;
        let known = if is_new { EXTRA_AT_START } else { 1.0 };
        self.limits.extra * EXTRA_PART * part * known
    }

    /// Once a slice, because there may be hundreds of them.
    fn forget_askers(&mut self, now: Time, number: u64) {
        if std::mem::replace(&mut self.forgot_in, number) != number {
            let window = self.limits.window;
            self.askers.retain(|_, at| now.since(*at) < window);
        }
    }

    fn slice(&mut self, now: Time) -> &mut Slice {
        let number = self.number(now);
        let it = &mut self.slices[(number % (SLICES as u64 + 1)) as usize];
        if it.number != number {
            *it = Slice { number, ..Slice::default() };
        }
        it
    }

    fn number(&self, now: Time) -> u64 {
        let length = (self.limits.window.as_micros() as u64 / SLICES as u64).max(1);
        // Slice zero stands for one that was never used.
        now.0 / length + 1
    }
}
