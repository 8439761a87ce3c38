//! Removals of entries that no node of a failure domain has seen as such.

mod common;

use fleet::Exchange;

use rand::SeedableRng;
use rand::rngs::StdRng;

use common::{answer, at, deliver, ms, node, present, removed, standings};

/// A reader and another node of its failure domain, which know each other. Both read at 1 s the complete list of
/// `endpoints` at revision 20.
fn reader_and_other(endpoints: &[&str]) -> (Exchange, Exchange) {
    let (mut reader, mut other) = (node(0), node(1));
    let list = || endpoints.iter().zip(1..).map(|(id, at)| present(id, at)).collect();
    let infos = [other.info(), reader.info()];
    for (it, peer) in [&mut reader, &mut other].into_iter().zip(infos) {
        it.platform_read(ms(1_000), ms(1_000), answer(None, 20, list()));
        it.fetched(ms(1_000), &answer(Some(20), 20, Vec::new()), vec![peer]);
    }
    (reader, other)
}

/// Guards against an endpoint that stays in use until it ends: the node that read the platform was killed as the endpoint
/// left, and restarted with a complete read, which does not show what has been removed.
#[test]
fn a_removal_before_the_first_read_of_a_restarted_reader_reaches_the_others() {
    let (_, mut other) = reader_and_other(&["a", "b"]);
    let mut restarted = node(0);
    restarted.bundle(ms(1_600), other.info());
    restarted.platform_read(ms(1_600), ms(1_600), answer(None, 21, vec![present("b", 2)]));
    let announced = restarted.tick(ms(1_700), &mut StdRng::seed_from_u64(1));
    deliver(ms(1_700), (0, &mut restarted), (1, &mut other), announced, |_| false);
    let in_use: Vec<_> = standings(&mut other, ms(2_700)).into_iter().map(|(id, _)| id).collect();
    assert_eq!(in_use, ["b"]);
}

/// Guards against the loss of some of several removals that a complete read finds, all at the same position, when they
/// are announced in several frames.
#[test]
fn removals_that_a_complete_read_finds_reach_a_node_that_misses_a_frame() {
    let ids: Vec<String> = (0..10).map(|i| format!("e{i}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    for lost in 0..4 {
        let (mut reader, mut other) = reader_and_other(&ids);
        let remaining = answer(None, 30, vec![present("e0", 1)]);
        let announced = reader.platform_read(ms(1_500), ms(1_500), remaining);
        deliver(ms(1_500), (0, &mut reader), (1, &mut other), announced, |n| n == lost);
        let announced = reader.tick(ms(1_900), &mut StdRng::seed_from_u64(1));
        deliver(ms(1_900), (0, &mut reader), (1, &mut other), announced, |_| false);
        let in_use = standings(&mut other, ms(4_000)).len();
        assert_eq!(in_use, 1, "frame {lost} is lost");
    }
}

/// Guards against fetches by all nodes whenever the platform changes in a way that does not concern the registry.
#[test]
fn a_copy_follows_revisions_without_changes_of_the_registry_by_announcements_alone() {
    let (mut reader, mut other) = reader_and_other(&["a"]);
    // The announcement of the first change is lost.
    reader.platform_read(ms(1_200), ms(1_200), answer(Some(20), 40, Vec::new()));
    for revision in [60, 80] {
        let now = ms(1_300 + revision);
        reader.platform_read(now, now, answer(Some(revision - 20), revision, Vec::new()));
        let announced = reader.tick(now, &mut StdRng::seed_from_u64(1));
        let fetches = deliver(now, (0, &mut reader), (1, &mut other), announced, |_| false);
        assert_eq!(fetches, 0);
        assert_eq!(other.info().versions.registry, at(revision));
    }
    // Changes of the registry after these revisions leave no gap.
    let announced =
        reader.platform_read(ms(2_000), ms(2_000), answer(Some(80), 81, vec![removed("a", 81)]));
    deliver(ms(2_000), (0, &mut reader), (1, &mut other), announced, |_| false);
    assert_eq!(other.info().versions.registry, at(81));
    assert_eq!(standings(&mut other, ms(4_000)), []);
}
