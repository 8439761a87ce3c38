//! Rendezvous hashing: all nodes that know the same peers select the same owner without
//! coordination (Thaler and Ravishankar, 1998).

use serde::{Deserialize, Serialize};

/// Identity of a node: a stable hash of its address.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct NodeId(pub u64);

/// A hash of `buf` that is equal on every node and in every version (FNV-1a, 64 bits, with a final
/// mixing step because FNV alone leaves the high bits of short keys similar).
pub fn stable_hash(buf: &[u8]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let hash = buf.iter().fold(OFFSET, |h, b| (h ^ u64::from(*b)).wrapping_mul(PRIME));
    mix(hash)
}

/// Orders `nodes` by their rank for `key`: the first one is the owner, the others are its
/// successors.
pub fn rank(key: u64, nodes: impl IntoIterator<Item = NodeId>) -> Vec<NodeId> {
    let mut ranked: Vec<_> = nodes.into_iter().map(|it| (mix(key ^ mix(it.0)), it)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, it)| it).collect()
}

/// Like [`rank`], with strong nodes before weak ones. Each node is given with its millicores; a
/// node is strong if it has more than half of the millicores of the strongest one.
pub fn rank_strong_first(key: u64, nodes: &[(NodeId, u32)]) -> Vec<NodeId> {
    let is_strong = is_strong(nodes);
    let (strong, weak): (Vec<_>, Vec<_>) = nodes.iter().partition(|it| is_strong(it));
    let ids = |of: Vec<&(NodeId, u32)>| of.into_iter().map(|(id, _)| *id).collect::<Vec<_>>();
    let mut ranked = rank(key, ids(strong));
    ranked.extend(rank(key, ids(weak)));
    ranked
}

/// The strong nodes among `nodes`.
pub(crate) fn strong(nodes: &[(NodeId, u32)]) -> impl Iterator<Item = NodeId> + '_ {
    let is_strong = is_strong(nodes);
    nodes.iter().filter(move |it| is_strong(it)).map(|(id, _)| *id)
}

fn is_strong(nodes: &[(NodeId, u32)]) -> impl Fn(&(NodeId, u32)) -> bool + use<> {
    let most = nodes.iter().map(|(_, millicores)| *millicores).max().unwrap_or_default();
    move |(_, millicores)| millicores * 2 > most
}

fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    x = (x ^ (x >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}
