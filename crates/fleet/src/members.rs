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
/// A node that starts among others knows enough of the endpoints after this: its evidence would
/// otherwise start anew at every restart of a dispatching node.
pub const NEWCOMER_FOR: Duration = Duration::from_secs(6);
/// Rounds without news that are never too many.
const MIN_QUIET_ROUNDS: u32 = 10;

/// One node.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    /// Its latest facts.
    pub info: NodeInfo,
    /// When they were learnt.
    pub heard: Time,
    /// It started while others served already: until then it is not asked to dispatch, because it
    /// knows nothing of the endpoints.
    newcomer_until: Time,
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
        let known = self.by_id.get(&id).copied();
        let age = |it: &NodeInfo| (it.incarnation, it.version);
        if known.is_some_and(|it| age(&it.info) >= age(&info)) {
            return false;
        }
        let same_life = known.filter(|it| it.info.incarnation == info.incarnation);
        let newcomer_until = match same_life {
            Some(it) => it.newcomer_until,
            None if info.phase != Phase::Ready && self.any_ready(id) => now + NEWCOMER_FOR,
            None => Time::default(),
        };
        self.by_id.insert(id, Member { info, heard: now, newcomer_until });
        true
    }

    /// Whether any node but this one is ready.
    fn any_ready(&self, but: NodeId) -> bool {
        self.iter().any(|(id, it)| id != but && it.info.phase == Phase::Ready)
    }

    /// A node by its identity.
    pub fn get(&self, id: NodeId) -> Option<&Member> {
        self.by_id.get(&id)
    }

    /// All nodes.
    pub fn iter(&self) -> impl Iterator<Item = (NodeId, &Member)> {
        self.by_id.iter().map(|(id, it)| (*id, it))
    }

    /// Number of nodes.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether no node is known.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Nodes that serve, were heard of lately and may be asked to dispatch: newcomers are not. When a
    /// whole fleet starts anew there are no newcomers in it, so that nodes which find each other agree
    /// from the first moment on.
    pub fn serving(
        &self,
        now: Time,
        round: Duration,
    ) -> impl Iterator<Item = (NodeId, &Member)> + '_ {
        let rounds_between_news = (self.by_id.len() / NODES_PER_FRAME) as u32;
        let quiet = round * (rounds_between_news * QUIET_INTERVALS).max(MIN_QUIET_ROUNDS);
        self.iter()
            .filter(move |(_, it)| matches!(it.info.phase, Phase::Fresh | Phase::Ready))
            .filter(move |(_, it)| now >= it.newcomer_until && now.since(it.heard) < quiet)
    }

    /// Drops nodes that were not heard of for `age`.
    pub fn expire(&mut self, now: Time, age: Duration) {
        self.by_id.retain(|_, it| now.since(it.heard) < age);
    }
}
