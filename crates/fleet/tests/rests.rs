//! Endpoints that turn requests away and ask the node to back off, in virtual time.

mod virtual_fleet;

use std::time::Duration;

use policy::Notice;
use virtual_fleet::{BASE_SCENARIO, Fleet, MS, RUN_LENGTH, Scenario, SentNotice};

const BACKOFF: Duration = Duration::from_secs(3);
/// A request may still be in progress for this long after the back-off was requested.
const IN_PROGRESS: u64 = 500 * MS;
/// Tolerated sends before the back-off ends.
const MAX_SENDS_DURING_BACKOFF: usize = 2;
const FROM: u64 = 10_000 * MS;
const UNTIL: u64 = 20_000 * MS;

/// A third of the endpoints turn all requests away for ten seconds; the others have enough slots.
fn back_off_scenario() -> Scenario {
    let notice =
        SentNotice { endpoints: 5, notice: Notice::Backoff(BACKOFF), from: FROM, until: UNTIL };
    Scenario {
        rate: 3.2,
        slots: 3,
        service_time: 240 * MS,
        requests_until: RUN_LENGTH - 5_000 * MS,
        fails_from: RUN_LENGTH,
        notice: Some(notice),
        ..BASE_SCENARIO
    }
}

#[track_caller]
fn check(scenario: Scenario) {
    for seed in 1..=4 {
        let mut fleet = Fleet::new(seed, scenario);
        fleet.run();
        assert!(!fleet.backoff_requests.is_empty(), "no node was asked to back off");
        for (at, node, endpoint) in &fleet.backoff_requests {
            let backoff = at + IN_PROGRESS..at + BACKOFF.as_micros() as u64;
            let in_backoff = |it: &&virtual_fleet::SendRecord| {
                it.node == *node && it.endpoint == *endpoint && backoff.contains(&it.at)
            };
            let n = fleet.sends.iter().filter(in_backoff).count();
            assert!(
                n <= MAX_SENDS_DURING_BACKOFF,
                "seed {seed}: {n} sends during the back-off requested at {at}"
            );
        }
    }
}

#[test]
fn the_backoff_that_an_endpoint_asks_for_is_kept() {
    check(back_off_scenario());
}

#[test]
fn the_backoff_is_kept_while_another_dispatching_node_takes_over() {
    check(Scenario { cut_off_at: Some(FROM + 1_000 * MS), ..back_off_scenario() });
}

#[test]
fn the_backoff_is_kept_while_frames_are_lost_and_late() {
    check(Scenario { lost: 0.2, late: 0.3, ..back_off_scenario() });
}

#[test]
fn callers_are_served_by_the_other_endpoints() {
    let mut fleet = Fleet::new(1, back_off_scenario());
    fleet.run();
    let asked = fleet.first_sends.len() as f64;
    assert!(f64::from(fleet.answered) >= 0.99 * asked, "{} of {asked}", fleet.answered);
    let turned_away = fleet.sends.len();
    assert!(turned_away <= 60, "{turned_away} sends turned away");
}
