//! One soak run: a deployment, callers, an operator and a fault schedule.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;

use crate::callers;
use crate::check::{RequestOutcome, RequestRecord, Rule, Violation, check_runs};
use crate::deployment::Deployment;
use crate::schedule::{Entry, Schedule};

/// Range of pauses between two versions that the operator publishes.
const PUBLISH_INTERVAL_MS: std::ops::Range<u64> = 400..2_500;
/// Maximum resident memory of a node, in MB.
const MAX_MEMORY_MB: f64 = 256.0;
/// Maximum log output of a node in bytes per second, over all kinds of log lines.
const MAX_LOG_BYTES_PER_S: u64 = 400_000;

/// Parameters of a soak run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seeds the random choices of the operator and the callers.
    pub seed: u64,
    /// Time for which callers send requests.
    pub length: Duration,
    /// Number of nodes.
    pub nodes: usize,
    /// Requests a second that callers send to each node.
    pub rate: f64,
}

/// Result of a soak run.
#[derive(Debug)]
pub struct Outcome {
    /// Requests that callers sent.
    pub requests: usize,
    /// Requests that were answered by an endpoint.
    pub answered: usize,
    /// Requests that an undisturbed node handled; only these are checked against the freshness bound.
    pub checked: usize,
    /// Longest time after the acknowledgement of a version for which an undisturbed node still used an older version.
    pub longest_lag: Duration,
    /// Longest time from the start of a process to its first successful answer.
    pub longest_start: Duration,
    /// Number of versions that were published.
    pub versions: usize,
    /// Number of planned stops.
    pub stops: usize,
    /// Requests without an answer that only work of endpoints in the last sixth of the grace period excuses.
    pub excused: usize,
    /// Answers around planned stops that say that the request may have run.
    pub unknown: usize,
    /// Those of them that a node gave, before it had to, while an endpoint was at work on the request.
    pub unknown_early: usize,
    /// Violated guarantees.
    pub violations: Vec<Violation>,
    /// Directory of the node logs, kept if a guarantee was violated.
    pub logs: Option<PathBuf>,
}

/// Runs a schedule against nodes of the program at `bin`.
pub async fn run_schedule(
    bin: &Path,
    options: &Options,
    schedule: &Schedule,
) -> anyhow::Result<Outcome> {
    let deployment = Arc::new(Deployment::start(bin, options.nodes, schedule.drain).await?);
    let start = Instant::now();
    let end = start + options.length;
    let mut rng = StdRng::seed_from_u64(options.seed);
    let caller_rng = StdRng::from_rng(&mut rng);
    let callers =
        tokio::spawn(callers::send_requests(deployment.clone(), caller_rng, options.rate, end));
    let operator = tokio::spawn(run_operator(deployment.clone(), rng, end));
    let mut faults = JoinSet::new();
    for it in schedule.entries.clone() {
        faults.spawn(run_entry(deployment.clone(), start + it.at, it));
    }
    while let Some(ended) = faults.join_next().await {
        ended??;
    }
    operator.await?;
    let records = callers.await?;
    finish(deployment, options, &records).await
}

/// Publishes versions at random intervals until `end`.
async fn run_operator(deployment: Arc<Deployment>, mut rng: StdRng, end: Instant) {
    while Instant::now() < end {
        deployment.publish();
        tokio::time::sleep(Duration::from_millis(rng.random_range(PUBLISH_INTERVAL_MS))).await;
    }
}

/// Injects the fault of an entry at its time.
async fn run_entry(deployment: Arc<Deployment>, at: Instant, entry: Entry) -> anyhow::Result<()> {
    tokio::time::sleep_until(at.into()).await;
    if entry.publishes_around {
        deployment.publish();
    }
    deployment.inject(entry.fault, entry.duration).await?;
    if entry.publishes_around {
        deployment.publish();
    }
    Ok(())
}

/// Checks the guarantees and collects the results of the run.
async fn finish(
    deployment: Arc<Deployment>,
    options: &Options,
    records: &[RequestRecord],
) -> anyhow::Result<Outcome> {
    let mut violations = deployment.history.lock().check(records);
    let runs: Vec<_> = deployment.upstreams.iter().map(|it| it.runs()).collect();
    violations.extend(check_runs(records, |id| runs.iter().filter_map(|it| it.get(id)).sum()));
    let work: Vec<_> = deployment.upstreams.iter().map(|it| it.work()).collect();
    let work_on = |id: &str| work.iter().filter_map(|it| it.get(id)).flatten().copied().collect();
    let grace = deployment.drain.grace;
    violations.extend(deployment.history.lock().check_lost(records, grace, work_on));
    violations.extend(deployment.history.lock().check_stops(grace));
    let (unknown, unknown_early) = deployment.history.lock().count_unknown(records, grace, work_on);
    let excused = deployment.history.lock().count_excused(records, grace, work_on);
    let stops = deployment.history.lock().count_stops();
    let max_log_bytes = MAX_LOG_BYTES_PER_S * options.length.as_secs().max(1);
    for (i, it) in deployment.processes().await?.into_iter().enumerate() {
        if it.has_ended {
            violations.push(Violation {
                rule: Rule::Ended,
                description: format!("node {i} ended by itself"),
            });
        }
        if it.memory_mb.is_some_and(|it| it > MAX_MEMORY_MB) || it.log_bytes > max_log_bytes {
            violations
                .push(Violation { rule: Rule::Grown, description: format!("node {i}: {it:?}") });
        }
    }
    let versions = deployment.history.lock().versions.len();
    let checked = deployment.history.lock().count_checked(records);
    let longest_start = deployment.history.lock().longest_start(records);
    let longest_lag = deployment.history.lock().longest_lag(records);
    let deployment = Arc::into_inner(deployment).filter(|_| !violations.is_empty());
    Ok(Outcome {
        requests: records.len(),
        answered: records.iter().filter(|it| matches!(it.outcome, RequestOutcome::Ran(_))).count(),
        checked,
        longest_lag,
        longest_start,
        versions,
        stops,
        excused,
        unknown,
        unknown_early,
        violations,
        logs: deployment.map(Deployment::keep_logs),
    })
}
