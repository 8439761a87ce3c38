//! Overload: which requests are served, and which ones wait without success.

use std::collections::BTreeMap;
use std::time::Duration;

use expect_test::{Expect, expect};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use resources::Bias;

use super::fixture::{BUDGET, SECOND, TERMS, ask, service};
use crate::{
    Ask, Contention, DispatchOptions, Dispatcher, Kind, NodeId, Notice, PermitId, RateLimit, Reply,
    Time,
};

const MS: u64 = 1_000;
const TIME_LIMIT: Duration = Duration::from_secs(3);

/// Load on sixteen endpoints of three slots.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// Requests a second.
    rate: f64,
    /// Mean time that an endpoint works on a request.
    work: Duration,
    /// Rate limit that each endpoint advertises.
    limit: Option<f64>,
    /// Length of a burst with three times the rate, in milliseconds.
    burst: Option<u64>,
}

/// Results for callers.
#[derive(Clone, Copy, Debug, Default)]
struct Results {
    asked: u32,
    in_time: u32,
    late: u32,
    /// Sent with less time left than the work takes.
    broken_off: u32,
    refused_at_once: u32,
    /// Refused after a wait of more than a tenth of a second.
    held: u32,
}

fn play(load: Load, contention: Contention, seed: u64) -> Results {
    let mut rng = StdRng::seed_from_u64(seed);
    let service = service(&[6, 5, 5], 8, Bias::Balanced);
    let mut it = Dispatcher::new(Time(0), &service, &[TERMS], BUDGET);
    it.set_options(DispatchOptions::default().contention(contention));
    let limit = load.limit.and_then(RateLimit::from_per_second);
    for endpoint in &service.endpoints {
        it.noticed(Time(0), NodeId(1), &endpoint.id, 0, Notice::RateLimit(limit));
    }
    let mut results = Results::default();
    let mut asked: BTreeMap<PermitId, Time> = BTreeMap::new();
    let mut ends: BTreeMap<(Time, u64), (PermitId, Kind, Duration)> = BTreeMap::new();
    let mut next_ask = Time(0);
    let mut seq = 0;
    for ms in (0..20_000).step_by(5) {
        let now = Time(ms * MS);
        let mut replies: Vec<(PermitId, Reply)> = Vec::new();
        while next_ask <= now {
            let is_burst = load.burst.is_some_and(|it| (5_000..5_000 + it).contains(&ms));
            let rate = if is_burst { 3.0 * load.rate } else { load.rate };
            next_ask = next_ask + SECOND.mul_f64(rng.random_range(0.0..2.0) / rate);
            seq += 1;
            let ask = Ask { left: TIME_LIMIT, repeatable: false, ..ask(seq, true) };
            let id = ask.id;
            asked.insert(id, now);
            results.asked += 1;
            replies.push((id, it.ask(now, ask, &mut rng)));
        }
        while let Some(entry) = ends.first_entry().filter(|it| it.key().0 <= now) {
            let (id, kind, took) = entry.remove();
            let settled = it.release(now, id, kind, took, &mut rng);
            replies.extend(settled.into_iter().map(|it| (it.id, it.reply)));
        }
        replies.extend(it.take_evicted().into_iter().map(|it| (it.id, it.reply)));
        if ms % 100 == 0 {
            replies.extend(it.tick(now, &mut rng).into_iter().map(|it| (it.id, it.reply)));
            ends.values().for_each(|(id, ..)| it.renew(now, *id));
        }
        for (id, reply) in replies {
            let waited = now.since(asked[&id]);
            let left = TIME_LIMIT.saturating_sub(waited);
            let work = load.work.mul_f64(rng.random_range(0.5..1.5));
            match reply {
                Reply::Granted(_) if work > left => {
                    results.broken_off += 1;
                    ends.insert((now + left, id.seq), (id, Kind::TimedOut, left));
                }
                Reply::Granted(_) => {
                    let is_in_time = waited + work <= SECOND;
                    results.in_time += u32::from(is_in_time);
                    results.late += u32::from(!is_in_time);
                    ends.insert((now + work, id.seq), (id, Kind::Answered, work));
                }
                Reply::Queued => {}
                _ if waited > SECOND / 10 => results.held += 1,
                _ => results.refused_at_once += 1,
            }
        }
    }
    results
}

const SUSTAINED: Load =
    Load { rate: 220.0, work: Duration::from_millis(240), limit: None, burst: None };

/// Means over a few seeds, in percent of the requests.
fn shares(load: Load, contention: Contention, seeds: u64) -> [f64; 4] {
    let all: Vec<Results> = (1..=seeds).map(|seed| play(load, contention, seed)).collect();
    let asked: u32 = all.iter().map(|it| it.asked).sum();
    let share = |f: fn(&Results) -> u32| {
        100.0 * f64::from(all.iter().map(f).sum::<u32>()) / f64::from(asked)
    };
    [
        share(|it| it.in_time),
        share(|it| it.late),
        share(|it| it.refused_at_once),
        share(|it| it.held + it.broken_off),
    ]
}

#[track_caller]
fn check(load: Load, expect: Expect) {
    let [in_time, late, refused, held] = shares(load, Contention::Queue, 4);
    let text =
        format!("in time {in_time:.0}, late {late:.0}, refused {refused:.0}, held {held:.0}");
    expect.assert_eq(&text);
    check_ranked(load);
}

/// Seeds of a comparison. The means of either decision vary by 0.2 percent points among as many.
const COMPARED_SEEDS: u64 = 16;
/// Differences of a comparison that are noise, in percent points.
const NOISE: f64 = 0.4;

/// Guards against a rank that costs more than it gives where no request ranks before another: all
/// have the same priority, and the organisations ask for the same.
#[track_caller]
fn check_ranked(load: Load) {
    let [in_time, late, _, held] = shares(load, Contention::Ranked, COMPARED_SEEDS);
    let [queue_in_time, queue_late, _, queue_held] =
        shares(load, Contention::Queue, COMPARED_SEEDS);
    assert!(in_time > queue_in_time - NOISE, "in time {in_time} of {queue_in_time}");
    let (served, queue_served) = (in_time + late, queue_in_time + queue_late);
    assert!(served > queue_served - NOISE, "served {served} of {queue_served}");
    assert!(held < queue_held + NOISE, "held {held}, before {queue_held}");
}

#[test]
fn while_too_much_comes_for_long_most_that_are_served_are_in_time() {
    check(SUSTAINED, expect!["in time 87, late 3, refused 8, held 0"]);
    check(Load { rate: 300.0, ..SUSTAINED }, expect!["in time 60, late 6, refused 33, held 0"]);
}

#[test]
fn while_rate_limits_leave_too_little_most_that_are_served_are_in_time() {
    let limited = Load { rate: 63.0, ..SUSTAINED };
    check(Load { limit: Some(2.0), ..limited }, expect!["in time 44, late 5, refused 49, held 0"]);
    check(Load { limit: Some(3.5), ..limited }, expect!["in time 84, late 4, refused 10, held 0"]);
}

#[test]
fn a_short_burst_waits_rather_than_being_refused() {
    let steady = Load { rate: 150.0, ..SUSTAINED };
    check(steady, expect!["in time 100, late 0, refused 0, held 0"]);
    check(Load { burst: Some(500), ..steady }, expect!["in time 100, late 0, refused 0, held 0"]);
    check(Load { burst: Some(1_000), ..steady }, expect!["in time 89, late 8, refused 3, held 0"]);
    check(
        Load { burst: Some(2_000), ..steady },
        expect!["in time 78, late 12, refused 10, held 0"],
    );
}
