//! Logging as JSON lines on standard output. The rate of each kind of line is limited, and logging never blocks the
//! calling thread.

mod budget;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use prometheus::{IntCounterVec, Opts, Registry};
use slog::{Drain, Logger, o, warn};
use slog_async::{AsyncCore, AsyncError, AsyncGuard};

use crate::settings::{Level, Log};

pub use budget::Budget;

/// Maximum number of lines queued for standard output: a few seconds of lines if all kinds use up their budgets.
const MAX_QUEUED_LINES: usize = 4_096;
/// Timeout for writing out the queue when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which dropped lines are reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The lowest severity that is logged; it can be changed while the process runs.
#[derive(Clone, Debug)]
pub struct LevelSwitch(Arc<AtomicUsize>);

impl LevelSwitch {
    fn new(level: Level) -> Self {
        Self(Arc::new(AtomicUsize::new(severity(level).as_usize())))
    }

    /// From now on, logs records of this severity and above.
    pub fn set(&self, level: Level) {
        self.0.store(severity(level).as_usize(), Ordering::Relaxed);
    }

    fn is_enabled(&self, level: slog::Level) -> bool {
        level.as_usize() <= self.0.load(Ordering::Relaxed)
    }
}

/// The logger of a process and its controls.
pub struct Logging {
    /// Logger to standard output.
    pub log: Logger,
    /// Changes the lowest severity that is logged.
    pub level: LevelSwitch,
    /// Limits the lines of each kind.
    pub budget: Arc<Budget>,
    /// Keeps the writing thread running; see `flush`.
    pub guard: AsyncGuard,
}

impl Logging {
    /// Creates the logger of the node at address `node`; dropped lines are counted in `registry`.
    pub fn new(settings: &Log, node: &str, registry: &Registry) -> prometheus::Result<Self> {
        let name = "dappleway_log_lines_left_out_total";
        let help = "Dropped log lines, by reason: the budget of their kind, or a full queue.";
        let left_out = IntCounterVec::new(Opts::new(name, help), &["reason"])?;
        registry.register(Box::new(left_out.clone()))?;
        let level = LevelSwitch::new(settings.level);
        let budget = Arc::new(Budget::new(settings, left_out));
        let json = slog_json::Json::default(std::io::stdout()).fuse();
        let (queue, guard) = AsyncCore::custom(json).chan_size(MAX_QUEUED_LINES).build_with_guard();
        let drain = BudgetedDrain { queue, level: level.clone(), budget: budget.clone() };
        let log = Logger::root(drain.fuse(), o!("node" => node.to_owned()));
        Ok(Self { log, level, budget, guard })
    }
}

/// Queues records within the budget of their kind, and drops and counts the others.
struct BudgetedDrain {
    queue: AsyncCore,
    level: LevelSwitch,
    budget: Arc<Budget>,
}

// A panic leaves the line counts in a usable state.
impl std::panic::RefUnwindSafe for BudgetedDrain {}
impl std::panic::UnwindSafe for BudgetedDrain {}

impl Drain for BudgetedDrain {
    type Ok = ();
    type Err = AsyncError;

    fn log(&self, record: &slog::Record<'_>, values: &slog::OwnedKVList) -> Result<(), AsyncError> {
        if !self.level.is_enabled(record.level()) || !self.budget.admits(record) {
            return Ok(());
        }
        match self.queue.log(record, values) {
            Err(AsyncError::Full) => {
                self.budget.count_queue_full();
                Ok(())
            }
            other => other,
        }
    }
}

/// Writes out the queued lines, with a timeout in case nobody reads standard output.
pub fn flush(guard: AsyncGuard) {
    let (done_tx, done_rx) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        drop(guard);
        // The receiver may have timed out already.
        let _ = done_tx.send(());
    });
    // After a timeout the process ends without writing its last lines.
    let _ = done_rx.recv_timeout(FLUSH_TIMEOUT);
}

/// Logs every second how many lines of each kind were dropped.
pub async fn report_left_out(budget: Arc<Budget>, log: Logger) {
    let mut ticks = tokio::time::interval(REPORT_INTERVAL);
    loop {
        ticks.tick().await;
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
