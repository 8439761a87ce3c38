//! The share of a service's work that fails, over the last seconds.

use std::time::Duration;

use crate::belief::Strain;
use crate::time::Time;

/// Time after which an outcome counts for a third. The users look at stretches of two seconds.
const MEMORY: Duration = Duration::from_secs(2);
/// Share of failures from which on endpoints are tried again sooner. The users' floor binds from a
/// tenth of the requests on.
const STRAINED: f64 = 0.09;
/// Outcomes below which a share says little.
const MIN_OUTCOMES: f64 = 5.0;

/// How a piece of work ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    Served,
    Unserved,
}

/// Decayed counts of endings.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Served {
    served: f64,
    unserved: f64,
    at: Time,
}

impl Served {
    /// Takes in one ending.
    pub(crate) fn note(&mut self, now: Time, ending: Ending) {
        let keep = (-now.since(self.at).as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.served *= keep;
        self.unserved *= keep;
        self.at = now;
        match ending {
            Ending::Served => self.served += 1.0,
            Ending::Unserved => self.unserved += 1.0,
        }
    }

    /// Whether so much fails that endpoints must be tried again sooner.
    pub(crate) fn strain(&self, now: Time) -> Strain {
        let all = self.served + self.unserved;
        let is_old = now.since(self.at) > MEMORY;
        match !is_old && all > MIN_OUTCOMES && self.unserved > all * STRAINED {
            true => Strain::Unserved,
            false => Strain::None,
        }
    }
}
