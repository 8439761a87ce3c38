//! Simple ways of dispatch that the design is measured against.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use caller::{Admission, Dispatch, Refused, Slot, Want};
use policy::{Grant, Kind, Notice, Tier};
use resources::{Endpoint, Name, Service};
use rustc_hash::FxHashMap;
use tokio::sync::watch;

/// Failures in a row that eject.
const FAILURES: u32 = 5;
/// Time out of rotation.
const OUT: Duration = Duration::from_secs(30);
/// One endpoint of this many may be out.
const MOST_OUT: usize = 10;
/// The baselines do not report stalls.
const NEVER: Duration = Duration::from_secs(3_600);

/// Round robin, with or without ejection after failures in a row.
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
    out_until: Option<Instant>,
}

impl RoundRobin {
    /// Round robin that ejects nobody.
    pub fn new(services: watch::Receiver<Arc<Vec<Arc<Service>>>>) -> Self {
        Self { services, ejects: false, state: Arc::default() }
    }

    /// Round robin that ejects after failures in a row.
    pub fn with_ejection(services: watch::Receiver<Arc<Vec<Arc<Service>>>>) -> Self {
        Self { ejects: true, ..Self::new(services) }
    }
}

impl Dispatch for RoundRobin {
    type Slot = RoundRobinSlot;

    /// It judges each endpoint by its own answers alone.
    fn unserved(&self, _route: &Arc<resources::Route>, _service: &Name) {}

    /// It judges each endpoint by its own answers alone.
    fn refused(&self, _route: &Arc<resources::Route>) {}

    /// It knows no allowances.
    async fn admit(&self, _organisation: u64) -> Admission {
        Admission::Granted
    }

    async fn acquire(&self, want: Want) -> Result<RoundRobinSlot, Refused> {
        let services = self.services.borrow().clone();
        let found = services.iter().find(|it| it.name == want.service && !it.endpoints.is_empty());
        let Some(service) = found else { return Err(Refused::no_capacity(OUT)) };
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
            if !self.is_out(endpoint.addr, now) {
                return endpoint;
            }
        }
        &service.endpoints[self.next]
    }

    fn is_out(&self, addr: SocketAddr, now: Instant) -> bool {
        self.endpoints.get(&addr).and_then(|it| it.out_until).is_some_and(|it| now < it)
    }

    fn record(&mut self, service: &Service, addr: SocketAddr, failed: bool) {
        let now = Instant::now();
        let out = service.endpoints.iter().filter(|it| self.is_out(it.addr, now)).count();
        let it = self.endpoints.entry(addr).or_default();
        it.failures = if failed { it.failures + 1 } else { 0 };
        if it.failures >= FAILURES && out < service.endpoints.len().div_ceil(MOST_OUT) {
            *it = EndpointState { failures: 0, out_until: Some(now + OUT) };
        }
    }
}

/// A turn of the round robin.
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

    fn stalled(&mut self, _elapsed: Duration) {}

    fn answer_began(&mut self, _elapsed: Duration) {}

    fn noticed(&mut self, _notice: Notice) {}

    fn end(self, kind: Kind, elapsed: Duration) {
        if !self.dispatch.ejects || kind == Kind::Shed {
            return;
        }
        let is_unanswered = matches!(kind, Kind::Abandoned | Kind::TimedOut);
        let late = is_unanswered && elapsed > Duration::from_millis(100);
        let mut state = self.dispatch.state.lock().expect("no panic while the state is held");
        let state = state.entry(self.service.name.clone()).or_default();
        let failed = matches!(kind, Kind::Failed | Kind::Crashed | Kind::Unreachable);
        state.record(&self.service, self.grant.addr, failed || late);
    }
}
