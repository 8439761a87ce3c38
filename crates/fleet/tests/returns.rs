//! A fleet in virtual time whose platform comes back from an older copy: when nodes notice the
//! return, and which endpoints remain in use.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use resources::{Document, Endpoint, Name, Position, Registration, RegistryChange, Standing};
use standin::net::Net;

const NODES: usize = 40;
/// Nodes with fast links, and their bandwidth in Mbit/s.
const FAST: (usize, u32) = (10, 200);
const SLOW: u32 = 20;
/// Endpoints before the return, the number of them in the older copy, and endpoints registered
/// after the return.
const BEFORE: usize = 100;
const IN_COPY: usize = 80;
const AFTER: usize = 30;
/// Changes have to be in force everywhere within this time.
const IN_FORCE: Duration = Duration::from_secs(2);
/// An endpoint that is lost is gone after this time.
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

/// Faults at the time of the return.
#[derive(Clone, Copy, Debug, Default)]
struct Scenario {
    loss: f64,
    /// The platform comes back a second time, a moment later.
    returns_again: bool,
    /// Number of nodes that restart.
    restarts: usize,
    /// Number of nodes that are cut off from all others.
    cut_off: usize,
}

/// A fleet that knows all endpoints.
fn started(loss: f64) -> Net {
    let link = |i| if i < FAST.0 { FAST.1 } else { SLOW };
    let mut net = Net::new(NODES, loss).with_own_links(link);
    net.publish(Document { version: 1, ..Document::default() });
    net.publish_endpoints(ids("old", BEFORE).map(endpoint));
    net.run_on_links(Duration::from_secs(4));
    net
}

/// Endpoints to which a node gives work.
fn endpoints_in_use(net: &Net, i: usize) -> BTreeSet<Name> {
    let there = net.nodes[i].replica().registrations();
    there.filter(|it| it.endpoint.standing == Standing::Present).map(|it| it.endpoint.id).collect()
}

#[track_caller]
fn check(scenario: Scenario) {
    let mut net = started(scenario.loss);
    assert!((0..NODES).all(|i| endpoints_in_use(&net, i).len() == BEFORE), "{scenario:?}");
    net.restore_platform(BEFORE - 5);
    if scenario.returns_again {
        net.run_on_links(Duration::from_millis(100));
    }
    net.restore_platform(IN_COPY);
    (0..scenario.restarts).for_each(|i| net.restart(i * 3));
    // The last nodes, which read the platform themselves when no reader reaches them.
    for i in NODES - scenario.cut_off..NODES {
        net.cut.extend((0..NODES).flat_map(|j| [(i, j), (j, i)]));
    }
    // Known revisions are assigned again.
    net.publish_endpoints(ids("new", AFTER).map(endpoint));
    net.run_on_links(IN_FORCE);
    let new: BTreeSet<Name> = ids("new", AFTER).map(|it| it.as_str().into()).collect();
    for i in 0..NODES {
        assert!(
            new.is_subset(&endpoints_in_use(&net, i)),
            "{scenario:?}: node {i} misses new endpoints"
        );
    }
    net.cut.clear();
    net.run_on_links(GONE);
    let all: BTreeSet<Name> = ids("old", IN_COPY).map(|it| it.as_str().into()).chain(new).collect();
    for i in 0..NODES {
        let position = net.nodes[i].replica().versions().registry;
        assert_eq!(endpoints_in_use(&net, i), all, "{scenario:?}: node {i} at {position}");
    }
}

#[test]
fn all_nodes_follow_the_platform_to_its_older_copy() {
    check(Scenario::default());
    check(Scenario { loss: 0.2, ..Scenario::default() });
}

#[test]
fn a_return_during_a_return_is_followed() {
    check(Scenario { returns_again: true, loss: 0.1, ..Scenario::default() });
}

#[test]
fn nodes_that_restart_during_a_return_discover_the_later_era() {
    check(Scenario { restarts: 12, loss: 0.1, ..Scenario::default() });
}

#[test]
fn nodes_that_are_cut_off_read_the_later_era_themselves() {
    check(Scenario { cut_off: 6, ..Scenario::default() });
    check(Scenario { cut_off: 6, restarts: 5, returns_again: true, loss: 0.1 });
}
