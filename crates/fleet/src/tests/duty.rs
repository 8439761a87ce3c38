use std::time::Duration;

use policy::{NodeId, Time};

use crate::duty::{Duty, Lacks, Rank, Reads, Word};

const FIRST: Rank = Rank { link_mbps: 10, node: NodeId(1) };
const ME: Rank = Rank { link_mbps: 10, node: NodeId(5) };
const LAST: Rank = Rank { link_mbps: 10, node: NodeId(9) };
/// Ranks behind `FIRST` by identity, but has a faster link.
const STRONG: Rank = Rank { link_mbps: 200, node: NodeId(9) };

fn at(ms: u64) -> Time {
    Time(0) + Duration::from_millis(ms)
}

#[test]
fn a_node_that_has_heard_of_nobody_reads() {
    assert_eq!(Duty::new(ME).reads(at(0)), Reads::Everything);
}

#[test]
fn a_node_leaves_it_to_one_that_precedes_it_until_that_falls_silent() {
    let mut duty = Duty::new(ME);
    duty.heard(at(0), FIRST, Word::Proof(at(0)));
    assert_eq!(duty.reads(at(1_200)), Reads::Nothing);
    assert_eq!(duty.reads(at(1_201)), Reads::Everything);
}

/// A reader keeps announcing itself for a while after the last answer of the platform.
#[test]
fn a_node_steps_in_by_the_age_of_the_last_answer_whoever_goes_on_talking() {
    let mut duty = Duty::new(ME);
    for ms in [0, 400, 800, 1_200] {
        duty.heard(at(ms), FIRST, Word::Proof(at(0)));
    }
    assert_eq!(duty.reads(at(1_200)), Reads::Nothing);
    assert_eq!(duty.reads(at(1_201)), Reads::Everything);
    duty.heard(at(1_300), FIRST, Word::Proof(at(1_290)));
    assert_eq!(duty.reads(at(1_301)), Reads::Nothing);
    duty.heard(at(1_310), FIRST, Word::Proof(at(0)));
    assert_eq!(duty.reads(at(2_490)), Reads::Nothing, "an older frame takes nothing back");
    assert_eq!(duty.reads(at(2_491)), Reads::Everything);
}

#[test]
fn what_a_reader_has_and_this_node_lacks_proves_nothing() {
    let mut duty = Duty::new(ME);
    duty.heard(at(100), FIRST, Word::Other(at(100)));
    assert!(!duty.is_fresh(at(100)));
    duty.heard(at(200), FIRST, Word::Proof(at(150)));
    assert!(duty.is_fresh(at(200)));
    duty.set_lacks(at(300), Lacks { config: true, registry: false });
    assert!(!duty.is_fresh(at(300)), "a newer one is known to exist");
}

#[test]
fn a_node_goes_on_reading_beside_one_that_follows_it() {
    let mut duty = Duty::new(ME);
    duty.heard(at(0), LAST, Word::Proof(at(0)));
    assert_eq!(duty.reads(at(1)), Reads::Everything);
}

#[test]
fn a_reader_that_lost_the_platform_is_stepped_in_for_at_once() {
    let mut duty = Duty::new(ME);
    duty.heard(at(0), FIRST, Word::Proof(at(0)));
    duty.heard(at(100), FIRST, Word::Lost);
    assert_eq!(duty.reads(at(101)), Reads::Everything);
}

/// Guards against a reader without answers of its own that announced itself with freshness
/// confirmations of other readers, and so kept nodes from reading that the platform would have
/// answered.
#[test]
fn a_node_that_the_platform_refuses_does_not_say_that_it_reads() {
    let mut duty = Duty::new(ME);
    duty.answered(at(0));
    duty.proven(at(0));
    assert!(duty.news_is_due(at(0)));
    assert!(duty.failed());
    assert!(!duty.failed(), "only the first failure is news");
    duty.heard(at(500), LAST, Word::Proof(at(500)));
    assert!(!duty.news_is_due(at(1_000)));
    assert_eq!(duty.reads(at(1_000)), Reads::Nothing, "it leaves it to one that follows it");
    duty.answered(at(1_100));
    duty.proven(at(1_100));
    duty.heard(at(1_200), LAST, Word::Proof(at(1_200)));
    assert_eq!(duty.reads(at(2_500)), Reads::Everything);
}

#[test]
fn what_cannot_be_had_from_peers_is_read() {
    let mut duty = Duty::new(ME);
    duty.heard(at(0), FIRST, Word::Proof(at(0)));
    duty.set_lacks(at(0), Lacks { config: true, registry: false });
    duty.heard(at(400), FIRST, Word::Proof(at(400)));
    duty.set_lacks(at(400), Lacks { config: true, registry: false });
    assert_eq!(duty.reads(at(450)), Reads::Nothing);
    assert_eq!(duty.reads(at(600)), Reads::Configuration);
    duty.set_lacks(at(600), Lacks { config: true, registry: true });
    assert_eq!(duty.reads(at(1_200)), Reads::Everything);
}

#[test]
fn what_is_known_here_grows_old_without_word_from_the_platform() {
    let mut duty = Duty::new(ME);
    assert!(!duty.is_fresh(at(0)));
    duty.answered(at(0));
    duty.proven(at(0));
    assert!(duty.is_fresh(at(1_000)));
    assert!(!duty.is_fresh(at(2_000)));
    duty.heard(at(2_000), FIRST, Word::Proof(at(2_000)));
    assert!(duty.is_fresh(at(2_100)));
}

/// A node that is too busy to serve a fetch refuses it, and the refused node reads the platform
/// instead of waiting.
#[test]
fn a_node_that_a_busy_peer_refuses_reads_the_configuration_at_once() {
    let mut duty = Duty::new(ME);
    duty.heard(at(0), FIRST, Word::Proof(at(0)));
    duty.set_lacks(at(0), Lacks { config: true, registry: false });
    assert_eq!(duty.reads(at(10)), Reads::Nothing);
    duty.refused();
    assert_eq!(duty.reads(at(10)), Reads::Configuration);
    duty.set_lacks(at(20), Lacks::default());
    assert_eq!(duty.reads(at(20)), Reads::Nothing);
    duty.set_lacks(at(30), Lacks { config: true, registry: false });
    assert_eq!(duty.reads(at(40)), Reads::Nothing, "another configuration may be had from peers");
}

#[test]
fn a_node_leaves_it_to_one_whose_link_carries_more() {
    let mut duty = Duty::new(ME);
    duty.heard(at(0), FIRST, Word::Proof(at(0)));
    duty.heard(at(10), STRONG, Word::Proof(at(10)));
    duty.heard(at(500), FIRST, Word::Proof(at(500)));
    assert_eq!(duty.reads(at(1_210)), Reads::Nothing);
    assert_eq!(duty.reads(at(1_211)), Reads::Everything, "the strong one's answer is old");
    let mut strong = Duty::new(STRONG);
    strong.heard(at(0), FIRST, Word::Proof(at(0)));
    assert_eq!(strong.reads(at(1)), Reads::Everything);
}

/// When all nodes start together, those with the fastest links read first, and the others wait for
/// them.
#[test]
fn nodes_that_start_wait_for_their_turn_the_longer_the_less_their_link_carries() {
    let turn = |link_mbps, spread| {
        let duty = Duty::starting(Rank { link_mbps, node: NodeId(1) }, at(0), spread);
        (0..2_000).find(|ms| duty.reads(at(*ms)) == Reads::Everything).unwrap()
    };
    let turns = [1_000, 200, 20, 1].map(|it| (turn(it, 0.0), turn(it, 1.0)));
    assert_eq!(turns, [(10, 18), (50, 90), (500, 900), (500, 900)]);
}

#[test]
fn a_node_that_starts_asks_other_peers_before_it_reads() {
    let mut duty = Duty::starting(ME, at(0), 0.0);
    duty.heard(at(100), FIRST, Word::Proof(at(100)));
    duty.set_lacks(at(100), Lacks { config: true, registry: true });
    duty.refused();
    assert_eq!(duty.reads(at(110)), Reads::Nothing);
    duty.heard(at(900), FIRST, Word::Proof(at(900)));
    assert_eq!(duty.reads(at(1_000)), Reads::Nothing);
    assert_eq!(duty.reads(at(1_150)), Reads::Everything, "no peer gave it a copy");
}

/// Without the back-off by rank, all nodes of a failure domain called the platform when their
/// reader was silent for a moment.
#[test]
fn nodes_step_in_by_precedence() {
    let steps_in_after = |preceding| {
        let mut duty = Duty::new(ME);
        duty.set_preceding(preceding);
        duty.heard(at(0), FIRST, Word::Proof(at(0)));
        (0..2_000).find(|ms| duty.reads(at(*ms)) == Reads::Everything).unwrap()
    };
    assert_eq!([0, 1, 3, 100].map(steps_in_after), [1_201, 1_251, 1_351, 1_601]);
    let mut duty = Duty::new(ME);
    duty.set_preceding(2);
    duty.heard(at(0), FIRST, Word::Proof(at(0)));
    duty.heard(at(100), FIRST, Word::Lost);
    assert_eq!(duty.reads(at(199)), Reads::Nothing);
    assert_eq!(duty.reads(at(200)), Reads::Everything);
}

#[test]
fn a_node_that_got_its_first_copy_from_a_peer_leaves_time_for_news() {
    let mut duty = Duty::starting(ME, at(0), 0.0);
    duty.copied(at(300));
    duty.set_preceding(0);
    assert_eq!(duty.reads(at(1_000)), Reads::Nothing);
    assert_eq!(duty.reads(at(1_100)), Reads::Everything);
}
