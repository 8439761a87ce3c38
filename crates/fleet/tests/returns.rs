//! A fleet in virtual time whose platform comes back from an older copy: who knows of it when, and what is left in use.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use resources::{Document, Endpoint, Name, Position, Registration, RegistryChange, Standing};
use standin::net::Net;

const NODES: usize = 40;
/// Nodes with good links, and what they carry.
const STRONG: (usize, u32) = (10, 200);
const WEAK: u32 = 20;
/// Endpoints before the return, those of them that the older copy has, and those that come after it.
const BEFORE: usize = 100;
const IN_COPY: usize = 80;
const AFTER: usize = 30;
/// What changes is to be in force everywhere after this.
const IN_FORCE: Duration = Duration::from_secs(2);
/// An endpoint that is lost is gone after this.
const GONE: Duration = Duration::from_secs(2);

fn endpoint(id: String) -> RegistryChange {
    let endpoint = Endpoint {
        id: id.as_str().into(),
        addr: SocketAddr::from(([10, 0, 0, 1], 80)),
        failure_domain: "a".into(),
        slots: 3,
        standing: Standing::Present,
        warm_up_ms: 0,
        started_ms: 0,
    };
    let entry = Some(Registration { service: "booking".into(), endpoint }.into());
    RegistryChange { id: id.as_str().into(), at: Position::START, entry }
}

fn ids(prefix: &str, n: usize) -> impl Iterator<Item = String> {
    (0..n).map(move |i| format!("{prefix}-{i}"))
}

/// What happens at the moment of the return.
#[derive(Clone, Copy, Debug, Default)]
struct Trouble {
    loss: f64,
    /// The platform comes back once more, a moment later.
    returns_again: bool,
    /// So many nodes start anew.
    restarts: usize,
    /// So many nodes are cut off from all others.
    cut_off: usize,
}

/// A fleet that knows all endpoints.
fn started(loss: f64) -> Net {
    let link = |i| if i < STRONG.0 { STRONG.1 } else { WEAK };
    let mut net = Net::new(NODES, loss).with_own_links(link);
    net.publish(Document { version: 1, ..Document::default() });
    net.publish_endpoints(ids("old", BEFORE).map(endpoint));
    net.run_on_links(Duration::from_secs(4));
    net
}

/// Endpoints that a node gives work to.
fn in_use(net: &Net, i: usize) -> BTreeSet<Name> {
    let there = net.nodes[i].replica().registrations();
    there.filter(|it| it.endpoint.standing == Standing::Present).map(|it| it.endpoint.id).collect()
}

#[track_caller]
fn check(trouble: Trouble) {
    let mut net = started(trouble.loss);
    assert!((0..NODES).all(|i| in_use(&net, i).len() == BEFORE), "{trouble:?}");
    net.restore_platform(BEFORE - 5);
    if trouble.returns_again {
        net.run_on_links(Duration::from_millis(100));
    }
    net.restore_platform(IN_COPY);
    (0..trouble.restarts).for_each(|i| net.restart(i * 3));
    // The last ones, which read the platform for themselves if nobody tells them.
    for i in NODES - trouble.cut_off..NODES {
        net.cut.extend((0..NODES).flat_map(|j| [(i, j), (j, i)]));
    }
    // Revisions that were known are given out again.
    net.publish_endpoints(ids("new", AFTER).map(endpoint));
    net.run_on_links(IN_FORCE);
    let new: BTreeSet<Name> = ids("new", AFTER).map(|it| it.as_str().into()).collect();
    for i in 0..NODES {
        assert!(new.is_subset(&in_use(&net, i)), "{trouble:?}: node {i} lacks new ones");
    }
    net.cut.clear();
    net.run_on_links(GONE);
    let all: BTreeSet<Name> = ids("old", IN_COPY).map(|it| it.as_str().into()).chain(new).collect();
    for i in 0..NODES {
        let position = net.nodes[i].replica().facts().registry;
        assert_eq!(in_use(&net, i), all, "{trouble:?}: node {i} at {position}");
    }
}

#[test]
fn all_nodes_follow_the_platform_to_its_older_copy() {
    check(Trouble::default());
    check(Trouble { loss: 0.2, ..Trouble::default() });
}

#[test]
fn a_return_during_a_return_is_followed() {
    check(Trouble { returns_again: true, loss: 0.1, ..Trouble::default() });
}

#[test]
fn nodes_that_start_anew_at_that_moment_learn_the_later_era() {
    check(Trouble { restarts: 12, loss: 0.1, ..Trouble::default() });
}

#[test]
fn nodes_that_are_cut_off_read_the_later_era_themselves() {
    check(Trouble { cut_off: 6, ..Trouble::default() });
    check(Trouble { cut_off: 6, restarts: 5, returns_again: true, loss: 0.1 });
}
