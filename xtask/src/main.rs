//! Project automation: `cargo xtask try`, `ci`, `faults`, `measure`, `soak` and `plot`.

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
    /// Starts stand-ins and nodes as processes, sends requests through the nodes and prints a report.
    Try,
    /// Checks formatting and runs the linter and all tests.
    Ci,
    /// Injects every fault at every step of a request and writes the results into docs/PROOFS.md.
    Faults,
    /// Measures node processes against stand-ins and writes the figures into docs/measurements.
    Measure {
        /// What to measure.
        what: measure::What,
        /// Restricts the measurement to this dispatch mode, or to this group of figures of `slopes`.
        #[arg(long)]
        only: Option<String>,
    },
    /// Runs node processes on loopback under random faults and checks what callers and endpoints observe.
    Soak(soak::Args),
    /// Plots the worth of a site's days by version, from the journal.
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
