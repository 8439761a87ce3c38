//! Notices of endpoints: leaving, back-off and rate limits.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use resources::{Bias, Service, Standing};

use super::fixture::{BUDGET, SECOND, TERMS, ask, reporter, seen, service};
use crate::{Ask, Dispatcher, Kind, NodeId, Notice, RateLimit, Reply, SendKind, State, Time};

const BACK_OFF: Duration = Duration::from_secs(3);

fn dispatcher(service: &Service) -> (Dispatcher, StdRng) {
    (Dispatcher::new(Time(0), service, &[TERMS], BUDGET), StdRng::seed_from_u64(1))
}

/// An ask of `node` that does not wait.
fn ask_of(node: u64, seq: u64) -> Ask {
    Ask { reporter: reporter(node), ..ask(seq, false) }
}

#[test]
fn an_endpoint_that_advertises_that_it_leaves_gets_no_new_work() {
    let service = service(&[1], 1, Bias::Balanced);
    let (mut it, mut rng) = dispatcher(&service);
    assert!(it.noticed(Time(0), NodeId(1), "i-1000", 0, Notice::Leaving));
    for seconds in [0, 1, 5, 60] {
        let now = Time(0) + SECOND * seconds;
        assert_eq!(it.ask(now, ask_of(2, seconds.into()), &mut rng), Reply::Full);
    }
    it.reconfigure(Time(0) + SECOND, &service, &[TERMS]);
    assert_eq!(it.ask(Time(0) + SECOND, ask_of(2, 99), &mut rng), Reply::Full);
}

#[test]
fn an_endpoint_that_leaves_by_the_registry_is_closed() {
    let mut service = service(&[1], 1, Bias::Balanced);
    let (mut it, _) = dispatcher(&service);
    assert!(!it.is_closed(Time(0), NodeId(1), "i-1000", 0));
    service.endpoints[0].standing = Standing::Leaving;
    it.reconfigure(Time(0), &service, &[TERMS]);
    assert!(it.is_closed(Time(0), NodeId(1), "i-1000", 0));
    assert!(!it.is_closed(Time(0), NodeId(1), "i-1000", 1), "a later incarnation");
}

#[test]
fn a_node_that_is_asked_to_back_off_sends_nothing_until_that_is_over() {
    let (mut it, mut rng) = dispatcher(&service(&[1], 1, Bias::Balanced));
    it.noticed(Time(0), NodeId(1), "i-1000", 0, Notice::Backoff(BACK_OFF));
    for ms in [0, 500, 1_500, 2_900] {
        let now = Time(0) + Duration::from_millis(ms);
        assert_eq!(it.ask(now, ask_of(1, ms), &mut rng), Reply::Full, "{ms}");
    }
    assert!(matches!(it.ask(Time(0) + BACK_OFF, ask_of(1, 9), &mut rng), Reply::Granted(_)));
}

#[test]
fn what_an_endpoint_advertised_holds_when_its_entry_lapses_and_comes_back() {
    let there = service(&[2], 1, Bias::Balanced);
    let mut lapsed = there.clone();
    lapsed.endpoints.remove(0);
    let back_at = Time(0) + SECOND * 2;
    let after_a_lapse = |notice| {
        let (mut it, rng) = dispatcher(&there);
        it.noticed(Time(0), NodeId(1), "i-1000", 0, notice);
        it.reconfigure(Time(0) + SECOND, &lapsed, &[TERMS]);
        it.reconfigure(back_at, &there, &[TERMS]);
        (it, rng)
    };
    let (it, _) = after_a_lapse(Notice::Leaving);
    assert!(it.is_closed(back_at, NodeId(1), "i-1000", 0));
    assert_eq!(it.endpoints()[0].state, State::Leaving);
    let (it, _) = after_a_lapse(Notice::Backoff(BACK_OFF));
    assert!(it.is_closed(back_at, NodeId(1), "i-1000", 0));
    let limit = RateLimit::from_per_second(2.0);
    let (it, _) = after_a_lapse(Notice::RateLimit(limit));
    assert_eq!(it.evidence_of(back_at, 0).rate_limit, limit);
}

/// Health of an endpoint: name, number of failures, and milliseconds since then.
const HEALTH: [(&str, u64, u64); 4] =
    [("healthy", 0, 0), ("last choice", 1, 10), ("on trial", 6, 2_100), ("idle", 6, 5_000)];

/// Whether a send goes to the only endpoint, which has this health and may have sent a notice.
fn reaches((_, failures, ms): (&str, u64, u64), notice: Option<Notice>, ask: &Ask) -> bool {
    let (mut it, mut rng) = dispatcher(&service(&[1], 0, Bias::Speed));
    let soon = Duration::from_millis(5);
    (0..failures).for_each(|i| it.observe(Time(0), "i-1000", seen(i % 3, Kind::Failed, soon)));
    let now = Time(0) + Duration::from_millis(ms);
    it.tick(now, &mut rng);
    if let Some(notice) = notice {
        it.noticed(now, NodeId(1), "i-1000", 0, notice);
    }
    matches!(it.ask(now, ask.clone(), &mut rng), Reply::Granted(_))
}

#[test]
fn no_kind_of_send_goes_to_an_endpoint_that_takes_none() {
    let limit = Notice::RateLimit(RateLimit::from_per_second(0.0));
    let plain = ask_of(1, 0);
    let sends = [
        ("first", plain.clone()),
        ("first, which waits", Ask { wait: true, ..plain.clone() }),
        ("first, asked again", Ask { send: SendKind::FirstAgain, ..plain.clone() }),
        ("repeat", Ask { send: SendKind::Further, wait: true, ..plain.clone() }),
        ("hedge", Ask { send: SendKind::Further, ..plain.clone() }),
        (
            "remainder of a download",
            Ask { send: SendKind::Further, long_answer: true, ..plain.clone() },
        ),
        ("last send", Ask { is_last: true, wait: true, ..plain.clone() }),
        ("must not repeat", Ask { repeatable: false, wait: true, ..plain }),
    ];
    for health in HEALTH {
        let free = sends.iter().filter(|(_, ask)| reaches(health, None, ask)).count();
        assert!(free > 0, "{}: no send goes there even without a notice", health.0);
        for notice in [Notice::Leaving, Notice::Backoff(BACK_OFF), limit] {
            for (name, ask) in &sends {
                let is_sent = reaches(health, Some(notice), ask);
                assert!(!is_sent, "{}, {notice:?}: {name}", health.0);
            }
        }
    }
}
