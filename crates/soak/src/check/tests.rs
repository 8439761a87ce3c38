use std::time::{Duration, Instant};

use super::{History, RequestOutcome, RequestRecord, Rule, Target, Version, Violation, check_runs};

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
        history.begin_disturbance(&[0], at(start, from));
        history.end_disturbance(&[0], at(start, until));
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
