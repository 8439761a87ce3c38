//! Which endpoint a request gets, and how failures affect the choice.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use resources::Bias;

use super::fixture::{BUDGET, SECOND, TERMS, ask, fill, seen, service};
use crate::{
    Ask, BudgetLimits, Dispatcher, Grant, Kind, NodeId, Reply, Reporter, SendKind, State, Tier,
    Time, stable_hash,
};

/// Failure domain of a granted endpoint. The fixture derives ports from failure domains.
fn domain_of(reply: &Reply) -> &'static str {
    match reply {
        Reply::Granted(grant) if grant.addr.port() < 1_100 => "a",
        Reply::Granted(_) => "b",
        _ => "none",
    }
}

#[test]
fn long_answers_stay_in_their_failure_domain_while_they_can_wait() {
    let mut rng = StdRng::seed_from_u64(1);
    let service = service(&[2, 2], 2, Bias::Speed);
    let mut dispatcher = Dispatcher::new(Time(0), &service, &[TERMS], BUDGET);
    let near = Reporter { node: NodeId(1), failure_domain: stable_hash(b"b") };
    let mut domains = |seqs: std::ops::Range<u64>, objective| -> Vec<_> {
        seqs.map(|seq| Ask { long_answer: true, reporter: near, objective, ..ask(seq, true) })
            .map(|ask| domain_of(&dispatcher.ask(Time(0), ask, &mut rng)))
            .collect()
    };
    assert_eq!(domains(0..6, SECOND), ["b"; 6]);
    assert_eq!(domains(6..8, Duration::ZERO), ["a"; 2]);
    assert_eq!(domains(8..9, SECOND), ["none"], "it waits");
}

#[test]
fn one_failure_makes_an_endpoint_the_last_choice_and_not_less_capacity() {
    let mut rng = StdRng::seed_from_u64(1);
    let service = service(&[2], 1, Bias::Speed);
    let mut dispatcher = Dispatcher::new(Time(0), &service, &[TERMS], BUDGET);
    let Reply::Granted(bad) = dispatcher.ask(Time(0), ask(0, true), &mut rng) else { panic!() };
    let ms = Duration::from_millis(5);
    dispatcher.release(Time(0), ask(0, true).id, Kind::Failed, ms, &mut rng);
    let mut at_bad = |seqs: std::ops::Range<u64>, objective| -> Vec<bool> {
        seqs.map(|seq| dispatcher.ask(Time(1), Ask { objective, ..ask(seq, true) }, &mut rng))
            .map(|it| matches!(it, Reply::Granted(grant) if grant.addr == bad.addr))
            .collect()
    };
    // The slots of the other endpoint are taken first, then requests that cannot wait use this one.
    assert_eq!(at_bad(1..4, SECOND), [false; 3]);
    assert_eq!(at_bad(4..7, Duration::ZERO), [true; 3]);
    let later = Time(0) + SECOND * 8;
    assert_eq!(dispatcher.last_resort_endpoints(Time(1)).collect::<Vec<_>>(), [bad.addr]);
    assert_eq!(dispatcher.last_resort_endpoints(later).count(), 0);
}

#[test]
fn repeats_end_with_the_budget_and_first_sends_do_not() {
    let mut rng = StdRng::seed_from_u64(1);
    let service = service(&[2, 2], 2, Bias::Speed);
    let budget = BudgetLimits { ratio: 0.0, extra: 8.0, ..BUDGET };
    let mut dispatcher = Dispatcher::new(Time(0), &service, &[TERMS], budget);
    assert!(matches!(dispatcher.ask(Time(0), ask(8, true), &mut rng), Reply::Granted(_)));
    // The fixed share of the budget accrues from the first ask on.
    let now = Time(0) + SECOND * 9;
    let replies: Vec<_> = (0..5)
        .map(|seq| Ask { send: SendKind::Further, ..ask(seq, true) })
        .map(|ask| matches!(dispatcher.ask(now, ask, &mut rng), Reply::Granted(_)))
        .collect();
    assert_eq!(replies, [true, true, false, false, false]);
    assert!(matches!(dispatcher.ask(now, ask(9, true), &mut rng), Reply::Granted(_)));
}

#[test]
fn an_endpoint_that_one_node_cannot_reach_is_used_last_for_that_node_only() {
    let mut rng = StdRng::seed_from_u64(1);
    let service = service(&[2], 1, Bias::Speed);
    let mut dispatcher = Dispatcher::new(Time(0), &service, &[TERMS], BUDGET);
    let addr = dispatcher.endpoints()[0].addr;
    let cut_off = Ask { avoid: vec![addr], ..ask(0, true) };
    let Reply::Granted(other) = dispatcher.ask(Time(0), cut_off, &mut rng) else { panic!() };
    assert_ne!(other.addr, addr);
    assert_eq!(dispatcher.last_resort_endpoints(Time(0)).count(), 0);
}

#[test]
fn a_change_of_the_endpoints_keeps_what_is_known_of_those_that_stay() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut it = service(&[3], 1, Bias::Speed);
    let mut dispatcher = Dispatcher::new(Time(0), &it, &[TERMS], BUDGET);
    fill(&mut dispatcher, &mut rng, 3);
    it.endpoints.remove(0);
    dispatcher.reconfigure(Time(1), &it, &[TERMS]);
    assert!((0..2).all(|i| dispatcher.evidence_of(Time(1), i).in_use == 1));
    // The same address with another identity is another endpoint.
    it.endpoints[0].id = "i-other".into();
    dispatcher.reconfigure(Time(2), &it, &[TERMS]);
    assert_eq!(dispatcher.evidence_of(Time(2), 0).in_use, 0);
}

/// Times at which the first `unhealthy` of `n` endpoints get requests, which always fail there while
/// all other endpoints answer.
fn trials(n: usize, unhealthy: usize) -> Vec<Vec<Time>> {
    let mut rng = StdRng::seed_from_u64(1);
    let service = service(&[n], 1, Bias::Speed);
    let mut dispatcher = Dispatcher::new(Time(0), &service, &[TERMS], BUDGET);
    let position = |it: &Grant| service.endpoints.iter().position(|e| e.id == it.endpoint).unwrap();
    let mut trials = vec![Vec::new(); unhealthy];
    for seq in 0..4_000 {
        let now = Time(0) + Duration::from_millis(5 * seq);
        let ask = Ask { repeatable: false, is_last: true, ..ask(seq, true) };
        let id = ask.id;
        let Reply::Granted(grant) = dispatcher.ask(now, ask, &mut rng) else { continue };
        let i = position(&grant);
        let kind = if i < unhealthy { Kind::Failed } else { Kind::Answered };
        dispatcher.release(now, id, kind, Duration::from_millis(4), &mut rng);
        dispatcher.tick(now, &mut rng);
        if i < unhealthy {
            trials[i].push(now);
        }
    }
    trials
}

fn gaps(trials: &[Time]) -> Vec<u64> {
    trials.windows(2).map(|it| it[1].since(it[0]).as_millis() as u64).collect()
}

/// Where no request may be repeated, an endpoint that keeps failing stays idle for as long as the
/// floor allows and no longer. The availability target counts an endpoint as healthy two seconds
/// after its last failure and as starved after two more. Endpoints that have been known for longer
/// may stay idle for longer; see `idle.rs`.
#[test]
fn an_unhealthy_endpoint_stays_idle_for_as_long_as_the_floor_allows() {
    for (n, unhealthy) in [(16, 1), (10, 3), (19, 5)] {
        for trials in trials(n, unhealthy) {
            let gaps = gaps(&trials);
            assert!(gaps.iter().all(|it| *it < 4_000), "{unhealthy} of {n}: {gaps:?}");
            let short = gaps.iter().filter(|it| **it < 3_000).count();
            assert!(short <= 1, "{unhealthy} of {n}: {gaps:?}");
        }
    }
}

/// A recovered endpoint is unused capacity until a request tries it, and repeatable requests lose
/// little by trying.
#[test]
fn work_that_can_be_sent_again_tries_an_endpoint_sooner_and_first() {
    let mut rng = StdRng::seed_from_u64(1);
    let service = service(&[3], 1, Bias::Speed);
    let mut dispatcher = Dispatcher::new(Time(0), &service, &[TERMS], BUDGET);
    let elapsed = Duration::from_millis(1);
    let seen = seen(1, Kind::Failed, elapsed);
    (0..3).for_each(|_| dispatcher.observe(Time(0), &service.endpoints[0].id, seen));
    let mut tried_by = |now, it: Ask| {
        let id = it.id;
        let reply = dispatcher.ask(now, it, &mut rng);
        dispatcher.cancel(now, id, &mut rng);
        matches!(reply, Reply::Granted(it) if it.addr == service.endpoints[0].addr && it.trial)
    };
    let unsafe_ask = |seq| Ask { repeatable: false, is_last: true, ..ask(seq, true) };
    let (soon, later) = (Time(0) + SECOND, Time(0) + SECOND * 2);
    assert!(!tried_by(soon, ask(1, true)));
    assert!(tried_by(later, ask(2, true)));
    assert!(!tried_by(later, unsafe_ask(3)));
    assert!(!tried_by(later, Ask { send: SendKind::Further, is_last: true, ..ask(4, true) }));
}

#[test]
fn while_much_fails_every_endpoint_is_tried_again_within_seconds() {
    let mut rng = StdRng::seed_from_u64(1);
    let service = service(&[8], 1, Bias::Speed);
    let mut dispatcher = Dispatcher::new(Time(0), &service, &[TERMS], BUDGET);
    let unhealthy: Vec<_> = dispatcher.endpoints()[..3].iter().map(|it| it.addr).collect();
    let mut last = BTreeMap::new();
    let mut longest = Duration::ZERO;
    for seq in 0..1_000 {
        let now = Time(0) + Duration::from_millis(20 * seq);
        let ask = Ask { repeatable: false, is_last: true, ..ask(seq, true) };
        let id = ask.id;
        let Reply::Granted(grant) = dispatcher.ask(now, ask, &mut rng) else { continue };
        let fails = unhealthy.contains(&grant.addr) || seq % 5 == 0;
        let kind = if fails { Kind::Failed } else { Kind::Answered };
        dispatcher.release(now, id, kind, Duration::from_millis(5), &mut rng);
        dispatcher.tick(now, &mut rng);
        if let Some(before) = last.insert(grant.addr, now) {
            longest = longest.max(now.since(before));
        }
    }
    assert_eq!(last.len(), 8);
    assert!(longest < SECOND * 4, "{longest:?}");
}

#[test]
fn a_dispatcher_that_takes_over_knows_the_reported_failures() {
    let service = service(&[3], 1, Bias::Speed);
    let new = || Dispatcher::new(Time(0), &service, &[TERMS], BUDGET);
    let mut informed = new();
    let unhealthy = &service.endpoints[1];
    let elapsed = Duration::from_millis(5);
    let it = seen(1, Kind::Failed, elapsed);
    informed.observe(Time(0), &unhealthy.id, it);
    let taken_over = new().with_health_of(Time(0), &informed);
    assert_eq!(taken_over.last_resort_endpoints(Time(1)).collect::<Vec<_>>(), [unhealthy.addr]);
}

/// Guards against ranking last-resort endpoints by free slots: unhealthy endpoints fail fast, so
/// they had the most free slots and got most of this work.
#[test]
fn among_the_last_choices_the_one_that_failed_least_goes_first() {
    let mut rng = StdRng::seed_from_u64(1);
    let service = service(&[2], 1, Bias::Speed);
    let mut dispatcher = Dispatcher::new(Time(0), &service, &[TERMS], BUDGET);
    let fails = |it: &mut Dispatcher, i: usize, times: usize| {
        let elapsed = Duration::from_millis(1);
        let seen = seen(1, Kind::Failed, elapsed);
        (0..times).for_each(|_| it.observe(Time(0), &service.endpoints[i].id, seen));
    };
    fails(&mut dispatcher, 0, 3);
    fails(&mut dispatcher, 1, 1);
    for seq in 0..3 {
        let reply = dispatcher.ask(Time(1), ask(seq, true), &mut rng);
        let Reply::Granted(grant) = reply else { panic!("{reply:?}") };
        assert_eq!(grant.addr, service.endpoints[1].addr);
        assert_eq!(grant.tier, Tier::Last);
    }
}

#[test]
fn answers_soon_compensate_for_an_isolated_failure() {
    let mut rng = StdRng::seed_from_u64(1);
    let service = service(&[2], 1, Bias::Speed);
    let mut dispatcher = Dispatcher::new(Time(0), &service, &[TERMS], BUDGET);
    let see = |it: &mut Dispatcher, i: usize, ms: u64, kind| {
        let now = Time(0) + Duration::from_millis(ms);
        let elapsed = Duration::from_millis(if kind == Kind::Failed { 1 } else { 90 });
        let seen = seen(1, kind, elapsed);
        it.observe(now, &service.endpoints[i].id, seen);
    };
    // Both have had a request, so that neither is due for its first one.
    for seq in 0..2 {
        dispatcher.ask(Time(0), ask(seq, true), &mut rng);
    }
    (0..2).for_each(|seq| drop(dispatcher.cancel(Time(0), ask(seq, true).id, &mut rng)));
    for ms in [0, 100, 200] {
        see(&mut dispatcher, 0, ms, Kind::Answered);
        see(&mut dispatcher, 1, ms, Kind::Answered);
    }
    let mut choice = |it: &mut Dispatcher, ms: u64| {
        let ask = Ask { repeatable: false, ..ask(ms, true) };
        let id = ask.id;
        let now = Time(0) + Duration::from_millis(ms);
        let Reply::Granted(grant) = it.ask(now, ask, &mut rng) else { panic!("a slot is free") };
        it.cancel(now, id, &mut rng);
        grant.addr == service.endpoints[0].addr
    };
    see(&mut dispatcher, 0, 500, Kind::Failed);
    let taken = (510..530).filter(|ms| choice(&mut dispatcher, *ms)).count();
    assert_eq!(taken, 0, "the other endpoint ranks first");
    see(&mut dispatcher, 0, 700, Kind::Answered);
    see(&mut dispatcher, 0, 800, Kind::Answered);
    assert!((820..860).any(|ms| choice(&mut dispatcher, ms)), "it is used again");
}

/// Nodes that are next in line as dispatchers receive only reports of failures. They once reported
/// half of the endpoints as unhealthy to all nodes, and the dispatching node used these endpoints
/// last.
#[test]
fn a_dispatcher_that_grants_nothing_is_not_dispatching() {
    let mut rng = StdRng::seed_from_u64(1);
    let service = service(&[2], 1, Bias::Speed);
    let mut dispatcher = Dispatcher::new(Time(0), &service, &[TERMS], BUDGET);
    let elapsed = Duration::from_millis(1);
    let it = seen(1, Kind::Failed, elapsed);
    dispatcher.observe(Time(0), &service.endpoints[0].id, it);
    assert!(!dispatcher.is_dispatching(Time(0)));
    dispatcher.ask(Time(0), ask(1, true), &mut rng);
    assert!(dispatcher.is_dispatching(Time(0)));
    assert!(!dispatcher.is_dispatching(Time(0) + SECOND * 2));
}

/// Guards against preferring endpoints in the own failure domain for further sends: both sends of a
/// download went to near endpoints that were known to fail.
#[test]
fn a_long_answer_is_asked_for_elsewhere_after_one_failure_near() {
    let mut rng = StdRng::seed_from_u64(1);
    let service = service(&[1, 2], 1, Bias::Speed);
    let mut dispatcher = Dispatcher::new(Time(0), &service, &[TERMS], BUDGET);
    let elapsed = Duration::from_millis(1);
    let seen = seen(1, Kind::Failed, elapsed);
    for endpoint in &service.endpoints[1..] {
        (0..3).for_each(|_| dispatcher.observe(Time(0), &endpoint.id, seen));
    }
    let near = Reporter { node: NodeId(1), failure_domain: stable_hash(b"b") };
    let long_answer = |seq| Ask { long_answer: true, reporter: near, ..ask(seq, true) };
    let first = dispatcher.ask(Time(1), long_answer(1), &mut rng);
    assert!(matches!(&first, Reply::Granted(it) if it.tier == Tier::Near), "{first:?}");
    let second = dispatcher.ask(
        Time(1),
        Ask { send: SendKind::Further, is_last: true, ..long_answer(2) },
        &mut rng,
    );
    assert!(matches!(&second, Reply::Granted(it) if it.tier == Tier::Far), "{second:?}");
}

/// Unhealthy endpoints fail at once. Without a limit, one of them got a large part of the requests
/// while many requests failed.
#[test]
fn while_much_fails_an_ejected_endpoint_is_tried_once_in_a_while() {
    let mut rng = StdRng::seed_from_u64(1);
    let service = service(&[8], 1, Bias::Speed);
    let mut dispatcher = Dispatcher::new(Time(0), &service, &[TERMS], BUDGET);
    let see = |it: &mut Dispatcher, i: usize, node: u64, kind| {
        let elapsed = Duration::from_millis(1);
        let seen = seen(node, kind, elapsed);
        it.observe(Time(0), &service.endpoints[i].id, seen);
    };
    (1..8).for_each(|i| see(&mut dispatcher, i, i as u64, Kind::Answered));
    (0..20).for_each(|node| see(&mut dispatcher, 0, node, Kind::Failed));
    let mut tries = 0;
    for seq in 0..1_000 {
        let now = Time(0) + Duration::from_millis(10 * seq);
        dispatcher.tick(now, &mut rng);
        let is_out = matches!(dispatcher.endpoints()[0].state, State::Ejected { .. });
        assert!(is_out || seq > 0, "it is out from the start");
        let ask = Ask { repeatable: false, is_last: true, ..ask(seq, true) };
        let id = ask.id;
        let Reply::Granted(grant) = dispatcher.ask(now, ask, &mut rng) else { continue };
        let is_unhealthy = grant.addr == service.endpoints[0].addr;
        tries += usize::from(is_out && is_unhealthy);
        let kind = if is_unhealthy || seq % 4 == 0 { Kind::Failed } else { Kind::Answered };
        dispatcher.release(now, id, kind, Duration::from_millis(5), &mut rng);
    }
    assert!((1..=6).contains(&tries), "{tries} tries in 10 s");
}

/// First sends went to endpoints known to fail although the budget for another send was spent.
#[test]
fn a_first_send_waits_as_a_last_one_while_the_budget_is_short() {
    let mut rng = StdRng::seed_from_u64(1);
    let service = service(&[2], 1, Bias::Speed);
    let mut tier_of_a_send_that_finds_the_good_one_full = |extra| {
        let budget = BudgetLimits { extra, ..BUDGET };
        let mut dispatcher = Dispatcher::new(Time(0), &service, &[TERMS], budget);
        let elapsed = Duration::from_millis(1);
        let seen = seen(1, Kind::Failed, elapsed);
        (0..3).for_each(|_| dispatcher.observe(Time(0), &service.endpoints[0].id, seen));
        (0..3).for_each(|seq| drop(dispatcher.ask(Time(1), ask(seq, true), &mut rng)));
        // The expected wait of a third of 100 ms is more than the longest wait of a first send, and
        // less than that of a last send, for this objective.
        let objective = Duration::from_millis(200);
        match dispatcher.ask(Time(1), Ask { objective, ..ask(9, true) }, &mut rng) {
            Reply::Granted(it) => Some(it.tier),
            _ => None,
        }
    };
    assert_eq!(tier_of_a_send_that_finds_the_good_one_full(40.0), Some(Tier::Last));
    assert_eq!(tier_of_a_send_that_finds_the_good_one_full(0.0), None, "it waits");
}

/// Requests that lose to their hedges are cancelled before they count as stalled. Without evidence
/// from them, a stalled service went unnoticed.
#[test]
fn an_endpoint_whose_requests_lose_to_their_hedges_is_soon_the_last_choice() {
    let service = service(&[3], 1, Bias::Speed);
    let mut dispatcher = Dispatcher::new(Time(0), &service, &[TERMS], BUDGET);
    let long = TERMS.objective;
    let see = |it: &mut Dispatcher, node, kind, elapsed| {
        let seen = seen(node, kind, elapsed);
        it.observe(Time(0), &service.endpoints[0].id, seen);
    };
    see(&mut dispatcher, 1, Kind::Abandoned, long / 20);
    see(&mut dispatcher, 2, Kind::LostToHedge, long);
    assert_eq!(dispatcher.last_resort_endpoints(Time(0)).count(), 0, "one lost request is usual");
    (3..5).for_each(|node| see(&mut dispatcher, node, Kind::LostToHedge, long));
    assert_eq!(dispatcher.last_resort_endpoints(Time(0)).count(), 1);
}

/// Requests went to endpoints known to fail although endpoints with a single isolated failure had
/// free slots.
#[test]
fn the_other_slots_of_a_doubtful_endpoint_go_before_one_that_is_known_to_fail() {
    let mut rng = StdRng::seed_from_u64(1);
    let service = service(&[2], 1, Bias::Speed);
    let mut dispatcher = Dispatcher::new(Time(0), &service, &[TERMS], BUDGET);
    let elapsed = Duration::from_millis(1);
    let (doubtful, unhealthy) = (&service.endpoints[0], &service.endpoints[1]);
    let fails = seen(1, Kind::Failed, elapsed);
    let answers = seen(1, Kind::Answered, elapsed);
    let now = Time(0) + SECOND;
    for it in [answers, answers, fails] {
        dispatcher.observe(now, &doubtful.id, it);
    }
    (0..3).for_each(|_| dispatcher.observe(now, &unhealthy.id, fails));
    // Shorter than the time that a slot is held, so that no request waits for the first slot.
    let objective = Duration::from_millis(50);
    let unsafe_ask = |seq| Ask { repeatable: false, is_last: true, objective, ..ask(seq, true) };
    let mut taken = |seq| match dispatcher.ask(now, unsafe_ask(seq), &mut rng) {
        Reply::Granted(it) => (it.addr == doubtful.addr, it.tier),
        it => panic!("{it:?}"),
    };
    assert_eq!(taken(1), (true, Tier::Good));
    assert_eq!(taken(2), (true, Tier::Last));
    assert_eq!(taken(3), (true, Tier::Last));
}

/// Endpoints that have just answered rank before endpoints without evidence, so a recently joined
/// endpoint got no requests until idle ones were put first.
#[test]
fn an_endpoint_that_has_been_idle_for_long_is_probed() {
    let mut rng = StdRng::seed_from_u64(1);
    let service = service(&[4], 1, Bias::Speed);
    let mut dispatcher = Dispatcher::new(Time(0), &service, &[TERMS], BUDGET);
    let mut used = BTreeMap::new();
    for seq in 0..400 {
        let now = Time(0) + Duration::from_millis(20 * seq);
        let ask = ask(seq, true);
        let id = ask.id;
        let Reply::Granted(grant) = dispatcher.ask(now, ask, &mut rng) else { panic!("free") };
        let before = used.insert(grant.addr, now).unwrap_or_default();
        assert!(now.since(before) < SECOND * 4, "{} waited since {before:?}", grant.addr);
        dispatcher.release(now, id, Kind::Answered, Duration::from_millis(5), &mut rng);
        dispatcher.tick(now, &mut rng);
    }
    assert_eq!(used.len(), 4);
}

/// Hedges that were refused because no good endpoint was free used up the repeat budget.
#[test]
fn a_hedge_that_is_not_granted_costs_nothing() {
    let mut rng = StdRng::seed_from_u64(1);
    let service = service(&[1], 1, Bias::Speed);
    let budget = BudgetLimits { ratio: 0.0, extra: 100.0, ..BUDGET };
    let mut dispatcher = Dispatcher::new(Time(0), &service, &[TERMS], budget);
    fill(&mut dispatcher, &mut rng, 3);
    let hedge = |seq| Ask { send: SendKind::Further, ..ask(seq, false) };
    for seq in 10..40 {
        assert_eq!(dispatcher.ask(Time(0), hedge(seq), &mut rng), Reply::Full);
    }
    assert_eq!(dispatcher.repeats(Time(0)).spent, 0.0);
    dispatcher.cancel(Time(0), ask(0, false).id, &mut rng);
    assert!(matches!(dispatcher.ask(Time(0), hedge(40), &mut rng), Reply::Granted(_)));
    assert_eq!(dispatcher.repeats(Time(0)).spent, 1.0);
}

/// Both sends of a lookup went to endpoints that hung, because the second send went to any good
/// endpoint.
#[test]
fn a_further_send_goes_to_the_endpoint_least_likely_to_be_unhealthy() {
    let mut rng = StdRng::seed_from_u64(1);
    let service = service(&[6], 1, Bias::Speed);
    let mut dispatcher = Dispatcher::new(Time(0), &service, &[TERMS], BUDGET);
    let surest = &service.endpoints[4];
    let answered = seen(1, Kind::Answered, Duration::from_millis(1));
    let now = Time(0) + SECOND;
    service.endpoints.iter().for_each(|it| dispatcher.observe(now, &it.id, answered));
    (0..3).for_each(|_| dispatcher.observe(now, &surest.id, answered));
    // Nodes have a share of the repeat budget only after asking for first sends.
    (10..15).for_each(|seq| drop(dispatcher.ask(now, ask(seq, true), &mut rng)));
    (10..15).for_each(|seq| drop(dispatcher.cancel(now, ask(seq, true).id, &mut rng)));
    for seq in 0..2 {
        let ask = Ask { send: SendKind::Further, is_last: true, ..ask(seq, true) };
        let Reply::Granted(grant) = dispatcher.ask(now, ask, &mut rng) else { panic!("free") };
        assert_eq!(grant.addr, surest.addr);
    }
}

#[test]
fn a_grant_reports_how_likely_its_endpoint_is_unhealthy_and_how_old_that_evidence_is() {
    let mut rng = StdRng::seed_from_u64(1);
    let service = service(&[1], 1, Bias::Speed);
    let mut dispatcher = Dispatcher::new(Time(0), &service, &[TERMS], BUDGET);
    let fails = seen(1, Kind::Failed, Duration::from_millis(1));
    (0..2).for_each(|_| dispatcher.observe(Time(0) + SECOND, &service.endpoints[0].id, fails));
    let now = Time(0) + SECOND * 2;
    let Reply::Granted(grant) = dispatcher.ask(now, ask(1, true), &mut rng) else { panic!("free") };
    assert_eq!(grant.health.evidence_ms, 1_000);
    assert!((700..1_000).contains(&grant.health.unhealthy_permille), "{:?}", grant.health);
}
