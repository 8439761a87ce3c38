//! What requests without an answer say of their endpoint, by how long they have been open.

use std::net::SocketAddr;

use rand::SeedableRng;
use rand::rngs::StdRng;
use resources::Bias;

use super::fixture::{BUDGET, TERMS, ask, seen, service};
use crate::{Ask, Dispatcher, Kind, PermitId, Reply, Time};

/// Endpoints that hang answered nothing until the deadline of each request, and that was no evidence.
#[test]
fn an_endpoint_that_lets_requests_time_out_is_used_last() {
    let set_back_after = |kind, elapsed| {
        let service = service(&[3], 1, Bias::Speed);
        let mut dispatcher = Dispatcher::new(Time(0), &service, &[TERMS], BUDGET);
        (0..2).for_each(|i| {
            let it = seen(i, kind, elapsed);
            dispatcher.observe(Time(0), &service.endpoints[0].id, it);
        });
        dispatcher.set_back(Time(0)).count()
    };
    for kind in [Kind::TimedOut, Kind::Abandoned, Kind::Beaten, Kind::Stalled] {
        assert_eq!(set_back_after(kind, TERMS.objective * 2), 1, "{kind:?}");
        // Too little time was left for them, or their callers left early.
        assert_eq!(set_back_after(kind, TERMS.objective / 20), 0, "{kind:?}");
    }
}

/// A dispatcher of two endpoints of 3 slots, after one request at the first of them that is open since
/// time zero, and the identity of that request's permit.
fn with_an_open_request(rng: &mut StdRng) -> (Dispatcher, PermitId, SocketAddr) {
    let service = service(&[2], 1, Bias::Speed);
    let mut dispatcher = Dispatcher::new(Time(0), &service, &[TERMS], BUDGET);
    let first = ask(0, true);
    let id = first.id;
    let Reply::Granted(grant) = dispatcher.ask(Time(0), first, rng) else { panic!("free") };
    (dispatcher, id, grant.addr)
}

/// Of three requests at `now`, how many go to the endpoint at `addr`.
fn taken_by(dispatcher: &mut Dispatcher, rng: &mut StdRng, now: Time, addr: SocketAddr) -> usize {
    let mut taken = 0;
    for seq in 10..13 {
        let ask = ask(seq, true);
        let id = ask.id;
        let reply = dispatcher.ask(now, ask, rng);
        taken += usize::from(matches!(reply, Reply::Granted(it) if it.addr == addr));
        dispatcher.cancel(now, id, rng);
    }
    taken
}

/// Nothing was learned from a request that hangs until its deadline had passed, and meanwhile its
/// endpoint got more.
#[test]
fn an_endpoint_with_a_request_that_is_open_for_unusually_long_is_passed_over() {
    let mut rng = StdRng::seed_from_u64(1);
    let (mut dispatcher, _, addr) = with_an_open_request(&mut rng);
    let long = Time(0) + TERMS.objective * 2;
    // Others hold as many slots of the other one, so that only the age can decide.
    fill_other(&mut dispatcher, &mut rng, long, addr);
    assert_eq!(taken_by(&mut dispatcher, &mut rng, long, addr), 0);
}

#[test]
fn an_answer_that_has_begun_may_last() {
    let mut rng = StdRng::seed_from_u64(1);
    let (mut dispatcher, id, addr) = with_an_open_request(&mut rng);
    dispatcher.answer_began(Time(0) + TERMS.objective / 4, id, TERMS.objective / 4);
    let long = Time(0) + TERMS.objective * 2;
    fill_other(&mut dispatcher, &mut rng, long, addr);
    assert!(taken_by(&mut dispatcher, &mut rng, long, addr) > 0);
}

/// Takes two slots of the endpoint that is not at `addr`.
fn fill_other(dispatcher: &mut Dispatcher, rng: &mut StdRng, now: Time, addr: SocketAddr) {
    for seq in 1..3 {
        let ask = Ask { avoid: vec![addr], ..ask(seq, true) };
        let reply = dispatcher.ask(now, ask, rng);
        assert!(matches!(reply, Reply::Granted(it) if it.addr != addr));
    }
}
