//! Requests that crash endpoints are rejected; harmless requests are not.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use resources::{Bias, Service, Standing};

use super::fixture::{BUDGET, SECOND, TERMS, ask, service};
use crate::suspects::Suspects;
use crate::{Ask, Dispatcher, Kind, PermitId, Rejection, Reply, RequestKey, RunEnd, Time};

const SOON: Duration = Duration::from_millis(100);
const CRASHING: RequestKey = RequestKey(1);
const OTHER: RequestKey = RequestKey(2);

struct Fixture {
    dispatcher: Dispatcher,
    rng: StdRng,
    now: Time,
    next: u64,
}

impl Fixture {
    fn new(service: &Service) -> Self {
        let dispatcher = Dispatcher::new(Time(0), service, &[TERMS], BUDGET);
        Self { dispatcher, rng: StdRng::seed_from_u64(1), now: Time(0), next: 0 }
    }

    fn ask(&mut self, request: RequestKey) -> (PermitId, Reply) {
        self.next += 1;
        let ask = Ask { request, left: SECOND * 5, ..ask(self.next, true) };
        let id = ask.id;
        (id, self.dispatcher.ask(self.now, ask, &mut self.rng))
    }

    /// Asks for a slot and expects to get one.
    fn granted(&mut self, request: RequestKey) -> PermitId {
        match self.ask(request) {
            (id, Reply::Granted(_)) => id,
            (_, reply) => panic!("{request:?}: {reply:?}"),
        }
    }

    fn end(&mut self, id: PermitId, kind: Kind) -> Vec<Reply> {
        let settled = self.dispatcher.release(self.now, id, kind, SOON, &mut self.rng);
        settled.into_iter().map(|it| it.reply).collect()
    }

    /// One send that begins now and ends a little later.
    fn run(&mut self, request: RequestKey, kind: Kind) -> Vec<Reply> {
        let id = self.granted(request);
        self.now = self.now + SOON;
        self.end(id, kind)
    }

    fn is_rejected(&self, request: RequestKey) -> bool {
        self.dispatcher.rejected(self.now, request).is_some()
    }
}

/// Sends that end one after the other with `ends`, and whether the request is then rejected.
#[track_caller]
fn check(ends: &[Kind], rejected: bool) {
    let mut fixture = Fixture::new(&service(&[9], 1, Bias::Balanced));
    ends.iter().for_each(|it| drop(fixture.run(CRASHING, *it)));
    assert_eq!(fixture.is_rejected(CRASHING), rejected, "{ends:?}");
}

#[test]
fn three_crashes_in_a_row_reject_a_request() {
    use Kind::{Answered, Crashed, Failed};
    check(&[Crashed, Crashed], false);
    check(&[Crashed, Crashed, Crashed], true);
    check(&[Crashed, Failed, Crashed, Crashed], true);
    check(&[Crashed, Crashed, Answered, Crashed, Crashed], false);
    check(&[Failed, Failed, Failed, Failed], false);
}

#[test]
fn rejected_requests_are_refused_at_once_even_while_waiting() {
    let mut fixture = Fixture::new(&service(&[9], 1, Bias::Balanced));
    fixture.run(CRASHING, Kind::Crashed);
    fixture.run(CRASHING, Kind::Crashed);
    let last = fixture.granted(CRASHING);
    assert_eq!(fixture.ask(CRASHING).1, Reply::Queued, "one at a time");
    let other = fixture.granted(OTHER);
    fixture.now = fixture.now + SOON;
    let settled = fixture.end(last, Kind::Crashed);
    assert!(matches!(settled[..], [Reply::Rejected { retry_after }] if retry_after > SECOND));
    assert!(matches!(fixture.ask(CRASHING).1, Reply::Rejected { .. }));
    fixture.end(other, Kind::Answered);
    assert!(matches!(fixture.ask(OTHER).1, Reply::Granted(_)));
    assert_eq!(fixture.dispatcher.take_rejections().len(), 1);
    assert_eq!(fixture.dispatcher.take_counts().rejected, 2);
}

#[test]
fn copies_that_end_with_a_rack_count_once() {
    let mut fixture = Fixture::new(&service(&[9], 1, Bias::Balanced));
    let open: Vec<_> = (0..5).map(|_| fixture.granted(OTHER)).collect();
    fixture.now = fixture.now + SOON;
    open.into_iter().for_each(|it| drop(fixture.end(it, Kind::Crashed)));
    fixture.run(OTHER, Kind::Crashed);
    assert!(!fixture.is_rejected(OTHER));
}

#[test]
fn a_recently_answered_request_is_not_delayed_by_a_crash() {
    let mut fixture = Fixture::new(&service(&[9], 1, Bias::Balanced));
    fixture.run(OTHER, Kind::Answered);
    for _ in 0..5 {
        fixture.run(OTHER, Kind::Crashed);
    }
    assert!(!fixture.is_rejected(OTHER));
    let _open = fixture.granted(OTHER);
    assert!(matches!(fixture.ask(OTHER).1, Reply::Granted(_)), "several at a time");
}

#[test]
fn two_suspects_never_run_on_one_endpoint() {
    let mut fixture = Fixture::new(&service(&[1], 1, Bias::Balanced));
    let both = [fixture.granted(CRASHING), fixture.granted(OTHER)];
    fixture.now = fixture.now + SOON;
    both.into_iter().for_each(|it| drop(fixture.end(it, Kind::Crashed)));
    let _open = fixture.granted(CRASHING);
    assert_eq!(fixture.ask(OTHER).1, Reply::Queued);
    assert!(matches!(fixture.ask(RequestKey(3)).1, Reply::Granted(_)), "others are served");
}

#[test]
fn an_endpoint_that_leaves_ends_by_itself() {
    let mut all = service(&[9], 1, Bias::Balanced);
    let mut fixture = Fixture::new(&all);
    for _ in 0..4 {
        let id = fixture.granted(OTHER);
        all.endpoints.iter_mut().for_each(|it| it.standing = Standing::Leaving);
        fixture.dispatcher.reconfigure(fixture.now, &all, &[TERMS]);
        fixture.now = fixture.now + SOON;
        fixture.end(id, Kind::Crashed);
        all.endpoints.iter_mut().for_each(|it| {
            it.standing = Standing::Present;
            it.started_ms += 1;
        });
        fixture.dispatcher.reconfigure(fixture.now, &all, &[TERMS]);
    }
    assert!(!fixture.is_rejected(OTHER));
}

#[test]
fn after_its_time_one_send_tries_a_rejected_request() {
    let mut fixture = Fixture::new(&service(&[9], 1, Bias::Balanced));
    (0..3).for_each(|_| drop(fixture.run(CRASHING, Kind::Crashed)));
    let first = fixture.dispatcher.rejected(fixture.now, CRASHING).unwrap();
    fixture.now = fixture.now + first;
    fixture.run(CRASHING, Kind::Crashed);
    let second = fixture.dispatcher.rejected(fixture.now, CRASHING).unwrap();
    assert_eq!(second, first * 2);
    fixture.now = fixture.now + second;
    fixture.run(CRASHING, Kind::Answered);
    fixture.run(CRASHING, Kind::Crashed);
    assert!(!fixture.is_rejected(CRASHING), "a new release handles it");
}

#[test]
fn rejections_and_crashes_reported_by_other_nodes_count() {
    let mut fixture = Fixture::new(&service(&[9], 1, Bias::Balanced));
    for _ in 0..3 {
        fixture.now = fixture.now + SECOND;
        // Two nodes report the same crash.
        fixture.dispatcher.run_ended(fixture.now, CRASHING, RunEnd::Crashed, SOON);
        fixture.dispatcher.run_ended(fixture.now + SOON / 10, CRASHING, RunEnd::Crashed, SOON);
    }
    assert!(fixture.is_rejected(CRASHING));
    assert_eq!(fixture.dispatcher.take_rejections().len(), 1);

    let mut other = Fixture::new(&service(&[9], 1, Bias::Balanced));
    other.dispatcher.reject(Time(0), Rejection { request: CRASHING, valid_ms: 1_000 });
    assert!(other.is_rejected(CRASHING));
    assert!(
        other.dispatcher.take_rejections().is_empty(),
        "the other node has reported it already"
    );
}

#[test]
fn thousands_of_requests_that_crash_once_are_bounded_and_the_worst_is_kept() {
    let mut it = Suspects::default();
    let mut now = Time(0) + SECOND;
    for _ in 0..2 {
        it.crashed(now, CRASHING, now);
        now = now + SECOND;
    }
    for key in 10..10_000 {
        it.crashed(now, RequestKey(key), now);
    }
    assert!(it.len() <= 1024, "{}", it.len());
    it.crashed(now + SECOND, CRASHING, now + SECOND);
    assert!(it.rejected(now + SECOND, CRASHING).is_some());
}

/// Endpoints that crash under one of the requests and restart, callers that repeat this request at
/// a high rate, and harmless requests: unique ones and one sent by many callers.
struct Model {
    fixture: Fixture,
    service: Service,
    /// When each endpoint that is down restarts.
    restarts_at: Vec<Option<Time>>,
    open: Vec<Send>,
    waiting: Vec<(PermitId, RequestKey)>,
    crashes: Vec<Time>,
    rng: StdRng,
}

/// A request at an endpoint.
#[derive(Clone, Copy)]
struct Send {
    id: PermitId,
    request: RequestKey,
    endpoint: usize,
    due: Time,
    /// The endpoint was down, and its port refused the connection.
    is_unreached: bool,
}

/// A harmless request sent by many callers.
const POPULAR: RequestKey = RequestKey(3);

impl Model {
    fn new(endpoints: usize, seed: u64) -> Self {
        let service = service(&[endpoints], 1, Bias::Balanced);
        let restarts_at = vec![None; endpoints];
        let rng = StdRng::seed_from_u64(seed);
        let (open, waiting, crashes) = (Vec::new(), Vec::new(), Vec::new());
        Self { fixture: Fixture::new(&service), service, restarts_at, open, waiting, crashes, rng }
    }

    fn arrive(&mut self, request: RequestKey) {
        let (id, reply) = self.fixture.ask(request);
        self.take(id, request, reply);
    }

    fn take(&mut self, id: PermitId, request: RequestKey, reply: Reply) {
        match reply {
            Reply::Granted(it) => {
                let all = self.fixture.dispatcher.endpoints();
                let i = all.iter().position(|e| e.id == it.endpoint).unwrap();
                let ms = self.rng.random_range(5..120);
                let is_unreached = self.restarts_at[i].is_some();
                let ms = match request {
                    _ if is_unreached => 1,
                    CRASHING => ms,
                    _ => ms * 5,
                };
                let due = self.fixture.now + Duration::from_millis(ms);
                self.open.push(Send { id, request, endpoint: i, due, is_unreached });
            }
            Reply::Queued => self.waiting.push((id, request)),
            Reply::Rejected { .. } => {
                assert_eq!(request, CRASHING, "a harmless request is rejected")
            }
            Reply::Refused { .. } | Reply::Full | Reply::Elsewhere { .. } => {}
        }
    }

    fn end(&mut self, id: PermitId, kind: Kind) {
        let now = self.fixture.now;
        let settled = self.fixture.dispatcher.release(now, id, kind, SOON, &mut self.fixture.rng);
        for it in settled {
            let i = self.waiting.iter().position(|(id, _)| *id == it.id).unwrap();
            let (id, request) = self.waiting.swap_remove(i);
            self.take(id, request, it.reply);
        }
    }

    fn crash(&mut self, i: usize) {
        self.crashes.push(self.fixture.now);
        let down = Duration::from_millis(self.rng.random_range(1_000..4_000));
        self.restarts_at[i] = Some(self.fixture.now + down);
        let (lost, kept): (Vec<_>, _) = self.open.drain(..).partition(|it| it.endpoint == i);
        self.open = kept;
        lost.into_iter().for_each(|it| self.end(it.id, Kind::Crashed));
    }

    fn step(&mut self) {
        self.fixture.now = self.fixture.now + Duration::from_millis(5);
        let now = self.fixture.now;
        if self.rng.random_ratio(1, 8) {
            self.arrive(CRASHING);
        }
        if self.rng.random_ratio(1, 8) {
            self.arrive(POPULAR);
        }
        if self.rng.random_ratio(1, 8) {
            let own = RequestKey(self.rng.random_range(100..u64::MAX));
            self.arrive(own);
        }
        let due: Vec<Send> = self.open.iter().filter(|it| it.due <= now).copied().collect();
        for it in due {
            // The request may have ended with its endpoint in the meantime.
            let Some(at) = self.open.iter().position(|other| other.id == it.id) else { continue };
            match it.request {
                CRASHING if !it.is_unreached => self.crash(it.endpoint),
                _ => {
                    self.open.swap_remove(at);
                    let kind = if it.is_unreached { Kind::Unreachable } else { Kind::Answered };
                    self.end(it.id, kind);
                }
            }
        }
        let mut is_new = false;
        for (restarts_at, it) in self.restarts_at.iter_mut().zip(&mut self.service.endpoints) {
            if restarts_at.is_some_and(|at| at <= now) {
                *restarts_at = None;
                it.started_ms += 1;
                is_new = true;
            }
        }
        if is_new {
            // Permits of the previous incarnation ended with it.
            self.fixture.dispatcher.reconfigure(now, &self.service, &[TERMS]);
        }
        let settled = self.fixture.dispatcher.tick(now, &mut self.fixture.rng);
        for it in settled {
            let Some(i) = self.waiting.iter().position(|(id, _)| *id == it.id) else { continue };
            let (id, request) = self.waiting.swap_remove(i);
            self.take(id, request, it.reply);
        }
    }
}

#[test]
fn the_crashing_request_is_found_among_harmless_ones_on_few_endpoints() {
    for endpoints in [1, 2, 3, 9, 40] {
        for seed in 0..40 {
            let mut it = Model::new(endpoints, seed);
            (0..6_000).for_each(|_| it.step());
            // The copies that were open before the first crash was known, then two consecutive
            // crashes.
            let first = it.crashes[0];
            let late = it.crashes.iter().filter(|at| at.since(first) > SECOND).count();
            assert!(it.fixture.is_rejected(CRASHING), "{endpoints} endpoints, seed {seed}");
            assert!(late <= 2, "{endpoints} endpoints, seed {seed}: {:?}", it.crashes);
            assert!(it.crashes.len() <= 7, "{endpoints} endpoints, seed {seed}: {:?}", it.crashes);
        }
    }
}
