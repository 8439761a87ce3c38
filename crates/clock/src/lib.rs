//! Ages and deadlines that count the time for which the machine was suspended.
//!
//! The clock behind `std` and `tokio` instants stands still meanwhile, so that what is seconds old, or past its
//! deadline, looks fresh to a node that was resumed. This crate must not know what the ages and deadlines are for.

use std::future::pending;
use std::ops::Add;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use tokio::time::timeout;

/// Timers count the steady clock, so that a wait is cut into pieces of this length: as long after a machine was
/// resumed it ends at the latest.
const PIECE: Duration = Duration::from_millis(500);

/// Suspensions that tests play, in microseconds.
static SUSPENDED: AtomicU64 = AtomicU64::new(0);

/// A moment by the clock that runs on while the machine is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(Duration);

impl Moment {
    /// This moment.
    ///
    /// # Panics
    ///
    /// If the kernel has no such clock; Linux has had it since version 2.6.39.
    pub fn now() -> Self {
        let it = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has CLOCK_BOOTTIME");
        Self(Duration::from(it) + Duration::from_micros(SUSPENDED.load(Ordering::Relaxed)))
    }

    /// Time since it, zero if it is to come.
    pub fn elapsed(self) -> Duration {
        Self::now().since(self)
    }

    /// Time until it, zero if it has passed.
    pub fn left(self) -> Duration {
        self.since(Self::now())
    }

    /// Time from `earlier` to it, zero if `earlier` is later.
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

/// Waits until a moment.
pub async fn sleep_until(moment: Moment) {
    timeout_at(moment, pending::<()>()).await;
}

/// Runs a future until a moment; nothing means that the moment came first.
pub async fn timeout_at<F: Future>(moment: Moment, fut: F) -> Option<F::Output> {
    let mut fut = std::pin::pin!(fut);
    loop {
        if let Ok(out) = timeout(moment.left().min(PIECE), &mut fut).await {
            return Some(out);
        }
        if moment.left().is_zero() {
            return None;
        }
    }
}

/// Plays a suspension of the machine, for tests: this clock goes on by `length`, and the steady one does not.
pub fn simulate_suspension(length: Duration) {
    SUSPENDED.fetch_add(length.as_micros() as u64, Ordering::Relaxed);
}
