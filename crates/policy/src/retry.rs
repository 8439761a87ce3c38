//! Whether a request may be sent again. The rules of `Repeat` are absolute; the budget bounds how
//! much more work the repeats of all requests bring to a service.

use std::time::Duration;

use resources::Repeat;

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer arrived whole.
    Answered,
    /// The upstream provably did not run the request.
    NotRun,
    /// It may or may not have run.
    Unknown,
}

/// What has happened to a request so far.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The route's rule.
    pub repeat: Repeat,
    /// Whether any earlier send ended as unknown.
    pub unknown_before: bool,
    /// Endpoints that the request has reached so far.
    pub sends: u32,
    /// Endpoints that it may reach at most.
    pub max_sends: u32,
    /// Time left until the deadline.
    pub left: Duration,
}

/// What to do after a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Give the answer to the caller.
    Deliver,
    /// Send it once more.
    Again,
    /// Give up and tell the caller that the request did not run.
    GiveUpNotRun,
    /// Give up and tell the caller that the request may have run.
    GiveUpUnknown,
}

/// Decides what follows a send that ended with `outcome`. Whether the service's budget allows one
/// more send is for the dispatcher to say.
pub fn next_step(outcome: Outcome, attempt: Attempt) -> Next {
    let unknown = attempt.unknown_before || outcome == Outcome::Unknown;
    let allowed = match (attempt.repeat, outcome) {
        (_, Outcome::Answered) => return Next::Deliver,
        (Repeat::Anytime, _) => true,
        (Repeat::IfNotRun, _) => !unknown,
        (Repeat::Never, _) => false,
    };
    let in_time = attempt.sends < attempt.max_sends && !attempt.left.is_zero();
    match (allowed && in_time, unknown) {
        (true, _) => Next::Again,
        (false, true) => Next::GiveUpUnknown,
        (false, false) => Next::GiveUpNotRun,
    }
}

/// Bound on the repeats and hedges of one service: a share of its first sends and a burst.
///
/// The node that dispatches a service counts for the whole fleet. A node that picks for itself
/// counts alone, with a burst so small that the fleet's sum stays within the service's bound.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
    limits: BudgetLimits,
}

/// Size of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Repeats for each first send.
    pub ratio: f64,
    /// Repeats that may come at once.
    pub burst: f64,
}

/// Part of the burst that a new budget holds.
const AT_START: f64 = 0.25;
/// Part of the burst that hedges leave for what has failed.
const KEPT_FOR_FAILURES: f64 = 0.4;

/// What a further send is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spend {
    /// The send before it has failed.
    OnFailure,
    /// The send before it is late.
    OnHedge,
}

impl Budget {
    /// A budget of which most is spent: another dispatcher may have given it out a moment ago.
    pub fn new(limits: BudgetLimits) -> Self {
        Self { tokens: (limits.burst * AT_START).max(1.0), limits }
    }

    /// A full budget.
    #[cfg(test)]
    pub(crate) fn full(limits: BudgetLimits) -> Self {
        Self { tokens: limits.burst, limits }
    }

    /// Follows a change of its size.
    pub fn set_limits(&mut self, limits: BudgetLimits) {
        self.limits = limits;
        self.tokens = self.tokens.min(limits.burst);
    }

    /// Records a first send.
    pub fn first_send(&mut self) {
        self.tokens = (self.tokens + self.limits.ratio).min(self.limits.burst);
    }

    /// Takes one further send if the budget allows it.
    pub fn take(&mut self, what: Spend) -> bool {
        let kept = match what {
            Spend::OnFailure => 0.0,
            Spend::OnHedge => self.limits.burst * KEPT_FOR_FAILURES,
        };
        if self.tokens < 1.0 + kept {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

#[cfg(test)]
impl Budget {
    pub(crate) fn tokens(&self) -> u32 {
        self.tokens as u32
    }
}
