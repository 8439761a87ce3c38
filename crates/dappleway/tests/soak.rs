//! Promises under faults, with the program as many processes: the kept cases and one short drawn schedule.

use std::path::Path;
use std::time::Duration;

use soak::{Case, Options, Schedule, cases, run_schedule};

/// Seed of what callers ask for, and of the drawn schedule.
const SEED: u64 = 7;
/// Length of the drawn schedule.
const SHORT: Duration = Duration::from_secs(20);
/// Requests a second to each node.
const RATE: f64 = 10.0;

async fn check(it: Case) {
    let last = it.schedule.entries.iter().map(|it| it.at + it.duration).max().unwrap_or_default();
    let length = last + Duration::from_secs(5);
    let options = Options { seed: SEED, length, nodes: it.nodes, rate: RATE };
    let bin = Path::new(env!("CARGO_BIN_EXE_dappleway"));
    let outcome = run_schedule(bin, &options, &it.schedule).await.unwrap();
    let told: Vec<String> = outcome.violations.iter().take(5).map(ToString::to_string).collect();
    assert!(told.is_empty(), "{}: {told:#?}, logs in {:?}", it.name, outcome.logs);
    assert!(outcome.checked * 10 > outcome.requests, "{}: too little was checked", it.name);
}

// One after the other: beside each other they would take the processor from one another.
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_in_all_kept_cases_and_a_drawn_one() {
    for it in cases() {
        check(it).await;
    }
    check(Case { name: "drawn", nodes: 6, schedule: Schedule::random(SEED, SHORT) }).await;
}
