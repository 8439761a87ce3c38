//! The configuration in force, which traffic threads read without a lock.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use arc_swap::{ArcSwap, Guard};
use resources::{Config, Name, Route};
use rustc_hash::FxHashMap;

/// The fractional part of the golden ratio, scaled to 2⁶⁴. Its multiples modulo 2⁶⁴ are evenly
/// distributed, so that the shares of a split hold over any short sequence of requests.
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;

/// A configuration, and the position of each split route in its sequence.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// The configuration in force.
    pub config: Config,
    /// By the names of the routes. Each position starts at random and advances with every request.
    positions: FxHashMap<Name, AtomicU64>,
}

impl Snapshot {
    /// A snapshot of `config` with random start positions.
    pub fn new(config: Config) -> Self {
        let split = config.routes.iter().filter(|it| !it.split.is_empty());
        let positions = split.map(|it| (it.name.clone(), AtomicU64::new(rand::random()))).collect();
        Self { config, positions }
    }

    /// Picks the service for the next request of a route, in proportion to the weights of its
    /// split.
    pub(crate) fn pick_service(&self, route: &Route) -> Name {
        let position = match self.positions.get(&route.name) {
            Some(it) => it.fetch_add(GOLDEN_RATIO, Ordering::Relaxed),
            None => 0,
        };
        let total: u64 = route.shares().map(|(_, weight)| u64::from(weight)).sum();
        let mut offset = ((u128::from(position) * u128::from(total)) >> 64) as u64;
        for (service, weight) in route.shares() {
            match offset.checked_sub(weight.into()) {
                Some(remainder) => offset = remainder,
                None => return service.clone(),
            }
        }
        route.service.clone()
    }
}

/// The current snapshot, shared by all threads.
#[derive(Clone, Debug, Default)]
pub struct SharedSnapshot {
    current: Arc<ArcSwap<Snapshot>>,
    is_fresh: Arc<AtomicBool>,
}

impl SharedSnapshot {
    /// The snapshot in force.
    pub fn load(&self) -> Guard<Arc<Snapshot>> {
        self.current.load()
    }

    /// Puts a configuration in force.
    pub fn publish(&self, config: Config) {
        self.current.store(Arc::new(Snapshot::new(config)));
    }

    /// Sets whether the configuration was recently confirmed to be the newest.
    pub fn set_fresh(&self, is_fresh: bool) {
        self.is_fresh.store(is_fresh, Ordering::Release);
    }

    /// Whether the configuration was recently confirmed to be the newest.
    pub(crate) fn is_fresh(&self) -> bool {
        self.is_fresh.load(Ordering::Acquire)
    }
}
