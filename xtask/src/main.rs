//! Automation of the project: `cargo xtask try`, `ci`, `faults`, `measure`, `soak`, `plot`.

mod ci;
mod demo;
mod faults;
mod measure;
mod plot;
mod soak;

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
    /// Induces every fault at every step and writes the table into docs/PROOFS.md.
    Faults,
    /// Measures real processes before stand-ins; writes figures under docs/measurements.
    Measure {
        /// What to measure.
        what: measure::What,
        /// Only this way of dispatch, or this part of the slopes.
        #[arg(long)]
        only: Option<String>,
    },
    /// Plays faults by seeds at many processes on loopback and checks what callers and endpoints see.
    Soak(soak::Args),
    /// Draws the worth of a site's played days by version, from the journal.
    Plot {
        /// Name of the site.
        site: String,
    },
}

fn main() -> anyhow::Result<()> {
    match Cli::parse().command {
        Command::Try => demo::run(),
        Command::Ci => ci::run(),
        Command::Faults => faults::run(),
        Command::Measure { what, only } => measure::run(what, only.as_deref()),
        Command::Soak(args) => soak::run(&args),
        Command::Plot { site } => plot::run(&site),
    }
}
