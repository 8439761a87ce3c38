use std::net::SocketAddr;
use std::time::Duration;

use clock::Moment;

use crate::PathState;
use crate::paths::{Paths, Proof};

fn endpoint(n: u16) -> SocketAddr {
    ([127, 0, 0, 1], n).into()
}

struct Bed {
    paths: Paths,
    start: Moment,
    /// Virtual time since the start.
    time: Duration,
}

impl Bed {
    fn new() -> Self {
        Self { paths: Paths::default(), start: Moment::now(), time: Duration::ZERO }
    }

    fn now(&mut self) -> Moment {
        self.wait_ms(1);
        self.start + self.time
    }

    fn wait_ms(&mut self, ms: u64) {
        self.time += Duration::from_millis(ms);
    }

    fn fail(&mut self, endpoints: impl IntoIterator<Item = u16>) {
        for n in endpoints {
            let now = self.now();
            self.paths.record_failure(now, endpoint(n));
        }
    }

    fn connect(&mut self, n: u16) {
        let now = self.now();
        self.paths.record_connection(now, endpoint(n));
    }

    fn state(&mut self, n: u16) -> PathState {
        let now = self.now();
        self.paths.state(now, endpoint(n))
    }

    fn proof_beside(&mut self, n: u16) -> Proof {
        let now = self.now();
        self.paths.proof_beside(now, endpoint(n))
    }

    fn next_check(&mut self) -> Option<SocketAddr> {
        let now = self.now();
        self.paths.next_check(now)
    }
}

#[test]
fn a_few_endpoints_that_end_together_are_no_cut() {
    let mut bed = Bed::new();
    bed.fail([1, 2, 1, 2, 1, 2]);
    assert!(!bed.paths.is_cut_off());
    assert_eq!(bed.state(1), PathState::Failed);
    assert_eq!(bed.state(3), PathState::Usable);
}

#[test]
fn failures_with_a_connection_in_between_are_no_cut() {
    let mut bed = Bed::new();
    for n in 1..=9 {
        bed.fail([n]);
        bed.connect(100);
    }
    assert!(!bed.paths.is_cut_off());
}

#[test]
fn without_any_connection_untried_paths_are_suspected_and_checked_first() {
    let mut bed = Bed::new();
    bed.connect(9);
    bed.fail([1, 2, 3]);
    assert!(bed.paths.is_cut_off());
    assert_eq!(bed.state(9), PathState::Suspected);
    assert_eq!(bed.next_check(), Some(endpoint(9)));
}

#[test]
fn a_connection_ends_the_cut_and_the_other_paths_are_checked_in_turn() {
    let mut bed = Bed::new();
    bed.fail([1, 2, 3]);
    bed.connect(2);
    assert!(!bed.paths.is_cut_off());
    assert_eq!(bed.state(2), PathState::Usable);
    assert_eq!(bed.state(4), PathState::Usable);
    assert_eq!(bed.next_check(), Some(endpoint(1)));
    bed.fail([1]);
    assert_eq!(bed.next_check(), Some(endpoint(3)));
}

#[test]
fn an_endpoint_that_no_request_needs_is_not_checked_for_ever() {
    let mut bed = Bed::new();
    bed.fail([1, 2, 3]);
    for _ in 0..20 {
        bed.wait_ms(500);
        bed.fail([1, 2, 3]);
        bed.state(2);
    }
    assert_eq!(bed.next_check(), Some(endpoint(2)));
    assert!(!bed.paths.is_cut_off());
}

#[test]
fn a_failure_is_evidence_only_while_this_node_reaches_other_endpoints() {
    let mut bed = Bed::new();
    assert_eq!(bed.proof_beside(1), Proof::None);
    bed.connect(2);
    bed.fail([1]);
    assert_eq!(bed.proof_beside(1), Proof::Known);
    assert_eq!(bed.proof_beside(2), Proof::None, "the same endpoint");
    bed.wait_ms(2_500);
    assert_eq!(bed.proof_beside(1), Proof::Connect(endpoint(2)), "too long ago");
    bed.connect(2);
    bed.fail([1, 3, 4]);
    assert_eq!(bed.proof_beside(1), Proof::Disproved, "cut off");
}
