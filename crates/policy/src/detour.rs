//! Which nodes are asked for a connection to an endpoint that the asking node does not reach.

use rand::Rng;
use rand::seq::SliceRandom;

use crate::rendezvous::NodeId;
use crate::topology::Topology;

/// Maximum number of nodes that are asked for one connection.
const MAX_NODES: usize = 3;

/// A node that may be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DetourNode {
    /// The node.
    pub node: NodeId,
    /// Hash of its failure domain.
    pub failure_domain: u64,
}

/// Places between which a detour leads, as hashes of failure domains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DetourEnds {
    /// Of the asking node.
    pub from: u64,
    /// Of the endpoint, if known.
    pub to: Option<u64>,
}

/// Chooses the nodes to ask, best first. A node in the failure domain of either end adds no crossing
/// between failure domains. Failures of paths often affect most of a failure domain, so that each
/// further node is in another one if possible. The choice is random among equals, which spreads the load.
pub fn choose_detours(
    ends: DetourEnds,
    topology: &Topology,
    nodes: impl IntoIterator<Item = DetourNode>,
    rng: &mut impl Rng,
) -> Vec<NodeId> {
    let mut nodes: Vec<DetourNode> = nodes.into_iter().collect();
    nodes.shuffle(rng);
    nodes.sort_by_key(|it| match it.failure_domain {
        domain if domain == ends.from => 0,
        domain if Some(domain) == ends.to => 1,
        domain if topology.is_same_region(ends.from, domain) => 2,
        _ => 3,
    });
    let mut chosen: Vec<DetourNode> = Vec::new();
    while chosen.len() < MAX_NODES && !nodes.is_empty() {
        let is_new_domain =
            |it: &DetourNode| chosen.iter().all(|other| other.failure_domain != it.failure_domain);
        let next = nodes.iter().position(is_new_domain).unwrap_or(0);
        chosen.push(nodes.remove(next));
    }
    chosen.into_iter().map(|it| it.node).collect()
}
