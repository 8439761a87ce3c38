//! The dispatchers of one node: for each service one for itself, and one for each failure domain
//! that it dispatches for others.

use std::net::SocketAddr;
use std::sync::Arc;

use policy::{Change, Dispatcher, Settled, Time, stable_hash};
use rand::Rng;
use resources::{Config, Name, Service};
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
    /// Its document.
    pub service: Arc<Service>,
    /// Failure domains that have endpoints, by hash.
    pub failure_domains: Vec<(u64, Name)>,
    /// Picks for this node alone.
    pub direct: Dispatcher,
    /// Hands out the slots of a failure domain to all nodes.
    pub own: FxHashMap<u64, Dispatcher>,
    routes: Vec<u32>,
}

/// All services in force, by the hash of their name.
#[derive(Debug, Default)]
pub struct Services {
    by_hash: FxHashMap<u64, ServiceState>,
}

impl Services {
    /// Follows a configuration that has come into force.
    pub fn reconfigure(&mut self, now: Time, config: &Config) {
        let mut routes: FxHashMap<u64, Vec<u32>> = FxHashMap::default();
        for it in config.routes.iter() {
            routes.entry(name_hash(&it.service)).or_default().push(route_hash(&it.name));
        }
        let mut old = std::mem::take(&mut self.by_hash);
        for service in config.services.values() {
            let hash = name_hash(&service.name);
            let routes = routes.remove(&hash).unwrap_or_default();
            let state = match old.remove(&hash) {
                Some(it) => it.reconfigured(now, service, routes),
                None => ServiceState::new(now, service, routes),
            };
            self.by_hash.insert(hash, state);
        }
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

    /// Runs `f` on every dispatcher, with the hashes of its service and, if it dispatches for
    /// others, its failure domain.
    pub fn for_each(&mut self, mut f: impl FnMut(u64, Option<u64>, &mut Dispatcher)) {
        for (hash, it) in &mut self.by_hash {
            f(*hash, None, &mut it.direct);
            it.own.iter_mut().for_each(|(domain, own)| f(*hash, Some(*domain), own));
        }
    }

    /// Marks an endpoint as leaving wherever it is listed.
    pub fn leave(&mut self, now: Time, addr: SocketAddr) {
        self.for_each(|_, _, it| it.leave(now, addr));
    }

    /// Uses an endpoint last until `until`. Two nodes may both dispatch it for a while; then each
    /// heeds the other.
    pub fn hint(&mut self, until: Time, addr: SocketAddr) {
        self.for_each(|_, _, it| it.hint(until, addr));
    }
}

impl ServiceState {
    fn new(now: Time, service: &Arc<Service>, routes: Vec<u32>) -> Self {
        Self {
            service: service.clone(),
            failure_domains: failure_domains(service),
            direct: Dispatcher::new(now, service, None, &routes),
            own: FxHashMap::default(),
            routes,
        }
    }

    fn reconfigured(mut self, now: Time, service: &Arc<Service>, routes: Vec<u32>) -> Self {
        self.failure_domains = failure_domains(service);
        self.direct.reconfigure(now, service, &routes);
        let domains = &self.failure_domains;
        self.own.retain(|hash, _| domains.iter().any(|(it, _)| it == hash));
        self.own.values_mut().for_each(|it| it.reconfigure(now, service, &routes));
        Self { service: service.clone(), routes, ..self }
    }

    /// The dispatcher for a failure domain; made when it is first asked for.
    pub fn own(&mut self, now: Time, failure_domain: u64) -> Option<&mut Dispatcher> {
        let (_, name) = self.failure_domains.iter().find(|(it, _)| *it == failure_domain)?;
        let make = || Dispatcher::new(now, &self.service, Some(name.clone()), &self.routes);
        Some(self.own.entry(failure_domain).or_insert_with(make))
    }

    /// Hashes of the failure domains, `first` at the front if it has endpoints, the others turned
    /// by `turn` so that overflow spreads over them.
    pub fn domains_from(&self, first: u64, turn: u64) -> Vec<u64> {
        let mut domains: Vec<u64> = self.failure_domains.iter().map(|(it, _)| *it).collect();
        let n = domains.len().max(1);
        domains.rotate_left((turn as usize) % n);
        domains.sort_by_key(|it| *it != first);
        domains
    }
}

fn failure_domains(service: &Service) -> Vec<(u64, Name)> {
    let names = policy::domain_floors(service).into_iter().map(|(name, _)| name);
    names.map(|it| (name_hash(&it), it)).collect()
}

/// What ticking all dispatchers brought.
#[derive(Debug, Default)]
pub struct Ticked {
    /// Replies to those that waited: failure domain if dispatched for others, reply.
    pub settled: Vec<(Option<u64>, Settled)>,
    /// State changes: service, failure domain if dispatched for others, change.
    pub changes: Vec<(u64, Option<u64>, Change)>,
}

impl Services {
    /// Moves all dispatchers in time.
    pub fn tick(&mut self, now: Time, rng: &mut impl Rng) -> Ticked {
        let mut out = Ticked::default();
        self.for_each(|service, domain, it| {
            out.settled.extend(it.tick(now, rng).into_iter().map(|it| (domain, it)));
            out.changes.extend(it.take_changes().into_iter().map(|it| (service, domain, it)));
        });
        out
    }

    /// Forgets evidence in all dispatchers after a pause of this process.
    pub fn wake(&mut self, now: Time, rng: &mut impl Rng) -> Ticked {
        let mut out = Ticked::default();
        self.for_each(|_, domain, it| {
            out.settled.extend(it.wake(now, rng).into_iter().map(|it| (domain, it)));
        });
        out
    }
}
