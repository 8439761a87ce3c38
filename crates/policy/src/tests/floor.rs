//! The floor of a rotation under random events.

use std::time::Duration;

use proptest::prelude::*;
use resources::Bias;

use super::fixture::service;
use crate::rotation::{FLOOR_SETTLE_TIME, Rotation, State, domain_floors};
use crate::{Change, Time};

/// An event in a rotation.
#[derive(Clone, Debug)]
enum Event {
    Good(usize),
    Unhealthy(usize),
    Leave(usize),
    Wait(u64),
    /// A new configuration with other sizes and another floor.
    Reconfigure(Vec<usize>, usize),
}

fn sizes() -> impl Strategy<Value = Vec<usize>> {
    prop::collection::vec(1..6_usize, 1..4)
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (0..18_usize).prop_map(Event::Good),
        8 => (0..18_usize).prop_map(Event::Unhealthy),
        1 => (0..18_usize).prop_map(Event::Leave),
        3 => (1..12_000_u64).prop_map(Event::Wait),
        1 => (sizes(), 0..18_usize).prop_map(|(sizes, floor)| Event::Reconfigure(sizes, floor)),
    ]
}

struct Driver {
    rotation: Rotation,
    now: Time,
}

impl Driver {
    fn new(sizes: &[usize], floor: usize) -> Self {
        let service = service(sizes, floor, Bias::Speed);
        Self { rotation: Rotation::new(Time(0), &service), now: Time(0) }
    }

    fn apply(&mut self, event: &Event) -> Vec<Change> {
        let n = self.rotation.endpoints().len();
        let now = self.now;
        match event {
            Event::Good(i) if self.rotation.endpoints()[i % n].state != State::Leaving => {
                self.rotation.record_good(now, i % n);
                self.rotation.clear_suspicion(now, i % n);
            }
            Event::Good(_) => {}
            Event::Unhealthy(i) => self.rotation.eject(now, i % n, "test"),
            Event::Leave(i) => self.rotation.mark_leaving(now, i % n),
            Event::Wait(ms) => self.now = now + Duration::from_millis(*ms),
            Event::Reconfigure(sizes, floor) => {
                self.rotation.reconfigure(now, &service(sizes, *floor, Bias::Speed));
            }
        }
        self.rotation.tick(self.now);
        self.rotation.take_changes()
    }

    fn domains(&self) -> Vec<String> {
        let mut names: Vec<String> =
            self.rotation.endpoints().iter().map(|it| it.failure_domain.to_string()).collect();
        names.dedup();
        names
    }

    fn count(&self, domain: &str, is: impl Fn(State) -> bool) -> usize {
        let own = self.rotation.endpoints().iter().filter(|it| it.failure_domain == domain);
        own.filter(|it| is(it.state)).count()
    }

    /// No ejection leaves fewer endpoints in rotation than the floor; departures are not ejections.
    fn check_floor(&self) -> Result<(), TestCaseError> {
        for domain in self.domains() {
            let floor = self.rotation.floor_of(self.now, &domain);
            let all = self.count(&domain, |_| true);
            let leaving = self.count(&domain, |it| it == State::Leaving);
            let in_rotation = self.count(&domain, State::in_rotation);
            prop_assert!(
                in_rotation >= floor.min(all - leaving),
                "{domain}: {in_rotation} of {all} in rotation, {leaving} leaving, floor {floor}"
            );
        }
        Ok(())
    }

    /// At an ejection the remaining endpoints meet the floor with recent good answers.
    fn check_recent_health(&self, changes: &[Change]) -> Result<(), TestCaseError> {
        let is_new_ejection = |it: &&Change| {
            matches!(it.to, State::Ejected { .. }) && !matches!(it.from, State::Trial { .. })
        };
        for it in changes.iter().filter(is_new_ejection) {
            let Some(i) = self.rotation.position(&it.id) else { continue };
            let domain = &self.rotation.endpoints()[i].failure_domain;
            let own = self.rotation.endpoints().iter().filter(|it| it.failure_domain == *domain);
            let healthy = own.filter(|it| it.is_recently_healthy(self.now)).count();
            prop_assert!(healthy >= self.rotation.floor_of(self.now, domain));
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    #[test]
    fn ejections_never_go_below_the_floor(
        sizes in sizes(),
        floor in 0..18_usize,
        events in prop::collection::vec(event(), 1..120),
    ) {
        let mut driver = Driver::new(&sizes, floor);
        for event in &events {
            let changes = driver.apply(event);
            driver.check_floor()?;
            driver.check_recent_health(&changes)?;
        }
    }

    /// Detectors with different views: whichever of them a node follows in each failure domain, the
    /// endpoints in rotation meet the service's floor.
    #[test]
    fn detectors_that_disagree_keep_the_floor_together(
        sizes in sizes(),
        floor in 0..18_usize,
        views in prop::collection::vec(prop::collection::vec(event(), 1..60), 3),
        choice in prop::collection::vec(0..3_usize, 3),
    ) {
        let is_steady = |it: &&Event| !matches!(it, Event::Leave(_) | Event::Reconfigure(..));
        let drivers: Vec<Driver> = views.iter().map(|events| {
            let mut driver = Driver::new(&sizes, floor);
            for it in events.iter().filter(is_steady) {
                driver.apply(it);
            }
            driver
        }).collect();
        let domains = drivers[0].domains();
        let in_rotation: usize = domains.iter().zip(choice.iter().cycle())
            .map(|(domain, detector)| drivers[*detector].count(domain, State::in_rotation))
            .sum();
        let total: usize = sizes.iter().sum();
        prop_assert!(in_rotation >= floor.min(total));
    }

    #[test]
    fn the_floors_of_the_domains_add_up_to_the_floor(sizes in sizes(), floor in 0..18_usize) {
        let service = service(&sizes, floor, Bias::Speed);
        let floors = domain_floors(&service);
        let sum: usize = floors.iter().map(|(_, it)| it).sum();
        prop_assert_eq!(sum, service.floor.endpoints(service.endpoints.len()));
        for ((_, floor), size) in floors.iter().zip(&sizes) {
            prop_assert!(floor <= size);
        }
    }
}

#[test]
fn an_unhealthy_endpoint_that_the_floor_keeps_is_used_last() {
    let mut driver = Driver::new(&[2], 2);
    driver.apply(&Event::Good(0));
    driver.apply(&Event::Good(1));
    driver.apply(&Event::Unhealthy(0));
    assert_eq!(driver.rotation.endpoints()[0].state, State::Suspect);
}

#[test]
fn a_raised_floor_brings_endpoints_back() {
    let mut driver = Driver::new(&[3], 1);
    (0..3).for_each(|i| drop(driver.apply(&Event::Good(i))));
    driver.apply(&Event::Unhealthy(0));
    assert_eq!(driver.rotation.endpoints()[0].state.name(), "ejected");
    driver.apply(&Event::Reconfigure(vec![3], 3));
    assert_eq!(driver.rotation.endpoints()[0].state, State::Suspect);
}

#[test]
fn a_lowered_floor_counts_only_after_the_fleet_has_settled() {
    let mut driver = Driver::new(&[3], 3);
    (0..3).for_each(|i| drop(driver.apply(&Event::Good(i))));
    driver.apply(&Event::Reconfigure(vec![3], 1));
    assert_eq!(driver.rotation.floor_of(driver.now, "a"), 3);
    driver.now = driver.now + FLOOR_SETTLE_TIME;
    assert_eq!(driver.rotation.floor_of(driver.now, "a"), 1);
}

#[test]
fn an_old_good_answer_does_not_count() {
    let mut driver = Driver::new(&[3], 2);
    (0..3).for_each(|i| drop(driver.apply(&Event::Good(i))));
    driver.apply(&Event::Wait(11_000));
    driver.apply(&Event::Unhealthy(0));
    assert_eq!(driver.rotation.endpoints()[0].state, State::Suspect);
}
