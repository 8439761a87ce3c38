//! The memory budget of a node for long request bodies that are kept for a repeat.

use std::sync::Arc;

use prometheus::IntGauge;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Granularity of reservations in bytes.
const PIECE: usize = 16 * 1024;

/// The memory budget of a node.
pub(crate) struct BodyRoom {
    free: Arc<Semaphore>,
    /// Number of reserved bytes.
    used: IntGauge,
}

/// The reservation of one body, released on drop.
#[derive(Default)]
pub(crate) struct Taken {
    pieces: Option<OwnedSemaphorePermit>,
    used: Option<IntGauge>,
}

impl BodyRoom {
    /// A budget of `bytes`, rounded down to whole pieces; `used` shows the reserved part.
    pub(crate) fn new(bytes: usize, used: IntGauge) -> Self {
        Self { free: Arc::new(Semaphore::new(bytes / PIECE)), used }
    }

    /// Grows `taken` to at least `bytes`. Returns false if the budget is too small.
    pub(crate) fn grow(&self, taken: &mut Taken, bytes: usize) -> bool {
        let has = taken.pieces.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let lacks = bytes.div_ceil(PIECE).saturating_sub(has);
        if lacks == 0 {
            return true;
        }
        let Ok(more) = self.free.clone().try_acquire_many_owned(lacks as u32) else {
            return false;
        };
        self.used.add((lacks * PIECE) as i64);
        taken.used.get_or_insert_with(|| self.used.clone());
        match &mut taken.pieces {
            Some(it) => it.merge(more),
            None => taken.pieces = Some(more),
        }
        true
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        if let (Some(pieces), Some(used)) = (&self.pieces, &self.used) {
            used.sub((pieces.num_permits() * PIECE) as i64);
        }
    }
}
