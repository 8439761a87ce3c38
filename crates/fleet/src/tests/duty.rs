use std::time::Duration;

use policy::{NodeId, Time};

use crate::duty::Duty;

const FIRST: NodeId = NodeId(1);
const ME: NodeId = NodeId(5);
const LAST: NodeId = NodeId(9);

fn at(ms: u64) -> Time {
    Time(0) + Duration::from_millis(ms)
}

#[test]
fn a_node_that_has_heard_of_nobody_reads() {
    assert!(Duty::new(ME).reads(at(0)));
}

#[test]
fn a_node_leaves_it_to_one_that_precedes_it_until_that_falls_silent() {
    let mut duty = Duty::new(ME);
    duty.heard(at(0), FIRST, true);
    assert!(!duty.reads(at(900)));
    assert!(duty.reads(at(1_100)));
}

#[test]
fn a_node_goes_on_reading_beside_one_that_follows_it() {
    let mut duty = Duty::new(ME);
    duty.heard(at(0), LAST, true);
    assert!(duty.reads(at(1)));
}

#[test]
fn a_reader_that_lost_the_platform_is_stepped_in_for_at_once() {
    let mut duty = Duty::new(ME);
    duty.heard(at(0), FIRST, true);
    duty.heard(at(100), FIRST, false);
    assert!(duty.reads(at(101)));
}

/// A reader that the platform refused passed on what it heard from others as its own word, and so
/// kept those away whom the platform would have answered.
#[test]
fn a_node_that_the_platform_refuses_does_not_say_that_it_reads() {
    let mut duty = Duty::new(ME);
    duty.contacted(at(0));
    assert!(duty.news_is_due(at(0)));
    assert!(duty.failed());
    assert!(!duty.failed(), "only the first failure is news");
    duty.heard(at(500), LAST, true);
    assert!(!duty.news_is_due(at(1_000)));
    assert!(!duty.reads(at(1_000)), "it leaves it to one that follows it");
    duty.contacted(at(1_100));
    duty.heard(at(1_200), LAST, true);
    assert!(duty.reads(at(2_500)));
}

#[test]
fn what_cannot_be_had_from_peers_is_read() {
    let mut duty = Duty::new(ME);
    duty.heard(at(0), FIRST, true);
    duty.set_behind(at(0), true);
    duty.heard(at(400), FIRST, true);
    duty.set_behind(at(400), true);
    assert!(!duty.reads(at(450)));
    assert!(duty.reads(at(600)));
}

#[test]
fn what_is_known_here_grows_old_without_word_from_the_platform() {
    let mut duty = Duty::new(ME);
    assert!(!duty.is_fresh(at(0)));
    duty.contacted(at(0));
    assert!(duty.is_fresh(at(1_000)));
    assert!(!duty.is_fresh(at(2_000)));
    duty.heard(at(2_000), FIRST, true);
    assert!(duty.is_fresh(at(2_100)));
}
