//! Guarantees of the fleet, tested with real processes and failing upstreams.
//!
//! The tests wait for conditions and assert no durations. Forbidden events, such as a second run of a request, are
//! counted at the stand-in upstreams, where they would occur.

use std::collections::BTreeSet;
use std::ops::{Deref, DerefMut};
use std::path::Path;
use std::time::Duration;

use standin::bed::{Layout, TestBed};
use standin::caller::{self, Plan, Summary};
use standin::client;
use standin::node::{Node, Options};
use standin::platform;
use standin::upstream::{Fault, Profile, download_bytes};
use tokio::sync::{Semaphore, SemaphorePermit};

/// Length of a download that exceeds the part that is buffered before the caller gets the first bytes.
const DOWNLOAD_BYTES: usize = 3_000_000;

/// Limits the test beds that run at the same time. More would compete for the CPU and appear unhealthy.
static BED_PERMITS: Semaphore = Semaphore::const_new(2);

/// A test bed together with its permit of `BED_PERMITS`.
struct LimitedBed {
    bed: TestBed,
    _permit: SemaphorePermit<'static>,
}

impl Deref for LimitedBed {
    type Target = TestBed;

    fn deref(&self) -> &TestBed {
        &self.bed
    }
}

impl DerefMut for LimitedBed {
    fn deref_mut(&mut self) -> &mut TestBed {
        &mut self.bed
    }
}

async fn bed(layout: &Layout) -> LimitedBed {
    let permit = BED_PERMITS.acquire().await.unwrap();
    let bed = TestBed::start(Path::new(env!("CARGO_BIN_EXE_dappleway")), layout).await.unwrap();
    LimitedBed { bed, _permit: permit }
}

async fn send(bed: &TestBed, method: &str, path: &str, rate: f64, seconds: f64) -> Summary {
    let plan = Plan { method: method.into(), path: path.into(), ..bed.lookups(rate, seconds) };
    caller::run(plan).await
}

/// Number of runs of a request, summed over all endpoints.
fn runs(bed: &TestBed, id: &str) -> u32 {
    bed.upstreams.iter().map(|it| it.runs().get(id).copied().unwrap_or(0)).sum()
}

fn check_at_most_once(bed: &TestBed, summary: &Summary, what: &str) {
    let ids: BTreeSet<String> = bed.upstreams.iter().flat_map(|it| it.runs().into_keys()).collect();
    for id in &ids {
        assert!(runs(bed, id) <= 1, "{what}: {id} ran {} times", runs(bed, id));
    }
    for id in &summary.not_run_ids {
        assert_eq!(runs(bed, id), 0, "{what}: {id} was reported as not run");
    }
    for id in &summary.answered_ids {
        assert_eq!(runs(bed, id), 1, "{what}: {id} was answered");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn work_that_must_not_repeat_runs_at_most_once_and_not_run_is_true() {
    let bed = bed(&Layout::small()).await;
    let faults = [
        Fault::LoseAnswer,
        Fault::LoseRequest,
        Fault::Stall,
        Fault::Late,
        Fault::Error,
        Fault::CutBody,
        Fault::StallBody,
        Fault::Swap,
        Fault::Shed,
    ];
    for fault in faults {
        for path in ["/bookings/1", "/bookings/2"] {
            bed.upstreams.iter().for_each(|it| it.set_fault(fault, 0.4, 5.0));
            let summary = send(&bed, "POST", path, 150.0, 0.5).await;
            check_at_most_once(&bed, &summary, &format!("{fault:?} {path}"));
            assert_eq!(summary.crossed, 0, "{fault:?}");
        }
    }
}

/// A body that is too long to be buffered can be sent only once. If the endpoint refuses the request, its outcome is
/// still known.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_request_that_every_endpoint_refused_is_reported_as_not_run() {
    let bed = bed(&Layout::small()).await;
    bed.upstreams.iter().for_each(|it| it.set_fault(Fault::Shed, 1.0, 1.0));
    for path in ["/bookings/1", "/bookings/2"] {
        let body = vec![b'x'; 200_000];
        let got = client::call(bed.nodes[0].addrs.traffic, "POST", path, body).await.unwrap();
        assert_eq!(got.header("x-request-outcome"), "not-run", "{path}: {}", got.text());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_get_complete_answers_to_their_own_requests_only() {
    let bed = bed(&Layout::small()).await;
    for fault in [Fault::Swap, Fault::CutBody, Fault::StallBody, Fault::LoseAnswer] {
        bed.upstreams.iter().for_each(|it| it.set_fault(fault, 0.3, 1.0));
        let summary = send(&bed, "GET", "/slots/today", 200.0, 1.0).await;
        assert_eq!(summary.crossed, 0, "{fault:?}");
        assert!(summary.answered > 0, "{fault:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_download_that_stalls_or_breaks_is_continued_byte_for_byte() {
    let bed = bed(&Layout::small()).await;
    for fault in [Fault::StallBody, Fault::CutBody] {
        bed.upstreams.iter().for_each(|it| it.set_fault(fault, 0.5, 1.0));
        let mut completed = 0;
        for _ in 0..8 {
            let path = format!("/archives/2026-11?bytes={DOWNLOAD_BYTES}");
            // If no endpoint can continue the download, the client sees an error and no truncated answer.
            let Ok(got) = client::get(bed.nodes[0].addrs.traffic, &path).await else { continue };
            if got.status.is_success() {
                assert_eq!(got.body.len(), DOWNLOAD_BYTES, "{fault:?}");
                assert!(got.body == download_bytes(0, DOWNLOAD_BYTES), "{fault:?}: other bytes");
                completed += 1;
            }
        }
        assert!(completed > 0, "{fault:?}: no download was continued");
    }
    let resumes = bed.metric("dappleway_resumes_total").await.unwrap();
    assert!(resumes > 0.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_no_request_in_flight() {
    let profile = Profile { piece_us: 10_000, ..Layout::small().profile };
    let mut bed = bed(&Layout { profile, ..Layout::small() }).await;
    let target = bed.nodes[0].addrs.traffic;
    let download = tokio::spawn(async move {
        client::get(target, &format!("/archives/x?bytes={DOWNLOAD_BYTES}")).await
    });
    // The stop begins while the download is in flight.
    while bed.nodes[0].metric("dappleway_requests_in_flight").await.unwrap() < 1.0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    bed.nodes[0].signal("TERM").unwrap();
    let got = download.await.unwrap().unwrap();
    assert_eq!(got.body.len(), DOWNLOAD_BYTES);
    let code = loop {
        if let Some(code) = bed.nodes[0].exit_code().unwrap() {
            break code;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert_eq!(code, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_endpoint_gets_no_new_work() {
    let bed = bed(&Layout::small()).await;
    send(&bed, "GET", "/slots/1", 200.0, 0.5).await;
    let leaving = &bed.upstreams[0];
    bed.platform.mark_draining(leaving.name());
    let load = send(&bed, "GET", "/slots/1", 200.0, 2.0);
    let noticed = bed.wait_reports(|report| {
        let endpoints = report["services"][0]["endpoints"].as_array().unwrap();
        endpoints.iter().any(|it| it["addr"] == leaving.name() && it["state"] == "leaving")
    });
    let (_, noticed) = tokio::join!(load, noticed);
    noticed.unwrap();
    leaving.set_fault(Fault::None, 1.0, 1.0);
    send(&bed, "GET", "/slots/1", 200.0, 1.0).await;
    assert_eq!(leaving.counts().since_fault, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_is_given_up_is_answered_with_a_retry_time() {
    let profile = Profile { slots: 1, service_us: 400_000, ..Layout::small().profile };
    let layout = Layout { profile, endpoints: 1, nodes: 1, floor: "100%", ..Layout::small() };
    let bed = bed(&layout).await;
    let target = bed.nodes[0].addrs.traffic;
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..40 {
        calls.spawn(client::call(target, "POST", "/bookings/1", "x"));
    }
    let mut refused = 0;
    while let Some(got) = calls.join_next().await {
        let got = got.unwrap().unwrap();
        if !got.status.is_success() {
            refused += 1;
            assert!(["not-run", "unknown"].contains(&got.header("x-request-outcome")));
            assert!(got.header("retry-after").parse::<f64>().unwrap() > 0.0);
        }
    }
    assert!(refused > 0, "40 requests of 0.4 s do not fit one slot and a deadline of 1 s");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_node_ejects_no_endpoint_when_it_resumes() {
    let bed = bed(&Layout::small()).await;
    send(&bed, "GET", "/slots/1", 300.0, 1.0).await;
    let load = tokio::spawn({
        let mut plan = bed.lookups(200.0, 3.0);
        // The balancer has removed the frozen node.
        plan.targets.remove(0);
        caller::run(plan)
    });
    bed.nodes[0].signal("STOP").unwrap();
    tokio::time::sleep(Duration::from_secs(1)).await;
    bed.nodes[0].signal("CONT").unwrap();
    let summary = load.await.unwrap();
    assert!(summary.answered > 0);
    send(&bed, "GET", "/slots/1", 200.0, 1.0).await;
    assert_eq!(bed.ejections().unwrap(), Vec::<String>::new());
}

/// Drops all frames from node 0 to the others, or all frames from the others to node 0.
async fn cut_one_way(bed: &TestBed, from_first: bool) {
    let first = bed.nodes[0].addrs.fleet;
    let others: Vec<_> = bed.nodes[1..].iter().map(|it| it.addrs.fleet).collect();
    if from_first {
        bed.nodes[0].cut(&others).await.unwrap();
        return;
    }
    for it in &bed.nodes[1..] {
        it.cut(&[first]).await.unwrap();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_one_way_cut_between_nodes_loses_nothing_and_ejects_nobody() {
    for from_first in [true, false] {
        let bed = bed(&Layout::small()).await;
        send(&bed, "GET", "/slots/1", 200.0, 0.5).await;
        cut_one_way(&bed, from_first).await;
        let summary = send(&bed, "GET", "/slots/1", 200.0, 1.5).await;
        assert_eq!(summary.answered, summary.sent, "{summary:?}");
        let bookings = send(&bed, "POST", "/bookings/1", 100.0, 1.0).await;
        check_at_most_once(&bed, &bookings, "one-way cut");
        assert_eq!(bed.ejections().unwrap(), Vec::<String>::new());
        let second = bed.platform.publish(&bed.resources);
        for it in &bed.nodes {
            it.cut(&[]).await.unwrap();
        }
        bed.wait_in_force(second).await.unwrap();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn what_is_in_force_survives_restarts_while_the_platform_is_stale_or_down() {
    let mut bed = bed(&Layout::small()).await;
    let second = bed.platform.publish(&bed.resources);
    bed.wait_in_force(second).await.unwrap();
    for fault in [platform::Fault::Stale, platform::Fault::Down] {
        bed.platform.set_fault(fault);
        for i in 0..bed.nodes.len() {
            if fault == platform::Fault::Down {
                // Restarts during an outage of the platform are not tested here; the running nodes go on serving.
                continue;
            }
            bed.nodes[i].restart().unwrap();
            bed.nodes[i].wait_ready(Duration::from_secs(30)).await.unwrap();
            assert_eq!(bed.nodes[i].report().await.unwrap()["in_force"], second);
        }
        let summary = send(&bed, "GET", "/slots/1", 100.0, 0.5).await;
        assert_eq!(summary.answered, summary.sent, "{fault:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn every_node_leaves_out_what_contradicts_itself_and_serves_the_rest() {
    let bed = bed(&Layout::small()).await;
    let mut broken = bed.resources.clone();
    broken.push(broken[1].clone());
    let second = bed.platform.publish(&broken);
    bed.wait_in_force(second).await.unwrap();
    let is_reported = |it: &serde_json::Value| it["left_out"].to_string().contains("is taken");
    bed.wait_reports(is_reported).await.unwrap();
    let summary = send(&bed, "GET", "/slots/1", 100.0, 0.5).await;
    assert_eq!(summary.answered, summary.sent);
    let third = bed.platform.publish(&bed.resources);
    assert!(third > second);
    bed.wait_in_force(third).await.unwrap();
    bed.wait_reports(|it| it["left_out"] == serde_json::json!([])).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_that_cannot_be_read_leaves_the_one_in_force() {
    let bed = bed(&Layout { nodes: 1, ..Layout::small() }).await;
    for broken in ["", "{\"version\":9", "{\"version\":9,\"routes\":{},\"services\":{}}"] {
        bed.platform.put_raw_config(broken.as_bytes());
    }
    bed.platform.remove("an-entry-that-never-was");
    let summary = send(&bed, "GET", "/slots/1", 100.0, 0.5).await;
    assert_eq!(summary.answered, summary.sent);
    let next = bed.platform.publish(&bed.resources);
    bed.wait_in_force(next).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_with_another_key_joins_nothing() {
    let bed = bed(&Layout { nodes: 2, ..Layout::small() }).await;
    let dir = tempfile::tempdir().unwrap();
    std::fs::write(dir.path().join("fleet.key"), "another secret altogether").unwrap();
    let foreign_addrs = standin::node::node_addrs(1, &["a"]).unwrap().remove(0);
    let mut options = Options::new(Path::new(env!("CARGO_BIN_EXE_dappleway")), bed.platform_addr());
    options.seeds = bed.nodes.iter().map(|it| it.addrs.fleet).collect();
    let node = Node::start(dir.path(), &foreign_addrs, &options).unwrap();
    // The node reads the platform itself, so it can serve. The other nodes drop all its frames.
    node.wait_ready(Duration::from_secs(30)).await.unwrap();
    bed.wait_reports(|it| it["frames_dropped"].as_u64().is_some_and(|n| n > 0)).await.unwrap();
    let report = bed.nodes[0].report().await.unwrap();
    let members = report["members"].as_array().unwrap();
    assert!(members.iter().all(|it| it["node"] != foreign_addrs.fleet.to_string()));
    assert_eq!(node.report().await.unwrap()["members"].as_array().unwrap().len(), 0);
}

/// Guards against an unhandled SIGHUP, whose default action ends the process, when settings files change.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_of_the_settings_file_is_taken_up_without_a_restart() {
    let mut bed = bed(&Layout { nodes: 1, ..Layout::small() }).await;
    let log = |bed: &TestBed| std::fs::read_to_string(&bed.nodes[0].log).unwrap();
    bed.nodes[0].edit_settings("level = \"info\"", "level = \"debug\"").unwrap();
    bed.nodes[0].signal("HUP").unwrap();
    while !log(&bed).contains("\"changed\":\"log.level\"") {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // The second change comes without a signal and has an invalid value.
    bed.nodes[0].edit_settings("level = \"debug\"", "level = \"loud\"").unwrap();
    while !log(&bed).contains("settings refused") {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let summary = send(&bed, "GET", "/slots/1", 100.0, 0.5).await;
    assert_eq!(summary.answered, summary.sent);
    assert_eq!(bed.nodes[0].exit_code().unwrap(), None);
}
