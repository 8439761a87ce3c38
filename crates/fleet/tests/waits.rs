//! Bounds the age of a node's state while the platform answers the node and other nodes of its
//! failure domain fall silent.

use std::time::Duration;

use fleet::Reads;
use policy::Time;
use standin::net::Net;

/// A configuration is in force this long after the acknowledgement of the platform.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Interval between checks.
const STEP: Duration = Duration::from_millis(50);

/// Nodes with configuration 1, and the readers among them, which have just read.
fn settled(n: usize) -> (Net, Vec<usize>) {
    let mut net = Net::new(n, 0.0);
    (0..n).for_each(|i| net.read_platform(i, 1));
    net.run_with_platform(Duration::from_secs(20), 1);
    let readers = readers(&net);
    readers.iter().for_each(|i| net.read_platform(*i, 1));
    (net, readers)
}

fn readers(net: &Net) -> Vec<usize> {
    let reads = |i: &usize| net.nodes[*i].reader_election().reads(net.now) == Reads::Everything;
    (0..net.nodes.len()).filter(reads).collect()
}

/// From now on the platform does not answer the `silent` nodes, and after `silent_after` none of
/// their messages arrive any more.
fn silence_readers(
    net: &mut Net,
    silent: &[usize],
    silent_after: Duration,
    check_state: impl Fn(&Net, Time),
) {
    let start = net.now;
    let n = net.nodes.len();
    while net.now.since(start) < IN_FORCE {
        if net.now.since(start) >= silent_after {
            net.cut = silent.iter().flat_map(|i| (0..n).map(|j| (*i, j))).collect();
        }
        net.run(STEP);
        check_state(net, start);
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
        for silent_after_ms in (0..=1_300).step_by(100) {
            let (mut net, silent) = settled(nodes);
            silence_readers(&mut net, &silent, Duration::from_millis(silent_after_ms), |_, _| {});
            let in_force = net.in_force();
            let late: Vec<usize> =
                (0..nodes).filter(|i| !silent.contains(i) && in_force[*i] < 2).collect();
            assert!(
                late.is_empty(),
                "{nodes} nodes, readers silent after {silent_after_ms} ms: {late:?} are late"
            );
        }
    }
}

#[test]
fn no_copy_is_fresh_after_its_confirmation_is_older_than_a_change_may_take() {
    let (mut net, silent) = settled(12);
    net.cut = (0..12).flat_map(|i| (0..12).map(move |j| (i, j))).collect();
    net.cut.retain(|(from, _)| !silent.contains(from));
    let fresh = |net: &Net, start: Time| {
        let last = net.nodes.iter().filter(|it| it.reader_election().is_fresh(net.now)).count();
        assert!(
            last == 0 || net.now.since(start) < IN_FORCE,
            "{last} nodes consider their copy fresh"
        );
    };
    let start = net.now;
    while net.now.since(start) < IN_FORCE * 2 {
        net.run(STEP);
        fresh(&net, start);
    }
}

#[test]
fn a_node_that_misses_a_newer_configuration_does_not_consider_its_own_fresh() {
    let (mut net, readers) = settled(12);
    let behind = (0..12).find(|i| !readers.contains(i)).unwrap();
    // The node receives from all others and reaches none of them.
    net.cut = (0..12).map(|j| (behind, j)).collect();
    readers.iter().for_each(|i| net.read_platform(*i, 2));
    for _ in 0..8 {
        net.run(STEP);
        assert_eq!(net.in_force()[behind], 1);
        assert!(!net.nodes[behind].reader_election().is_fresh(net.now));
    }
}
