//! Redirection between dispatchers of single failure domains, and its failures.

use std::thread;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use resources::{Priority, Service, Standing};

use super::domain_load::{Demand, Load, Mode, Play, service_in};
use super::fixture::{BUDGET, SECOND, TERMS, ask, seen};
use crate::domains::RemoteDomains;
use crate::{
    Ask, Contention, DispatchOptions, Dispatcher, DomainLoad, FarReason, Kind, NodeId, Reply,
    Reporter, Time, stable_hash,
};

const A: &[u8] = b"a";

/// Slots of the failure domain `a`: 34 endpoints of six slots.
const SLOTS: u64 = 34 * 6;

fn dispatcher(service: &Service) -> (Dispatcher, StdRng) {
    (Dispatcher::new(Time(0), service, &[TERMS], BUDGET), StdRng::seed_from_u64(1))
}

fn from_a(seq: u64) -> Ask {
    let reporter = Reporter { node: NodeId(seq % 5), failure_domain: stable_hash(A) };
    Ask { reporter, ..ask(seq, true) }
}

/// A request that cannot wait near.
fn hasty(seq: u64) -> Ask {
    Ask { objective: SECOND / 10, ..from_a(seq) }
}

fn load(domain: &str, usable: f32, in_use: u32) -> DomainLoad {
    let failure_domain = stable_hash(domain.as_bytes());
    DomainLoad { failure_domain, usable, in_use, ..DomainLoad::default() }
}

/// Reports loads often enough that their headroom takes full effect at `now`.
fn report(it: &mut Dispatcher, now: Time, loads: &[DomainLoad]) {
    (0..30).for_each(|_| it.set_remote_loads(now, loads));
}

fn fill(it: &mut Dispatcher, now: Time, rng: &mut StdRng) {
    for seq in 0..SLOTS {
        let reply = it.ask_redirecting(now, from_a(seq), rng);
        assert!(matches!(reply, Reply::Granted(_)), "{seq}: {reply:?}");
    }
}

fn target(reply: &Reply) -> Option<(u64, FarReason)> {
    match reply {
        Reply::Elsewhere { failure_domain, reason } => Some((*failure_domain, *reason)),
        _ => None,
    }
}

/// Guards against redirections by loads of a dispatcher that is lost or cut off.
#[test]
fn loads_that_are_missing_or_old_redirect_nothing_that_can_be_served_here() {
    let service = service_in("a");
    let (mut it, mut rng) = dispatcher(&service);
    fill(&mut it, Time(0), &mut rng);
    let reply = it.ask_redirecting(Time(0), hasty(1_000), &mut rng);
    assert_eq!(target(&reply), None, "no load is known");
    report(&mut it, Time(0), &[load("b", 100.0, 10)]);
    let fresh = it.ask_redirecting(Time(0) + SECOND, hasty(1_001), &mut rng);
    assert_eq!(target(&fresh).map(|(it, _)| it), Some(stable_hash(b"b")));
    let now = Time(0) + SECOND + Duration::from_millis(1);
    let old = it.ask_redirecting(now, hasty(1_002), &mut rng);
    assert_eq!(target(&old), None);
}

/// Guards against an endless exchange of a request between two dispatchers, and against a second
/// answer to an ask whose reply was lost.
#[test]
fn a_redirected_ask_is_never_redirected_again_and_repeats_its_answer() {
    let service = service_in("a");
    let (mut it, mut rng) = dispatcher(&service);
    fill(&mut it, Time(0), &mut rng);
    report(&mut it, Time(0), &[load("b", 100.0, 10), load("c", 100.0, 10)]);
    let first = it.ask_redirecting(Time(0), hasty(1_000), &mut rng);
    assert!(target(&first).is_some());
    assert_eq!(it.ask_redirecting(Time(1), hasty(1_000), &mut rng), first);
    assert_eq!(it.take_counts().redirected.total(), 1);
    let reply = it.ask(Time(2), hasty(1_001), &mut rng);
    assert_eq!(target(&reply), None, "`ask` never redirects");
}

/// Guards against requests that are refused because their failure domain is empty or evacuated.
#[test]
fn an_empty_or_evacuated_failure_domain_is_left_even_on_old_loads() {
    let mut empty = service_in("a");
    empty.endpoints.clear();
    let mut evacuated = service_in("a");
    evacuated.endpoints.iter_mut().for_each(|it| it.standing = Standing::Evacuated);
    for service in [empty, evacuated] {
        let (mut it, mut rng) = dispatcher(&service);
        report(&mut it, Time(0), &[load("b", 100.0, 10)]);
        for now in [Time(0), Time(0) + SECOND * 5] {
            let reply = it.ask_redirecting(now, from_a(now.0), &mut rng);
            assert_eq!(target(&reply), Some((stable_hash(b"b"), FarReason::NoEndpoint)));
        }
    }
}

/// Guards against sends to endpoints known to fail while another failure domain is healthy.
#[test]
fn a_failure_domain_that_is_unhealthy_as_a_whole_is_left() {
    let service = service_in("a");
    let (mut it, mut rng) = dispatcher(&service);
    let fails = seen(1, Kind::Failed, SECOND / 100);
    for endpoint in &service.endpoints {
        (0..3).for_each(|_| it.observe(Time(0), &endpoint.id, fails));
    }
    report(&mut it, Time(1), &[load("b", 100.0, 10)]);
    let reply = it.ask_redirecting(Time(1), from_a(1), &mut rng);
    assert_eq!(target(&reply), Some((stable_hash(b"b"), FarReason::Health)));
    assert_eq!(it.domain_loads(Time(1))[0].usable, 0.0);
}

/// Guards against queued requests that stay when the wait turns out longer than it was.
#[test]
fn a_queued_request_is_redirected_when_another_failure_domain_gets_room() {
    let service = service_in("a");
    let (mut it, mut rng) = dispatcher(&service);
    fill(&mut it, Time(0), &mut rng);
    assert_eq!(it.ask_redirecting(Time(0), hasty(1_000), &mut rng), Reply::Queued);
    assert_eq!(it.ask(Time(0), hasty(1_001), &mut rng), Reply::Queued);
    report(&mut it, Time(1), &[load("b", 100.0, 10)]);
    let settled = it.tick(Time(2), &mut rng);
    let targets: Vec<_> = settled.iter().map(|it| (it.id, target(&it.reply))).collect();
    let b = Some((stable_hash(b"b"), FarReason::Overflow));
    assert_eq!(targets, [(hasty(1_000).id, b)], "the other one was asked for without redirection");
    assert_eq!(it.queued(), 1);
}

/// Guards against a rush into a failure domain that has just come back, and against one that goes
/// on after its slots are taken.
#[test]
fn headroom_rises_step_by_step_and_falls_at_once() {
    let mut it = RemoteDomains::default();
    let headroom = |it: &RemoteDomains, now| it.offers(now).map(|it| it.headroom).sum::<f64>();
    let mut last = 0.0;
    for i in 0..10 {
        let now = Time(0) + Duration::from_millis(100 * i);
        it.set(now, load("b", 100.0, 0));
        let next = headroom(&it, now);
        assert!(next > last && next - last < 25.0, "{last} {next}");
        last = next;
    }
    let now = Time(0) + SECOND;
    (0..5).for_each(|_| it.note_sent(now, stable_hash(b"b")));
    assert_eq!(headroom(&it, now), last - 5.0);
    it.set(now, load("b", 100.0, 95));
    assert!(headroom(&it, now) <= 0.0);
}

/// Guards against damaged numbers in loads.
#[test]
fn damaged_loads_get_no_requests() {
    let service = service_in("a");
    let (mut it, mut rng) = dispatcher(&service);
    fill(&mut it, Time(0), &mut rng);
    for usable in [f32::NAN, f32::INFINITY, f32::NEG_INFINITY, -5.0] {
        let it_load =
            DomainLoad { served: usable, unserved: usable, ..load("b", usable, u32::MAX) };
        report(&mut it, Time(0), &[it_load, DomainLoad { queued: u32::MAX, ..it_load }]);
    }
    let reply = it.ask_redirecting(Time(0), hasty(1_000), &mut rng);
    assert_eq!(target(&reply), None);
    assert!(!it.is_under_pressure());
}

/// Guards against a floor that is not kept because the requests that are not served belong to
/// another failure domain.
#[test]
fn the_pressure_counts_the_requests_of_all_failure_domains() {
    let service = service_in("a");
    let (mut it, mut rng) = dispatcher(&service);
    let lossy = DomainLoad { served: 80.0, unserved: 20.0, ..load("b", 100.0, 10) };
    it.set_remote_loads(Time(0), &[lossy]);
    it.ask_redirecting(Time(0), from_a(1), &mut rng);
    assert!(it.is_under_pressure());
    it.ask_redirecting(Time(0) + SECOND * 2, from_a(2), &mut rng);
    assert!(!it.is_under_pressure(), "the counts are old");
}

/// Guards against requests that are sent to one of two failure domains in turns, and against
/// requests that two failure domains exchange.
#[test]
fn shares_are_stable_and_failure_domains_do_not_exchange_requests() {
    let mode = Mode::ByDomain { knows_loads: true };
    let burst = Load { demand: Demand::Burst(2.6), factor: 1.0, repeatable: 0.5 };
    let plays: Vec<_> =
        (1..=4).map(|seed| thread::spawn(move || Play::new(burst, mode, seed).run())).collect();
    let all = plays.into_iter().map(|it| it.join().expect("the play ends"));
    for results in all {
        let sent = |from, to, second| {
            results.far_by_second.get(&(from, to, second)).copied().unwrap_or_default()
        };
        let flows: Vec<_> = (12..19)
            .map(|s| (sent(0, 1, s), sent(0, 2, s), sent(1, 0, s) + sent(2, 0, s)))
            .collect();
        let out: u32 = flows.iter().map(|(b, c, _)| b + c).sum();
        let back: u32 = flows.iter().map(|(.., it)| it).sum();
        assert!(out > 100 && f64::from(back) < MAX_EXCHANGED * f64::from(out), "{flows:?}");
        // Seconds with fewer requests say nothing about the shares.
        let busy = flows.iter().filter(|(b, c, _)| b + c >= 20);
        let shares: Vec<f64> = busy.map(|(b, c, _)| f64::from(*b) / f64::from(b + c)).collect();
        let swings: Vec<f64> = shares.windows(2).map(|it| it[1] - it[0]).collect();
        let oscillates = swings
            .windows(2)
            .any(|it| it[0] * it[1] < 0.0 && it[0].abs().min(it[1].abs()) > MAX_SWING);
        assert!(!oscillates, "{flows:?}");
    }
}

/// Endpoints become unhealthy in all failure domains during the burst, so that a few requests of the
/// others leave, too.
const MAX_EXCHANGED: f64 = 0.15;
/// With all requests going to one failure domain after the other, the share swings by one.
const MAX_SWING: f64 = 0.4;

/// Guards against refusals while slots of another failure domain are free.
#[test]
fn a_request_leaves_instead_of_being_refused_or_evicted() {
    let service = service_in("a");
    let (mut it, mut rng) = dispatcher(&service);
    it.set_options(DispatchOptions::default().contention(Contention::Ranked));
    fill(&mut it, Time(0), &mut rng);
    // The wait here fits the objective, so that nothing leaves before the queue is full.
    let (objective, left) = (SECOND * 600, SECOND * 900);
    let patient =
        |seq, priority| Ask { priority: Priority(priority), objective, left, ..from_a(seq) };
    let mut seq = 1_000;
    while it.ask_redirecting(Time(0), patient(seq, 2), &mut rng) == Reply::Queued {
        seq += 1;
    }
    report(&mut it, Time(0), &[load("b", 100.0, 10)]);
    it.take_counts();
    let overflow = Some((stable_hash(b"b"), FarReason::Overflow));
    let newcomer = it.ask_redirecting(Time(0), patient(9_000, 2), &mut rng);
    assert_eq!(target(&newcomer), overflow);
    assert_eq!(it.ask_redirecting(Time(0), patient(9_001, 0), &mut rng), Reply::Queued);
    let evicted = it.take_evicted();
    assert_eq!(evicted.len(), 1);
    assert_eq!(target(&evicted[0].reply), overflow);
    // A request that may not be redirected is refused.
    let refused = it.ask(Time(0), patient(9_002, 2), &mut rng);
    assert!(matches!(refused, Reply::Refused { .. }), "{refused:?}");
    let counts = it.take_counts();
    assert_eq!((counts.redirected.total(), counts.refusals.iter().sum::<u32>()), (2, 1));
}
