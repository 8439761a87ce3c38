use std::time::Duration;

use policy::{NodeId, Time};

use crate::reader_election::{Missing, Rank, ReaderElection, ReaderStatus, Reads};

const FIRST: Rank = Rank { link_mbps: 10, node: NodeId(1) };
const ME: Rank = Rank { link_mbps: 10, node: NodeId(5) };
const LAST: Rank = Rank { link_mbps: 10, node: NodeId(9) };
/// Ranks behind `FIRST` by identity, but has a faster link.
const FAST_LINK: Rank = Rank { link_mbps: 200, node: NodeId(9) };

fn at(ms: u64) -> Time {
    Time(0) + Duration::from_millis(ms)
}

#[test]
fn a_node_without_a_known_reader_reads() {
    assert_eq!(ReaderElection::new(ME).reads(at(0)), Reads::Everything);
}

#[test]
fn a_node_relies_on_a_reader_of_better_rank_until_the_reader_falls_silent() {
    let mut election = ReaderElection::new(ME);
    election.receive_status(at(0), FIRST, ReaderStatus::Confirmed(at(0)));
    assert_eq!(election.reads(at(1_200)), Reads::Nothing);
    assert_eq!(election.reads(at(1_201)), Reads::Everything);
}

/// A reader keeps announcing itself for a while after the last answer of the platform.
#[test]
fn a_node_takes_over_by_the_age_of_the_last_answer_despite_announcements() {
    let mut election = ReaderElection::new(ME);
    for ms in [0, 400, 800, 1_200] {
        election.receive_status(at(ms), FIRST, ReaderStatus::Confirmed(at(0)));
    }
    assert_eq!(election.reads(at(1_200)), Reads::Nothing);
    assert_eq!(election.reads(at(1_201)), Reads::Everything);
    election.receive_status(at(1_300), FIRST, ReaderStatus::Confirmed(at(1_290)));
    assert_eq!(election.reads(at(1_301)), Reads::Nothing);
    election.receive_status(at(1_310), FIRST, ReaderStatus::Confirmed(at(0)));
    assert_eq!(
        election.reads(at(2_490)),
        Reads::Nothing,
        "an older frame does not change the time"
    );
    assert_eq!(election.reads(at(2_491)), Reads::Everything);
}

#[test]
fn an_answer_with_missing_updates_confirms_nothing() {
    let mut election = ReaderElection::new(ME);
    election.receive_status(at(100), FIRST, ReaderStatus::Unconfirmed(at(100)));
    assert!(!election.is_fresh(at(100)));
    election.receive_status(at(200), FIRST, ReaderStatus::Confirmed(at(150)));
    assert!(election.is_fresh(at(200)));
    election.set_missing(at(300), Missing { config: true, registry: false });
    assert!(!election.is_fresh(at(300)), "a newer configuration is known to exist");
}

#[test]
fn a_node_continues_to_read_beside_a_reader_of_worse_rank() {
    let mut election = ReaderElection::new(ME);
    election.receive_status(at(0), LAST, ReaderStatus::Confirmed(at(0)));
    assert_eq!(election.reads(at(1)), Reads::Everything);
}

#[test]
fn a_reader_that_lost_the_platform_is_replaced_at_once() {
    let mut election = ReaderElection::new(ME);
    election.receive_status(at(0), FIRST, ReaderStatus::Confirmed(at(0)));
    election.receive_status(at(100), FIRST, ReaderStatus::NoAnswer);
    assert_eq!(election.reads(at(101)), Reads::Everything);
}

/// Guards against a reader without answers of its own that announced itself with freshness
/// confirmations of other readers, and so kept nodes from reading that the platform would have
/// answered.
#[test]
fn a_node_that_the_platform_refuses_does_not_announce_itself() {
    let mut election = ReaderElection::new(ME);
    election.platform_answered(at(0), at(0));
    election.confirm(at(0));
    assert!(election.announcement_is_due(at(0)));
    assert!(election.platform_failed(Time(0)));
    assert!(!election.platform_failed(Time(0)), "only the first failure is a change");
    election.receive_status(at(500), LAST, ReaderStatus::Confirmed(at(500)));
    assert!(!election.announcement_is_due(at(1_000)));
    assert_eq!(
        election.reads(at(1_000)),
        Reads::Nothing,
        "the node relies on a reader of worse rank"
    );
    election.platform_answered(at(1_100), at(1_100));
    election.confirm(at(1_100));
    election.receive_status(at(1_200), LAST, ReaderStatus::Confirmed(at(1_200)));
    assert_eq!(election.reads(at(2_500)), Reads::Everything);
}

/// Guards against a reader that took an old answer for the present state after a pause.
#[test]
fn an_answer_that_is_handled_late_is_as_old_as_the_state_that_it_speaks_for() {
    let ms = Duration::from_millis;
    let mut election = ReaderElection::new(ME);
    election.platform_answered(at(1_050), at(10));
    assert_eq!(election.since_own_answer(at(1_050)), ms(1_040));
    assert!(election.may_announce(at(1_309)));
    assert!(!election.may_announce(at(1_310)));
    election.platform_answered(at(1_400), at(1_390));
    election.platform_answered(at(1_410), at(100));
    assert_eq!(election.since_own_answer(at(1_410)), ms(20), "an older answer takes nothing back");
}

#[test]
fn updates_that_cannot_be_fetched_from_peers_are_read() {
    let mut election = ReaderElection::new(ME);
    election.receive_status(at(0), FIRST, ReaderStatus::Confirmed(at(0)));
    election.set_missing(at(0), Missing { config: true, registry: false });
    election.receive_status(at(400), FIRST, ReaderStatus::Confirmed(at(400)));
    election.set_missing(at(400), Missing { config: true, registry: false });
    assert_eq!(election.reads(at(450)), Reads::Nothing);
    assert_eq!(election.reads(at(600)), Reads::Configuration);
    election.set_missing(at(600), Missing { config: true, registry: true });
    assert_eq!(election.reads(at(1_200)), Reads::Everything);
}

#[test]
fn a_copy_becomes_stale_without_freshness_confirmations() {
    let mut election = ReaderElection::new(ME);
    assert!(!election.is_fresh(at(0)));
    election.platform_answered(at(0), at(0));
    election.confirm(at(0));
    assert!(election.is_fresh(at(1_000)));
    assert!(!election.is_fresh(at(2_000)));
    election.receive_status(at(2_000), FIRST, ReaderStatus::Confirmed(at(2_000)));
    assert!(election.is_fresh(at(2_100)));
}

/// A node that is too busy to serve a fetch refuses it, and the refused node reads the platform
/// instead of waiting.
#[test]
fn a_node_that_a_busy_peer_refuses_reads_the_configuration_at_once() {
    let mut election = ReaderElection::new(ME);
    election.receive_status(at(0), FIRST, ReaderStatus::Confirmed(at(0)));
    election.set_missing(at(0), Missing { config: true, registry: false });
    assert_eq!(election.reads(at(10)), Reads::Nothing);
    election.fetch_refused();
    assert_eq!(election.reads(at(10)), Reads::Configuration);
    election.set_missing(at(20), Missing::default());
    assert_eq!(election.reads(at(20)), Reads::Nothing);
    election.set_missing(at(30), Missing { config: true, registry: false });
    assert_eq!(
        election.reads(at(40)),
        Reads::Nothing,
        "another configuration may be available from peers"
    );
}

#[test]
fn a_node_relies_on_a_reader_with_a_faster_link() {
    let mut election = ReaderElection::new(ME);
    election.receive_status(at(0), FIRST, ReaderStatus::Confirmed(at(0)));
    election.receive_status(at(10), FAST_LINK, ReaderStatus::Confirmed(at(10)));
    election.receive_status(at(500), FIRST, ReaderStatus::Confirmed(at(500)));
    assert_eq!(election.reads(at(1_210)), Reads::Nothing);
    assert_eq!(
        election.reads(at(1_211)),
        Reads::Everything,
        "the last answer to the node with the faster link is old"
    );
    let mut fast = ReaderElection::new(FAST_LINK);
    fast.receive_status(at(0), FIRST, ReaderStatus::Confirmed(at(0)));
    assert_eq!(fast.reads(at(1)), Reads::Everything);
}

/// When all nodes start together, those with the fastest links read first, and the others wait for
/// them.
#[test]
fn starting_nodes_back_off_longer_on_slower_links() {
    let backoff = |link_mbps, spread| {
        let election = ReaderElection::starting(Rank { link_mbps, node: NodeId(1) }, at(0), spread);
        (0..2_000).find(|ms| election.reads(at(*ms)) == Reads::Everything).unwrap()
    };
    let backoffs = [1_000, 200, 20, 1].map(|it| (backoff(it, 0.0), backoff(it, 1.0)));
    assert_eq!(backoffs, [(10, 18), (50, 90), (500, 900), (500, 900)]);
}

#[test]
fn a_node_that_starts_asks_other_peers_before_it_reads() {
    let mut election = ReaderElection::starting(ME, at(0), 0.0);
    election.receive_status(at(100), FIRST, ReaderStatus::Confirmed(at(100)));
    election.set_missing(at(100), Missing { config: true, registry: true });
    election.fetch_refused();
    assert_eq!(election.reads(at(110)), Reads::Nothing);
    election.receive_status(at(900), FIRST, ReaderStatus::Confirmed(at(900)));
    assert_eq!(election.reads(at(1_000)), Reads::Nothing);
    assert_eq!(election.reads(at(1_150)), Reads::Everything, "no peer has sent a copy");
}

/// Without the back-off by rank, all nodes of a failure domain called the platform when their
/// reader was silent for a moment.
#[test]
fn nodes_take_over_by_rank() {
    let takes_over_after = |preceding| {
        let mut election = ReaderElection::new(ME);
        election.set_better_ranked(preceding);
        election.receive_status(at(0), FIRST, ReaderStatus::Confirmed(at(0)));
        (0..2_000).find(|ms| election.reads(at(*ms)) == Reads::Everything).unwrap()
    };
    assert_eq!([0, 1, 3, 100].map(takes_over_after), [1_201, 1_251, 1_351, 1_601]);
    let mut election = ReaderElection::new(ME);
    election.set_better_ranked(2);
    election.receive_status(at(0), FIRST, ReaderStatus::Confirmed(at(0)));
    election.receive_status(at(100), FIRST, ReaderStatus::NoAnswer);
    assert_eq!(election.reads(at(199)), Reads::Nothing);
    assert_eq!(election.reads(at(200)), Reads::Everything);
}

#[test]
fn a_node_that_got_its_first_copy_from_a_peer_leaves_time_for_announcements() {
    let mut election = ReaderElection::starting(ME, at(0), 0.0);
    election.record_first_copy(at(300));
    election.set_better_ranked(0);
    assert_eq!(election.reads(at(1_000)), Reads::Nothing);
    assert_eq!(election.reads(at(1_100)), Reads::Everything);
}
