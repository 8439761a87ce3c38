//! `cargo xtask soak`: plays seeds and prints what broke.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Context, bail, ensure};
use soak::{Case, Options, Schedule, cases, run_schedule};

use crate::demo;

/// What is played.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Seeds that are played one after the other.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// For how long each lasts.
    #[arg(long, default_value_t = 40)]
    seconds: u64,
    /// Number of nodes.
    #[arg(long, default_value_t = 12)]
    nodes: usize,
    /// Requests a second to each node.
    #[arg(long, default_value_t = 20.0)]
    rate: f64,
    /// Plays this case instead of the schedules of seeds.
    #[arg(long)]
    case: Option<String>,
    /// Another program than the one of this tree, as an older version.
    #[arg(long)]
    bin: Option<PathBuf>,
}

/// Cases of a seed that are printed.
const SHOWN: usize = 6;

/// Plays the seeds; fails if a promise was broken.
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
            Some(name) => named(name)?,
            None => Case { name: "", nodes: args.nodes, schedule: Schedule::random(seed, length) },
        };
        println!("seed {seed}");
        schedule.entries.iter().for_each(|it| println!("  {it}"));
        let options = Options { seed, length, nodes, rate: args.rate };
        let outcome = runtime.block_on(async {
            tokio::select! {
                it = run_schedule(&bin, &options, &schedule) => it,
                // The processes end with the runtime.
                _ = tokio::signal::ctrl_c() => bail!("stopped before the end of seed {seed}"),
            }
        })?;
        println!(
            "  {} requests, {} answered, {} by nodes in touch, {} versions, used {} ms after the next one at most, served {} ms after a start at most, {} promises broken",
            outcome.requests,
            outcome.answered,
            outcome.checked,
            outcome.versions,
            outcome.longest_lag.as_millis(),
            outcome.longest_start.as_millis(),
            outcome.violations.len()
        );
        outcome.violations.iter().take(SHOWN).for_each(|it| println!("  {it}"));
        if let Some(logs) = &outcome.logs {
            println!("  logs: {}", logs.display());
            failed.push(seed);
        }
    }
    ensure!(failed.is_empty(), "seeds that broke a promise: {failed:?}");
    Ok(())
}

fn named(name: &str) -> anyhow::Result<Case> {
    let found = cases().into_iter().find(|it| it.name == name);
    let names: Vec<_> = cases().iter().map(|it| it.name).collect();
    found.with_context(|| format!("no case `{name}`: there are {}", names.join(", ")))
}
