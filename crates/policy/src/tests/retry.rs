//! A model of sending one request, explored exhaustively with the production rules.
//!
//! The environment decides how each send really ended and what the sender observes. In every
//! reachable state, a request that must not be repeated has run at most once, and a request whose
//! caller is told "not run" has not run.

use std::time::Duration;

use pathfinding::directed::bfs::{bfs, bfs_reach};
use resources::Repeat;

use crate::{Attempt, Next, Outcome, next_step};

/// What really happens to one send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Reality {
    /// No connection, or refused by the upstream before any work.
    Refused,
    /// Written, but lost before the request ran; the sender cannot tell.
    LostBefore,
    /// Ran, and the answer is lost, late or cancelled.
    LostAfter,
    /// Ran and was answered.
    Answered,
}

const REALITIES: [Reality; 4] =
    [Reality::Refused, Reality::LostBefore, Reality::LostAfter, Reality::Answered];

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    repeat: Repeat,
    runs: u32,
    sends: u32,
    unknown_before: bool,
    tokens: u32,
    is_late: bool,
    /// Cancelled sends that may still run, as when a frozen upstream resumes.
    cancelled: u32,
    reported: Option<Reported>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Reported {
    Answer,
    NotRun,
    Unknown,
}

type Rule = fn(Outcome, Attempt) -> Next;

fn initial_states() -> Vec<State> {
    let mut initial_states = Vec::new();
    for repeat in [Repeat::Anytime, Repeat::IfNotRun, Repeat::Never] {
        for tokens in 0..3 {
            initial_states.push(State {
                repeat,
                runs: 0,
                sends: 0,
                unknown_before: false,
                tokens,
                is_late: false,
                cancelled: 0,
                reported: None,
            });
        }
    }
    initial_states
}

fn successors(state: &State, rule: Rule) -> Vec<State> {
    let mut next = Vec::new();
    if state.cancelled > 0 {
        // A cancelled send runs after all, or never.
        next.push(State { runs: state.runs + 1, cancelled: state.cancelled - 1, ..state.clone() });
        next.push(State { cancelled: state.cancelled - 1, ..state.clone() });
    }
    if state.reported.is_some() {
        return next;
    }
    if !state.is_late {
        // A pause of this process lets the deadline pass between two sends.
        next.push(State { is_late: true, ..state.clone() });
    }
    next.extend(REALITIES.iter().map(|it| send(state, *it, rule)));
    next
}

fn send(state: &State, reality: Reality, rule: Rule) -> State {
    let outcome = match reality {
        Reality::Refused => Outcome::NotRun,
        Reality::LostBefore | Reality::LostAfter => Outcome::Unknown,
        Reality::Answered => Outcome::Answered,
    };
    let attempt = Attempt {
        repeat: state.repeat,
        unknown_before: state.unknown_before,
        sends: state.sends + 1,
        max_sends: 3,
        left: if state.is_late { Duration::ZERO } else { Duration::from_secs(1) },
    };
    // The budget decides on the next slot; without one the request ends here.
    let mut tokens = state.tokens;
    let next = match rule(outcome, attempt) {
        Next::Again if tokens == 0 => {
            let unknown = state.unknown_before || outcome == Outcome::Unknown;
            if unknown { Next::GiveUpUnknown } else { Next::GiveUpNotRun }
        }
        Next::Again => {
            tokens -= 1;
            Next::Again
        }
        next => next,
    };
    let ran = matches!(reality, Reality::LostAfter | Reality::Answered);
    State {
        runs: state.runs + u32::from(ran),
        sends: state.sends + 1,
        unknown_before: state.unknown_before || outcome == Outcome::Unknown,
        tokens,
        cancelled: state.cancelled + u32::from(reality == Reality::LostBefore),
        reported: match next {
            Next::Again => None,
            Next::Deliver => Some(Reported::Answer),
            Next::GiveUpNotRun => Some(Reported::NotRun),
            Next::GiveUpUnknown => Some(Reported::Unknown),
        },
        ..state.clone()
    }
}

fn is_broken(state: &State) -> bool {
    let ran_twice = state.repeat != Repeat::Anytime && state.runs > 1;
    let reported_wrongly = state.reported == Some(Reported::NotRun) && state.runs > 0;
    ran_twice || reported_wrongly
}

/// The shortest schedule that breaks the rule, if there is one.
fn counterexample(rule: Rule) -> Option<Vec<State>> {
    initial_states().into_iter().find_map(|start| bfs(&start, |it| successors(it, rule), is_broken))
}

#[test]
fn at_most_once_and_not_run_is_true() {
    assert_eq!(counterexample(next_step), None);
    let states: usize = initial_states()
        .iter()
        .map(|it| bfs_reach(it.clone(), |it| successors(it, next_step)).count())
        .sum();
    println!("{states} states, all that can be reached");
    assert!(states > 200, "the model has {states} states: too few for a meaningful check");
}

#[test]
fn the_check_catches_broken_rules() {
    let ignores_earlier_unknown: Rule =
        |outcome, attempt| next_step(outcome, Attempt { unknown_before: false, ..attempt });
    let takes_unknown_for_not_run: Rule = |outcome, attempt| {
        let outcome = if outcome == Outcome::Unknown { Outcome::NotRun } else { outcome };
        next_step(outcome, attempt)
    };
    let repeats_always: Rule =
        |outcome, attempt| next_step(outcome, Attempt { repeat: Repeat::Anytime, ..attempt });
    for rule in [ignores_earlier_unknown, takes_unknown_for_not_run, repeats_always] {
        assert!(counterexample(rule).is_some());
    }
}

#[test]
fn never_means_one_send_even_if_nothing_ran() {
    for outcome in [Outcome::NotRun, Outcome::Unknown] {
        let attempt = Attempt {
            repeat: Repeat::Never,
            unknown_before: false,
            sends: 1,
            max_sends: 3,
            left: Duration::from_secs(1),
        };
        assert_ne!(next_step(outcome, attempt), Next::Again);
    }
}

#[test]
fn no_more_endpoints_are_reached_than_the_route_allows() {
    let attempt = |sends| Attempt {
        repeat: Repeat::Anytime,
        unknown_before: false,
        sends,
        max_sends: 2,
        left: Duration::from_secs(1),
    };
    assert_eq!(next_step(Outcome::NotRun, attempt(1)), Next::Again);
    assert_eq!(next_step(Outcome::NotRun, attempt(2)), Next::GiveUpNotRun);
}
