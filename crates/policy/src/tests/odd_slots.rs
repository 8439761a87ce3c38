//! Endpoints that claim more slots than an endpoint can have.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use resources::{Bias, Service};

use super::fixture::{BUDGET, SECOND, TERMS, ask, service};
use crate::{Ask, Dispatcher, Kind, Reply, Time};

/// A service whose first endpoint claims this many slots; the others have three.
fn service_with(slots: u32) -> Service {
    let mut service = service(&[2, 2, 2], 3, Bias::Balanced);
    service.connections = 20;
    service.endpoints[0].slots = slots;
    service
}

/// Guards against sums over slots that overflow, and capacity that does not exist.
#[test]
fn an_endpoint_counts_with_no_more_slots_than_connections() {
    for slots in [21, 65_535, u32::MAX] {
        let mut service = service_with(slots);
        service.endpoints[1].slots = slots;
        let mut rng = StdRng::seed_from_u64(1);
        let mut dispatcher = Dispatcher::new(Time(0), &service, &[TERMS], BUDGET);
        let granted = (0..200)
            .map(|seq| dispatcher.ask(Time(0), ask(seq, false), &mut rng))
            .filter(|it| matches!(it, Reply::Granted(_)))
            .count();
        assert_eq!(granted, 2 * 20 + 4 * 3, "{slots}");
    }
}

/// Guards against a claim of slots that draws the requests of the other endpoints.
#[test]
fn an_endpoint_gets_no_greater_share_for_its_claim_of_slots_while_others_are_free() {
    let service = service_with(u32::MAX);
    let mut rng = StdRng::seed_from_u64(1);
    let mut dispatcher = Dispatcher::new(Time(0), &service, &[TERMS], BUDGET);
    let (mut now, mut at_odd) = (Time(0), 0);
    for seq in 0..3_000 {
        now = now + Duration::from_millis(10);
        let ask = Ask { objective: SECOND, ..ask(seq, true) };
        let id = ask.id;
        let Reply::Granted(grant) = dispatcher.ask(now, ask, &mut rng) else {
            panic!("slots are free")
        };
        at_odd += u32::from(grant.endpoint == service.endpoints[0].id);
        now = now + Duration::from_millis(10);
        dispatcher.release(now, id, Kind::Answered, Duration::from_millis(10), &mut rng);
    }
    assert!(at_odd < 1_000, "{at_odd} of 3000 went to one of six endpoints");
}
