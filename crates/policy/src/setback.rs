//! The soft answer to a single bad outcome: the endpoint is used last for a while, longer if it then
//! fails again, and then for one request at a time until an answer proves it well. It takes no
//! capacity away, because an endpoint that is used last is still used when the others are busy.
//!
//! On services where gray episodes are as frequent as stray errors, one failure already makes an
//! endpoint more likely sick than well, so the verdict of the sequential test comes too late.

use std::time::Duration;

use crate::judge::{Kind, Reporter};
use crate::time::Time;

/// First time for which an endpoint is used last. The users count one as well two seconds after its
/// last failure.
pub(crate) const FIRST: Duration = Duration::from_millis(1_900);
/// The time after a second failure, and only while nearly all requests are served: a failure may be
/// stray, two are not. On the users' sites gray episodes last about nine seconds.
const LONGEST: Duration = Duration::from_millis(7_600);
/// Nodes that fail to reach an endpoint one after the other, without an answer to any node in
/// between, before it is not taken for a fault of their paths.
const UNREACHED_BY: u32 = 3;
/// After a setback work that must not repeat waits this long for other work to try the endpoint.
const PROBATION: Duration = Duration::from_millis(500);

/// What recent failures mean for the use of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Setback {
    failed_at: Option<Time>,
    length: Duration,
    is_unproven: bool,
    unreached_by: Option<(Reporter, u32)>,
}

/// Whether the service goes without endpoints that it may need.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Strain {
    /// Nearly all requests are served.
    None,
    /// A part of the requests is not served: endpoints are tried again sooner.
    Unserved,
}

/// How an endpoint is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Use {
    /// Like any other.
    Freely,
    /// For one request at a time, which may be any.
    Singly,
    /// For one request at a time, preferably one that may repeat.
    Cautiously,
    /// Only when no other endpoint is free.
    Last,
}

impl Setback {
    /// Takes in one outcome.
    pub(crate) fn observe(&mut self, now: Time, kind: Kind, reporter: Reporter) {
        match kind {
            Kind::Answered => {
                self.is_unproven &= self.usage(now, Strain::None) == Use::Last;
                self.unreached_by = None;
            }
            Kind::Failed | Kind::Stalled => self.begin(now),
            Kind::Unreachable if self.is_unreachable(reporter) => self.begin(now),
            Kind::Unreachable | Kind::Shed | Kind::Abandoned => {}
        }
    }

    /// How the endpoint is used now.
    pub(crate) fn usage(&self, now: Time, strain: Strain) -> Use {
        let Some(failed_at) = self.failed_at else { return Use::Freely };
        let length = match strain {
            Strain::None => self.length,
            Strain::Unserved => self.length.min(FIRST),
        };
        let over_since = failed_at + length;
        if now < over_since {
            Use::Last
        } else if !self.is_unproven {
            Use::Freely
        } else if now.since(over_since) < PROBATION {
            Use::Cautiously
        } else {
            Use::Singly
        }
    }

    /// Whether several nodes in a row could not reach the endpoint, this one the last.
    fn is_unreachable(&mut self, reporter: Reporter) -> bool {
        let (last, count) = self.unreached_by.unwrap_or((reporter, 0));
        let is_another = count == 0 || last.node != reporter.node;
        let count = count + u32::from(is_another);
        self.unreached_by = Some((reporter, count));
        count >= UNREACHED_BY
    }

    fn begin(&mut self, now: Time) {
        // Failures of requests that were sent before the first one was known say nothing new.
        let goes_on = self.is_unproven && self.usage(now, Strain::Unserved) != Use::Last;
        if goes_on {
            self.length = LONGEST;
        } else if !self.is_unproven {
            self.length = FIRST;
        }
        self.failed_at = Some(now);
        self.is_unproven = true;
    }
}
