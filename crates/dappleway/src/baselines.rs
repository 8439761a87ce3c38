//! Simple dispatch modes that serve as baselines in measurements.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use caller::{Admission, DetourRequest, Dispatch, NoDetour, Refused, Slot, SlotRequest};
use policy::{Grant, Kind, Notice, Tier};
use resources::{Endpoint, Name, Service};
use rustc_hash::FxHashMap;
use tokio::io::DuplexStream;
use tokio::sync::watch;

/// Number of consecutive failures after which an endpoint is ejected.
const FAILURES_TO_EJECT: u32 = 5;
/// Duration of an ejection.
const EJECTION_TIME: Duration = Duration::from_secs(30);
/// At most one in this many endpoints, rounded up, is ejected at a time.
const ENDPOINTS_PER_EJECTION: usize = 10;
/// Stall and hedge timeout of the baselines, which neither report stalls nor hedge.
const NEVER: Duration = Duration::from_secs(3_600);

/// Round robin, with or without ejection after consecutive failures.
#[derive(Clone)]
pub struct RoundRobin {
    services: watch::Receiver<Arc<Vec<Arc<Service>>>>,
    ejects: bool,
    state: Arc<Mutex<FxHashMap<Name, ServiceState>>>,
}

#[derive(Debug, Default)]
struct ServiceState {
    next: usize,
    endpoints: FxHashMap<SocketAddr, EndpointState>,
}

#[derive(Clone, Copy, Debug, Default)]
struct EndpointState {
    failures: u32,
    ejected_until: Option<Instant>,
}

impl RoundRobin {
    /// Creates a round robin without ejection.
    pub fn new(services: watch::Receiver<Arc<Vec<Arc<Service>>>>) -> Self {
        Self { services, ejects: false, state: Arc::default() }
    }

    /// Creates a round robin that ejects endpoints after consecutive failures.
    pub fn with_ejection(services: watch::Receiver<Arc<Vec<Arc<Service>>>>) -> Self {
        Self { ejects: true, ..Self::new(services) }
    }
}

impl Dispatch for RoundRobin {
    type Slot = RoundRobinSlot;
    type Detour = DuplexStream;

    /// Finds none: the baselines know no other nodes.
    async fn open_detour(&self, _: DetourRequest) -> Result<DuplexStream, NoDetour> {
        Err(NoDetour::NoNode)
    }

    /// Does nothing: an endpoint is ejected for its own failures only.
    fn record_unserved(&self, _route: &Arc<resources::Route>, _service: &Name) {}

    /// Does nothing: an endpoint is ejected for its own failures only.
    fn record_refused(&self, _route: &Arc<resources::Route>) {}

    /// Grants every request: the baselines do not enforce allowances.
    async fn admit(&self, _organisation: u64) -> Admission {
        Admission::Granted
    }

    async fn acquire(&self, slot_request: SlotRequest) -> Result<RoundRobinSlot, Refused> {
        let services = self.services.borrow().clone();
        let found =
            services.iter().find(|it| it.name == slot_request.service && !it.endpoints.is_empty());
        let Some(service) = found else { return Err(Refused::no_capacity(EJECTION_TIME)) };
        let mut state = self.state.lock().expect("no panic while the state is held");
        let endpoint = state.entry(service.name.clone()).or_default().pick(service);
        let (started_ms, addr) = (endpoint.started_ms, endpoint.addr);
        let endpoint = endpoint.id.clone();
        let grant = Grant {
            endpoint,
            started_ms,
            addr,
            stall_after: NEVER,
            hedge_after: NEVER,
            trial: false,
            tier: Tier::Good,
            health: Default::default(),
            is_watched: false,
            is_rate_limited: false,
        };
        Ok(RoundRobinSlot { dispatch: self.clone(), service: service.clone(), grant })
    }
}

impl ServiceState {
    fn pick<'a>(&mut self, service: &'a Service) -> &'a Endpoint {
        let n = service.endpoints.len();
        let now = Instant::now();
        for _ in 0..n {
            self.next = (self.next + 1) % n;
            let endpoint = &service.endpoints[self.next];
            if !self.is_ejected(endpoint.addr, now) {
                return endpoint;
            }
        }
        &service.endpoints[self.next]
    }

    fn is_ejected(&self, addr: SocketAddr, now: Instant) -> bool {
        self.endpoints.get(&addr).and_then(|it| it.ejected_until).is_some_and(|it| now < it)
    }

    fn record(&mut self, service: &Service, addr: SocketAddr, failed: bool) {
        let now = Instant::now();
        let ejected = service.endpoints.iter().filter(|it| self.is_ejected(it.addr, now)).count();
        let it = self.endpoints.entry(addr).or_default();
        it.failures = if failed { it.failures + 1 } else { 0 };
        if it.failures >= FAILURES_TO_EJECT
            && ejected < service.endpoints.len().div_ceil(ENDPOINTS_PER_EJECTION)
        {
            *it = EndpointState { failures: 0, ejected_until: Some(now + EJECTION_TIME) };
        }
    }
}

/// A slot at the endpoint that the round robin picked.
pub struct RoundRobinSlot {
    dispatch: RoundRobin,
    service: Arc<Service>,
    grant: Grant,
}

impl Slot for RoundRobinSlot {
    fn grant(&self) -> &Grant {
        &self.grant
    }

    fn granted_by(&self) -> &'static str {
        "baseline"
    }

    fn report_stall(&mut self, _elapsed: Duration) {}

    fn report_answer_start(&mut self, _elapsed: Duration) {}

    fn report_notice(&mut self, _notice: Notice) {}

    fn end(self, kind: Kind, elapsed: Duration) {
        if !self.dispatch.ejects || kind == Kind::Shed {
            return;
        }
        let is_unanswered = matches!(kind, Kind::Abandoned | Kind::TimedOut);
        let is_late = is_unanswered && elapsed > Duration::from_millis(100);
        let mut state = self.dispatch.state.lock().expect("no panic while the state is held");
        let state = state.entry(self.service.name.clone()).or_default();
        let has_failed = matches!(kind, Kind::Failed | Kind::Crashed | Kind::Unreachable);
        state.record(&self.service, self.grant.addr, has_failed || is_late);
    }
}
