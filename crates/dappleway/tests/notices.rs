//! What endpoints say of themselves, at real processes.

use std::path::Path;
use std::time::{Duration, Instant};

use standin::bed::{Layout, TestBed};
use standin::caller;
use standin::upstream::{Advertised, Fault};

/// An endpoint that leaves gets nothing new after this time.
const LEAVING: Duration = Duration::from_secs(2);
const REST: Duration = Duration::from_secs(3);
/// An endpoint that asks for rest may get a request that is under way, and two more.
const UNDER_WAY: Duration = Duration::from_millis(500);
const BEFORE_THE_END: usize = 2;

fn count(arrivals: &[Instant], from: Instant, to: Instant) -> usize {
    arrivals.iter().filter(|it| (from..to).contains(it)).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_says_it_leaves_gets_no_new_work_though_the_registry_lists_it() {
    let bin = Path::new(env!("CARGO_BIN_EXE_dappleway"));
    let bed = TestBed::start(bin, &Layout::small()).await.unwrap();
    caller::run(bed.lookups(100.0, 1.0)).await;
    let leaving = &bed.upstreams[0];
    leaving.advertise(Advertised { leaving: true, ..Advertised::default() });
    let told_by = Instant::now() + LEAVING;
    let seen = caller::run(bed.lookups(100.0, 6.0)).await;
    let late = count(&leaving.arrivals(), told_by, Instant::now());
    assert_eq!(late, 0, "requests after all nodes could know");
    assert!(seen.answered * 100 >= seen.sent * 99, "the others have slots to spare: {seen:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_asks_a_node_for_rest_has_it() {
    let bin = Path::new(env!("CARGO_BIN_EXE_dappleway"));
    let bed = TestBed::start(bin, &Layout { nodes: 1, ..Layout::small() }).await.unwrap();
    caller::run(bed.lookups(100.0, 1.0)).await;
    let resting = &bed.upstreams[0];
    resting.advertise(Advertised { back_off: Some(REST.as_secs_f64()), ..Advertised::default() });
    resting.set_fault(Fault::Shed, 1.0, 1.0);
    let before = resting.arrivals().len();
    let seen = caller::run(bed.lookups(100.0, 8.0)).await;
    let arrivals = &resting.arrivals()[before..];
    assert!(!arrivals.is_empty(), "it is asked at all");
    for asked in arrivals {
        let n = count(arrivals, *asked + UNDER_WAY, *asked + REST);
        assert!(n <= BEFORE_THE_END, "{n} requests in the rest it asked for");
    }
    assert!(seen.answered * 100 >= seen.sent * 99, "the others have slots to spare: {seen:?}");
}
