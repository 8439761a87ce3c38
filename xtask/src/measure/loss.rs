//! Measures the effects of losing a dispatching node under load: the node is killed, frozen, or cut off in one
//! direction.

use std::path::Path;
use std::time::Duration;

use serde::Serialize;
use standin::bed::{Layout, TestBed};
use standin::caller;

/// Time for which each measurement sends requests, in seconds.
const SECONDS: f64 = 8.0;
/// Utilization of the slots.
const UTILIZATION: f64 = 0.5;
/// Time from the start of the load to the loss.
const TIME_BEFORE_LOSS: Duration = Duration::from_secs(2);

/// Figures of one kind of loss.
#[derive(Debug, Serialize)]
struct Figures {
    loss: &'static str,
    sent: u64,
    answered: u64,
    not_run: u64,
    unknown: u64,
    /// p50, p99, p99.9 and maximum.
    latency_us: [u64; 4],
    first_sends_shed: f64,
    /// Slots that nodes chose without a dispatcher.
    direct_slots: f64,
    ejections: usize,
}

/// Measures each kind of loss and writes the figures.
pub async fn run(bin: &Path) -> anyhow::Result<()> {
    let mut all = Vec::new();
    for loss in ["none", "killed", "frozen for 3 s", "cannot answer", "cannot be reached"] {
        let bed = TestBed::start(bin, &Layout::agenda("permits")).await?;
        let it = measure(bed, loss).await?;
        println!("{it:?}");
        all.push(it);
    }
    super::write("loss", &all)
}

/// Measures one kind of loss of a dispatching node.
async fn measure(mut bed: TestBed, loss: &'static str) -> anyhow::Result<Figures> {
    let layout = Layout::agenda("permits");
    caller::run(bed.lookups(layout.rate(0.4), 4.0)).await;
    let lost = dispatching_node(&bed).await?;
    let mut plan = bed.lookups(layout.rate(UTILIZATION), SECONDS);
    // The lost node gets no requests, as after a failed health check of the load balancer: the measurement covers
    // only the effects on the other nodes.
    plan.targets.remove(lost);
    let shed = first_sends_shed(&bed, lost).await?;
    let direct = direct_slots(&bed).await;
    let load = tokio::spawn(caller::run(plan));
    tokio::time::sleep(TIME_BEFORE_LOSS).await;
    inject(&mut bed, lost, loss).await?;
    let summary = load.await?;
    Ok(Figures {
        loss,
        sent: summary.sent,
        answered: summary.answered,
        not_run: summary.not_run,
        unknown: summary.unknown,
        latency_us: summary.latency_us,
        first_sends_shed: first_sends_shed(&bed, lost).await? - shed,
        direct_slots: direct_slots(&bed).await - direct,
        ejections: bed.ejections()?.len(),
    })
}

/// Finds a node that dispatches for a healthy endpoint.
async fn dispatching_node(bed: &TestBed) -> anyhow::Result<usize> {
    for (i, it) in bed.nodes.iter().enumerate() {
        let report = it.report().await?;
        let endpoints = report["services"][0]["endpoints"].as_array().cloned().unwrap_or_default();
        if endpoints.iter().any(|it| it["dispatched_here"] == true && it["state"] == "healthy") {
            return Ok(i);
        }
    }
    anyhow::bail!("no node dispatches")
}

/// Injects the named loss of the node with index `lost`.
async fn inject(bed: &mut TestBed, lost: usize, loss: &str) -> anyhow::Result<()> {
    let others: Vec<_> = bed.nodes.iter().map(|it| it.addrs.fleet).collect();
    match loss {
        "killed" => bed.nodes[lost].kill(),
        "frozen for 3 s" => {
            bed.nodes[lost].signal("STOP")?;
            tokio::time::sleep(Duration::from_secs(3)).await;
            bed.nodes[lost].signal("CONT")?;
        }
        "cannot answer" => bed.nodes[lost].cut(&others).await?,
        "cannot be reached" => {
            for (i, it) in bed.nodes.iter().enumerate() {
                if i != lost {
                    it.cut(&others[lost..=lost]).await?;
                }
            }
        }
        _ => {}
    }
    Ok(())
}

/// Sums the metric over all nodes except the lost one.
async fn first_sends_shed(bed: &TestBed, lost: usize) -> anyhow::Result<f64> {
    let mut sum = 0.0;
    for (i, it) in bed.nodes.iter().enumerate() {
        if i != lost {
            sum += it.metric("dappleway_first_sends_shed_total").await?;
        }
    }
    Ok(sum)
}

/// Returns the slots that nodes chose without a dispatcher, summed over all nodes.
async fn direct_slots(bed: &TestBed) -> f64 {
    let mut sum = 0.0;
    for it in &bed.nodes {
        let report = it.report().await.unwrap_or_default();
        sum += report["direct_slots"].as_f64().unwrap_or_default();
    }
    sum
}
