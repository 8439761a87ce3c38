//! Requests that crash endpoints are rejected; harmless requests are not.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use resources::{Bias, Service, Standing};

use super::fixture::{BUDGET, SECOND, TERMS, ask, service};
use crate::suspects::Suspects;
use crate::{Ask, Dispatcher, Kind, PermitId, Rejection, Reply, RequestKey, RunEnd, Time};

const SOON: Duration = Duration::from_millis(100);
const GUILTY: RequestKey = RequestKey(1);
const OTHER: RequestKey = RequestKey(2);

struct Bed {
    dispatcher: Dispatcher,
    rng: StdRng,
    now: Time,
    next: u64,
}

impl Bed {
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
    let mut bed = Bed::new(&service(&[9], 1, Bias::Balanced));
    ends.iter().for_each(|it| drop(bed.run(GUILTY, *it)));
    assert_eq!(bed.is_rejected(GUILTY), rejected, "{ends:?}");
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
fn what_is_rejected_is_refused_at_once_those_that_wait_included() {
    let mut bed = Bed::new(&service(&[9], 1, Bias::Balanced));
    bed.run(GUILTY, Kind::Crashed);
    bed.run(GUILTY, Kind::Crashed);
    let last = bed.granted(GUILTY);
    assert_eq!(bed.ask(GUILTY).1, Reply::Queued, "one at a time");
    let other = bed.granted(OTHER);
    bed.now = bed.now + SOON;
    let settled = bed.end(last, Kind::Crashed);
    assert!(matches!(settled[..], [Reply::Rejected { retry_after }] if retry_after > SECOND));
    assert!(matches!(bed.ask(GUILTY).1, Reply::Rejected { .. }));
    bed.end(other, Kind::Answered);
    assert!(matches!(bed.ask(OTHER).1, Reply::Granted(_)));
    assert_eq!(bed.dispatcher.take_rejections().len(), 1);
    assert_eq!(bed.dispatcher.take_counts().rejected, 2);
}

#[test]
fn copies_that_end_with_a_rack_count_once() {
    let mut bed = Bed::new(&service(&[9], 1, Bias::Balanced));
    let open: Vec<_> = (0..5).map(|_| bed.granted(OTHER)).collect();
    bed.now = bed.now + SOON;
    open.into_iter().for_each(|it| drop(bed.end(it, Kind::Crashed)));
    bed.run(OTHER, Kind::Crashed);
    assert!(!bed.is_rejected(OTHER));
}

#[test]
fn a_request_that_was_answered_lately_is_not_held_up_by_a_crash() {
    let mut bed = Bed::new(&service(&[9], 1, Bias::Balanced));
    bed.run(OTHER, Kind::Answered);
    for _ in 0..5 {
        bed.run(OTHER, Kind::Crashed);
    }
    assert!(!bed.is_rejected(OTHER));
    let _open = bed.granted(OTHER);
    assert!(matches!(bed.ask(OTHER).1, Reply::Granted(_)), "several at a time");
}

#[test]
fn two_suspects_never_run_on_one_endpoint() {
    let mut bed = Bed::new(&service(&[1], 1, Bias::Balanced));
    let both = [bed.granted(GUILTY), bed.granted(OTHER)];
    bed.now = bed.now + SOON;
    both.into_iter().for_each(|it| drop(bed.end(it, Kind::Crashed)));
    let _open = bed.granted(GUILTY);
    assert_eq!(bed.ask(OTHER).1, Reply::Queued);
    assert!(matches!(bed.ask(RequestKey(3)).1, Reply::Granted(_)), "others are served beside");
}

#[test]
fn an_endpoint_that_leaves_ends_by_itself() {
    let mut all = service(&[9], 1, Bias::Balanced);
    let mut bed = Bed::new(&all);
    for _ in 0..4 {
        let id = bed.granted(OTHER);
        all.endpoints.iter_mut().for_each(|it| it.standing = Standing::Leaving);
        bed.dispatcher.reconfigure(bed.now, &all, &[TERMS]);
        bed.now = bed.now + SOON;
        bed.end(id, Kind::Crashed);
        all.endpoints.iter_mut().for_each(|it| {
            it.standing = Standing::Present;
            it.started_ms += 1;
        });
        bed.dispatcher.reconfigure(bed.now, &all, &[TERMS]);
    }
    assert!(!bed.is_rejected(OTHER));
}

#[test]
fn after_its_time_one_send_tries_a_rejected_request() {
    let mut bed = Bed::new(&service(&[9], 1, Bias::Balanced));
    (0..3).for_each(|_| drop(bed.run(GUILTY, Kind::Crashed)));
    let first = bed.dispatcher.rejected(bed.now, GUILTY).unwrap();
    bed.now = bed.now + first;
    bed.run(GUILTY, Kind::Crashed);
    let second = bed.dispatcher.rejected(bed.now, GUILTY).unwrap();
    assert_eq!(second, first * 2);
    bed.now = bed.now + second;
    bed.run(GUILTY, Kind::Answered);
    bed.run(GUILTY, Kind::Crashed);
    assert!(!bed.is_rejected(GUILTY), "a new release bears it");
}

#[test]
fn the_word_of_another_node_rejects_and_its_crashes_count() {
    let mut bed = Bed::new(&service(&[9], 1, Bias::Balanced));
    for _ in 0..3 {
        bed.now = bed.now + SECOND;
        // Two nodes report the same crash.
        bed.dispatcher.ran(bed.now, GUILTY, RunEnd::Crashed, SOON);
        bed.dispatcher.ran(bed.now + SOON / 10, GUILTY, RunEnd::Crashed, SOON);
    }
    assert!(bed.is_rejected(GUILTY));
    assert_eq!(bed.dispatcher.take_rejections().len(), 1);

    let mut other = Bed::new(&service(&[9], 1, Bias::Balanced));
    other.dispatcher.reject(Time(0), Rejection { request: GUILTY, valid_ms: 1_000 });
    assert!(other.is_rejected(GUILTY));
    assert!(other.dispatcher.take_rejections().is_empty(), "it was told already");
}

#[test]
fn thousands_of_requests_that_crash_once_are_bounded_and_the_worst_is_kept() {
    let mut it = Suspects::default();
    let mut now = Time(0) + SECOND;
    for _ in 0..2 {
        it.crashed(now, GUILTY, now);
        now = now + SECOND;
    }
    for key in 10..10_000 {
        it.crashed(now, RequestKey(key), now);
    }
    assert!(it.len() <= 1024, "{}", it.len());
    it.crashed(now + SECOND, GUILTY, now + SECOND);
    assert!(it.rejected(now + SECOND, GUILTY).is_some());
}

/// Endpoints that crash under one of the requests and restart, callers that repeat this request at
/// a high rate, and harmless requests: unique ones and one sent by many callers.
struct Model {
    bed: Bed,
    service: Service,
    /// When each endpoint that is down restarts.
    back: Vec<Option<Time>>,
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
        let back = vec![None; endpoints];
        let rng = StdRng::seed_from_u64(seed);
        let (open, waiting, crashes) = (Vec::new(), Vec::new(), Vec::new());
        Self { bed: Bed::new(&service), service, back, open, waiting, crashes, rng }
    }

    fn come(&mut self, request: RequestKey) {
        let (id, reply) = self.bed.ask(request);
        self.take(id, request, reply);
    }

    fn take(&mut self, id: PermitId, request: RequestKey, reply: Reply) {
        match reply {
            Reply::Granted(it) => {
                let all = self.bed.dispatcher.endpoints();
                let i = all.iter().position(|e| e.id == it.endpoint).unwrap();
                let ms = self.rng.random_range(5..120);
                let is_unreached = self.back[i].is_some();
                let ms = match request {
                    _ if is_unreached => 1,
                    GUILTY => ms,
                    _ => ms * 5,
                };
                let due = self.bed.now + Duration::from_millis(ms);
                self.open.push(Send { id, request, endpoint: i, due, is_unreached });
            }
            Reply::Queued => self.waiting.push((id, request)),
            Reply::Rejected { .. } => assert_eq!(request, GUILTY, "a harmless one is rejected"),
            Reply::Refused { .. } | Reply::Full => {}
        }
    }

    fn end(&mut self, id: PermitId, kind: Kind) {
        let now = self.bed.now;
        let settled = self.bed.dispatcher.release(now, id, kind, SOON, &mut self.bed.rng);
        for it in settled {
            let i = self.waiting.iter().position(|(id, _)| *id == it.id).unwrap();
            let (id, request) = self.waiting.swap_remove(i);
            self.take(id, request, it.reply);
        }
    }

    fn crash(&mut self, i: usize) {
        self.crashes.push(self.bed.now);
        let down = Duration::from_millis(self.rng.random_range(1_000..4_000));
        self.back[i] = Some(self.bed.now + down);
        let (lost, kept): (Vec<_>, _) = self.open.drain(..).partition(|it| it.endpoint == i);
        self.open = kept;
        lost.into_iter().for_each(|it| self.end(it.id, Kind::Crashed));
    }

    fn step(&mut self) {
        self.bed.now = self.bed.now + Duration::from_millis(5);
        let now = self.bed.now;
        if self.rng.random_ratio(1, 8) {
            self.come(GUILTY);
        }
        if self.rng.random_ratio(1, 8) {
            self.come(POPULAR);
        }
        if self.rng.random_ratio(1, 8) {
            let own = RequestKey(self.rng.random_range(100..u64::MAX));
            self.come(own);
        }
        let due: Vec<Send> = self.open.iter().filter(|it| it.due <= now).copied().collect();
        for it in due {
            // The request may have ended with its endpoint in the meantime.
            let Some(at) = self.open.iter().position(|other| other.id == it.id) else { continue };
            match it.request {
                GUILTY if !it.is_unreached => self.crash(it.endpoint),
                _ => {
                    self.open.swap_remove(at);
                    let kind = if it.is_unreached { Kind::Unreachable } else { Kind::Answered };
                    self.end(it.id, kind);
                }
            }
        }
        let mut is_new = false;
        for (back, it) in self.back.iter_mut().zip(&mut self.service.endpoints) {
            if back.is_some_and(|at| at <= now) {
                *back = None;
                it.started_ms += 1;
                is_new = true;
            }
        }
        if is_new {
            // Permits of the previous incarnation ended with it.
            self.bed.dispatcher.reconfigure(now, &self.service, &[TERMS]);
        }
        let settled = self.bed.dispatcher.tick(now, &mut self.bed.rng);
        for it in settled {
            let Some(i) = self.waiting.iter().position(|(id, _)| *id == it.id) else { continue };
            let (id, request) = self.waiting.swap_remove(i);
            self.take(id, request, it.reply);
        }
    }
}

#[test]
fn the_guilty_one_is_found_among_harmless_ones_on_few_endpoints() {
    for endpoints in [1, 2, 3, 9, 40] {
        for seed in 0..40 {
            let mut it = Model::new(endpoints, seed);
            (0..6_000).for_each(|_| it.step());
            // The copies that were open before the first crash was known, then two consecutive
            // crashes.
            let first = it.crashes[0];
            let late = it.crashes.iter().filter(|at| at.since(first) > SECOND).count();
            assert!(it.bed.is_rejected(GUILTY), "{endpoints} endpoints, seed {seed}");
            assert!(late <= 2, "{endpoints} endpoints, seed {seed}: {:?}", it.crashes);
            assert!(it.crashes.len() <= 7, "{endpoints} endpoints, seed {seed}: {:?}", it.crashes);
        }
    }
}
