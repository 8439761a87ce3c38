//! The cases. Each returns whether its rule held.

mod stale_grant;
mod stale_proof;
mod wrong_bytes;

use std::io;
use std::path::Path;

use crate::record::Record;

/// Runs a case; `is_disrupted` is false for the same run without the disruption.
pub fn run(case: &str, folder: &Path, is_disrupted: bool) -> io::Result<bool> {
    let record = Record::create(folder)?;
    let disruption = if is_disrupted { "with" } else { "without" };
    record.say(format!("case {case}, {disruption} the disruption"));
    let held = match case {
        "stale-grant" => stale_grant::run(&record, is_disrupted)?,
        "stale-proof" => stale_proof::run(&record, is_disrupted)?,
        "wrong-bytes" => wrong_bytes::run(&record, is_disrupted)?,
        _ => return Err(io::Error::other(format!("there is no case `{case}`"))),
    };
    record.say(if held { "the rule held" } else { "the rule was broken" });
    Ok(held)
}
