//! A model of the copies, explored exhaustively: within the life of a process what it has in force
//! never reverts, and copies that have heard everything agree, whatever the order.
//!
//! The specification below is small and separate: each node should hold the newest state of each
//! entry, and the newest configuration, of all that it was told since its start. Every step is also
//! made by the copy that runs in production, and the two must agree in every reachable state.
//!
//! The environment publishes, lets nodes read everything or the changes since their last read, loses
//! and delays what one node tells another, lets a node fetch from another, and restarts nodes.

use std::sync::Arc;

use pathfinding::directed::bfs::bfs_reach;
use policy::Time;
use resources::{Document, Endpoint, Published, Registration, RegistryChange, Standing};

use crate::replica::Replica;

const NODES: usize = 2;
/// Changes that the platform makes: entry present, gone, present again, and configurations.
const HISTORY: [Change; 5] =
    [Change::Config, Change::Present, Change::Config, Change::Removed, Change::Present];
/// Restarts in one schedule.
const RESTARTS: u8 = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Change {
    Config,
    Present,
    Removed,
}

/// What a node should know: the version, and the revision of the entry's latest change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Known {
    version: u64,
    /// Revision of the entry's latest change that was heard of; 0 for none.
    entry: u64,
    /// The platform's revision up to which it has read itself; 0 if it has read nothing.
    read_to: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    published: usize,
    nodes: [Known; NODES],
    /// The steps that made the production copies what they are.
    told: [Vec<Told>; NODES],
    restarts: u8,
}

/// Something that a node takes in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Told {
    /// Everything, as of a revision.
    Whole(u64),
    /// The changes after a revision, up to another.
    Changes(u64, u64),
}

/// The newest configuration and the entry's latest change at a revision.
fn state_at(revision: u64) -> Known {
    let mut known = Known::default();
    for (i, change) in HISTORY.iter().enumerate().take(revision as usize) {
        let revision = i as u64 + 1;
        match change {
            Change::Config => known.version = revision,
            Change::Present | Change::Removed => known.entry = revision,
        }
    }
    known
}

fn take_in(known: &mut Known, told: Told) {
    let (Told::Whole(to) | Told::Changes(_, to)) = told;
    let news = state_at(to);
    known.version = known.version.max(news.version);
    known.entry = known.entry.max(news.entry);
}

fn published(told: Told) -> Published {
    let (after, to) = match told {
        Told::Whole(to) => (None, to),
        Told::Changes(after, to) => (Some(after), to),
    };
    let seen = HISTORY.iter().enumerate().map(|(i, it)| (i as u64 + 1, *it));
    let seen: Vec<_> = seen.filter(|(revision, _)| *revision <= to).collect();
    let mut endpoints: Vec<_> = seen
        .iter()
        .filter(|(revision, it)| *it != Change::Config && *revision > after.unwrap_or(0))
        .map(|(revision, it)| entry(*revision, *it == Change::Present))
        .collect();
    if after.is_none() {
        // Only what is there is listed.
        endpoints = endpoints.pop().into_iter().filter(|it| it.entry.is_some()).collect();
    }
    let revision = endpoints.iter().map(|it| it.revision).max().unwrap_or(0);
    let version = state_at(to).version;
    let document = (version > 0).then(|| Document { version, ..Document::default() });
    Published { after, revision, complete_to: to, document, endpoints }
}

fn entry(revision: u64, is_present: bool) -> RegistryChange {
    let endpoint = Endpoint {
        id: "i".into(),
        addr: ([127, 0, 0, 1], 80).into(),
        failure_domain: "a".into(),
        slots: 1,
        standing: Standing::Present,
        warm_up_ms: revision as u32,
        started_ms: 0,
    };
    let entry = is_present.then(|| Registration { service: "s".into(), endpoint });
    RegistryChange { id: "i".into(), revision, entry }
}

fn real(told: &[Told]) -> Replica {
    let mut replica = Replica::default();
    for it in told {
        let published = published(*it);
        if let Some(document) = &published.document {
            replica.accept(Arc::new(document.clone()));
        }
        replica.update(Time(0), &published);
    }
    replica
}

/// What the production copy shows, against what the specification says.
fn check(world: &World) {
    for (known, told) in world.nodes.iter().zip(&world.told) {
        let replica = real(told);
        assert_eq!(replica.facts().version, known.version, "{told:?}");
        let shown = replica.registrations().next().map(|it| it.endpoint);
        let present = shown.filter(|it| it.standing == Standing::Present);
        let is_present = known.entry > 0 && HISTORY[known.entry as usize - 1] == Change::Present;
        let expected = is_present.then_some(known.entry as u32);
        assert_eq!(present.map(|it| it.warm_up_ms), expected, "{told:?}");
    }
}

fn successors(world: &World) -> Vec<World> {
    let mut next = Vec::new();
    let now = world.published as u64;
    if world.published < HISTORY.len() {
        next.push(World { published: world.published + 1, ..world.clone() });
    }
    for i in 0..NODES {
        let read_to = world.nodes[i].read_to;
        let mut tell = |told: Told, reads: bool| {
            let mut it = world.clone();
            // A reader passes on what it has read, at once or, seen from here, much later.
            for (j, node) in it.nodes.iter_mut().enumerate() {
                if (j == i) == reads {
                    take_in(node, told);
                    it.told[j].push(told);
                }
            }
            if reads {
                it.nodes[i].read_to = now;
            }
            next.push(it);
        };
        if read_to == 0 && now > 0 {
            tell(Told::Whole(now), true);
        }
        if read_to > 0 && read_to < now {
            tell(Told::Changes(read_to, now), true);
        }
        // The other node hears of it late, or only now and not before.
        if read_to > 0 {
            tell(Told::Whole(read_to), false);
        }
        if world.restarts < RESTARTS {
            let mut it = world.clone();
            it.nodes[i] = Known::default();
            it.told[i].clear();
            it.restarts += 1;
            next.push(it);
        }
    }
    next.retain(|it| it.told.iter().all(|told| told.len() <= 4));
    next
}

#[test]
fn copies_never_revert_and_agree_with_the_specification() {
    let start = World {
        published: 0,
        nodes: [Known::default(); NODES],
        told: Default::default(),
        restarts: 0,
    };
    let mut states = 0;
    for world in bfs_reach(start, successors) {
        check(&world);
        for (before, after) in successors(&world).iter().map(|it| (&world, it)) {
            for i in 0..NODES {
                let is_restart = after.told[i].is_empty();
                let (old, new) = (before.nodes[i], after.nodes[i]);
                assert!(is_restart || new.version >= old.version && new.entry >= old.entry);
            }
        }
        states += 1;
    }
    println!("{states} states, all that can be reached");
    assert!(states > 1_000, "the model has {states} states: too few to mean anything");
}
