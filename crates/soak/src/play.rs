//! One play: a deployment, callers, an operator and a schedule.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;

use crate::callers;
use crate::check::{Broken, End, Rule, Seen, check_runs};
use crate::deployment::Deployment;
use crate::schedule::{Entry, Schedule};

/// Pauses of the operator between two versions.
const VERSION_GAP_MS: std::ops::Range<u64> = 400..2_500;
/// Memory that a node may use, in MB.
const MAX_MEMORY_MB: f64 = 256.0;
/// Log lines of a node that are kept in a second, and their length in bytes, all kinds together.
const MAX_LOG_BYTES_PER_S: u64 = 400_000;

/// What is played.
#[derive(Clone, Debug)]
pub struct Options {
    /// Decides the schedule and what callers ask for.
    pub seed: u64,
    /// For how long callers send.
    pub length: Duration,
    /// Number of nodes.
    pub nodes: usize,
    /// Requests a second to each node.
    pub rate: f64,
}

/// What came of a play.
#[derive(Debug)]
pub struct Outcome {
    /// Requests that callers sent.
    pub requests: usize,
    /// Requests that endpoints ran for them.
    pub answered: usize,
    /// Requests that a node in touch handled.
    pub in_touch: usize,
    /// Longest time after the acknowledgement of a version for which a node in touch used an older one.
    pub longest_lag: Duration,
    /// Longest time from a start of a process until it served.
    pub longest_start: Duration,
    /// Versions that were published.
    pub versions: usize,
    /// Promises that were broken.
    pub broken: Vec<Broken>,
    /// Where the logs are, if a promise was broken.
    pub logs: Option<PathBuf>,
}

/// Plays a schedule with the program at `bin`.
pub async fn play(bin: &Path, options: &Options, schedule: &Schedule) -> anyhow::Result<Outcome> {
    let deployment = Arc::new(Deployment::start(bin, options.nodes).await?);
    let start = Instant::now();
    let end = start + options.length;
    let mut rng = StdRng::seed_from_u64(options.seed);
    let of_callers = StdRng::from_rng(&mut rng);
    let callers = tokio::spawn(callers::call(deployment.clone(), of_callers, options.rate, end));
    let operator = tokio::spawn(operate(deployment.clone(), rng, end));
    let mut faults = JoinSet::new();
    for it in schedule.entries.clone() {
        faults.spawn(suffer(deployment.clone(), start + it.at, it));
    }
    while let Some(ended) = faults.join_next().await {
        ended??;
    }
    operator.await?;
    let seen = callers.await?;
    finish(deployment, options, &seen).await
}

async fn operate(deployment: Arc<Deployment>, mut rng: StdRng, end: Instant) {
    while Instant::now() < end {
        deployment.publish();
        tokio::time::sleep(Duration::from_millis(rng.random_range(VERSION_GAP_MS))).await;
    }
}

async fn suffer(deployment: Arc<Deployment>, at: Instant, it: Entry) -> anyhow::Result<()> {
    tokio::time::sleep_until(at.into()).await;
    if it.is_met {
        deployment.publish();
    }
    deployment.suffer(it.fault, it.lasts).await?;
    if it.is_met {
        deployment.publish();
    }
    Ok(())
}

async fn finish(
    deployment: Arc<Deployment>,
    options: &Options,
    seen: &[Seen],
) -> anyhow::Result<Outcome> {
    let mut broken = deployment.history.lock().check(seen);
    let runs: Vec<_> = deployment.upstreams.iter().map(|it| it.runs()).collect();
    broken.extend(check_runs(seen, |id| runs.iter().filter_map(|it| it.get(id)).sum()));
    let max_log_bytes = MAX_LOG_BYTES_PER_S * options.length.as_secs().max(1);
    for (i, it) in deployment.processes().await?.into_iter().enumerate() {
        if it.has_ended {
            broken.push(Broken { rule: Rule::Ended, what: format!("node {i} ended by itself") });
        }
        if it.memory_mb.is_some_and(|it| it > MAX_MEMORY_MB) || it.log_bytes > max_log_bytes {
            broken.push(Broken { rule: Rule::Grown, what: format!("node {i}: {it:?}") });
        }
    }
    let versions = deployment.history.lock().versions.len();
    let in_touch = deployment.history.lock().checked(seen);
    let longest_start = deployment.history.lock().longest_start(seen);
    let longest_lag = deployment.history.lock().longest_lag(seen);
    let deployment = Arc::into_inner(deployment).filter(|_| !broken.is_empty());
    Ok(Outcome {
        requests: seen.len(),
        answered: seen.iter().filter(|it| matches!(it.end, End::Ran(_))).count(),
        in_touch,
        longest_lag,
        longest_start,
        versions,
        broken,
        logs: deployment.map(Deployment::keep_logs),
    })
}
