//! Slots of answers in transit: when they come free, for which upstreams, and failures after an
//! answer has begun.

use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use resources::Bias;

use super::fixture::{BUDGET, SECOND, TERMS, ask, service};
use crate::{Ask, Dispatcher, Kind, PermitId, QueuedReply, Reply, Time};

const MS: u64 = 1_000;

/// When a worker of an endpoint takes the next request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Worker {
    /// Once its answer has begun.
    FreeAtHead,
    /// Once the last byte is sent.
    FreeAtEnd,
}

/// Load on a service, and the behaviour of its endpoints.
#[derive(Clone, Copy, Debug)]
struct Load {
    endpoints: usize,
    slots: u32,
    /// Microseconds until an answer begins, and from then on until its last byte is sent.
    work: u64,
    transit: u64,
    /// Requests a second.
    rate: f64,
    worker: Worker,
    /// Requests that wait at an endpoint while its workers are busy; further ones are shed.
    queue: usize,
    /// Share of the requests that endpoints shed regardless of their load.
    shed_share: f64,
}

/// Half of the capacity of 25 endpoints with two slots and 0.21 s of work per request. Tests vary
/// `transit`; some answers are in transit for 0.43 s.
const HALF: Load = Load {
    endpoints: 25,
    slots: 2,
    work: 210 * MS,
    transit: 150 * MS,
    rate: 119.0,
    worker: Worker::FreeAtHead,
    queue: 0,
    shed_share: 0.0,
};

/// Results for callers and endpoints.
#[derive(Debug, Default)]
struct Results {
    asked: u32,
    served: u32,
    shed: u32,
    most_queued: usize,
    /// Most requests that one endpoint worked on at a time.
    most_at_work: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request,
    Head(u64),
    End(u64),
    Shed(u64),
}

/// One endpoint as its upstream sees it.
#[derive(Clone, Debug, Default)]
struct Upstream {
    working: u32,
    sending: u32,
    waiting: Vec<u64>,
}

/// Plays `load` for `seconds`.
fn play(load: Load, seconds: u64) -> Results {
    let mut service = service(&[load.endpoints], 1, Bias::Speed);
    service.slots = load.slots;
    let mut dispatcher = Dispatcher::new(Time(0), &service, &[TERMS], BUDGET);
    let mut rng = StdRng::seed_from_u64(7);
    let mut upstreams = vec![Upstream::default(); load.endpoints];
    let mut at: BTreeMap<u64, usize> = BTreeMap::new();
    let mut events = BinaryHeap::new();
    let mut results = Results::default();
    let (mut now, mut next_tick) = (0, 0);
    events.push(std::cmp::Reverse((0, Event::Request)));
    while now < seconds * 1_000_000 {
        let std::cmp::Reverse((time, event)) = events.pop().expect("requests go on");
        now = time;
        let mut settled = Vec::new();
        while next_tick <= now {
            settled.extend(dispatcher.tick(Time(next_tick), &mut rng));
            at.keys().for_each(|seq| dispatcher.renew(Time(next_tick), id(*seq)));
            next_tick += 50 * MS;
        }
        let after = |wait| std::cmp::Reverse((now + wait, Event::Request));
        match event {
            Event::Request => {
                let pause = (1e6 / load.rate) as u64;
                events.push(after(rng.random_range(pause / 2..pause * 3 / 2)));
                results.asked += 1;
                let ask = Ask { left: SECOND * 4, ..ask(u64::from(results.asked), true) };
                let id = ask.id;
                let reply = dispatcher.ask(Time(now), ask, &mut rng);
                settled.push(QueuedReply { id, reply });
            }
            Event::Head(seq) => {
                let upstream: &mut Upstream = &mut upstreams[at[&seq]];
                upstream.working -= 1;
                upstream.sending += 1;
                events.push(std::cmp::Reverse((now + load.transit, Event::End(seq))));
                let took = Duration::from_micros(load.work);
                settled.extend(dispatcher.answer_began(Time(now), id(seq), took, &mut rng));
            }
            Event::End(seq) => {
                let upstream = &mut upstreams[at.remove(&seq).expect("it was sent")];
                upstream.sending -= 1;
                results.served += 1;
                let took = Duration::from_micros(load.work);
                settled.extend(dispatcher.release(
                    Time(now),
                    id(seq),
                    Kind::Answered,
                    took,
                    &mut rng,
                ));
            }
            Event::Shed(seq) => {
                at.remove(&seq);
                results.shed += 1;
                let took = Duration::from_millis(1);
                settled.extend(dispatcher.release(Time(now), id(seq), Kind::Shed, took, &mut rng));
            }
        }
        for it in settled {
            let Reply::Granted(grant) = it.reply else { continue };
            let i = service.endpoints.iter().position(|e| e.addr == grant.addr).expect("known");
            at.insert(it.id.seq, i);
            upstreams[i].waiting.push(it.id.seq);
        }
        for it in &mut upstreams {
            let busy = |it: &Upstream| match load.worker {
                Worker::FreeAtHead => it.working,
                Worker::FreeAtEnd => it.working + it.sending,
            };
            while busy(it) < load.slots && !it.waiting.is_empty() {
                let seq = it.waiting.remove(0);
                if rng.random_bool(load.shed_share) {
                    events.push(std::cmp::Reverse((now + MS, Event::Shed(seq))));
                    continue;
                }
                it.working += 1;
                events.push(std::cmp::Reverse((now + load.work, Event::Head(seq))));
            }
            for seq in it.waiting.split_off(load.queue.min(it.waiting.len())) {
                events.push(std::cmp::Reverse((now + MS, Event::Shed(seq))));
            }
            results.most_at_work = results.most_at_work.max(it.working);
        }
        results.most_queued = results.most_queued.max(dispatcher.queued());
    }
    results
}

fn id(seq: u64) -> PermitId {
    ask(seq, true).id
}

#[test]
fn no_request_waits_at_half_of_the_load_while_answers_are_in_transit() {
    for transit in [20, 72, 150, 430] {
        let results = play(Load { transit: transit * MS, ..HALF }, 30);
        assert_eq!(results.most_queued, 0, "{transit} ms: {results:?}");
        assert_eq!(results.shed, 0, "{transit} ms: {results:?}");
        assert!(results.most_at_work <= HALF.slots, "{transit} ms: {results:?}");
    }
}

/// An endpoint that holds a worker until the last byte is sent sheds requests that come earlier.
/// The dispatcher detects this and then sends no more than the service can take.
#[test]
fn endpoints_that_hold_a_worker_until_the_last_byte_are_not_flooded() {
    for (queue, transit) in [(0, 72), (0, 150), (0, 430), (12, 430)] {
        let load = Load { worker: Worker::FreeAtEnd, queue, transit: transit * MS, ..HALF };
        // The capacity of such endpoints.
        let rate = 50.0 * 1e6 / (load.work + load.transit) as f64;
        let results = play(Load { rate, ..load }, 60);
        // The first experiment, and those repeated after 10, 20 and 40 s.
        assert!(results.shed <= 5 * 16, "{transit} ms: {results:?}");
        assert!(
            f64::from(results.served) > 0.95 * f64::from(results.asked - results.shed),
            "{results:?}"
        );
    }
}

/// If a service sheds a share of all requests, the shed requests are no evidence about slots.
#[test]
fn endpoints_that_shed_regardless_of_load_keep_the_slots_of_answers_in_transit_free() {
    let results = play(Load { shed_share: 0.4, ..HALF }, 30);
    assert_eq!(results.most_queued, 0, "{results:?}");
}

/// Asks for a slot of a service with one endpoint of 3 slots.
fn granted(dispatcher: &mut Dispatcher, rng: &mut StdRng, now: Time, seq: u64) -> bool {
    matches!(dispatcher.ask(now, ask(seq, false), rng), Reply::Granted(_))
}

#[test]
fn an_answer_that_has_begun_is_reported_once_and_ends_once() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut dispatcher = Dispatcher::new(Time(0), &service(&[1], 1, Bias::Speed), &[TERMS], BUDGET);
    let took = Duration::from_millis(20);
    (0..3).for_each(|seq| assert!(granted(&mut dispatcher, &mut rng, Time(0), seq)));
    assert!(!granted(&mut dispatcher, &mut rng, Time(0), 3), "all are in use");
    dispatcher.answer_began(Time(1), id(0), took, &mut rng);
    dispatcher.answer_began(Time(2), id(0), took, &mut rng);
    assert!(granted(&mut dispatcher, &mut rng, Time(3), 4));
    assert!(!granted(&mut dispatcher, &mut rng, Time(3), 5), "one was free");
    dispatcher.release(Time(4), id(0), Kind::Answered, took, &mut rng);
    assert!(!granted(&mut dispatcher, &mut rng, Time(5), 6), "its slot came free before");
    // The report of its beginning arrives after its end.
    dispatcher.answer_began(Time(6), id(0), took, &mut rng);
    assert!(!granted(&mut dispatcher, &mut rng, Time(7), 7));
    let counts = dispatcher.take_counts();
    assert_eq!((counts.released, counts.freed_early, counts.answered), (1, 1, 1));
}

/// A late copy of an ask, whose permit had ended or been withdrawn, took a slot until the new
/// permit expired.
#[test]
fn a_late_copy_of_an_ask_takes_no_slot() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut dispatcher = Dispatcher::new(Time(0), &service(&[1], 1, Bias::Speed), &[TERMS], BUDGET);
    assert!(granted(&mut dispatcher, &mut rng, Time(0), 0));
    dispatcher.release(Time(1), id(0), Kind::Answered, SECOND / 50, &mut rng);
    dispatcher.cancel(Time(1), id(1), &mut rng);
    for seq in [0, 1] {
        assert!(!granted(&mut dispatcher, &mut rng, Time(2), seq));
    }
    assert_eq!(dispatcher.occupancy(Time(2)).in_use, 0);
    // The id may be used again after a while.
    dispatcher.tick(Time(0) + SECOND, &mut rng);
    assert!(granted(&mut dispatcher, &mut rng, Time(0) + SECOND, 1));
}

#[test]
fn an_answer_that_stalls_is_evidence_against_its_endpoint() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut dispatcher = Dispatcher::new(Time(0), &service(&[2], 1, Bias::Speed), &[TERMS], BUDGET);
    assert!(granted(&mut dispatcher, &mut rng, Time(0), 0));
    dispatcher.answer_began(Time(0) + SECOND / 50, id(0), SECOND / 50, &mut rng);
    assert_eq!(dispatcher.last_resort_endpoints(Time(0) + SECOND / 50).count(), 0);
    let later = Time(0) + SECOND * 2;
    dispatcher.stalled(later, id(0), SECOND);
    dispatcher.release(later, id(0), Kind::TimedOut, SECOND, &mut rng);
    assert_eq!(dispatcher.last_resort_endpoints(later).count(), 1);
}

#[derive(Clone, Debug)]
enum Step {
    Ask,
    Begin(usize),
    End(usize, Kind),
    /// No end of the request is ever reported.
    Vanish(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let kind = prop_oneof![Just(Kind::Answered), Just(Kind::Failed), Just(Kind::Abandoned)];
    prop_oneof![
        8 => Just(Step::Ask),
        6 => (0..32_usize).prop_map(Step::Begin),
        5 => (0..32_usize, kind).prop_map(|(i, kind)| Step::End(i, kind)),
        1 => (0..32_usize).prop_map(Step::Vanish),
        2 => (1..400_u64).prop_map(Step::Wait),
    ]
}

proptest! {
    /// For any order of events, an endpoint never works on more requests than it has slots, and
    /// slots of requests that are no longer reported come free.
    #[test]
    fn endpoints_never_have_more_work_than_slots(
        steps in prop::collection::vec(step(), 1..300),
    ) {
        let service = service(&[3], 1, Bias::Speed);
        let mut rng = StdRng::seed_from_u64(1);
        let mut dispatcher = Dispatcher::new(Time(0), &service, &[TERMS], BUDGET);
        let mut now = Time(0);
        // Permit of each request, its endpoint, and whether its answer has begun.
        let mut open: Vec<(PermitId, usize, bool)> = Vec::new();
        for (seq, step) in steps.into_iter().enumerate() {
            match step {
                Step::Ask => {
                    let ask = ask(seq as u64, false);
                    let id = ask.id;
                    if let Reply::Granted(grant) = dispatcher.ask(now, ask, &mut rng) {
                        let i = service.endpoints.iter().position(|it| it.addr == grant.addr);
                        open.push((id, i.unwrap(), false));
                    }
                }
                Step::Begin(i) if !open.is_empty() => {
                    let i = i % open.len();
                    open[i].2 = true;
                    dispatcher.answer_began(now, open[i].0, SECOND / 50, &mut rng);
                }
                Step::End(i, kind) if !open.is_empty() => {
                    let it = open.swap_remove(i % open.len());
                    dispatcher.release(now, it.0, kind, SECOND / 50, &mut rng);
                }
                Step::Vanish(i) if !open.is_empty() => {
                    let i = i % open.len();
                    open.swap_remove(i);
                }
                Step::Wait(ms) => now = now + Duration::from_millis(ms),
                _ => {}
            }
            dispatcher.tick(now, &mut rng);
            open.iter().for_each(|(id, ..)| dispatcher.renew(now, *id));
            for endpoint in 0..3 {
                let at_work = open.iter().filter(|it| it.1 == endpoint && !it.2).count();
                prop_assert!(at_work <= 3, "{at_work} at endpoint {endpoint}");
            }
        }
        dispatcher.tick(now + SECOND * 7, &mut rng);
        let occupancy = dispatcher.occupancy(now + SECOND * 7);
        prop_assert_eq!((occupancy.in_use, occupancy.in_transit), (0, 0));
    }
}
