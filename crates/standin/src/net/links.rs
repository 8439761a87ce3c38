//! Simulated links of the nodes. TCP transfers between nodes share the sender's link and delay the sender's own calls
//! to the platform.

use std::sync::Arc;
use std::time::Duration;

use fleet::{Admitted, Backlog, Bundle};
use policy::Time;

/// Bytes that one connection queues at a saturated link: a typical TCP window.
const TCP_WINDOW: f64 = 64.0 * 1024.0;

/// A transfer from one node to another.
#[derive(Debug)]
pub(super) struct Transfer {
    pub(super) to: usize,
    pub(super) bundle: Bundle,
    /// Bytes that remain to be sent.
    remaining_bytes: f64,
    started: Time,
    _admitted: Admitted,
}

/// Transfers that ended in a step.
#[derive(Debug, Default)]
pub(super) struct Ended {
    /// Transfers that completed.
    pub(super) completed: Vec<Transfer>,
    /// Transfers that exceeded the time limit.
    pub(super) expired: Vec<Transfer>,
}

/// Sending direction of a node's link.
#[derive(Debug)]
pub(super) struct Link {
    bytes_per_s: f64,
    backlog: Arc<Backlog>,
    /// Active transfers, which share the link equally.
    active: Vec<Transfer>,
}

impl Link {
    pub(super) fn new(mbps: f64) -> Self {
        Self { bytes_per_s: mbps * 125_000.0, backlog: Backlog::for_link(mbps), active: Vec::new() }
    }

    /// Starts a transfer if the backlog admits it; returns whether it did.
    pub(super) fn start(&mut self, now: Time, to: usize, bundle: Bundle, bytes: usize) -> bool {
        let Some(admitted) = self.backlog.admit(bytes) else { return false };
        let remaining_bytes = bytes as f64;
        self.active.push(Transfer {
            to,
            bundle,
            remaining_bytes,
            started: now,
            _admitted: admitted,
        });
        true
    }

    /// Advances by `time` and returns the transfers that ended. Transfers older than `limit` are abandoned.
    pub(super) fn advance(&mut self, now: Time, time: Duration, limit: Duration) -> Ended {
        let expired = self.active.extract_if(.., |it| now.since(it.started) >= limit).collect();
        let share = self.bytes_per_s * time.as_secs_f64() / self.active.len().max(1) as f64;
        self.active.iter_mut().for_each(|it| it.remaining_bytes -= share);
        Ended {
            completed: self.active.extract_if(.., |it| it.remaining_bytes <= 0.0).collect(),
            expired,
        }
    }

    /// Returns the time for which active transfers delay a call of this node.
    pub(super) fn queueing_delay(&self) -> Duration {
        Duration::from_secs_f64(self.active.len() as f64 * TCP_WINDOW / self.bytes_per_s)
    }

    /// Returns the time that this node takes to receive this many bytes over an otherwise idle link.
    pub(super) fn transfer_time(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.bytes_per_s)
    }
}
