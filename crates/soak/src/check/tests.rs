use std::time::{Duration, Instant};

use standin::upstream::Work;

use super::{
    Cause, History, RequestOutcome, RequestRecord, Rule, Target, Version, Violation, check_runs,
};
use crate::deployment::LONG_SERVICE;

fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// Versions 1 to 6 in intervals of five seconds, the first at 10 s, and one node that started at 0 s.
fn history(start: Instant) -> History {
    let mut it = History::new(1);
    it.record_start(0, start);
    let version = |number| Version { number, acknowledged: at(start, 5_000 + 5_000 * number) };
    it.versions = (1..=6).map(version).collect();
    it
}

fn record(start: Instant, ms: u64, target: Target, outcome: RequestOutcome) -> RequestRecord {
    let (sent, ended) = (at(start, ms), at(start, ms + 10));
    RequestRecord { id: "1".into(), node: 0, target, sent, ended, outcome }
}

fn rules(violations: &[Violation]) -> Vec<Rule> {
    violations.iter().map(|it| it.rule).collect()
}

/// Asserts the violated rules for requests given as (time in ms, target, outcome), with the node disturbed for the
/// given range in ms.
#[track_caller]
fn check(
    disturbed: Option<(u64, u64)>,
    requests: &[(u64, Target, RequestOutcome)],
    expected: &[Rule],
) {
    let start = Instant::now();
    let mut history = history(start);
    if let Some((from, until)) = disturbed {
        history.begin_disturbance(Cause::Fault, &[0], at(start, from));
        history.end_disturbance(Cause::Fault, &[0], at(start, until));
    }
    let records: Vec<RequestRecord> = requests
        .iter()
        .cloned()
        .map(|(ms, target, outcome)| record(start, ms, target, outcome))
        .collect();
    assert_eq!(rules(&history.check(&records)), expected);
}

#[test]
fn an_older_version_is_stale_after_the_bound_at_an_undisturbed_node() {
    use Target::Moved;
    check(None, &[(16_900, Moved, RequestOutcome::Ran(1))], &[]);
    check(None, &[(17_100, Moved, RequestOutcome::Ran(1))], &[Rule::Stale]);
    check(None, &[(17_100, Moved, RequestOutcome::Ran(2))], &[]);
    check(Some((10_000, 14_000)), &[(17_100, Moved, RequestOutcome::Ran(1))], &[Rule::Stale]);
    check(Some((10_000, 14_200)), &[(17_100, Moved, RequestOutcome::Ran(1))], &[]);
}

#[test]
fn a_process_does_not_go_back_to_an_older_version() {
    let pair = |pause: u64| {
        [
            (15_100, Target::Moved, RequestOutcome::Ran(2)),
            (15_110 + pause, Target::Moved, RequestOutcome::Ran(1)),
        ]
    };
    check(None, &pair(200), &[]);
    check(None, &pair(300), &[Rule::Back]);
}

#[test]
fn valid_requests_are_neither_denied_nor_left_unserved() {
    let refused = |status, text: &str| RequestOutcome::Refused(status, text.into());
    check(None, &[(17_100, Target::Added(2), refused(404, "no route"))], &[Rule::Denied]);
    check(None, &[(16_900, Target::Added(2), refused(404, "no route"))], &[]);
    check(None, &[(17_100, Target::Added(3), refused(404, "no route"))], &[]);
    check(Some((15_000, 17_000)), &[(17_100, Target::Moved, refused(404, ""))], &[Rule::Denied]);
    let unknown = || refused(503, "this node has no configuration yet");
    check(None, &[(17_100, Target::Moved, unknown())], &[Rule::Unserved]);
    check(Some((15_000, 17_000)), &[(17_100, Target::Moved, unknown())], &[]);
    check(None, &[(17_100, Target::Moved, refused(503, "no capacity in time"))], &[]);
}

#[test]
fn an_answer_to_another_request_is_reported() {
    check(None, &[(17_100, Target::Moved, RequestOutcome::Mixed("?".into()))], &[Rule::Mixed]);
}

#[test]
fn runs_at_endpoints_are_compared_with_answers_to_callers() {
    let check = |runs, outcome, expected: &[Rule]| {
        let records = [record(Instant::now(), 17_100, Target::Booking, outcome)];
        assert_eq!(rules(&check_runs(&records, |_| runs)), expected);
    };
    check(1, RequestOutcome::Ran(1), &[]);
    check(2, RequestOutcome::Ran(1), &[Rule::Twice]);
    check(1, RequestOutcome::Refused(503, String::new()), &[Rule::NotRun]);
    check(0, RequestOutcome::Refused(503, String::new()), &[]);
    check(1, RequestOutcome::Refused(502, String::new()), &[]);
}

/// Requests at a node that is cut off from 10 to 20 s, of which `failed` fail, and as many at another node, of
/// which `failed_there` fail.
#[track_caller]
fn check_cut_off(sent_ms: u64, failed: usize, failed_there: usize, expected: &[Rule]) {
    const REQUESTS: usize = 100;
    let start = Instant::now();
    let mut history = History::new(2);
    history.begin_cut_off(&[0], at(start, 10_000));
    history.end_cut_off(&[0], at(start, 20_000));
    let refused = || RequestOutcome::Refused(503, "not-run".into());
    let records = (0..2 * REQUESTS).map(|i| {
        let (node, n) = (i % 2, i / 2);
        let is_failed = n < [failed, failed_there][node];
        let outcome = if is_failed { refused() } else { RequestOutcome::Ran(0) };
        RequestRecord { node, ..record(start, sent_ms, Target::Moved, outcome) }
    });
    let violation = history.check_cut_off(&records.collect::<Vec<_>>());
    assert_eq!(violation.map(|it| it.rule).as_slice(), expected);
}

#[test]
fn a_node_that_is_cut_off_may_not_serve_far_worse_than_the_others() {
    check_cut_off(14_000, 40, 0, &[Rule::CutOff]);
    check_cut_off(14_000, 30, 0, &[]);
    check_cut_off(14_000, 40, 40, &[]);
    check_cut_off(12_000, 100, 0, &[]);
}

/// Grace period of the planned stops below, which begin at 20 s.
const GRACE: Duration = Duration::from_secs(6);
const STOP_MS: u64 = 20_000;

/// What happens at the only node around a request.
#[derive(Clone, Copy, Default)]
struct Around {
    /// When the process is gone after a stop signal at `STOP_MS`.
    gone_ms: Option<u64>,
    reload_ms: Option<u64>,
    version_ms: Option<u64>,
    fault_ms: Option<(u64, u64)>,
    cut_off_ms: Option<(u64, u64)>,
    store_ms: Option<u64>,
}

const STOPS: Around = Around {
    gone_ms: Some(26_000),
    reload_ms: None,
    version_ms: None,
    fault_ms: None,
    cut_off_ms: None,
    store_ms: None,
};

impl Around {
    fn history(self, start: Instant) -> History {
        let mut it = History::new(1);
        it.record_start(0, start);
        if let Some(gone) = self.gone_ms {
            it.begin_disturbance(Cause::Planned, &[0], at(start, STOP_MS));
            it.begin_stop(0, at(start, STOP_MS));
            // A second signal does not begin another stop.
            it.begin_stop(0, at(start, STOP_MS + 500));
            it.end_stop(0, at(start, gone));
        }
        self.reload_ms.into_iter().for_each(|ms| it.record_reload(0, at(start, ms)));
        let versions = self.version_ms.into_iter();
        it.versions.extend(versions.map(|ms| Version { number: 1, acknowledged: at(start, ms) }));
        if let Some((from, until)) = self.fault_ms {
            it.begin_disturbance(Cause::Fault, &[0], at(start, from));
            it.end_disturbance(Cause::Fault, &[0], at(start, until));
        }
        if let Some((from, until)) = self.cut_off_ms {
            it.begin_cut_off(&[0], at(start, from));
            it.end_cut_off(&[0], at(start, until));
        }
        self.store_ms.into_iter().for_each(|ms| it.record_store_disturbance(at(start, ms)));
        it
    }
}

/// Asserts whether a request that was cut is lost. It is given by the times in ms at which it was sent and ended, and
/// at which an endpoint's work on it began and ended.
#[track_caller]
fn check_lost(
    around: Around,
    target: Target,
    (sent, ended): (u64, u64),
    work: Option<(u64, u64)>,
    is_lost: bool,
) {
    let start = Instant::now();
    let history = around.history(start);
    let (sent, ended) = (at(start, sent), at(start, ended));
    let record = |outcome| RequestRecord {
        id: "1".into(),
        node: 0,
        target: target.clone(),
        sent,
        ended,
        outcome,
    };
    let work = |_: &str| -> Vec<Work> {
        let record = |(from, until)| Work { began: at(start, from), ended: Some(at(start, until)) };
        work.map(record).into_iter().collect()
    };
    let check = |outcome| rules(&history.check_lost(&[record(outcome)], GRACE, work));
    let expected: &[Rule] = if is_lost { &[Rule::Lost] } else { &[] };
    assert_eq!(check(RequestOutcome::Broken), expected);
    let unknown = RequestOutcome::Refused(502, "unknown: it may have run".into());
    for other in [RequestOutcome::Ran(1), unknown, RequestOutcome::TimedOut, RequestOutcome::Unsent]
    {
        assert_eq!(check(other), []);
    }
}

fn long() -> Target {
    Target::Long(Duration::from_secs(3))
}

#[test]
fn a_request_that_an_endpoint_ran_is_lost_around_a_planned_stop() {
    check_lost(STOPS, Target::Moved, (19_990, 20_010), Some((20_000, 20_010)), true);
    check_lost(STOPS, Target::Booking, (24_000, 24_010), Some((24_000, 24_010)), true);
    check_lost(STOPS, long(), (19_000, 22_500), Some((19_010, 22_500)), true);
    // The stop had not begun, or the process was gone.
    check_lost(STOPS, Target::Moved, (19_900, 19_990), Some((19_900, 19_990)), false);
    check_lost(STOPS, Target::Moved, (26_100, 26_110), Some((26_100, 26_110)), false);
    check_lost(Around::default(), Target::Moved, (20_000, 20_010), Some((20_000, 20_010)), false);
}

#[test]
fn a_request_that_no_endpoint_ran_is_lost_once_it_must_have_been_read() {
    check_lost(STOPS, Target::Moved, (21_000, 21_150), None, false);
    check_lost(STOPS, Target::Moved, (21_000, 21_250), None, true);
}

#[test]
fn work_in_the_last_sixth_of_the_grace_period_excuses_requests_sent_early_in_the_stop() {
    let cut = |sent, ended, is_lost| {
        check_lost(STOPS, long(), (sent, ended), Some((sent, ended)), is_lost);
    };
    cut(22_500, 25_900, false);
    cut(22_500, 25_010, false);
    cut(22_500, 24_990, true);
    cut(23_010, 25_900, true);
    // The endpoint had ended before.
    check_lost(STOPS, long(), (22_500, 25_900), Some((22_500, 24_900)), true);
}

#[test]
fn a_request_that_reached_its_deadline_is_not_lost() {
    check_lost(STOPS, Target::Moved, (20_000, 21_990), Some((20_010, 21_990)), true);
    check_lost(STOPS, Target::Moved, (20_000, 22_010), Some((20_010, 22_010)), false);
    check_lost(STOPS, long(), (19_900, 23_890), Some((20_010, 23_890)), true);
    check_lost(STOPS, long(), (19_900, 23_910), Some((20_010, 23_910)), false);
}

#[test]
fn unplanned_faults_of_the_node_excuse_lost_requests() {
    let check = |around, is_lost| {
        check_lost(around, Target::Moved, (20_500, 20_600), Some((20_500, 20_600)), is_lost);
    };
    check(Around { fault_ms: Some((15_000, 17_600)), ..STOPS }, false);
    check(Around { fault_ms: Some((15_000, 17_400)), ..STOPS }, true);
    check(Around { fault_ms: Some((20_590, 21_000)), ..STOPS }, false);
    check(Around { fault_ms: Some((20_610, 21_000)), ..STOPS }, true);
    check(Around { cut_off_ms: Some((15_000, 17_600)), ..STOPS }, false);
    check(Around { cut_off_ms: Some((15_000, 17_400)), ..STOPS }, true);
    // The requests carry no key: the store has no part in them.
    check(Around { store_ms: Some(20_000), ..STOPS }, true);
}

#[test]
fn reloads_and_versions_lose_no_request() {
    let reloads = Around { reload_ms: Some(20_000), ..Around::default() };
    check_lost(reloads, long(), (19_000, 20_010), Some((19_010, 20_010)), true);
    check_lost(reloads, long(), (21_990, 23_000), Some((22_000, 23_000)), true);
    check_lost(reloads, long(), (22_010, 23_000), Some((22_100, 23_000)), false);
    check_lost(reloads, long(), (19_000, 19_990), Some((19_010, 19_990)), false);
    let publishes = Around { version_ms: Some(20_000), ..Around::default() };
    check_lost(publishes, long(), (19_000, 20_010), Some((19_010, 20_010)), true);
    check_lost(publishes, long(), (21_000, 22_990), Some((21_010, 22_990)), true);
    check_lost(publishes, long(), (21_000, 23_010), Some((21_010, 23_010)), false);
    check_lost(publishes, long(), (19_000, 19_990), Some((19_010, 19_990)), false);
    // Next to a version, a request that has used seven tenths of its time does not count.
    check_lost(publishes, long(), (18_000, 20_790), Some((18_010, 20_790)), true);
    check_lost(publishes, long(), (18_000, 20_810), Some((18_010, 20_810)), false);
}

#[test]
fn a_process_may_not_outlive_its_grace_period() {
    let check = |gone_ms, freeze: Option<(u64, u64)>, expected: &[Rule]| {
        let start = Instant::now();
        let mut history = Around { gone_ms: Some(gone_ms), ..STOPS }.history(start);
        if let Some((from, until)) = freeze {
            history.begin_disturbance(Cause::Freeze, &[0], at(start, from));
            history.end_disturbance(Cause::Freeze, &[0], at(start, until));
        }
        assert_eq!(rules(&history.check_stops(GRACE)), expected);
    };
    check(26_900, None, &[]);
    check(27_100, None, &[Rule::Outlived]);
    check(27_100, Some((21_000, 22_000)), &[]);
    check(27_100, Some((18_000, 19_000)), &[Rule::Outlived]);
}

#[test]
fn a_node_that_stops_counts_as_disturbed_for_the_freshness_bound() {
    let start = Instant::now();
    let mut history = STOPS.history(start);
    history.end_disturbance(Cause::Planned, &[0], at(start, 26_000));
    let is_undisturbed = |ms| history.is_undisturbed(0, at(start, ms), at(start, ms + 10));
    assert_eq!([19_900, 20_000, 28_900, 29_100].map(is_undisturbed), [true, false, false, true]);
}

#[test]
fn answers_that_a_request_may_have_run_are_counted_around_stops() {
    let start = Instant::now();
    let history = STOPS.history(start);
    let count = |sent, ended, work_until| {
        let unknown = RequestOutcome::Refused(502, "unknown: it may have run".into());
        let it = RequestRecord { ended: at(start, ended), ..record(start, sent, long(), unknown) };
        let work =
            |_: &str| vec![Work { began: at(start, sent), ended: Some(at(start, work_until)) }];
        history.count_unknown(&[it], GRACE, work)
    };
    assert_eq!(count(20_000, 21_000, 21_000), (1, 1));
    // The endpoint had broken off, it is the last sixth of the grace period, or no stop.
    assert_eq!(count(20_000, 21_000, 20_900), (1, 0));
    assert_eq!(count(22_000, 25_500, 25_600), (1, 0));
    assert_eq!(count(18_000, 19_000, 19_100), (0, 0));
}

#[test]
fn long_requests_run_at_their_own_service_under_all_versions() {
    let ran = |service| RequestOutcome::Ran(service);
    check(None, &[(17_100, long(), ran(LONG_SERVICE))], &[]);
    check(None, &[(17_100, long(), ran(2))], &[Rule::Stale]);
    check(None, &[(17_100, Target::Moved, ran(LONG_SERVICE))], &[Rule::Stale, Rule::Back]);
}
