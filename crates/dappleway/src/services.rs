//! The services in force with their endpoints, and the dispatchers of this node. Each service has a direct
//! dispatcher for this node's own requests, and fleet dispatchers if other nodes ask this node for slots: one for
//! all endpoints of the service, or one for each failure domain whose slots this node grants.

mod failure_domains;
mod left;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use policy::{
    Ask, BudgetLimits, Change, DispatchOptions, Dispatcher, DomainLoad, MAX_LOAD_AGE, NodeId,
    Notice, Observation, Precedence, QueuedReply, Rejection, RequestKey, RouteTerms, RunEnd, State,
    Time, Topology, stable_hash,
};
use rand::Rng;
use resources::{Config, Endpoint, Name, Registration, Service};
use rustc_hash::FxHashMap;

pub use self::failure_domains::FailureDomains;
pub use self::left::LeftEndpoints;

/// How long a service stays dispatched by failure domain after it has ceased to qualify. Endpoints that are missing
/// for a moment would otherwise change the granting nodes twice, and each change loses what they know.
const UNQUALIFIED_DELAY: Duration = Duration::from_secs(5);

/// Hash of a name, as used in frames between nodes.
pub fn name_hash(name: &str) -> u64 {
    stable_hash(name.as_bytes())
}

/// Hash of a route's name, as used in frames between nodes.
pub fn route_hash(name: &str) -> u32 {
    name_hash(name) as u32
}

/// A service with its dispatchers on this node.
#[derive(Debug)]
pub struct ServiceState {
    /// The service with all endpoints that are known now.
    pub service: Arc<Service>,
    /// Picks endpoints for this node's own requests.
    pub direct: Dispatcher,
    /// Hand out slots to all nodes, by the failure domain of the endpoints; `None` for all endpoints. Each is
    /// created on first use.
    pub fleet: FxHashMap<Option<u64>, Dispatcher>,
    /// The service's failure domains with their endpoints.
    domains: FailureDomains,
    /// Whether the failure domains qualify, or did until less than [`UNQUALIFIED_DELAY`] ago. A service that never
    /// did since this node started does not.
    is_qualified: bool,
    /// When they ceased to qualify, while the delay lasts.
    unqualified_since: Option<Time>,
    /// Whether the settings allow dispatch by failure domain and all nodes support it.
    is_domain_dispatch_allowed: bool,
    /// Latest loads received from the nodes that grant slots in other failure domains, by failure domain and
    /// sender. Two nodes may grant in one failure domain for a while, and each of them knows its own slots only.
    remote_loads: FxHashMap<(u64, NodeId), (DomainLoad, Time)>,
    /// Slots granted to requests of this node.
    pub sends: SendCounts,
    /// Endpoints that have left and are handed out to this node all the same.
    pub left: LeftEndpoints,
    routes: Vec<RouteTerms>,
}

/// Numbers of slots granted to requests of this node, by the distance of the endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendCounts {
    /// In the failure domain of this node.
    pub near: u64,
    /// In another failure domain.
    pub far: u64,
}

/// All services in force.
#[derive(Debug)]
pub struct Services {
    by_hash: FxHashMap<u64, ServiceState>,
    /// The services as configured, each with the terms of the routes that lead to it.
    configured: Vec<(Arc<Service>, Vec<RouteTerms>)>,
    /// Registered endpoints by service, beyond those of the configuration.
    endpoints: FxHashMap<Name, Vec<Endpoint>>,
    budget: BudgetLimits,
    options: DispatchOptions,
    topology: Topology,
    /// Hash of the failure domain of this node.
    failure_domain: u64,
    /// Number of nodes in the fleet, this one included.
    nodes: usize,
    /// Whether the settings allow dispatch by failure domain and all nodes support it.
    is_domain_dispatch_allowed: bool,
}

impl Services {
    /// Creates an empty set of services.
    pub fn new(budget: BudgetLimits, topology: Topology, failure_domain: u64) -> Self {
        Self {
            by_hash: FxHashMap::default(),
            configured: Vec::new(),
            endpoints: FxHashMap::default(),
            budget,
            options: DispatchOptions::default(),
            topology,
            failure_domain,
            nodes: 1,
            is_domain_dispatch_allowed: false,
        }
    }

    /// Sets whether services that qualify are dispatched by failure domain.
    pub fn allow_domain_dispatch(&mut self, is_allowed: bool) {
        self.is_domain_dispatch_allowed = is_allowed;
        self.by_hash.values_mut().for_each(|it| it.is_domain_dispatch_allowed = is_allowed);
    }

    /// Sets the options of the dispatchers.
    pub fn with_options(self, options: DispatchOptions) -> Self {
        Self { options, ..self }
    }

    /// Changes the limits of the budget for repeats.
    pub fn set_budget(&mut self, now: Time, budget: BudgetLimits) {
        self.budget = budget;
        self.for_each(|_, _, it| it.set_budget(now, budget));
    }

    /// Changes the options of the dispatchers.
    pub fn set_options(&mut self, options: DispatchOptions) {
        self.options = options;
        self.for_each(|_, _, it| it.set_options(options));
    }

    /// Sets the number of nodes in the fleet, this one included.
    pub fn set_nodes(&mut self, nodes: usize) {
        if std::mem::replace(&mut self.nodes, nodes) != nodes {
            self.for_each(|_, _, it| it.set_nodes(nodes));
        }
    }

    /// Applies a configuration that has come into force.
    pub fn reconfigure(&mut self, now: Time, config: &Config) {
        let mut routes: FxHashMap<&Name, Vec<RouteTerms>> = FxHashMap::default();
        for route in config.routes.iter() {
            let total: u64 = route.shares().map(|(_, weight)| u64::from(weight)).sum();
            for (service, weight) in route.shares() {
                let terms = RouteTerms {
                    id: route_hash(&route.name),
                    objective: route.objective(),
                    share: f64::from(weight) / total.max(1) as f64,
                };
                routes.entry(service).or_default().push(terms);
            }
        }
        let services = config.services.values();
        self.configured =
            services.map(|it| (it.clone(), routes.remove(&it.name).unwrap_or_default())).collect();
        self.rebuild(now);
    }

    /// Replaces all registered endpoints.
    pub fn set_endpoints(&mut self, now: Time, all: impl Iterator<Item = Registration>) {
        self.endpoints.clear();
        for it in all {
            self.endpoints.entry(it.service).or_default().push(it.endpoint);
        }
        self.rebuild(now);
    }

    /// Returns a service by the hash of its name.
    pub fn get_mut(&mut self, hash: u64) -> Option<&mut ServiceState> {
        self.by_hash.get_mut(&hash)
    }

    /// Returns a service by the hash of its name.
    pub fn get(&self, hash: u64) -> Option<&ServiceState> {
        self.by_hash.get(&hash)
    }

    /// Iterates over the name hashes of all services.
    pub fn hashes(&self) -> impl Iterator<Item = u64> {
        self.by_hash.keys().copied()
    }

    /// Name hashes of the services that are dispatched by failure domain.
    pub fn dispatched_by_domain(&self) -> impl Iterator<Item = u64> {
        let by_domain = self.by_hash.iter().filter(|(_, it)| it.dispatch_domains().is_some());
        by_domain.map(|(hash, _)| *hash)
    }

    /// Iterates over all services.
    pub fn iter(&self) -> impl Iterator<Item = &ServiceState> {
        self.by_hash.values()
    }

    /// Runs `f` on every dispatcher, with the name hash of its service and the dispatcher's scope.
    pub fn for_each(&mut self, mut f: impl FnMut(u64, Scope, &mut Dispatcher)) {
        for (hash, it) in &mut self.by_hash {
            f(*hash, Scope::Node, &mut it.direct);
            it.fleet.iter_mut().for_each(|(domain, fleet)| f(*hash, Scope::Fleet(*domain), fleet));
        }
    }

    /// Ranks an endpoint last until `until`, because a peer's verdict says that it is ejected. Two nodes may
    /// dispatch the same service for a while, and then follow each other's verdicts.
    pub fn apply_peer_ejection(&mut self, until: Time, addr: SocketAddr) {
        self.for_each(|_, _, it| it.hint(until, addr));
    }

    /// Records a failed request of another node, for the time when this node dispatches the service.
    pub fn observe(&mut self, now: Time, service: u64, endpoint: &str, it: Observation) {
        let Some(state) = self.by_hash.get_mut(&service) else { return };
        state.direct.observe(now, endpoint, it);
        state.fleet.values_mut().for_each(|fleet| fleet.observe(now, endpoint, it));
    }

    /// Applies a notice from an endpoint. Returns whether it changed what a dispatcher knows.
    pub fn apply_notice(&mut self, now: Time, service: u64, it: &EndpointNotice) -> bool {
        let Some(state) = self.by_hash.get_mut(&service) else { return false };
        let apply =
            |to: &mut Dispatcher| to.noticed(now, it.by, &it.endpoint, it.started_ms, it.notice);
        let is_change = apply(&mut state.direct);
        state.fleet.values_mut().fold(is_change, |is_change, fleet| apply(fleet) || is_change)
    }

    /// Records how a request of another node ended, for the time when this node dispatches the service.
    pub fn record_run(&mut self, now: Time, service: u64, run: RunReport) {
        let Some(state) = self.by_hash.get_mut(&service) else { return };
        let record = |it: &mut Dispatcher| it.run_ended(now, run.request, run.end, run.elapsed);
        record(&mut state.direct);
        state.fleet.values_mut().for_each(record);
    }

    /// Rejects all further sends of a request, at every service.
    pub fn reject(&mut self, now: Time, rejection: Rejection) {
        self.for_each(|_, _, it| it.reject(now, rejection));
    }

    /// Advances every dispatcher to `now`.
    pub fn tick(&mut self, now: Time, rng: &mut impl Rng) -> TickOutput {
        self.by_hash.values_mut().for_each(|it| it.update_qualification(now));
        self.collect_output(|it| it.tick(now, rng))
    }

    /// Notifies every dispatcher that this process was paused until `now`.
    pub fn resume(&mut self, now: Time, rng: &mut impl Rng) -> TickOutput {
        self.collect_output(|it| it.wake(now, rng))
    }

    fn collect_output(
        &mut self,
        mut f: impl FnMut(&mut Dispatcher) -> Vec<QueuedReply>,
    ) -> TickOutput {
        let mut output = TickOutput::default();
        self.for_each(|hash, scope, it| {
            output.settled.extend(f(it).into_iter().map(|settled| (scope, settled)));
            output.rejections.extend(it.take_rejections());
            output.changes.extend(it.take_changes().into_iter().map(|it| (hash, scope, it)));
        });
        output
    }

    fn rebuild(&mut self, now: Time) {
        let mut old = std::mem::take(&mut self.by_hash);
        for (configured, routes) in &self.configured {
            let hash = name_hash(&configured.name);
            let service = self.with_endpoints(configured);
            let state = match old.remove(&hash) {
                Some(it) => it.reconfigured(now, service, routes),
                None => ServiceState::new(now, service, routes, &DispatcherParams::of(self)),
            };
            self.by_hash.insert(hash, state);
        }
    }

    fn with_endpoints(&self, configured: &Arc<Service>) -> Arc<Service> {
        let Some(registered) = self.endpoints.get(&configured.name) else {
            return configured.clone();
        };
        let mut service = Service::clone(configured);
        service.endpoints.extend(registered.iter().cloned());
        Arc::new(service)
    }
}

/// The nodes that a dispatcher hands out slots to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// This node only.
    Node,
    /// All nodes of the fleet, for the endpoints of one failure domain or, if none is given, for all endpoints.
    Fleet(Option<u64>),
}

impl Scope {
    /// Whether slots are handed out to all nodes.
    pub fn is_fleet(self) -> bool {
        matches!(self, Self::Fleet(_))
    }
}

/// A notice from an endpoint, which it attached to an answer.
#[derive(Clone, Debug)]
pub struct EndpointNotice {
    /// The node whose request the endpoint answered.
    pub by: NodeId,
    /// Id of the endpoint.
    pub endpoint: Name,
    /// When the endpoint's process started, in Unix milliseconds.
    pub started_ms: u64,
    /// The notice.
    pub notice: Notice,
}

/// A report of another node on how one of its requests ended.
#[derive(Clone, Copy, Debug)]
pub struct RunReport {
    /// The request.
    pub request: RequestKey,
    /// How the run of the request ended.
    pub end: RunEnd,
    /// Time from the send to the end of the run.
    pub elapsed: Duration,
}

/// Output of a tick of all dispatchers.
#[derive(Debug, Default)]
pub struct TickOutput {
    /// Replies to requests that waited for a slot.
    pub settled: Vec<(Scope, QueuedReply)>,
    /// State changes of endpoints, with the name hash of their service.
    pub changes: Vec<(u64, Scope, Change)>,
    /// Requests that a dispatcher has started to reject.
    pub rejections: Vec<Rejection>,
}

impl ServiceState {
    fn new(
        now: Time,
        service: Arc<Service>,
        routes: &[RouteTerms],
        params: &DispatcherParams,
    ) -> Self {
        let direct = params.new_dispatcher(now, &service, routes);
        let domains = FailureDomains::of(&service);
        Self {
            direct,
            fleet: FxHashMap::default(),
            is_qualified: domains.qualify(),
            unqualified_since: None,
            domains,
            is_domain_dispatch_allowed: params.is_domain_dispatch_allowed,
            remote_loads: FxHashMap::default(),
            sends: SendCounts::default(),
            left: LeftEndpoints::default(),
            service,
            routes: routes.to_vec(),
        }
    }

    fn reconfigured(mut self, now: Time, service: Arc<Service>, routes: &[RouteTerms]) -> Self {
        if service == self.service && routes == self.routes {
            return self;
        }
        self.direct.reconfigure(now, &service, routes);
        for (domain, it) in &mut self.fleet {
            let endpoints = failure_domains::endpoints_in(&service, *domain);
            it.reconfigure(now, &endpoints, routes);
        }
        let domains = FailureDomains::of(&service);
        let mut new = Self { service, domains, routes: routes.to_vec(), ..self };
        new.update_qualification(now);
        new
    }

    fn update_qualification(&mut self, now: Time) {
        if self.domains.qualify() {
            (self.is_qualified, self.unqualified_since) = (true, None);
        } else if self.is_qualified {
            let since = *self.unqualified_since.get_or_insert(now);
            self.is_qualified = now.since(since) < UNQUALIFIED_DELAY;
        } else {
            self.unqualified_since = None;
        }
    }

    /// The failure domains of the endpoints.
    pub fn domains(&self) -> &FailureDomains {
        &self.domains
    }

    /// The failure domains of the endpoints if each of them has a dispatching node of its own; `None` if one node
    /// dispatches all endpoints.
    pub fn dispatch_domains(&self) -> Option<&FailureDomains> {
        Some(&self.domains).filter(|_| self.is_domain_dispatch_allowed && self.is_qualified)
    }

    /// Applies loads that another node has sent, to the dispatchers of this node.
    pub fn set_remote_loads(&mut self, now: Time, from: NodeId, loads: &[DomainLoad]) {
        self.remote_loads.retain(|_, (_, at)| now.since(*at) <= MAX_LOAD_AGE);
        for it in loads.iter().filter(|it| self.domains.contains(it.failure_domain)) {
            self.remote_loads.insert((it.failure_domain, from), (*it, now));
        }
        let mut known = self.remote_loads(now);
        known.retain(|known| loads.iter().any(|it| it.failure_domain == known.failure_domain));
        for (_, it) in self.fleet.iter_mut().filter(|(domain, _)| domain.is_some()) {
            it.set_remote_loads(now, &known);
        }
    }

    /// Loads received from other nodes that are recent enough to be used, one for each failure domain: the sums of
    /// what its senders report, and the largest number of usable slots, because all senders count the same ones.
    pub fn remote_loads(&self, now: Time) -> Vec<DomainLoad> {
        let mut sums: Vec<DomainLoad> = Vec::new();
        let recent = self.remote_loads.values().filter(|(_, at)| now.since(*at) <= MAX_LOAD_AGE);
        for (it, _) in recent {
            match sums.iter_mut().find(|sum| sum.failure_domain == it.failure_domain) {
                Some(sum) => {
                    sum.usable = sum.usable.max(it.usable);
                    sum.in_use = sum.in_use.saturating_add(it.in_use);
                    sum.queued = sum.queued.saturating_add(it.queued);
                    sum.served += it.served;
                    sum.unserved += it.unserved;
                }
                None => sums.push(*it),
            }
        }
        sums
    }

    /// Hash of the failure domain of an endpoint.
    pub fn failure_domain_of(&self, endpoint: &str) -> Option<u64> {
        let position = self.direct.rotation().position(endpoint)?;
        Some(name_hash(&self.direct.endpoints()[position].failure_domain))
    }

    /// Addresses of endpoints that accept nothing from the node `me`, for an ask.
    pub fn closed(&self, now: Time, me: NodeId) -> Vec<SocketAddr> {
        let mut closed = self.left.named(now).to_vec();
        let noticed = self.direct.closed(now, me);
        closed.extend(noticed.into_iter().filter(|it| !self.left.named(now).contains(it)));
        closed.truncate(Ask::MAX_CLOSED);
        closed
    }

    /// Whether an endpoint that may get work has this address now.
    pub fn is_in_use(&self, addr: SocketAddr) -> bool {
        self.direct.endpoints().iter().any(|it| it.addr == addr && it.state != State::Leaving)
    }

    /// Counts a slot granted to a request of this node, whose failure domain is `own`.
    pub fn count_send(&mut self, own: u64, endpoint: &str) {
        match self.failure_domain_of(endpoint) {
            Some(it) if it == own => self.sends.near += 1,
            Some(_) => self.sends.far += 1,
            None => {}
        }
    }

    /// Load by failure domain as far as it is known: of the dispatchers of this node that grant slots, and of other
    /// nodes.
    pub fn known_loads(&self, now: Time) -> Vec<DomainLoad> {
        let dispatching = self.fleet.iter().filter(|(_, it)| it.is_dispatching(now));
        let (by_domain, for_all): (Vec<_>, Vec<_>) =
            dispatching.partition(|(domain, _)| domain.is_some());
        let own = by_domain.into_iter().chain(for_all).flat_map(|(_, it)| it.domain_loads(now));
        let mut loads: Vec<DomainLoad> = Vec::new();
        for it in own.chain(self.remote_loads(now)) {
            if loads.iter().all(|known| known.failure_domain != it.failure_domain) {
                loads.push(it);
            }
        }
        loads.sort_unstable_by_key(|it| it.failure_domain);
        loads
    }

    /// The dispatcher whose view of an endpoint of this failure domain this node reports: a fleet dispatcher that
    /// grants slots now, else any fleet dispatcher, else the direct dispatcher.
    pub fn active_dispatcher(&self, now: Time, failure_domain: u64) -> &Dispatcher {
        let fleet = [self.fleet.get(&Some(failure_domain)), self.fleet.get(&None)];
        let mut fleet = fleet.into_iter().flatten();
        let active = fleet.clone().find(|it| it.is_dispatching(now));
        active.or_else(|| fleet.next()).unwrap_or(&self.direct)
    }

    /// For each endpoint: the dispatcher whose view this node reports, and the endpoint's position in it.
    pub fn endpoint_views(&self, now: Time) -> impl Iterator<Item = (&Dispatcher, usize)> {
        self.service.endpoints.iter().filter_map(move |it| {
            let dispatcher = self.active_dispatcher(now, name_hash(&it.failure_domain));
            Some((dispatcher, dispatcher.rotation().position(&it.id)?))
        })
    }

    /// For how much longer a dispatcher of this node rejects a request, if one does.
    pub fn rejected(&self, now: Time, request: RequestKey) -> Option<Duration> {
        let mut all = std::iter::once(&self.direct).chain(self.fleet.values());
        all.find_map(|it| it.rejected(now, request))
    }

    /// The other fleet dispatchers that grant slots of the same endpoints. One of another failure domain knows nothing
    /// of these, and its likelihoods and suspects are those of other endpoints. The order is that of the failure
    /// domains, because the likelihoods of the last one are taken.
    fn health_sources(&self, now: Time, failure_domain: Option<u64>) -> Vec<&Dispatcher> {
        let shares_endpoints =
            |it: Option<u64>| it != failure_domain && (it.is_none() || failure_domain.is_none());
        let sources = self.fleet.iter();
        let sources =
            sources.filter(|(it, from)| shares_endpoints(**it) && from.is_dispatching(now));
        let mut sources: Vec<_> = sources.collect();
        sources.sort_unstable_by_key(|(domain, _)| **domain);
        sources.into_iter().map(|(_, it)| it).collect()
    }

    /// Updates the health estimates of a dispatcher that comes back into use from the dispatchers that granted slots of
    /// its endpoints meanwhile.
    fn refresh_health(&mut self, now: Time, failure_domain: Option<u64>) {
        let Some(stale) = self.fleet.remove(&failure_domain) else { return };
        let sources = self.health_sources(now, failure_domain);
        let fresh = sources.into_iter().fold(stale, |it, from| it.with_health_of(now, from));
        self.fleet.insert(failure_domain, fresh);
    }

    /// Returns the fleet dispatcher of a failure domain, or of all endpoints, and creates it on the first call. A
    /// new one starts with the beliefs of a fleet dispatcher that grants slots of the same endpoints, or else of
    /// the direct dispatcher. Returns `None` if the service has no endpoint in the failure domain.
    fn fleet_dispatcher(
        &mut self,
        now: Time,
        failure_domain: Option<u64>,
        params: &DispatcherParams,
    ) -> Option<&mut Dispatcher> {
        if !self.fleet.contains_key(&failure_domain) {
            if failure_domain.is_some_and(|it| !self.domains.contains(it)) {
                return None;
            }
            let endpoints = failure_domains::endpoints_in(&self.service, failure_domain);
            let mut new = params.new_dispatcher(now, &endpoints, &self.routes);
            new = new.with_health_of(now, &self.direct);
            let sources = self.health_sources(now, failure_domain);
            new = sources.into_iter().fold(new, |new, it| new.with_health_of(now, it));
            self.fleet.insert(failure_domain, new);
        } else if self.fleet.get(&failure_domain).is_some_and(|it| it.is_unused(now)) {
            self.refresh_health(now, failure_domain);
        }
        self.fleet.get_mut(&failure_domain)
    }
}

/// Parameters common to all dispatchers of this node.
struct DispatcherParams {
    budget: BudgetLimits,
    options: DispatchOptions,
    topology: Topology,
    failure_domain: u64,
    nodes: usize,
    is_domain_dispatch_allowed: bool,
}

impl DispatcherParams {
    fn of(it: &Services) -> Self {
        let Services { budget, options, failure_domain, nodes, is_domain_dispatch_allowed, .. } =
            *it;
        let topology = it.topology.clone();
        Self { budget, options, topology, failure_domain, nodes, is_domain_dispatch_allowed }
    }

    /// Creates a dispatcher. Its precedence is `OneOfMany` until this node is known to be the first choice.
    fn new_dispatcher(&self, now: Time, service: &Service, routes: &[RouteTerms]) -> Dispatcher {
        let mut new = Dispatcher::new(now, service, routes, self.budget);
        new.set_options(self.options);
        new.set_topology(self.topology.clone(), self.failure_domain);
        new.set_nodes(self.nodes);
        new.set_precedence(Precedence::OneOfMany);
        new
    }
}

impl Services {
    /// Returns the fleet dispatcher of a service for a failure domain, or for all endpoints if none is given, and
    /// creates it on the first call. Returns `None` if no such endpoints are known.
    pub fn fleet_dispatcher(
        &mut self,
        now: Time,
        hash: u64,
        failure_domain: Option<u64>,
    ) -> Option<&mut Dispatcher> {
        let params = DispatcherParams::of(self);
        self.by_hash.get_mut(&hash)?.fleet_dispatcher(now, failure_domain, &params)
    }
}
