//! A restarted endpoint keeps its identity, but nothing known about its previous incarnation.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use resources::{Bias, Service, Standing};

use super::fixture::{BUDGET, SECOND, TERMS, ask, seen, service};
use crate::{Dispatcher, Kind, Reply, State, Time};

const SOON: Duration = Duration::from_millis(5);

/// The service after its first endpoint has restarted.
fn after_a_restart(service: &Service) -> Service {
    let mut it = service.clone();
    it.endpoints[0].started_ms += 1_000;
    it
}

fn dispatcher(service: &Service) -> (Dispatcher, StdRng) {
    (Dispatcher::new(Time(0), service, &[TERMS], BUDGET), StdRng::seed_from_u64(1))
}

fn fail(it: &mut Dispatcher, now: Time, service: &Service, elapsed: Duration) {
    (0..3).for_each(|_| it.observe(now, &service.endpoints[0].id, seen(1, Kind::Failed, elapsed)));
}

#[test]
fn beliefs_about_the_previous_incarnation_are_dropped() {
    let service = service(&[2], 1, Bias::Balanced);
    let (mut it, _) = dispatcher(&service);
    fail(&mut it, Time(0), &service, SOON);
    assert_eq!(it.last_resort_endpoints(Time(0) + SOON).count(), 1);
    it.reconfigure(Time(0) + SOON, &after_a_restart(&service), &[TERMS]);
    assert_eq!(it.last_resort_endpoints(Time(0) + SOON).count(), 0);
    let report = it.evidence_of(Time(0) + SOON, 0);
    assert_eq!((report.score, report.since_failure), (0.0, None));
    assert!(matches!(it.endpoints()[0].state, State::Ramping { .. }), "it is cold");
}

#[test]
fn the_same_incarnation_under_a_new_entry_keeps_its_evidence() {
    let service = service(&[2], 1, Bias::Balanced);
    let (mut it, _) = dispatcher(&service);
    fail(&mut it, Time(0), &service, SOON);
    let mut warm = service.clone();
    warm.endpoints[0].warm_up_ms = 7;
    it.reconfigure(Time(0) + SOON, &warm, &[TERMS]);
    assert_eq!(it.last_resort_endpoints(Time(0) + SOON).count(), 1);
}

#[test]
fn an_endpoint_that_was_leaving_takes_work_in_its_next_incarnation() {
    let mut service = service(&[1], 1, Bias::Balanced);
    service.endpoints[0].standing = Standing::Leaving;
    let (mut it, mut rng) = dispatcher(&service);
    assert!(!matches!(it.ask(Time(0), ask(0, true), &mut rng), Reply::Granted(_)));
    let mut restarted = after_a_restart(&service);
    restarted.endpoints[0].standing = Standing::Present;
    it.reconfigure(Time(0) + SECOND, &restarted, &[TERMS]);
    assert!(matches!(it.ask(Time(0) + SECOND, ask(1, true), &mut rng), Reply::Granted(_)));
}

#[test]
fn outcomes_of_the_previous_incarnation_are_no_evidence_about_the_next_one() {
    let service = service(&[1], 1, Bias::Balanced);
    let (mut it, mut rng) = dispatcher(&service);
    assert!(matches!(it.ask(Time(0), ask(0, true), &mut rng), Reply::Granted(_)));
    let now = Time(0) + SECOND;
    it.reconfigure(now, &after_a_restart(&service), &[TERMS]);
    assert_eq!(it.evidence_of(now, 0).in_use, 0, "the slots are free again");
    // The request that was open fails, whether this or another dispatcher granted its slot.
    it.release(now + SOON, ask(0, true).id, Kind::Failed, SECOND, &mut rng);
    fail(&mut it, now + SOON, &service, SECOND);
    assert_eq!(it.evidence_of(now + SOON, 0).since_failure, None);
    fail(&mut it, now + SECOND, &service, SOON);
    assert!(
        it.evidence_of(now + SECOND, 0).since_failure.is_some(),
        "failures of the new incarnation count"
    );
}
