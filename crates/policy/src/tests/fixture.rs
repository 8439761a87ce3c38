//! A test service, and an outlier detector fed with simulated outcomes.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use resources::{Bias, Endpoint, Floor, Priority, Service, Standing};

use crate::outlier::OutlierDetector;
use crate::{
    Ask, BudgetLimits, Dispatcher, Kind, NodeId, Observation, PermitId, Reply, Reporter,
    RequestKey, RouteTerms, SendKind, State, Time,
};

pub(super) const ROUTE: u32 = 7;
pub(super) const TERMS: RouteTerms =
    RouteTerms { id: ROUTE, objective: Duration::from_millis(600), share: 1.0 };

/// A service whose endpoints are spread over the failure domains `a`, `b`, `c`, ….
pub(super) fn service(sizes: &[usize], floor: usize, bias: Bias) -> Service {
    let mut endpoints = Vec::new();
    for (domain, n) in sizes.iter().enumerate() {
        for i in 0..*n {
            let port = port(domain, i);
            let failure_domain = ["a", "b", "c", "d"][domain].into();
            endpoints.push(Endpoint {
                id: format!("i-{port}").into(),
                addr: ([127, 0, 0, 1], port).into(),
                failure_domain,
                slots: 0,
                standing: Standing::Present,
                warm_up_ms: 0,
                started_ms: 0,
            });
        }
    }
    Service {
        name: "s".into(),
        endpoints,
        floor: Floor::Count(floor as u32),
        bias,
        slots: 3,
        connections: 200,
        cold_rate_per_s: 0.0,
        warm_up_ms: 0,
    }
}

/// Distinct ports; those of small services follow a readable pattern.
fn port(domain: usize, i: usize) -> u16 {
    match i < 100 {
        true => 1000 + 100 * domain as u16 + i as u16,
        false => 2000 + 4000 * domain as u16 + i as u16,
    }
}

pub(super) fn reporter(node: u64) -> Reporter {
    Reporter { node: NodeId(node), failure_domain: node % 3 }
}

/// The observation of one request by a node.
pub(super) fn seen(node: u64, kind: Kind, elapsed: Duration) -> Observation {
    Observation { reporter: reporter(node), endpoint: 0, route: ROUTE, kind, elapsed }
}

/// How an endpoint answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Health {
    Healthy,
    Stalls(f64),
    Fails(f64),
    Slow(f64),
}

/// An outlier detector for one service, whose endpoints have exponential latencies of 10 ms.
pub(super) struct Bench {
    pub(super) detector: OutlierDetector,
    pub(super) now: Time,
    pub(super) health: Vec<Health>,
    pub(super) heavy_tail: bool,
    rng: StdRng,
}

impl Bench {
    pub(super) fn new(service: &Service) -> Self {
        Self {
            detector: OutlierDetector::new(Time(0), service, &[TERMS]),
            now: Time(0),
            health: vec![Health::Healthy; service.endpoints.len()],
            heavy_tail: false,
            rng: StdRng::seed_from_u64(1),
        }
    }

    /// Sends one request to a random endpoint in rotation and reports the outcome to the detector.
    pub(super) fn step(&mut self, every: Duration) {
        let n = self.health.len();
        let endpoint = self.rng.random_range(0..n);
        let node = self.rng.random_range(0..40);
        self.now = self.now + every;
        self.detector.tick(self.now);
        let status = &self.detector.rotation.endpoints()[endpoint];
        if status.admits(self.now, true) {
            let health = self.health[endpoint];
            self.report(endpoint, reporter(node), health);
        }
    }

    /// Reports the outcome of one request to the detector.
    pub(super) fn report(&mut self, endpoint: usize, reporter: Reporter, health: Health) {
        let (kind, elapsed) = self.outcome(health);
        let it = Observation { reporter, endpoint, route: ROUTE, kind, elapsed };
        self.detector.observe(self.now, it);
    }

    pub(super) fn run(&mut self, requests: usize, every: Duration) {
        (0..requests).for_each(|_| self.step(every));
    }

    pub(super) fn states(&self) -> Vec<&'static str> {
        self.detector.rotation.endpoints().iter().map(|it| it.state.name()).collect()
    }

    pub(super) fn ejections(&mut self) -> usize {
        let changes = self.detector.rotation.take_changes();
        changes.iter().filter(|it| matches!(it.to, State::Ejected { .. })).count()
    }

    fn outcome(&mut self, health: Health) -> (Kind, Duration) {
        let exponential = -(1.0 - self.rng.random::<f64>()).ln();
        let tail = if self.heavy_tail && self.rng.random_bool(0.01) { 20.0 } else { 1.0 };
        let usual = Duration::from_millis(10).mul_f64(exponential * tail);
        let stall_after = self.detector.baseline.stall_after(ROUTE);
        match health {
            Health::Stalls(share) if self.rng.random_bool(share) => (Kind::Stalled, stall_after),
            Health::Fails(share) if self.rng.random_bool(share) => (Kind::Failed, usual),
            Health::Slow(factor) => self.as_seen(usual.mul_f64(factor)),
            _ => self.as_seen(usual),
        }
    }

    /// A reporter reports a request as stalled before the request ends.
    fn as_seen(&self, elapsed: Duration) -> (Kind, Duration) {
        let stall_after = self.detector.baseline.stall_after(ROUTE);
        match elapsed > stall_after {
            true => (Kind::Stalled, stall_after),
            false => (Kind::Answered, elapsed),
        }
    }
}

pub(super) const SECOND: Duration = Duration::from_secs(1);
pub(super) const BUDGET: BudgetLimits =
    BudgetLimits { ratio: 0.1, extra: 40.0, window: Duration::from_secs(10) };

pub(super) fn ask(seq: u64, wait: bool) -> Ask {
    Ask {
        id: PermitId { node: NodeId(seq % 5), seq },
        reporter: reporter(seq % 5),
        route: ROUTE,
        request: RequestKey::default(),
        repeatable: true,
        priority: Priority(0),
        organisation: seq % 3,
        weight: 1,
        long_answer: false,
        send: SendKind::First,
        brings_share: true,
        avoid: Vec::new(),
        closed: Vec::new(),
        domains: None,
        limits: Vec::new(),
        left: SECOND,
        is_last: false,
        objective: SECOND,
        wait,
    }
}

pub(super) fn fill(dispatcher: &mut Dispatcher, rng: &mut StdRng, n: u64) -> Vec<Reply> {
    (0..n).map(|seq| dispatcher.ask(Time(0), ask(seq, false), rng)).collect()
}
