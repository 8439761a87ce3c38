//! What traffic threads read: the configuration in force, swapped as a whole without a lock.

use std::sync::Arc;

use arc_swap::{ArcSwap, Guard};
use policy::Budget;
use resources::{Config, Name};
use rustc_hash::FxHashMap;
use std::sync::Mutex;

/// One configuration and the retry budgets of its services.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// The configuration in force.
    pub config: Config,
    budgets: FxHashMap<Name, Arc<Mutex<Budget>>>,
}

impl Snapshot {
    /// Runs `f` on the retry budget of a service. The lock is held for a few instructions and only
    /// for this service.
    pub(crate) fn with_budget<T>(&self, service: &str, f: impl FnOnce(&mut Budget) -> T) -> T {
        match self.budgets.get(service) {
            Some(it) => f(&mut it.lock().expect("no panic while a budget is held")),
            None => f(&mut Budget::default()),
        }
    }
}

/// The snapshot that all threads share.
#[derive(Clone, Debug, Default)]
pub struct Shared {
    current: Arc<ArcSwap<Snapshot>>,
}

impl Shared {
    /// The snapshot in force.
    pub fn load(&self) -> Guard<Arc<Snapshot>> {
        self.current.load()
    }

    /// Puts a configuration in force; budgets of services that stay are kept.
    pub fn publish(&self, config: Config) {
        let old = self.current.load();
        let budgets = config
            .services
            .keys()
            .map(|it| (it.clone(), old.budgets.get(it).cloned().unwrap_or_default()))
            .collect();
        self.current.store(Arc::new(Snapshot { config, budgets }));
    }
}
