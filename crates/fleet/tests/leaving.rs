//! Endpoints that announce their leaving while the registry still lists them, in virtual time.

mod virtual_fleet;

use policy::Notice;
use virtual_fleet::{Fleet, MS, NONE, RUN, Says, Trouble};

/// A node that has received the announcement sends nothing after this time.
const BOUND: u64 = 2_000 * MS;
const FROM: u64 = 10_000 * MS;

fn leaving() -> Trouble {
    let says = Says { endpoints: 4, notice: Notice::Leaving, from: FROM, until: RUN };
    Trouble { fails_from: RUN, says: Some(says), ..NONE }
}

#[track_caller]
fn check(trouble: Trouble) {
    for seed in 1..=4 {
        let mut fleet = Fleet::new(seed, trouble);
        fleet.run();
        let late = fleet.sends.iter().filter(|it| it.known_for.is_some_and(|it| it > BOUND));
        assert_eq!(late.count(), 0, "seed {seed}");
        assert!(!fleet.sends.is_empty(), "somebody is told");
    }
}

#[test]
fn no_node_sends_to_an_endpoint_that_has_told_it_that_it_leaves() {
    check(leaving());
}

#[test]
fn no_node_does_so_while_another_one_takes_over() {
    check(Trouble { cut_off_at: Some(FROM + 3_000 * MS), ..leaving() });
}

#[test]
fn no_node_does_so_while_frames_are_lost_and_late() {
    check(Trouble { lost: 0.2, late: 0.3, ..leaving() });
}

#[test]
fn a_fleet_that_hears_of_it_soon_sends_nothing() {
    let mut fleet = Fleet::new(1, leaving());
    fleet.run();
    let late = fleet.sends.iter().filter(|it| it.at > FROM + BOUND);
    assert_eq!(late.count(), 0, "not from nodes that were not told either");
}
