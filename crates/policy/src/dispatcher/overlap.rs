//! Whether the endpoints of a service take the next request once an answer has begun, or hold its slot until the last byte has
//! gone.
//!
//! Answers what load it saves: long answers over thin links, which travel for as long as the work takes or longer. A slot that
//! stays in use meanwhile halves the service. Upstreams differ: one that writes from a buffer works on; one that
//! holds a worker until the last byte has gone turns away, or keeps waiting, what is sent too early. A send that goes to an
//! endpoint only because answers travel from there is an experiment: how such sends fare beside the others tells
//! which it is.

use std::time::Duration;

use super::{Dispatcher, Permit};
use crate::time::Time;

/// Sends of a kind before they are judged.
const MIN_SENDS: f64 = 16.0;
/// Time constant with which sends lose their weight, in seconds. Kinds of sends are compared that went out at about the same
/// time: a service gets slower and faster as a whole.
const COUNTS_FOR: f64 = 5.0;
/// Slots are held if so much more of the sends beside answers is shed than of the others.
const SHED_MORE: f64 = 0.2;
/// Slots are held if sends beside answers take so many times as long to be answered. Endpoints get slower when they are nearly
/// full, which is no reason to leave them unused.
const SLOWER: f64 = 2.0;
/// For how long slots count as held before it is tried again; doubles each time.
const HELD_FOR: Duration = Duration::from_secs(10);
/// Longest such time.
const MAX_HELD_FOR: Duration = Duration::from_secs(320);

/// What endpoints do while an answer of theirs travels.
#[derive(Clone, Debug, Default)]
pub(super) struct Overlap {
    /// Sends to endpoints that would have had no free slot if answers held theirs.
    beside: Tally,
    /// All others.
    alone: Tally,
    /// Slots count as held until then.
    held: Option<Held>,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    until: Time,
    length: Duration,
}

/// Whether a send went to an endpoint only because answers travel from there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sent {
    Alone,
    BesideAnswers,
}

/// How a send began.
#[derive(Clone, Copy, Debug)]
enum Began {
    /// Turned away before any work.
    Shed,
    /// Its answer began after so many times the objective.
    Answered(f64),
}

/// Sends of one kind, the late ones with more weight.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    sends: f64,
    shed: f64,
    answered: f64,
    took: f64,
    at: Time,
}

impl Overlap {
    /// Whether a slot is free again once its answer has begun.
    pub(super) fn frees_slots(&self, now: Time) -> bool {
        self.held.is_none_or(|it| now >= it.until)
    }

    /// Takes in how a send began.
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
    /// Whether a send that goes to an endpoint now goes there only because answers that travel hold no slot.
    pub(super) fn sent_to(&self, now: Time, endpoint: usize) -> Sent {
        let load = &self.loads[endpoint];
        let slots = self.endpoints()[endpoint].usable_slots(now);
        match load.in_use() + load.travelling() >= slots && load.travelling() > 0 {
            true => Sent::BesideAnswers,
            false => Sent::Alone,
        }
    }

    /// Takes in after what part of the objective an answer began.
    pub(super) fn note_answer(&mut self, now: Time, permit: &Permit, elapsed: Duration) {
        let objective = permit.objective.max(Duration::from_millis(1));
        let took = elapsed.as_secs_f64() / objective.as_secs_f64();
        self.overlap.note(now, permit.sent, Began::Answered(took));
    }

    /// Takes in that a send was turned away.
    pub(super) fn note_shed(&mut self, now: Time, sent: Sent) {
        self.overlap.note(now, sent, Began::Shed);
    }
}
