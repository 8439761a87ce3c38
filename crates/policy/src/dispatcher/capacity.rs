//! Capacity stage: how many slots an endpoint gives now.
//!
//! The configured slots are an upper bound. An endpoint in doubt, on trial or under a rate limit gives
//! fewer.

use super::Dispatcher;
use super::candidate::{Candidate, Survey};
use crate::belief::{Pressure, RETRY_FAILED_AFTER, Use};
use crate::permit::{Ask, Tier};
use crate::rotation::State;
use crate::topology::Distance;

impl Survey {
    /// Slots that may be used now, free or not.
    pub(super) fn capacity(&self) -> f64 {
        self.candidates.iter().map(|it| it.within_rate_limit(it.usable_slots())).sum()
    }
}

impl Candidate {
    /// Whether an ejected endpoint is tried nevertheless, with one request at a time, because a
    /// part of the requests is not served.
    pub(super) fn is_tried_while_ejected(&self) -> bool {
        let is_out = matches!(self.state, State::Ejected { .. })
            && !self.is_evacuated
            && self.now.since(self.state_since) > RETRY_FAILED_AFTER;
        // Unhealthy endpoints fail at once; without a pause they would be tried again and again.
        is_out
            && self.pressure == Pressure::Unserved
            && self.belief.failed_before(self.now, RETRY_FAILED_AFTER)
    }

    /// Slots that may be used now: one until there is evidence that the endpoint is healthy again.
    pub(super) fn usable_slots(&self) -> u32 {
        if self.is_tried_while_ejected() {
            return 1;
        }
        match self.usage() {
            Use::Singly | Use::Cautiously => self.slots.min(1),
            Use::Freely | Use::Last => self.slots,
        }
    }

    /// Limits a number of slots to those that the rate limit keeps busy.
    pub(super) fn within_rate_limit(&self, slots: u32) -> f64 {
        let slots = f64::from(slots);
        self.rate_limited_slots.map_or(slots, |it| it.min(slots))
    }

    /// Whether a request may use all slots of the endpoint, however long the requests on it have
    /// been open. The endpoint is starved, and the requests that hold its slots may never be
    /// answered although it is healthy. Repeatable work loses little by trying.
    pub(super) fn may_use_all_slots(&self, ask: &Ask, distance: Distance) -> bool {
        self.is_starved(ask, distance)
            && self.pressure == Pressure::Unserved
            && ask.repeatable
            && self.state.in_rotation()
    }

    /// Slots for a request, free or not.
    pub(super) fn slots_for(&self, ask: &Ask, tier: Tier, distance: Distance) -> u32 {
        let usable = if tier == Tier::Trial { 1 } else { self.usable_slots() };
        if self.may_use_all_slots(ask, distance) {
            return self.slots;
        }
        match self.is_silence_test(ask, distance) {
            true => usable.min(self.silence.requests + 1),
            false => usable,
        }
    }
}

impl Dispatcher {
    /// Whether some endpoint in the snapshot may take a request, leaving its health aside.
    pub(super) fn has_free_slot(&self, survey: &Survey) -> bool {
        survey.candidates.iter().any(|candidate| {
            let slots = candidate.slots.max(candidate.usable_slots());
            candidate.may_send && self.loads[candidate.i].in_use() < slots
        })
    }
}
