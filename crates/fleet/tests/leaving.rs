//! Endpoints that announce their leaving while the registry still lists them, in virtual time.

mod virtual_fleet;

use policy::Notice;
use virtual_fleet::{BASE_SCENARIO, Fleet, MS, RUN_LENGTH, Scenario, SentNotice};

/// A node that has received the announcement sends nothing after this time.
const BOUND: u64 = 2_000 * MS;
const FROM: u64 = 10_000 * MS;

fn leaving() -> Scenario {
    let notice =
        SentNotice { endpoints: 4, notice: Notice::Leaving, from: FROM, until: RUN_LENGTH };
    Scenario { fails_from: RUN_LENGTH, notice: Some(notice), ..BASE_SCENARIO }
}

#[track_caller]
fn check(scenario: Scenario) {
    for seed in 1..=4 {
        let mut fleet = Fleet::new(seed, scenario);
        fleet.run();
        let late = fleet.sends.iter().filter(|it| it.known_for.is_some_and(|it| it > BOUND));
        assert_eq!(late.count(), 0, "seed {seed}");
        assert!(!fleet.sends.is_empty(), "no node received a notice");
    }
}

#[test]
fn no_node_sends_to_an_endpoint_that_has_announced_its_leaving() {
    check(leaving());
}

#[test]
fn no_node_sends_to_a_leaving_endpoint_while_another_dispatching_node_takes_over() {
    check(Scenario { cut_off_at: Some(FROM + 3_000 * MS), ..leaving() });
}

#[test]
fn no_node_sends_to_a_leaving_endpoint_while_frames_are_lost_and_late() {
    check(Scenario { lost: 0.2, late: 0.3, ..leaving() });
}

#[test]
fn a_fleet_stops_sending_soon_after_the_announcement() {
    let mut fleet = Fleet::new(1, leaving());
    fleet.run();
    let late = fleet.sends.iter().filter(|it| it.at > FROM + BOUND);
    assert_eq!(late.count(), 0, "nodes that received no notice send nothing either");
}
