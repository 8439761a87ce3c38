//! `cargo xtask measure`: measures node processes against stand-ins and writes the figures as JSON into
//! docs/measurements. Measurements have no pass or fail criteria.

mod detect;
mod dispatch;
mod loss;
mod path;
mod slopes;

use std::path::PathBuf;

use anyhow::Context;
use clap::ValueEnum;
use serde::Serialize;

use crate::ci::root;
use crate::demo::build;

/// What to measure.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum What {
    /// Latency that one node adds, requests per second, and memory of idle connections.
    Path,
    /// First sends that arrive at an endpoint without a free slot, by dispatch mode and utilization.
    Dispatch,
    /// Time to detect each fault, by dispatch mode.
    Detect,
    /// Effects of the loss of a dispatching node under load.
    Loss,
    /// Control plane cost by number of nodes, endpoints, services, routes and organisations.
    Slopes,
}

/// Builds the programs and runs a measurement.
pub fn run(what: What, only: Option<&str>) -> anyhow::Result<()> {
    let bin = build()?.join("dappleway");
    let runtime = tokio::runtime::Runtime::new()?;
    match what {
        What::Path => runtime.block_on(path::run(&bin)),
        What::Dispatch => runtime.block_on(dispatch::run(&bin, only)),
        What::Loss => runtime.block_on(loss::run(&bin)),
        What::Slopes => runtime.block_on(slopes::run(&bin, only)),
        What::Detect => runtime.block_on(detect::run(&bin, only)),
    }
}

/// Writes figures as JSON into docs/measurements.
fn write(name: &str, figures: &impl Serialize) -> anyhow::Result<()> {
    let dir: PathBuf = root().join("docs/measurements");
    std::fs::create_dir_all(&dir)?;
    let path = dir.join(format!("{name}.json"));
    let text = serde_json::to_string_pretty(figures)?;
    std::fs::write(&path, text + "\n").with_context(|| path.display().to_string())?;
    println!("written to {}", path.strip_prefix(root()).unwrap_or(&path).display());
    Ok(())
}
