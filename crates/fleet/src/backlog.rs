//! Limits the bytes that a node sends concurrently to peers that fetch from it.
//!
//! Peers fetch all at once: when a configuration changes, every node of a failure domain fetches it
//! from the reader. A fetch that would exceed what the link carries in a moment is refused at once,
//! and the refused nodes read the platform themselves. Without the limit, copies of 345 KB filled a
//! link of 10 Mbit/s for three seconds; the node's own calls to the platform got no answer, and the
//! node used an outdated configuration for 3.4 to 4.9 s after the acknowledgement of the next one
//! (2.5 s are allowed).

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// The bytes in flight may occupy the link for this long. A call to the platform waits up to 0.4 s
/// for its answer.
const MAX_DELAY: Duration = Duration::from_millis(200);
/// Bytes per second on a link of 1 Mbit/s.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// Counts the bytes in flight against their limit.
#[derive(Debug)]
pub struct Backlog {
    limit: usize,
    in_flight: AtomicUsize,
}

/// A reservation in the backlog, returned on drop.
#[derive(Debug)]
pub struct Admitted {
    backlog: Arc<Backlog>,
    bytes: usize,
}

impl Backlog {
    /// Creates the backlog of a node with a link of `mbps` Mbit/s.
    pub fn for_link(mbps: f64) -> Arc<Self> {
        let limit = (mbps * BYTES_PER_MBIT * MAX_DELAY.as_secs_f64()) as usize;
        Arc::new(Self { limit, in_flight: AtomicUsize::new(0) })
    }

    /// Reserves space for an answer of `bytes` bytes; returns `None` if it does not fit. An answer
    /// longer than the limit is admitted while nothing else is in flight.
    pub fn admit(self: &Arc<Self>, bytes: usize) -> Option<Admitted> {
        let add = |it: usize| (it == 0 || it + bytes <= self.limit).then_some(it + bytes);
        let admitted = self.in_flight.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        admitted.ok().map(|_| Admitted { backlog: self.clone(), bytes })
    }

    /// Bytes in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.backlog.in_flight.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
