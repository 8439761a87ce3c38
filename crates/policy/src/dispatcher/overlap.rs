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
const COUNTS_FOR: f64 = 5.0;
/// Slots are held if the share of overlapping sends that are shed exceeds that of regular sends by
/// more than this.
const SHED_MORE: f64 = 0.2;
/// Slots are held if overlapping sends take more than this many times as long to be answered as
/// regular sends. Endpoints also get slower when they are nearly full, which is no reason to leave
/// slots unused.
const SLOWER: f64 = 2.0;
/// How long slots are held before overlapping sends are tried again; doubles each time.
const HELD_FOR: Duration = Duration::from_secs(10);
/// Upper bound of this time.
const MAX_HELD_FOR: Duration = Duration::from_secs(320);

/// Compares sends that overlap with answers in transit to regular sends.
#[derive(Clone, Debug, Default)]
pub(super) struct Overlap {
    /// Sends to endpoints that would have had no free slot if answers in transit held theirs.
    beside: Tally,
    /// All other sends.
    alone: Tally,
    /// The period in which answers in transit hold their slots.
    held: Option<Held>,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    until: Time,
    length: Duration,
}

/// Whether a send fits on its endpoint only because answers in transit hold no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sent {
    Alone,
    BesideAnswers,
}

/// How an endpoint responded to a send.
#[derive(Clone, Copy, Debug)]
enum Began {
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
    at: Time,
}

impl Overlap {
    /// Whether a slot is free again once its answer has begun.
    pub(super) fn frees_slots(&self, now: Time) -> bool {
        self.held.is_none_or(|it| now >= it.until)
    }

    /// Records the response to a send.
    fn note(&mut self, now: Time, sent: Sent, began: Began) {
        match sent {
            Sent::Alone => self.alone.add(now, began),
            Sent::BesideAnswers => self.beside.add(now, began),
        }
        self.alone.fade(now);
        if sent == Sent::BesideAnswers && self.are_held() {
            let length = self.held.map_or(HELD_FOR, |it| (it.length * 2).min(MAX_HELD_FOR));
            self.held = Some(Held { until: now + length, length });
            self.beside = Tally::default();
        }
    }

    fn are_held(&self) -> bool {
        let (beside, alone) = (&self.beside, &self.alone);
        let is_known = beside.sends >= MIN_SENDS;
        let is_shed = beside.shed_share() > alone.shed_share() + SHED_MORE;
        let is_slower = beside.answered >= MIN_SENDS
            && alone.answered >= MIN_SENDS
            && beside.mean_took() > SLOWER * alone.mean_took();
        is_known && (is_shed || is_slower)
    }
}

impl Tally {
    fn fade(&mut self, now: Time) {
        let kept = (-now.seconds_since(self.at) / COUNTS_FOR).exp();
        for it in [&mut self.sends, &mut self.shed, &mut self.answered, &mut self.took] {
            *it *= kept;
        }
        self.at = now;
    }

    fn add(&mut self, now: Time, began: Began) {
        self.fade(now);
        self.sends += 1.0;
        match began {
            Began::Shed => self.shed += 1.0,
            Began::Answered(took) => {
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
    pub(super) fn sent_to(&self, now: Time, endpoint: usize) -> Sent {
        let load = &self.loads[endpoint];
        let slots = self.endpoints()[endpoint].usable_slots(now);
        match load.in_use() + load.travelling() >= slots && load.travelling() > 0 {
            true => Sent::BesideAnswers,
            false => Sent::Alone,
        }
    }

    /// Records the time until an answer began.
    pub(super) fn note_answer(&mut self, now: Time, permit: &Permit, elapsed: Duration) {
        let objective = permit.objective.max(Duration::from_millis(1));
        let took = elapsed.as_secs_f64() / objective.as_secs_f64();
        self.overlap.note(now, permit.sent, Began::Answered(took));
    }

    /// Records that a send was shed.
    pub(super) fn note_shed(&mut self, now: Time, sent: Sent) {
        self.overlap.note(now, sent, Began::Shed);
    }
}
