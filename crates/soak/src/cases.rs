//! Schedules that once broke a promise, or come close to the longest chain of waits.

use std::time::Duration;

use crate::link;
use crate::schedule::{Entry, Fault, Schedule, Scope};

/// A schedule with a name.
#[derive(Clone, Debug)]
pub struct Case {
    /// Names what must not happen.
    pub name: &'static str,
    /// Number of nodes.
    pub nodes: usize,
    /// What happens.
    pub schedule: Schedule,
}

/// The operator publishes one version.
const PUBLISH: Fault = Fault::Storm(Duration::from_secs(60));

fn entry(at_ms: u64, lasts_ms: u64, fault: Fault) -> Entry {
    let [at, lasts] = [at_ms, lasts_ms].map(Duration::from_millis);
    Entry { at, lasts, is_met: false, fault }
}

fn case(name: &'static str, nodes: usize, entries: impl IntoIterator<Item = Entry>) -> Case {
    Case { name, nodes, schedule: Schedule { entries: entries.into_iter().collect() } }
}

/// Those who took over a read used connections that had gone silent while nobody used them.
fn silent_while_idle() -> Case {
    let rounds = (0..3).flat_map(|i| {
        let at = 2_000 + i * 9_000;
        [
            entry(at, 200, Fault::Link(Scope::All, link::Fault::Silent)),
            entry(at + 4_900, 2_500, Fault::Kill(Scope::Readers)),
            entry(at + 4_950, 10, PUBLISH),
        ]
    });
    case("connections-silent-while-idle", 12, rounds)
}

/// Readers whose store is silent told others for a while that they read, and then fell silent themselves.
fn readers_cut_in_turn() -> Case {
    let rounds = (0..3).flat_map(|i| {
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

/// All cases.
pub fn cases() -> Vec<Case> {
    vec![silent_while_idle(), readers_cut_in_turn()]
}
