//! The nodes that this one has heard of. "Not heard of lately" is never taken for "dead" by
//! anything that must always hold.

use std::time::Duration;

use policy::{NodeId, Time, stable_hash};
use rustc_hash::FxHashMap;

use crate::wire::{NODES_PER_FRAME, NodeInfo, Phase};

/// A node that was not heard of for this many times the usual interval between news of it is not
/// asked to dispatch. Generous, because nodes that differ here ask different dispatchers; one that
/// is really gone is passed over by those that it does not answer.
const QUIET_INTERVALS: u32 = 5;
/// Rounds without news that are never too many.
const MIN_QUIET_ROUNDS: u32 = 10;

/// One node.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    /// Its latest facts.
    pub info: NodeInfo,
    /// When they were learnt.
    pub heard: Time,
}

/// The known nodes.
#[derive(Clone, Debug, Default)]
pub struct Members {
    by_id: FxHashMap<NodeId, Member>,
}

/// Identity of the node at an address.
pub fn node_id(addr: std::net::SocketAddr) -> NodeId {
    NodeId(stable_hash(addr.to_string().as_bytes()))
}

impl Members {
    /// Takes in facts; returns whether they are news.
    pub fn learn(&mut self, now: Time, info: NodeInfo) -> bool {
        let id = node_id(info.addr);
        let known = self.by_id.get(&id).map(|it| (it.info.incarnation, it.info.version));
        if known.is_some_and(|it| it >= (info.incarnation, info.version)) {
            return false;
        }
        self.by_id.insert(id, Member { info, heard: now });
        true
    }

    /// A node by its identity.
    pub fn get(&self, id: NodeId) -> Option<&Member> {
        self.by_id.get(&id)
    }

    /// All nodes.
    pub fn iter(&self) -> impl Iterator<Item = (NodeId, &Member)> {
        self.by_id.iter().map(|(id, it)| (*id, it))
    }

    /// Whether no node is known.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Nodes in a phase that were heard of lately.
    pub fn in_phase(
        &self,
        now: Time,
        phase: Phase,
        round: Duration,
    ) -> impl Iterator<Item = NodeId> + '_ {
        let rounds_between_news = (self.by_id.len() / NODES_PER_FRAME) as u32;
        let quiet = round * (rounds_between_news * QUIET_INTERVALS).max(MIN_QUIET_ROUNDS);
        self.iter()
            .filter(move |(_, it)| it.info.phase == phase && now.since(it.heard) < quiet)
            .map(|(id, _)| id)
    }

    /// Drops nodes that were not heard of for `age`.
    pub fn expire(&mut self, now: Time, age: Duration) {
        self.by_id.retain(|_, it| now.since(it.heard) < age);
    }
}
