//! A span for each hop, as a log record at debug level: one for the request and one for each send.
//! Values are formatted only if the record is logged.

use std::fmt;
use std::time::Duration;

use http::StatusCode;
use slog::{Logger, debug};

use crate::answer::GiveUp;
use crate::headers::Span;
use crate::work::Work;

/// Logs the span of a request.
pub(crate) fn request(
    log: &Logger,
    work: &Work,
    outcome: &'static str,
    status: StatusCode,
    elapsed: Duration,
) {
    debug!(log, "request";
        "request_id" => work.request_id(), "revision" => work.snapshot.config.revision,
        "trace" => %Hex128(work.span.trace), "span" => %Hex64(work.span.id),
        "parent" => %Hex64(work.span.parent), "route" => work.route.name.as_str(),
        "outcome" => outcome, "status" => status.as_u16(), "us" => elapsed.as_micros() as u64);
}

/// Logs the span of one send.
pub(crate) fn send(log: &Logger, work: &Work, span: &Span, outcome: &'static str) {
    debug!(log, "send";
        "request_id" => work.request_id(), "revision" => work.snapshot.config.revision,
        "trace" => %Hex128(span.trace), "span" => %Hex64(span.id),
        "parent" => %Hex64(span.parent), "outcome" => outcome);
}

/// Logs why a request is given up.
pub(crate) fn give_up(log: &Logger, work: &Work, why: GiveUp) {
    debug!(log, "given up"; "request_id" => work.request_id(), "why" => ?why);
}

struct Hex64(u64);

impl fmt::Display for Hex64 {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

struct Hex128(u128);

impl fmt::Display for Hex128 {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
