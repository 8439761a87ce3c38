//! The shares of allowances that nodes entrust to this one.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::{Entrusted, owner_of};
use crate::rendezvous::NodeId;
use crate::time::Time;

/// A share counts here for this long after its node was last heard: two messages in a row may be lost. It is what a
/// bucket may have twice when a fleet falls apart, so it is short.
pub(super) const HELD_FOR: Duration = Duration::from_millis(1_500);
/// A node brings something along to a new owner no more often than this.
const BRINGS_EVERY: Duration = Duration::from_secs(5);

/// What the nodes that are heard have entrusted, by the owners that they name. Most name the same ones.
#[derive(Debug)]
pub(super) struct Shares {
    /// Nodes of the fleet.
    nodes: usize,
    parts: Vec<Part>,
    holders: FxHashMap<NodeId, Holder>,
}

/// Nodes that name the same owners.
#[derive(Debug)]
struct Part {
    owners: Vec<NodeId>,
    /// Seconds for which they have entrusted their shares, up to when each was last heard, in shares of the whole.
    seconds: f64,
    /// What they have brought along, in shares of the whole.
    brought: f64,
    /// The same for what they have brought when they had just started.
    brought_first: f64,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    /// The life that has brought something when it had just started.
    first_life: Option<u32>,
    part: usize,
    heard: Time,
    /// Up to then its time stands in its part.
    counted_to: Time,
    /// When it last brought something along.
    brought: Time,
}

/// What a bucket has had until now. It only grows while the same nodes entrust it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Supply {
    /// Seconds of the whole allowance.
    pub(super) seconds: f64,
    /// Wholes of what a new owner is given.
    pub(super) brought: f64,
    /// Wholes of what nodes that have just started bring along.
    pub(super) brought_first: f64,
    /// The part that is entrusted now.
    pub(super) part: f64,
}

impl Shares {
    pub(super) fn new() -> Self {
        Self { nodes: 1, parts: Vec::new(), holders: FxHashMap::default() }
    }

    /// Follows a change of the fleet's size; what has accrued before stays.
    pub(super) fn set_nodes(&mut self, now: Time, nodes: usize) {
        let nodes = nodes.max(self.holders.len()).max(1);
        if nodes != self.nodes {
            self.settle(now);
            self.nodes = nodes;
        }
    }

    pub(super) fn entrust(&mut self, now: Time, node: NodeId, it: &Entrusted) {
        let part = self.part(&it.owners);
        let known = self.holders.get(&node).copied();
        if let Some(it) = known {
            self.parts[it.part].seconds += it.uncounted(now).as_secs_f64() / self.nodes as f64;
        }
        let is_held = known.is_some_and(|it| it.part == part && it.is_held(now));
        let may_bring = known.is_none_or(|it| now.since(it.brought) >= BRINGS_EVERY);
        let before = known.and_then(|it| it.first_life);
        let brings_first = it.is_first && before != Some(it.life);
        let brings = brings_first || (!is_held && may_bring);
        let brought = if brings { now } else { known.map_or(now, |it| it.brought) };
        let first_life = if brings_first { Some(it.life) } else { before };
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

    /// What the bucket of an organisation has had here.
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

    /// Drops nodes that are long gone.
    pub(super) fn forget(&mut self, now: Time) {
        self.settle(now);
        self.holders.retain(|_, it| now.since(it.heard) < BRINGS_EVERY);
        let mut kept = vec![false; self.parts.len()];
        self.holders.values().for_each(|it| kept[it.part] = true);
        // Where each part stands once those without holders are gone.
        let positions: Vec<usize> = kept
            .iter()
            .scan(0, |next, is_kept| Some(std::mem::replace(next, *next + usize::from(*is_kept))))
            .collect();
        self.holders.values_mut().for_each(|it| it.part = positions[it.part]);
        let mut is_kept = kept.into_iter();
        self.parts.retain(|_| is_kept.next().unwrap_or(false));
    }

    /// Adds what nodes have entrusted until now.
    fn settle(&mut self, now: Time) {
        for it in self.holders.values_mut() {
            let held = it.uncounted(now);
            self.parts[it.part].seconds += held.as_secs_f64() / self.nodes as f64;
            it.counted_to = it.counted_to + held;
        }
    }

    /// Position of the part of those that name `owners`.
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
    fn is_held(&self, now: Time) -> bool {
        now.since(self.heard) < HELD_FOR
    }

    /// Time for which its share counts, and has not been counted yet.
    fn uncounted(&self, now: Time) -> Duration {
        now.min(self.heard + HELD_FOR).since(self.counted_to)
    }
}
