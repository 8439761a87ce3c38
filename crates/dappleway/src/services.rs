//! The services in force with their endpoints, and the dispatchers of one node: for each service one
//! for itself, and one for the fleet where it is the node that dispatches.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use policy::{
    BudgetLimits, Change, Dispatcher, NodeId, Notice, Observation, Precedence, QueuedReply,
    Rejection, RequestKey, RouteTerms, RunEnd, Time, Topology, stable_hash,
};
use rand::Rng;
use resources::{Config, Endpoint, Name, Registration, Service};
use rustc_hash::FxHashMap;

/// Hash of a name, as it stands in frames.
pub fn name_hash(name: &str) -> u64 {
    stable_hash(name.as_bytes())
}

/// Hash of a route's name, as it stands in frames.
pub fn route_hash(name: &str) -> u32 {
    name_hash(name) as u32
}

/// One service.
#[derive(Debug)]
pub struct ServiceState {
    /// Its document with the endpoints that are known now.
    pub service: Arc<Service>,
    /// Picks for this node alone.
    pub direct: Dispatcher,
    /// Hands out slots to all nodes.
    pub own: Option<Dispatcher>,
    routes: Vec<RouteTerms>,
}

/// All services in force, by the hash of their name.
#[derive(Debug)]
pub struct Services {
    by_hash: FxHashMap<u64, ServiceState>,
    /// The documents in force with the routes that lead to them.
    documents: Vec<(Arc<Service>, Vec<RouteTerms>)>,
    endpoints: FxHashMap<Name, Vec<Endpoint>>,
    budget: BudgetLimits,
    topology: Topology,
    /// Hash of the failure domain of this node.
    failure_domain: u64,
    /// Nodes of the fleet, this one included.
    nodes: usize,
}

impl Services {
    /// No services.
    pub fn new(budget: BudgetLimits, topology: Topology, failure_domain: u64) -> Self {
        Self {
            by_hash: FxHashMap::default(),
            documents: Vec::new(),
            endpoints: FxHashMap::default(),
            budget,
            topology,
            failure_domain,
            nodes: 1,
        }
    }

    /// Follows a change of the budget for repeats.
    pub fn set_budget(&mut self, now: Time, budget: BudgetLimits) {
        self.budget = budget;
        self.for_each(|_, _, it| it.set_budget(now, budget));
    }

    /// Follows a change of the number of nodes in the fleet, this one included.
    pub fn set_nodes(&mut self, nodes: usize) {
        if std::mem::replace(&mut self.nodes, nodes) != nodes {
            self.for_each(|_, _, it| it.set_nodes(nodes));
        }
    }

    /// Follows a configuration that has come into force.
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
        let documents = config.services.values();
        self.documents =
            documents.map(|it| (it.clone(), routes.remove(&it.name).unwrap_or_default())).collect();
        self.rebuild(now);
    }

    /// Follows the registry of endpoints.
    pub fn set_endpoints(&mut self, now: Time, all: impl Iterator<Item = Registration>) {
        self.endpoints.clear();
        for it in all {
            self.endpoints.entry(it.service).or_default().push(it.endpoint);
        }
        self.rebuild(now);
    }

    /// A service by the hash of its name.
    pub fn get_mut(&mut self, hash: u64) -> Option<&mut ServiceState> {
        self.by_hash.get_mut(&hash)
    }

    /// A service by the hash of its name.
    pub fn get(&self, hash: u64) -> Option<&ServiceState> {
        self.by_hash.get(&hash)
    }

    /// Hashes of all services.
    pub fn hashes(&self) -> impl Iterator<Item = u64> {
        self.by_hash.keys().copied()
    }

    /// All services.
    pub fn iter(&self) -> impl Iterator<Item = &ServiceState> {
        self.by_hash.values()
    }

    /// Runs `f` on every dispatcher, with the hash of its service and for whom it dispatches.
    pub fn for_each(&mut self, mut f: impl FnMut(u64, Scope, &mut Dispatcher)) {
        for (hash, it) in &mut self.by_hash {
            f(*hash, Scope::Alone, &mut it.direct);
            it.own.iter_mut().for_each(|own| f(*hash, Scope::Fleet, own));
        }
    }

    /// Uses an endpoint last until `until`. Two nodes may both dispatch it for a while; then each
    /// heeds the other.
    pub fn hint(&mut self, until: Time, addr: SocketAddr) {
        self.for_each(|_, _, it| it.hint(until, addr));
    }

    /// Learns of a request of another node that went wrong, for the time when this one dispatches.
    pub fn observe(&mut self, now: Time, service: u64, endpoint: &str, it: Observation) {
        let Some(state) = self.by_hash.get_mut(&service) else { return };
        state.direct.observe(now, endpoint, it);
        state.own.iter_mut().for_each(|own| own.observe(now, endpoint, it));
    }

    /// Learns what an endpoint said of itself. Returns whether that is news.
    pub fn noticed(&mut self, now: Time, service: u64, it: &Noticed) -> bool {
        let Some(state) = self.by_hash.get_mut(&service) else { return false };
        let hear =
            |to: &mut Dispatcher| to.noticed(now, it.by, &it.endpoint, it.started_ms, it.notice);
        let is_news = hear(&mut state.direct);
        state.own.iter_mut().fold(is_news, |is_news, own| hear(own) || is_news)
    }

    /// Learns from another node how a request ended, for the time when this one dispatches.
    pub fn ran(&mut self, now: Time, service: u64, ran: Ran) {
        let Some(state) = self.by_hash.get_mut(&service) else { return };
        let tell = |it: &mut Dispatcher| it.ran(now, ran.request, ran.end, ran.elapsed);
        tell(&mut state.direct);
        state.own.iter_mut().for_each(tell);
    }

    /// Sends a request no more, to whichever service.
    pub fn reject(&mut self, now: Time, rejection: Rejection) {
        self.for_each(|_, _, it| it.reject(now, rejection));
    }

    /// Moves every dispatcher in time.
    pub fn tick(&mut self, now: Time, rng: &mut impl Rng) -> Ticked {
        self.collect(|it| it.tick(now, rng))
    }

    /// Tells every dispatcher that this process was paused.
    pub fn wake(&mut self, now: Time, rng: &mut impl Rng) -> Ticked {
        self.collect(|it| it.wake(now, rng))
    }

    fn collect(&mut self, mut f: impl FnMut(&mut Dispatcher) -> Vec<QueuedReply>) -> Ticked {
        let mut ticked = Ticked::default();
        self.for_each(|hash, scope, it| {
            ticked.settled.extend(f(it).into_iter().map(|settled| (scope, settled)));
            ticked.rejections.extend(it.take_rejections());
            ticked.changes.extend(it.take_changes().into_iter().map(|it| (hash, scope, it)));
        });
        ticked
    }

    fn rebuild(&mut self, now: Time) {
        let mut old = std::mem::take(&mut self.by_hash);
        for (document, routes) in &self.documents {
            let hash = name_hash(&document.name);
            let service = self.with_endpoints(document);
            let state = match old.remove(&hash) {
                Some(it) => it.reconfigured(now, service, routes),
                None => ServiceState::new(now, service, routes, &Terms::of(self)),
            };
            self.by_hash.insert(hash, state);
        }
    }

    fn with_endpoints(&self, document: &Arc<Service>) -> Arc<Service> {
        let Some(announced) = self.endpoints.get(&document.name) else { return document.clone() };
        let mut service = Service::clone(document);
        service.endpoints.extend(announced.iter().cloned());
        Arc::new(service)
    }
}

/// For whom a dispatcher hands out slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// For this node.
    Alone,
    /// For all nodes.
    Fleet,
}

/// What an endpoint said of itself in an answer.
#[derive(Clone, Debug)]
pub struct Noticed {
    /// The node whose request it answered.
    pub by: NodeId,
    /// Identity of the endpoint.
    pub endpoint: Name,
    /// When its life began, in Unix milliseconds.
    pub started_ms: u64,
    /// What it said.
    pub notice: Notice,
}

/// How a request ended that another node sent.
#[derive(Clone, Copy, Debug)]
pub struct Ran {
    /// The request.
    pub request: RequestKey,
    /// How its run ended.
    pub end: RunEnd,
    /// Time from the send to that.
    pub elapsed: Duration,
}

/// What followed from moving the dispatchers in time.
#[derive(Debug, Default)]
pub struct Ticked {
    /// Replies to those that waited.
    pub settled: Vec<(Scope, QueuedReply)>,
    /// Changes of endpoints, with the hash of their service.
    pub changes: Vec<(u64, Scope, Change)>,
    /// Requests that a dispatcher has come to reject.
    pub rejections: Vec<Rejection>,
}

impl ServiceState {
    fn new(now: Time, service: Arc<Service>, routes: &[RouteTerms], terms: &Terms) -> Self {
        let direct = terms.dispatcher(now, &service, routes);
        Self { service, direct, own: None, routes: routes.to_vec() }
    }

    fn reconfigured(mut self, now: Time, service: Arc<Service>, routes: &[RouteTerms]) -> Self {
        if service == self.service && routes == self.routes {
            return self;
        }
        self.direct.reconfigure(now, &service, routes);
        self.own.iter_mut().for_each(|it| it.reconfigure(now, &service, routes));
        Self { service, routes: routes.to_vec(), ..self }
    }

    /// The dispatcher whose word on the endpoints counts at this node: the one for the fleet if there is
    /// one.
    pub fn dispatcher(&self) -> &Dispatcher {
        self.own.as_ref().unwrap_or(&self.direct)
    }

    /// The dispatcher for the fleet; made when it is first asked for. It starts with what this node
    /// has seen itself.
    fn own(&mut self, now: Time, terms: &Terms) -> &mut Dispatcher {
        let make = || {
            let new = terms.dispatcher(now, &self.service, &self.routes);
            new.with_beliefs_of(now, &self.direct)
        };
        self.own.get_or_insert_with(make)
    }
}

/// What every dispatcher of a node goes by.
struct Terms {
    budget: BudgetLimits,
    topology: Topology,
    failure_domain: u64,
    nodes: usize,
}

impl Terms {
    fn of(it: &Services) -> Self {
        let Services { budget, failure_domain, nodes, .. } = *it;
        Self { budget, topology: it.topology.clone(), failure_domain, nodes }
    }

    /// A new dispatcher. Until it is known whether this node is the first choice it is one of many.
    fn dispatcher(&self, now: Time, service: &Service, routes: &[RouteTerms]) -> Dispatcher {
        let mut new = Dispatcher::new(now, service, routes, self.budget);
        new.set_topology(self.topology.clone(), self.failure_domain);
        new.set_nodes(self.nodes);
        new.set_precedence(Precedence::OneOfMany);
        new
    }
}

impl Services {
    /// The dispatcher of a service for the fleet.
    pub fn own(&mut self, now: Time, hash: u64) -> Option<&mut Dispatcher> {
        let terms = Terms::of(self);
        self.by_hash.get_mut(&hash).map(|it| it.own(now, &terms))
    }
}
