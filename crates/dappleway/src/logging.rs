//! Logs as JSON lines on standard output.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use slog::{Drain, Logger, o};

use crate::settings::Level;

/// Records that may wait for standard output; further ones are dropped and counted by slog.
const QUEUE: usize = 4_096;

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

/// A logger that never blocks the thread that logs. The guard flushes it when dropped.
pub fn logger(level: Level, node: &str) -> (Logger, LevelSwitch, slog_async::AsyncGuard) {
    let switch = LevelSwitch::new(level);
    let drain = slog_json::Json::default(std::io::stdout()).fuse();
    let (drain, guard) = slog_async::Async::new(drain).chan_size(QUEUE).build_with_guard();
    let passes = switch.clone();
    let drain = drain.filter(move |it| passes.lets_pass(it.level())).fuse();
    (Logger::root(drain, o!("node" => node.to_owned())), switch, guard)
}

fn severity(level: Level) -> slog::Level {
    match level {
        Level::Error => slog::Level::Error,
        Level::Warning => slog::Level::Warning,
        Level::Info => slog::Level::Info,
        Level::Debug => slog::Level::Debug,
    }
}
