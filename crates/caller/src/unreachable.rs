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
pub(crate) struct UnreachableEndpoints {
    failed_at: Mutex<FxHashMap<SocketAddr, Moment>>,
}

impl UnreachableEndpoints {
    /// Records a failed connection.
    pub(crate) fn record_failure(&self, addr: SocketAddr) {
        self.failed_at.lock().insert(addr, Moment::now());
    }

    /// Records an answer.
    pub(crate) fn record_answer(&self, addr: SocketAddr) {
        self.failed_at.lock().remove(&addr);
    }

    /// The endpoints to avoid: those in `tried` and those with a recent connection failure.
    pub(crate) fn to_avoid(&self, tried: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut failed_at = self.failed_at.lock();
        failed_at.retain(|_, at| at.elapsed() < AVOID_FOR);
        let others = failed_at.keys().copied().filter(|it| !tried.contains(it));
        tried.iter().copied().chain(others).take(MAX_AVOIDED).collect()
    }
}
