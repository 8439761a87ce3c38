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

/// One node whose requests may take 20 s, and endpoints with many slots.
fn layout(drain: &str) -> Layout {
    let profile = Profile { slots: 50, ..Layout::small().profile };
    Layout { nodes: 1, profile, deadline_ms: 20_000, drain: drain.into(), ..Layout::small() }
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
    let bed = start(&layout(&deployed_drain(grace_s))).await;
    let booking = book(&bed, Duration::from_secs(grace_s.into()).mul_f64(0.85)).await;
    bed.nodes[0].signal("TERM").unwrap();
    assert!(booking.await.unwrap().unwrap().status.is_success());
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
    let bed = start(&layout("lag_ms = 1500\ngrace_ms = 3000")).await;
    let kept = KeptConnection::open(bed.nodes[0].addrs.traffic).await.unwrap();
    bed.nodes[0].signal("TERM").unwrap();
    tokio::time::sleep(DELIVERY).await;
    let got = kept.call("POST", "/bookings/1?work_ms=5000", "work", "late").await.unwrap();
    assert_eq!(got.header("x-request-outcome"), "not-run", "{}", got.text());
    assert!(got.header("retry-after").parse::<f64>().unwrap() > 1.0, "this node is still asked");
    assert_eq!(bed.upstreams.iter().map(|it| it.arrivals().len()).sum::<usize>(), 0);
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

/// Callers keep their connections and send on them at each moment of the stop until the process is gone.
#[tokio::test(flavor = "multi_thread")]
async fn bookings_on_open_connections_are_answered_at_each_moment_of_a_stop() {
    let _alone = BED.lock().await;
    let mut bed = start(&layout("lag_ms = 700\ngrace_ms = 2500")).await;
    let addr = bed.nodes[0].addrs.traffic;
    let mut callers = Vec::new();
    for i in 0..150_u64 {
        let kept = KeptConnection::open(addr).await.unwrap();
        callers.push(tokio::spawn(async move {
            let mut lost = Vec::new();
            for n in 0.. {
                tokio::time::sleep(Duration::from_millis(20 * (i % 50) + 60)).await;
                let id = format!("{i}-{n}");
                let path = format!("/bookings/1?work_ms={}", 10 * (i % 40));
                match kept.call("POST", &path, "work", &id).await {
                    Ok(got) if got.header("connection") == "close" => break,
                    Ok(_) => {}
                    Err(_) => {
                        lost.push(id);
                        break;
                    }
                }
            }
            lost
        }));
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    bed.nodes[0].signal("TERM").unwrap();
    wait_exit(&mut bed).await;
    for it in callers {
        for id in it.await.unwrap() {
            let runs: u32 = bed.upstreams.iter().filter_map(|it| it.runs().remove(&id)).sum();
            assert_eq!(runs, 0, "booking {id} ran, and its caller got no answer");
        }
    }
}
