//! Logs as JSON lines on standard output: bounded by kind, never blocking the thread that logs.

mod budget;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use prometheus::{IntCounterVec, Opts, Registry};
use slog::{Drain, Logger, o, warn};
use slog_async::{AsyncCore, AsyncError, AsyncGuard};

use crate::settings::{Level, Log};

pub use budget::Budget;

/// Lines that may wait for standard output. At the budget of all kinds together it is a few seconds.
const QUEUE: usize = 4_096;
/// Time to write out what waits when the process ends.
const FLUSH: Duration = Duration::from_millis(500);
/// How often it is told what was left out.
const REPORT_EVERY: Duration = Duration::from_secs(1);

/// The least severity that is logged; it can change while the process runs.
#[derive(Clone, Debug)]
pub struct LevelSwitch(Arc<AtomicUsize>);

impl LevelSwitch {
    fn new(level: Level) -> Self {
        Self(Arc::new(AtomicUsize::new(severity(level).as_usize())))
    }

    /// Logs records of this severity and above from now on.
    pub fn set(&self, level: Level) {
        self.0.store(severity(level).as_usize(), Ordering::Relaxed);
    }

    fn lets_pass(&self, level: slog::Level) -> bool {
        level.as_usize() <= self.0.load(Ordering::Relaxed)
    }
}

/// The logger of a process.
pub struct Logging {
    /// Logs to standard output.
    pub log: Logger,
    /// Changes the least severity.
    pub level: LevelSwitch,
    /// Bounds the lines of each kind.
    pub budget: Arc<Budget>,
    /// Keeps the writing thread; see `flush`.
    pub guard: AsyncGuard,
}

impl Logging {
    /// A logger of the node at `node`; what is left out is counted in `registry`.
    pub fn new(settings: &Log, node: &str, registry: &Registry) -> prometheus::Result<Self> {
        let name = "dappleway_log_lines_left_out_total";
        let help = "Log lines left out, by reason: the budget of their kind, or a full queue.";
        let left_out = IntCounterVec::new(Opts::new(name, help), &["reason"])?;
        registry.register(Box::new(left_out.clone()))?;
        let level = LevelSwitch::new(settings.level);
        let budget = Arc::new(Budget::new(settings, left_out));
        let json = slog_json::Json::default(std::io::stdout()).fuse();
        let (queue, guard) = AsyncCore::custom(json).chan_size(QUEUE).build_with_guard();
        let drain = Bounded { queue, level: level.clone(), budget: budget.clone() };
        let log = Logger::root(drain.fuse(), o!("node" => node.to_owned()));
        Ok(Self { log, level, budget, guard })
    }
}

/// Passes records on while their kind's budget and the queue allow it, and counts the others.
struct Bounded {
    queue: AsyncCore,
    level: LevelSwitch,
    budget: Arc<Budget>,
}

// Counts of lines stay usable whatever panics between them.
impl std::panic::RefUnwindSafe for Bounded {}
impl std::panic::UnwindSafe for Bounded {}

impl Drain for Bounded {
    type Ok = ();
    type Err = AsyncError;

    fn log(&self, record: &slog::Record<'_>, values: &slog::OwnedKVList) -> Result<(), AsyncError> {
        if !self.level.lets_pass(record.level()) || !self.budget.admits(record) {
            return Ok(());
        }
        match self.queue.log(record, values) {
            Err(AsyncError::Full) => {
                self.budget.queue_was_full();
                Ok(())
            }
            other => other,
        }
    }
}

/// Writes out what waits, but not for longer than `FLUSH` if nobody reads standard output.
pub fn flush(guard: AsyncGuard) {
    let (done, is_done) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        drop(guard);
        // The process may have ended already.
        let _ = done.send(());
    });
    // Running out of time is the other way to go on: the process ends without its last lines.
    let _ = is_done.recv_timeout(FLUSH);
}

/// Says every second, in lines of their own, how many lines of each kind were left out.
pub async fn report_left_out(budget: Arc<Budget>, log: Logger) {
    let mut due = tokio::time::interval(REPORT_EVERY);
    loop {
        due.tick().await;
        for it in budget.take_left_out() {
            warn!(log, "log lines left out"; "kind" => it.kind,
                "severity" => it.severity.as_short_str(), "lines" => it.lines);
        }
    }
}

fn severity(level: Level) -> slog::Level {
    match level {
        Level::Error => slog::Level::Error,
        Level::Warning => slog::Level::Warning,
        Level::Info => slog::Level::Info,
        Level::Debug => slog::Level::Debug,
    }
}
