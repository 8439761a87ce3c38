//! The soft answer to a single bad outcome: the endpoint is used last for a while, and longer each
//! time it goes on failing. It never takes capacity away, because an endpoint that is used last is
//! still used when the others are busy.
//!
//! On services where gray episodes are as frequent as stray errors, one failure already makes an
//! endpoint more likely sick than well, so the verdict of the sequential test comes too late.

use std::time::Duration;

use crate::judge::{Kind, Reporter};
use crate::time::Time;

/// First time for which an endpoint is used last.
const FIRST: Duration = Duration::from_secs(2);
/// Longest such time.
const LONGEST: Duration = Duration::from_secs(8);
/// A failure this long after the last setback has ended starts again at `FIRST`.
const MEMORY: Duration = Duration::from_secs(4);
/// Two reporters that cannot reach an endpoint within this time do not both have a path fault.
const UNREACHABLE_WINDOW: Duration = Duration::from_secs(2);
/// After a setback work that must not repeat waits this long for other work to try the endpoint.
const PROBATION: Duration = Duration::from_secs(1);

/// What recent failures mean for the use of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Setback {
    until: Time,
    length: Duration,
    is_proven: bool,
    unreachable: Option<(Reporter, Time)>,
}

/// How an endpoint is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Use {
    /// Like any other.
    Freely,
    /// Preferably for work that may repeat.
    Cautiously,
    /// Only when no other endpoint is free.
    Last,
}

impl Setback {
    /// Takes in one outcome.
    pub(crate) fn observe(&mut self, now: Time, kind: Kind, reporter: Reporter) {
        match kind {
            Kind::Answered => self.is_proven = true,
            Kind::Failed | Kind::Stalled => self.begin(now),
            Kind::Unreachable if self.is_confirmed(now, reporter) => self.begin(now),
            Kind::Unreachable | Kind::Shed | Kind::Abandoned => {}
        }
    }

    /// Whether another node could not reach the endpoint either, a moment ago.
    fn is_confirmed(&mut self, now: Time, reporter: Reporter) -> bool {
        let before = self.unreachable.replace((reporter, now));
        before.is_some_and(|(other, at)| {
            other.node != reporter.node && now.since(at) < UNREACHABLE_WINDOW
        })
    }

    /// Whether the endpoint is used freely, cautiously or last.
    pub(crate) fn usage(&self, now: Time) -> Use {
        if now < self.until {
            return Use::Last;
        }
        let is_on_probation = !self.is_proven && !self.length.is_zero();
        if is_on_probation && now.since(self.until) < PROBATION {
            return Use::Cautiously;
        }
        Use::Freely
    }

    fn begin(&mut self, now: Time) {
        // Outcomes of requests that were sent before the first failure was known say nothing new.
        if now < self.until {
            self.until = self.until.max(now + FIRST);
            return;
        }
        let goes_on = !self.length.is_zero() && now.since(self.until) < MEMORY;
        self.length = if goes_on { (self.length * 2).min(LONGEST) } else { FIRST };
        self.until = now + self.length;
        self.is_proven = false;
    }
}
