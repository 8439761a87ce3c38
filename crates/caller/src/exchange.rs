//! Handles one request from its head to the head of its answer: route, check the allowance, read
//! the body, send, answer.

use std::sync::Arc;

use http::header::{CONNECTION, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout};

use crate::answer::{GiveUp, refuse};
use crate::body::{BodyError, ReceivedBody, ResponseBody};
use crate::cx::Cx;
use crate::in_flight::{CountedBody, InFlight, Progress, Stage};
use crate::request_key::request_key;
use crate::routed_request::{RouteError, RoutedRequest};
use crate::sending::send_until_done;
use crate::trace;
use crate::{Admission, Dispatch, headers};

/// Serves one request and keeps it counted as in flight until the end of its answer.
pub(crate) async fn serve<D: Dispatch>(
    cx: Arc<Cx<D>>,
    req: Request<Incoming>,
) -> Response<CountedBody> {
    let id = req.headers().get(&cx.names.request_id).cloned();
    let in_flight = InFlight::new(&cx, id.clone());
    let is_head = req.method() == Method::HEAD;
    let mut res = tokio::select! {
        biased;
        res = answer(&cx, req, id.as_ref(), &in_flight.progress) => res,
        () = cx.stop.wait_until(cx.stop.times().answers) => {
            answer_at_stop(&cx, id.as_ref(), in_flight.progress.stage())
        }
    };
    if let Some(id) = id {
        res.headers_mut().insert(cx.names.request_id.clone(), id);
    }
    if cx.stop.elapsed().is_some() {
        res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let length = match is_head {
        true => Some(0),
        false => headers::content_length(res.headers()),
    };
    res.map(|body| CountedBody::new(body, length, in_flight))
}

/// Routes the request and returns its answer.
async fn answer<D: Dispatch>(
    cx: &Arc<Cx<D>>,
    req: Request<Incoming>,
    id: Option<&HeaderValue>,
    progress: &Progress,
) -> Response<ResponseBody> {
    let started = Instant::now();
    match RoutedRequest::new(cx, &req, progress) {
        _ if !cx.stop.takes_arrivals() => give_up_unrouted(cx, id, GiveUp::stopping()),
        _ if cx.metrics.in_flight.get() > cx.limits.max_in_flight as i64 => {
            give_up_unrouted(cx, id, GiveUp::too_many_in_flight())
        }
        Ok(request) => match admit(cx, &request).await {
            Ok(()) => read_and_send(cx, request, req.into_body(), started).await,
            Err(give_up) => {
                cx.dispatch.record_refused(&request.route);
                answer_given_up(cx, &request, give_up, started)
            }
        },
        Err(RouteError::NoConfiguration) => give_up_unrouted(cx, id, GiveUp::no_configuration()),
        Err(RouteError::MayBeOutdated) => give_up_unrouted(cx, id, GiveUp::may_be_outdated()),
        Err(RouteError::MayBeLeftOut) => give_up_unrouted(cx, id, GiveUp::may_be_left_out()),
        Err(RouteError::Suspended) => give_up_unrouted(cx, id, GiveUp::suspended()),
        Err(RouteError::Denied(denied)) => {
            cx.metrics.denied.with_label_values(&[denied.name()]).inc();
            trace::refused(&cx.log, id, config_version(cx), denied.status(), denied.name());
            refuse(denied.status(), denied.text())
        }
        Err(RouteError::NoRoute) => {
            trace::refused(&cx.log, id, config_version(cx), StatusCode::NOT_FOUND, "no route");
            refuse(StatusCode::NOT_FOUND, "no route: check host, path and method\n")
        }
    }
}

/// The answer to a request that has none when answers are due in a planned stop.
fn answer_at_stop<D: Dispatch>(
    cx: &Arc<Cx<D>>,
    id: Option<&HeaderValue>,
    stage: Stage,
) -> Response<ResponseBody> {
    let give_up = match stage < Stage::Sent {
        true => GiveUp::stopping(),
        false => GiveUp::unknown_at_stop(),
    };
    give_up_unrouted(cx, id, give_up)
}

/// The version of the configuration in force, to log with requests that are not routed.
fn config_version<D>(cx: &Cx<D>) -> u64 {
    cx.shared.load().config.version
}

/// Gives up a request that is not routed, or whose route no longer matters.
fn give_up_unrouted<D: Dispatch>(
    cx: &Arc<Cx<D>>,
    id: Option<&HeaderValue>,
    give_up: GiveUp,
) -> Response<ResponseBody> {
    cx.metrics.requests.with_label_values(&[give_up.outcome()]).inc();
    cx.metrics.given_up.with_label_values(&[give_up.cause]).inc();
    trace::refused(&cx.log, id, config_version(cx), give_up.status(), give_up.reason);
    give_up.response()
}

/// Charges the request to the allowance of its organisation, before the body is read.
async fn admit<D: Dispatch>(cx: &Arc<Cx<D>>, request: &RoutedRequest) -> Result<(), GiveUp> {
    if !request.caller.is_limited() {
        return Ok(());
    }
    let admission =
        clock::timeout_at(request.deadline, cx.dispatch.admit(request.caller.hash)).await;
    match admission.unwrap_or(Admission::Unknown) {
        Admission::Granted => Ok(()),
        Admission::Exhausted { retry_after } => Err(GiveUp::allowance_used_up(retry_after)),
        Admission::Unknown => Err(GiveUp::allowance_unknown()),
    }
}

/// Reads the body and sends the request.
async fn read_and_send<D: Dispatch>(
    cx: &Arc<Cx<D>>,
    mut request: RoutedRequest,
    body: Incoming,
    started: Instant,
) -> Response<ResponseBody> {
    let limit = cx.limits.max_body_bytes.min(request.snapshot.config.limits.body_bytes);
    let read =
        timeout(cx.limits.read_timeout, ReceivedBody::read(body, limit, &cx.body_memory)).await;
    let refused = match read {
        Ok(Ok(mut body)) => {
            request.progress.reach(Stage::Read);
            request.key =
                request_key(&cx.names, &request.method, &request.uri, &request.headers, &body);
            return send_and_record(cx, &Arc::new(request), &mut body, started).await;
        }
        Ok(Err(BodyError::TooLong(_))) => {
            (StatusCode::PAYLOAD_TOO_LARGE, "the request is too long\n")
        }
        Ok(Err(_)) => (StatusCode::BAD_REQUEST, "the request broke off\n"),
        Err(_) => (StatusCode::REQUEST_TIMEOUT, "the request came too slowly\n"),
    };
    let id = request.headers.get(&cx.names.request_id);
    trace::refused(&cx.log, id, request.snapshot.config.version, refused.0, refused.1.trim_end());
    refuse(refused.0, refused.1)
}

/// Sends a request whose body was read, and records how it ended.
async fn send_and_record<D: Dispatch>(
    cx: &Arc<Cx<D>>,
    request: &Arc<RoutedRequest>,
    body: &mut ReceivedBody,
    started: Instant,
) -> Response<ResponseBody> {
    let res = match send_until_done(cx, request, body).await {
        Ok(res) => {
            record_end(cx, request, "answered", &res, started);
            res
        }
        Err(it) => answer_given_up(cx, request, it, started),
    };
    // The availability target of each service of a split route includes all requests of the route,
    // also those that went to another of its services.
    if res.status().is_server_error() && !request.route.split.is_empty() {
        cx.dispatch.record_unserved(&request.route, &request.service);
    }
    res
}

/// Logs and counts a routed request that is given up, and returns its answer.
fn answer_given_up<D: Dispatch>(
    cx: &Arc<Cx<D>>,
    request: &RoutedRequest,
    give_up: GiveUp,
    started: Instant,
) -> Response<ResponseBody> {
    trace::give_up(&cx.log, &cx.names, request, give_up);
    cx.metrics.given_up.with_label_values(&[give_up.cause]).inc();
    let res = give_up.response();
    record_end(cx, request, give_up.outcome(), &res, started);
    res
}

/// Logs and counts a routed request that has ended.
fn record_end<D: Dispatch>(
    cx: &Arc<Cx<D>>,
    request: &RoutedRequest,
    outcome: &'static str,
    res: &Response<ResponseBody>,
    started: Instant,
) {
    let elapsed = started.elapsed();
    cx.metrics.requests.with_label_values(&[outcome]).inc();
    cx.metrics.latency.with_label_values(&[outcome]).observe(elapsed.as_secs_f64());
    trace::request(&cx.log, &cx.names, request, outcome, res.status(), elapsed);
}
