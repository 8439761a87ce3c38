//! Log records of the request path: one line per request, and one per send (at debug level for
//! sends that were answered). Values are formatted only if the record is logged.

use std::fmt;
use std::time::Duration;

use http::{HeaderValue, StatusCode};
use policy::{HealthEstimate, Tier};
use slog::{Logger, debug, info, warn};

use crate::answer::GiveUp;
use crate::cx::Cx;
use crate::foreign::Foreign;
use crate::headers::{HeaderNames, InvalidNumber, Span};
use crate::in_flight::Stage;
use crate::routed_request::RoutedRequest;

/// Logs a request that has ended, at warning level after a server error.
pub(crate) fn request(
    log: &Logger,
    names: &HeaderNames,
    request: &RoutedRequest,
    outcome: &'static str,
    status: StatusCode,
    elapsed: Duration,
) {
    macro_rules! record {
        ($level:ident) => {
            $level!(log, "request";
                "request_id" => request.request_id(names),
                "config" => request.snapshot.config.version,
                "trace" => %Hex128(request.span.trace), "route" => request.route.name.as_str(),
                "service" => request.service.as_str(), "organisation" => request.caller.name(),
                "slot_ms" => request.slot_ms(),
                "outcome" => outcome, "status" => status.as_u16(),
                "ms" => elapsed.as_millis() as u64)
        };
    }
    // If the limit of log lines is exceeded, lines of low severity are dropped first.
    match status.is_server_error() {
        true => record!(warn),
        false => record!(info),
    }
}

/// Logs a request that is refused before any send.
pub(crate) fn refused(
    log: &Logger,
    id: Option<&HeaderValue>,
    version: u64,
    status: StatusCode,
    reason: &'static str,
) {
    let id = id.and_then(|it| it.to_str().ok()).unwrap_or("(none)");
    warn!(log, "request refused";
        "request_id" => id, "config" => version, "status" => status.as_u16(), "reason" => reason);
}

/// A send that has ended.
pub(crate) struct SendRecord<'a> {
    pub(crate) span: &'a Span,
    pub(crate) endpoint: &'a str,
    /// Whether the send went through another node.
    pub(crate) through_node: bool,
    pub(crate) slot_by: &'static str,
    pub(crate) tier: Tier,
    pub(crate) health: HealthEstimate,
    pub(crate) outcome: &'static str,
    /// Why the send got no answer; empty if it got one or its time was over.
    pub(crate) error: String,
    pub(crate) elapsed: Duration,
}

/// Logs a send. A send that was answered is logged only at debug level, because its request is
/// logged as well.
pub(crate) fn send(
    log: &Logger,
    names: &HeaderNames,
    request: &RoutedRequest,
    it: &SendRecord<'_>,
) {
    macro_rules! record {
        ($level:ident) => {
            $level!(log, "send";
                "request_id" => request.request_id(names), "endpoint" => it.endpoint,
                "content" => %Hex64(request.key.0), "outcome" => it.outcome,
                "error" => &it.error,
                "through_node" => it.through_node, "slot_by" => it.slot_by, "choice" => it.tier.name(),
                "sick" => f64::from(it.health.unhealthy_permille) / 1e3,
                "evidence_ms" => it.health.evidence_ms, "ms" => it.elapsed.as_millis() as u64,
                "left_ms" => request.left().as_millis() as u64, "span" => %Hex64(it.span.id),
                "parent" => %Hex64(it.span.parent))
        };
    }
    match it.outcome {
        "answered" => record!(debug),
        _ => record!(info),
    }
}

/// Logs an invalid header of an answer.
pub(crate) fn invalid_header(log: &Logger, endpoint: &str, error: &InvalidNumber) {
    warn!(log, "invalid header in an answer"; "endpoint" => endpoint, "error" => %error);
}

/// Logs that an endpoint sent bytes that are not its answer to the request.
pub(crate) fn foreign_answer<D>(
    cx: &Cx<D>,
    request: &RoutedRequest,
    endpoint: &str,
    foreign: Foreign,
) {
    warn!(cx.log, "foreign answer"; "request_id" => request.request_id(&cx.names),
        "endpoint" => endpoint, "reason" => %foreign);
}

/// Logs that a download was resumed on another endpoint.
pub(crate) fn resumed<D>(cx: &Cx<D>, request: &RoutedRequest, endpoint: &str, sent: u64) {
    info!(cx.log, "download resumed"; "request_id" => request.request_id(&cx.names),
        "endpoint" => endpoint, "sent_bytes" => sent);
}

/// Logs that a download was aborted before it was complete. The caller sees the truncation.
pub(crate) fn broken_off<D>(
    cx: &Cx<D>,
    request: &RoutedRequest,
    endpoint: &str,
    sent: u64,
    reason: &'static str,
) {
    warn!(cx.log, "download broken off"; "request_id" => request.request_id(&cx.names),
        "endpoint" => endpoint, "sent_bytes" => sent, "reason" => reason);
}

/// Logs why a request is given up.
pub(crate) fn give_up(log: &Logger, names: &HeaderNames, request: &RoutedRequest, give_up: GiveUp) {
    warn!(log, "request given up"; "request_id" => request.request_id(names),
        "reason" => give_up.reason, "outcome" => give_up.outcome(),
        "left_ms" => request.left().as_millis() as u64);
}

/// Logs a request that ended during a planned stop before its answer was complete.
pub(crate) fn cut_in_stop(
    log: &Logger,
    id: Option<&HeaderValue>,
    stage: Stage,
    elapsed: Duration,
    since_signal: Duration,
) {
    let id = id.and_then(|it| it.to_str().ok()).unwrap_or("(none)");
    warn!(log, "request cut during the planned stop"; "request_id" => id, "stage" => stage.name(),
        "ms" => elapsed.as_millis() as u64, "since_signal_ms" => since_signal.as_millis() as u64);
}

/// Formats an ID with 16 hexadecimal digits.
struct Hex64(u64);

impl fmt::Display for Hex64 {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Formats an ID with 32 hexadecimal digits.
struct Hex128(u128);

impl fmt::Display for Hex128 {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
