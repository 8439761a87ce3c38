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

/// A signal that a process handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM, which begins a planned stop.
    Term,
    /// SIGINT, which begins a planned stop.
    Int,
    /// SIGHUP, which makes the process reload its settings.
    Hup,
}

impl Signal {
    /// Name of the signal as `kill` expects it.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Term => "TERM",
            Self::Int => "INT",
            Self::Hup => "HUP",
        }
    }
}

/// Maximum number of signals in a series.
const MAX_SIGNALS: usize = 4;

/// Signals that a process receives one after the other, each with the pause before it.
#[derive(Clone, Copy, PartialEq)]
pub struct Series([Option<(Duration, Signal)>; MAX_SIGNALS]);

impl Series {
    /// A series of at most four signals with pauses in milliseconds.
    pub(crate) fn new(signals: &[(u64, Signal)]) -> Self {
        let mut all = [None; MAX_SIGNALS];
        for (place, (pause, signal)) in all.iter_mut().zip(signals) {
            *place = Some((Duration::from_millis(*pause), *signal));
        }
        Self(all)
    }

    /// The signals with the pause before each.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (Duration, Signal)> {
        self.0.into_iter().flatten()
    }
}

impl fmt::Debug for Series {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = |(pause, signal): (Duration, Signal)| {
            format!("{} after {} ms", signal.name(), pause.as_millis())
        };
        f.write_str(&self.iter().map(text).collect::<Vec<_>>().join(", "))
    }
}

/// Planned stops of nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stop {
    /// Nodes to stop.
    pub scope: Scope,
    /// Time between the beginnings of the stops of two nodes.
    pub gap: Duration,
    /// Signals that each process receives.
    pub signals: Series,
}

/// Times of a planned stop in the settings of all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    /// Time until the load balancer stops sending requests to a node that stops.
    pub lag: Duration,
    /// Time after which the process ends.
    pub grace: Duration,
}

impl Drain {
    /// Creates the times from milliseconds.
    pub(crate) fn from_millis(lag: u64, grace: u64) -> Self {
        let [lag, grace] = [lag, grace].map(Duration::from_millis);
        Self { lag, grace }
    }

    /// The section `[drain]` of the settings.
    pub(crate) fn settings(self) -> String {
        format!("lag_ms = {}\ngrace_ms = {}", self.lag.as_millis(), self.grace.as_millis())
    }

    fn random(rng: &mut StdRng) -> Self {
        let mut draw = |ranges: [std::ops::Range<u64>; 2]| {
            let [short, long] = ranges;
            let drawn = if rng.random_bool(0.5) { short } else { long };
            rng.random_range(drawn)
        };
        let lag = draw(LAG_MS);
        Self::from_millis(lag, lag + draw(GRACE_AFTER_LAG_MS))
    }
}

/// A fault to inject.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Kills processes and restarts them at the end of the fault.
    Kill(Scope),
    /// Stops processes with SIGSTOP until the end of the fault.
    Freeze(Scope),
    /// Shuts processes down and starts them again when they have ended.
    Terminate(Stop),
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

impl fmt::Display for Drain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "lag {} ms, grace period {} ms", self.lag.as_millis(), self.grace.as_millis())
    }
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
    /// Times of planned stops.
    pub drain: Drain,
}

/// Range of times between the beginnings of two faults.
const GAP_BETWEEN_FAULTS_MS: std::ops::Range<u64> = 500..6_000;
/// Range of durations of a fault.
const DURATION_MS: std::ops::Range<u64> = 50..5_000;
/// Ranges of the lag of planned stops, which are equally likely.
const LAG_MS: [std::ops::Range<u64>; 2] = [20..400, 400..4_000];
/// Ranges of the time from the end of the lag to the end of the grace period. In the shorter ones requests are at work
/// when the grace period ends.
const GRACE_AFTER_LAG_MS: [std::ops::Range<u64>; 2] = [300..1_500, 1_500..5_000];
/// Range of pauses between the signals of a series.
const SIGNAL_PAUSE_MS: std::ops::Range<u64> = 0..2_000;
/// Range of times between the beginnings of the stops of two nodes.
const ROLLING_GAP_MS: std::ops::Range<u64> = 100..2_500;
/// Range of times from the beginning of a stop to a fault beside it.
const BESIDE_STOP_MS: std::ops::Range<u64> = 0..2_500;
/// Time by which faults of paths last longer than others. Callers must be served from three seconds on.
const MORE_TIME_OF_PATH_FAULTS: Duration = Duration::from_secs(4);
/// Time without faults at the end of a run, in which recovery of the deployment is checked.
pub(crate) const RECOVERY_TIME: Duration = Duration::from_secs(8);

impl Schedule {
    /// Generates the schedule of a seed.
    pub fn random(seed: u64, length: Duration) -> Self {
        Self::draw(seed, length, random_fault)
    }

    /// Generates the schedule of a seed with planned stops, and with reloads, versions and kills beside them.
    pub fn random_stops(seed: u64, length: Duration) -> Self {
        Self::draw(seed, length, |rng| Fault::Terminate(random_stop(rng)))
    }

    fn draw(seed: u64, length: Duration, draw_fault: impl Fn(&mut StdRng) -> Fault) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let drain = Drain::random(&mut rng);
        let mut at = Duration::from_millis(rng.random_range(0..2_000));
        let mut entries = Vec::new();
        let end = length.saturating_sub(RECOVERY_TIME);
        while at < end {
            let fault = draw_fault(&mut rng);
            entries.push(random_entry(&mut rng, at, end, fault));
            if let Fault::Terminate(stop) = fault {
                for beside in random_faults_beside(&mut rng, stop.scope) {
                    let at = at + Duration::from_millis(rng.random_range(BESIDE_STOP_MS));
                    entries.push(random_entry(&mut rng, at.min(end), end, beside));
                }
            }
            // Otherwise the next fault begins at the same time.
            if rng.random_bool(0.7) {
                at += Duration::from_millis(rng.random_range(GAP_BETWEEN_FAULTS_MS));
            }
        }
        entries.sort_by_key(|it| it.at);
        Self { entries, drain }
    }
}

fn random_entry(rng: &mut StdRng, at: Duration, end: Duration, fault: Fault) -> Entry {
    let duration = Duration::from_millis(rng.random_range(DURATION_MS));
    let publishes_around = rng.random_bool(0.5);
    let duration = match fault {
        Fault::Path(..) => duration + MORE_TIME_OF_PATH_FAULTS,
        _ => duration,
    };
    Entry { at, duration: duration.min(end - at), publishes_around, fault }
}

/// Reloads of the same nodes, versions, and kills of others, which a stop must bear.
fn random_faults_beside(rng: &mut StdRng, scope: Scope) -> Vec<Fault> {
    let all = [
        Fault::Hangup(scope),
        random_storm(rng),
        Fault::Kill(Scope::Share(rng.random_range(0.05..0.2), rng.random())),
    ];
    all.into_iter().filter(|_| rng.random_bool(0.3)).collect()
}

fn random_storm(rng: &mut StdRng) -> Fault {
    Fault::Storm(Duration::from_millis(rng.random_range(50..400)))
}

/// Draws a series that contains SIGTERM, in half of the cases as its only signal.
fn random_series(rng: &mut StdRng) -> Series {
    if rng.random_bool(0.5) {
        return Series::new(&[(0, Signal::Term)]);
    }
    let count = rng.random_range(2..=MAX_SIGNALS);
    let term = rng.random_range(0..count);
    let signals = [Signal::Term, Signal::Hup, Signal::Int];
    let series = (0..count).map(|i| {
        // Signals often follow each other at once.
        let pause = if rng.random_bool(0.3) { 0 } else { rng.random_range(SIGNAL_PAUSE_MS) };
        let signal = if i == term { Signal::Term } else { signals[rng.random_range(0..3)] };
        (if i == 0 { 0 } else { pause }, signal)
    });
    Series::new(&series.collect::<Vec<_>>())
}

fn random_stop(rng: &mut StdRng) -> Stop {
    let scope = Scope::Share(rng.random_range(0.05..0.35), rng.random());
    let gap = match rng.random_bool(0.5) {
        true => Duration::from_millis(rng.random_range(ROLLING_GAP_MS)),
        false => Duration::ZERO,
    };
    Stop { scope, gap, signals: random_series(rng) }
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
    match rng.random_range(0..20) {
        0..3 => Fault::Kill(scope),
        3 => Fault::Freeze(scope),
        4 => random_storm(rng),
        5 => Fault::Hangup(scope),
        6..10 => Fault::Link(scope, random_link(rng)),
        10 => Fault::Cut(Scope::Share(0.3, rng.random())),
        11 => Fault::Forget,
        12 => Fault::Return(rng.random_range(1..20)),
        13..16 => random_path(rng),
        _ => Fault::Terminate(random_stop(rng)),
    }
}
