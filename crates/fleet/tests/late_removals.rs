//! Nodes that learn late that the entry of an endpoint has gone.

mod common;

use std::time::Duration;

use fleet::{Exchange, LastAnswer, Message, PlatformUpdate, Versions};
use policy::Time;
use rand::SeedableRng;
use rand::rngs::StdRng;
use resources::{Name, RegistryChange, Standing};
use standin::net::addr;

use common::{answer, at, deliver, ms, node, present, removed, standings};

/// Time after which an endpoint whose entry has gone gets no more work.
const LIMIT: Duration = Duration::from_secs(2);

/// A node that has read at 1 s that endpoint `a` is there.
fn informed() -> Exchange {
    let mut it = node(0);
    it.platform_read(ms(1_000), ms(1_000), answer(None, 5, vec![present("a", 5)]));
    it
}

/// An announcement of the reader, whose last answer was just received.
fn announce(to: &mut Exchange, now: Time, after: u64, changes: Vec<RegistryChange>) {
    announce_with_age(to, now, 0, after, changes);
}

/// An announcement of the reader, whose last answer is `age_ms` old.
fn announce_with_age(
    to: &mut Exchange,
    now: Time,
    age_ms: u32,
    after: u64,
    changes: Vec<RegistryChange>,
) {
    let reader = node(1);
    let registry = changes.last().map_or(at(after), |it| it.at);
    let update = PlatformUpdate {
        sender: reader.info(),
        versions: Versions { config: 0, registry },
        after: at(after),
        changes,
        last_answer: LastAnswer::Read { age_ms },
    };
    let frame = reader.frame(Message::PlatformUpdate(update));
    to.receive(now, addr(1), frame, &mut StdRng::seed_from_u64(2));
}

fn standing(it: &mut Exchange, now: Time) -> Option<Standing> {
    standings(it, now).first().map(|(_, it)| *it)
}

/// Guards against a node that hands out an endpoint up to 3.7 s after it has left, because it learned of that from a new
/// reader.
#[test]
fn a_late_removal_counts_from_the_last_time_at_which_the_entry_was_known_to_be_there() {
    for learned in [1_100, 1_500, 2_000, 2_800, 3_500] {
        let mut it = informed();
        announce(&mut it, ms(learned), 5, vec![removed("a", 6)]);
        let by = ms(1_000).max(ms(learned) - LIMIT) + LIMIT;
        assert_eq!(standing(&mut it, by), None, "learned at {learned} ms");
    }
}

/// Guards against announcements from before the removal that wait in the socket of a paused node and look fresh.
#[test]
fn a_paused_node_takes_what_it_learns_next_for_as_old_as_its_pause() {
    let mut it = informed();
    it.resumed(ms(3_300), ms(1_050));
    announce(&mut it, ms(3_300), 5, Vec::new());
    announce(&mut it, ms(3_301), 5, vec![removed("a", 6)]);
    assert_eq!(standing(&mut it, ms(3_302)), None);
    // A reader, whose call was answered in the pause.
    let mut it = informed();
    it.resumed(ms(3_300), ms(1_050));
    it.platform_read(ms(3_300), ms(3_300), answer(Some(5), 5, Vec::new()));
    it.platform_read(ms(3_400), ms(3_400), answer(Some(5), 6, vec![removed("a", 6)]));
    assert_eq!(standing(&mut it, ms(3_401)), None);
}

/// Guards against the loss of all endpoints when the store comes back and has dropped their entries.
#[test]
fn entries_that_lapse_while_the_platform_is_down_are_still_used() {
    let mut it = informed();
    it.read_failed(ms(5_000));
    it.platform_read(ms(9_000), ms(9_000), answer(Some(5), 6, vec![removed("a", 6)]));
    assert_eq!(standing(&mut it, ms(10_600)), Some(Standing::Missing));
    assert_eq!(standing(&mut it, ms(10_700)), None);
    // A node that hears of it from the one that is answered first.
    let mut it = informed();
    it.read_failed(ms(5_000));
    announce(&mut it, ms(9_000), 5, vec![removed("a", 6)]);
    assert_eq!(standing(&mut it, ms(10_600)), Some(Standing::Missing));
}

/// Guards against nodes that take the platform for down long after an outage, because another node of their failure
/// domain has read it since, and count a removal from when they learn of it.
#[test]
fn a_removal_after_an_outage_counts_as_before_it_once_the_platform_has_answered_any_node() {
    let mut it = informed();
    it.read_failed(ms(5_000));
    for now in (6_000..=12_000).step_by(400) {
        announce(&mut it, ms(now), 5, Vec::new());
    }
    // The reader is lost, and the next one announces the removal.
    announce(&mut it, ms(13_600), 5, vec![removed("a", 6)]);
    assert_eq!(standing(&mut it, ms(13_700)), None);
}

/// Guards against the loss of endpoints that lapsed in an outage, at a node that learns of them in several frames, or
/// after an answer from before the outage.
#[test]
fn entries_that_lapsed_in_an_outage_are_still_used_whatever_arrives_before_them() {
    let mut it = informed();
    it.read_failed(ms(5_000));
    // The answer is older than the outage.
    announce_with_age(&mut it, ms(5_100), 500, 5, Vec::new());
    announce(&mut it, ms(9_000), 5, vec![removed("other", 6)]);
    announce(&mut it, ms(9_001), 6, vec![removed("a", 7)]);
    assert_eq!(standing(&mut it, ms(10_600)), Some(Standing::Missing));
}

#[test]
fn an_entry_that_lapses_while_the_reader_is_heard_is_used_as_long_as_before() {
    let mut it = informed();
    for now in (1_400..=9_000).step_by(400) {
        announce(&mut it, ms(now), 5, Vec::new());
    }
    announce(&mut it, ms(9_100), 5, vec![removed("a", 6)]);
    assert_eq!(standing(&mut it, ms(10_600)), Some(Standing::Missing));
    announce(&mut it, ms(10_600), 6, vec![present("a", 7)]);
    assert_eq!(standing(&mut it, ms(12_000)), Some(Standing::Present));
}

/// Guards against a copy that counts as complete with the first part of a divided update, so that removals in the other
/// parts count from when they are learned, up to 1.6 s after a reader is lost.
#[test]
fn a_removal_in_a_divided_update_counts_as_one_in_a_whole_update() {
    for lost in [None, Some(0), Some(1)] {
        let (mut reader, mut other) = (node(0), node(1));
        other.bundle(ms(900), reader.info());
        for it in [&mut reader, &mut other] {
            it.platform_read(ms(1_000), ms(1_000), answer(None, 5, vec![present("a", 5)]));
        }
        reader.bundle(ms(1_000), other.info());
        let mut changes: Vec<_> =
            (6..15).map(|revision| present(&format!("e{revision}"), revision)).collect();
        changes.push(removed("a", 15));
        let announced = reader.platform_read(ms(2_500), ms(2_500), answer(Some(5), 15, changes));
        let is_lost = |n| Some(n) == lost;
        deliver(ms(2_500), (0, &mut reader), (1, &mut other), announced, is_lost);
        let announced = reader.tick(ms(2_600), &mut StdRng::seed_from_u64(1));
        deliver(ms(2_600), (0, &mut reader), (1, &mut other), announced, |_| false);
        let in_use: Vec<Name> =
            standings(&mut other, ms(2_701)).into_iter().map(|(id, _)| id).collect();
        assert!(!in_use.contains(&"a".into()), "frame {lost:?} is lost: {in_use:?}");
        assert_eq!(in_use.len(), 9);
    }
}

/// Guards against a node that takes its first copy, which a peer has had for a while, for the state of the moment at which
/// it arrives.
#[test]
fn what_a_first_copy_lacks_may_have_gone_at_any_time_since_the_start() {
    let mut peer = informed();
    // It starts at 0 s, and the copy reaches it late, over a thin link.
    let mut it = node(1);
    let (bundle, _) = peer.bundle(ms(2_400), it.info());
    it.fetched(ms(2_400), &bundle.decode().unwrap(), Vec::new());
    announce(&mut it, ms(2_500), 5, vec![removed("a", 6)]);
    assert_eq!(standing(&mut it, ms(2_501)), None);
}
