//! Ages and deadlines that include the time for which the VM was suspended.
//!
//! The clock behind `std` and `tokio` instants stops while the VM is suspended. After a resume, outdated data would look
//! fresh and expired deadlines would seem to lie in the future. This crate must not depend on what the ages and deadlines
//! are used for.

use std::future::pending;
use std::ops::Add;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use tokio::time::timeout;

/// Longest wait on a single timer. Timers use the monotonic clock, which excludes suspensions, so longer waits are split
/// into timers of this length. After a resume, an expired wait ends at most this much later.
const MAX_TIMER: Duration = Duration::from_millis(500);

/// Total time of simulated suspensions in microseconds.
static SIMULATED_SUSPENSION_US: AtomicU64 = AtomicU64::new(0);

/// A point in time of a clock that keeps running while the VM is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(Duration);

impl Moment {
    /// Returns the current time.
    ///
    /// # Panics
    ///
    /// Panics if the kernel does not have `CLOCK_BOOTTIME`; Linux has had the clock since version 2.6.39.
    pub fn now() -> Self {
        let it = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has CLOCK_BOOTTIME");
        Self(
            Duration::from(it)
                + Duration::from_micros(SIMULATED_SUSPENSION_US.load(Ordering::Relaxed)),
        )
    }

    /// Returns the time since this moment; zero if the moment is in the future.
    pub fn elapsed(self) -> Duration {
        Self::now().since(self)
    }

    /// Returns the time left until this moment; zero if the moment has passed.
    pub fn left(self) -> Duration {
        self.since(Self::now())
    }

    /// Returns the time from `earlier` to this moment; zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, by: Duration) -> Self {
        Self(self.0 + by)
    }
}

/// Waits until `moment`, including time for which the VM is suspended.
pub async fn sleep_until(moment: Moment) {
    timeout_at(moment, pending::<()>()).await;
}

/// Runs a future until `moment`. Returns `None` if the moment comes before the future completes.
pub async fn timeout_at<F: Future>(moment: Moment, fut: F) -> Option<F::Output> {
    let mut fut = std::pin::pin!(fut);
    loop {
        if let Ok(out) = timeout(moment.left().min(MAX_TIMER), &mut fut).await {
            return Some(out);
        }
        if moment.left().is_zero() {
            return None;
        }
    }
}

/// Simulates a suspension of the VM for tests: advances this clock by `length`, but not the monotonic clock.
pub fn simulate_suspension(length: Duration) {
    SIMULATED_SUSPENSION_US.fetch_add(length.as_micros() as u64, Ordering::Relaxed);
}
