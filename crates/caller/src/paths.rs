//! Endpoints that this node could not reach a moment ago, though others may.

use std::net::SocketAddr;
use std::time::Duration;

use clock::Moment;
use parking_lot::Mutex;
use rustc_hash::FxHashMap;

/// A path that failed is avoided for this long. Cuts of single paths last for seconds, and trying
/// again costs one connection that does not come up.
const AVOID_FOR: Duration = Duration::from_secs(3);
/// Most endpoints named to a dispatcher, so that an ask fits its frame.
pub(crate) const MAX_AVOIDED: usize = 16;

/// Paths of this node that failed lately.
#[derive(Debug, Default)]
pub(crate) struct Paths {
    failed: Mutex<FxHashMap<SocketAddr, Moment>>,
}

impl Paths {
    /// Records that no connection came up.
    pub(crate) fn failed(&self, addr: SocketAddr) {
        self.failed.lock().insert(addr, Moment::now());
    }

    /// Records that an answer came.
    pub(crate) fn works(&self, addr: SocketAddr) {
        self.failed.lock().remove(&addr);
    }

    /// The endpoints to avoid: those in `tried` and those that could not be reached lately.
    pub(crate) fn avoided(&self, tried: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut failed = self.failed.lock();
        failed.retain(|_, at| at.elapsed() < AVOID_FOR);
        let others = failed.keys().copied().filter(|it| !tried.contains(it));
        tried.iter().copied().chain(others).take(MAX_AVOIDED).collect()
    }
}
