//! The services in force with their endpoints, and the dispatchers of this node. Each service has a direct
//! dispatcher for this node's own requests, and a fleet dispatcher if other nodes ask this node for slots.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use policy::{
    BudgetLimits, Change, DispatchOptions, Dispatcher, NodeId, Notice, Observation, Precedence,
    QueuedReply, Rejection, RequestKey, RouteTerms, RunEnd, Time, Topology, stable_hash,
};
use rand::Rng;
use resources::{Config, Endpoint, Name, Registration, Service};
use rustc_hash::FxHashMap;

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
    /// Hands out slots to all nodes; created on first use.
    pub fleet: Option<Dispatcher>,
    routes: Vec<RouteTerms>,
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
        }
    }

    /// Sets the options of the dispatchers that are created from now on.
    #[must_use]
    pub fn with_options(mut self, options: DispatchOptions) -> Self {
        self.options = options;
        self
    }

    /// Changes the options of all dispatchers.
    pub fn set_options(&mut self, options: DispatchOptions) {
        self.options = options;
        self.for_each(|_, _, it| it.set_options(options));
    }

    /// Changes the limits of the budget for repeats.
    pub fn set_budget(&mut self, now: Time, budget: BudgetLimits) {
        self.budget = budget;
        self.for_each(|_, _, it| it.set_budget(now, budget));
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

    /// Iterates over all services.
    pub fn iter(&self) -> impl Iterator<Item = &ServiceState> {
        self.by_hash.values()
    }

    /// Runs `f` on every dispatcher, with the name hash of its service and the dispatcher's scope.
    pub fn for_each(&mut self, mut f: impl FnMut(u64, Scope, &mut Dispatcher)) {
        for (hash, it) in &mut self.by_hash {
            f(*hash, Scope::Node, &mut it.direct);
            it.fleet.iter_mut().for_each(|fleet| f(*hash, Scope::Fleet, fleet));
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
        state.fleet.iter_mut().for_each(|fleet| fleet.observe(now, endpoint, it));
    }

    /// Applies a notice from an endpoint. Returns whether it changed what a dispatcher knows.
    pub fn apply_notice(&mut self, now: Time, service: u64, it: &EndpointNotice) -> bool {
        let Some(state) = self.by_hash.get_mut(&service) else { return false };
        let apply =
            |to: &mut Dispatcher| to.noticed(now, it.by, &it.endpoint, it.started_ms, it.notice);
        let is_change = apply(&mut state.direct);
        state.fleet.iter_mut().fold(is_change, |is_change, fleet| apply(fleet) || is_change)
    }

    /// Records how a request of another node ended, for the time when this node dispatches the service.
    pub fn record_run(&mut self, now: Time, service: u64, run: RunReport) {
        let Some(state) = self.by_hash.get_mut(&service) else { return };
        let record = |it: &mut Dispatcher| it.run_ended(now, run.request, run.end, run.elapsed);
        record(&mut state.direct);
        state.fleet.iter_mut().for_each(record);
    }

    /// Rejects all further sends of a request, at every service.
    pub fn reject(&mut self, now: Time, rejection: Rejection) {
        self.for_each(|_, _, it| it.reject(now, rejection));
    }

    /// Advances every dispatcher to `now`.
    pub fn tick(&mut self, now: Time, rng: &mut impl Rng) -> TickOutput {
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
    /// All nodes of the fleet.
    Fleet,
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
        Self { service, direct, fleet: None, routes: routes.to_vec() }
    }

    fn reconfigured(mut self, now: Time, service: Arc<Service>, routes: &[RouteTerms]) -> Self {
        if service == self.service && routes == self.routes {
            return self;
        }
        self.direct.reconfigure(now, &service, routes);
        self.fleet.iter_mut().for_each(|it| it.reconfigure(now, &service, routes));
        Self { service, routes: routes.to_vec(), ..self }
    }

    /// The dispatcher whose view of the endpoints this node reports: the fleet dispatcher if there is one, the
    /// direct dispatcher otherwise.
    pub fn active_dispatcher(&self) -> &Dispatcher {
        self.fleet.as_ref().unwrap_or(&self.direct)
    }

    /// Returns the fleet dispatcher, and creates it on the first call. A new fleet dispatcher starts with the
    /// beliefs of the direct dispatcher.
    fn fleet_dispatcher(&mut self, now: Time, params: &DispatcherParams) -> &mut Dispatcher {
        let make = || {
            let new = params.new_dispatcher(now, &self.service, &self.routes);
            new.with_health_of(now, &self.direct)
        };
        self.fleet.get_or_insert_with(make)
    }
}

/// Parameters common to all dispatchers of this node.
struct DispatcherParams {
    budget: BudgetLimits,
    options: DispatchOptions,
    topology: Topology,
    failure_domain: u64,
    nodes: usize,
}

impl DispatcherParams {
    fn of(it: &Services) -> Self {
        let Services { budget, options, failure_domain, nodes, .. } = *it;
        Self { budget, options, topology: it.topology.clone(), failure_domain, nodes }
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
    /// Returns the fleet dispatcher of a service, and creates it on the first call.
    pub fn fleet_dispatcher(&mut self, now: Time, hash: u64) -> Option<&mut Dispatcher> {
        let params = DispatcherParams::of(self);
        self.by_hash.get_mut(&hash).map(|it| it.fleet_dispatcher(now, &params))
    }
}
