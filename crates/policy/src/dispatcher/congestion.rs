//! For how long requests may wait for a slot.
//!
//! Answers what load it saves: more requests than the service can serve, for longer than a moment. A queue that is let grow to
//! the time limits then stays that long: as many are served as with a short one, each of them late. A burst that passes is
//! another matter: whoever waits through it is served late rather than not at all.

use std::time::Duration;

use crate::time::Time;

/// Part of the objective by which a request is expected to end while congestion lasts: work varies.
const TARGET: f64 = 0.75;
/// Part of the objective below which waits, for as long as the objective, end the congestion.
const RELIEVED: f64 = 0.25;

/// Whether those that wait have been late for longer than a burst.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Congestion {
    late_since: Option<Time>,
    /// Since when hardly anybody had to wait.
    calm_since: Option<Time>,
}

/// A request that would wait.
#[derive(Clone, Copy, Debug)]
pub(super) struct Newcomer {
    /// How long it would wait.
    pub(super) wait: Duration,
    /// How long it would then take.
    pub(super) work: Duration,
    /// Time within which an answer is worth most.
    pub(super) objective: Duration,
    /// Time until its deadline.
    pub(super) left: Duration,
}

impl Congestion {
    /// A request need not wait.
    pub(super) fn note_free_slot(&mut self, now: Time, objective: Duration) {
        let since = *self.calm_since.get_or_insert(now);
        if now.since(since) > objective {
            self.late_since = None;
        }
    }

    /// Whether a request may wait.
    pub(super) fn admits(&mut self, now: Time, it: Newcomer) -> bool {
        let end = it.wait + it.work;
        if it.wait < it.objective.mul_f64(RELIEVED) {
            self.note_free_slot(now, it.objective);
        } else {
            self.calm_since = None;
        }
        if end > it.objective {
            self.late_since.get_or_insert(now);
        }
        let is_lasting = self.late_since.is_some_and(|since| now.since(since) > it.objective);
        match is_lasting {
            true => end <= it.objective.mul_f64(TARGET).min(it.left),
            false => it.wait <= it.left,
        }
    }
}
