//! How old what a node uses can get while the platform answers it and others of its failure domain fall silent.

use std::time::Duration;

use fleet::Reads;
use policy::Time;
use standin::net::Net;

/// A configuration is in force this long after the platform has acknowledged it.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Time between two looks.
const STEP: Duration = Duration::from_millis(50);

/// Nodes that have configuration 1, and the readers among them, which have just read.
fn settled(n: usize) -> (Net, Vec<usize>) {
    let mut net = Net::new(n, 0.0);
    (0..n).for_each(|i| net.read_platform(i, 1));
    net.run_with_platform(Duration::from_secs(20), 1);
    let readers = readers(&net);
    readers.iter().for_each(|i| net.read_platform(*i, 1));
    (net, readers)
}

fn readers(net: &Net) -> Vec<usize> {
    let reads = |i: &usize| net.nodes[*i].duty().reads(net.now) == Reads::Everything;
    (0..net.nodes.len()).filter(reads).collect()
}

/// The platform does not answer `silent` from now on, and after `told_for` nobody hears them any more.
fn fall_silent(net: &mut Net, silent: &[usize], told_for: Duration, look: impl Fn(&Net, Time)) {
    let start = net.now;
    let n = net.nodes.len();
    while net.now.since(start) < IN_FORCE {
        if net.now.since(start) >= told_for {
            net.cut = silent.iter().flat_map(|i| (0..n).map(|j| (*i, j))).collect();
        }
        net.run(STEP);
        look(net, start);
        for i in readers(net) {
            if !silent.contains(&i) {
                net.read_platform(i, 2);
            }
        }
    }
}

#[test]
fn a_change_is_in_force_in_time_whenever_the_readers_fall_silent() {
    for nodes in [3, 12, 36, 120] {
        for told_ms in (0..=1_300).step_by(100) {
            let (mut net, silent) = settled(nodes);
            fall_silent(&mut net, &silent, Duration::from_millis(told_ms), |_, _| {});
            let in_force = net.in_force();
            let late: Vec<usize> =
                (0..nodes).filter(|i| !silent.contains(i) && in_force[*i] < 2).collect();
            assert!(late.is_empty(), "{nodes} nodes, told for {told_ms} ms: {late:?} are late");
        }
    }
}

#[test]
fn nobody_takes_for_newest_what_was_proven_longer_ago_than_a_change_may_take() {
    let (mut net, silent) = settled(12);
    net.cut = (0..12).flat_map(|i| (0..12).map(move |j| (i, j))).collect();
    net.cut.retain(|(from, _)| !silent.contains(from));
    let fresh = |net: &Net, start: Time| {
        let last = net.nodes.iter().filter(|it| it.duty().is_fresh(net.now)).count();
        assert!(last == 0 || net.now.since(start) < IN_FORCE, "{last} nodes are sure");
    };
    let start = net.now;
    while net.now.since(start) < IN_FORCE * 2 {
        net.run(STEP);
        fresh(&net, start);
    }
}

#[test]
fn a_node_that_cannot_get_a_newer_configuration_does_not_take_its_own_for_the_newest() {
    let (mut net, readers) = settled(12);
    let behind = (0..12).find(|i| !readers.contains(i)).unwrap();
    // It hears all others and reaches nobody.
    net.cut = (0..12).map(|j| (behind, j)).collect();
    readers.iter().for_each(|i| net.read_platform(*i, 2));
    for _ in 0..8 {
        net.run(STEP);
        assert_eq!(net.in_force()[behind], 1);
        assert!(!net.nodes[behind].duty().is_fresh(net.now));
    }
}
