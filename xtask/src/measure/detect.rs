//! Measures the detection of each fault in each dispatch mode: the time from the fault to the last new request at the
//! faulty endpoint, the failed requests, and the wrong ejections.

use std::path::Path;
use std::time::Duration;

use serde::Serialize;
use standin::bed::{Layout, TestBed};
use standin::caller;
use standin::upstream::{Fault, Upstream};

/// Duration of a fault.
const FAULT_DURATION: Duration = Duration::from_millis(4_500);
/// Pause before each fault, in which the previous endpoint recovers.
const RECOVERY_TIME: Duration = Duration::from_millis(4_000);
/// A request that arrives after a gap of this length is a trial: an ejection lasts two seconds or more.
const MIN_GAP_MS: u64 = 1_500;
/// Utilization of the slots.
const UTILIZATION: f64 = 0.5;

/// The faults, each with the share of requests that it affects and its slowdown factor.
const FAULTS: [(&str, Fault, f64, f64); 5] = [
    ("full stall", Fault::Stall, 1.0, 1.0),
    ("stall of 3 in 10", Fault::Stall, 0.3, 1.0),
    ("errors in 3 of 10", Fault::Error, 0.3, 1.0),
    ("five times as slow", Fault::Slow, 1.0, 5.0),
    ("answers lost", Fault::LoseAnswer, 1.0, 1.0),
];

/// Figures of one fault in one dispatch mode.
#[derive(Debug, Serialize)]
struct Figures {
    mode: &'static str,
    fault: &'static str,
    trials: usize,
    /// Milliseconds from the fault to the last new request, for each run; absent if new requests kept arriving.
    detection_ms: Vec<Option<u64>>,
    median_ms: Option<u64>,
    worst_ms: Option<u64>,
    /// Mean number of requests that arrived at the faulty endpoint during a fault, including trial requests.
    arrivals: f64,
    sent: u64,
    answered: u64,
    failed: u64,
    /// p50, p99, p99.9 and maximum of the lookups.
    latency_us: [u64; 4],
    /// Ejections of healthy endpoints.
    false_ejections: usize,
}

/// Dispatch modes, starting with the default.
const MODES: [&str; 5] = ["permits", "direct", "local", "consecutive", "round-robin"];
/// Number of times that each fault is injected.
const TRIALS: usize = 3;

/// Measures all dispatch modes, or only the given one, and writes a file for each.
pub async fn run(bin: &Path, only: Option<&str>) -> anyhow::Result<()> {
    for mode in MODES.iter().filter(|it| only.is_none_or(|only| only == **it)) {
        let layout = Layout::agenda(mode);
        // Round robin ejects no endpoint, so one fault suffices as a baseline.
        let faults = if *mode == "round-robin" { &FAULTS[..1] } else { &FAULTS[..] };
        let mut figures = Vec::new();
        for fault in faults.iter().copied() {
            let bed = TestBed::start(bin, &layout).await?;
            caller::run(bed.lookups(layout.rate(UTILIZATION), 5.0)).await;
            let it = measure(&bed, &layout, fault, TRIALS).await?;
            println!("{it:?}");
            figures.push(it);
        }
        // Writing after each mode keeps the figures of completed modes if the measurement is interrupted.
        super::write(&format!("detect-{mode}"), &figures)?;
    }
    Ok(())
}

/// Injects a fault `trials` times under load and measures its detection.
async fn measure(
    bed: &TestBed,
    layout: &Layout,
    (name, fault, share, factor): (&'static str, Fault, f64, f64),
    trials: usize,
) -> anyhow::Result<Figures> {
    let seconds = ((FAULT_DURATION + RECOVERY_TIME) * trials as u32).as_secs_f64();
    let load = tokio::spawn(caller::run(bed.lookups(layout.rate(UTILIZATION), seconds)));
    let mut detections = Vec::new();
    let mut arrivals = 0;
    let mut faulty = Vec::new();
    for trial in 0..trials {
        // Faults alternate between endpoints, as repeated ejections of the same endpoint would last longer.
        let upstream: &Upstream = &bed.upstreams[trial * 4 % bed.upstreams.len()];
        faulty.push(upstream.name().to_owned());
        tokio::time::sleep(RECOVERY_TIME).await;
        upstream.set_fault(fault, share, factor);
        tokio::time::sleep(FAULT_DURATION).await;
        let counts = upstream.counts();
        upstream.set_fault(Fault::None, 1.0, 1.0);
        arrivals += counts.arrivals_ms.len();
        detections.push(last_new_request(&counts.arrivals_ms));
    }
    let summary = load.await?;
    let ejections = bed.ejections()?;
    let mut sorted: Vec<u64> = detections.iter().flatten().copied().collect();
    sorted.sort_unstable();
    let all_detected = sorted.len() == trials;
    Ok(Figures {
        mode: layout.mode,
        fault: name,
        trials,
        median_ms: sorted.get(trials / 2).copied(),
        worst_ms: sorted.last().copied().filter(|_| all_detected),
        detection_ms: detections,
        arrivals: arrivals as f64 / trials as f64,
        sent: summary.sent,
        answered: summary.answered,
        failed: summary.sent - summary.answered,
        latency_us: summary.latency_us,
        false_ejections: ejections.iter().filter(|it| !faulty.contains(it)).count(),
    })
}

/// Returns the last arrival before the first gap, or `None` if there was no gap.
fn last_new_request(arrivals_ms: &[u64]) -> Option<u64> {
    let end = FAULT_DURATION.as_millis() as u64;
    let mut last = 0;
    for at in arrivals_ms {
        if at - last >= MIN_GAP_MS {
            return Some(last);
        }
        last = *at;
    }
    (end - last >= MIN_GAP_MS).then_some(last)
}
