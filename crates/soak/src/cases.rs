//! Named schedules: regression cases that once violated a guarantee, and cases close to the longest chain of
//! timeouts.

use std::time::Duration;

use standin::endpoint_link::PathFault;

use crate::link;
use crate::schedule::{Drain, Entry, Fault, Schedule, Scope, Series, Signal, Stop};

/// A named schedule.
#[derive(Clone, Debug)]
pub struct Case {
    /// Name of the scenario, as given to `cargo xtask soak --case`.
    pub name: &'static str,
    /// Number of nodes.
    pub nodes: usize,
    /// Faults that the case injects.
    pub schedule: Schedule,
}

/// Number of times that each case repeats its faults.
const ROUNDS: u64 = 2;
/// Publishes a single version: the gap is longer than the entry, so that no second version follows.
const PUBLISH: Fault = Fault::Storm(Duration::from_secs(60));

fn entry(at_ms: u64, duration_ms: u64, fault: Fault) -> Entry {
    let [at, duration] = [at_ms, duration_ms].map(Duration::from_millis);
    Entry { at, duration, publishes_around: false, fault }
}

fn case(name: &'static str, nodes: usize, entries: impl IntoIterator<Item = Entry>) -> Case {
    let drain = Drain::from_millis(100, 5_000);
    Case { name, nodes, schedule: Schedule { entries: entries.into_iter().collect(), drain } }
}

/// Stops nodes, one after the other if there is a gap.
fn stop(scope: Scope, gap_ms: u64, signals: &[(u64, Signal)]) -> Fault {
    let gap = Duration::from_millis(gap_ms);
    Fault::Terminate(Stop { scope, gap, signals: Series::new(signals) })
}

/// Regression: nodes that took over as reader used connections that had gone silent while idle.
fn silent_while_idle() -> Case {
    let rounds = (0..ROUNDS).flat_map(|i| {
        let at = 2_000 + i * 9_000;
        [
            entry(at, 200, Fault::Link(Scope::All, link::Fault::Silent)),
            entry(at + 4_900, 2_500, Fault::Kill(Scope::Readers)),
            entry(at + 4_950, 10, PUBLISH),
        ]
    });
    case("connections-silent-while-idle", 12, rounds)
}

/// Regression: readers whose store connection was silent kept announcing themselves as readers for a while before
/// they stopped responding too.
fn readers_cut_off_then_frozen() -> Case {
    let rounds = (0..ROUNDS).flat_map(|i| {
        let at = 2_000 + i * 9_000;
        [
            entry(at, 10, PUBLISH),
            entry(at + 20, 4_000, Fault::Link(Scope::Readers, link::Fault::OneWay)),
            entry(at + 60, 10, PUBLISH),
            entry(at + 980, 3_000, Fault::Freeze(Scope::Readers)),
        ]
    });
    case("readers-cut-from-the-store-then-frozen", 24, rounds)
}

/// A cut between all nodes makes each of them a reader, so that each holds an idle connection to the store afterwards.
/// These connections go silent, and then the current readers are lost in two steps.
fn successors_on_silent_connections() -> Case {
    let entries = [
        entry(1_000, 2_500, Fault::Cut(Scope::All)),
        entry(4_500, 200, Fault::Link(Scope::All, link::Fault::Silent)),
        entry(9_500, 10, PUBLISH),
        entry(9_520, 4_000, Fault::Link(Scope::Readers, link::Fault::OneWay)),
        entry(9_520, 4_000, Fault::Link(Scope::Share(0.4, 3), link::Fault::OneWay)),
        entry(9_600, 10, PUBLISH),
        entry(10_480, 3_000, Fault::Freeze(Scope::Readers)),
    ];
    case("successors-on-silent-connections", 24, entries)
}

/// The store is restored from older copies. Versions are published afterwards, also while the readers are killed.
fn store_restored() -> Case {
    let rounds = (0..ROUNDS).flat_map(|i| {
        let at = 2_000 + i * 6_000;
        [
            entry(at, 10, Fault::Return(3 + 4 * i)),
            entry(at + 100, 10, PUBLISH),
            entry(at + 3_200, 10, PUBLISH),
            entry(at + 4_000, 1_000, Fault::Kill(Scope::Readers)),
            entry(at + 4_050, 10, PUBLISH),
        ]
    });
    case("store-comes-back-older", 12, rounds)
}

/// No node reaches the store, and a version is published as soon as the store is reachable again.
fn store_unreachable() -> Case {
    let rounds = (0..ROUNDS).flat_map(|i| {
        let at = 1_000 + i * 9_000;
        let fault = [link::Fault::Silent, link::Fault::OneWay][i as usize];
        [
            entry(at, 4_500, Fault::Link(Scope::All, fault)),
            entry(at + 4_600, 10, PUBLISH),
            entry(at + 6_500, 10, PUBLISH),
        ]
    });
    case("store-away-for-all", 12, rounds)
}

/// All processes are killed and restarted while the store is slow or cuts its answers short.
fn all_start_on_a_failing_store() -> Case {
    let slow = link::Fault::Slow(Duration::from_millis(250));
    let faults = [slow, link::Fault::Broken];
    let rounds = (0..ROUNDS).flat_map(|i| {
        let at = 1_000 + i * 9_000;
        [
            entry(at, 3_000, Fault::Link(Scope::All, faults[i as usize])),
            entry(at + 300, 700, Fault::Kill(Scope::All)),
            entry(at + 1_100, 10, PUBLISH),
        ]
    });
    case("all-start-on-a-sick-store", 24, rounds)
}

/// Regression: nodes without a path to the endpoints refused their callers, and their failures marked endpoints as
/// unhealthy for all nodes. Most of a failure domain and other nodes are cut off in turn, beside kills and stops.
fn cut_off_from_endpoints() -> Case {
    let domain = |seed| Scope::Domain(0.8, seed);
    let entries = [
        entry(1_000, 7_000, Fault::Path(domain(1), PathFault::Hang)),
        entry(4_500, 800, Fault::Kill(Scope::Share(0.15, 5))),
        entry(9_000, 7_000, Fault::Path(Scope::Share(0.5, 2), PathFault::Reset)),
        entry(11_000, 2_000, stop(Scope::Share(0.15, 6), 0, &[(0, Signal::Term)])),
        entry(17_000, 6_000, Fault::Path(domain(3), PathFault::RefuseNew)),
        entry(18_000, 6_000, Fault::Path(Scope::Share(0.3, 4), PathFault::OneWay)),
    ];
    case("nodes-cut-off-from-endpoints", 12, entries)
}

/// Regression: a second signal ended the process, with the requests in flight. Stops with signals in series, beside
/// reloads and versions.
fn stops_in_series() -> Case {
    use Signal::{Hup, Int, Term};
    let [first, second, third] = [1, 2, 3].map(|seed| Scope::Share(0.2, seed));
    let storm = Fault::Storm(Duration::from_millis(150));
    let entries = [
        entry(1_000, 10, stop(first, 0, &[(0, Term), (0, Term), (900, Hup), (300, Term)])),
        entry(1_200, 1_500, storm),
        entry(4_500, 10, stop(second, 0, &[(0, Hup), (20, Int), (1_200, Term), (0, Hup)])),
        entry(4_500, 10, Fault::Hangup(second)),
        entry(5_000, 10, PUBLISH),
        entry(8_000, 3_000, stop(third, 0, &[(0, Term), (1_900, Int)])),
        entry(8_500, 10, Fault::Hangup(Scope::All)),
        entry(8_600, 1_500, storm),
    ];
    let it = case("stops-in-series", 12, entries);
    Case { schedule: Schedule { drain: Drain::from_millis(800, 3_500), ..it.schedule }, ..it }
}

/// Nodes stop one after the other, with some stops at once, beside kills of other nodes and versions. Requests may take
/// longer than what is left of a stop.
fn rolling_stops() -> Case {
    let term = [(0, Signal::Term)];
    let entries = [
        entry(1_000, 10, stop(Scope::Share(0.5, 1), 500, &term)),
        entry(2_500, 500, Fault::Kill(Scope::Share(0.1, 2))),
        entry(3_000, 10, PUBLISH),
        entry(6_500, 3_500, stop(Scope::Domain(1.0, 3), 400, &term)),
        entry(7_500, 10, PUBLISH),
    ];
    let it = case("rolling-stops", 12, entries);
    Case { schedule: Schedule { drain: Drain::from_millis(3_500, 4_300), ..it.schedule }, ..it }
}

/// Returns all named cases.
pub fn cases() -> Vec<Case> {
    vec![
        silent_while_idle(),
        readers_cut_off_then_frozen(),
        successors_on_silent_connections(),
        store_restored(),
        store_unreachable(),
        all_start_on_a_failing_store(),
        cut_off_from_endpoints(),
        stops_in_series(),
        rolling_stops(),
    ]
}
