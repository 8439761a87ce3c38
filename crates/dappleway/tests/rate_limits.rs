//! Endpoints that name a rate limit, at real processes.

use std::path::Path;
use std::time::{Duration, Instant};

use standin::bed::{Layout, TestBed};
use standin::caller;
use standin::upstream::Advertised;

const PER_S: f64 = 1.5;
const WINDOW: Duration = Duration::from_secs(4);
/// The fleet has so long to hear of a limit.
const CONTACT: Duration = Duration::from_secs(3);

/// Most arrivals in a window after `from`.
fn most_in_a_window(arrivals: &[Instant], from: Instant) -> usize {
    let late: Vec<Instant> = arrivals.iter().copied().filter(|it| *it >= from).collect();
    let ending = |end: Instant| late.iter().filter(|it| **it <= end && **it + WINDOW > end).count();
    late.iter().map(|end| ending(*end)).max().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_together_keep_to_the_rate_limits_of_endpoints() {
    let bin = Path::new(env!("CARGO_BIN_EXE_dappleway"));
    let bed = TestBed::start(bin, &Layout::small()).await.unwrap();
    caller::run(bed.lookups(100.0, 1.0)).await;
    let limited = &bed.upstreams[..2];
    limited.iter().for_each(|it| {
        it.advertise(Advertised { rate_limit: Some(PER_S), ..Advertised::default() })
    });
    let from = Instant::now() + CONTACT;
    let seen = caller::run(bed.lookups(100.0, 9.0)).await;
    let allowed = PER_S * 1.5 * WINDOW.as_secs_f64() + 5.0;
    for it in limited {
        let most = most_in_a_window(&it.arrivals(), from);
        assert!((1..=allowed as usize).contains(&most), "{most} requests, allowed {allowed}");
    }
    assert!(seen.answered * 100 >= seen.sent * 99, "the others have slots to spare: {seen:?}");
}
