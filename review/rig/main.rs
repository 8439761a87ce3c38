//! Stand-ins for the review cases: the platform's store, endpoints and callers, and control of the node processes.
//!
//! Only the standard library is used, so that the compiler alone builds the program. Every case runs on loopback
//! addresses and the real clock, and ends all processes that it started.

mod caller;
mod cases;
mod endpoint;
mod fleet;
mod http;
mod node;
mod record;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code if the rule held.
const HELD: u8 = 0;
/// Exit code if the rule was broken.
const BROKEN: u8 = 1;
/// Exit code if the case could not run.
const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: rig CASE FOLDER");
        return ExitCode::from(NOT_RUN);
    };
    let is_disrupted = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    match cases::run(case, &PathBuf::from(folder), is_disrupted) {
        Ok(true) => ExitCode::from(HELD),
        Ok(false) => ExitCode::from(BROKEN),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(NOT_RUN)
        }
    }
}
