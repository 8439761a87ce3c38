//! What a node that is being stopped still passes on to endpoints, and until when.

use std::time::Duration;

/// Part of a stop that is kept for passing answers on, after the last one is due.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);
/// Share of a stop that may pass before the node stops accepting connections.
const MAX_LAG_SHARE: f64 = 0.5;
/// Least time after which a refused caller should come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The times of a planned stop, all counted from its signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopTimes {
    /// Until then the balancer may still send callers to this node.
    pub lag: Duration,
    /// When each request must have an answer.
    pub answers: Duration,
    /// When the process ends, whatever is open.
    pub end: Duration,
}

/// The time that a request may need after it is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendTime {
    /// Time left until the caller's deadline.
    pub left: Duration,
    /// Time within which healthy endpoints answer nearly all requests of the route.
    pub usual: Duration,
}

impl StopTimes {
    /// The times of a stop that ends at `end` and whose balancer needs `lag`.
    pub fn new(lag: Duration, end: Duration) -> Self {
        let answers = end.saturating_sub(ANSWER_MARGIN).max(end.mul_f64(MAX_LAG_SHARE));
        Self { lag: lag.min(answers.mul_f64(MAX_LAG_SHARE)), answers, end }
    }

    /// Whether a request is passed on at `since`. One that would probably be cut is refused instead:
    /// then its caller knows that it did not run. A request that usually ends in time is passed on
    /// although its deadline lies after the stop, because until `lag` a refused caller would probably
    /// come back to this node.
    pub fn may_send(&self, since: Duration, time: SendTime) -> bool {
        since + time.left.min(time.usual) <= self.answers
    }

    /// Until when a request whose time before the send is unknown may wait to be passed on.
    pub fn last_send(&self, time: SendTime) -> Duration {
        self.answers.saturating_sub(time.left.min(time.usual))
    }

    /// When a caller that is refused at `since` should come back: no earlier than the balancer has
    /// removed this node.
    pub fn retry_after(&self, since: Duration) -> Duration {
        self.lag.saturating_sub(since).max(MIN_RETRY_AFTER)
    }
}
