//! A slot in use, watched from the send to the end of the answer.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use clock::{Moment, sleep_until};
use policy::{Grant, Kind};

use crate::Slot;

/// A timer that fires this late means that this process was paused: it blames no endpoint.
const PAUSE: Duration = Duration::from_millis(100);

/// A slot in use. Dropping it says how long the request was open, so that a request that was
/// abandoned late still counts against the endpoint.
pub(crate) struct Open<S: Slot> {
    slot: Option<S>,
    grant: Grant,
    started: Moment,
    answered_after: Option<Duration>,
    was_paused: bool,
    race: Race,
}

/// Tells a send that a hedge beside it was answered first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Race(Arc<AtomicBool>);

impl Race {
    /// The send beside which the hedge ran is given up now.
    pub(crate) fn is_lost(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn ending(&self) -> Kind {
        if self.0.load(Ordering::Relaxed) { Kind::Beaten } else { Kind::Abandoned }
    }
}

impl<S: Slot> Open<S> {
    pub(crate) fn new(slot: S) -> Self {
        Self::in_race(slot, Race::default())
    }

    /// The same for a send beside which a hedge may run.
    pub(crate) fn in_race(slot: S, race: Race) -> Self {
        let grant = slot.grant().clone();
        let started = Moment::now();
        Self { slot: Some(slot), grant, started, answered_after: None, was_paused: false, race }
    }

    pub(crate) fn grant(&self) -> &Grant {
        &self.grant
    }

    pub(crate) fn granted_by(&self) -> &'static str {
        self.slot.as_ref().map_or("", Slot::granted_by)
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.grant().addr
    }

    /// Fixes the time that counts as latency, for answers whose body lasts on, and tells of it.
    pub(crate) fn answered(&mut self) {
        let elapsed = self.started.elapsed();
        self.answered_after = Some(elapsed);
        if let Some(slot) = &mut self.slot {
            slot.answer_began(elapsed);
        }
    }

    pub(crate) fn stalled(&mut self) {
        let elapsed = self.started.elapsed();
        if let Some(slot) = &mut self.slot {
            slot.stalled(elapsed);
        }
    }

    pub(crate) fn end(mut self, kind: Kind) {
        self.give_back(kind);
    }

    /// Gives the slot back while what was granted is still needed.
    pub(crate) fn give_back(&mut self, kind: Kind) {
        let elapsed = self.answered_after.unwrap_or_else(|| self.started.elapsed());
        if let Some(slot) = self.slot.take()
            && !self.was_paused
        {
            slot.end(kind, elapsed);
        }
    }

    /// Waits until the deadline and reports a stall on the way. Nothing means that it passed.
    pub(crate) async fn watch<F: Future>(&mut self, fut: F, deadline: Moment) -> Option<F::Output> {
        let mut fut = pin!(fut);
        let stall_at = (self.started + self.grant.stall_after).min(deadline);
        tokio::select! {
            biased;
            out = &mut fut => return Some(out),
            () = sleep_until(stall_at) => {}
        }
        if stall_at.elapsed() < PAUSE {
            self.stalled();
        } else if stall_at > self.started {
            self.was_paused = true;
        }
        tokio::select! {
            biased;
            out = &mut fut => Some(out),
            () = sleep_until(deadline) => None,
        }
    }
}

impl<S: Slot> Drop for Open<S> {
    fn drop(&mut self) {
        if let Some(slot) = self.slot.take()
            && !self.was_paused
        {
            slot.end(self.race.ending(), self.started.elapsed());
        }
    }
}
