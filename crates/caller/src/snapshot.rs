//! What traffic threads read: the configuration in force, swapped as a whole without a lock.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use arc_swap::{ArcSwap, Guard};
use resources::{Config, Name, Route};
use rustc_hash::FxHashMap;

/// The fractional part of the golden ratio, as a fraction of 2⁶⁴: multiples of it are spread evenly,
/// so that the parts of a split are kept over any stretch of requests.
const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;

/// One configuration, and where each split route stands in its sequence.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// The configuration in force.
    pub config: Config,
    turns: FxHashMap<Name, AtomicU64>,
}

impl Snapshot {
    /// A configuration that has come into force.
    pub fn new(config: Config) -> Self {
        let split = config.routes.iter().filter(|it| !it.split.is_empty());
        let turns = split.map(|it| (it.name.clone(), AtomicU64::new(rand::random()))).collect();
        Self { config, turns }
    }

    /// The service for the next request of a route.
    pub(crate) fn pick_service(&self, route: &Route) -> Name {
        let turn = match self.turns.get(&route.name) {
            Some(it) => it.fetch_add(GOLDEN, Ordering::Relaxed),
            None => 0,
        };
        let total: u64 = route.shares().map(|(_, weight)| u64::from(weight)).sum();
        let mut at = ((u128::from(turn) * u128::from(total)) >> 64) as u64;
        for (service, weight) in route.shares() {
            match at.checked_sub(weight.into()) {
                Some(rest) => at = rest,
                None => return service.clone(),
            }
        }
        route.service.clone()
    }
}

/// The snapshot that all threads share.
#[derive(Clone, Debug, Default)]
pub struct Shared {
    current: Arc<ArcSwap<Snapshot>>,
    is_fresh: Arc<AtomicBool>,
}

impl Shared {
    /// The snapshot in force.
    pub fn load(&self) -> Guard<Arc<Snapshot>> {
        self.current.load()
    }

    /// Puts a configuration in force.
    pub fn publish(&self, config: Config) {
        self.current.store(Arc::new(Snapshot::new(config)));
    }

    /// Says whether the configuration is surely the newest but for a moment.
    pub fn set_fresh(&self, is_fresh: bool) {
        self.is_fresh.store(is_fresh, Ordering::Release);
    }

    pub(crate) fn is_fresh(&self) -> bool {
        self.is_fresh.load(Ordering::Acquire)
    }
}
