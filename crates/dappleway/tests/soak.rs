//! Soak test with many processes: checks the guarantees of the fleet in all stored cases and in one short random
//! schedule of faults.

use std::path::Path;
use std::time::Duration;

use soak::{Case, Options, Schedule, cases, run_schedule};

/// Seed of the callers' requests and of the random schedule.
const SEED: u64 = 7;
/// Length of the random schedule.
const RANDOM_SCHEDULE_LENGTH: Duration = Duration::from_secs(20);
/// Requests per second to each node.
const RATE: f64 = 10.0;

async fn check(case: Case) {
    let last = case.schedule.entries.iter().map(|it| it.at + it.duration).max().unwrap_or_default();
    let length = last + Duration::from_secs(5);
    let options = Options { seed: SEED, length, nodes: case.nodes, rate: RATE };
    let bin = Path::new(env!("CARGO_BIN_EXE_dappleway"));
    let outcome = run_schedule(bin, &options, &case.schedule).await.unwrap();
    let broken: Vec<String> = outcome.violations.iter().take(5).map(ToString::to_string).collect();
    assert!(broken.is_empty(), "{}: {broken:#?}, logs in {:?}", case.name, outcome.logs);
    assert!(
        outcome.checked * 10 > outcome.requests,
        "{}: too few requests were checked",
        case.name
    );
}

// The cases run one after another, because parallel cases would compete for the CPU.
#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_in_all_kept_cases_and_a_drawn_one() {
    for case in cases() {
        check(case).await;
    }
    check(Case {
        name: "drawn",
        nodes: 6,
        schedule: Schedule::random(SEED, RANDOM_SCHEDULE_LENGTH),
    })
    .await;
}
