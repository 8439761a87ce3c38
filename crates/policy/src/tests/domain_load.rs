//! A load on a service in three failure domains, for tests of the placement.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use resources::{Bias, Service};

use super::fixture::{BUDGET, TERMS, ask, service};
use crate::{
    Ask, BudgetLimits, DispatchCounts, DispatchOptions, Dispatcher, Kind, NodeId, PermitId, Reply,
    Reporter, RequestKey, RouteTerms, SendKind, Time, stable_hash,
};

pub(super) const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Time limit of a request.
const TIME_LIMIT: Duration = Duration::from_secs(10);
/// Latency objective of the route.
const OBJECTIVE: Duration = Duration::from_millis(1_500);
/// Share of the requests that fails at an unhealthy endpoint.
const UNHEALTHY_FAILS: f64 = 0.9;
/// Share of the requests that fails at a healthy endpoint.
const HEALTHY_FAILS: f64 = 0.012;
/// Share of the endpoints that is unhealthy at a time.
const UNHEALTHY: f64 = 0.3;
/// After this time, other endpoints are unhealthy.
const REDRAWN_AFTER: u64 = 9_000;
/// Results are counted from here on, when the health of the endpoints is known.
const COUNTED_FROM: Time = Time(3_000_000);
const SECONDS: u64 = 33;

/// Demand over time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Demand {
    /// Constant.
    Steady,
    /// The first failure domain sends this many times its usual rate from 12 to 18 s.
    Burst(f64),
    /// Each failure domain sends a wave of plus and minus 55 % with a period of 15 s; the phases
    /// differ.
    Waves,
    /// The endpoints of the first failure domain fail all requests from 12 to 18 s.
    Outage,
}

/// Load on the service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Load {
    pub(super) demand: Demand,
    /// Factor for the demand of all failure domains.
    pub(super) factor: f64,
    /// Share of the requests that may be repeated.
    pub(super) repeatable: f64,
}

/// Endpoints and requests a second of each failure domain.
const SIZES: [usize; 3] = [34, 27, 30];
const RATES: [f64; 3] = [149.0, 131.0, 158.0];
const SLOTS: u32 = 6;
const WORK: Duration = Duration::from_millis(470);

/// Results for callers.
#[derive(Clone, Debug, Default)]
pub(super) struct Results {
    pub(super) asked: u32,
    pub(super) in_time: u32,
    pub(super) late: u32,
    pub(super) refused: u32,
    pub(super) failed: u32,
    /// Requests that must not be repeated, and those of them that failed.
    pub(super) unsafe_asked: u32,
    pub(super) unsafe_failed: u32,
    pub(super) repeats: u32,
    pub(super) near: u32,
    pub(super) far: u32,
    /// Far sends by origin, target and second.
    pub(super) far_by_second: BTreeMap<(usize, usize, u64), u32>,
    /// Requests asked for and served in time by second of their arrival.
    pub(super) seconds: BTreeMap<u64, (u32, u32)>,
    pub(super) counts: Vec<DispatchCounts>,
}

impl Results {
    /// Sums of two plays.
    pub(super) fn plus(&self, other: &Self) -> Self {
        let mut it = self.clone();
        it.asked += other.asked;
        it.in_time += other.in_time;
        it.late += other.late;
        it.refused += other.refused;
        it.failed += other.failed;
        it.unsafe_asked += other.unsafe_asked;
        it.unsafe_failed += other.unsafe_failed;
        it.repeats += other.repeats;
        it.near += other.near;
        it.far += other.far;
        for (key, n) in &other.far_by_second {
            *it.far_by_second.entry(*key).or_default() += n;
        }
        for (key, (all, ok)) in &other.seconds {
            let entry = it.seconds.entry(*key).or_default();
            *entry = (entry.0 + all, entry.1 + ok);
        }
        it.counts.extend(other.counts.iter().copied());
        it
    }

    pub(super) fn share(&self, part: u32) -> f64 {
        f64::from(part) / f64::from(self.asked)
    }

    pub(super) fn far_share(&self) -> f64 {
        f64::from(self.far) / f64::from(self.near + self.far)
    }

    pub(super) fn unsafe_failed_share(&self) -> f64 {
        f64::from(self.unsafe_failed) / f64::from(self.unsafe_asked)
    }

    /// Share served in time in the worst second.
    pub(super) fn worst_second(&self) -> f64 {
        let shares = self.seconds.values().map(|(all, ok)| f64::from(*ok) / f64::from(*all));
        shares.fold(1.0, f64::min)
    }

    /// Both figures of a comparison in one line.
    pub(super) fn line(&self) -> String {
        let percent = |it: f64| 100.0 * it;
        format!(
            "in time {:.1}, late {:.1}, refused {:.1}, failed {:.2}, failed of unrepeatable {:.2}, far {:.1}, repeats {:.1}, worst second {:.0}",
            percent(self.share(self.in_time)),
            percent(self.share(self.late)),
            percent(self.share(self.refused)),
            percent(self.share(self.failed)),
            percent(self.unsafe_failed_share()),
            percent(self.far_share()),
            percent(self.share(self.repeats)),
            percent(self.worst_second()),
        )
    }
}

/// A request on its way.
#[derive(Clone, Copy, Debug)]
struct Request {
    domain: usize,
    arrived: Time,
    repeatable: bool,
    send: u32,
    /// Address of the endpoint that failed the first send.
    avoid: Option<std::net::SocketAddr>,
}

/// How the slots are granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mode {
    /// One dispatcher that holds all endpoints, with or without near-first placement.
    OneForAll { near_first: bool },
    /// One dispatcher for each failure domain, with or without the loads of the others.
    ByDomain { knows_loads: bool },
}

/// Plays a load.
pub(super) struct Play {
    load: Load,
    mode: Mode,
    rng: StdRng,
    unhealthy: Vec<bool>,
    dispatchers: Vec<Dispatcher>,
    requests: BTreeMap<u64, Request>,
    ends: BTreeMap<(Time, u64), (usize, Kind, Duration)>,
    results: Results,
    next_seq: u64,
}

fn test_service() -> Service {
    Service { slots: SLOTS, ..service(&SIZES, 20, Bias::Balanced) }
}

/// The service with the endpoints of one failure domain.
pub(super) fn service_in(domain: &str) -> Service {
    let mut it = test_service();
    it.endpoints.retain(|it| it.failure_domain == domain);
    it
}

fn id(seq: u64) -> PermitId {
    PermitId { node: NodeId(seq % 120), seq }
}

impl Play {
    pub(super) fn new(load: Load, mode: Mode, seed: u64) -> Self {
        let terms = RouteTerms { objective: OBJECTIVE, ..TERMS };
        let budget = BudgetLimits { ratio: 0.2, extra: 40.0, ..BUDGET };
        let new = |service: &Service, near_first| {
            let mut it = Dispatcher::new(Time(0), service, &[terms], budget);
            it.set_options(DispatchOptions::default().near_first(near_first));
            it
        };
        let dispatchers = match mode {
            Mode::OneForAll { near_first } => vec![new(&test_service(), near_first)],
            Mode::ByDomain { .. } => DOMAINS.iter().map(|it| new(&service_in(it), true)).collect(),
        };
        Self {
            load,
            rng: StdRng::seed_from_u64(seed),
            unhealthy: vec![false; SIZES.iter().sum()],
            mode,
            dispatchers,
            requests: BTreeMap::new(),
            ends: BTreeMap::new(),
            results: Results::default(),
            next_seq: 0,
        }
    }

    fn rate(&self, domain: usize, now: Time) -> f64 {
        let s = now.since(Time(0)).as_secs_f64();
        let factor = match self.load.demand {
            Demand::Burst(factor) if domain == 0 && (12.0..18.0).contains(&s) => factor,
            Demand::Waves => {
                let phase = s / 15.0 + domain as f64 / DOMAINS.len() as f64;
                1.0 + 0.55 * (phase * std::f64::consts::TAU).sin()
            }
            _ => 1.0,
        };
        RATES[domain] * factor * self.load.factor
    }

    fn is_counted(it: &Request) -> bool {
        it.arrived >= COUNTED_FROM
    }

    fn ask_of(&self, seq: u64) -> Ask {
        let request = &self.requests[&seq];
        let reporter = Reporter {
            node: NodeId(seq % 120),
            failure_domain: stable_hash(DOMAINS[request.domain].as_bytes()),
        };
        let is_last = !request.repeatable || request.send > 0;
        Ask {
            id: id(seq),
            reporter,
            request: RequestKey::default(),
            repeatable: request.repeatable,
            send: if request.send > 0 { SendKind::Further } else { SendKind::First },
            is_last,
            avoid: request.avoid.into_iter().collect(),
            objective: OBJECTIVE,
            left: TIME_LIMIT,
            ..ask(seq, true)
        }
    }

    fn ask(&mut self, now: Time, seq: u64) {
        let ask = self.ask_of(seq);
        let (at, reply) = match self.mode {
            Mode::OneForAll { .. } => (0, self.dispatchers[0].ask(now, ask, &mut self.rng)),
            Mode::ByDomain { .. } => {
                let at = self.requests[&seq].domain;
                (at, self.dispatchers[at].ask_redirecting(now, ask, &mut self.rng))
            }
        };
        self.reply(now, at, seq, reply);
    }

    /// Asks the dispatcher of another failure domain, which does not redirect again.
    fn ask_elsewhere(&mut self, now: Time, failure_domain: u64, seq: u64) {
        let is_it = |it: &&str| stable_hash(it.as_bytes()) == failure_domain;
        let at = DOMAINS.iter().position(is_it).unwrap();
        let ask = self.ask_of(seq);
        let ask = Ask { send: ask.send.again(), brings_share: false, ..ask };
        let reply = self.dispatchers[at].ask(now, ask, &mut self.rng);
        self.reply(now, at, seq, reply);
    }

    /// Passes the load of each failure domain to the dispatchers of the others.
    fn exchange_loads(&mut self, now: Time) {
        let all: Vec<_> = self.dispatchers.iter().flat_map(|it| it.domain_loads(now)).collect();
        self.dispatchers.iter_mut().for_each(|it| it.set_remote_loads(now, &all));
    }

    fn reply(&mut self, now: Time, at: usize, seq: u64, reply: Reply) {
        let request = self.requests[&seq];
        match reply {
            Reply::Granted(grant) => {
                let all = test_service();
                let i = all.endpoints.iter().position(|it| it.id == grant.endpoint).unwrap();
                let to = DOMAINS.iter().position(|it| all.endpoints[i].failure_domain == *it);
                let to = to.unwrap();
                if Self::is_counted(&request) {
                    let is_far = to != request.domain;
                    *if is_far { &mut self.results.far } else { &mut self.results.near } += 1;
                    if is_far {
                        let key = (request.domain, to, now.0 / 1_000_000);
                        *self.results.far_by_second.entry(key).or_default() += 1;
                    }
                }
                let is_out = self.load.demand == Demand::Outage
                    && to == 0
                    && (12_000_000..18_000_000).contains(&now.0);
                let fails = match self.unhealthy[i] {
                    _ if is_out => 1.0,
                    true => UNHEALTHY_FAILS,
                    false => HEALTHY_FAILS,
                };
                let (kind, took) = match self.rng.random_bool(fails) {
                    true => (Kind::Failed, Duration::from_millis(5)),
                    false => (Kind::Answered, WORK.mul_f64(self.rng.random_range(0.4..1.6))),
                };
                if kind == Kind::Failed {
                    self.requests.get_mut(&seq).unwrap().avoid = Some(grant.addr);
                }
                self.ends.insert((now + took, seq), (at, kind, took));
            }
            Reply::Queued => {}
            Reply::Elsewhere { failure_domain, .. } => {
                self.ask_elsewhere(now, failure_domain, seq);
            }
            _ if Self::is_counted(&request) => self.results.refused += 1,
            _ => {}
        }
    }

    fn end(&mut self, now: Time, seq: u64, kind: Kind) {
        let mut request = self.requests[&seq];
        let is_counted = Self::is_counted(&request);
        match kind {
            Kind::Answered if is_counted => {
                let is_in_time = now.since(request.arrived) <= OBJECTIVE;
                self.results.in_time += u32::from(is_in_time);
                self.results.late += u32::from(!is_in_time);
                if is_in_time {
                    let second = request.arrived.0 / 1_000_000;
                    self.results.seconds.entry(second).or_default().1 += 1;
                }
            }
            Kind::Answered => {}
            _ if request.repeatable && request.send == 0 => {
                request.send = 1;
                let seq = self.take_seq();
                self.requests.insert(seq, request);
                self.results.repeats += u32::from(is_counted);
                self.ask(now, seq);
            }
            _ if is_counted => {
                self.results.failed += 1;
                self.results.unsafe_failed += u32::from(!request.repeatable);
            }
            _ => {}
        }
    }

    fn take_seq(&mut self) -> u64 {
        self.next_seq += 1;
        self.next_seq
    }

    fn arrive(&mut self, now: Time, domain: usize) {
        let repeatable = self.rng.random_bool(self.load.repeatable);
        let request = Request { domain, arrived: now, repeatable, send: 0, avoid: None };
        if Self::is_counted(&request) {
            self.results.asked += 1;
            self.results.unsafe_asked += u32::from(!repeatable);
            self.results.seconds.entry(now.0 / 1_000_000).or_default().0 += 1;
        }
        let seq = self.take_seq();
        self.requests.insert(seq, request);
        self.ask(now, seq);
    }

    pub(super) fn run(mut self) -> Results {
        let step = 2;
        // Requests that arrive near the end could not be followed to their end.
        let arrivals_end = (SECONDS - 3) * 1_000;
        for ms in (0..SECONDS * 1_000).step_by(step) {
            let now = Time(ms * 1_000);
            if ms % REDRAWN_AFTER == 0 {
                for it in &mut self.unhealthy {
                    *it = self.rng.random_bool(UNHEALTHY);
                }
            }
            while let Some(entry) = self.ends.first_entry().filter(|it| it.key().0 <= now) {
                let ((_, seq), (at, kind, took)) = entry.remove_entry();
                let settled = self.dispatchers[at].release(now, id(seq), kind, took, &mut self.rng);
                for it in settled {
                    self.reply(now, at, it.id.seq, it.reply);
                }
                self.end(now, seq, kind);
            }
            if ms % 100 == 0 {
                if self.mode == (Mode::ByDomain { knows_loads: true }) {
                    self.exchange_loads(now);
                }
                for at in 0..self.dispatchers.len() {
                    let settled = self.dispatchers[at].tick(now, &mut self.rng);
                    for it in settled {
                        self.reply(now, at, it.id.seq, it.reply);
                    }
                }
            }
            for domain in 0..DOMAINS.len() {
                let expected = self.rate(domain, now) * step as f64 / 1e3;
                if ms < arrivals_end && self.rng.random_bool(expected.min(1.0)) {
                    self.arrive(now, domain);
                }
            }
        }
        self.results.counts = self.dispatchers.iter_mut().map(Dispatcher::take_counts).collect();
        self.results
    }
}
