//! The rate limits that endpoints name, summed over the whole fleet, in virtual time.

mod virtual_fleet;

use virtual_fleet::{Arrival, Fleet, Limited, MS, NONE, RUN, Trouble};

/// Sends are counted over this time.
const WINDOW: u64 = 4_000 * MS;
/// The fleet has so long to hear of a limit.
const CONTACT: u64 = 3_000 * MS;
/// A node that was told a moment ago may have a send under way.
const UNDER_WAY: u64 = 500 * MS;
/// Sends in a window beyond one and a half times what the limit allows.
const SLACK: f64 = 5.0;

const FROM: u64 = 10_000 * MS;
const UNTIL: u64 = 30_000 * MS;
const LIMIT: Limited = Limited { endpoints: 4, per_s: 2.0, from: FROM, until: UNTIL };
const LIMITED: Trouble = Trouble { fails_from: RUN, rate_limit: Some(LIMIT), ..NONE };

/// Most sends in a window to one endpoint, from nodes that knew of its limit.
fn most_in_a_window(sends: &[Arrival], endpoint: usize) -> usize {
    let counts = |it: &&Arrival| {
        let is_known = it.known_for.is_some_and(|it| it >= UNDER_WAY);
        it.endpoint == endpoint && it.at >= FROM + CONTACT && is_known
    };
    let times: Vec<u64> = sends.iter().filter(counts).map(|it| it.at).collect();
    let in_window = |end: u64| times.iter().filter(|it| **it <= end && **it + WINDOW > end).count();
    times.iter().map(|end| in_window(*end)).max().unwrap_or(0)
}

#[track_caller]
fn check(trouble: Trouble) {
    let limit = trouble.rate_limit.expect("endpoints name a limit");
    let allowed = limit.per_s * 1.5 * WINDOW as f64 / 1e6 + SLACK;
    for seed in 1..=4 {
        let mut fleet = Fleet::new(seed, trouble);
        fleet.run();
        for endpoint in 0..limit.endpoints {
            let most = most_in_a_window(&fleet.to_limited, endpoint);
            assert!(most as f64 <= allowed, "seed {seed}: {most} sends, allowed {allowed}");
        }
    }
}

#[test]
fn no_rate_limit_is_exceeded_in_calm() {
    for per_s in [0.0, 0.7, 2.0, 8.0] {
        check(Trouble { rate_limit: Some(Limited { per_s, ..LIMIT }), ..LIMITED });
    }
}

#[test]
fn no_rate_limit_is_exceeded_while_another_node_takes_over() {
    for after in [1, 4, 8] {
        check(Trouble { cut_off_at: Some(FROM + after * 1_000 * MS), ..LIMITED });
    }
}

#[test]
fn no_rate_limit_is_exceeded_while_asks_go_from_one_node_to_the_next() {
    check(Trouble { late: 0.6, ..LIMITED });
}

#[test]
fn no_rate_limit_is_exceeded_while_frames_are_lost() {
    for lost in [0.05, 0.2, 0.4] {
        check(Trouble { lost, ..LIMITED });
    }
}

#[test]
fn a_limited_endpoint_keeps_its_work_up_to_the_limit() {
    let mut fleet = Fleet::new(1, LIMITED);
    fleet.run();
    let sends = fleet.to_limited.iter().filter(|it| it.at >= FROM + CONTACT).count() as f64;
    let allowed = LIMIT.per_s * LIMIT.endpoints as f64 * (UNTIL - FROM - CONTACT) as f64 / 1e6;
    assert!(sends >= 0.9 * allowed, "{sends} of {allowed}");
}

#[test]
fn no_rate_limit_is_exceeded_while_all_endpoints_name_one() {
    let limit = Limited { endpoints: NONE.endpoints.into(), ..LIMIT };
    check(Trouble { rate_limit: Some(limit), ..LIMITED });
}
