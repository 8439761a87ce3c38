//! Notices that endpoints attach to their answers, with real processes.

use std::path::Path;
use std::time::{Duration, Instant};

use standin::bed::{Layout, TestBed};
use standin::caller;
use standin::upstream::{Advertised, Fault};

/// Time after which a leaving endpoint gets no new requests.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);
const BACKOFF: Duration = Duration::from_secs(3);
/// Time after the request for a back-off in which requests that are in flight may still arrive.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
/// Maximum number of further requests during the back-off.
const MAX_DURING_BACKOFF: usize = 2;

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
    let known_by = Instant::now() + PROPAGATION_TIME;
    let summary = caller::run(bed.lookups(100.0, 6.0)).await;
    let late = count(&leaving.arrivals(), known_by, Instant::now());
    assert_eq!(late, 0, "requests after all nodes could have known");
    assert!(
        summary.answered * 100 >= summary.sent * 99,
        "the others have slots to spare: {summary:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_asks_a_node_for_a_backoff_gets_it() {
    let bin = Path::new(env!("CARGO_BIN_EXE_dappleway"));
    let bed = TestBed::start(bin, &Layout { nodes: 1, ..Layout::small() }).await.unwrap();
    caller::run(bed.lookups(100.0, 1.0)).await;
    let backing_off = &bed.upstreams[0];
    backing_off
        .advertise(Advertised { back_off: Some(BACKOFF.as_secs_f64()), ..Advertised::default() });
    backing_off.set_fault(Fault::Shed, 1.0, 1.0);
    let before = backing_off.arrivals().len();
    let summary = caller::run(bed.lookups(100.0, 8.0)).await;
    let arrivals = &backing_off.arrivals()[before..];
    assert!(!arrivals.is_empty(), "the endpoint gets a request at all");
    for arrival in arrivals {
        let n = count(arrivals, *arrival + IN_FLIGHT_TIME, *arrival + BACKOFF);
        assert!(n <= MAX_DURING_BACKOFF, "{n} requests during the back-off");
    }
    assert!(
        summary.answered * 100 >= summary.sent * 99,
        "the others have slots to spare: {summary:?}"
    );
}
