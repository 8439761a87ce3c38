//! Fixtures: nodes that read the platform and announce its changes to each other.

#![allow(dead_code, reason = "each test program uses some of the items")]

use std::time::Duration;

use fleet::{Capacity, Effect, Exchange, Features, Identity};
use policy::Time;
use rand::SeedableRng;
use rand::rngs::StdRng;
use resources::{Endpoint, Name, Position, Published, Registration, RegistryChange, Standing};
use standin::net::addr;

pub fn ms(ms: u64) -> Time {
    Time(0) + Duration::from_millis(ms)
}

pub fn at(revision: u64) -> Position {
    Position { era: 0, revision }
}

/// The entry of an endpoint that is written at this revision.
pub fn present(id: &str, revision: u64) -> RegistryChange {
    let endpoint = Endpoint {
        id: id.into(),
        addr: ([127, 0, 0, 1], 80).into(),
        failure_domain: "a".into(),
        slots: 3,
        standing: Standing::Present,
        warm_up_ms: 0,
        started_ms: 0,
    };
    let entry = Some(Registration { service: "s".into(), endpoint }.into());
    RegistryChange { id: id.into(), at: at(revision), entry }
}

/// The removal of the entry at this revision.
pub fn removed(id: &str, revision: u64) -> RegistryChange {
    RegistryChange { id: id.into(), at: at(revision), entry: None }
}

/// What the platform answers to a node that knows its state at `after`.
pub fn answer(after: Option<u64>, revision: u64, endpoints: Vec<RegistryChange>) -> Published {
    Published { after: after.map(at), complete_to: at(revision), endpoints, ..Published::default() }
}

/// A node that starts at 0 s.
pub fn node(i: usize) -> Exchange {
    let identity = Identity {
        addr: addr(i),
        failure_domain: 0,
        incarnation: 1,
        capacity: Capacity::default(),
        features: Features::NONE,
    };
    Exchange::new(Time(0), identity, &[], &mut StdRng::seed_from_u64(1))
}

/// The standing of each endpoint that is in use at a node.
pub fn standings(it: &mut Exchange, now: Time) -> Vec<(Name, Standing)> {
    it.tick(now, &mut StdRng::seed_from_u64(3));
    it.replica().registrations().map(|it| (it.endpoint.id, it.endpoint.standing)).collect()
}

/// Delivers the frames from node `from` to node `to`, in their order, and serves the fetches that follow, whose
/// number it returns. Frames for which `is_lost` is true, by their number, do not arrive.
pub fn deliver(
    now: Time,
    (i, from): (usize, &mut Exchange),
    (j, to): (usize, &mut Exchange),
    effects: Vec<Effect>,
    is_lost: impl Fn(usize) -> bool,
) -> usize {
    let mut fetches = 0;
    let sent = effects.into_iter().filter_map(|it| match it {
        Effect::Send(receiver, message) if receiver == addr(j) => Some(message),
        _ => None,
    });
    for (_, message) in sent.enumerate().filter(|(n, _)| !is_lost(*n)) {
        let frame = from.frame(message);
        let reaction = to.receive(now, addr(i), frame, &mut StdRng::seed_from_u64(2));
        if reaction.contains(&Effect::Fetch(addr(i))) {
            let (bundle, _) = from.bundle(now, to.info());
            let members = bundle.members.clone();
            to.fetched(now, &bundle.decode().unwrap(), members);
            fetches += 1;
        }
    }
    fetches
}
