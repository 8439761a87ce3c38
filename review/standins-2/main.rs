//! Stand-ins of the second review. Each case runs the program under test as processes, with a store, endpoints
//! and clients in this process.
//!
//! `standins-2 CASE DIR TROUBLE`: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod client;
mod endpoint;
mod fleet;
mod http;
mod route;
mod silent_departure;
mod silent_download;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use silent_departure::{Lost, Trouble};

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, dir, trouble] = &args[..] else {
        eprintln!("usage: standins-2 CASE DIR TROUBLE");
        return ExitCode::from(2);
    };
    let dir = PathBuf::from(dir);
    let result = match case.as_str() {
        "lost-removal" => silent_departure::run(&dir, &lost_removal(trouble)),
        "late-removal" => silent_departure::run(&dir, &late_removal(trouble)),
        "divided-update" => silent_departure::run(&dir, &divided_update(trouble)),
        "silent-download" => silent_download::run(&dir, trouble != "0"),
        _ => Err(std::io::Error::other("no such case")),
    };
    match result {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

/// Four of seven processes are killed, and back soon.
fn lost_removal(trouble: &str) -> Trouble {
    let lost = (trouble != "0").then_some((Lost::ReaderAndSeeds, Duration::from_millis(500)));
    Trouble { machines: 7, clients: 20, outage: None, with_others: false, lost }
}

/// The store is down and back; some seconds later a machine loses power. `outage` and `power` are only one of them.
fn late_removal(trouble: &str) -> Trouble {
    let with = |what| trouble == "1" || trouble == what;
    let outage = with("outage").then_some(Duration::from_millis(4_500));
    let lost = with("power").then_some((Lost::Reader, Duration::from_millis(3_500)));
    Trouble { machines: 4, clients: 60, outage, with_others: false, lost }
}

/// Endpoints join and leave at the moment at which a machine loses power. With `power` only one leaves.
fn divided_update(trouble: &str) -> Trouble {
    let lost = (trouble != "0").then_some((Lost::Reader, Duration::from_millis(3_500)));
    let with_others = trouble != "power";
    Trouble { machines: 7, clients: 60, outage: None, with_others, lost }
}
