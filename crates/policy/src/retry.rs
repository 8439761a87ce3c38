//! Whether a request may be sent again. The rules of `Repeat` are absolute; `budget` limits how
//! much load the repeats of all requests add to a service.

use std::time::Duration;

use resources::Repeat;

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer arrived.
    Answered,
    /// The upstream provably did not run the request.
    NotRun,
    /// The upstream may have run the request.
    Unknown,
}

/// The state of a request before the decision.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The route's rule for repeats.
    pub repeat: Repeat,
    /// Whether any earlier send ended as [`Outcome::Unknown`].
    pub unknown_before: bool,
    /// Number of endpoints that the request has reached so far.
    pub sends: u32,
    /// Maximum number of endpoints that the request may reach.
    pub max_sends: u32,
    /// Time left until the deadline.
    pub left: Duration,
}

/// What to do after a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Deliver the answer to the caller.
    Deliver,
    /// Send the request again.
    Again,
    /// Give up and tell the caller that the request did not run.
    GiveUpNotRun,
    /// Give up and tell the caller that the request may have run.
    GiveUpUnknown,
}

/// Decides what follows a send that ended with `outcome`. The dispatcher decides separately whether
/// the service's budget allows another send.
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
