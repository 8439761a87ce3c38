//! Whether a request may be sent again. The rules of `Repeat` are absolute; `budget` bounds how much
//! more work the repeats of all requests bring to a service.

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
