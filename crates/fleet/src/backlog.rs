//! How much a node has under way to peers that fetch from it.
//!
//! Peers come all at once: when a configuration changes, each node of a failure domain fetches it from the one
//! that reads the platform. Whatever is more than the link carries in a moment is refused at once; those
//! that are refused read the platform themselves. Without a bound a link of 10 Mbit/s was full for three
//! seconds with copies of 345 KB, the node's own calls to the platform got no answer, and it used a
//! configuration for 3.4 to 4.9 s after the next one was acknowledged (2.5 s are allowed).

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// What is under way may take the link for so long. A call to the platform waits up to 0.4 s for its
/// answer.
const MAX_DELAY: Duration = Duration::from_millis(200);
/// Bytes a second of a link of 1 Mbit/s.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// Bytes under way, and how many there may be.
#[derive(Debug)]
pub struct Backlog {
    limit: usize,
    under_way: AtomicUsize,
}

/// A place in the backlog, given back when it is dropped.
#[derive(Debug)]
pub struct Admitted {
    backlog: Arc<Backlog>,
    bytes: usize,
}

impl Backlog {
    /// The backlog of a node whose link carries so many Mbit/s.
    pub fn for_link(mbps: f64) -> Arc<Self> {
        let limit = (mbps * BYTES_PER_MBIT * MAX_DELAY.as_secs_f64()) as usize;
        Arc::new(Self { limit, under_way: AtomicUsize::new(0) })
    }

    /// Takes on an answer of so many bytes if it fits. One that is too long by itself is sent while nothing
    /// else is.
    pub fn admit(self: &Arc<Self>, bytes: usize) -> Option<Admitted> {
        let fits = |it: usize| (it == 0 || it + bytes <= self.limit).then_some(it + bytes);
        let admitted = self.under_way.fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits);
        admitted.ok().map(|_| Admitted { backlog: self.clone(), bytes })
    }

    /// Bytes under way.
    pub fn under_way(&self) -> usize {
        self.under_way.load(Ordering::Relaxed)
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.backlog.under_way.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
