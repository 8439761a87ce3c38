//! Capacity stage: how many slots an endpoint gives now.
//!
//! The configured slots are an upper bound. An endpoint in doubt, on trial or under a rate limit gives
//! fewer.

use std::time::Duration;

use super::Dispatcher;
use super::candidate::{Candidate, Survey};
use super::concurrency::ACCEPTS_FROM;
use super::failure_time::SURVIVAL_RATIO;
use super::load::EndpointLoad;
use crate::belief::{FREELY_BELOW, Pressure, RETRY_FAILED_AFTER, Use};
use crate::observation::Kind;
use crate::options::{ConcurrencyLimits, DoubtfulSlots};
use crate::permit::{Ask, Tier};
use crate::rotation::State;
use crate::time::Time;
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

    /// Slots that may be used now. An endpoint in doubt risks one send at a time: it gives one slot
    /// more than the number of its sends that have outlived the failure time, or just one while age
    /// is no evidence.
    pub(super) fn usable_slots(&self) -> u32 {
        if self.is_tried_while_ejected() {
            return 1;
        }
        match self.usage() {
            Use::Singly | Use::Cautiously => self.slots.min(1 + self.outlived.unwrap_or(0)),
            Use::Freely | Use::Last => self.slots,
        }
    }

    /// Whether the endpoint accepts nearly all sends.
    pub(super) fn accepts(&self) -> bool {
        self.acceptance >= ACCEPTS_FROM
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
        let usable = match tier {
            Tier::Trial => self.slots.min(1 + self.outlived.unwrap_or(0)),
            // While nothing waits, other slots are free or come free soon, and a request that may
            // not be sent again loses more by a failure than by going there.
            _ if ask.is_last && !self.requests_wait => {
                Self { outlived: None, ..*self }.usable_slots()
            }
            _ => self.usable_slots(),
        };
        if self.may_use_all_slots(ask, distance) {
            return self.configured_slots;
        }
        match self.is_silence_test(ask, distance) {
            true => usable.min(self.silence.requests + 1),
            false => usable,
        }
    }
}

impl Dispatcher {
    /// Slots of those configured that the concurrency limit and slow start allow.
    pub(super) fn slots_given(&self, now: Time, load: &EndpointLoad, configured: u32) -> u32 {
        let slots = load.concurrency.slots(now, configured);
        match self.options.concurrency_limits {
            ConcurrencyLimits::Learned => load.slots_in_slow_start(now, slots),
            ConcurrencyLimits::Off => slots,
        }
    }

    /// Sends of an endpoint that have outlived the learned failure time.
    pub(super) fn outlived_sends(&self, now: Time, load: &EndpointLoad) -> Option<u32> {
        if self.options.doubtful_slots == DoubtfulSlots::One {
            return None;
        }
        self.failure_time.get().map(|it| load.outlived(now, it, Duration::MAX))
    }

    /// The probability that an endpoint is unhealthy, lowered by its open sends that were begun
    /// after its last failure and have outlived the failure time. An open send makes an endpoint
    /// doubtful instead of a last resort, while requests wait; only answers clear it of doubt.
    pub(super) fn p_unhealthy_with_survivors(
        &self,
        now: Time,
        load: &EndpointLoad,
        p_unhealthy: f64,
    ) -> f64 {
        let failure_time = self.failure_time.get();
        let is_used = self.queue.len() > 0 && self.options.doubtful_slots == DoubtfulSlots::ByAge;
        let Some(failure_time) = failure_time.filter(|_| is_used && p_unhealthy > FREELY_BELOW)
        else {
            return p_unhealthy;
        };
        let since_failure = load.belief.since_failure(now).unwrap_or(Duration::MAX);
        let survivors = load.outlived(now, failure_time, since_failure);
        let odds = p_unhealthy / (1.0 - p_unhealthy) * SURVIVAL_RATIO.powi(survivors as i32);
        (odds / (1.0 + odds)).max(FREELY_BELOW)
    }

    /// Learns the age at which requests fail at unhealthy endpoints. `open_for` is the time since
    /// the slot was granted here: it includes the transit of the grant and of the report.
    pub(super) fn learn_failure_time(
        &mut self,
        now: Time,
        endpoint: usize,
        kind: Kind,
        open_for: Duration,
        p_before: f64,
    ) {
        let prior = self.likelihoods.p_unhealthy();
        // A failure must not count because of itself: it may be a random one at a healthy endpoint,
        // which happens at any age. An answer that clears the endpoint was not given by an
        // unhealthy one.
        let was_unhealthy = p_before > 0.5;
        let is_unhealthy = self.loads[endpoint].belief.p_unhealthy(now, prior) > 0.5;
        match kind {
            Kind::Failed | Kind::Crashed if was_unhealthy => {
                self.failure_time.note_failure(now, open_for);
            }
            Kind::Answered if is_unhealthy && self.began_after_failure(now, endpoint, open_for) => {
                self.failure_time.note_survival(now);
            }
            Kind::TimedOut | Kind::LostToHedge if is_unhealthy => {
                self.failure_time.note_survival(now);
            }
            // A stall is reported long before the request times out. Its endpoint may not count as
            // unhealthy yet if it has just begun to hang.
            Kind::Stalled => self.failure_time.note_survival(now),
            _ => {}
        }
    }

    /// Whether some endpoint in the snapshot may take a request, leaving its health aside.
    pub(super) fn has_free_slot(&self, survey: &Survey) -> bool {
        survey.candidates.iter().any(|candidate| {
            let slots = candidate.configured_slots.max(candidate.usable_slots());
            candidate.may_send && self.loads[candidate.i].in_use() < slots
        })
    }
}
