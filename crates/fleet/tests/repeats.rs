//! The budget for repeats over the whole fleet while the nodes that hand out slots are late, in virtual time.
//!
//! What users saw: 1,272 sends beyond the first of their request reached a service in ten seconds, for 5,485
//! requests; 1,253 were allowed, and the budget is meant to stop at 1,065. It was a day on which a sixth of the
//! endpoints had fallen silent and many turned work away.
//!
//! Order of events: dispatching nodes are weak and answer late, so they are passed over and come back, and
//! each ask that is late is put to the next one. Every one of them counts the first send of the request, and
//! every one of them holds the fixed part of all nodes. A request whose first send reached nobody asks
//! again as a new one and is counted once more.
//!
//! Evidence, from a day of our own: in ten seconds 7,000 times a dispatching node was taken for lost, one and the
//! same 3,151 times; five nodes counted first sends for one service, and three of them held the fixed part of 77, 85
//! and 86 nodes of 88 at the same moment.
//!
//! Seen again on a later day and another fleet: the bound was exceeded although each node that hands out slots kept to it.
//! Order of events: for ten seconds nearly all goes well; then a service turns much of its work away and the node that hands
//! out its slots pays for repeats with the first sends of the ten seconds before; a second later another node
//! takes its place, or all processes begin anew, and pays with the first sends of the ten seconds after. A window that lies
//! across the change holds both. Cause: the share of the requests was bounded in a window by whoever granted, and
//! what was spent was known to that node alone.
//!
//! Evidence: days on which a service turns away 55 % from 8.0 s on and all processes are killed at 11.5 s broke the bound
//! on two fleets (1,016 repeats for 4,007 requests, 957 allowed), the same day without the kill did not; and in this file
//! one change of the granting node lets through half as much again as is allowed.

mod virtual_fleet;

use std::collections::VecDeque;

use virtual_fleet::{Fleet, LIMITS, MS, NONE, RUN, Trouble};

/// Repeats in a window, those allowed, and its end.
type Window = (usize, f64, u64);

/// The windows with the most repeats beyond what is allowed, and with the most repeats.
fn worst_and_busiest(fleet: &Fleet) -> (Window, Window) {
    let window = LIMITS.window.as_micros() as u64;
    let count = |times: &[u64], end: u64| {
        times.iter().filter(|it| **it > end.saturating_sub(window) && **it <= end).count()
    };
    let at = |end: u64| {
        // As many as in the window, or in the one half a window or a whole one before it.
        let before = [end, end.saturating_sub(window / 2), end.saturating_sub(window)];
        let first = before.map(|it| count(&fleet.first, it)).into_iter().max().unwrap_or(0);
        (count(&fleet.repeats, end), first as f64 * LIMITS.ratio + LIMITS.extra, end)
    };
    let windows: Vec<Window> = (1..=RUN / (250 * MS)).map(|i| at(i * 250 * MS)).collect();
    let over = |it: &Window| it.0 as f64 - it.1;
    let worst = windows.iter().max_by(|a, b| over(a).total_cmp(&over(b)));
    let busiest = windows.iter().max_by_key(|it| it.0);
    (*worst.expect("a run has windows"), *busiest.expect("a run has windows"))
}

#[track_caller]
fn check(trouble: Trouble) {
    let mut seen = VecDeque::new();
    for seed in 1..=4 {
        let mut fleet = Fleet::new(seed, trouble);
        fleet.run();
        let ((repeats, allowed, end), (most, allowed_then, _)) = worst_and_busiest(&fleet);
        let end = end as f64 / 1e6;
        seen.push_back(format!("seed {seed}: {repeats} repeats, allowed {allowed}, until {end} s"));
        // A bound that nothing comes near to would prove nothing.
        assert!(most as f64 > allowed_then / 3.0, "{most} of {allowed_then}: {seen:#?}");
        assert!(repeats as f64 <= allowed, "{seen:#?}");
    }
}

#[test]
fn repeats_are_bounded_while_dispatching_nodes_answer_in_time() {
    check(NONE);
}

#[test]
fn repeats_are_bounded_while_asks_go_from_one_node_to_the_next() {
    for rate in [0.5, 3.0, 15.0] {
        check(Trouble { rate, late: 0.6, ..NONE });
    }
}

#[test]
fn repeats_are_bounded_while_frames_are_lost() {
    for rate in [0.5, 1.0, 3.0] {
        for lost in [0.2, 0.4] {
            check(Trouble { rate, lost, ..NONE });
        }
    }
}

#[test]
fn repeats_are_bounded_while_first_sends_reach_nobody() {
    check(Trouble { unreached: 0.3, ..NONE });
}

#[test]
fn repeats_are_bounded_while_another_node_takes_over_in_the_middle_of_need() {
    for after in [1, 2, 3, 5] {
        let fails_from = 20_000 * MS;
        let cut_off_at = Some(fails_from + after * 1_000 * MS);
        check(Trouble { fails_from, cut_off_at, ..NONE });
    }
}

#[test]
fn repeats_are_bounded_while_all_processes_begin_anew_in_the_middle_of_need() {
    for times in [1, 2, 4] {
        let fails_from = 20_000 * MS;
        let restarts_from = Some((fails_from + 2_000 * MS, times));
        check(Trouble { fails_from, restarts_from, ..NONE });
    }
}
