use std::time::{Duration, Instant};

use super::{Broken, End, History, Rule, Seen, Target, Version, check_runs};

fn at(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// Versions 1 to 6 in intervals of five seconds, the first at 10 s, and one node that started at 0 s.
fn history(start: Instant) -> History {
    let mut it = History::new(1);
    it.started(0, start);
    let version = |number| Version { number, acked: at(start, 5_000 + 5_000 * number) };
    it.versions = (1..=6).map(version).collect();
    it
}

fn seen(start: Instant, ms: u64, target: Target, end: End) -> Seen {
    let (sent, ended) = (at(start, ms), at(start, ms + 10));
    Seen { id: "1".into(), node: 0, target, sent, ended, end }
}

fn rules(broken: &[Broken]) -> Vec<Rule> {
    broken.iter().map(|it| it.rule).collect()
}

/// Asserts the violated rules for requests given as (time in ms, target, end), with the node disturbed for the given
/// range in ms.
#[track_caller]
fn check(disturbed: Option<(u64, u64)>, it: &[(u64, Target, End)], expected: &[Rule]) {
    let start = Instant::now();
    let mut history = history(start);
    if let Some((from, until)) = disturbed {
        history.disturbed(&[0], at(start, from));
        history.calmed(&[0], at(start, until));
    }
    let seen: Vec<Seen> =
        it.iter().cloned().map(|(ms, target, end)| seen(start, ms, target, end)).collect();
    assert_eq!(rules(&history.check(&seen)), expected);
}

#[test]
fn an_older_version_is_stale_after_the_bound_at_a_node_in_touch() {
    use Target::Moved;
    check(None, &[(16_900, Moved, End::Ran(1))], &[]);
    check(None, &[(17_100, Moved, End::Ran(1))], &[Rule::Stale]);
    check(None, &[(17_100, Moved, End::Ran(2))], &[]);
    check(Some((10_000, 14_000)), &[(17_100, Moved, End::Ran(1))], &[Rule::Stale]);
    check(Some((10_000, 14_200)), &[(17_100, Moved, End::Ran(1))], &[]);
}

#[test]
fn a_process_does_not_go_back() {
    let pair = |pause: u64| {
        [(15_100, Target::Moved, End::Ran(2)), (15_110 + pause, Target::Moved, End::Ran(1))]
    };
    check(None, &pair(200), &[]);
    check(None, &pair(300), &[Rule::Back]);
}

#[test]
fn proper_requests_are_neither_denied_nor_left_unserved() {
    let refused = |status, text: &str| End::Refused(status, text.into());
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
fn an_answer_to_another_request_is_told() {
    check(None, &[(17_100, Target::Moved, End::Mixed("?".into()))], &[Rule::Mixed]);
}

#[test]
fn what_endpoints_ran_is_held_against_what_callers_were_told() {
    let check = |runs, end, expected: &[Rule]| {
        let seen = [seen(Instant::now(), 17_100, Target::Booking, end)];
        assert_eq!(rules(&check_runs(&seen, |_| runs)), expected);
    };
    check(1, End::Ran(1), &[]);
    check(2, End::Ran(1), &[Rule::Twice]);
    check(1, End::Refused(503, String::new()), &[Rule::NotRun]);
    check(0, End::Refused(503, String::new()), &[]);
    check(1, End::Refused(502, String::new()), &[]);
}
