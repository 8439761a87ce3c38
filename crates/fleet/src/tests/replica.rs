use std::time::Duration;

use policy::Time;
use resources::{
    Endpoint, Name, Position, Published, Registration, RegistryChange, RegistryEntry, Standing,
};

use crate::replica::{MISSING_GRACE, RELISTED_AFTER, Replica};

/// A position in the only era of these tests.
fn at(revision: u64) -> Position {
    Position { era: 0, revision }
}

fn entry(id: &str, revision: u64, standing: Standing) -> RegistryChange {
    let endpoint = Endpoint {
        id: id.into(),
        addr: ([127, 0, 0, 1], 80).into(),
        failure_domain: "a".into(),
        slots: 3,
        standing,
        warm_up_ms: 0,
        started_ms: 0,
    };
    let entry = Some(Registration { service: "s".into(), endpoint }.into());
    RegistryChange { id: id.into(), at: at(revision), entry }
}

fn present(id: &str, revision: u64) -> RegistryChange {
    entry(id, revision, Standing::Present)
}

fn removed(id: &str, revision: u64) -> RegistryChange {
    RegistryChange { id: id.into(), at: at(revision), entry: None }
}

fn full(revision: u64, endpoints: Vec<RegistryChange>) -> Published {
    Published { complete_to: at(revision), endpoints, ..Published::default() }
}

fn changes(after: u64, revision: u64, endpoints: Vec<RegistryChange>) -> Published {
    Published { after: Some(at(after)), ..full(revision, endpoints) }
}

fn known(replica: &Replica) -> Vec<(Name, Standing)> {
    replica.registrations().map(|it| (it.endpoint.id, it.endpoint.standing)).collect()
}

#[test]
fn an_entry_that_lapsed_and_is_back_in_time_was_never_gone() {
    let mut replica = Replica::default();
    replica.update(Time(0), &full(5, vec![present("a", 5)]));
    replica.update(Time(0), &changes(5, 6, vec![removed("a", 6)]));
    assert_eq!(known(&replica), [("a".into(), Standing::Missing)]);
    replica.update(Time(1), &changes(6, 7, vec![present("a", 7)]));
    assert_eq!(known(&replica), [("a".into(), Standing::Present)]);
    assert!(!replica.tick(Time(0) + MISSING_GRACE * 2));
}

#[test]
fn an_entry_that_stays_away_is_gone() {
    let mut replica = Replica::default();
    replica.update(Time(0), &full(5, vec![present("a", 5)]));
    replica.update(Time(0), &changes(5, 6, vec![removed("a", 6)]));
    assert!(replica.tick(Time(0) + MISSING_GRACE));
    assert_eq!(known(&replica), []);
    // Less than the two seconds after which an endpoint that left must get no more work.
    assert!(MISSING_GRACE < Duration::from_secs(2));
}

#[test]
fn an_endpoint_that_announced_its_leaving_is_gone_with_its_entry() {
    let mut replica = Replica::default();
    replica.update(Time(0), &full(5, vec![entry("a", 5, Standing::Leaving)]));
    replica.update(Time(0), &changes(5, 6, vec![removed("a", 6)]));
    assert_eq!(known(&replica), []);
}

#[test]
fn changes_behind_a_gap_are_applied_and_the_gap_is_remembered() {
    let mut replica = Replica::default();
    replica.update(Time(0), &full(5, vec![present("a", 5)]));
    replica.update(Time(0), &changes(7, 8, vec![present("b", 8)]));
    assert_eq!(known(&replica).len(), 2);
    assert_eq!(replica.versions().registry, at(5));
    replica.update(Time(0), &changes(5, 8, vec![removed("a", 6), present("b", 8)]));
    assert_eq!(replica.versions().registry, at(8));
}

#[test]
fn a_full_read_removes_unlisted_entries_but_not_newer_ones() {
    let mut replica = Replica::default();
    replica.update(Time(0), &full(5, vec![present("a", 4), present("b", 5)]));
    replica.update(Time(0), &changes(5, 9, vec![present("c", 9)]));
    replica.update(Time(0), &full(7, vec![present("b", 5)]));
    let standings: Vec<_> = known(&replica).into_iter().map(|(_, it)| it).collect();
    assert_eq!(standings, [Standing::Missing, Standing::Present, Standing::Present]);
}

/// Guards against copies that count as equal because their newest entries are: a complete list does not show what has
/// been removed since.
#[test]
fn a_copy_that_was_read_later_is_newer_though_it_lists_the_same() {
    let (mut early, mut late) = (Replica::default(), Replica::default());
    early.update(Time(0), &full(5, vec![present("a", 4), present("b", 5)]));
    late.update(Time(0), &full(40, vec![present("b", 5)]));
    assert!(early.versions().registry < late.versions().registry);
    assert!(late.changes_since(early.versions().registry).is_none(), "what went before is unknown");
    early.update(Time(0), &late.full_copy());
    assert_eq!(known(&early), [("a".into(), Standing::Missing), ("b".into(), Standing::Present)]);
    assert_eq!(early.versions(), late.versions());
}

/// Other keys of the platform change as well. Copies with the same content reach the same position without a list.
#[test]
fn a_copy_passes_revisions_that_change_nothing_in_the_registry() {
    let (mut reader, mut peer) = (Replica::default(), Replica::default());
    for it in [&mut reader, &mut peer] {
        it.update(Time(0), &full(5, vec![present("a", 5)]));
    }
    reader.update(Time(0), &changes(5, 40, Vec::new()));
    assert_eq!(reader.unchanged_since(), at(5));
    assert_eq!(ids(&reader.changes_since(at(20)).unwrap()), []);
    let unchanged = Published { after: Some(reader.unchanged_since()), ..full(40, Vec::new()) };
    peer.update(Time(0), &unchanged);
    assert_eq!(peer.versions(), reader.versions());
    reader.update(Time(0), &changes(40, 41, vec![removed("a", 41)]));
    assert_eq!(reader.unchanged_since(), at(41));
}

fn ids(published: &Published) -> Vec<(&str, u64)> {
    published.endpoints.iter().map(|it| (it.id.as_str(), it.at.revision)).collect()
}

/// Guards against sending the complete registry of 58 KB after one lost frame where a few hundred
/// bytes were missing.
#[test]
fn a_peer_that_misses_the_latest_changes_gets_only_those() {
    let mut replica = Replica::default();
    replica.update(Time(0), &full(5, vec![present("a", 4), present("b", 5)]));
    replica.update(Time(0), &changes(5, 7, vec![present("c", 6), removed("a", 7)]));
    replica.update(Time(0), &changes(7, 8, vec![present("c", 8)]));
    assert!(replica.changes_since(at(4)).is_none(), "changes before the first copy are unknown");
    assert!(replica.changes_since(at(0)).is_none(), "a peer without a copy gets everything");
    let published = replica.changes_since(at(5)).unwrap();
    assert_eq!(ids(&published), [("a", 7), ("c", 8)]);
    let mut peer = Replica::default();
    peer.update(Time(0), &full(5, vec![present("a", 4), present("b", 5)]));
    peer.update(Time(0), &published);
    assert_eq!(known(&peer), known(&replica));
    assert_eq!(peer.versions(), replica.versions());
    assert_eq!(ids(&replica.changes_since(at(8)).unwrap()), []);
}

/// Changes beyond a gap are known without some of the changes before them, so they are not passed
/// on as complete.
#[test]
fn changes_beyond_a_gap_are_not_passed_on() {
    let mut replica = Replica::default();
    replica.update(Time(0), &full(5, vec![present("a", 5)]));
    replica.update(Time(0), &changes(7, 8, vec![present("c", 8)]));
    assert_eq!(replica.versions().registry, at(5));
    assert_eq!(ids(&replica.changes_since(at(5)).unwrap()), []);
    replica.update(Time(0), &changes(5, 8, vec![present("b", 6), present("c", 8)]));
    assert_eq!(ids(&replica.changes_since(at(5)).unwrap()), [("b", 6), ("c", 8)]);
}

#[test]
fn the_history_is_bounded_and_knows_its_first_complete_position() {
    let mut replica = Replica::default();
    replica.update(Time(0), &full(1, vec![present("a", 1)]));
    for revision in 2..3_000 {
        replica.update(Time(0), &changes(revision - 1, revision, vec![present("a", revision)]));
    }
    assert!(replica.changes_since(at(1_900)).is_none());
    assert_eq!(ids(&replica.changes_since(at(2_900)).unwrap()), [("a", 2_999)]);
}

/// Guards against requests to an endpoint that has left, at a slot from a node that does not know of it yet.
#[test]
fn an_endpoint_that_has_left_is_told_from_one_that_is_new_or_missing_for_a_moment() {
    let mut replica = Replica::default();
    replica.update(Time(0), &full(5, vec![present("a", 4), present("b", 5)]));
    replica.update(Time(0), &changes(5, 6, vec![removed("a", 6)]));
    replica.update(Time(0), &changes(6, 7, vec![entry("b", 7, Standing::Leaving)]));
    let left = |replica: &Replica, now| {
        replica.left(now, "s").into_iter().map(|it| it.endpoint.id.to_string()).collect::<Vec<_>>()
    };
    assert!(!replica.has_left(Time(0), "a", 0), "missing for a moment");
    assert!(!replica.has_left(Time(0), "new", 0));
    assert!(replica.has_left(Time(0), "b", 0));
    assert!(!replica.has_left(Time(0), "b", 1), "a later incarnation");
    assert_eq!(left(&replica, Time(0)), ["b"]);
    let now = Time(0) + MISSING_GRACE;
    assert!(replica.has_left(now, "a", 0), "before the timers have run");
    replica.tick(now);
    assert!(replica.has_left(now, "a", 0));
    assert_eq!(left(&replica, now), ["b", "a"], "the one that left last comes first");
    assert_eq!(replica.left(now, "other").len(), 0);
}

/// State of an earlier incarnation of an endpoint, including its leaving, ends with the next
/// incarnation.
#[test]
fn an_endpoint_that_restarts_under_its_identity_is_present_again() {
    let restarted = |revision| {
        let mut it = present("a", revision);
        let mut registration = it.registration().unwrap().clone();
        registration.endpoint.started_ms = 1_000;
        it.entry = Some(registration.into());
        it
    };
    for before in [present("a", 5), entry("a", 5, Standing::Leaving)] {
        let mut replica = Replica::default();
        replica.update(Time(0), &full(5, vec![before]));
        assert!(
            replica.update(Time(0), &changes(5, 6, vec![restarted(6)])),
            "the restart is a change"
        );
        assert_eq!(known(&replica), [("a".into(), Standing::Present)]);
        assert_eq!(replica.registrations().next().unwrap().endpoint.started_ms, 1_000);
        // The same entry again changes nothing.
        assert!(!replica.update(Time(0), &changes(6, 7, vec![restarted(7)])));
    }
}

/// Guards against an endpoint that got work again after its end: it was gone, an older copy listed
/// it, and the next full list without it did not revoke that listing.
#[test]
fn an_endpoint_listed_by_an_older_copy_is_gone_once_it_is_listed_no_more() {
    let of_era_2 = |revision| Position { era: 2, revision };
    let full_of_era_2 = |revision, endpoints| Published {
        complete_to: of_era_2(revision),
        ..full(revision, endpoints)
    };
    let mut replica = Replica::default();
    replica.update(Time(0), &full(5, vec![present("a", 4), present("b", 5)]));
    replica.update(Time(0), &changes(5, 6, vec![removed("a", 6)]));
    replica.tick(Time(0) + MISSING_GRACE);
    let listed = |id: &str, revision| RegistryChange { at: of_era_2(revision), ..present(id, 0) };
    replica
        .update(Time(0) + MISSING_GRACE, &full_of_era_2(5, vec![listed("a", 4), listed("b", 5)]));
    replica.update(Time(0) + MISSING_GRACE * 2, &full_of_era_2(7, vec![listed("b", 5)]));
    replica.tick(Time(0) + MISSING_GRACE + RELISTED_AFTER);
    assert_eq!(known(&replica), [("b".into(), Standing::Present)]);
}

/// The entry that evacuates a failure domain, or its removal.
fn evacuation(revision: u64, entry: Option<RegistryEntry>) -> RegistryChange {
    RegistryChange { id: "evacuation".into(), at: at(revision), entry }
}

#[test]
fn an_evacuation_holds_for_the_endpoints_of_its_failure_domain_until_it_is_revoked() {
    let domain =
        entry("a", 5, Standing::Present).registration().unwrap().endpoint.failure_domain.clone();
    let start = Some(RegistryEntry::Evacuation(domain));
    let mut replica = Replica::default();
    let endpoints = vec![present("a", 5), entry("b", 5, Standing::Leaving)];
    replica.update(Time(0), &full(5, endpoints));
    assert!(replica.update(Time(0), &changes(5, 6, vec![evacuation(6, start.clone())])));
    let evacuated = [("a".into(), Standing::Evacuated), ("b".into(), Standing::Leaving)];
    assert_eq!(known(&replica), evacuated);
    // Peers that fetch the registry receive the evacuation.
    let mut other = Replica::default();
    other.update(Time(0), &replica.full_copy());
    assert_eq!(known(&other), evacuated);
    // Endpoints that join the failure domain later are evacuated too.
    replica.update(Time(0), &changes(6, 7, vec![present("c", 7)]));
    assert_eq!(known(&replica)[2].1, Standing::Evacuated);
    assert!(replica.update(Time(0), &changes(7, 8, vec![evacuation(8, None)])));
    assert_eq!(known(&replica)[0].1, Standing::Present);
    // An older state of the entry changes nothing.
    assert!(!replica.update(Time(0), &changes(8, 8, vec![evacuation(6, start)])));
}

/// Guards against fetches of the complete registry after a full read: each of 586 nodes fetched all
/// 6,000 endpoints from the reader, whose link could serve ten fetches per second.
#[test]
fn a_full_list_is_sent_to_peers_as_its_changes() {
    let name = |i: usize| format!("i-{i:04}");
    let old: Vec<_> = (0..5_000).map(|i| present(&name(i), 5)).collect();
    let mut reader = Replica::default();
    reader.update(Time(0), &full(5, old.clone()));
    let mut peer = reader.clone();
    let mut new = old;
    new.truncate(4_990);
    new.push(present("joined", 8));
    new[7] = entry(&name(7), 9, Standing::Leaving);
    reader.update(Time(0), &full(12, new));
    let delta = reader
        .changes_since(peer.versions().registry)
        .expect("the history covers the peer's position");
    assert_eq!(delta.endpoints.len(), 12);
    assert!(peer.update(Time(0), &delta));
    assert_eq!(known(&peer), known(&reader));
    assert_eq!(peer.versions(), reader.versions());
}
