//! Ranking of nodes by rendezvous hashing.

use crate::{NodeId, rank, rank_strong_first};

/// Nodes with these numbers of millicores.
fn nodes(of: &[u32]) -> Vec<(NodeId, u32)> {
    (0..).map(NodeId).zip(of.iter().copied()).collect()
}

#[track_caller]
fn check(of: &[u32], strong: usize) {
    let nodes = nodes(of);
    for key in 0..50 {
        let ranked = rank_strong_first(key, &nodes);
        let is_strong = |id: &&NodeId| nodes[id.0 as usize].1 * 2 > *of.iter().max().unwrap();
        assert_eq!(ranked.iter().take_while(is_strong).count(), strong);
        assert_eq!(ranked.iter().filter(is_strong).count(), strong);
        assert_eq!(ranked.len(), of.len());
    }
}

#[test]
fn strong_nodes_go_before_weak_ones() {
    check(&[100, 500, 100, 400, 250], 2);
    check(&[100, 0, 90], 2);
    check(&[1_000, 0, 0], 1);
}

#[test]
fn among_equal_nodes_the_hash_alone_decides() {
    let nodes = nodes(&[200; 40]);
    for key in 0..50 {
        let ids = nodes.iter().map(|(id, _)| *id);
        assert_eq!(rank_strong_first(key, &nodes), rank(key, ids));
    }
}

/// Services are spread over the strong nodes.
#[test]
fn each_strong_node_owns_some_keys() {
    let nodes = nodes(&[500, 100, 500, 100, 500]);
    let mut owners: Vec<_> = (0..60).map(|key| rank_strong_first(key, &nodes)[0]).collect();
    owners.sort();
    owners.dedup();
    assert_eq!(owners, [NodeId(0), NodeId(2), NodeId(4)]);
}
