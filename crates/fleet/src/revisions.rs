//! Which configuration this node holds and has in force, and when a fresh node may serve.
//!
//! A revision is *held* once its parts are whole and valid, and *in force* once enough nodes hold
//! it. A fresh node is ready once it has asked all listed nodes but a few, since its own start, and
//! has in force at least what they held. Nothing a node has in force is then forgotten as long as
//!
//! > nodes that lost their memory together + nodes that a fresh one may leave out < holders needed.
//!
//! The rule is checked exhaustively in `tests/revisions_model.rs`.

use std::collections::BTreeMap;

use policy::NodeId;
use serde::{Deserialize, Serialize};

/// A revision with a prefix of its content's digest.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Held {
    /// The platform's revision; 0 for none.
    pub revision: u64,
    /// The first eight bytes of the digest.
    pub digest: u64,
}

/// What a node says about its configuration.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Facts {
    /// The newest revision it holds.
    pub held: Held,
    /// The revision it has in force.
    pub in_force: u64,
    /// Whether it has started lately and does not yet know what the fleet has in force.
    pub fresh: bool,
}

/// How many nodes must hold a revision, and how many a fresh node may leave out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Nodes that hold a revision before it is in force, this one included.
    pub holders: usize,
    /// Listed nodes that a fresh node may start without.
    pub unheard: usize,
}

/// Losses at once that the holders outnumber, beside the nodes that were left out.
const SPARE_HOLDERS: usize = 4;
/// A fresh node may leave out one listed node of this many.
const UNHEARD_PART: usize = 20;
/// A smaller fleet leaves nobody out.
const SMALL_FLEET: usize = 10;

impl Rule {
    /// The rule for a fleet of `listed` nodes, this one included. From three nodes on, a change
    /// comes into force although one of them is gone.
    pub fn of(listed: usize) -> Self {
        if listed < SMALL_FLEET {
            let all_but_one = if listed <= 2 { listed } else { listed - 1 };
            return Self { holders: all_but_one.clamp(1, SPARE_HOLDERS), unheard: 0 };
        }
        let unheard = (listed / UNHEARD_PART).max(1);
        Self { holders: unheard + SPARE_HOLDERS, unheard }
    }
}

/// Why a fresh node does not serve yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unready {
    /// The list of VMs is unknown.
    #[error("the list of VMs has not been read: check `platform.addr` and `fleet.seeds`")]
    NoList,
    /// Too few nodes have answered.
    #[error(
        "{missing} listed VMs have not answered, {allowed} may be left out: \
         check that UDP between VMs passes both ways, or wait until the list drops the dead ones"
    )]
    Unheard {
        /// Listed nodes without an answer.
        missing: usize,
        /// How many may be left out.
        allowed: usize,
    },
    /// A peer holds a newer revision than the one in force here.
    #[error("revision {0} is held elsewhere and not in force here yet: it is being fetched")]
    Behind(u64),
    /// No configuration is in force anywhere.
    #[error("no configuration is in force: publish one, or check why it was rejected")]
    NoConfiguration,
}

/// The revisions of one node and what it knows of its peers'.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Revisions {
    me: NodeId,
    mine: Facts,
    /// Listed nodes, this one included.
    listed: Vec<NodeId>,
    /// Latest facts of each peer, in its latest incarnation.
    peers: BTreeMap<NodeId, Facts>,
    /// Peers that have answered since this process started, with the revision they then held.
    answered: BTreeMap<NodeId, u64>,
}

impl Revisions {
    /// A node that has just started and holds nothing.
    pub fn new(me: NodeId) -> Self {
        let mine = Facts { fresh: true, ..Facts::default() };
        Self { me, mine, listed: Vec::new(), peers: BTreeMap::new(), answered: BTreeMap::new() }
    }

    /// What this node says about itself.
    pub fn facts(&self) -> Facts {
        self.mine
    }

    /// Follows the list of VMs that are not leaving; this node always counts.
    pub fn set_listed(&mut self, nodes: impl IntoIterator<Item = NodeId>) {
        let mut listed: Vec<_> = nodes.into_iter().collect();
        listed.push(self.me);
        listed.sort_unstable();
        listed.dedup();
        self.listed = listed;
    }

    /// Holds a revision that is whole and valid. Returns whether it is newer than the one before.
    pub fn hold(&mut self, held: Held) -> bool {
        let newer = held.revision > self.mine.held.revision;
        if newer {
            self.mine.held = held;
        }
        newer
    }

    /// Learns a peer's facts; those of an earlier incarnation must not be passed on to here.
    pub fn heard(&mut self, peer: NodeId, facts: Facts) {
        self.peers.insert(peer, facts);
    }

    /// Learns a peer's answer to a query that was sent after this process started. What the peer
    /// holds counts, not only what it has in force: the node that had it in force may be this one,
    /// before it lost its memory.
    pub fn answered(&mut self, peer: NodeId, facts: Facts) {
        if self.mine.fresh {
            let known = self.answered.entry(peer).or_insert(0);
            *known = facts.held.revision.max(*known);
        }
    }

    /// Listed peers that have not answered yet.
    pub fn unanswered(&self) -> impl Iterator<Item = NodeId> + '_ {
        let others = self.listed.iter().copied().filter(|it| *it != self.me);
        others.filter(|it| !self.answered.contains_key(it))
    }

    /// A revision held by a peer that is newer than the one held here.
    pub fn newer_at(&self) -> Option<(NodeId, Held)> {
        let newest = self.peers.iter().max_by_key(|(_, it)| it.held.revision)?;
        (newest.1.held.revision > self.mine.held.revision).then_some((*newest.0, newest.1.held))
    }

    /// Moves as far as the facts allow. Returns the revision that has come into force, if any.
    pub fn advance(&mut self) -> Option<u64> {
        let held = self.mine.held;
        if self.mine.fresh && self.readiness_but_for_force().is_ok() {
            self.mine.fresh = false;
        }
        if self.mine.fresh || held.revision <= self.mine.in_force || !self.is_widely_held(held) {
            return None;
        }
        self.mine.in_force = held.revision;
        Some(held.revision)
    }

    /// Whether this node may serve, and if not, why.
    pub fn readiness(&self) -> Result<(), Unready> {
        if self.mine.fresh {
            self.readiness_but_for_force()?;
        }
        let needed = self.answered.values().copied().max().unwrap_or(0);
        if self.mine.in_force < needed {
            return Err(Unready::Behind(needed));
        }
        if self.mine.in_force == 0 {
            return Err(Unready::NoConfiguration);
        }
        Ok(())
    }

    /// The rule in use.
    pub fn rule(&self) -> Rule {
        Rule::of(self.listed.len())
    }

    /// Nodes that hold `revision` or a later one, this one included if it does.
    pub fn holders(&self, revision: u64) -> usize {
        let peers = self.peers.iter().filter(|(id, _)| self.listed.binary_search(id).is_ok());
        let peers = peers.filter(|(_, it)| it.held.revision >= revision).count();
        peers + usize::from(self.mine.held.revision >= revision)
    }

    fn readiness_but_for_force(&self) -> Result<(), Unready> {
        if self.listed.is_empty() {
            return Err(Unready::NoList);
        }
        let (missing, allowed) = (self.unanswered().count(), self.rule().unheard);
        if missing > allowed {
            return Err(Unready::Unheard { missing, allowed });
        }
        let needed = self.answered.values().copied().max().unwrap_or(0);
        if self.mine.held.revision < needed {
            return Err(Unready::Behind(needed));
        }
        Ok(())
    }

    /// A revision that a peer has in force was widely held once and stays so.
    fn is_widely_held(&self, held: Held) -> bool {
        let in_force = |it: &Facts| it.in_force >= held.revision;
        self.holders(held.revision) >= self.rule().holders || self.peers.values().any(in_force)
    }
}
