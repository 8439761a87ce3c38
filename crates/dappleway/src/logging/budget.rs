//! Limits the number of log lines of each kind in a second. A kind is the message and the severity of a record, so
//! that lines about successful requests do not displace lines about failed ones.

use std::time::Instant;

use parking_lot::Mutex;
use prometheus::IntCounterVec;
use rustc_hash::FxHashMap;
use slog::{Level, Record};

use crate::settings::Log;

/// Kind of records whose message is not a constant, such as those of libraries.
const OTHER: &str = "other";
/// Kind under which lines are counted that were dropped because the queue was full.
const QUEUE_FULL: &str = "any, because standard output is not read";
/// Message of the line about a request. At severity `Info` the request was answered successfully, and this kind has a
/// limit of its own.
const REQUEST: &str = "request";

/// Limits the lines of each kind and counts the dropped ones.
#[derive(Debug)]
pub struct Budget {
    per_s: f64,
    healthy_per_s: f64,
    kinds: Mutex<FxHashMap<(&'static str, Level), KindBucket>>,
    left_out: IntCounterVec,
}

/// A token bucket whose capacity is the lines of one second.
#[derive(Debug)]
struct KindBucket {
    tokens: f64,
    refilled_at: Instant,
    left_out: u64,
}

/// Number of dropped lines of one kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeftOut {
    /// Message of the lines.
    pub kind: &'static str,
    /// Severity of the lines.
    pub severity: Level,
    /// Number of lines.
    pub lines: u64,
}

impl Budget {
    /// Creates a budget with the limits of `settings`; `left_out` counts dropped lines by reason.
    pub fn new(settings: &Log, left_out: IntCounterVec) -> Self {
        Self {
            per_s: settings.lines_per_s.into(),
            healthy_per_s: settings.healthy_requests_per_s.into(),
            kinds: Mutex::default(),
            left_out,
        }
    }

    /// Whether a record may be logged; a record that may not is counted as dropped.
    pub fn admits(&self, record: &Record<'_>) -> bool {
        let text = record.msg().as_str().unwrap_or(OTHER);
        let is_admitted = self.admits_kind(text, record.level(), Instant::now());
        if !is_admitted {
            self.left_out.with_label_values(&["budget"]).inc();
        }
        is_admitted
    }

    /// Counts a line that was dropped because the queue is full.
    pub fn count_queue_full(&self) {
        self.left_out.with_label_values(&["queue"]).inc();
        let mut kinds = self.kinds.lock();
        let kind =
            kinds.entry((QUEUE_FULL, Level::Warning)).or_insert_with(|| KindBucket::new(0.0));
        kind.left_out += 1;
    }

    /// Returns the dropped lines since the last call, by kind.
    pub fn take_left_out(&self) -> Vec<LeftOut> {
        let mut kinds = self.kinds.lock();
        let taken = kinds.iter_mut().map(|((kind, severity), it)| LeftOut {
            kind,
            severity: *severity,
            lines: std::mem::take(&mut it.left_out),
        });
        taken.filter(|it| it.lines > 0).collect()
    }

    pub(crate) fn admits_kind(&self, text: &'static str, level: Level, now: Instant) -> bool {
        let per_s = match (text, level) {
            (REQUEST, Level::Info) => self.healthy_per_s,
            _ => self.per_s,
        };
        let mut kinds = self.kinds.lock();
        let it = kinds.entry((text, level)).or_insert_with(|| KindBucket::new(per_s));
        let refill = now.saturating_duration_since(it.refilled_at).as_secs_f64() * per_s;
        it.tokens = (it.tokens + refill).min(per_s);
        it.refilled_at = now;
        let is_admitted = it.tokens >= 1.0;
        match is_admitted {
            true => it.tokens -= 1.0,
            false => it.left_out += 1,
        }
        is_admitted
    }
}

impl KindBucket {
    fn new(tokens: f64) -> Self {
        Self { tokens, refilled_at: Instant::now(), left_out: 0 }
    }
}
