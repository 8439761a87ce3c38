//! Placement by failure domain: which requests leave, where they go, and what callers get.

use std::thread;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use resources::{Bias, Service};

use super::domain_load::{Demand, Load, Mode, Play, Results};
use super::fixture::{BUDGET, SECOND, TERMS, ask, seen, service};
use crate::domains::{OnFailure, is_worth_leaving, pick_by_headroom};
use crate::{
    Ask, DispatchCounts, DispatchOptions, Dispatcher, DomainLoad, FarReason, Kind, NodeId, Reply,
    Reporter, Time, stable_hash,
};

/// Half of the requests must not be repeated, as bookings.
const LOAD: Load = Load { demand: Demand::Steady, factor: 1.0, repeatable: 0.5 };
const SEEDS: u64 = 4;

const BEFORE: Mode = Mode::OneForAll { near_first: false };
const NEAR_FIRST: Mode = Mode::OneForAll { near_first: true };
const BY_DOMAIN: Mode = Mode::ByDomain { knows_loads: true };

/// Results of two modes, as sums over a few seeds.
fn compare(load: Load, modes: [Mode; 2]) -> [Results; 2] {
    let play = |mode| {
        (1..=SEEDS).map(move |seed| thread::spawn(move || Play::new(load, mode, seed).run()))
    };
    let plays = modes.map(|it| play(it).collect::<Vec<_>>());
    plays.map(|plays| {
        let all = plays.into_iter().map(|it| it.join().expect("the play ends"));
        all.reduce(|a, b| a.plus(&b)).expect("there are seeds")
    })
}

/// A far send costs about a hundredth of the value of a request, so that each point of far sends
/// saved may cost a hundredth of a point of requests in time; the rest is the variation of the
/// seeds.
const MAX_LOSS_IN_TIME: f64 = 0.008;
/// Of 24,000 requests that must not be repeated 1.7 % fail, with a standard deviation of 0.1 % for
/// the difference of two plays.
const MAX_MORE_FAILED: f64 = 0.003;
/// A single second has some 400 requests a seed.
const MAX_LOSS_IN_WORST_SECOND: f64 = 0.05;

#[track_caller]
fn check(load: Load, mode: Mode, max_far: f64) {
    let [before, after] = compare(load, [BEFORE, mode]);
    let lines =
        format!("{load:?}, {mode:?}\n  before: {}\n  after:  {}", before.line(), after.line());
    eprintln!("{lines}");
    assert!(after.far_share() <= max_far, "{lines}");
    assert!(after.far_share() < before.far_share() / 2.0, "{lines}");
    let in_time = |it: &Results| it.share(it.in_time);
    assert!(in_time(&after) >= in_time(&before) - MAX_LOSS_IN_TIME, "{lines}");
    let failed = Results::unsafe_failed_share;
    assert!(failed(&after) <= failed(&before) + MAX_MORE_FAILED, "{lines}");
    assert!(after.worst_second() >= before.worst_second() - MAX_LOSS_IN_WORST_SECOND, "{lines}");
}

/// Guards against half of all work leaving its failure domain while near slots are free.
#[test]
fn with_room_near_few_requests_leave() {
    check(LOAD, NEAR_FIRST, 0.05);
}

/// Guards against a burst in one failure domain that is refused, or that all others pay for.
#[test]
fn only_the_rest_of_a_burst_leaves() {
    check(Load { demand: Demand::Burst(2.0), ..LOAD }, NEAR_FIRST, 0.15);
}

/// Guards against requests sent to and fro between failure domains with waves of demand.
#[test]
fn with_waves_of_demand_only_the_excess_leaves() {
    check(Load { demand: Demand::Waves, ..LOAD }, NEAR_FIRST, 0.15);
    check(Load { demand: Demand::Waves, factor: 1.4, ..LOAD }, NEAR_FIRST, 0.20);
}

/// Guards against failures of callers whose failure domain fails as a whole, and of those of the
/// others.
#[test]
fn a_failure_domain_that_fails_as_a_whole_is_left() {
    check(Load { demand: Demand::Outage, ..LOAD }, NEAR_FIRST, 0.20);
}

/// Guards against an exchange of requests between failure domains that are all overloaded.
#[test]
fn when_all_are_full_they_do_not_exchange_requests() {
    check(Load { factor: 1.6, ..LOAD }, NEAR_FIRST, 0.20);
}

/// Guards against far sends, losses and oscillation where each failure domain has its own dispatcher
/// and knows the loads of the others only with a delay.
#[test]
fn dispatchers_of_single_failure_domains_keep_requests_near() {
    check(LOAD, BY_DOMAIN, 0.05);
    check(Load { demand: Demand::Burst(2.0), ..LOAD }, BY_DOMAIN, 0.15);
    check(Load { demand: Demand::Waves, factor: 1.4, ..LOAD }, BY_DOMAIN, 0.20);
    check(Load { demand: Demand::Outage, ..LOAD }, BY_DOMAIN, 0.20);
    check(Load { factor: 1.6, ..LOAD }, BY_DOMAIN, 0.20);
}

/// Guards against requests that leave, or are lost, because nothing is known of the other failure
/// domains.
#[test]
fn without_loads_of_the_others_requests_stay_and_are_served() {
    let lost = Mode::ByDomain { knows_loads: false };
    let [before, after] = compare(LOAD, [BEFORE, lost]);
    let lines = format!("before: {}\n  after:  {}", before.line(), after.line());
    eprintln!("{lines}");
    assert_eq!(after.far, 0, "{lines}");
    assert!(after.share(after.in_time) >= before.share(before.in_time) - 0.02, "{lines}");
}

fn dispatcher(service: &Service) -> (Dispatcher, StdRng) {
    (Dispatcher::new(Time(0), service, &[TERMS], BUDGET), StdRng::seed_from_u64(1))
}

fn from(domain: &str, seq: u64) -> Ask {
    let failure_domain = stable_hash(domain.as_bytes());
    Ask { reporter: Reporter { node: NodeId(seq % 5), failure_domain }, ..ask(seq, true) }
}

fn domain_of(service: &Service, reply: &Reply) -> Option<String> {
    let Reply::Granted(grant) = reply else { return None };
    let it = service.endpoints.iter().find(|it| it.id == grant.endpoint)?;
    Some(it.failure_domain.to_string())
}

fn far(counts: DispatchCounts) -> [u32; 4] {
    FarReason::ALL.map(|it| counts.far.of(it))
}

/// Guards against far sends where a near slot is free within milliseconds, and against requests
/// that wait near although their objective does not allow it.
#[test]
fn a_request_waits_for_a_near_slot_and_leaves_when_the_wait_is_too_long() {
    let service = service(&[2, 2], 1, Bias::Balanced);
    let (mut it, mut rng) = dispatcher(&service);
    for seq in 0..6 {
        let reply = it.ask(Time(0), from("a", seq), &mut rng);
        assert_eq!(domain_of(&service, &reply).as_deref(), Some("a"));
    }
    // Each wait is a sixth of the mean hold time of 100 ms for each request ahead.
    assert_eq!(it.ask(Time(0), from("a", 6), &mut rng), Reply::Queued);
    let objective = Duration::from_millis(100);
    let hasty = Ask { objective, ..from("a", 7) };
    let reply = it.ask(Time(0), hasty, &mut rng);
    assert_eq!(domain_of(&service, &reply).as_deref(), Some("b"));
    let replies = it.release(Time(1), from("a", 0).id, Kind::Answered, SECOND / 100, &mut rng);
    assert_eq!(replies.len(), 1);
    assert_eq!(domain_of(&service, &replies[0].reply).as_deref(), Some("a"));
    let counts = it.take_counts();
    assert_eq!((counts.near, far(counts)), (7, [0, 1, 0, 0]));
}

/// With the setting off, a request takes a free far slot at once, as before.
#[test]
fn without_near_first_a_request_takes_a_far_slot_at_once() {
    let service = service(&[2, 2], 1, Bias::Balanced);
    let (mut it, mut rng) = dispatcher(&service);
    it.set_options(DispatchOptions::default().near_first(false));
    let replies: Vec<_> = (0..7).map(|seq| it.ask(Time(0), from("a", seq), &mut rng)).collect();
    let n = replies.iter().filter(|it| domain_of(&service, it).as_deref() == Some("b")).count();
    assert!(n > 0);
}

/// Guards against last sends that go to a doubtful endpoint near, and against far sends for health
/// where a better near slot may come free in time or where a send loses little.
#[test]
fn a_send_leaves_for_health_if_it_loses_much_near_and_cannot_wait() {
    let service = service(&[1, 1], 1, Bias::Balanced);
    let (mut it, mut rng) = dispatcher(&service);
    let now = Time(0) + SECOND;
    let (near, other) = (&service.endpoints[0], &service.endpoints[1]);
    let answered = seen(1, Kind::Answered, SECOND / 100);
    (0..2).for_each(|_| it.observe(now, &near.id, answered));
    (0..8).for_each(|_| it.observe(now, &other.id, answered));
    // Both have had a request, so that neither is due for its first one.
    for (seq, domain) in [(1, "a"), (2, "b")] {
        it.ask(now, from(domain, seq), &mut rng);
        it.cancel(now, from(domain, seq).id, &mut rng);
    }
    it.observe(now, &near.id, seen(1, Kind::Failed, SECOND / 100));
    it.take_counts();
    let mut placed = |ask: Ask| {
        let id = ask.id;
        let reply = it.ask(now, ask, &mut rng);
        it.cancel(now, id, &mut rng);
        (domain_of(&service, &reply), far(it.take_counts()))
    };
    let unsafe_ask = |seq| Ask { repeatable: false, is_last: true, ..from("a", seq) };
    assert_eq!(placed(unsafe_ask(3)), (Some("b".into()), [0, 0, 1, 0]), "no slot comes free near");
    // An objective that allows no wait for a better slot near.
    let objective = SECOND / 10;
    let hasty = Ask { objective, ..unsafe_ask(4) };
    assert_eq!(placed(hasty), (Some("b".into()), [0, 0, 1, 0]));
    // Nobody is near.
    assert_eq!(placed(from("z", 5)).1, [1, 0, 0, 0]);
    // A send that another one can follow loses a tenth of what the last one loses.
    assert!(is_worth_leaving(0.09, 0.0, OnFailure::Lost));
    assert!(!is_worth_leaving(0.09, 0.0, OnFailure::Repeated));
    assert!(!is_worth_leaving(0.009, 0.0, OnFailure::Lost));
}

/// Guards against all requests that leave going to one failure domain, and against a loss of
/// requests by headrooms that are no numbers.
#[test]
fn requests_that_leave_are_shared_by_headroom() {
    let picks = |headrooms: [f64; 3]| {
        let mut counts = [0; 3];
        for i in 0..1_000u32 {
            // The middle of each thousandth of the range.
            let random = i * (u32::MAX / 1_000) + u32::MAX / 2_000;
            counts[pick_by_headroom(headrooms.iter().copied(), random)] += 1;
        }
        counts
    };
    assert_eq!(picks([10.0, 30.0, 60.0]), [100, 300, 600]);
    assert_eq!(picks([f64::NAN, -1.0, 5.0]), [0, 0, 1_000]);
    assert_eq!(picks([0.0; 3])[1..], [0, 0]);
}

/// Guards against a returned request that its failure domain refuses, because the late copies of its
/// first ask were withdrawn there.
#[test]
fn a_redirected_request_that_was_withdrawn_may_return_once() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut it = Dispatcher::new(Time(0), &service(&[1], 1, Bias::Speed), &[TERMS], BUDGET);
    let other =
        DomainLoad { failure_domain: stable_hash(b"b"), usable: 10.0, ..DomainLoad::default() };
    it.set_remote_loads(Time(0), &[other]);
    let slots = (0..).take_while(|seq| {
        matches!(it.ask(Time(0), ask(100 + seq, false), &mut rng), Reply::Granted(_))
    });
    let slots: Vec<u64> = slots.collect();
    // No wait fits this objective, so the request leaves while another failure domain has room.
    let leaving = || Ask { objective: Duration::ZERO, ..ask(1, true) };
    let id = leaving().id;
    let redirected = it.ask_redirecting(Time(1), leaving(), &mut rng);
    assert!(matches!(redirected, Reply::Elsewhere { .. }), "{redirected:?}");
    it.cancel(Time(2), id, &mut rng);
    it.cancel(Time(3), ask(100 + slots[0], false).id, &mut rng);
    let returned = it.ask(Time(4), leaving(), &mut rng);
    assert!(matches!(returned, Reply::Granted(_)), "{returned:?}");
    it.cancel(Time(5), id, &mut rng);
    assert_eq!(it.ask(Time(6), leaving(), &mut rng), Reply::Full, "a late copy");
}
