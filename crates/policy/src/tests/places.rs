//! Restrictions on where requests may go: evacuated failure domains, allowed regions, and distance.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use resources::{Bias, Service, Standing};

use super::fixture::{BUDGET, SECOND, TERMS, ask, reporter, service};
use crate::{Ask, Dispatcher, DomainFilter, Kind, Reply, Reporter, Time, Topology, stable_hash};

const MS: Duration = Duration::from_millis(1);

fn dispatcher(service: &Service) -> (Dispatcher, StdRng) {
    (Dispatcher::new(Time(0), service, &[TERMS], BUDGET), StdRng::seed_from_u64(1))
}

fn hash(it: &str) -> u64 {
    stable_hash(it.as_bytes())
}

/// Two endpoints in each of the failure domains `a` and `b`.
fn two_domains() -> Service {
    service(&[2, 2], 1, Bias::Balanced)
}

fn evacuated(service: &Service, domains: &[&str]) -> Service {
    let mut it = service.clone();
    for endpoint in &mut it.endpoints {
        if domains.contains(&endpoint.failure_domain.as_str()) {
            endpoint.standing = Standing::Evacuated;
        }
    }
    it
}

fn addrs(service: &Service, domain: &str) -> Vec<std::net::SocketAddr> {
    let own = service.endpoints.iter().filter(|it| it.failure_domain == domain);
    own.map(|it| it.addr).collect()
}

/// Addresses to which `n` requests are sent, each answered before the next one starts.
fn sent(
    it: &mut Dispatcher,
    rng: &mut StdRng,
    ask: impl Fn(u64) -> Ask,
    n: u64,
) -> Vec<std::net::SocketAddr> {
    let mut all = Vec::new();
    for seq in 0..n {
        let now = Time(0) + SECOND + MS * 10 * seq as u32;
        let ask = ask(seq);
        let id = ask.id;
        if let Reply::Granted(grant) = it.ask(now, ask, rng) {
            all.push(grant.addr);
            it.release(now + MS, id, Kind::Answered, MS, rng);
        }
    }
    all
}

#[test]
fn an_evacuated_failure_domain_gets_nothing_until_that_ends() {
    let service = two_domains();
    let (mut it, mut rng) = dispatcher(&service);
    it.reconfigure(Time(0), &evacuated(&service, &["a"]), &[TERMS]);
    let all = sent(&mut it, &mut rng, |seq| ask(seq, true), 50);
    assert_eq!(all.len(), 50);
    assert!(all.iter().all(|it| addrs(&service, "b").contains(it)));
    it.reconfigure(Time(0) + SECOND, &service, &[TERMS]);
    let all = sent(&mut it, &mut rng, |seq| ask(100 + seq, true), 50);
    assert!(all.iter().any(|it| addrs(&service, "a").contains(it)));
}

#[test]
fn with_everything_evacuated_requests_are_refused_at_once() {
    let service = two_domains();
    let (mut it, mut rng) = dispatcher(&service);
    it.reconfigure(Time(0), &evacuated(&service, &["a", "b"]), &[TERMS]);
    assert!(matches!(it.ask(Time(0), ask(1, true), &mut rng), Reply::Refused { .. }));
}

/// The node that grants slots may have lost contact with the platform.
#[test]
fn an_asker_that_knows_of_an_evacuation_is_not_sent_there() {
    let service = two_domains();
    let (mut it, mut rng) = dispatcher(&service);
    let knowing = |seq| Ask {
        domains: DomainFilter { evacuated: vec![hash("a")], only: None }.boxed(),
        ..ask(seq, true)
    };
    let all = sent(&mut it, &mut rng, knowing, 50);
    assert!(all.len() == 50 && all.iter().all(|it| addrs(&service, "b").contains(it)));
    let nowhere = Ask {
        domains: DomainFilter { evacuated: vec![hash("a"), hash("b")], only: None }.boxed(),
        ..ask(100, true)
    };
    assert!(matches!(it.ask(Time(0), nowhere, &mut rng), Reply::Refused { .. }));
}

#[test]
fn requests_stay_in_the_regions_that_are_allowed() {
    let service = two_domains();
    let (mut it, mut rng) = dispatcher(&service);
    let topology = Topology::new([("a", "north"), ("b", "south")].into_iter());
    let only = |region: &str| {
        let only = Some(topology.domains_in(&[region.into()]));
        DomainFilter { evacuated: Vec::new(), only }.boxed()
    };
    it.set_topology(topology.clone(), hash("a"));
    let south = |seq| Ask { domains: only("south"), ..ask(seq, true) };
    let all = sent(&mut it, &mut rng, south, 50);
    assert!(all.len() == 50 && all.iter().all(|it| addrs(&service, "b").contains(it)));
    let nowhere = Ask { domains: only("west"), ..ask(100, true) };
    assert!(matches!(it.ask(Time(0), nowhere, &mut rng), Reply::Refused { .. }));
}

#[test]
fn another_region_is_used_when_the_own_one_is_full() {
    let service = two_domains();
    let (mut it, mut rng) = dispatcher(&service);
    it.set_topology(Topology::new([("a", "north"), ("b", "south")].into_iter()), hash("a"));
    let from_a = |seq| Ask {
        reporter: Reporter { failure_domain: hash("a"), ..reporter(seq % 5) },
        ..ask(seq, true)
    };
    // The near domain has two endpoints of three slots each.
    for seq in 0..7 {
        let Reply::Granted(grant) = it.ask(Time(0), from_a(seq), &mut rng) else { panic!("{seq}") };
        assert_eq!(addrs(&service, "a").contains(&grant.addr), seq < 6, "{seq}");
    }
}
