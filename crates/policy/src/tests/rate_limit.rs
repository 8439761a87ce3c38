//! Sends to endpoints under a rate limit.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use resources::{Bias, Service, Standing};

use super::fixture::{BUDGET, SECOND, TERMS, ask, service};
use crate::rate_limit::Pacer;
use crate::{
    Ask, Dispatcher, Kind, NodeId, Notice, ObservedLimit, Precedence, RateLimit, Reply, Time,
};

const MS: u64 = 1_000;
const WORK: Duration = Duration::from_millis(100);

fn at(ms: u64) -> Time {
    Time(ms * MS)
}

fn limit(per_s: f64) -> Option<RateLimit> {
    RateLimit::from_per_second(per_s)
}

fn dispatcher(service: &Service) -> (Dispatcher, StdRng) {
    (Dispatcher::new(at(0), service, &[TERMS], BUDGET), StdRng::seed_from_u64(1))
}

/// A dispatcher of a single endpoint with three slots that states a limit.
fn limited(per_s: f64) -> (Dispatcher, StdRng) {
    let service = service(&[1], 1, Bias::Balanced);
    let (mut it, rng) = dispatcher(&service);
    assert!(it.noticed(at(0), NodeId(1), "i-1000", 0, Notice::RateLimit(limit(per_s))));
    (it, rng)
}

/// Times of the grants, in milliseconds, for `rate` requests a second that take `WORK` and may
/// wait.
fn grants(it: &mut Dispatcher, rng: &mut StdRng, rate: u64, from_ms: u64, to_ms: u64) -> Vec<u64> {
    let mut granted = Vec::new();
    let mut open = BTreeMap::new();
    for ms in (from_ms..to_ms).step_by(10) {
        let now = at(ms);
        let mut replies = Vec::new();
        if (ms * rate / 1_000) > (ms.saturating_sub(10) * rate / 1_000) {
            let ask = ask(ms + 1, true);
            let id = ask.id;
            replies.push((id, it.ask(now, ask, rng)));
        }
        let done: Vec<_> = open.iter().filter(|(_, at)| now.since(**at) >= WORK).collect();
        let done: Vec<_> = done.into_iter().map(|(id, _)| *id).collect();
        for id in done {
            open.remove(&id);
            let settled = it.release(now, id, Kind::Answered, WORK, rng);
            replies.extend(settled.into_iter().map(|it| (it.id, it.reply)));
        }
        if ms % 100 == 0 {
            replies.extend(it.tick(now, rng).into_iter().map(|it| (it.id, it.reply)));
        }
        for (id, reply) in replies {
            if let Reply::Granted(_) = reply {
                open.insert(id, now);
                granted.push(ms);
            }
        }
    }
    granted
}

#[test]
fn a_limited_endpoint_gets_its_rate_and_no_more() {
    for per_s in [0.5, 2.0, 8.0] {
        let (mut it, mut rng) = limited(per_s);
        let granted = grants(&mut it, &mut rng, 30, 0, 20_000).len() as f64;
        let allowed = per_s * 20.0;
        assert!((allowed * 0.9 - 1.0..=allowed + 2.0).contains(&granted), "{per_s}: {granted}");
    }
}

#[test]
fn a_limit_of_zero_still_allows_sends_that_show_its_end() {
    let (mut it, mut rng) = limited(0.0);
    let granted = grants(&mut it, &mut rng, 30, 0, 20_000);
    assert!((3..=6).contains(&granted.len()), "{granted:?}");
}

#[test]
fn a_limit_ends_with_the_answer_that_states_none() {
    let (mut it, mut rng) = limited(0.5);
    grants(&mut it, &mut rng, 30, 0, 4_000);
    assert!(it.noticed(at(4_000), NodeId(1), "i-1000", 0, Notice::RateLimit(None)));
    let granted = grants(&mut it, &mut rng, 20, 4_000, 6_000);
    assert!(granted.len() > 35, "{}", granted.len());
}

#[test]
fn the_next_incarnation_of_an_endpoint_has_no_limit() {
    let mut service = service(&[1], 1, Bias::Balanced);
    let (mut it, _) = dispatcher(&service);
    it.noticed(at(0), NodeId(1), "i-1000", 0, Notice::RateLimit(limit(1.0)));
    service.endpoints[0].started_ms += 1_000;
    it.reconfigure(at(1_000), &service, &[TERMS]);
    assert_eq!(it.evidence_of(at(1_000), 0).rate_limit, None);
}

#[test]
fn work_beyond_a_limit_goes_to_the_other_endpoints() {
    let service = service(&[2, 2], 2, Bias::Balanced);
    let (mut it, mut rng) = dispatcher(&service);
    it.noticed(at(0), NodeId(1), "i-1000", 0, Notice::RateLimit(limit(1.0)));
    let granted = grants(&mut it, &mut rng, 50, 0, 10_000);
    assert_eq!((granted.len(), it.queued()), (499, 0), "no request waits for the limited endpoint");
}

#[test]
fn requests_beyond_a_limit_are_refused_at_once() {
    let (mut it, mut rng) = limited(1.0);
    let ask_at = |it: &mut Dispatcher, rng: &mut StdRng, seq| {
        it.ask(at(1_000), Ask { left: 2 * SECOND, ..ask(seq, true) }, rng)
    };
    let replies: Vec<Reply> = (0..6).map(|seq| ask_at(&mut it, &mut rng, seq)).collect();
    let text: Vec<String> = replies
        .iter()
        .map(|it| match it {
            Reply::Granted(_) => "granted".into(),
            Reply::Queued => "queued".into(),
            Reply::Refused { retry_after } => format!("refused {} s", retry_after.as_secs_f64()),
            it => format!("{it:?}"),
        })
        .collect();
    expect_test::expect![[r#"
        granted
        queued
        refused 2 s
        refused 2 s
        refused 2 s
        refused 2 s"#]]
    .assert_eq(&text.join("\n"));
}

#[test]
fn a_successor_follows_the_limits_that_askers_observed() {
    let service = service(&[1], 1, Bias::Balanced);
    let (mut it, mut rng) = dispatcher(&service);
    let observed = ObservedLimit {
        endpoint: service.endpoints[0].addr,
        limit: limit(1.0).unwrap(),
        age_ms: 100,
        sent_ms: Some(400),
    };
    let with_limit = |seq| Ask { limits: vec![observed], wait: false, ..ask(seq, true) };
    assert_eq!(it.ask(at(5_000), with_limit(0), &mut rng), Reply::Full);
    assert_eq!(it.ask(at(5_900), ask(1, false), &mut rng), Reply::Full);
    assert!(matches!(it.ask(at(6_000), ask(2, false), &mut rng), Reply::Granted(_)));
}

#[test]
fn an_older_limit_of_an_asker_overrides_no_newer_one() {
    let service = service(&[1], 1, Bias::Balanced);
    let (mut it, mut rng) = dispatcher(&service);
    it.noticed(at(5_000), NodeId(1), "i-1000", 0, Notice::RateLimit(None));
    let observed = ObservedLimit {
        endpoint: service.endpoints[0].addr,
        limit: limit(1.0).unwrap(),
        age_ms: 300,
        sent_ms: None,
    };
    it.ask(at(5_100), Ask { limits: vec![observed], ..ask(0, true) }, &mut rng);
    assert_eq!(it.evidence_of(at(5_100), 0).rate_limit, None);
}

#[test]
fn nodes_that_pick_for_themselves_share_a_limit() {
    let (mut it, mut rng) = limited(2.0);
    it.set_nodes(10);
    it.set_precedence(Precedence::OneOfMany);
    let granted = grants(&mut it, &mut rng, 30, 0, 20_000).len();
    assert!((3..=6).contains(&granted), "{granted}");
}

#[test]
fn a_node_that_becomes_the_first_choice_uses_the_limit_at_once() {
    let (mut it, mut rng) = limited(2.0);
    it.set_nodes(36);
    it.set_precedence(Precedence::OneOfMany);
    grants(&mut it, &mut rng, 30, 0, 20_000);
    it.set_precedence(Precedence::First);
    let granted = grants(&mut it, &mut rng, 30, 20_000, 24_000).len();
    assert!((7..=10).contains(&granted), "{granted} where 8 are allowed");
}

proptest! {
    #[test]
    fn sends_keep_to_the_limit_in_every_window(
        per_s in 0.0..20.0_f64,
        pauses in prop::collection::vec(0..2_000_u64, 1..200),
    ) {
        let mut pacer = Pacer::default();
        pacer.observe(at(0), at(0), limit(per_s));
        let mut now = at(0);
        let mut sent = Vec::new();
        for pause in pauses {
            now = now + Duration::from_millis(pause);
            if pacer.allows(now, 1) {
                pacer.sent(now, 1);
                sent.push(now);
            }
        }
        for (i, from) in sent.iter().enumerate() {
            for (n, to) in sent[i..].iter().enumerate() {
                let allowed = per_s.max(0.25) * to.seconds_since(*from) + 2.0;
                prop_assert!((n + 1) as f64 <= allowed + 1e-6);
            }
        }
    }
}

/// A service whose endpoints handle four requests a second while they are cold.
fn cold(warm_up_ms: u32) -> Service {
    let mut it = service(&[2], 1, Bias::Balanced);
    it.cold_rate_per_s = 4.0;
    it.warm_up_ms = 3_000;
    it.endpoints[0].warm_up_ms = warm_up_ms;
    it
}

/// How many of 60 requests a second, all answered at once, go to the first endpoint.
fn sends_a_second(it: &mut Dispatcher, rng: &mut StdRng, from_s: u64, seconds: u64) -> Vec<usize> {
    let mut sends = Vec::new();
    for s in from_s..from_s + seconds {
        let mut n = 0;
        for i in 0..60 {
            let now = at(s * 1_000 + i * 16);
            let ask = ask(s * 100 + i, true);
            let id = ask.id;
            let Reply::Granted(grant) = it.ask(now, ask, rng) else { continue };
            n += usize::from(grant.endpoint == "i-1000");
            it.release(now, id, Kind::Answered, Duration::from_millis(1), rng);
        }
        sends.push(n);
    }
    sends
}

/// An endpoint may become cold again at any time and is then limited until it is warm.
#[test]
fn a_cold_endpoint_gets_its_cold_rate_until_it_is_warm() {
    let warm = cold(0);
    let (mut it, mut rng) = dispatcher(&warm);
    assert!(sends_a_second(&mut it, &mut rng, 0, 1)[0] > 20);
    it.reconfigure(at(1_000), &cold(2_000), &[TERMS]);
    let sends = sends_a_second(&mut it, &mut rng, 1, 3);
    assert!((2..=5).contains(&sends[0]) && (2..=5).contains(&sends[1]), "{sends:?}");
    assert!(sends[2] > 20, "{sends:?}");
    // The registry repeats its statement, which does not make the endpoint cold again.
    it.reconfigure(at(4_000), &cold(2_000), &[TERMS]);
    assert!(sends_a_second(&mut it, &mut rng, 4, 1)[0] > 20);
}

#[test]
fn endpoints_that_were_evacuated_come_back_as_cold_ones() {
    let mut evacuated = cold(0);
    evacuated.endpoints[0].standing = Standing::Evacuated;
    let (mut it, mut rng) = dispatcher(&evacuated);
    assert_eq!(sends_a_second(&mut it, &mut rng, 0, 1), [0]);
    it.reconfigure(at(1_000), &cold(0), &[TERMS]);
    let sends = sends_a_second(&mut it, &mut rng, 1, 4);
    assert!(sends[..3].iter().all(|it| (2..=5).contains(it)), "{sends:?}");
    assert!(sends[3] > 20, "{sends:?}");
}

/// A node that dispatches only for itself does not know the sends of the others.
#[test]
fn nodes_that_pick_for_themselves_share_the_rate_of_a_cold_endpoint() {
    let service = cold(3_000);
    let mut sends = 0;
    for node in 0..20 {
        let (mut it, mut rng) = dispatcher(&service);
        it.set_precedence(Precedence::OneOfMany);
        it.set_nodes(20);
        let all = sends_a_second(&mut it, &mut rng, 0, 3);
        sends += all.iter().sum::<usize>();
        assert!(all.iter().all(|it| *it <= 1), "{node}: {all:?}");
    }
    assert!(sends <= 20, "{sends} in three seconds");
}
