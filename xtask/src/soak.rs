//! `cargo xtask soak`: runs soak tests by seed and prints the violated guarantees.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Context, bail, ensure};
use soak::{Case, Options, Rule, Schedule, Violation, cases, run_schedule};

use crate::demo;

/// Arguments of `cargo xtask soak`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds to run.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Duration of each run in seconds.
    #[arg(long, default_value_t = 40)]
    seconds: u64,
    /// Number of nodes.
    #[arg(long, default_value_t = 12)]
    nodes: usize,
    /// Requests per second to each node.
    #[arg(long, default_value_t = 20.0)]
    rate: f64,
    /// Draw planned stops, and reloads, versions and kills beside them, but no other faults.
    #[arg(long)]
    stops: bool,
    /// Run this named case instead of random schedules.
    #[arg(long)]
    case: Option<String>,
    /// Path of another node program to test, such as an older version.
    #[arg(long)]
    bin: Option<PathBuf>,
}

/// Maximum number of violations that are printed for a seed.
const MAX_PRINTED_VIOLATIONS: usize = 6;

/// Runs the seeds; fails if a guarantee was violated.
pub fn run(args: &Args) -> anyhow::Result<()> {
    let bin = match &args.bin {
        Some(it) => it.clone(),
        None => demo::build()?.join("dappleway"),
    };
    let runtime = tokio::runtime::Runtime::new()?;
    let mut failed = Vec::new();
    for seed in args.seed..args.seed + args.seeds {
        let length = Duration::from_secs(args.seconds);
        let Case { nodes, schedule, .. } = match &args.case {
            Some(name) => find_case(name)?,
            None => {
                let draw = if args.stops { Schedule::random_stops } else { Schedule::random };
                Case { name: "", nodes: args.nodes, schedule: draw(seed, length) }
            }
        };
        println!("seed {seed}");
        println!("  planned stops: {}", schedule.drain);
        schedule.entries.iter().for_each(|it| println!("  {it}"));
        let options = Options { seed, length, nodes, rate: args.rate };
        let outcome = runtime.block_on(async {
            tokio::select! {
                it = run_schedule(&bin, &options, &schedule) => it,
                // Dropping the runtime kills the processes.
                _ = tokio::signal::ctrl_c() => bail!("stopped before the end of seed {seed}"),
            }
        })?;
        println!(
            "  {} requests, {} answered, {} by undisturbed nodes, {} versions, outdated ones used for at most {} ms, first answer at most {} ms after a restart, {} violations",
            outcome.requests,
            outcome.answered,
            outcome.checked,
            outcome.versions,
            outcome.longest_lag.as_millis(),
            outcome.longest_start.as_millis(),
            outcome.violations.len()
        );
        println!(
            "  {} planned stops, {} requests without an answer at their ends are excused, {} answers around them say that the request may have run, {} of these while an endpoint was at work and time was left",
            outcome.stops, outcome.excused, outcome.unknown, outcome.unknown_early
        );
        for (rule, count) in count_by_rule(&outcome.violations) {
            println!("  {rule:?}: {count}");
        }
        outcome.violations.iter().take(MAX_PRINTED_VIOLATIONS).for_each(|it| println!("  {it}"));
        if let Some(logs) = &outcome.logs {
            println!("  logs: {}", logs.display());
            failed.push(seed);
        }
    }
    ensure!(failed.is_empty(), "seeds with violated guarantees: {failed:?}");
    Ok(())
}

fn count_by_rule(violations: &[Violation]) -> BTreeMap<Rule, usize> {
    let mut counts = BTreeMap::new();
    violations.iter().for_each(|it| *counts.entry(it.rule).or_default() += 1);
    counts
}

fn find_case(name: &str) -> anyhow::Result<Case> {
    let found = cases().into_iter().find(|it| it.name == name);
    let names: Vec<_> = cases().iter().map(|it| it.name).collect();
    found.with_context(|| format!("unknown case `{name}`; available cases: {}", names.join(", ")))
}
