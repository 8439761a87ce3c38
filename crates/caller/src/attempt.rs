//! A single send on one slot, and the classification of its answer.

use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use http_body_util::Full;
use policy::Kind;
use resources::Repeat;
use tokio::time::Instant;
use upstream::{AnswerBody, AnswerError, Reuse};

use crate::active_slot::{ActiveSlot, HedgeRace, Waited};
use crate::body::{AnswerStart, RequestBody, ResponseBody};
use crate::cx::Cx;
use crate::foreign::{Foreign, check_answer, check_unannounced};
use crate::headers;
use crate::in_flight::Stage;
use crate::relay::Relay;
use crate::routed_request::RoutedRequest;
use crate::way::{SendFailure, Way};
use crate::{Dispatch, NoDetour, notice, trace};

/// Tolerance for endpoints that answer 504 shortly before the deadline. The remaining time is sent
/// to them in whole milliseconds, and their clocks differ slightly from the local one.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(10);

/// How one send ended.
pub(crate) enum SendResult {
    /// An answer for the caller.
    Answer(Response<ResponseBody>),
    /// A server error from the endpoint, to a request that may be sent again.
    Failure(Response<ResponseBody>),
    /// Nothing was written to the endpoint. Returns the body if it is still available.
    Unreached(Option<RequestBody>),
    /// The endpoint reports that it has not run the request.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request may have run, and the endpoint's process has ended.
    Crashed,
    /// No answer within the deadline. The request may have run.
    TimedOut,
    /// The node's path to the endpoint was lost. The request may have run.
    PathLost,
}

impl SendResult {
    /// Label for metrics and logs.
    fn name(&self) -> &'static str {
        match self {
            Self::Answer(res) if res.status().is_server_error() => "failed",
            Self::Answer(_) => "answered",
            Self::Failure(_) => "failed",
            Self::Unreached(_) => "unreached",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Crashed => "crashed",
            Self::TimedOut => "timed-out",
            Self::PathLost => "path-lost",
        }
    }
}

/// Whether a send is the first one of its request.
pub(crate) enum SendOrder {
    /// The first send.
    First(HedgeRace),
    /// A repeat or a hedge.
    Further(HedgeRace),
}

/// Sends the request once on `slot` and reports the outcome to dispatch, metrics and log.
pub(crate) async fn send_once<D: Dispatch>(
    cx: &Arc<Cx<D>>,
    request: &Arc<RoutedRequest>,
    slot: D::Slot,
    body: RequestBody,
    order: SendOrder,
) -> SendResult {
    let is_first = matches!(order, SendOrder::First(_));
    let mut active_slot = match order {
        SendOrder::First(race) | SendOrder::Further(race) => {
            ActiveSlot::with_race(slot, race, cx.pool.connector().watch_cut_off())
        }
    };
    let (slot_by, started) = (active_slot.granted_by(), Instant::now());
    let (tier, health) = (active_slot.grant().tier, active_slot.grant().health);
    let span = request.span.child();
    let req = request.upstream_request(&cx.names, &active_slot.grant().endpoint, &span, body);
    let reuse = match request.route.repeat {
        Repeat::Anytime => Reuse::Allowed,
        Repeat::IfNotRun | Repeat::Never => Reuse::Never,
    };
    let way = Way::new(cx, request, active_slot.grant().clone());
    request.progress.reach(Stage::Sent);
    let sent = active_slot.run_until(way.send(req, reuse), request.give_up_at, &way).await;
    let (endpoint, through_node) = (way.grant().endpoint.clone(), way.leads_through_node());
    let error = match &sent {
        Waited::Done(Err(error)) => error.to_string(),
        _ => String::new(),
    };
    let result = match sent {
        Waited::TimedOut => {
            active_slot.end_timed_out(way);
            SendResult::TimedOut
        }
        Waited::PathLost => SendResult::PathLost,
        Waited::Done(Err(SendFailure::Broken(_))) => end_broken(active_slot, &way).await,
        Waited::Done(Err(failure)) => end_unreached(cx, active_slot, &way, failure).await,
        Waited::Done(Ok(res)) => {
            cx.unreachable.record_answer(way.grant().addr);
            handle_answer(cx, request, active_slot, res, is_first, way).await
        }
    };
    cx.metrics.sends.with_label_values(&[result.name()]).inc();
    let record = trace::SendRecord {
        span: &span,
        endpoint: &endpoint,
        through_node,
        slot_by,
        tier,
        health,
        outcome: result.name(),
        error,
        elapsed: started.elapsed(),
    };
    trace::send(&cx.log, &cx.names, request, &record);
    result
}

/// Classifies a complete answer by its status and the time left until the deadline.
pub(crate) fn answer_kind(status: StatusCode, left: Duration) -> Kind {
    match status {
        // Not counted as a failure: the detector decides from the elapsed time whether the endpoint
        // was too slow.
        StatusCode::GATEWAY_TIMEOUT if left < DEADLINE_TOLERANCE => Kind::TimedOut,
        it if it.is_server_error() => Kind::Failed,
        _ => Kind::Answered,
    }
}

/// Ends a send of which nothing reached the endpoint.
async fn end_unreached<D: Dispatch>(
    cx: &Cx<D>,
    mut active_slot: ActiveSlot<D::Slot>,
    way: &Way<D>,
    failure: SendFailure,
) -> SendResult {
    let kind = way.classify_unwritten(&failure).await;
    let unsent = match failure {
        SendFailure::NotReached(why, unsent) => {
            if kind.is_some() || why == NoDetour::Closed {
                cx.unreachable.record_failure(active_slot.addr());
            }
            Some(unsent)
        }
        SendFailure::Ended(unsent) => Some(unsent),
        SendFailure::NotWritten(_, unsent) => unsent,
        SendFailure::Broken(_) => None,
    };
    active_slot.settle(kind);
    SendResult::Unreached(unsent.map(Request::into_body))
}

/// Ends a send whose connection broke before the answer was complete.
async fn end_broken<D: Dispatch>(mut active_slot: ActiveSlot<D::Slot>, way: &Way<D>) -> SendResult {
    let kind = way.classify_break().await;
    active_slot.settle(kind);
    match kind {
        Some(Kind::Crashed) => SendResult::Crashed,
        _ => SendResult::Unknown,
    }
}

/// Ends a send whose answer is not that of the endpoint.
fn end_foreign<D: Dispatch>(
    cx: &Cx<D>,
    request: &RoutedRequest,
    active_slot: ActiveSlot<D::Slot>,
    foreign: Foreign,
) -> SendResult {
    trace::foreign_answer(cx, request, &active_slot.grant().endpoint, foreign);
    active_slot.end(Kind::Failed);
    SendResult::Unknown
}

/// Checks the head of an answer, reads the body as far as it is buffered and reports the outcome.
async fn handle_answer<D: Dispatch>(
    cx: &Arc<Cx<D>>,
    request: &Arc<RoutedRequest>,
    mut active_slot: ActiveSlot<D::Slot>,
    res: Response<AnswerBody<RequestBody>>,
    is_first: bool,
    way: Way<D>,
) -> SendResult {
    let checked = check_answer(&cx.names, &request.headers, res.status(), res.headers());
    if let Err(foreign) = checked {
        return end_foreign(cx, request, active_slot, foreign);
    }
    if res.status() == StatusCode::MISDIRECTED_REQUEST {
        // The address now belongs to a different endpoint; the intended one is gone.
        res.into_body().release_if_empty();
        active_slot.end(Kind::Failed);
        return SendResult::NotRun;
    }
    notice::report_notices(cx, &mut active_slot, &res);
    if res.headers().contains_key(&cx.names.not_run) && !res.status().is_success() {
        if is_first {
            cx.metrics.first_shed.inc();
        }
        res.into_body().release_if_empty();
        active_slot.end(Kind::Shed);
        return SendResult::NotRun;
    }
    let is_repeatable = request.route.repeat == Repeat::Anytime;
    let is_failure = res.status().is_server_error();
    let (mut parts, body) = res.into_parts();
    let ends_with_connection = headers::ends_with_connection(&parts.headers);
    headers::strip_hop_by_hop(&mut parts.headers);
    if !is_failure {
        active_slot.record_head();
    }
    let memory = &cx.answer_memory;
    let received = active_slot.receive(body, memory, request.give_up_at, &way).await;
    let start = match received {
        Waited::TimedOut => {
            active_slot.end_timed_out(way);
            return SendResult::TimedOut;
        }
        Waited::PathLost => return SendResult::PathLost,
        Waited::Done(Err(AnswerError::Broken(_))) => return end_broken(active_slot, &way).await,
        Waited::Done(Err(AnswerError::Excess)) => {
            return end_foreign(cx, request, active_slot, Foreign::Excess);
        }
        Waited::Done(Ok(start)) => start,
    };
    if ends_with_connection && let Err(foreign) = check_unannounced(start.bytes(), start.extent()) {
        return end_foreign(cx, request, active_slot, foreign);
    }
    let out = match start {
        AnswerStart::Complete(buf) => {
            active_slot.end(answer_kind(parts.status, request.left()));
            ResponseBody::Complete(Full::new(buf))
        }
        AnswerStart::Partial(start, body) => {
            Relay::start(cx.clone(), request.clone(), active_slot, &parts, start, body, way)
        }
    };
    let res = Response::from_parts(parts, out);
    if is_failure && is_repeatable { SendResult::Failure(res) } else { SendResult::Answer(res) }
}
