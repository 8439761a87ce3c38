//! Nodes whose network paths to the endpoints fail, tested with real processes and links.

use std::path::Path;
use std::time::Duration;

use standin::bed::{Layout, Paths, TestBed};
use standin::caller::{self, Plan, Summary};
use standin::endpoint_link::PathFault;
use standin::upstream::Profile;
use tokio::sync::Mutex;

/// One test bed at a time: more would compete for the CPU and appear unhealthy.
static BED: Mutex<()> = Mutex::const_new(());

/// Time after the beginning of a cut from which callers must be served.
const KNOWN_AFTER: Duration = Duration::from_secs(3);
/// Nodes that are cut off: most of the first failure domain, and one of the second.
const CUT_OFF: [usize; 3] = [0, 1, 2];
const RATE: f64 = 60.0;

fn layout() -> Layout {
    Layout { nodes: 7, failure_domains: vec!["a", "b"], paths: Paths::Links, ..Layout::small() }
}

async fn start() -> TestBed {
    TestBed::start(Path::new(env!("CARGO_BIN_EXE_dappleway")), &layout()).await.unwrap()
}

/// Sends lookups and bookings to some of the nodes; returns the results of both.
async fn send(
    bed: &TestBed,
    duration: Duration,
    is_target: impl Fn(usize) -> bool,
) -> [Summary; 2] {
    let targets = (0..bed.nodes.len()).filter(|i| is_target(*i));
    let targets = targets.map(|i| bed.nodes[i].addrs.traffic).collect();
    let lookups = Plan { targets, duration, ..bed.lookups(RATE, 0.0) };
    let bookings = Plan { method: "POST".into(), path: "/bookings/1".into(), ..lookups.clone() };
    let (lookups, bookings) = tokio::join!(caller::run(lookups), caller::run(bookings));
    [lookups, bookings]
}

/// No booking ran twice, and none ran whose caller was told that it did not run.
fn check_runs(bed: &TestBed, bookings: &Summary) {
    let mut runs = std::collections::HashMap::new();
    for it in &bed.upstreams {
        it.runs().into_iter().for_each(|(id, n)| *runs.entry(id).or_insert(0) += n);
    }
    assert!(runs.values().all(|n| *n == 1), "a booking ran more than once: {runs:?}");
    let told_not_run = bookings.not_run_ids.iter().filter(|id| runs.contains_key(*id));
    assert_eq!(told_not_run.count(), 0, "{bookings:?}");
}

async fn check(fault: PathFault) {
    let _alone = BED.lock().await;
    let bed = start().await;
    send(&bed, Duration::from_secs(1), |_| true).await;
    CUT_OFF.iter().for_each(|i| bed.set_paths(*i, fault));
    let [_, early] = send(&bed, KNOWN_AFTER, |_| true).await;
    let duration = Duration::from_secs(3);
    let (cut_off, others) = tokio::join!(
        send(&bed, duration, |i| CUT_OFF.contains(&i)),
        send(&bed, duration, |i| !CUT_OFF.contains(&i)),
    );
    for it in &others {
        assert!(it.answered * 100 >= it.sent * 98, "at the other nodes: {it:?}");
    }
    for it in &cut_off {
        assert!(it.answered * 50 >= it.sent * 40, "at the nodes that are cut off: {it:?}");
    }
    CUT_OFF.iter().for_each(|i| bed.set_paths(*i, PathFault::None));
    let after = send(&bed, duration, |i| CUT_OFF.contains(&i)).await;
    for it in &after {
        assert!(it.answered * 100 >= it.sent * 98, "after the cut: {it:?}");
    }
    let all = [&early, &cut_off[1], &others[1], &after[1]];
    all.into_iter().for_each(|it| check_runs(&bed, it));
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_by_nodes_whose_connections_to_endpoints_hang() {
    check(PathFault::Hang).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_by_nodes_whose_connections_to_endpoints_are_reset() {
    check(PathFault::Reset).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_by_nodes_whose_new_connections_to_endpoints_are_refused() {
    check(PathFault::RefuseNew).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_by_nodes_that_hear_nothing_from_endpoints() {
    check(PathFault::OneWay).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn while_no_node_reaches_endpoints_nothing_runs_and_service_returns_with_the_paths() {
    let _alone = BED.lock().await;
    let bed = start().await;
    send(&bed, Duration::from_secs(1), |_| true).await;
    (0..bed.nodes.len()).for_each(|i| bed.set_paths(i, PathFault::Reset));
    send(&bed, KNOWN_AFTER, |_| true).await;
    let during = send(&bed, Duration::from_secs(2), |_| true).await;
    for it in &during {
        assert_eq!(it.not_run, it.sent, "while all are cut off: {it:?}");
    }
    (0..bed.nodes.len()).for_each(|i| bed.set_paths(i, PathFault::None));
    tokio::time::sleep(Duration::from_secs(1)).await;
    for it in &send(&bed, Duration::from_secs(3), |_| true).await {
        assert!(it.answered * 100 >= it.sent * 98, "after the cut: {it:?}");
    }
    check_runs(&bed, &during[1]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_ends_no_request_that_another_node_sends_through_the_stopping_one() {
    let _alone = BED.lock().await;
    let profile = Profile { service_us: 300_000, slots: 20, ..Layout::small().profile };
    let layout = Layout { nodes: 2, profile, deadline_ms: 5_000, ..layout() };
    let bin = Path::new(env!("CARGO_BIN_EXE_dappleway"));
    let mut bed = TestBed::start(bin, &layout).await.unwrap();
    bed.set_paths(0, PathFault::RefuseNew);
    send(&bed, KNOWN_AFTER, |i| i == 0).await;
    let stopping = bed.nodes.remove(1);
    let stop = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        stopping.signal("TERM").unwrap();
    };
    let (sent, ()) = tokio::join!(send(&bed, Duration::from_secs(2), |_| true), stop);
    for it in &sent {
        assert!(it.answered * 3 >= it.sent, "through the other node: {it:?}");
        assert_eq!(it.unknown + it.broken, 0, "ended by the stop: {it:?}");
    }
}
