//! The planned stop of a node, as seen by the requests of its callers.

use std::time::Duration;

use clock::Moment;
use tokio::sync::watch;

/// Whether and when the planned stop of this node has begun. Clones share the state.
#[derive(Clone, Debug)]
pub struct PlannedStop {
    began: watch::Sender<Option<Moment>>,
}

impl Default for PlannedStop {
    fn default() -> Self {
        Self { began: watch::Sender::new(None) }
    }
}

impl PlannedStop {
    /// Begins the stop, at the signal.
    pub fn begin(&self) {
        self.began.send_replace(Some(Moment::now()));
    }

    /// Time since the signal; `None` if no stop has begun.
    pub fn elapsed(&self) -> Option<Duration> {
        self.began.borrow().map(Moment::elapsed)
    }
}
