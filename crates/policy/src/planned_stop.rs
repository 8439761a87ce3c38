//! What a node that is being stopped still passes on to endpoints, and until when.

use std::time::Duration;

/// Time that is kept for passing answers on, after the last one is due.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);
/// The part of a stop that this margin takes at most.
const MAX_MARGIN_SHARE: f64 = 0.1;
/// Least time that a request needs at an endpoint. A request that has less left waits for no slot.
const MIN_SEND_TIME: Duration = Duration::from_millis(100);

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
        let answers = end.saturating_sub(ANSWER_MARGIN.min(end.mul_f64(MAX_MARGIN_SHARE)));
        Self { lag: lag.min(answers), answers, end }
    }

    /// Whether a request that arrives at `since` is taken. Later than `lag` the balancer sends nobody here
    /// any more, so that a refused caller reaches another node.
    pub fn takes_arrivals(&self, since: Duration) -> bool {
        since <= self.lag
    }

    /// Whether a request is passed on at `since`. One that would probably be cut is refused instead:
    /// then its caller knows that it did not run. A request that usually ends in time is passed on
    /// although its deadline lies after the stop.
    pub fn may_send(&self, since: Duration, time: SendTime) -> bool {
        since + time.left.min(time.usual) <= self.answers
    }

    /// Until when a request may wait to be passed on.
    pub fn last_send(&self) -> Duration {
        self.answers.saturating_sub(MIN_SEND_TIME)
    }
}
