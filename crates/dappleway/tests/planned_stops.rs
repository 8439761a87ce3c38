//! Planned stops of real processes: each request that a stopping node has read gets an answer.

use std::path::Path;
use std::time::Duration;

use standin::bed::{Layout, TestBed};
use standin::client::{self, KeptConnection, ReceivedAnswer};
use standin::upstream::Profile;
use tokio::sync::Mutex;
use tokio::task::JoinHandle;

/// One test bed at a time: more would compete for the CPU.
static BED: Mutex<()> = Mutex::const_new(());

/// Time that a process gets to receive a signal or a request.
const DELIVERY: Duration = Duration::from_millis(100);

/// One node whose requests usually take less than 0.6 s and may take 20 s, and endpoints with many slots.
fn layout(drain: &str) -> Layout {
    let profile = Profile { slots: 50, ..Layout::small().profile };
    let (deadline_ms, objective_ms) = (20_000, 300);
    Layout { nodes: 1, profile, deadline_ms, objective_ms, drain: drain.into(), ..Layout::small() }
}

async fn start(layout: &Layout) -> TestBed {
    TestBed::start(Path::new(env!("CARGO_BIN_EXE_dappleway")), layout).await.unwrap()
}

/// Sends a booking on which its endpoint works for this long, and waits until an endpoint has it.
async fn book(bed: &TestBed, work: Duration) -> JoinHandle<anyhow::Result<ReceivedAnswer>> {
    let arrived = || bed.upstreams.iter().map(|it| it.arrivals().len()).sum::<usize>();
    let (before, addr) = (arrived(), bed.nodes[0].addrs.traffic);
    let path = format!("/bookings/1?work_ms={}", work.as_millis());
    let sent = tokio::spawn(async move { client::call(addr, "POST", &path, "work").await });
    while arrived() == before {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    sent
}

async fn wait_exit(bed: &mut TestBed) {
    while bed.nodes[0].exit_code().unwrap().is_none() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// The section `[drain]` that the deployment writes for a platform that kills processes after `grace_s`.
fn deployed_drain(grace_s: u32) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let template = std::fs::read_to_string(root.join("deploy/node.toml")).unwrap();
    let section = template.split("[drain]").nth(1).unwrap().split("\n[").next().unwrap();
    let section = section.replace("{{bounds.graceS}}", &grace_s.to_string());
    let section = section.replace("{{#bounds.graceS}}", "").replace("{{/bounds.graceS}}", "");
    section.replace("{{.}}", &grace_s.to_string())
}

async fn check_whole_grace_is_used(grace_s: u32) {
    let _alone = BED.lock().await;
    let mut bed = start(&layout(&deployed_drain(grace_s))).await;
    let grace = Duration::from_secs(grace_s.into());
    let booking = book(&bed, grace.mul_f64(0.85)).await;
    let outlasting = book(&bed, grace * 2).await;
    bed.nodes[0].signal("TERM").unwrap();
    let exit = tokio::time::timeout(grace, wait_exit(&mut bed)).await;
    assert!(exit.is_ok(), "the platform would have killed the process");
    assert!(booking.await.unwrap().unwrap().status.is_success());
    let got = outlasting.await.unwrap().unwrap();
    assert_eq!(got.header("x-request-outcome"), "unknown", "{}", got.text());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_has_the_whole_grace_period_of_six_seconds() {
    check_whole_grace_is_used(6).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_has_the_whole_grace_period_of_ten_seconds() {
    check_whole_grace_is_used(10).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn further_signals_cut_no_request_in_flight() {
    let _alone = BED.lock().await;
    let bed = start(&layout("lag_ms = 800\ngrace_ms = 6000")).await;
    let booking = book(&bed, Duration::from_secs(3)).await;
    for signal in ["TERM", "HUP", "TERM", "INT", "HUP", "TERM"] {
        bed.nodes[0].signal(signal).unwrap();
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
    assert!(booking.await.unwrap().unwrap().status.is_success());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_that_would_outlast_the_stop_is_refused_as_not_run() {
    let _alone = BED.lock().await;
    let bed = start(&layout("lag_ms = 2900\ngrace_ms = 3000")).await;
    let early = KeptConnection::open(bed.nodes[0].addrs.traffic).await.unwrap();
    let late = KeptConnection::open(bed.nodes[0].addrs.traffic).await.unwrap();
    bed.nodes[0].signal("TERM").unwrap();
    tokio::time::sleep(DELIVERY).await;
    let got = early.call("POST", "/bookings/1?work_ms=10", "work", "early").await.unwrap();
    assert!(got.status.is_success(), "{}", got.text());
    tokio::time::sleep(Duration::from_millis(2_200)).await;
    let got = late.call("POST", "/bookings/1?work_ms=5000", "work", "late").await.unwrap();
    assert_eq!(got.header("x-request-outcome"), "not-run", "{}", got.text());
    assert!(got.header("retry-after").parse::<f64>().unwrap() > 0.0);
    assert_eq!(bed.upstreams.iter().map(|it| it.arrivals().len()).sum::<usize>(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_whose_endpoint_works_past_the_stop_is_answered_as_unknown() {
    let _alone = BED.lock().await;
    let bed = start(&layout("lag_ms = 100\ngrace_ms = 2000")).await;
    let booking = book(&bed, Duration::from_secs(8)).await;
    bed.nodes[0].signal("TERM").unwrap();
    let got = booking.await.unwrap().unwrap();
    assert_eq!(got.header("x-request-outcome"), "unknown", "{}", got.text());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_that_waits_for_a_slot_is_refused_as_not_run_before_the_stop_ends() {
    let _alone = BED.lock().await;
    let profile = Profile { slots: 1, ..Layout::small().profile };
    let layout = Layout { endpoints: 1, profile, ..layout("lag_ms = 100\ngrace_ms = 2500") };
    let bed = start(&layout).await;
    let _running = book(&bed, Duration::from_secs(8)).await;
    let addr = bed.nodes[0].addrs.traffic;
    let waiting = tokio::spawn(client::call(addr, "POST", "/bookings/1", "work"));
    tokio::time::sleep(DELIVERY).await;
    bed.nodes[0].signal("TERM").unwrap();
    let got = waiting.await.unwrap().unwrap();
    assert_eq!(got.header("x-request-outcome"), "not-run", "{}", got.text());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_in_the_middle_of_its_body_is_refused_before_the_stop_ends() {
    let _alone = BED.lock().await;
    let bed = start(&layout("lag_ms = 100\ngrace_ms = 2000")).await;
    let head =
        "POST /bookings/1 HTTP/1.1\r\nhost: stand.in\r\ncontent-length: 100\r\n\r\nthe beginning";
    let answer = tokio::spawn(client::exchange_raw(bed.nodes[0].addrs.traffic, head));
    tokio::time::sleep(DELIVERY).await;
    bed.nodes[0].signal("TERM").unwrap();
    let answer = answer.await.unwrap().unwrap();
    assert!(answer.contains("x-request-outcome: not-run"), "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_download_that_outlasts_the_stop_never_looks_complete() {
    let _alone = BED.lock().await;
    let profile = Profile { piece_us: 50_000, ..Layout::small().profile };
    let mut bed = start(&Layout { profile, ..layout("lag_ms = 100\ngrace_ms = 2000") }).await;
    let addr = bed.nodes[0].addrs.traffic;
    let download = tokio::spawn(client::get(addr, "/archives/x?bytes=3000000"));
    while bed.upstreams.iter().all(|it| it.arrivals().is_empty()) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    bed.nodes[0].signal("TERM").unwrap();
    wait_exit(&mut bed).await;
    assert!(download.await.unwrap().is_err(), "3 MB take 9 s");
}

/// What a caller saw of its bookings on one connection.
#[derive(Default)]
struct Seen {
    answered: Vec<String>,
    not_run: Vec<String>,
    unanswered: Vec<String>,
}

/// Callers keep their connections and send on them at each moment of the stop until the process is gone.
#[tokio::test(flavor = "multi_thread")]
async fn bookings_on_open_connections_are_answered_at_each_moment_of_a_stop() {
    let _alone = BED.lock().await;
    let mut bed = start(&layout("lag_ms = 1500\ngrace_ms = 2500")).await;
    let addr = bed.nodes[0].addrs.traffic;
    let mut callers = Vec::new();
    for i in 0..150_u64 {
        let kept = KeptConnection::open(addr).await.unwrap();
        callers.push(tokio::spawn(async move {
            let mut seen = Seen::default();
            for n in 0.. {
                tokio::time::sleep(Duration::from_millis(20 * (i % 100) + 60)).await;
                let id = format!("{i}-{n}");
                let path = format!("/bookings/1?work_ms={}", 10 * (i % 40));
                let Ok(got) = kept.call("POST", &path, "work", &id).await else {
                    seen.unanswered.push(id);
                    return seen;
                };
                match got.header("x-request-outcome") {
                    "not-run" => seen.not_run.push(id),
                    _ if got.status.is_success() => seen.answered.push(id),
                    outcome => panic!("booking {id}: {outcome} {}", got.text()),
                }
                if got.header("connection") == "close" {
                    break;
                }
            }
            seen
        }));
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    bed.nodes[0].signal("TERM").unwrap();
    tokio::time::sleep(DELIVERY).await;
    let during = client::call(addr, "POST", "/bookings/1", "work").await.unwrap();
    assert!(during.status.is_success(), "in the lag, with time left: {}", during.text());
    wait_exit(&mut bed).await;
    let runs = |id: &String| -> u32 {
        bed.upstreams.iter().filter_map(|it| it.runs().get(id).copied()).sum()
    };
    for it in callers {
        let seen = it.await.unwrap();
        for id in &seen.answered {
            assert_eq!(runs(id), 1, "booking {id} was answered");
        }
        for id in seen.not_run.iter().chain(&seen.unanswered) {
            assert_eq!(runs(id), 0, "booking {id} ran, and its caller does not know");
        }
    }
}
