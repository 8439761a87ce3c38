//! Automation of the project: `cargo xtask try`, `ci`, `measure`.

mod ci;
mod demo;

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
}

fn main() -> anyhow::Result<()> {
    match Cli::parse().command {
        Command::Try => demo::run(),
        Command::Ci => ci::run(),
    }
}
