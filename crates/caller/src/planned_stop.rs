//! The planned stop of a node, as seen by the requests of its callers: until when they are taken, passed on
//! and answered.

use std::time::Duration;

use clock::{Moment, sleep_until};
use policy::{SendTime, StopTimes};
use tokio::sync::watch;

/// Times of a stop if none are set.
const DEFAULT_TIMES: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(120));

/// Whether the planned stop of this node has begun, and what it means for each request. Clones share
/// the state. There is at most one stop: further signals do not shorten it.
#[derive(Clone, Debug)]
pub struct PlannedStop {
    times: StopTimes,
    began: watch::Sender<Option<Moment>>,
}

impl Default for PlannedStop {
    fn default() -> Self {
        let (lag, end) = DEFAULT_TIMES;
        Self::new(StopTimes::new(lag, end))
    }
}

impl PlannedStop {
    /// A stop that has not begun.
    pub fn new(times: StopTimes) -> Self {
        Self { times, began: watch::Sender::new(None) }
    }

    /// The times of the stop, counted from its signal.
    pub fn times(&self) -> StopTimes {
        self.times
    }

    /// Begins the stop, at the signal.
    pub fn begin(&self) {
        self.began.send_if_modified(|it| {
            let is_first = it.is_none();
            it.get_or_insert_with(Moment::now);
            is_first
        });
    }

    /// Time since the signal; `None` if no stop has begun.
    pub fn elapsed(&self) -> Option<Duration> {
        self.began.borrow().map(Moment::elapsed)
    }

    /// Waits until a stop has begun and this time has passed since its signal.
    pub async fn wait_until(&self, since_signal: Duration) {
        let mut began = self.began.subscribe();
        let began = match began.wait_for(Option::is_some).await {
            Ok(it) => *it,
            Err(_) => None,
        };
        // `self` keeps the sender, so that the wait ends only when a stop has begun.
        if let Some(began) = began {
            sleep_until(began + since_signal).await;
        }
    }

    /// Time left until answers are due; `None` if no stop has begun.
    pub(crate) fn left(&self) -> Option<Duration> {
        Some(self.times.answers.saturating_sub(self.elapsed()?))
    }

    /// Whether a request may still be passed on.
    pub(crate) fn may_send(&self, time: SendTime) -> bool {
        self.elapsed().is_none_or(|since| self.times.may_send(since, time))
    }

    /// Whether requests that arrive now are taken.
    pub(crate) fn takes_arrivals(&self) -> bool {
        self.elapsed().is_none_or(|since| self.times.takes_arrivals(since))
    }

    /// Waits until no request is passed on any more.
    pub(crate) async fn too_late_to_send(&self) {
        self.wait_until(self.times.last_send()).await;
    }
}
