//! Exhaustive exploration of a model of the replicas: during the lifetime of a process the state in
//! force never reverts, and replicas that have received every update agree, whatever the order.
//!
//! The specification below is small and independent of the production code: each node should hold
//! the newest state of each entry, and the newest configuration, among all updates received since
//! its start. Every step is also applied to a production replica, and the two must agree in every
//! reachable state.
//!
//! The environment publishes, comes back from older copies, lets nodes read everything or the
//! changes since their last read, loses and delays updates between nodes, lets a node fetch from
//! another, and restarts nodes. Updates after a return are newer than all updates before it; but
//! the listing of an entry in an older copy does not override a known removal of the entry.

use std::sync::Arc;

use pathfinding::directed::bfs::bfs_reach;
use policy::Time;
use resources::{Document, Endpoint, Position, Published, Registration, RegistryChange, Standing};

use crate::replica::Replica;

const NODES: usize = 2;
/// Changes at the platform by schedule: the entry is written, removed and written again,
/// configurations are published, the platform comes back from older copies.
const SCHEDULES: [&[Change]; 5] = [
    &[Change::Config, Change::Present, Change::Config, Change::Removed, Change::Present],
    // The older copy contains an entry that was removed; the entry lapses there too, or is written
    // again.
    &[Change::Present, Change::Config, Change::Removed, Change::ReturnTo(1), Change::Removed],
    &[Change::Present, Change::Removed, Change::ReturnTo(1), Change::Config, Change::Present],
    // An entry is missing from the older copy, and its revision is assigned again.
    &[Change::Config, Change::Present, Change::ReturnTo(1), Change::Config, Change::Present],
    // A return during a return.
    &[
        Change::Present,
        Change::Config,
        Change::Removed,
        Change::ReturnTo(2),
        Change::ReturnTo(1),
        Change::Config,
    ],
];
/// Maximum number of restarts in one schedule.
const RESTARTS: u8 = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Change {
    Config,
    Present,
    Removed,
    /// The platform comes back from the copy made after this many changes.
    ReturnTo(usize),
}

/// The platform after some changes.
#[derive(Clone, Debug, Default)]
struct Store {
    /// Position up to which the platform has published.
    now: Position,
    version: u64,
    /// Revision at which the entry was written, and the number of that write.
    entry: Option<(u64, u64)>,
    /// Revisions written in this era, with the number of the write if the entry exists after them.
    written: Vec<(u64, Option<u64>)>,
}

impl Store {
    fn after(schedule: usize, changes: usize) -> Self {
        let mut it = Self { now: Position { era: 1, revision: 0 }, ..Self::default() };
        for (i, change) in SCHEDULES[schedule].iter().enumerate().take(changes) {
            let write = i as u64 + 1;
            match *change {
                Change::ReturnTo(copy) => {
                    let era = it.now.era + 1;
                    let copy = Self::after(schedule, copy);
                    it = Self { written: Vec::new(), ..copy };
                    it.now.era = era;
                    continue;
                }
                Change::Config => it.version = write,
                Change::Present => it.entry = Some((it.now.revision + 1, write)),
                Change::Removed => it.entry = None,
            }
            it.now.revision += 1;
            if *change != Change::Config {
                it.written.push((it.now.revision, it.entry.map(|(_, write)| write)));
            }
        }
        it
    }

    fn at(&self, revision: u64) -> Position {
        Position { revision, ..self.now }
    }
}

/// The state that a node should have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Known {
    version: u64,
    /// The latest known state of the entry, with its position: the number of its write, or `None`
    /// if the entry is removed.
    entry: Option<(Position, Option<u64>)>,
    /// Position up to which all changes are known.
    complete_to: Position,
    /// Number of changes after which the node last read the platform; 0 if it has read nothing.
    read_to: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    schedule: usize,
    published: usize,
    nodes: [Known; NODES],
    /// The updates applied to the production replicas.
    received: [Vec<Update>; NODES],
    restarts: u8,
}

/// An update that a node receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Update {
    /// A full list, made after this many changes at the platform.
    Full(usize),
    /// The changes from one number of changes to another, within an era.
    Changes(usize, usize),
}

fn apply(known: &mut Known, schedule: usize, update: Update) {
    let (Update::Full(to) | Update::Changes(_, to)) = update;
    let store = Store::after(schedule, to);
    known.version = known.version.max(store.version);
    match update {
        Update::Full(_) => apply_full(known, &store),
        Update::Changes(from, _) => {
            let after = Store::after(schedule, from).now;
            apply_changes(known, &store, after);
        }
    }
}

fn apply_full(known: &mut Known, store: &Store) {
    let is_older_copy = store.now.era > known.complete_to.era;
    match (store.entry, known.entry) {
        (Some((revision, _)), Some((_, None))) if is_older_copy => {
            known.entry = Some((store.at(revision), None));
        }
        (Some((revision, write)), known_entry) => {
            let at = store.at(revision);
            if at > known_entry.map_or(known.complete_to, |(at, _)| at) {
                known.entry = Some((at, Some(write)));
            }
        }
        (None, Some((at, Some(_)))) if at <= store.now => {
            known.entry = Some((store.now, None));
        }
        (None, _) => {}
    }
    known.complete_to = known.complete_to.max(store.now);
}

fn apply_changes(known: &mut Known, store: &Store, after: Position) {
    let complete_to = known.complete_to;
    let new: Vec<_> = store.written.iter().filter(|it| it.0 > after.revision).collect();
    for (revision, write) in &new {
        let at = store.at(*revision);
        let is_newer = at > known.entry.map_or(complete_to, |(at, _)| at);
        // The removal of an entry that was never known has no effect.
        if is_newer && (write.is_some() || known.entry.is_some()) {
            known.entry = Some((at, *write));
        }
    }
    if after <= known.complete_to {
        known.complete_to = known.complete_to.max(store.now);
    }
}

fn published(schedule: usize, update: Update) -> Published {
    let (Update::Full(to) | Update::Changes(_, to)) = update;
    let store = Store::after(schedule, to);
    let (after, endpoints) = match update {
        Update::Full(_) => {
            let entry = store.entry.map(|(revision, write)| entry(store.at(revision), Some(write)));
            (None, entry.into_iter().collect::<Vec<_>>())
        }
        Update::Changes(from, _) => {
            let after = Store::after(schedule, from).now;
            let new = store.written.iter().filter(|it| it.0 > after.revision);
            (Some(after), new.map(|(revision, it)| entry(store.at(*revision), *it)).collect())
        }
    };
    let version = store.version;
    let document = (version > 0).then(|| Document { version, ..Document::default() });
    let complete_to = store.now;
    Published { after, complete_to, document, unreadable: None, endpoints }
}

/// An entry as written by write number `write`, or its removal.
fn entry(at: Position, write: Option<u64>) -> RegistryChange {
    let registration = |write: u64| {
        let endpoint = Endpoint {
            id: "i".into(),
            addr: ([127, 0, 0, 1], 80).into(),
            failure_domain: "a".into(),
            slots: 1,
            standing: Standing::Present,
            warm_up_ms: write as u32,
            started_ms: 0,
        };
        Registration { service: "s".into(), endpoint }
    };
    RegistryChange { id: "i".into(), at, entry: write.map(registration).map(Into::into) }
}

fn production_replica(schedule: usize, received: &[Update]) -> Replica {
    let mut replica = Replica::default();
    for it in received {
        let published = published(schedule, *it);
        if let Some(document) = &published.document {
            replica.accept(Arc::new(document.clone()));
        }
        replica.update(Time(0), &published);
    }
    replica
}

/// Compares the production replica with the specification.
fn check(world: &World) {
    for (known, received) in world.nodes.iter().zip(&world.received) {
        let replica = production_replica(world.schedule, received);
        let context = format!("schedule {}, {received:?}", world.schedule);
        assert_eq!(replica.versions().config, known.version, "{context}");
        assert_eq!(replica.versions().registry, known.complete_to, "{context}");
        let shown = replica.registrations().next().map(|it| it.endpoint);
        let present = shown.filter(|it| it.standing == Standing::Present);
        let expected = known.entry.and_then(|(_, write)| write).map(|it| it as u32);
        assert_eq!(present.map(|it| it.warm_up_ms), expected, "{context}");
    }
}

/// Maximum number of updates that a node receives during one lifetime: the returns of the platform
/// multiply the reachable states.
fn max_updates(schedule: usize) -> usize {
    if schedule == 0 { 4 } else { 3 }
}

fn successors(world: &World) -> Vec<World> {
    let mut next = Vec::new();
    let now = world.published;
    let era = |changes| Store::after(world.schedule, changes).now.era;
    if now < SCHEDULES[world.schedule].len() {
        next.push(World { published: now + 1, ..world.clone() });
    }
    for i in 0..NODES {
        let read_to = world.nodes[i].read_to;
        let mut deliver = |update: Update, reads: bool| {
            let mut it = world.clone();
            // A reader passes on what it has read, at once or much later.
            for (j, node) in it.nodes.iter_mut().enumerate() {
                if (j == i) == reads {
                    apply(node, world.schedule, update);
                    it.received[j].push(update);
                }
            }
            if reads {
                it.nodes[i].read_to = now;
            }
            next.push(it);
        };
        if now > 0 && (read_to == 0 || era(read_to) < era(now)) {
            deliver(Update::Full(now), true);
        }
        if read_to > 0 && read_to < now && era(read_to) == era(now) {
            deliver(Update::Changes(read_to, now), true);
        }
        // The other node receives the update late, or missed it before.
        if read_to > 0 {
            deliver(Update::Full(read_to), false);
        }
        if world.restarts < RESTARTS {
            let mut it = world.clone();
            it.nodes[i] = Known::default();
            it.received[i].clear();
            it.restarts += 1;
            next.push(it);
        }
    }
    next.retain(|it| {
        it.received.iter().all(|updates| updates.len() <= max_updates(world.schedule))
    });
    next
}

/// Within a lifetime a configuration is never replaced by an older one, nor the copy of an era by
/// the copy of an earlier era, and an entry that is known to be removed does not come back from an
/// older copy.
fn check_step(before: &World, after: &World) {
    for i in 0..NODES {
        let is_restart = after.received[i].is_empty();
        let (old, new) = (before.nodes[i], after.nodes[i]);
        if is_restart {
            continue;
        }
        assert!(new.version >= old.version, "{after:?}");
        assert!(new.complete_to >= old.complete_to, "{after:?}");
        let is_full_of_new_era = matches!(after.received[i].last(), Some(Update::Full(_)))
            && new.complete_to.era > old.complete_to.era;
        let was_removed = matches!(old.entry, Some((_, None)));
        let is_there = matches!(new.entry, Some((_, Some(_))));
        assert!(!(is_full_of_new_era && was_removed && is_there), "{after:?}");
    }
}

#[test]
fn copies_never_revert_and_agree_with_the_specification() {
    let mut states = 0;
    for schedule in 0..SCHEDULES.len() {
        let start = World {
            schedule,
            published: 0,
            nodes: [Known::default(); NODES],
            received: Default::default(),
            restarts: 0,
        };
        for world in bfs_reach(start, successors) {
            check(&world);
            successors(&world).iter().for_each(|it| check_step(&world, it));
            states += 1;
        }
    }
    println!("{states} reachable states");
    assert!(states > 5_000, "the model has {states} states: too few to mean anything");
}
