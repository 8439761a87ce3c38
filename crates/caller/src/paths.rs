//! Endpoints that this node recently failed to connect to. Other nodes may still reach them.

use std::net::SocketAddr;
use std::time::Duration;

use clock::Moment;
use parking_lot::Mutex;
use rustc_hash::FxHashMap;

/// How long an endpoint is avoided after a failed connection. Network failures between two hosts
/// last for seconds, and an early retry costs no more than one failed connection.
const AVOID_FOR: Duration = Duration::from_secs(3);
/// Maximum number of endpoints to avoid in one `Ask`, so that it fits into a frame.
pub(crate) const MAX_AVOIDED: usize = 16;

/// Addresses that this node recently failed to connect to.
#[derive(Debug, Default)]
pub(crate) struct Paths {
    failed: Mutex<FxHashMap<SocketAddr, Moment>>,
}

impl Paths {
    /// Records a failed connection.
    pub(crate) fn failed(&self, addr: SocketAddr) {
        self.failed.lock().insert(addr, Moment::now());
    }

    /// Records an answer.
    pub(crate) fn works(&self, addr: SocketAddr) {
        self.failed.lock().remove(&addr);
    }

    /// The endpoints to avoid: those in `tried` and those with a recent connection failure.
    pub(crate) fn avoided(&self, tried: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut failed = self.failed.lock();
        failed.retain(|_, at| at.elapsed() < AVOID_FOR);
        let others = failed.keys().copied().filter(|it| !tried.contains(it));
        tried.iter().copied().chain(others).take(MAX_AVOIDED).collect()
    }
}
