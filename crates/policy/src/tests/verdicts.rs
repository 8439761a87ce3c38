//! How the outlier detector reacts to faults of endpoints, paths and reporters.

use std::time::Duration;

use expect_test::{Expect, expect};
use resources::Bias;

use super::fixture::{Bench, Health, reporter, service};

const MS: Duration = Duration::from_millis(1);
/// About ten seconds of traffic, which establish the baseline.
const WARM_UP: usize = 10_000;

fn bench(bias: Bias) -> Bench {
    let mut bench = Bench::new(&service(&[5, 5, 5], 9, bias));
    bench.run(WARM_UP, MS);
    assert_eq!(bench.ejections(), 0);
    bench
}

/// Number of requests at the unhealthy endpoint until its ejection.
fn requests_until_ejected(bias: Bias, health: Health) -> usize {
    let mut bench = bench(bias);
    let since = bench.now;
    for n in 1..100_000 {
        bench.now = since + MS * n;
        bench.detector.tick(bench.now);
        bench.report(0, reporter(n.into()), health);
        // The siblings continue to work.
        bench.step(Duration::ZERO);
        if bench.states()[0] == "ejected" {
            return n as usize;
        }
    }
    usize::MAX
}

fn check(bias: Bias, health: Health, expect: Expect) {
    expect.assert_eq(&requests_until_ejected(bias, health).to_string());
}

#[test]
fn each_fault_is_found_after_few_requests() {
    check(Bias::Speed, Health::Stalls(1.0), expect!["3"]);
    check(Bias::Caution, Health::Stalls(1.0), expect!["4"]);
    check(Bias::Speed, Health::Stalls(0.3), expect!["6"]);
    check(Bias::Speed, Health::Fails(0.3), expect!["9"]);
    check(Bias::Speed, Health::Slow(5.0), expect!["10"]);
    check(Bias::Caution, Health::Slow(5.0), expect!["31"]);
}

/// The number of requests can be raised to find rarer false alarms.
fn healthy_requests() -> usize {
    let text = std::env::var("DAPPLEWAY_HEALTHY_REQUESTS").ok();
    text.and_then(|it| it.parse().ok()).unwrap_or(1_000_000)
}

#[test]
fn nobody_is_ejected_while_all_are_healthy() {
    for (bias, heavy_tail) in [(Bias::Speed, false), (Bias::Speed, true), (Bias::Caution, true)] {
        let mut bench = Bench::new(&service(&[5, 5, 5], 9, bias));
        bench.heavy_tail = heavy_tail;
        bench.run(healthy_requests(), MS);
        assert_eq!(bench.ejections(), 0, "{bias:?}, heavy tail: {heavy_tail}");
    }
}

#[test]
fn a_fault_that_all_share_ejects_nobody() {
    for health in [Health::Stalls(1.0), Health::Fails(0.5), Health::Slow(10.0)] {
        let mut bench = bench(Bias::Speed);
        bench.health.fill(health);
        bench.run(5_000, MS);
        assert_eq!(bench.ejections(), 0, "{health:?}");
    }
}

#[test]
fn a_path_fault_of_one_node_ejects_nobody() {
    let mut bench = bench(Bias::Speed);
    for _ in 0..500 {
        bench.report(0, reporter(50), Health::Stalls(1.0));
        bench.report(0, reporter(51), Health::Healthy);
        bench.run(5, MS);
    }
    assert_eq!(bench.ejections(), 0);
    assert!(bench.detector.avoids(bench.now, 0, reporter(50)));
    assert!(!bench.detector.avoids(bench.now, 0, reporter(51)));
    assert!(bench.detector.path_faults > 0);
}

#[test]
fn a_path_fault_of_one_failure_domain_ejects_nobody() {
    let mut bench = bench(Bias::Speed);
    for i in 0..500 {
        // Nodes 30, 33, 36, … are in the failure domain with the hash 0.
        bench.report(0, reporter(30 + 3 * (i % 5)), Health::Stalls(1.0));
        bench.report(0, reporter(31), Health::Healthy);
        bench.run(5, MS);
    }
    assert_eq!(bench.ejections(), 0);
    assert!(bench.detector.avoids(bench.now, 0, reporter(99)), "failure domain 0 avoids it");
    assert!(!bench.detector.avoids(bench.now, 0, reporter(100)), "failure domain 1 does not");
}

#[test]
fn a_node_that_fails_everywhere_is_itself_at_fault() {
    let mut bench = bench(Bias::Speed);
    for i in 0..600 {
        bench.report(i % 15, reporter(50), Health::Fails(1.0));
        bench.run(1, MS);
    }
    assert_eq!(bench.ejections(), 0);
    assert!(bench.detector.reporter_faults > 0);
}

#[test]
fn an_endpoint_returns_through_trial_and_ramp() {
    let mut bench = bench(Bias::Speed);
    bench.health[0] = Health::Stalls(1.0);
    bench.run(300, MS);
    assert_eq!(bench.states()[0], "ejected");
    bench.health[0] = Health::Healthy;
    bench.run(1_000, MS);
    let mut seen = vec![bench.states()[0]];
    for _ in 0..10_000 {
        bench.step(MS);
        let state = bench.states()[0];
        if seen.last() != Some(&state) {
            seen.push(state);
        }
    }
    let from_trial = seen.iter().position(|it| *it == "trial").unwrap();
    assert_eq!(&seen[from_trial..], ["trial", "ramping", "healthy"]);
}

#[test]
fn an_endpoint_that_flaps_is_tried_again_after_the_same_time() {
    let mut bench = bench(Bias::Speed);
    let mut ejected_for = Vec::new();
    for _ in 0..3 {
        bench.health[0] = Health::Stalls(1.0);
        while bench.states()[0] != "ejected" {
            bench.step(MS);
        }
        let since = bench.now;
        bench.health[0] = Health::Healthy;
        while bench.states()[0] == "ejected" {
            bench.step(MS);
        }
        ejected_for.push(bench.now.since(since).as_secs());
        bench.run(20_000, MS);
        assert_eq!(bench.states()[0], "healthy");
    }
    assert_eq!(ejected_for, [2, 2, 2]);
}

/// Guards against counting the stalls of the first unhealthy endpoint as normal. Three stalls, the
/// most that an endpoint with three slots can show, were then not enough to detect the next one.
#[test]
fn the_next_unhealthy_endpoint_is_found_as_fast_as_the_first() {
    // Few outcomes, so that a few stalls among them have a large share.
    let mut bench = Bench::new(&service(&[5, 5, 5], 9, Bias::Speed));
    bench.run(1_500, MS);
    for unhealthy in [0, 5, 10] {
        let before = bench.now;
        for n in 1..=3 {
            bench.report(unhealthy, reporter(n), Health::Stalls(1.0));
        }
        assert_eq!(bench.states()[unhealthy], "ejected", "endpoint {unhealthy} after {before:?}");
        bench.run(300, MS);
    }
}

#[test]
fn a_trial_that_fails_ends_at_once() {
    let mut bench = bench(Bias::Speed);
    bench.health[0] = Health::Stalls(1.0);
    bench.run(12_000, MS);
    let changes = bench.detector.rotation.take_changes();
    let on_trial: Vec<_> = changes.iter().filter(|it| it.from.name() == "trial").collect();
    assert!(!on_trial.is_empty());
    assert!(on_trial.iter().all(|it| it.to.name() == "ejected"), "{on_trial:?}");
}

#[test]
fn evidence_from_before_a_pause_is_dropped() {
    let mut bench = bench(Bias::Speed);
    (0..2).for_each(|_| bench.report(0, reporter(1), Health::Stalls(1.0)));
    assert!(bench.detector.score(0) > 0.0);
    bench.detector.discard_evidence();
    assert_eq!(bench.detector.score(0), 0.0);
}
