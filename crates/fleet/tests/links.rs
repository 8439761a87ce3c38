//! The exchange of many nodes with slow links, in virtual time.
//!
//! Guards against fetches that fill the link of the reader. After a configuration had grown by
//! 1,400 routes and was followed by another one half a second later, three of 88 nodes used the
//! older one for three to five seconds, and their readiness checks failed. In each failure domain
//! all nodes fetched 345 KB from the reader at once, and again every 0.4 s while the first fetch
//! still ran. The reader's link of 1.25 MB per second was full for three seconds, its own calls to
//! the platform got no answer, and it was the last node to receive the next version. Of 148 fetches
//! 60 reached their time limit; the nodes that had read the platform themselves had the next
//! version within 1.2 s.

use std::time::Duration;

use resources::{Document, Priority, Repeat, Resource, Route};
use standin::net::Net;

/// Bandwidth of each link, in Mbit/s.
const LINK_MBPS: f64 = 10.0;
/// A configuration that the platform has acknowledged must be in force everywhere within this time.
const IN_FORCE_WITHIN: Duration = Duration::from_millis(2_500);
/// Time between two configurations in quick succession.
const BETWEEN: Duration = Duration::from_millis(450);

fn document(version: u64, routes: usize) -> Document {
    let resources = (0..routes).map(route).collect();
    Document { version, resources, ..Document::default() }
}

/// A route with names that compress badly.
fn route(i: usize) -> Resource {
    let random_word = |salt: usize| {
        let mixed = (i * 31 + salt + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        format!("{:08x}", mixed >> 32)
    };
    Resource::Route(Route {
        name: format!("r-{}", random_word(1)).into(),
        host: Some(format!("{}.example", random_word(i % 7)).into()),
        path: format!("/{}/{}/", random_word(2), random_word(3)),
        methods: Vec::new(),
        service: "booking".into(),
        split: Vec::new(),
        deadline_ms: 4_000,
        objective_ms: 1_200,
        max_sends: 2,
        repeat: Repeat::IfNotRun,
        hedge: false,
        stream: false,
        priority: Priority(1),
        public: false,
        regions: Vec::new(),
        suspended: false,
    })
}

/// Publishes a configuration and, shortly after it, another one of the same size; returns the
/// longest time until a node had the second one in force, or `None` if some node never had.
fn slowest(nodes: usize, routes: usize) -> Option<Duration> {
    let mut net = Net::new(nodes, 0.02).with_links(LINK_MBPS);
    net.publish(document(1, 10));
    net.run_on_links(Duration::from_secs(8));
    assert_eq!(net.in_force(), vec![1; nodes]);
    net.publish(document(2, routes));
    net.run_on_links(BETWEEN);
    let acknowledged = net.now;
    net.publish(document(3, routes));
    net.run_on_links(IN_FORCE_WITHIN * 4);
    let has_it = net.in_force().iter().all(|it| *it == 3);
    has_it.then(|| {
        net.in_force_at.values().map(|it| it.since(acknowledged)).max().unwrap_or_default()
    })
}

#[track_caller]
fn check(nodes: usize, routes: usize) {
    let slowest = slowest(nodes, routes);
    let is_in_time = slowest.is_some_and(|it| it < IN_FORCE_WITHIN);
    assert!(is_in_time, "{nodes} nodes, {routes} routes: in force everywhere after {slowest:?}");
}

#[test]
fn a_small_configuration_is_in_force_everywhere_in_time() {
    check(90, 40);
}

#[test]
fn a_configuration_that_outgrows_the_readers_links_is_in_force_everywhere_in_time() {
    for routes in [1_400, 2_800, 4_200] {
        check(90, routes);
    }
}
