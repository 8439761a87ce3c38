//! Grants, the queue and the lifetime of permits.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use resources::{Bias, Standing};

use super::fixture::{BUDGET, SECOND, TERMS, ask, fill, service};
use crate::{Ask, Dispatcher, Kind, PermitId, QueuedReply, Reply, Time};

struct Driver {
    dispatcher: Dispatcher,
    now: Time,
    rng: StdRng,
    next: u64,
    /// Permits that the askers consider granted.
    held: Vec<PermitId>,
    /// Endpoints that are leaving.
    leaving: BTreeSet<usize>,
    /// Queued asks with their deadlines.
    waiting: BTreeMap<PermitId, Time>,
}

#[derive(Clone, Debug)]
enum Event {
    Ask(bool),
    AskAgain,
    Release(usize, Kind),
    Cancel(usize),
    Withdraw,
    Stalled(usize),
    Wait(u64),
    Leave(usize),
    Wake,
}

fn kind() -> impl Strategy<Value = Kind> {
    prop_oneof![
        6 => Just(Kind::Answered),
        1 => Just(Kind::Failed),
        1 => Just(Kind::Shed),
        1 => Just(Kind::Abandoned),
        1 => Just(Kind::TimedOut),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        10 => any::<bool>().prop_map(Event::Ask),
        1 => Just(Event::AskAgain),
        6 => (0..64_usize, kind()).prop_map(|(i, kind)| Event::Release(i, kind)),
        1 => (0..64_usize).prop_map(Event::Cancel),
        1 => Just(Event::Withdraw),
        1 => (0..64_usize).prop_map(Event::Stalled),
        2 => (1..1_500_u64).prop_map(Event::Wait),
        1 => (0..6_usize).prop_map(Event::Leave),
        1 => Just(Event::Wake),
    ]
}

impl Driver {
    fn new() -> Self {
        Self {
            dispatcher: Dispatcher::new(
                Time(0),
                &service(&[3, 3], 3, Bias::Speed),
                &[TERMS],
                BUDGET,
            ),
            now: Time(0),
            rng: StdRng::seed_from_u64(1),
            next: 0,
            held: Vec::new(),
            leaving: BTreeSet::new(),
            waiting: BTreeMap::new(),
        }
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Ask(wait) => {
                let ask = ask(self.next, *wait);
                self.next += 1;
                let id = ask.id;
                let reply = self.dispatcher.ask(self.now, ask, &mut self.rng);
                self.take(id, reply);
                let evicted = self.dispatcher.take_evicted();
                self.settle(evicted);
            }
            Event::AskAgain => self.ask_again(),
            Event::Release(i, kind) => {
                let Some(id) = self.pick(*i) else { return };
                let elapsed = Duration::from_millis(10);
                let settled = self.dispatcher.release(self.now, id, *kind, elapsed, &mut self.rng);
                self.settle(settled);
            }
            Event::Cancel(i) => {
                let Some(id) = self.pick(*i) else { return };
                let settled = self.dispatcher.cancel(self.now, id, &mut self.rng);
                self.settle(settled);
            }
            Event::Withdraw => {
                let Some((id, _)) = self.waiting.pop_first() else { return };
                let settled = self.dispatcher.cancel(self.now, id, &mut self.rng);
                self.settle(settled);
            }
            Event::Stalled(i) => {
                let Some(id) = self.held.get(i % self.held.len().max(1)) else { return };
                self.dispatcher.stalled(self.now, *id, SECOND);
            }
            Event::Wait(ms) => {
                self.now = self.now + Duration::from_millis(*ms);
                let settled = self.dispatcher.tick(self.now, &mut self.rng);
                self.settle(settled);
                // The nodes that hold permits renew them for long requests.
                self.held.iter().for_each(|id| self.dispatcher.renew(self.now, *id));
            }
            Event::Leave(i) => {
                self.leaving.insert(*i);
                let mut service = service(&[3, 3], 3, Bias::Speed);
                for i in &self.leaving {
                    service.endpoints[*i].standing = Standing::Leaving;
                }
                self.dispatcher.reconfigure(self.now, &service, &[TERMS]);
            }
            Event::Wake => {
                let settled = self.dispatcher.wake(self.now, &mut self.rng);
                self.settle(settled);
            }
        }
    }

    /// Asking twice gives the same reply and takes no second slot.
    fn ask_again(&mut self) {
        let Some(id) = self.held.last().copied() else { return };
        let again = Ask { id, ..ask(id.seq, true) };
        let before = self.in_use();
        let reply = self.dispatcher.ask(self.now, again, &mut self.rng);
        assert!(matches!(reply, Reply::Granted(_)), "{reply:?}");
        assert_eq!(self.in_use(), before);
    }

    fn pick(&mut self, i: usize) -> Option<PermitId> {
        let n = self.held.len();
        (n > 0).then(|| self.held.swap_remove(i % n))
    }

    fn take(&mut self, id: PermitId, reply: Reply) {
        match reply {
            Reply::Granted(_) => self.held.push(id),
            Reply::Queued => drop(self.waiting.insert(id, self.now + SECOND)),
            Reply::Full
            | Reply::Refused { .. }
            | Reply::Rejected { .. }
            | Reply::Elsewhere { .. } => {}
        }
    }

    fn settle(&mut self, settled: Vec<QueuedReply>) {
        for it in settled {
            assert!(self.waiting.remove(&it.id).is_some(), "{it:?} was not queued");
            self.take(it.id, it.reply);
        }
    }

    fn in_use(&self) -> u32 {
        (0..6).map(|i| self.dispatcher.evidence_of(self.now, i).in_use).sum()
    }

    fn check(&self) -> Result<(), TestCaseError> {
        prop_assert_eq!(self.in_use() as usize, self.held.len(), "held {:?}", &self.held);
        for i in 0..6 {
            prop_assert!(self.dispatcher.evidence_of(self.now, i).in_use <= 3);
        }
        prop_assert_eq!(self.dispatcher.queued(), self.waiting.len());
        for deadline in self.waiting.values() {
            prop_assert!(*deadline + Duration::from_millis(1_500) > self.now);
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    #[test]
    fn slots_and_waiters_are_conserved(events in prop::collection::vec(event(), 1..200)) {
        let mut driver = Driver::new();
        for event in &events {
            driver.apply(event);
            driver.check()?;
        }
    }
}

#[test]
fn work_spreads_over_the_endpoints_before_it_doubles() {
    let mut rng = StdRng::seed_from_u64(1);
    let service = service(&[3, 3], 3, Bias::Speed);
    let mut dispatcher = Dispatcher::new(Time(0), &service, &[TERMS], BUDGET);
    fill(&mut dispatcher, &mut rng, 6);
    assert!((0..6).all(|i| dispatcher.evidence_of(Time(0), i).in_use == 1));
}

#[test]
fn a_service_that_is_full_says_so_at_once() {
    let mut rng = StdRng::seed_from_u64(1);
    let service = service(&[2, 2], 2, Bias::Speed);
    let mut dispatcher = Dispatcher::new(Time(0), &service, &[TERMS], BUDGET);
    let replies = fill(&mut dispatcher, &mut rng, 13);
    assert!(replies[..12].iter().all(|it| matches!(it, Reply::Granted(_))));
    assert_eq!(replies[12], Reply::Full);
}

#[test]
fn a_wait_that_cannot_end_in_time_is_refused_at_once_with_when_to_come_back() {
    let mut rng = StdRng::seed_from_u64(1);
    let service = service(&[1], 1, Bias::Speed);
    let mut dispatcher = Dispatcher::new(Time(0), &service, &[TERMS], BUDGET);
    fill(&mut dispatcher, &mut rng, 3);
    let hurried = Ask { left: Duration::from_millis(1), ..ask(9, true) };
    let reply = dispatcher.ask(Time(0), hurried, &mut rng);
    assert!(matches!(reply, Reply::Refused { retry_after } if !retry_after.is_zero()), "{reply:?}");
}

/// A request was taken off the queue because of its urgency, was no longer urgent given the shorter
/// queue, and never got a reply. Found by `slots_and_waiters_are_conserved`.
#[test]
fn a_request_that_leaves_the_queue_always_gets_a_reply() {
    let mut rng = StdRng::seed_from_u64(1);
    let service = service(&[2], 1, Bias::Speed);
    let mut dispatcher = Dispatcher::new(Time(0), &service, &[TERMS], BUDGET);
    let held: Vec<_> = (0..6).map(|seq| ask(seq, false)).collect();
    for it in &held {
        dispatcher.ask(Time(0), it.clone(), &mut rng);
    }
    let mut waiting = 0;
    for seq in 10..40 {
        let hurried = Ask { left: Duration::from_millis(60), ..ask(seq, true) };
        waiting += usize::from(dispatcher.ask(Time(0), hurried, &mut rng) == Reply::Queued);
    }
    // A shed request puts its endpoint into the last tier, which only urgent requests use.
    let mut settled = 0;
    for it in &held {
        let now = Time(1_000);
        let ms = Duration::from_millis(1);
        settled += dispatcher.release(now, it.id, Kind::Shed, ms, &mut rng).len();
        assert_eq!(dispatcher.queued() + settled, waiting);
    }
    assert!(settled > 0);
}

#[test]
fn a_permit_that_is_not_renewed_comes_back() {
    let mut rng = StdRng::seed_from_u64(1);
    let service = service(&[1], 1, Bias::Speed);
    let mut dispatcher = Dispatcher::new(Time(0), &service, &[TERMS], BUDGET);
    fill(&mut dispatcher, &mut rng, 3);
    dispatcher.tick(Time(0) + SECOND * 4, &mut rng);
    assert_eq!(dispatcher.evidence_of(Time(0), 0).in_use, 0);
}

#[test]
fn an_endpoint_on_trial_never_gets_work_that_must_not_run_twice() {
    let mut rng = StdRng::seed_from_u64(1);
    let service = service(&[3], 1, Bias::Speed);
    let mut dispatcher = Dispatcher::new(Time(0), &service, &[TERMS], BUDGET);
    // All endpoints answer a few requests; then the endpoint of the first permit fails.
    for round in 0..3 {
        for seq in 0..3 {
            let ask = ask(round * 10 + seq, false);
            let id = ask.id;
            dispatcher.ask(Time(0), ask, &mut rng);
            dispatcher.release(Time(0), id, Kind::Answered, Duration::from_millis(5), &mut rng);
        }
    }
    let mut seq = 100;
    let mut unhealthy = None;
    let mut now = Time(0);
    while !dispatcher.endpoints().iter().any(|it| it.state.name() == "ejected") {
        seq += 1;
        now = now + Duration::from_millis(1);
        let ask = ask(seq, false);
        let id = ask.id;
        let Reply::Granted(grant) = dispatcher.ask(now, ask, &mut rng) else { continue };
        let is_unhealthy = *unhealthy.get_or_insert(grant.addr) == grant.addr;
        let kind = if is_unhealthy { Kind::Failed } else { Kind::Answered };
        dispatcher.release(now, id, kind, Duration::from_millis(5), &mut rng);
    }
    now = now + SECOND * 3;
    dispatcher.tick(now, &mut rng);
    assert!(dispatcher.endpoints().iter().any(|it| it.state.name() == "trial"));
    for seq in 1_000..1_006 {
        let booking = Ask { repeatable: false, ..ask(seq, false) };
        let Reply::Granted(grant) = dispatcher.ask(now, booking, &mut rng) else { continue };
        assert_ne!(Some(grant.addr), unhealthy);
    }
    let lookup = dispatcher.ask(now, ask(2_000, false), &mut rng);
    assert!(
        matches!(lookup, Reply::Granted(grant) if Some(grant.addr) == unhealthy && grant.trial)
    );
}
