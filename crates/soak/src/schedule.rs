//! Fault schedules, generated from a seed.

use std::fmt;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use standin::endpoint_link::PathFault;

use crate::link;

/// Nodes that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Scope {
    /// All nodes.
    All,
    /// A random share of the nodes, selected with a seed of its own.
    Share(f64, u64),
    /// A random share of the nodes of one failure domain, both selected with a seed of its own.
    Domain(f64, u64),
    /// The nodes that read the store when the fault begins.
    Readers,
}

/// A fault to inject.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Kills processes and restarts them at the end of the fault.
    Kill(Scope),
    /// Stops processes with SIGSTOP until the end of the fault.
    Freeze(Scope),
    /// Shuts processes down with SIGTERM and starts them again.
    Terminate(Scope),
    /// Makes processes reload their settings with SIGHUP.
    Hangup(Scope),
    /// Sets a fault on the links between nodes and the store.
    Link(Scope, link::Fault),
    /// Sets a fault on the paths from nodes to all endpoints.
    Path(Scope, PathFault),
    /// Drops all frames that the nodes send to other nodes.
    Cut(Scope),
    /// Makes the store discard its history of changes.
    Forget,
    /// Restores the store from a copy that is this many revisions old.
    Return(u64),
    /// Publishes versions with this pause between them.
    Storm(Duration),
}

/// A scheduled fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// Time at which the fault begins, counted from the start of the callers.
    pub at: Duration,
    /// Time for which the fault lasts.
    pub duration: Duration,
    /// Whether a version is published immediately before the fault and another immediately after it.
    pub publishes_around: bool,
    /// The fault to inject.
    pub fault: Fault,
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { at, duration, publishes_around, fault } = self;
        let published =
            if *publishes_around { ", with versions published before and after" } else { "" };
        write!(
            f,
            "{:6.2} s for {:.2} s: {fault:?}{published}",
            at.as_secs_f64(),
            duration.as_secs_f64()
        )
    }
}

/// All faults of one soak run.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// Entries in the order of their beginning.
    pub entries: Vec<Entry>,
}

/// Range of times between the beginnings of two faults.
const GAP_BETWEEN_FAULTS_MS: std::ops::Range<u64> = 500..6_000;
/// Range of durations of a fault.
const DURATION_MS: std::ops::Range<u64> = 50..5_000;
/// Time by which faults of paths last longer than others. Callers must be served from three seconds on.
const MORE_TIME_OF_PATH_FAULTS: Duration = Duration::from_secs(4);
/// Time without faults at the end of a run, in which recovery of the deployment is checked.
pub(crate) const RECOVERY_TIME: Duration = Duration::from_secs(8);

impl Schedule {
    /// Generates the schedule of a seed.
    pub fn random(seed: u64, length: Duration) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut at = Duration::from_millis(rng.random_range(0..2_000));
        let mut entries = Vec::new();
        let end = length.saturating_sub(RECOVERY_TIME);
        while at < end {
            let duration = Duration::from_millis(rng.random_range(DURATION_MS));
            let publishes_around = rng.random_bool(0.5);
            let fault = random_fault(&mut rng);
            let duration = match fault {
                Fault::Path(..) => duration + MORE_TIME_OF_PATH_FAULTS,
                _ => duration,
            };
            entries.push(Entry { at, duration: duration.min(end - at), publishes_around, fault });
            // Otherwise the next fault begins at the same time.
            if rng.random_bool(0.7) {
                at += Duration::from_millis(rng.random_range(GAP_BETWEEN_FAULTS_MS));
            }
        }
        Self { entries }
    }
}

fn random_scope(rng: &mut StdRng) -> Scope {
    match rng.random_range(0..10) {
        0 => Scope::All,
        1..5 => Scope::Readers,
        _ => Scope::Share(rng.random_range(0.05..0.7), rng.random()),
    }
}

fn random_link(rng: &mut StdRng) -> link::Fault {
    match rng.random_range(0..7) {
        0 => link::Fault::Silent,
        1 => link::Fault::OneWay,
        2 => link::Fault::Reset,
        3 => link::Fault::Busy,
        4 => link::Fault::Slow(Duration::from_millis(rng.random_range(20..400))),
        5 => link::Fault::Broken,
        _ => link::Fault::Closing,
    }
}

fn random_path(rng: &mut StdRng) -> Fault {
    let scope = match rng.random_bool(0.5) {
        true => Scope::Domain(rng.random_range(0.5..1.0), rng.random()),
        false => Scope::Share(rng.random_range(0.05..0.6), rng.random()),
    };
    let faults = [PathFault::Hang, PathFault::Reset, PathFault::RefuseNew, PathFault::OneWay];
    Fault::Path(scope, faults[rng.random_range(0..faults.len())])
}

fn random_fault(rng: &mut StdRng) -> Fault {
    let scope = random_scope(rng);
    match rng.random_range(0..17) {
        0..3 => Fault::Kill(scope),
        3 => Fault::Freeze(scope),
        4 => Fault::Terminate(Scope::Share(0.2, rng.random())),
        5 => Fault::Hangup(scope),
        6..10 => Fault::Link(scope, random_link(rng)),
        10 => Fault::Cut(Scope::Share(0.3, rng.random())),
        11 => Fault::Forget,
        12 => Fault::Return(rng.random_range(1..20)),
        13..16 => random_path(rng),
        _ => Fault::Storm(Duration::from_millis(rng.random_range(50..400))),
    }
}
