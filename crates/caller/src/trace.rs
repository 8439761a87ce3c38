//! Log records of the request path: one line for each request, at debug level one for each send.
//! Values are formatted only if the record is logged.

use std::fmt;
use std::time::Duration;

use http::{HeaderValue, StatusCode};
use policy::{HealthEstimate, Tier};
use slog::{Logger, debug, info, warn};

use crate::answer::GiveUp;
use crate::cx::Cx;
use crate::headers::{BadNumber, HeaderNames, Span};
use crate::work::Work;

/// Logs a request that has ended, at warning level if it failed.
pub(crate) fn request(
    log: &Logger,
    names: &HeaderNames,
    work: &Work,
    outcome: &'static str,
    status: StatusCode,
    elapsed: Duration,
) {
    macro_rules! record {
        ($level:ident) => {
            $level!(log, "request";
                "request_id" => work.request_id(names), "config" => work.snapshot.config.version,
                "trace" => %Hex128(work.span.trace), "route" => work.route.name.as_str(),
                "service" => work.service.as_str(), "organisation" => work.caller.name(),
                "slot_ms" => work.slot_ms(),
                "outcome" => outcome, "status" => status.as_u16(),
                "ms" => elapsed.as_millis() as u64)
        };
    }
    // The severity decides what is left out when there are too many lines: failures last.
    match status.is_server_error() {
        true => record!(warn),
        false => record!(info),
    }
}

/// Logs a request that is refused before it is sent.
pub(crate) fn refused(
    log: &Logger,
    id: Option<&HeaderValue>,
    version: u64,
    status: StatusCode,
    why: &'static str,
) {
    let id = id.and_then(|it| it.to_str().ok()).unwrap_or("(none)");
    warn!(log, "request refused";
        "request_id" => id, "config" => version, "status" => status.as_u16(), "reason" => why);
}

/// One send that has ended.
pub(crate) struct Send<'a> {
    pub(crate) span: &'a Span,
    pub(crate) endpoint: &'a str,
    pub(crate) slot_by: &'static str,
    pub(crate) tier: Tier,
    pub(crate) doubt: HealthEstimate,
    pub(crate) outcome: &'static str,
    pub(crate) elapsed: Duration,
}

/// Logs one send; one that was answered only at debug level, since its request is logged too.
pub(crate) fn send(log: &Logger, names: &HeaderNames, work: &Work, it: &Send<'_>) {
    macro_rules! record {
        ($level:ident) => {
            $level!(log, "send";
                "request_id" => work.request_id(names), "endpoint" => it.endpoint,
                "content" => %Hex64(work.key.0), "outcome" => it.outcome, "slot_by" => it.slot_by,
                "choice" => it.tier.name(), "sick" => f64::from(it.doubt.unhealthy_permille) / 1e3,
                "evidence_ms" => it.doubt.evidence_ms, "ms" => it.elapsed.as_millis() as u64,
                "left_ms" => work.left().as_millis() as u64, "span" => %Hex64(it.span.id),
                "parent" => %Hex64(it.span.parent))
        };
    }
    match it.outcome {
        "answered" => record!(debug),
        _ => record!(info),
    }
}

/// Logs a part of an answer that cannot be read.
pub(crate) fn bad_answer(log: &Logger, endpoint: &str, error: &BadNumber) {
    warn!(log, "answer unreadable in part"; "endpoint" => endpoint, "error" => %error);
}

/// Logs that a long answer goes on from another endpoint.
pub(crate) fn continued<D>(cx: &Cx<D>, work: &Work, endpoint: &str, sent: u64) {
    info!(cx.log, "download continued"; "request_id" => work.request_id(&cx.names),
        "endpoint" => endpoint, "sent_bytes" => sent);
}

/// Logs that a long answer ends before it is whole, which the caller sees.
pub(crate) fn broken_off<D>(
    cx: &Cx<D>,
    work: &Work,
    endpoint: &str,
    sent: u64,
    reason: &'static str,
) {
    warn!(cx.log, "download broken off"; "request_id" => work.request_id(&cx.names),
        "endpoint" => endpoint, "sent_bytes" => sent, "reason" => reason);
}

/// Logs why a request is given up.
pub(crate) fn give_up(log: &Logger, names: &HeaderNames, work: &Work, why: GiveUp) {
    warn!(log, "request given up"; "request_id" => work.request_id(names), "reason" => why.reason,
        "outcome" => why.outcome(), "left_ms" => work.left().as_millis() as u64);
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
