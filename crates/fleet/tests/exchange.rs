//! The exchange of many nodes over a lossy network in virtual time.

use std::time::Duration;

use fleet::{Gossip, Message, Phase, Verdict, node_id};
use standin::net::{Net, addr};

fn started(n: usize, loss: f64) -> Net {
    let mut net = Net::new(n, loss);
    (0..n).for_each(|i| net.hold(i, 1));
    net.run(Duration::from_secs(20));
    assert_eq!(net.ready(), n);
    net
}

#[test]
fn a_revision_that_one_node_reads_comes_into_force_everywhere() {
    for loss in [0.0, 0.2] {
        let mut net = started(40, loss);
        net.hold(0, 2);
        net.run(Duration::from_secs(5));
        assert_eq!(net.in_force(), [2; 40], "loss {loss}");
    }
}

#[test]
fn the_byte_budget_is_kept_whatever_the_size() {
    for n in [3, 40, 120] {
        let mut net = started(n, 0.0);
        net.control_bytes = 0;
        net.run(Duration::from_secs(20));
        let per_node = net.control_bytes / n as u64 / 20;
        assert!(per_node <= 5_000, "{n} nodes: {per_node} bytes a second");
    }
}

#[test]
fn a_cut_in_one_direction_does_not_stop_a_revision() {
    let mut net = started(6, 0.0);
    // Node 5 can be heard but hears only node 0.
    net.cut = (1..5).map(|i| (i, 5)).collect();
    net.hold(1, 2);
    net.run(Duration::from_secs(20));
    assert_eq!(net.in_force(), [2; 6]);
}

#[test]
fn a_restarted_node_learns_from_peers_while_the_platform_is_stale() {
    let mut net = started(5, 0.1);
    net.hold(0, 2);
    net.run(Duration::from_secs(5));
    net.restart(3);
    // The platform serves the old revision.
    net.hold(3, 1);
    assert!(net.nodes[3].revisions.readiness().is_err());
    net.run(Duration::from_secs(10));
    assert_eq!(net.in_force(), [2; 5]);
    assert_eq!(net.ready(), 5);
}

#[test]
fn a_node_that_hears_nobody_stays_unready_and_says_why() {
    let mut net = started(5, 0.0);
    net.restart(3);
    net.cut = (0..5).map(|i| (i, 3)).collect();
    net.hold(3, 1);
    net.run(Duration::from_secs(10));
    let reason = net.nodes[3].revisions.readiness().unwrap_err().to_string();
    assert!(reason.starts_with("4 listed VMs have not answered"), "{reason}");
}

#[test]
fn a_partition_that_heals_takes_the_newer_revision() {
    let mut net = started(8, 0.0);
    for i in 0..4 {
        net.cut.extend((4..8).flat_map(|j| [(i, j), (j, i)]));
    }
    net.hold(0, 3);
    net.hold(4, 2);
    net.run(Duration::from_secs(10));
    assert_eq!(net.in_force(), [3, 3, 3, 3, 2, 2, 2, 2]);
    net.cut.clear();
    net.run(Duration::from_secs(10));
    assert_eq!(net.in_force(), [3; 8]);
}

#[test]
fn frames_of_unlisted_nodes_are_dropped_while_the_list_is_current() {
    let mut net = started(3, 0.0);
    net.nodes[0].set_listed(net.now, [addr(1)]);
    let before = net.nodes[0].unlisted;
    net.run(Duration::from_secs(3));
    assert!(net.nodes[0].unlisted > before);
}

#[test]
fn word_of_a_leaving_endpoint_reaches_every_node_within_two_seconds() {
    let mut net = started(40, 0.0);
    let endpoint = ([10, 0, 0, 1], 80).into();
    let verdict = Verdict { endpoint, leaving: true, valid_ms: 60_000 };
    net.nodes[0].tell(net.now, verdict);
    net.run(Duration::from_secs(2));
    let knows = |it: &&fleet::Exchange| it.verdicts().any(|v| v.endpoint == endpoint);
    let knowing = net.nodes.iter().filter(knows).count();
    assert_eq!(knowing, 40);
}

#[test]
fn a_member_of_an_earlier_life_is_not_brought_back_by_old_frames() {
    let mut net = started(3, 0.0);
    let old = net.nodes[0].members().get(node_id(addr(1))).unwrap().info;
    net.restart(1);
    net.run(Duration::from_secs(5));
    let gossip = Gossip { nodes: vec![old], verdicts: Vec::new() };
    let frame = net.nodes[2].frame(Message::Gossip(gossip));
    net.nodes[0].receive(net.now, addr(2), frame);
    let info = net.nodes[0].members().get(node_id(addr(1))).unwrap().info;
    assert_eq!(info.incarnation, 2);
    assert_eq!(info.phase, Phase::Starting);
}
