//! What the connection attempts of this VM say about its network paths to endpoints.
//!
//! An endpoint that accepts no connection may be down, or the path to it may have failed. The two look
//! alike from one VM, so a failed path is only a reason to ask another VM, never a verdict on the
//! endpoint. Answers on connections that are already open prove nothing here: they may live on while
//! new ones fail.

use std::net::SocketAddr;
use std::time::Duration;

use clock::Moment;
use rustc_hash::FxHashMap;

/// Number of endpoints that accept no connection, with no success at any endpoint meanwhile, from
/// which on this VM counts as cut off from all of them. Fewer may be endpoints that ended together.
const MIN_FAILED_PATHS: usize = 3;
/// A path that no request has needed for this long is forgotten. Its endpoint may be gone.
const FORGET_AFTER: Duration = Duration::from_secs(5);
/// How long a new connection proves that this VM reaches endpoints.
const PROVEN_FOR: Duration = Duration::from_secs(2);

/// State of this VM's path to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathState {
    /// Nothing speaks against it.
    Usable,
    /// It was not tried since this VM is cut off from others.
    Suspected,
    /// The last attempt to connect failed.
    Failed,
}

/// Paths to endpoints, by registered address, that are known or suspected to have failed.
#[derive(Debug, Default)]
pub(crate) struct Paths {
    failed: FxHashMap<SocketAddr, FailedPath>,
    /// The endpoint to which a connection last came up, and when.
    connected: Option<(SocketAddr, Moment)>,
}

/// Whether this VM reaches endpoints other than a given one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Proof {
    /// A connection to another endpoint came up recently.
    Known,
    /// A connection to this endpoint would prove it.
    Connect(SocketAddr),
    /// No other endpoint is known to have been reached.
    None,
    /// This VM is cut off.
    Disproved,
}

#[derive(Clone, Copy, Debug)]
struct FailedPath {
    /// The last failed attempt; `None` if the path is only suspected because others fail.
    failed_at: Option<Moment>,
    /// When a request last needed the path.
    wanted_at: Moment,
}

impl Paths {
    /// Records that a connection came up.
    pub(crate) fn record_connection(&mut self, now: Moment, addr: SocketAddr) {
        self.failed.remove(&addr);
        self.connected = Some((addr, now));
    }

    /// Records that no connection came up.
    pub(crate) fn record_failure(&mut self, now: Moment, addr: SocketAddr) {
        let path = FailedPath { failed_at: None, wanted_at: now };
        self.failed.entry(addr).or_insert(path).failed_at = Some(now);
    }

    /// The state of the path to an endpoint, for a request that needs it.
    pub(crate) fn state(&mut self, now: Moment, addr: SocketAddr) -> PathState {
        if let Some(it) = self.failed.get_mut(&addr) {
            it.wanted_at = now;
            return match it.failed_at {
                Some(_) => PathState::Failed,
                None => PathState::Suspected,
            };
        }
        if !self.is_cut_off() {
            return PathState::Usable;
        }
        self.failed.insert(addr, FailedPath { failed_at: None, wanted_at: now });
        PathState::Suspected
    }

    /// Whether this VM reaches no endpoint, as far as it can tell.
    pub(crate) fn is_cut_off(&self) -> bool {
        let failures = self.failed.values().filter_map(|it| it.failed_at);
        let since_connection =
            failures.filter(|at| self.connected.is_none_or(|(_, connected)| *at > connected));
        since_connection.count() >= MIN_FAILED_PATHS
    }

    /// What is known of whether this VM reaches endpoints other than `addr`.
    pub(crate) fn proof_beside(&self, now: Moment, addr: SocketAddr) -> Proof {
        match self.connected {
            _ if self.is_cut_off() => Proof::Disproved,
            Some((other, _)) if other == addr => Proof::None,
            Some((_, at)) if now.since(at) < PROVEN_FOR => Proof::Known,
            Some((other, _)) => Proof::Connect(other),
            None => Proof::None,
        }
    }

    /// Forgets the paths that are not needed any more, and returns the one to check next: a suspected
    /// one, or else the one with the oldest failure.
    pub(crate) fn next_check(&mut self, now: Moment) -> Option<SocketAddr> {
        self.failed.retain(|_, it| now.since(it.wanted_at) < FORGET_AFTER);
        self.failed.iter().min_by_key(|(_, it)| it.failed_at).map(|(addr, _)| *addr)
    }
}
