//! Detects whether the endpoints of a service take the next request as soon as an answer has begun,
//! or only after its last byte is sent.
//!
//! This matters for long answers over thin links, which are in transit for as long as the work
//! takes or longer. If each answer held its slot meanwhile, the service would have half its
//! capacity. Upstreams differ: one that writes from a buffer goes on working; one that holds a
//! worker until the last byte is sent sheds or queues requests that arrive earlier. Sends that fit
//! on an endpoint only because answers in transit hold no slot serve as an experiment: their
//! outcomes, compared with those of all other sends, show which kind the upstream is.

use std::time::Duration;

use super::{Dispatcher, Permit};
use crate::time::Time;

/// Minimum number of sends of a kind before its outcomes are compared.
const MIN_SENDS: f64 = 16.0;
/// Time constant of the decay of older sends, in seconds. Only sends of about the same time are
/// comparable, because a service gets slower and faster as a whole.
const MEMORY_S: f64 = 5.0;
/// Slots are held if the share of overlapping sends that are shed exceeds that of regular sends by
/// more than this.
const MAX_EXTRA_SHED_SHARE: f64 = 0.2;
/// Slots are held if overlapping sends take more than this many times as long to be answered as
/// regular sends. Endpoints also get slower when they are nearly full, which is no reason to leave
/// slots unused.
const MAX_SLOWDOWN: f64 = 2.0;
/// How long slots are held before overlapping sends are tried again; doubles each time.
const FIRST_HOLD_PERIOD: Duration = Duration::from_secs(10);
/// Upper bound of this time.
const MAX_HOLD_PERIOD: Duration = Duration::from_secs(320);

/// Compares sends that overlap with answers in transit to regular sends.
#[derive(Clone, Debug, Default)]
pub(super) struct Overlap {
    /// Sends to endpoints that would have had no free slot if answers in transit held theirs.
    overlapping: Tally,
    /// All other sends.
    regular: Tally,
    /// The latest period in which answers in transit hold their slots, if there was one.
    held: Option<Held>,
}

/// A period in which answers in transit hold their slots.
#[derive(Clone, Copy, Debug)]
struct Held {
    until: Time,
    length: Duration,
}

/// Whether a send fits on its endpoint only because answers in transit hold no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OverlapKind {
    /// The endpoint would have had a free slot in any case.
    Regular,
    /// The endpoint has a free slot only because of answers in transit.
    Overlapping,
}

/// How an endpoint responded to a send.
#[derive(Clone, Copy, Debug)]
enum SendResponse {
    /// Turned away before any work.
    Shed,
    /// The answer began after this multiple of the objective.
    Answered(f64),
}

/// Decaying counts of the sends of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    sends: f64,
    shed: f64,
    answered: f64,
    /// Sum of the times until the answers began, in multiples of the objective.
    took: f64,
    /// Time up to which the counts have decayed.
    at: Time,
}

impl Overlap {
    /// Whether a slot is free again once its answer has begun.
    pub(super) fn frees_slots(&self, now: Time) -> bool {
        self.held.is_none_or(|it| now >= it.until)
    }

    /// Records the response to a send.
    fn note(&mut self, now: Time, overlap_kind: OverlapKind, response: SendResponse) {
        match overlap_kind {
            OverlapKind::Regular => self.regular.add(now, response),
            OverlapKind::Overlapping => self.overlapping.add(now, response),
        }
        self.regular.decay(now);
        if overlap_kind == OverlapKind::Overlapping && self.must_hold_slots() {
            let length =
                self.held.map_or(FIRST_HOLD_PERIOD, |it| (it.length * 2).min(MAX_HOLD_PERIOD));
            self.held = Some(Held { until: now + length, length });
            self.overlapping = Tally::default();
        }
    }

    fn must_hold_slots(&self) -> bool {
        let (overlapping, regular) = (&self.overlapping, &self.regular);
        let is_known = overlapping.sends >= MIN_SENDS;
        let is_shed = overlapping.shed_share() > regular.shed_share() + MAX_EXTRA_SHED_SHARE;
        let is_slower = overlapping.answered >= MIN_SENDS
            && regular.answered >= MIN_SENDS
            && overlapping.mean_took() > MAX_SLOWDOWN * regular.mean_took();
        is_known && (is_shed || is_slower)
    }
}

impl Tally {
    fn decay(&mut self, now: Time) {
        let kept = (-now.seconds_since(self.at) / MEMORY_S).exp();
        for it in [&mut self.sends, &mut self.shed, &mut self.answered, &mut self.took] {
            *it *= kept;
        }
        self.at = now;
    }

    fn add(&mut self, now: Time, response: SendResponse) {
        self.decay(now);
        self.sends += 1.0;
        match response {
            SendResponse::Shed => self.shed += 1.0,
            SendResponse::Answered(took) => {
                self.answered += 1.0;
                self.took += took;
            }
        }
    }

    fn shed_share(&self) -> f64 {
        self.shed / self.sends.max(1.0)
    }

    fn mean_took(&self) -> f64 {
        self.took / self.answered.max(1.0)
    }
}

impl Dispatcher {
    /// Whether a send to an endpoint fits now only because answers in transit hold no slot.
    pub(super) fn overlap_kind(&self, now: Time, endpoint: usize) -> OverlapKind {
        let load = &self.loads[endpoint];
        let slots = self.endpoints()[endpoint].usable_slots(now);
        match load.in_use() + load.in_transit() >= slots && load.in_transit() > 0 {
            true => OverlapKind::Overlapping,
            false => OverlapKind::Regular,
        }
    }

    /// Records the time until an answer began.
    pub(super) fn note_answer(&mut self, now: Time, permit: &Permit, elapsed: Duration) {
        let objective = permit.objective.max(Duration::from_millis(1));
        let took = elapsed.as_secs_f64() / objective.as_secs_f64();
        self.overlap.note(now, permit.overlap_kind, SendResponse::Answered(took));
    }

    /// Records that a send was shed.
    pub(super) fn note_shed(&mut self, now: Time, overlap_kind: OverlapKind) {
        self.overlap.note(now, overlap_kind, SendResponse::Shed);
    }
}
