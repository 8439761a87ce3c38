//! Rate limits advertised by endpoints, summed over the whole fleet, in virtual time.

mod virtual_fleet;

use policy::{Notice, RateLimit};
use virtual_fleet::{BASE_SCENARIO, Fleet, MS, RUN_LENGTH, Scenario, SendRecord, SentNotice};

/// Sends are counted over this time.
const WINDOW: u64 = 4_000 * MS;
/// Time for the fleet to receive a limit.
const PROPAGATION_TIME: u64 = 3_000 * MS;
/// A node that received the limit a moment ago may still have a send in progress.
const IN_PROGRESS: u64 = 500 * MS;
/// Tolerated sends in a window beyond one and a half times the limit.
const SLACK: f64 = 5.0;

const FROM: u64 = 10_000 * MS;
const UNTIL: u64 = 30_000 * MS;
const PER_S: f64 = 2.0;
const ENDPOINTS: usize = 4;

/// Endpoints that advertise a limit.
fn limited(endpoints: usize, per_s: f64) -> Scenario {
    let notice = Notice::RateLimit(RateLimit::from_per_second(per_s));
    let notice = SentNotice { endpoints, notice, from: FROM, until: UNTIL };
    Scenario { fails_from: RUN_LENGTH, notice: Some(notice), ..BASE_SCENARIO }
}

/// A few endpoints that advertise a limit.
fn few_limited() -> Scenario {
    limited(ENDPOINTS, PER_S)
}

/// Largest number of sends in a window to one endpoint, from nodes that knew its limit.
fn most_in_a_window(sends: &[SendRecord], endpoint: usize) -> usize {
    let counts = |it: &&SendRecord| {
        let is_known = it.known_for.is_some_and(|it| it >= IN_PROGRESS);
        it.endpoint == endpoint && it.at >= FROM + PROPAGATION_TIME && is_known
    };
    let times: Vec<u64> = sends.iter().filter(counts).map(|it| it.at).collect();
    let in_window = |end: u64| times.iter().filter(|it| **it <= end && **it + WINDOW > end).count();
    times.iter().map(|end| in_window(*end)).max().unwrap_or(0)
}

#[track_caller]
fn check(per_s: f64, scenario: Scenario) {
    let allowed = per_s * 1.5 * WINDOW as f64 / 1e6 + SLACK;
    let endpoints = scenario.notice.map_or(0, |it| it.endpoints);
    for seed in 1..=4 {
        let mut fleet = Fleet::new(seed, scenario);
        fleet.run();
        for endpoint in 0..endpoints {
            let most = most_in_a_window(&fleet.sends, endpoint);
            assert!(most as f64 <= allowed, "seed {seed}: {most} sends, allowed {allowed}");
        }
    }
}

#[test]
fn no_rate_limit_is_exceeded_in_normal_operation() {
    for per_s in [0.0, 0.7, 2.0, 8.0] {
        check(per_s, limited(ENDPOINTS, per_s));
    }
}

#[test]
fn no_rate_limit_is_exceeded_while_another_node_takes_over() {
    for after in [1, 4, 8] {
        check(PER_S, Scenario { cut_off_at: Some(FROM + after * 1_000 * MS), ..few_limited() });
    }
}

#[test]
fn no_rate_limit_is_exceeded_while_asks_go_from_one_node_to_the_next() {
    check(PER_S, Scenario { late: 0.6, ..few_limited() });
}

#[test]
fn no_rate_limit_is_exceeded_while_frames_are_lost() {
    for lost in [0.05, 0.2, 0.4] {
        check(PER_S, Scenario { lost, ..few_limited() });
    }
}

#[test]
fn a_limited_endpoint_keeps_its_work_up_to_the_limit() {
    let mut fleet = Fleet::new(1, few_limited());
    fleet.run();
    let sends = fleet.sends.iter().filter(|it| it.at >= FROM + PROPAGATION_TIME).count() as f64;
    let allowed = PER_S * ENDPOINTS as f64 * (UNTIL - FROM - PROPAGATION_TIME) as f64 / 1e6;
    assert!(sends >= 0.9 * allowed, "{sends} of {allowed}");
}

#[test]
fn no_rate_limit_is_exceeded_while_all_endpoints_advertise_one() {
    check(PER_S, limited(BASE_SCENARIO.endpoints.into(), PER_S));
}
