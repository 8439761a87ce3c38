//! Whether a request may be sent again. The rules of `Repeat` are absolute; the budget bounds how
//! much more work the retries of all requests bring to a service.

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
    /// Number of sends so far, this one included.
    pub sends: u32,
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

/// Most sends of one request.
const MAX_SENDS: u32 = 3;

/// Decides what follows a send that ended with `outcome`. A second send takes from the budget.
pub fn next_step(outcome: Outcome, attempt: Attempt, budget: &mut Budget) -> Next {
    let unknown = attempt.unknown_before || outcome == Outcome::Unknown;
    let allowed = match (attempt.repeat, outcome) {
        (_, Outcome::Answered) => return Next::Deliver,
        (Repeat::Anytime, _) => true,
        (Repeat::IfNotRun, _) => !unknown,
        (Repeat::Never, _) => false,
    };
    let in_time = attempt.sends < MAX_SENDS && !attempt.left.is_zero();
    match (allowed && in_time && budget.take(), unknown) {
        (true, _) => Next::Again,
        (false, true) => Next::GiveUpUnknown,
        (false, false) => Next::GiveUpNotRun,
    }
}

/// Retries and hedges of one service on one node: at most a tenth of the first sends.
///
/// Because the bound holds on every node, it holds for the fleet.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
}

impl Budget {
    const RATIO: f64 = 0.1;
    const MAX: f64 = 10.0;

    /// Records a first send.
    pub fn first_send(&mut self) {
        self.tokens = (self.tokens + Self::RATIO).min(Self::MAX);
    }

    /// Takes one further send if the budget allows it.
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

#[cfg(test)]
impl Budget {
    pub(crate) fn with_tokens(tokens: u32) -> Self {
        Self { tokens: tokens.into() }
    }

    pub(crate) fn tokens(&self) -> u32 {
        self.tokens as u32
    }
}

impl Default for Budget {
    /// A few tokens, so that a node that has just started can retry at all.
    fn default() -> Self {
        Self { tokens: 3.0 }
    }
}
