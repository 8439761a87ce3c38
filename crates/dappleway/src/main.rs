//! `dappleway`: a fleet of HTTP proxies for upstreams with gray failures. See README.md and docs/OPERATIONS.md.

mod baselines;
mod check;
mod cli;
mod control;
mod event;
mod explain;
mod gateway;
mod handle;
mod logging;
mod node;
mod query;
mod reader;
mod reload;
mod services;
mod settings;

#[cfg(test)]
mod tests;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main()
}
