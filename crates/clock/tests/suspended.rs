//! A suspension counts as elapsed time, and waits that began before a suspension end soon after it.

use std::time::{Duration, Instant};

use clock::{Moment, simulate_suspension, sleep_until, timeout_at};

const HOUR: Duration = Duration::from_secs(3_600);

#[tokio::test]
async fn a_suspension_counts_and_ends_waits() {
    let monotonic = Instant::now();
    let start = Moment::now();
    let deadline = start + HOUR;
    assert!(start.elapsed() < HOUR / 2);
    let waits = async {
        tokio::join!(
            sleep_until(deadline),
            timeout_at(deadline, std::future::pending::<()>()),
            async { simulate_suspension(HOUR) }
        )
    };
    let (_, timed_out, ()) = waits.await;
    assert!(timed_out.is_none());
    assert!(start.elapsed() >= HOUR && deadline.left().is_zero());
    assert!(monotonic.elapsed() < HOUR / 2, "the monotonic clock must not advance");
    assert_eq!(
        timeout_at(deadline, std::future::ready(1)).await,
        Some(1),
        "a ready future completes after the deadline"
    );
}
