//! Slots that the requests of each priority would keep busy, from the asks of the last seconds.
//!
//! Requests of higher priorities that arrive later are served first, so they lengthen the wait of a
//! request of a lower priority. Judged by the queue alone, such a request would be admitted, held
//! and refused late.

use std::time::Duration;

use resources::Priority;

use crate::time::Time;

/// Time constant of the average: longer than the gaps between the requests of a busy service, and
/// shorter than the bursts that it has to follow (three to eight seconds).
const AVERAGED_OVER: Duration = Duration::from_secs(1);

/// Demand of one priority.
#[derive(Clone, Copy, Debug)]
struct PriorityDemand {
    priority: Priority,
    /// Decayed sum of the work asked for, in slot seconds.
    work: f64,
    updated: Time,
}

/// Demand by priority. There are few priorities.
#[derive(Debug, Default)]
pub(super) struct Demand {
    by_priority: Vec<PriorityDemand>,
}

impl PriorityDemand {
    fn work_at(&self, now: Time) -> f64 {
        self.work * (-now.seconds_since(self.updated) / AVERAGED_OVER.as_secs_f64()).exp()
    }
}

impl Demand {
    /// Adds a request that is expected to hold a slot for `seconds`.
    pub(super) fn add(&mut self, now: Time, priority: Priority, seconds: f64) {
        match self.by_priority.iter_mut().find(|it| it.priority == priority) {
            Some(it) => {
                it.work = it.work_at(now) + seconds;
                it.updated = now;
            }
            None => self.by_priority.push(PriorityDemand { priority, work: seconds, updated: now }),
        }
    }

    /// Slots that the requests of higher priorities than this one keep busy.
    pub(super) fn above(&self, now: Time, priority: Priority) -> f64 {
        let above = self.by_priority.iter().filter(|it| it.priority < priority);
        above.map(|it| it.work_at(now)).sum::<f64>() / AVERAGED_OVER.as_secs_f64()
    }
}
