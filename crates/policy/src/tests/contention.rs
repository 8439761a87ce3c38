//! Contention: who is served while callers ask for more than a service can do. Each load is
//! replayed against the ranked decision and against the one by the length of the queue; the rules of
//! the rank are tested one by one.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use resources::{Bias, Priority, Service};

use super::fixture::{BUDGET, SECOND, TERMS, ask, service};
use crate::{
    Ask, Contention, DispatchOptions, Dispatcher, Kind, PermitId, QueuedReply, Reply, RequestKey,
    RouteTerms, SendKind, Time,
};

const MS: u64 = 1_000;
/// Length of a play.
const PLAY_MS: u64 = 14_000;
/// The part of a play in which the load is a multiple of the usual one.
const BURST_MS: std::ops::Range<u64> = 4_000..9_000;
/// Share of the objective after which a refusal counts as late: the caller would have been better
/// off with a refusal at once.
const HELD_SHARE: f64 = 0.25;

/// Requests of one route.
#[derive(Clone, Debug)]
struct Stream {
    priority: u8,
    work: Duration,
    objective: Duration,
    deadline: Duration,
    /// Usual requests a second.
    rate: f64,
    /// Factor on the rate during the burst.
    burst: f64,
    /// Organisations that send the requests.
    organisations: std::ops::Range<u64>,
    /// Share of the callers that come back at once and often, whatever they are told.
    insistent: f64,
}

/// Time after which an insistent caller comes back.
const INSISTENT_AFTER: Duration = Duration::from_millis(250);
/// Callers come back after as much as this share of the time that they have left.
const PATIENT_SHARE: f64 = 1.0 / 3.0;

/// One attempt of a caller.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    /// Time of the first attempt.
    first: Time,
    asked: Time,
    stream: usize,
    organisation: u64,
    key: RequestKey,
    is_insistent: bool,
}

/// Results of the requests of one group that arrived during the burst.
#[derive(Clone, Copy, Debug, Default)]
struct Results {
    asked: u32,
    in_time: u32,
    late: u32,
    /// Refused after a wait of more than a quarter of the objective.
    held: u32,
    /// Sent with less time left than the work takes.
    broken_off: u32,
}

impl Results {
    fn percent(self, of: u32) -> f64 {
        100.0 * f64::from(of) / f64::from(self.asked.max(1))
    }
}

/// 97 endpoints with 6 slots.
fn large_service() -> Service {
    Service { slots: 6, ..service(&[33, 32, 32], 20, Bias::Balanced) }
}

/// Replays the streams, and returns the results of each and the number of requests served in all.
fn play(streams: &[Stream], contention: Contention, seed: u64) -> (Vec<Results>, u32) {
    let mut rng = StdRng::seed_from_u64(seed);
    let terms: Vec<RouteTerms> = (0..streams.len())
        .map(|i| RouteTerms { id: i as u32, objective: streams[i].objective, share: 1.0 })
        .collect();
    let mut it = Dispatcher::new(Time(0), &large_service(), &terms, BUDGET);
    it.set_options(DispatchOptions::default().contention(contention));
    let mut results = vec![Results::default(); streams.len()];
    let mut served = 0;
    let mut attempts: BTreeMap<PermitId, Attempt> = BTreeMap::new();
    let mut returns: BTreeMap<(Time, u64), Attempt> = BTreeMap::new();
    let mut ends: BTreeMap<(Time, u64), (PermitId, Kind, Duration)> = BTreeMap::new();
    let mut next_ask = vec![Time(0); streams.len()];
    let mut seq = 0;
    for ms in (0..PLAY_MS).step_by(5) {
        let now = Time(ms * MS);
        let mut replies: Vec<(PermitId, Reply)> = Vec::new();
        let mut arrivals: Vec<Attempt> = Vec::new();
        for (i, stream) in streams.iter().enumerate() {
            while next_ask[i] <= now {
                let is_burst = BURST_MS.contains(&ms);
                let rate = if is_burst { stream.rate * stream.burst } else { stream.rate };
                let gap = Duration::from_secs_f64(rng.random_range(0.0..2.0) / rate);
                next_ask[i] = next_ask[i] + gap;
                results[i].asked += u32::from(is_burst);
                arrivals.push(Attempt {
                    first: now,
                    asked: now,
                    stream: i,
                    organisation: rng.random_range(stream.organisations.clone()),
                    key: RequestKey(rng.random()),
                    is_insistent: stream.insistent > 0.0 && rng.random_bool(stream.insistent),
                });
            }
        }
        while let Some(entry) = returns.first_entry().filter(|it| it.key().0 <= now) {
            arrivals.push(Attempt { asked: now, ..entry.remove() });
        }
        for attempt in arrivals {
            let stream = &streams[attempt.stream];
            seq += 1;
            let ask = Ask {
                route: attempt.stream as u32,
                request: attempt.key,
                priority: Priority(stream.priority),
                organisation: attempt.organisation,
                left: stream.deadline.saturating_sub(now.since(attempt.first)),
                objective: stream.objective,
                ..ask(seq, true)
            };
            let id = ask.id;
            attempts.insert(id, attempt);
            replies.push((id, it.ask(now, ask, &mut rng)));
            replies.extend(it.take_evicted().into_iter().map(|it| (it.id, it.reply)));
        }
        while let Some(entry) = ends.first_entry().filter(|it| it.key().0 <= now) {
            let (id, kind, took) = entry.remove();
            let settled = it.release(now, id, kind, took, &mut rng);
            replies.extend(settled.into_iter().map(|it| (it.id, it.reply)));
        }
        if ms % 100 == 0 {
            replies.extend(it.tick(now, &mut rng).into_iter().map(|it| (it.id, it.reply)));
            ends.values().for_each(|(id, ..)| it.renew(now, *id));
        }
        for (id, reply) in replies {
            let attempt = attempts[&id];
            let stream = &streams[attempt.stream];
            let waited = now.since(attempt.first);
            let left = stream.deadline.saturating_sub(waited);
            let work = stream.work.mul_f64(rng.random_range(0.5..1.5));
            let mut ignored = Results::default();
            let result = match BURST_MS.contains(&(attempt.first.0 / MS)) {
                true => &mut results[attempt.stream],
                false => &mut ignored,
            };
            match reply {
                Reply::Granted(_) if work > left => {
                    result.broken_off += 1;
                    ends.insert((now + left, id.seq), (id, Kind::TimedOut, left));
                }
                Reply::Granted(_) => {
                    let is_in_time = waited + work <= stream.objective;
                    result.in_time += u32::from(is_in_time);
                    result.late += u32::from(!is_in_time);
                    served += 1;
                    ends.insert((now + work, id.seq), (id, Kind::Answered, work));
                }
                Reply::Queued => {}
                Reply::Refused { retry_after } => {
                    let after = if attempt.is_insistent { INSISTENT_AFTER } else { retry_after };
                    let is_held = now.since(attempt.asked) > stream.objective.mul_f64(HELD_SHARE);
                    result.held += u32::from(is_held);
                    if after <= left.mul_f64(PATIENT_SHARE) {
                        returns.insert((now + after, id.seq), attempt);
                    }
                }
                other => panic!("{other:?}"),
            }
        }
    }
    (results, served)
}

/// The results of one decision: those of each stream, in percent, and all requests served.
#[derive(Debug)]
struct Outcome {
    in_time: Vec<f64>,
    held: Vec<f64>,
    broken_off: Vec<f64>,
    total: u32,
}

/// Seeds of a play.
const SEEDS: u64 = 2;

fn outcome(streams: &[Stream], contention: Contention) -> Outcome {
    let (mut sums, mut total) = (vec![Results::default(); streams.len()], 0);
    for seed in 1..=SEEDS {
        let (results, served) = play(streams, contention, seed);
        total += served;
        for (sum, it) in sums.iter_mut().zip(results) {
            sum.asked += it.asked;
            sum.in_time += it.in_time;
            sum.late += it.late;
            sum.held += it.held;
            sum.broken_off += it.broken_off;
        }
    }
    let percent = |f: fn(&Results) -> u32| sums.iter().map(|it| it.percent(f(it))).collect();
    let outcome = Outcome {
        in_time: percent(|it| it.in_time),
        held: percent(|it| it.held),
        broken_off: percent(|it| it.broken_off),
        total,
    };
    println!("{contention:?}: {outcome:.1?}");
    outcome
}

const ORGANISATIONS: u64 = 82;

/// Requests of the highest priority, whose rate does not change.
const INTERACTIVE: Stream = Stream {
    priority: 0,
    work: Duration::from_millis(380),
    objective: Duration::from_millis(1_500),
    deadline: Duration::from_secs(10),
    rate: 500.0,
    burst: 1.0,
    organisations: 0..ORGANISATIONS,
    insistent: 0.0,
};

/// Requests of the lowest priority, with a burst.
const BULK: Stream = Stream {
    priority: 2,
    work: Duration::from_millis(1_200),
    objective: Duration::from_secs(8),
    deadline: Duration::from_secs(20),
    rate: 200.0,
    burst: 2.4,
    organisations: 0..ORGANISATIONS,
    insistent: 0.0,
};

/// Least share of the requests that capacity suffices for that are served in time.
const MOST: f64 = 99.0;
/// Greatest share of a burst that is refused late, or broken off, in percent.
const FEW: f64 = 1.0;
/// Differences in the number of requests served that are noise.
const NOISE: f64 = 0.005;

#[track_caller]
fn check_not_worse(ranked: &Outcome, queue: &Outcome) {
    let least = f64::from(queue.total) * (1.0 - NOISE);
    assert!(f64::from(ranked.total) >= least, "{} served of {}", ranked.total, queue.total);
    assert!(ranked.held.iter().all(|it| *it <= FEW), "{ranked:?}");
    assert!(ranked.broken_off.iter().all(|it| *it <= FEW), "{ranked:?}");
}

/// A burst of a low priority must not cost the highest priority anything.
#[test]
fn a_burst_of_a_low_priority_does_not_push_the_highest_one_out() {
    let streams = [INTERACTIVE, BULK];
    let ranked = outcome(&streams, Contention::Ranked);
    let queue = outcome(&streams, Contention::Queue);
    check_not_worse(&ranked, &queue);
    assert!(ranked.in_time[0] >= MOST, "{ranked:?}");
    assert!(ranked.in_time[1] >= queue.in_time[1] * (1.0 - NOISE), "{ranked:?}, before {queue:?}");
}

/// An organisation that sends 6.6 times its usual rate must not cost the others anything.
#[test]
fn an_organisation_that_sends_too_much_costs_the_others_nothing() {
    let usual = Stream {
        priority: 1,
        work: Duration::from_millis(600),
        objective: Duration::from_secs(2),
        deadline: Duration::from_secs(10),
        rate: 720.0,
        burst: 1.0,
        organisations: 1..ORGANISATIONS,
        insistent: 0.0,
    };
    let streams = [Stream { rate: 80.0, burst: 6.6, organisations: 0..1, ..usual.clone() }, usual];
    let ranked = outcome(&streams, Contention::Ranked);
    let queue = outcome(&streams, Contention::Queue);
    check_not_worse(&ranked, &queue);
    assert!(ranked.in_time[1] >= MOST, "{ranked:?}");
}

/// Callers who come back at once and often must not cost those who come back when they are told.
#[test]
fn callers_that_come_back_at_once_gain_nothing_over_the_others() {
    let usual = Stream {
        priority: 1,
        work: Duration::from_millis(600),
        objective: Duration::from_secs(2),
        deadline: Duration::from_secs(10),
        rate: 500.0,
        burst: 2.0,
        organisations: 0..ORGANISATIONS * 2 / 3,
        insistent: 0.0,
    };
    let insistent = Stream {
        rate: usual.rate / 2.0,
        organisations: ORGANISATIONS * 2 / 3..ORGANISATIONS,
        insistent: 1.0,
        ..usual.clone()
    };
    let streams = [usual, insistent];
    let ranked = outcome(&streams, Contention::Ranked);
    let queue = outcome(&streams, Contention::Queue);
    check_not_worse(&ranked, &queue);
    assert!(ranked.in_time[0] >= ranked.in_time[1], "{ranked:?}");
    assert!(ranked.in_time[0] > queue.in_time[0], "{ranked:?}, before {queue:?}");
}

/// A dispatcher of one endpoint with three slots, which are in use.
struct Full {
    it: Dispatcher,
    rng: StdRng,
}

impl Full {
    /// The holders of the slots belong to these organisations.
    fn new(holders: [u64; 3]) -> Self {
        let (rng, service) = (StdRng::seed_from_u64(1), service(&[1], 1, Bias::Speed));
        let mut full = Self { it: Dispatcher::new(Time(0), &service, &[TERMS], BUDGET), rng };
        full.it.set_options(DispatchOptions::default().contention(Contention::Ranked));
        for (seq, organisation) in holders.into_iter().enumerate() {
            let reply = full.ask(0, Ask { organisation, ..ask(seq as u64, true) });
            assert!(matches!(reply, Reply::Granted(_)), "{reply:?}");
        }
        full
    }

    fn ask(&mut self, ms: u64, ask: Ask) -> Reply {
        self.it.ask(Time(ms * MS), ask, &mut self.rng)
    }

    /// Ends a request; returns what happens to the others.
    fn release(&mut self, ms: u64, id: PermitId) -> Vec<QueuedReply> {
        let held = Duration::from_millis(100);
        self.it.release(Time(ms * MS), id, Kind::Answered, held, &mut self.rng)
    }

    /// The numbers of the granted requests while slots come free every ten milliseconds.
    fn order(&mut self, holders: u64) -> Vec<u64> {
        let mut held: std::collections::VecDeque<u64> = (0..holders).collect();
        let mut order = Vec::new();
        let mut ms = 10;
        while let Some(seq) = held.pop_front() {
            for it in self.release(ms, ask(seq, true).id) {
                if matches!(it.reply, Reply::Granted(_)) {
                    order.push(it.id.seq);
                    held.push_back(it.id.seq);
                }
            }
            ms += 10;
        }
        order
    }
}

/// A patient ask that waits in the tests of the order.
fn patient(seq: u64, priority: u8, organisation: u64) -> Ask {
    let long = Duration::from_secs(60);
    let priority = Priority(priority);
    Ask { priority, organisation, left: long, objective: long, ..ask(seq, true) }
}

/// Guards against fairness that only counts what the queue served: an organisation whose requests
/// never had to wait held all slots and still came first.
#[test]
fn the_queue_is_in_the_order_of_what_organisations_hold() {
    let mut full = Full::new([1, 1, 1]);
    for it in [patient(10, 0, 1), patient(11, 0, 2), patient(12, 0, 2), patient(13, 0, 3)] {
        assert_eq!(full.ask(1, it), Reply::Queued);
    }
    // When the last of its slots has come free, organisation 1 holds nothing.
    assert_eq!(full.order(3), [11, 13, 10, 12]);
}

/// Guards against a queue in which a lower priority stands before a higher one.
#[test]
fn a_higher_priority_is_always_served_first() {
    let mut full = Full::new([1, 1, 1]);
    for it in [patient(10, 2, 2), patient(11, 1, 3), patient(12, 0, 1), patient(13, 0, 1)] {
        assert_eq!(full.ask(1, it), Reply::Queued);
    }
    assert_eq!(full.order(3), [12, 13, 11, 10]);
}

/// The bound against starvation: an organisation that holds nothing is next within its priority, so
/// that it waits for at most one grant of every other organisation that holds nothing.
#[test]
fn an_organisation_that_holds_nothing_is_next_within_its_priority() {
    let mut full = Full::new([1, 1, 1]);
    for seq in 10..30 {
        assert_eq!(full.ask(1, Ask { weight: u32::MAX, ..patient(seq, 1, 1) }), Reply::Queued);
    }
    for organisation in 2..5 {
        assert_eq!(full.ask(2, patient(28 + organisation, 1, organisation)), Reply::Queued);
    }
    let order = full.order(3);
    assert_eq!(order[..3], [30, 31, 32]);
    assert_eq!(order.len(), 23);
}

/// Guards against weights that divide by zero, or give one organisation everything.
#[test]
fn a_weight_of_zero_counts_as_one() {
    let mut full = Full::new([1, 2, 3]);
    for seq in [10, 11] {
        full.ask(1, Ask { weight: 0, ..patient(seq, 0, 1) });
        full.ask(1, Ask { weight: 1, ..patient(seq + 10, 0, 2) });
    }
    let order = full.order(3);
    assert_eq!(order.len(), 4);
    assert!(order[..2].contains(&10) && order[..2].contains(&20), "{order:?}");
}

/// Guards against values of an ask that are zero or huge.
#[test]
fn any_time_limit_and_priority_gets_an_answer() {
    let limits = [Duration::ZERO, Duration::MAX, SECOND];
    let mut full = Full::new([1, 2, 3]);
    let mut seq = 10;
    for (left, objective) in limits.into_iter().flat_map(|a| limits.map(|b| (a, b))) {
        for priority in [0, u8::MAX] {
            seq += 1;
            let it = Ask { left, objective, priority: Priority(priority), ..ask(seq, true) };
            let reply = full.ask(1, it);
            assert!(matches!(reply, Reply::Queued | Reply::Refused { .. }), "{reply:?}");
        }
    }
    full.order(3);
}

/// Teaches the dispatcher that a request of the route takes 100 ms.
fn teach(full: &mut Full) {
    for seq in 0..3 {
        full.release(100, ask(seq, true).id);
        full.ask(100, patient(seq + 100, 0, seq));
    }
}

/// Guards against slots for requests that time out on them.
#[test]
fn a_request_that_cannot_finish_is_refused_on_arrival_and_while_it_waits() {
    let mut full = Full::new([1, 2, 3]);
    teach(&mut full);
    let short = |ms, seq| Ask { left: Duration::from_millis(ms), ..ask(seq, true) };
    let reply = full.ask(110, short(90, 10));
    assert!(matches!(reply, Reply::Refused { .. }), "{reply:?}");
    assert_eq!(full.ask(110, short(180, 11)), Reply::Queued);
    assert_eq!(full.ask(110, patient(12, 2, 9)), Reply::Queued);
    // 70 ms before the deadline, a slot comes free.
    let settled = full.release(220, ask(100, true).id);
    assert!(matches!(settled[0].reply, Reply::Refused { .. }), "{settled:?}");
    assert_eq!(settled[0].id.seq, 11);
    assert!(matches!(settled[1].reply, Reply::Granted(_)), "{settled:?}");
    let counts = full.it.take_counts();
    assert_eq!(counts.refusals[crate::Refusal::CannotFinish as usize], 2);
    assert_eq!((counts.by_priority[0].refused, counts.by_priority[2].queued), (2, 1));
}

/// Fills the queue with requests of a priority until one is refused; returns that one's number.
fn fill_queue(full: &mut Full, priority: u8, organisation: u64) -> u64 {
    (1_000..)
        .find(|seq| full.ask(1, patient(*seq, priority, organisation)) != Reply::Queued)
        .unwrap()
}

/// Guards against a full queue that refuses the highest priority.
#[test]
fn a_newcomer_of_a_higher_priority_takes_the_place_of_the_last() {
    let mut full = Full::new([1, 2, 3]);
    let refused = fill_queue(&mut full, 2, 1);
    let queued = full.it.queued();
    assert_eq!(full.ask(2, patient(10, 0, 1)), Reply::Queued);
    let evicted = full.it.take_evicted();
    assert_eq!(evicted.len(), 1);
    assert_eq!(evicted[0].id.seq, refused - 1, "the last of the queue");
    assert!(matches!(evicted[0].reply, Reply::Refused { .. }));
    assert_eq!(full.it.queued(), queued);
    assert_eq!(full.it.take_counts().by_priority[2].evicted, 1);
    // One of a lower priority evicts nothing.
    assert!(matches!(full.ask(2, patient(11, 3, 9)), Reply::Refused { .. }));
    assert!(full.it.take_evicted().is_empty());
}

/// Guards against a queue that one organisation fills, and that keeps all others out.
#[test]
fn an_organisation_that_holds_nothing_enters_a_full_queue() {
    let mut full = Full::new([1, 1, 1]);
    fill_queue(&mut full, 1, 1);
    assert_eq!(full.ask(500, patient(10, 1, 2)), Reply::Queued);
    assert_eq!(full.it.take_evicted().len(), 1);
    let own = full.ask(500, patient(11, 1, 1));
    assert!(matches!(own, Reply::Refused { .. }), "{own:?}");
}

/// Guards against repeat budget that stays reserved for an evicted send.
#[test]
fn an_evicted_send_returns_its_repeat_budget() {
    let mut full = Full::new([1, 2, 3]);
    let refused = fill_queue(&mut full, 2, 1);
    full.it.cancel(Time(MS), ask(refused - 1, true).id, &mut full.rng);
    // Many more than the budget allows at a time.
    for i in 0..200 {
        let further = Ask { send: SendKind::Further, ..patient(9_000 + 2 * i, 2, 1) };
        assert_eq!(full.ask(2, further.clone()), Reply::Queued, "repeat {i}");
        let newcomer = patient(9_001 + 2 * i, 0, 1);
        assert_eq!(full.ask(2, newcomer.clone()), Reply::Queued);
        assert_eq!(full.it.take_evicted()[0].id, further.id);
        full.it.cancel(Time(2 * MS), newcomer.id, &mut full.rng);
    }
    assert_eq!(full.it.take_counts().repeats_refused, 0);
}

/// An ask with a key of its own.
fn keyed(seq: u64, key: u64, organisation: u64) -> Ask {
    Ask { request: RequestKey(key), ..patient(seq, 1, organisation) }
}

/// Guards against refused callers that all come back at the same moment, and against an organisation
/// that is refused often being asked back as soon as the others.
#[test]
fn refused_requests_are_told_different_times_by_organisation() {
    let mut full = Full::new([1, 2, 3]);
    teach(&mut full);
    fill_queue(&mut full, 1, 1);
    let mut told = |seq, organisation| match full.ask(200, keyed(seq, seq, organisation)) {
        Reply::Refused { retry_after } => retry_after,
        other => panic!("{other:?}"),
    };
    let of_one: Vec<Duration> = (2_000..2_010).map(|seq| told(seq, 1)).collect();
    assert!(of_one.windows(2).all(|it| it[0] < it[1]), "{of_one:?}");
    // Three slots, three organisations and requests of 100 ms.
    let pace = (of_one[9] - of_one[0]) / 9;
    assert!((80..=120).contains(&pace.as_millis()), "{pace:?}");
}

/// Guards against requests that come back and take the places of first attempts.
#[test]
fn a_request_that_comes_back_displaces_no_first_attempt() {
    let mut full = Full::new([1, 1, 1]);
    let refused = fill_queue(&mut full, 1, 1);
    let refuse = |full: &mut Full, seq, key| {
        let reply = full.ask(2, keyed(seq, key, 1));
        assert!(matches!(reply, Reply::Refused { .. }), "{reply:?}");
    };
    refuse(&mut full, 5_000, 7);
    refuse(&mut full, 5_001, 8);
    // The same requests with an organisation that holds nothing, which would displace others.
    let reply = full.ask(3, keyed(5_002, 7, 2));
    assert!(matches!(reply, Reply::Refused { .. }), "{reply:?}");
    // Where there is room, it waits, and is the first to be displaced.
    full.it.cancel(Time(3 * MS), ask(refused - 1, true).id, &mut full.rng);
    assert_eq!(full.ask(3, keyed(5_003, 8, 2)), Reply::Queued);
    assert_eq!(full.ask(3, keyed(5_004, 9, 3)), Reply::Queued);
    assert_eq!(full.it.take_evicted()[0].id.seq, 5_003);
}

/// Guards against callers that gain by asking often.
#[test]
fn a_request_that_comes_back_early_is_charged_to_its_organisation() {
    let order = |comes_back: bool| {
        let mut full = Full::new([1, 2, 3]);
        teach(&mut full);
        fill_queue(&mut full, 2, 1);
        for i in 0..if comes_back { 20 } else { 0 } {
            let reply = full.ask(101 + i, Ask { priority: Priority(3), ..keyed(5_000 + i, 7, 1) });
            assert!(matches!(reply, Reply::Refused { .. }), "{reply:?}");
        }
        let early = full.it.take_counts().early_returns;
        assert_eq!(early, if comes_back { 19 } else { 0 });
        for (seq, organisation) in [(6_000, 1), (6_001, 2)] {
            full.ask(130, Ask { priority: Priority(0), ..keyed(seq, seq, organisation) });
        }
        let settled = full.release(140, ask(100, true).id);
        settled.iter().find(|it| matches!(it.reply, Reply::Granted(_))).map(|it| it.id.seq)
    };
    assert_eq!(order(false), Some(6_000));
    assert_eq!(order(true), Some(6_001));
}
