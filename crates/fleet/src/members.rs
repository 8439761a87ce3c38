//! The other known nodes. No guarantee depends on the assumption that a node is dead because
//! nothing was received from it for a while.

use std::time::Duration;

use policy::{NodeId, Time, stable_hash};
use rustc_hash::FxHashMap;

use crate::wire::{Features, NODES_PER_FRAME, NodeInfo, Phase};

/// A node without updates for this many times the usual interval is not asked to dispatch. The
/// value is generous, because nodes that disagree here ask different dispatching nodes; a node that
/// is really gone is passed over by the nodes that get no answer from it.
const QUIET_INTERVALS: u32 = 5;
/// A node that joins a serving fleet has enough observations of the endpoints after this time.
/// Without it, every restart of a dispatching node would reset the collected observations.
pub const RECENTLY_JOINED_FOR: Duration = Duration::from_secs(6);
/// A node is never considered quiet before this many rounds without updates.
const MIN_QUIET_ROUNDS: u32 = 10;

/// A known node.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    /// Its latest known state.
    pub info: NodeInfo,
    /// When that state was received.
    pub last_seen: Time,
    /// Until then a node that joined a serving fleet is not asked to dispatch, because it has no
    /// observations of the endpoints.
    recently_joined_until: Time,
}

/// The known nodes, without the local one.
#[derive(Clone, Debug, Default)]
pub struct Members {
    by_id: FxHashMap<NodeId, Member>,
}

/// Identity of the node at an address.
pub fn node_id(addr: std::net::SocketAddr) -> NodeId {
    NodeId(stable_hash(addr.to_string().as_bytes()))
}

impl Members {
    /// Records the state of a node; returns whether it was newer than the known one.
    pub fn record(&mut self, now: Time, mut info: NodeInfo) -> bool {
        let id = node_id(info.addr);
        let known = self.by_id.get(&id).copied();
        let sequence = |it: &NodeInfo| (it.incarnation, it.version);
        if known.is_some_and(|it| sequence(&it.info) >= sequence(&info)) {
            return false;
        }
        let same_incarnation = known.filter(|it| it.info.incarnation == info.incarnation);
        // A node that knows no features passes on the state of others without them.
        if let Some(it) = same_incarnation
            && info.features == Features::NONE
        {
            info.features = it.info.features;
        }
        let recently_joined_until = match same_incarnation {
            Some(it) => it.recently_joined_until,
            None if info.phase != Phase::Ready && self.any_other_ready(id) => {
                now + RECENTLY_JOINED_FOR
            }
            None => Time::default(),
        };
        self.by_id.insert(id, Member { info, last_seen: now, recently_joined_until });
        true
    }

    /// Whether any node other than `except` is ready.
    fn any_other_ready(&self, except: NodeId) -> bool {
        self.iter().any(|(id, it)| id != except && it.info.phase == Phase::Ready)
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

    /// The nodes that serve, were seen recently and may be asked to dispatch; recently joined nodes
    /// may not. After a restart of the whole fleet no node counts as recently joined, so nodes that
    /// discover each other agree from the beginning.
    pub fn serving(
        &self,
        now: Time,
        round: Duration,
    ) -> impl Iterator<Item = (NodeId, &Member)> + '_ {
        self.alive(now, round).filter(move |(_, it)| now >= it.recently_joined_until)
    }

    /// The nodes that serve and were seen recently, also those that know nothing of the endpoints yet.
    pub fn alive(
        &self,
        now: Time,
        round: Duration,
    ) -> impl Iterator<Item = (NodeId, &Member)> + '_ {
        let rounds_between_updates = (self.by_id.len() / NODES_PER_FRAME) as u32;
        let quiet_limit = round * (rounds_between_updates * QUIET_INTERVALS).max(MIN_QUIET_ROUNDS);
        self.iter()
            .filter(move |(_, it)| matches!(it.info.phase, Phase::Fresh | Phase::Ready))
            .filter(move |(_, it)| now.since(it.last_seen) < quiet_limit)
    }

    /// Drops nodes from which nothing was received for `age`.
    pub fn expire(&mut self, now: Time, age: Duration) {
        self.by_id.retain(|_, it| now.since(it.last_seen) < age);
    }
}
