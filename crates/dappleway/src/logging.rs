//! Logs as JSON lines on standard output.

use slog::{Drain, Logger, o};

use crate::settings::Level;

/// Records that may wait for standard output; further ones are dropped and counted by slog.
const QUEUE: usize = 4_096;

/// A logger that never blocks the thread that logs. The guard flushes it when dropped.
pub fn logger(level: Level, node: &str) -> (Logger, slog_async::AsyncGuard) {
    let drain = slog_json::Json::default(std::io::stdout()).fuse();
    let (drain, guard) = slog_async::Async::new(drain).chan_size(QUEUE).build_with_guard();
    let drain = drain.filter_level(severity(level)).fuse();
    (Logger::root(drain, o!("node" => node.to_owned())), guard)
}

fn severity(level: Level) -> slog::Level {
    match level {
        Level::Error => slog::Level::Error,
        Level::Warning => slog::Level::Warning,
        Level::Info => slog::Level::Info,
        Level::Debug => slog::Level::Debug,
    }
}
