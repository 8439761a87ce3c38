//! Endpoints that turn requests away and ask the node for rest, in virtual time.

mod virtual_fleet;

use std::time::Duration;

use policy::Notice;
use virtual_fleet::{Fleet, MS, NONE, RUN, Says, Trouble};

const REST: Duration = Duration::from_secs(3);
/// A request may be under way, and two more may come before the end of the rest.
const UNDER_WAY: u64 = 500 * MS;
const BEFORE_THE_END: usize = 2;
const FROM: u64 = 10_000 * MS;
const UNTIL: u64 = 20_000 * MS;

/// A third of the endpoints turn all requests away for ten seconds; the service has slots to spare.
fn resting() -> Trouble {
    let says = Says { endpoints: 5, notice: Notice::Backoff(REST), from: FROM, until: UNTIL };
    Trouble {
        rate: 3.2,
        slots: 3,
        work: 240 * MS,
        requests_until: RUN - 5_000 * MS,
        fails_from: RUN,
        says: Some(says),
        ..NONE
    }
}

#[track_caller]
fn check(trouble: Trouble) {
    for seed in 1..=4 {
        let mut fleet = Fleet::new(seed, trouble);
        fleet.run();
        assert!(!fleet.asked_for_rest.is_empty(), "somebody is asked");
        for (at, node, endpoint) in &fleet.asked_for_rest {
            let rest = at + UNDER_WAY..at + REST.as_micros() as u64;
            let in_rest = |it: &&virtual_fleet::Arrival| {
                it.node == *node && it.endpoint == *endpoint && rest.contains(&it.at)
            };
            let n = fleet.sends.iter().filter(in_rest).count();
            assert!(n <= BEFORE_THE_END, "seed {seed}: {n} in the rest asked for at {at}");
        }
    }
}

#[test]
fn a_node_that_is_asked_for_rest_keeps_it() {
    check(resting());
}

#[test]
fn a_node_keeps_it_while_another_one_takes_over() {
    check(Trouble { cut_off_at: Some(FROM + 1_000 * MS), ..resting() });
}

#[test]
fn a_node_keeps_it_while_frames_are_lost_and_late() {
    check(Trouble { lost: 0.2, late: 0.3, ..resting() });
}

#[test]
fn callers_are_served_by_the_endpoints_that_want_work() {
    let mut fleet = Fleet::new(1, resting());
    fleet.run();
    let asked = fleet.first.len() as f64;
    assert!(f64::from(fleet.answered) >= 0.99 * asked, "{} of {asked}", fleet.answered);
    let turned_away = fleet.sends.len();
    assert!(turned_away <= 60, "{turned_away} sends turned away");
}
