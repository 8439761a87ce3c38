//! Monotonic time, passed as an argument.

use std::ops::{Add, Sub};
use std::time::Duration;

/// Microseconds since an arbitrary start in this process; never sent to other nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub u64);

impl Time {
    /// Time since `earlier`, zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Seconds since `earlier`, without the divisions of a `Duration`.
    pub(crate) fn seconds_since(self, earlier: Time) -> f64 {
        self.0.saturating_sub(earlier.0) as f64 * 1e-6
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, by: Duration) -> Time {
        Time(self.0.saturating_add(by.as_micros() as u64))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, by: Duration) -> Time {
        Time(self.0.saturating_sub(by.as_micros() as u64))
    }
}
