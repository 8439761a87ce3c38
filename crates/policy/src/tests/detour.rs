use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::{DetourEnds, DetourNode, NodeId, Topology, choose_detours, stable_hash};

fn domain(name: &str) -> u64 {
    stable_hash(name.as_bytes())
}

/// Asks from `a1` for an endpoint in `a2` among nodes named by number and failure domain; returns the
/// failure domains of the chosen nodes, which must be the same for all seeds.
fn check(nodes: &[(u64, &str)], expected: &[&str]) {
    let topology = Topology::new(
        [("a1", "a"), ("a2", "a"), ("a3", "a"), ("b1", "b"), ("b2", "b")].into_iter(),
    );
    let ends = DetourEnds { from: domain("a1"), to: Some(domain("a2")) };
    for seed in 0..50 {
        let candidates = nodes
            .iter()
            .map(|(n, name)| DetourNode { node: NodeId(*n), failure_domain: domain(name) });
        let mut rng = StdRng::seed_from_u64(seed);
        let chosen = choose_detours(ends, &topology, candidates, &mut rng);
        let name = |it: &NodeId| nodes.iter().find(|(n, _)| NodeId(*n) == *it).unwrap().1;
        assert_eq!(chosen.iter().map(name).collect::<Vec<_>>(), expected, "seed {seed}");
    }
}

#[test]
fn each_node_is_in_another_failure_domain_and_the_nearest_come_first() {
    check(&[(1, "b1"), (2, "a3"), (3, "a2"), (4, "a2"), (5, "a1"), (6, "a1")], &["a1", "a2", "a3"]);
}

#[test]
fn a_node_of_another_region_is_asked_before_a_second_one_of_the_same_failure_domain() {
    check(&[(1, "a1"), (2, "a1"), (3, "b1")], &["a1", "b1", "a1"]);
}

#[test]
fn without_nodes_nobody_is_asked() {
    check(&[], &[]);
}
