//! The shares of allowances that nodes delegate to this node.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::{Delegation, owner_of};
use crate::rendezvous::NodeId;
use crate::time::Time;

/// A share counts for this long after the last message from its node, so that two lost messages in
/// a row have no effect. During this time a bucket may receive the share at two owners when the
/// fleet is partitioned, so the time is short.
pub(super) const HELD_FOR: Duration = Duration::from_millis(1_500);
/// Minimum time between two initial credits from the same node.
const BRINGS_EVERY: Duration = Duration::from_secs(5);

/// The shares delegated by responding nodes, grouped by the owners they name. Most nodes name the
/// same owners.
#[derive(Debug)]
pub(super) struct Shares {
    /// Number of nodes in the fleet.
    nodes: usize,
    parts: Vec<Part>,
    holders: FxHashMap<NodeId, Holder>,
}

/// Nodes that name the same owners.
#[derive(Debug)]
struct Part {
    owners: Vec<NodeId>,
    /// Seconds for which the nodes have delegated their shares, up to the last message of each, as
    /// fractions of undivided allowances.
    seconds: f64,
    /// Initial credits, as fractions of an undivided allowance.
    brought: f64,
    /// Initial credits from nodes that had just started, as fractions of an undivided allowance.
    brought_first: f64,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    /// The process of the node that has given the initial credit of a just started node.
    first_life: Option<u32>,
    part: usize,
    heard: Time,
    /// Time up to which the delegated share is included in the group.
    counted_to: Time,
    /// When the node last gave an initial credit.
    brought: Time,
}

/// The total supply of a bucket so far. It only grows while the same nodes delegate to the owner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Supply {
    /// Seconds of the undivided allowance.
    pub(super) seconds: f64,
    /// Initial credits, as fractions of an undivided one.
    pub(super) brought: f64,
    /// Initial credits from nodes that have just started, as fractions of an undivided one.
    pub(super) brought_first: f64,
    /// The share of the allowance that is delegated now.
    pub(super) part: f64,
}

impl Shares {
    pub(super) fn new() -> Self {
        Self { nodes: 1, parts: Vec::new(), holders: FxHashMap::default() }
    }

    /// Applies a change of the fleet's size. Supply from before the change stays the same.
    pub(super) fn set_nodes(&mut self, now: Time, nodes: usize) {
        let nodes = nodes.max(self.holders.len()).max(1);
        if nodes != self.nodes {
            self.settle(now);
            self.nodes = nodes;
        }
    }

    /// Applies a delegation by `node`.
    pub(super) fn delegate(&mut self, now: Time, node: NodeId, it: &Delegation) {
        let part = self.part(&it.owners);
        let known = self.holders.get(&node).copied();
        if let Some(it) = known {
            self.parts[it.part].seconds += it.uncounted(now).as_secs_f64() / self.nodes as f64;
        }
        let is_held = known.is_some_and(|it| it.part == part && it.is_held(now));
        let may_bring = known.is_none_or(|it| now.since(it.brought) >= BRINGS_EVERY);
        let before = known.and_then(|it| it.first_life);
        let brings_first = it.is_first && before != Some(it.incarnation);
        let brings = brings_first || (!is_held && may_bring);
        let brought = if brings { now } else { known.map_or(now, |it| it.brought) };
        let first_life = if brings_first { Some(it.incarnation) } else { before };
        self.holders
            .insert(node, Holder { first_life, part, heard: now, counted_to: now, brought });
        self.set_nodes(now, self.nodes);
        let share = 1.0 / self.nodes as f64;
        let part = &mut self.parts[part];
        match brings_first {
            true => part.brought_first += share,
            false if brings => part.brought += share,
            false => {}
        }
    }

    /// The supply of an organisation's bucket at this node.
    pub(super) fn supply(&self, now: Time, me: NodeId, organisation: u64) -> Supply {
        let is_mine = |it: &Part| owner_of(organisation, &it.owners) == Some(me);
        let is_mine: Vec<bool> = self.parts.iter().map(is_mine).collect();
        let mut supply = Supply::default();
        for (it, _) in self.parts.iter().zip(&is_mine).filter(|(_, is_mine)| **is_mine) {
            supply.seconds += it.seconds;
            supply.brought += it.brought;
            supply.brought_first += it.brought_first;
        }
        let share = 1.0 / self.nodes as f64;
        for it in self.holders.values().filter(|it| is_mine[it.part]) {
            supply.seconds += it.uncounted(now).as_secs_f64() * share;
            supply.part += if it.is_held(now) { share } else { 0.0 };
        }
        supply
    }

    /// Drops nodes that have not sent a message for long.
    pub(super) fn forget(&mut self, now: Time) {
        self.settle(now);
        self.holders.retain(|_, it| now.since(it.heard) < BRINGS_EVERY);
        let mut kept = vec![false; self.parts.len()];
        self.holders.values().for_each(|it| kept[it.part] = true);
        // The positions of the groups after those without nodes are dropped.
        let positions: Vec<usize> = kept
            .iter()
            .scan(0, |next, is_kept| Some(std::mem::replace(next, *next + usize::from(*is_kept))))
            .collect();
        self.holders.values_mut().for_each(|it| it.part = positions[it.part]);
        let mut is_kept = kept.into_iter();
        self.parts.retain(|_| is_kept.next().unwrap_or(false));
    }

    /// Adds the delegated time up to now to the groups.
    fn settle(&mut self, now: Time) {
        for it in self.holders.values_mut() {
            let held = it.uncounted(now);
            self.parts[it.part].seconds += held.as_secs_f64() / self.nodes as f64;
            it.counted_to = it.counted_to + held;
        }
    }

    /// Position of the group that names `owners`.
    fn part(&mut self, owners: &[NodeId]) -> usize {
        match self.parts.iter().position(|it| it.owners == owners) {
            Some(it) => it,
            None => {
                self.parts.push(Part {
                    owners: owners.to_vec(),
                    seconds: 0.0,
                    brought: 0.0,
                    brought_first: 0.0,
                });
                self.parts.len() - 1
            }
        }
    }
}

impl Holder {
    /// Whether the share of the node counts now.
    fn is_held(&self, now: Time) -> bool {
        now.since(self.heard) < HELD_FOR
    }

    /// Time for which the share counts and is not yet included in the group.
    fn uncounted(&self, now: Time) -> Duration {
        now.min(self.heard + HELD_FOR).since(self.counted_to)
    }
}
