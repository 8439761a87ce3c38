//! Automation of the project: `cargo xtask try`, `ci`, `measure`.

mod ci;
mod demo;
mod measure;

use clap::{Parser, Subcommand};

#[derive(Debug, Parser)]
#[command(bin_name = "cargo xtask")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Starts stand-ins and nodes as processes, sends requests through them and prints a report.
    Try,
    /// Checks formatting, runs the linter and all tests.
    Ci,
    /// Measures real processes before stand-ins; writes figures under docs/measurements.
    Measure {
        /// What to measure.
        what: measure::What,
        /// Only the design chosen, with fewer trials.
        #[arg(long)]
        quick: bool,
    },
}

fn main() -> anyhow::Result<()> {
    match Cli::parse().command {
        Command::Try => demo::run(),
        Command::Ci => ci::run(),
        Command::Measure { what, quick } => measure::run(what, quick),
    }
}
