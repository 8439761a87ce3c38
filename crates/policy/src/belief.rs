//! How likely an endpoint is sick, by the outcomes of the last seconds.
//!
//! An endpoint is taken for a hidden Markov chain of two states. Each outcome moves the probability
//! that it is sick by Bayes' rule; time moves it back to the share of sick endpoints that the service
//! has learned (`signs`). A few answers undo a stray failure, and one that failed twice is left alone
//! for seconds. Nothing is taken out by it: a doubtful endpoint is only used after better ones, so no
//! capacity is lost.

use std::time::Duration;

use crate::observation::{Kind, Reporter};
use crate::time::Time;

/// Time constant with which old evidence loses its weight, in seconds: gray episodes last seconds, and
/// one that is taken for shorter or longer than it is costs little, since trials find out.
const EVIDENCE_LASTS: f64 = 6.5;
/// Probability for an endpoint of which nothing is known.
const UNKNOWN: f64 = 0.1;
/// A request without an answer counts as a failure if that speaks this much more for sickness.
pub(crate) const SILENCE_FAILS: f64 = 4.0;
/// Bounds that keep the probability movable.
const BOUNDS: (f64, f64) = (0.002, 0.985);
/// Below this an endpoint is used like any other.
const FREELY_BELOW: f64 = 0.12;
/// Below this it takes one request at a time. After one failure a busy endpoint stands a little above
/// it, and comes below after two seconds.
const SINGLY_BELOW: f64 = 0.34;
/// Below this it takes one request at a time, preferably one that may be repeated.
const CAUTIOUSLY_BELOW: f64 = 0.5;
/// The users count an endpoint as well two seconds after its last failure, and want work at most of
/// the well ones in any two seconds: one that is left alone for longer may count as idle. They look at
/// those without trouble only, so that a share of all endpoints proves nothing.
pub(crate) const IDLE_AFTER: Duration = Duration::from_millis(3_600);
/// In calm an endpoint without work for this long counts as left alone: the users look at two seconds, and the next request
/// must come and travel.
pub(crate) const ALONE_AFTER: Duration = Duration::from_millis(1_750);
/// While a part of the requests is not served, an endpoint is given work after this long without: it may have to wait for
/// a slot.
pub(crate) const MISSED_AFTER: Duration = Duration::from_millis(1_500);
/// While a part of the requests is not served, an endpoint is tried again this long after its last
/// failure.
pub(crate) const TRY_AGAIN: Duration = Duration::from_millis(1_900);
/// Nodes that fail to reach an endpoint one after the other, without an answer to any node in
/// between, before it is not taken for a fault of their paths.
const UNREACHED_BY: u32 = 3;

/// What is believed of one endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Belief {
    sick: f64,
    at: Time,
    failed_at: Option<Time>,
    unreached_by: Option<(Reporter, u32)>,
}

impl Default for Belief {
    fn default() -> Self {
        Self { sick: UNKNOWN, at: Time(0), failed_at: None, unreached_by: None }
    }
}

/// Whether the service goes without endpoints that it may need.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Strain {
    /// Nearly all requests are served.
    None,
    /// More than usual is not served, or the part that is not grows: nobody is left alone for longer than the floor
    /// allows in any case.
    Growing,
    /// A part of the requests is not served: endpoints are tried again sooner.
    Unserved,
}

impl Strain {
    /// Short name for logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Growing => "growing",
            Self::Unserved => "unserved",
        }
    }

    /// How long an endpoint is left without work while nobody rests.
    pub(crate) fn idle_for(self) -> Duration {
        match self {
            Self::None | Self::Growing => ALONE_AFTER,
            Self::Unserved => MISSED_AFTER,
        }
    }

    /// How long an endpoint is left alone after a failure at most.
    pub(crate) fn alone_for(self) -> Duration {
        match self {
            Self::None | Self::Growing => IDLE_AFTER,
            Self::Unserved => TRY_AGAIN,
        }
    }
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

impl Use {
    /// Short name for reports.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Freely => "freely",
            Self::Singly => "singly",
            Self::Cautiously => "cautiously",
            Self::Last => "last",
        }
    }
}

impl Belief {
    /// Takes in one outcome of a request that took `elapsed`, which is `ratio` times as likely at a
    /// sick endpoint. Time alone leads to the probability `rest`.
    pub(crate) fn observe(
        &mut self,
        now: Time,
        kind: Kind,
        reporter: Reporter,
        elapsed: Duration,
        ratio: f64,
        rest: f64,
    ) {
        match kind {
            Kind::Answered => {
                self.unreached_by = None;
                // Sick endpoints fail as soon as the work begins: an answer speaks of that time, and
                // says nothing if a failure came later.
                let began = now - elapsed;
                if self.failed_at.is_none_or(|it| began > it) {
                    self.weigh(began.max(self.at), ratio, rest);
                }
            }
            Kind::Failed | Kind::Crashed => self.fail(now, now, ratio, rest),
            Kind::Stalled | Kind::Beaten | Kind::TimedOut | Kind::Abandoned => {
                self.wait_in_vain(now, elapsed, ratio, rest);
            }
            Kind::Unreachable if self.is_unreachable(reporter) => self.fail(now, now, ratio, rest),
            Kind::Unreachable | Kind::Shed => {}
        }
    }

    /// The probability that the endpoint is sick, given how much more likely what is open on it is if
    /// it is.
    pub(crate) fn sick_given(&self, now: Time, ratio: f64, rest: f64) -> f64 {
        let sick = self.sick(now, rest);
        sick * ratio / (sick * ratio + 1.0 - sick)
    }

    /// The probability that the endpoint is sick.
    pub(crate) fn sick(&self, now: Time, rest: f64) -> f64 {
        let kept = (-now.seconds_since(self.at) / EVIDENCE_LASTS).exp();
        rest + (self.sick - rest) * kept
    }

    /// Age of the latest outcome.
    pub(crate) fn evidence_age(&self, now: Time) -> Duration {
        now.since(self.at)
    }

    /// Whether an outcome was heard of lately.
    pub(crate) fn is_recent(&self, now: Time) -> bool {
        self.evidence_age(now).as_secs_f64() < EVIDENCE_LASTS
    }

    /// Time since its last failure.
    pub(crate) fn since_failure(&self, now: Time) -> Option<Duration> {
        self.failed_at.map(|it| now.since(it))
    }

    /// How the endpoint is used now.
    pub(crate) fn usage(&self, now: Time, strain: Strain, rest: f64) -> Use {
        self.usage_if(self.sick(now, rest), now, strain)
    }

    /// The same where it is known how likely the endpoint is sick now.
    pub(crate) fn usage_if(&self, sick: f64, now: Time, strain: Strain) -> Use {
        match sick {
            it if it < FREELY_BELOW => Use::Freely,
            it if it < SINGLY_BELOW => Use::Singly,
            _ if self.failed_before(now, strain.alone_for()) => Use::Singly,
            it if it < CAUTIOUSLY_BELOW => Use::Cautiously,
            _ => Use::Last,
        }
    }

    /// Whether the last failure is longer ago than `age`.
    pub(crate) fn failed_before(&self, now: Time, age: Duration) -> bool {
        self.failed_at.is_none_or(|it| now.since(it) > age)
    }

    /// It failed at `at`, as is known now.
    fn fail(&mut self, now: Time, at: Time, ratio: f64, rest: f64) {
        self.weigh(now, ratio, rest);
        self.failed_at = self.failed_at.max(Some(at));
    }

    /// No answer came for `elapsed`. What failed is the send: a time limit that passes says nothing of the time since.
    fn wait_in_vain(&mut self, now: Time, elapsed: Duration, ratio: f64, rest: f64) {
        match ratio > SILENCE_FAILS {
            true => self.fail(now, now - elapsed, ratio, rest),
            false => self.weigh(now, ratio, rest),
        }
    }

    /// Moves the odds by a likelihood ratio, sick against well.
    fn weigh(&mut self, now: Time, ratio: f64, rest: f64) {
        let sick = self.sick(now, rest);
        let odds = sick / (1.0 - sick) * ratio;
        self.sick = (odds / (1.0 + odds)).clamp(BOUNDS.0, BOUNDS.1);
        self.at = now;
    }

    /// Whether several nodes in a row could not reach the endpoint, this one the last.
    fn is_unreachable(&mut self, reporter: Reporter) -> bool {
        let (last, count) = self.unreached_by.unwrap_or((reporter, 0));
        let is_another = count == 0 || last.node != reporter.node;
        let count = count + u32::from(is_another);
        self.unreached_by = Some((reporter, count));
        count >= UNREACHED_BY
    }
}
