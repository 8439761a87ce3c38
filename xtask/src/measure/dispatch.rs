//! Compares the dispatch modes: first sends that arrive at an endpoint without a free slot, latency and messages.

use std::path::Path;

use serde::Serialize;
use standin::bed::{Layout, TestBed};
use standin::caller;

/// Time for which each measurement sends requests, in seconds.
const SECONDS: f64 = 8.0;

/// Figures of one dispatch mode at one utilization.
#[derive(Debug, Serialize)]
struct Figures {
    mode: &'static str,
    used: f64,
    sent: u64,
    answered: u64,
    not_run: u64,
    /// Share of first sends that arrived at an endpoint without a free slot.
    first_shed_share: f64,
    /// p50, p99, p99.9 and maximum.
    latency_us: [u64; 4],
    hedges: f64,
    /// Frames and bytes of the permit protocol per request, over all nodes and both directions.
    permit_frames_per_request: f64,
    permit_bytes_per_request: f64,
    /// Bytes per second of the exchange per node, in both directions.
    control_bytes_per_node_second: f64,
    direct_slots: f64,
    ejections: usize,
}

/// Dispatch modes, ending with the default.
const MODES: [&str; 3] = ["round-robin", "direct", "permits"];

/// Measures all dispatch modes, or only the given one, and writes the figures.
pub async fn run(bin: &Path, only: Option<&str>) -> anyhow::Result<()> {
    let mut all = Vec::new();
    for mode in MODES.iter().filter(|it| only.is_none_or(|only| only == **it)) {
        let layout = Layout::agenda(mode);
        let bed = TestBed::start(bin, &layout).await?;
        caller::run(bed.lookups(layout.rate(0.4), 4.0)).await;
        for used in [0.5, 0.7, 0.85] {
            let it = measure(&bed, &layout, used).await?;
            println!("{it:?}");
            all.push(it);
        }
    }
    super::write("dispatch", &all)
}

/// Measures a dispatch mode at one utilization.
async fn measure(bed: &TestBed, layout: &Layout, used: f64) -> anyhow::Result<Figures> {
    let shed = bed.metric("dappleway_first_sends_shed_total").await?;
    let hedges = bed.metric("dappleway_hedges_total").await?;
    let before = totals(bed).await?;
    let ejections = bed.ejections()?.len();
    let summary = caller::run(bed.lookups(layout.rate(used), SECONDS)).await;
    let after = totals(bed).await?;
    let sent = summary.sent as f64;
    let shed = bed.metric("dappleway_first_sends_shed_total").await? - shed;
    Ok(Figures {
        mode: layout.mode,
        used,
        sent: summary.sent,
        answered: summary.answered,
        not_run: summary.not_run,
        first_shed_share: shed / sent,
        latency_us: summary.latency_us,
        hedges: bed.metric("dappleway_hedges_total").await? - hedges,
        // Each frame is counted by both its sender and its receiver.
        permit_frames_per_request: (after[0] - before[0]) / 2.0 / sent,
        permit_bytes_per_request: (after[1] - before[1]) / 2.0 / sent,
        control_bytes_per_node_second: (after[2] - before[2]) / SECONDS / layout.nodes as f64,
        direct_slots: after[3] - before[3],
        ejections: bed.ejections()?.len() - ejections,
    })
}

/// Returns the sums over all nodes of permit frames, permit bytes, exchange bytes, and slots chosen without a
/// dispatcher.
async fn totals(bed: &TestBed) -> anyhow::Result<[f64; 4]> {
    let mut sums = [0.0; 4];
    for it in &bed.nodes {
        let report = it.report().await?;
        let keys = ["permit_frames", "permit_bytes", "control_bytes", "direct_slots"];
        for (sum, key) in sums.iter_mut().zip(keys) {
            *sum += report[key].as_f64().unwrap_or_default();
        }
    }
    Ok(sums)
}
