//! Decides whether a request may wait for a slot.
//!
//! The rule targets sustained overload. A queue that may grow up to the time limits stays that
//! long: as many requests are served as with a short queue, but each of them late. During a short
//! burst, waiting is better: a request that waits is served late instead of being refused.

use std::time::Duration;

use resources::Priority;

use crate::time::Time;

/// While congestion lasts, a request is admitted only if it is expected to end within this share of
/// its objective; the rest is a margin because service times vary.
pub(super) const TARGET_SHARE: f64 = 0.75;
/// Congestion ends after waits have been shorter than this share of the objective for the length of
/// one objective.
const RELIEF_SHARE: f64 = 0.25;

/// Tracks by priority whether queued requests have been expected to end late for longer than a
/// burst. While requests of a low priority end late, those of a high one may hardly wait.
#[derive(Clone, Debug, Default)]
pub(super) struct Congestion {
    by_priority: Vec<(Priority, PriorityCongestion)>,
}

/// The state of one priority.
#[derive(Clone, Copy, Debug, Default)]
struct PriorityCongestion {
    /// Since when requests have been expected to miss their objective.
    late_since: Option<Time>,
    /// Since when waits have been short.
    short_waits_since: Option<Time>,
}

/// A request that would have to wait.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    /// Expected wait.
    pub(super) wait: Duration,
    /// Expected service time after the wait.
    pub(super) work: Duration,
    /// Latency objective of the request.
    pub(super) objective: Duration,
    /// Time until the deadline of the request.
    pub(super) left: Duration,
}

impl Congestion {
    /// Records a request that finds a free slot while nothing is queued.
    pub(super) fn note_free_slot(&mut self, now: Time, objective: Duration) {
        self.by_priority.iter_mut().for_each(|(_, it)| it.note_short_wait(now, objective));
    }

    /// Whether a request of a priority may wait.
    pub(super) fn admits(&mut self, now: Time, priority: Priority, it: Arrival) -> bool {
        let known = self.by_priority.iter().position(|(it, _)| *it == priority);
        let i = known.unwrap_or_else(|| {
            self.by_priority.push((priority, PriorityCongestion::default()));
            self.by_priority.len() - 1
        });
        self.by_priority[i].1.admits(now, it)
    }

    /// Whether requests of a priority have been expected to end late for longer than a burst.
    pub(super) fn is_lasting(&self, now: Time, priority: Priority, objective: Duration) -> bool {
        let known = self.by_priority.iter().find(|(it, _)| *it == priority);
        known.is_some_and(|(_, it)| it.is_lasting(now, objective))
    }
}

impl PriorityCongestion {
    /// Records a request that waits briefly or not at all.
    fn note_short_wait(&mut self, now: Time, objective: Duration) {
        let since = *self.short_waits_since.get_or_insert(now);
        if now.since(since) > objective {
            self.late_since = None;
        }
    }

    /// Whether a request may wait.
    fn admits(&mut self, now: Time, it: Arrival) -> bool {
        let end = it.wait + it.work;
        if it.wait < it.objective.mul_f64(RELIEF_SHARE) {
            self.note_short_wait(now, it.objective);
        } else {
            self.short_waits_since = None;
        }
        if end > it.objective {
            self.late_since.get_or_insert(now);
        }
        match self.is_lasting(now, it.objective) {
            true => end <= it.objective.mul_f64(TARGET_SHARE).min(it.left),
            false => it.wait <= it.left,
        }
    }

    fn is_lasting(&self, now: Time, objective: Duration) -> bool {
        self.late_since.is_some_and(|since| now.since(since) > objective)
    }
}
