//! Services with many more endpoints than requests.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use resources::{Bias, Service};

use super::fixture::{BUDGET, SECOND, TERMS, ask, service};
use super::idle::{Load, Simulation};
use crate::{Ask, Dispatcher, Kind, Reply, Time};

const WORK: Duration = Duration::from_millis(230);

/// A thousand bookings a second, whatever the number of endpoints.
fn thousand_a_second(endpoints: usize) -> Simulation {
    let use_of_slots = 1_000.0 * WORK.as_secs_f64() / (3 * endpoints) as f64;
    Simulation::new(Load::bookings(endpoints, use_of_slots, 8)).play()
}

/// Three endpoints of ten fail three quarters of their requests. Spread over all 3,600 endpoints,
/// which is one request in 3.6 s for each, 22 % of the bookings were lost. The very first bookings
/// are placed without evidence in any case.
#[test]
fn evidence_does_not_thin_out_as_a_service_grows() {
    for (endpoints, most) in [(3_600, 0.04), (13_000, 0.04)] {
        let simulation = thousand_a_second(endpoints);
        let lost = simulation.unserved(Time(0) + SECOND);
        assert!(lost < most, "{endpoints} endpoints: {lost:.4} lost");
        assert!(
            simulation.reached() < endpoints / 2,
            "{} of {endpoints} used",
            simulation.reached()
        );
    }
}

#[test]
fn the_endpoints_evaluated_for_a_request_do_not_grow_with_the_service() {
    let evaluated = |endpoints| thousand_a_second(endpoints).endpoints_evaluated / 8_000;
    let (some, many) = (evaluated(3_600), evaluated(13_000));
    assert!(some < 400 && many < some * 3, "{some} evaluated for a request, then {many}");
}

/// Sends `per_s` requests a second from `from` on, answered after `WORK`; returns the endpoints
/// that got them.
fn send(
    it: &mut Dispatcher,
    rng: &mut StdRng,
    from: Time,
    per_s: u64,
    seconds: u64,
) -> Vec<String> {
    let mut got = Vec::new();
    let every = SECOND / per_s as u32;
    let mut open = std::collections::VecDeque::new();
    for n in 0..per_s * seconds {
        let now = from + every * n as u32;
        while open.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, id)) = open.pop_front() else { break };
            it.release(now, id, Kind::Answered, WORK, rng);
        }
        if n % (per_s / 10).max(1) == 0 {
            it.tick(now, rng);
        }
        let ask = Ask { repeatable: false, is_last: true, ..ask(from.0 + n, true) };
        let id = ask.id;
        if let Reply::Granted(grant) = it.ask(now, ask, rng) {
            got.push(grant.endpoint.to_string());
            open.push_back((now + WORK, id));
        }
    }
    for (at, id) in open {
        it.release(at, id, Kind::Answered, WORK, rng);
    }
    got
}

fn distinct(got: &[String]) -> usize {
    got.iter().collect::<std::collections::BTreeSet<_>>().len()
}

fn dispatcher(service: &Service) -> (Dispatcher, StdRng) {
    (Dispatcher::new(Time(0), service, &[TERMS], BUDGET), StdRng::seed_from_u64(1))
}

/// The floor requires work at most endpoints in two seconds, and this many requests can reach them.
#[test]
fn work_that_can_reach_all_endpoints_is_spread_over_all() {
    let service = service(&[25, 25, 25, 25], 70, Bias::Balanced);
    let (mut it, mut rng) = dispatcher(&service);
    assert_eq!(distinct(&send(&mut it, &mut rng, Time(0), 100, 4)), 100);
    // A tenth of these requests cannot.
    let later = Time(0) + SECOND * 10;
    send(&mut it, &mut rng, later, 10, 6);
    let few = send(&mut it, &mut rng, later + SECOND * 6, 10, 4);
    assert!(distinct(&few) < 20, "{}", distinct(&few));
    // With more requests, work is spread evenly again.
    let again = later + SECOND * 20;
    send(&mut it, &mut rng, again, 100, 4);
    assert_eq!(distinct(&send(&mut it, &mut rng, again + SECOND * 4, 100, 4)), 100);
}

/// Endpoints that join and get no work are wasted capacity, but work on endpoints without evidence
/// may be lost.
#[test]
fn endpoints_that_join_get_work_within_seconds_and_not_all_at_once() {
    let full = service(&[400, 400, 400, 400], 1_120, Bias::Balanced);
    let mut before = full.clone();
    before.endpoints.retain(|it| !it.addr.port().is_multiple_of(4));
    let joined: Vec<String> = full
        .endpoints
        .iter()
        .filter(|it| !before.endpoints.contains(it))
        .map(|it| it.id.to_string())
        .collect();
    let (mut it, mut rng) = dispatcher(&before);
    send(&mut it, &mut rng, Time(0), 200, 4);
    let at = Time(0) + SECOND * 4;
    it.reconfigure(at, &full, &[TERMS]);
    let got = send(&mut it, &mut rng, at, 200, 8);
    let first_second = got[..200].iter().filter(|it| joined.contains(it)).count();
    assert!(first_second < 130, "{first_second} of 200 went to recently joined endpoints");
    let without = joined.iter().filter(|it| !got.contains(it)).count();
    assert_eq!(without, 0, "of {}", joined.len());
}
