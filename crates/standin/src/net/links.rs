//! Links of the nodes: what nodes send each other over TCP shares the sender's link, and the sender's own
//! calls to the platform wait behind it.

use std::sync::Arc;
use std::time::Duration;

use fleet::{Admitted, Backlog, Bundle};
use policy::Time;

/// Bytes of one connection that wait in front of a full link: a usual TCP window.
const WINDOW: f64 = 64.0 * 1024.0;

/// One transfer from a node to another.
#[derive(Debug)]
pub(super) struct Transfer {
    pub(super) to: usize,
    pub(super) bundle: Bundle,
    /// Bytes that are still to be sent.
    left: f64,
    since: Time,
    _admitted: Admitted,
}

/// What has become of transfers.
#[derive(Debug, Default)]
pub(super) struct Ended {
    /// Those that have arrived.
    pub(super) arrived: Vec<Transfer>,
    /// Those that were given up.
    pub(super) late: Vec<Transfer>,
}

/// The sending side of one node's link.
#[derive(Debug)]
pub(super) struct Link {
    bytes_per_s: f64,
    backlog: Arc<Backlog>,
    /// Transfers under way; they share the link equally.
    active: Vec<Transfer>,
}

impl Link {
    pub(super) fn new(mbps: f64) -> Self {
        Self { bytes_per_s: mbps * 125_000.0, backlog: Backlog::for_link(mbps), active: Vec::new() }
    }

    /// Takes on a transfer if the backlog admits it.
    pub(super) fn begin(&mut self, now: Time, to: usize, bundle: Bundle, bytes: usize) -> bool {
        let Some(admitted) = self.backlog.admit(bytes) else { return false };
        let left = bytes as f64;
        self.active.push(Transfer { to, bundle, left, since: now, _admitted: admitted });
        true
    }

    /// Lets time pass; returns the transfers that have ended. Those older than `limit` are given up.
    pub(super) fn turn(&mut self, now: Time, turn: Duration, limit: Duration) -> Ended {
        let late = self.active.extract_if(.., |it| now.since(it.since) >= limit).collect();
        let share = self.bytes_per_s * turn.as_secs_f64() / self.active.len().max(1) as f64;
        self.active.iter_mut().for_each(|it| it.left -= share);
        Ended { arrived: self.active.extract_if(.., |it| it.left <= 0.0).collect(), late }
    }

    /// How long a call of this node waits before it is on its way.
    pub(super) fn delay(&self) -> Duration {
        Duration::from_secs_f64(self.active.len() as f64 * WINDOW / self.bytes_per_s)
    }

    /// Time that so many bytes take to this node while nothing else is under way to it.
    pub(super) fn time_for(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.bytes_per_s)
    }
}
