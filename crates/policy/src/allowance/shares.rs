//! The shares of allowances that nodes delegate to this node.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::{Delegation, owner_of};
use crate::rendezvous::NodeId;
use crate::time::Time;

/// A share counts for this long after the last message from its node, so that two lost messages in
/// a row have no effect. During this time a bucket may receive the share at two owners when the
/// fleet is partitioned, so the time is short.
pub(super) const SHARE_LIFETIME: Duration = Duration::from_millis(1_500);
/// Minimum time between two initial credits from the same node.
const INITIAL_CREDIT_INTERVAL: Duration = Duration::from_secs(5);

/// The shares delegated by responding nodes, grouped by the owners they name. Most nodes name the
/// same owners.
#[derive(Debug)]
pub(super) struct Shares {
    /// Number of nodes in the fleet.
    nodes: usize,
    groups: Vec<Group>,
    delegators: FxHashMap<NodeId, Delegator>,
}

/// Nodes that name the same owners.
#[derive(Debug)]
struct Group {
    owners: Vec<NodeId>,
    /// Seconds for which the nodes have delegated their shares, up to the last message of each, as
    /// fractions of undivided allowances.
    seconds: f64,
    /// Initial credits, as fractions of an undivided allowance.
    initial: f64,
    /// Initial credits from nodes that had just started, as fractions of an undivided allowance.
    startup: f64,
}

/// A node that delegates its share.
#[derive(Clone, Copy, Debug)]
struct Delegator {
    /// The process of the node whose startup credit has been counted.
    startup_incarnation: Option<u32>,
    group: usize,
    last_message: Time,
    /// Time up to which the delegated share is included in the group.
    included_to: Time,
    /// When the node last gave an initial credit.
    initial_at: Time,
}

/// The total supply of a bucket so far. It only grows while the same nodes delegate to the owner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Supply {
    /// Seconds of the undivided allowance.
    pub(super) seconds: f64,
    /// Initial credits, as fractions of an undivided one.
    pub(super) initial: f64,
    /// Initial credits from nodes that have just started, as fractions of an undivided one.
    pub(super) startup: f64,
    /// The share of the allowance that is delegated now.
    pub(super) share: f64,
}

impl Shares {
    pub(super) fn new() -> Self {
        Self { nodes: 1, groups: Vec::new(), delegators: FxHashMap::default() }
    }

    /// Applies a change of the fleet's size. Supply from before the change stays the same.
    pub(super) fn set_nodes(&mut self, now: Time, nodes: usize) {
        let nodes = nodes.max(self.delegators.len()).max(1);
        if nodes != self.nodes {
            self.include_up_to(now);
            self.nodes = nodes;
        }
    }

    /// Applies a delegation by `node`.
    pub(super) fn delegate(&mut self, now: Time, node: NodeId, it: &Delegation) {
        let group = self.group(&it.owners);
        let known = self.delegators.get(&node).copied();
        if let Some(it) = known {
            self.groups[it.group].seconds += it.not_included(now).as_secs_f64() / self.nodes as f64;
        }
        let counts = known.is_some_and(|it| it.group == group && it.counts(now));
        let may_give_initial =
            known.is_none_or(|it| now.since(it.initial_at) >= INITIAL_CREDIT_INTERVAL);
        let before = known.and_then(|it| it.startup_incarnation);
        let gives_startup = it.is_first && before != Some(it.incarnation);
        let gives_initial = gives_startup || (!counts && may_give_initial);
        let initial_at = if gives_initial { now } else { known.map_or(now, |it| it.initial_at) };
        let startup_incarnation = if gives_startup { Some(it.incarnation) } else { before };
        self.delegators.insert(
            node,
            Delegator {
                startup_incarnation,
                group,
                last_message: now,
                included_to: now,
                initial_at,
            },
        );
        self.set_nodes(now, self.nodes);
        let share = 1.0 / self.nodes as f64;
        let group = &mut self.groups[group];
        match gives_startup {
            true => group.startup += share,
            false if gives_initial => group.initial += share,
            false => {}
        }
    }

    /// The supply of an organisation's bucket at this node.
    pub(super) fn supply(&self, now: Time, me: NodeId, organisation: u64) -> Supply {
        let is_mine = |it: &Group| owner_of(organisation, &it.owners) == Some(me);
        let is_mine: Vec<bool> = self.groups.iter().map(is_mine).collect();
        let mut supply = Supply::default();
        for (it, _) in self.groups.iter().zip(&is_mine).filter(|(_, is_mine)| **is_mine) {
            supply.seconds += it.seconds;
            supply.initial += it.initial;
            supply.startup += it.startup;
        }
        let share = 1.0 / self.nodes as f64;
        for it in self.delegators.values().filter(|it| is_mine[it.group]) {
            supply.seconds += it.not_included(now).as_secs_f64() * share;
            supply.share += if it.counts(now) { share } else { 0.0 };
        }
        supply
    }

    /// Drops nodes that have not sent a message for long.
    pub(super) fn drop_outdated(&mut self, now: Time) {
        self.include_up_to(now);
        self.delegators.retain(|_, it| now.since(it.last_message) < INITIAL_CREDIT_INTERVAL);
        let mut kept = vec![false; self.groups.len()];
        self.delegators.values().for_each(|it| kept[it.group] = true);
        // The positions of the groups after those without nodes are dropped.
        let positions: Vec<usize> = kept
            .iter()
            .scan(0, |next, is_kept| Some(std::mem::replace(next, *next + usize::from(*is_kept))))
            .collect();
        self.delegators.values_mut().for_each(|it| it.group = positions[it.group]);
        let mut is_kept = kept.into_iter();
        self.groups.retain(|_| is_kept.next().unwrap_or(false));
    }

    /// Adds the delegated time up to now to the groups.
    fn include_up_to(&mut self, now: Time) {
        for it in self.delegators.values_mut() {
            let held = it.not_included(now);
            self.groups[it.group].seconds += held.as_secs_f64() / self.nodes as f64;
            it.included_to = it.included_to + held;
        }
    }

    /// Position of the group that names `owners`.
    fn group(&mut self, owners: &[NodeId]) -> usize {
        match self.groups.iter().position(|it| it.owners == owners) {
            Some(it) => it,
            None => {
                self.groups.push(Group {
                    owners: owners.to_vec(),
                    seconds: 0.0,
                    initial: 0.0,
                    startup: 0.0,
                });
                self.groups.len() - 1
            }
        }
    }
}

impl Delegator {
    /// Whether the share of the node counts now.
    fn counts(&self, now: Time) -> bool {
        now.since(self.last_message) < SHARE_LIFETIME
    }

    /// Time for which the share counts and is not yet included in the group.
    fn not_included(&self, now: Time) -> Duration {
        now.min(self.last_message + SHARE_LIFETIME).since(self.included_to)
    }
}
