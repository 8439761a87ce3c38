//! Endpoints that have left while the node that hands out their slots, or the one that reads the platform, was paused,
//! with real processes.

use std::path::Path;
use std::time::{Duration, Instant};

use standin::bed::{Layout, TestBed};
use standin::caller::{self, Plan};
use standin::upstream::Profile;
use tokio::time::sleep;

/// Time after which an endpoint whose entry has gone gets no new requests.
const LIMIT: Duration = Duration::from_secs(2);
/// Time from the beginning of the pause until the entry goes.
const LEAVES_AFTER: Duration = Duration::from_millis(200);

/// A layout whose endpoints are soon all in use, so that one that is used last gets work, too.
fn busy(failure_domains: Vec<&'static str>) -> Layout {
    let profile =
        Profile { slots: 3, service_us: 200_000, heavy_tail: false, cold_ms: 0, piece_us: 0 };
    Layout { profile, failure_domains, ..Layout::small() }
}

/// Pauses a node, removes the entry of an endpoint, and continues the node `pause` after that. Returns how long after
/// the removal the endpoint got its last request from the other nodes.
async fn last_arrival_after_removal(
    layout: Layout,
    pause: Duration,
    is_paused: impl Fn(&serde_json::Value, &str) -> bool,
) -> Duration {
    let bin = Path::new(env!("CARGO_BIN_EXE_dappleway"));
    let bed = TestBed::start(bin, &layout).await.unwrap();
    sleep(Duration::from_secs(1)).await;
    let report = bed.nodes[0].report().await.unwrap();
    let mut paused = None;
    for (i, it) in bed.nodes.iter().enumerate() {
        let own = it.report().await.unwrap();
        if is_paused(&own, report["services"][0]["dispatched_by"].as_str().unwrap()) {
            paused = Some(i);
        }
    }
    let paused = paused.expect("one of the nodes does this work");
    let others = bed.nodes.iter().enumerate().filter(|(i, _)| *i != paused);
    let targets = others.map(|(_, it)| it.addrs.traffic).collect();
    let plan = Plan { targets, ..bed.lookups(layout.rate(1.2), 8.0) };
    let callers = tokio::spawn(caller::run(plan));
    sleep(Duration::from_secs(1)).await;
    bed.nodes[paused].signal("STOP").unwrap();
    sleep(LEAVES_AFTER).await;
    bed.platform.remove(bed.upstreams[0].name());
    let removed = Instant::now();
    sleep(pause).await;
    bed.nodes[paused].signal("CONT").unwrap();
    let summary = callers.await.unwrap();
    println!("{summary:?}");
    let arrivals = bed.upstreams[0].arrivals();
    arrivals.iter().map(|it| it.saturating_duration_since(removed)).max().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_left_while_its_dispatching_node_was_paused_gets_no_new_work() {
    let layout = busy(vec!["a", "b", "c"]);
    let is_dispatching =
        |own: &serde_json::Value, dispatched_by: &str| own["node"] == dispatched_by;
    let last =
        last_arrival_after_removal(layout, Duration::from_millis(2_200), is_dispatching).await;
    assert!(last <= LIMIT, "the last request arrived {last:?} after the removal");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_left_while_the_reader_was_paused_gets_no_new_work() {
    let is_reader = |own: &serde_json::Value, _: &str| own["reads_platform"] == true;
    let last = last_arrival_after_removal(busy(vec!["a"]), Duration::from_secs(8), is_reader).await;
    assert!(last <= LIMIT, "the last request arrived {last:?} after the removal");
}
