//! Endpoints that announce a rate limit, with real processes.

use std::path::Path;
use std::time::{Duration, Instant};

use standin::bed::{Layout, TestBed};
use standin::caller;
use standin::upstream::Advertised;

const RATE_LIMIT_PER_S: f64 = 1.5;
const WINDOW: Duration = Duration::from_secs(4);
/// Time within which all nodes learn of a limit.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// The largest number of arrivals in any window after `from`.
fn most_in_a_window(arrivals: &[Instant], from: Instant) -> usize {
    let later: Vec<Instant> = arrivals.iter().copied().filter(|it| *it >= from).collect();
    let ending =
        |end: Instant| later.iter().filter(|it| **it <= end && **it + WINDOW > end).count();
    later.iter().map(|end| ending(*end)).max().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_together_keep_to_the_rate_limits_of_endpoints() {
    let bin = Path::new(env!("CARGO_BIN_EXE_dappleway"));
    let bed = TestBed::start(bin, &Layout::small()).await.unwrap();
    caller::run(bed.lookups(100.0, 1.0)).await;
    let limited = &bed.upstreams[..2];
    limited.iter().for_each(|it| {
        it.advertise(Advertised { rate_limit: Some(RATE_LIMIT_PER_S), ..Advertised::default() })
    });
    let from = Instant::now() + PROPAGATION_TIME;
    let summary = caller::run(bed.lookups(100.0, 9.0)).await;
    let allowed = RATE_LIMIT_PER_S * 1.5 * WINDOW.as_secs_f64() + 5.0;
    for it in limited {
        let most = most_in_a_window(&it.arrivals(), from);
        assert!((1..=allowed as usize).contains(&most), "{most} requests, allowed {allowed}");
    }
    assert!(
        summary.answered * 100 >= summary.sent * 99,
        "the others have slots to spare: {summary:?}"
    );
}
