//! The memory budgets of a node for long bodies: of requests that are kept for a repeat, and of answers that are
//! buffered until they are complete.

use std::sync::Arc;

use bytes::Bytes;
use prometheus::IntGauge;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Granularity of reservations in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// A memory budget of a node.
pub(crate) struct BodyMemory {
    free: Arc<Semaphore>,
    /// Number of reserved bytes.
    used: IntGauge,
}

/// The reservation of one body, released on drop.
#[derive(Default)]
pub(crate) struct Reservation {
    chunks: Option<OwnedSemaphorePermit>,
    used: Option<IntGauge>,
}

impl BodyMemory {
    /// A budget of `bytes`, rounded down to a multiple of the granularity. `used` shows the reserved
    /// part.
    pub(crate) fn new(bytes: usize, used: IntGauge) -> Self {
        Self { free: Arc::new(Semaphore::new(bytes / CHUNK_BYTES)), used }
    }

    /// Grows `reservation` to at least `bytes`. Returns false if not enough of the budget is free.
    pub(crate) fn grow(&self, reservation: &mut Reservation, bytes: usize) -> bool {
        let held = reservation.chunks.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let missing = bytes.div_ceil(CHUNK_BYTES).saturating_sub(held);
        if missing == 0 {
            return true;
        }
        let Ok(more) = self.free.clone().try_acquire_many_owned(missing as u32) else {
            return false;
        };
        self.used.add((missing * CHUNK_BYTES) as i64);
        reservation.used.get_or_insert_with(|| self.used.clone());
        match &mut reservation.chunks {
            Some(it) => it.merge(more),
            None => reservation.chunks = Some(more),
        }
        true
    }
}

impl Reservation {
    /// Ties the reservation to `buf`: it is released when the last handle to the bytes is dropped, which may be long
    /// after the body that they belong to.
    pub(crate) fn attach_to(self, buf: Bytes) -> Bytes {
        match self.chunks {
            Some(_) => Bytes::from_owner(ReservedBytes { buf, _reservation: self }),
            None => buf,
        }
    }
}

/// Bytes with their reservation.
struct ReservedBytes {
    buf: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.buf
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let (Some(chunks), Some(used)) = (&self.chunks, &self.used) {
            used.sub((chunks.num_permits() * CHUNK_BYTES) as i64);
        }
    }
}
