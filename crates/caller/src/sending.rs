//! The send loop of a request: acquires a slot, sends, and decides after each send whether another
//! one may follow.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::Full;
use policy::{Attempt, Next, Outcome, SendKind, next_step};
use tokio::time::{Instant, sleep, timeout};

use crate::active_slot::HedgeRace;
use crate::answer::GiveUp;
use crate::attempt::{SendOrder, SendResult, send_once};
use crate::body::{ReceivedBody, RequestBody, ResponseBody};
use crate::cx::Cx;
use crate::routed_request::RoutedRequest;
use crate::{Dispatch, RefusalReason, Refused, Slot, SlotRequest};

/// `retry-after` for requests that failed at an endpoint instead of being refused by a queue. After
/// this delay the next attempt probably gets a different endpoint. Callers wait at most a third of
/// their remaining time before they retry, so the delay has to be short.
const RETRY_AFTER_FAILURE: Duration = Duration::from_millis(250);
/// Maximum number of sends that fail to connect. Such sends put no load on the service, but each
/// one can take up to a connect timeout of the caller's deadline.
const MAX_UNREACHED_SENDS: u32 = 6;
/// Divides the hedge delay for endpoints on trial, so that a trial does not add much latency for
/// the caller.
const TRIAL_HEDGE_DIVISOR: u32 = 2;

/// Maximum number of acquire calls for one send when every granted slot belongs to an endpoint that
/// currently accepts no requests from this node.
const MAX_CLOSED_GRANTS: u32 = 4;
/// Delay before a hedge asks for a slot again when no good endpoint was free. A third of the
/// duration of a short request.
const HEDGE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The sends of a request so far.
#[derive(Debug, Default)]
struct Progress {
    /// Endpoints that a send was made to, whether or not a connection came up.
    tried: Vec<SocketAddr>,
    /// Number of sends that an endpoint may have received.
    reached: u32,
    /// Number of sends of which nothing was written to an endpoint.
    unreached: u32,
    /// Whether the outcome of an earlier send is unknown.
    unknown_before: bool,
}

/// Sends a request until there is an answer or the route's rules forbid another send.
pub(crate) async fn send_until_done<D: Dispatch>(
    cx: &Arc<Cx<D>>,
    request: &Arc<RoutedRequest>,
    body: &mut ReceivedBody,
) -> Result<Response<ResponseBody>, GiveUp> {
    let mut progress = Progress::default();
    let mut error_answer = None;
    loop {
        let slot_request = SlotRequest {
            send: progress.send_kind(),
            is_last: request.is_last_send(progress.reached),
            ..request.slot_request(cx.unreachable.to_avoid(&progress.tried))
        };
        let slot = match acquire(cx, request, slot_request).await {
            Ok(slot) => slot,
            Err(refused) => return final_result(error_answer, refused, &progress),
        };
        if !request.is_still_authorized(cx) {
            return match progress.reached {
                0 => Err(GiveUp::key_taken_away()),
                _ => {
                    final_result(error_answer, Refused::no_capacity(RETRY_AFTER_FAILURE), &progress)
                }
            };
        }
        if !cx.stop.may_send(request.send_time(slot.grant().stall_after)) {
            return final_result(error_answer, Refused::stopping(RETRY_AFTER_FAILURE), &progress);
        }
        // A streamed body can be sent only once. The deadline is checked again because the process
        // may have been suspended during the wait for a slot, and nothing is sent after the
        // deadline.
        let Some(next_body) = body.next().filter(|_| !request.left().is_zero()) else {
            return final_result(
                error_answer,
                Refused::no_capacity(RETRY_AFTER_FAILURE),
                &progress,
            );
        };
        let result = send_hedged(cx, request, slot, next_body, &mut progress).await;
        let (outcome, timed_out) = match result {
            SendResult::Answer(res) => return Ok(res),
            SendResult::Failure(res) => {
                error_answer = Some(res);
                (Outcome::Unknown, false)
            }
            SendResult::Unreached(unsent) => {
                unsent.into_iter().for_each(|it| body.put_back(it));
                (Outcome::NotRun, false)
            }
            SendResult::NotRun => (Outcome::NotRun, false),
            SendResult::Unknown | SendResult::Crashed | SendResult::PathLost => {
                (Outcome::Unknown, false)
            }
            SendResult::TimedOut => (Outcome::Unknown, true),
        };
        let next = progress.next(request, outcome);
        progress.unknown_before |= outcome == Outcome::Unknown;
        let retry_after = RETRY_AFTER_FAILURE;
        match next {
            Next::Again => continue,
            _ if error_answer.is_some() => {}
            Next::GiveUpNotRun => return Err(GiveUp::not_run(retry_after)),
            _ if timed_out => return Err(GiveUp::timed_out(retry_after)),
            _ => return Err(GiveUp::unknown(retry_after)),
        }
        return final_result(error_answer, Refused::no_capacity(retry_after), &progress);
    }
}

impl Progress {
    /// The kind of the next send.
    fn send_kind(&self) -> SendKind {
        match self.reached {
            0 if self.tried.is_empty() => SendKind::First,
            0 => SendKind::FirstAgain,
            _ => SendKind::Further,
        }
    }

    /// What to do after a send that ended with `outcome`.
    fn next(&self, request: &RoutedRequest, outcome: Outcome) -> Next {
        let attempt = Attempt {
            repeat: request.route.repeat,
            unknown_before: self.unknown_before,
            sends: self.reached,
            max_sends: if self.unreached < MAX_UNREACHED_SENDS {
                request.route.max_sends
            } else {
                0
            },
            left: request.left(),
        };
        next_step(outcome, attempt)
    }
}

/// The result of a request that is not sent again. An error answer from an endpoint is passed on to
/// the caller if there is one.
fn final_result(
    error_answer: Option<Response<ResponseBody>>,
    refused: Refused,
    progress: &Progress,
) -> Result<Response<ResponseBody>, GiveUp> {
    match error_answer {
        Some(res) => Ok(res),
        None if progress.unknown_before => Err(GiveUp::unknown(refused.retry_after)),
        None if progress.reached > 0 => Err(GiveUp::not_run(refused.retry_after)),
        None => Err(match refused.reason {
            RefusalReason::NoCapacity | RefusalReason::Closed => {
                GiveUp::overloaded(refused.retry_after)
            }
            RefusalReason::CrashesEndpoints => GiveUp::crashes_endpoints(refused.retry_after),
            RefusalReason::Stopping => GiveUp::stopping(),
        }),
    }
}

/// Waits for a slot until the deadline, or until a planned stop passes nothing on any more, and records the
/// wait.
async fn acquire<D: Dispatch>(
    cx: &Arc<Cx<D>>,
    request: &RoutedRequest,
    slot_request: SlotRequest,
) -> Result<D::Slot, Refused> {
    let started = Instant::now();
    let acquire = clock::timeout_at(request.deadline, acquire_skipping_closed(cx, slot_request));
    let slot = tokio::select! {
        biased;
        it = acquire => it,
        () = cx.stop.too_late_to_send() => {
            Some(Err(Refused::stopping(RETRY_AFTER_FAILURE)))
        }
    };
    request.record_slot_wait(started.elapsed());
    cx.metrics.slot_wait.observe(started.elapsed().as_secs_f64());
    slot.unwrap_or(Err(Refused::no_capacity(RETRY_AFTER_FAILURE)))
}

/// Acquires a slot, and asks again if the granted slot belongs to an endpoint that currently
/// accepts no requests from this node.
pub(crate) async fn acquire_skipping_closed<D: Dispatch>(
    cx: &Arc<Cx<D>>,
    mut slot_request: SlotRequest,
) -> Result<D::Slot, Refused> {
    for _ in 0..MAX_CLOSED_GRANTS {
        match cx.dispatch.acquire(slot_request.clone()).await {
            Err(Refused { reason: RefusalReason::Closed, .. }) => {
                slot_request.send = slot_request.send.again()
            }
            result => return result,
        }
    }
    Err(Refused::no_capacity(RETRY_AFTER_FAILURE))
}

/// Sends once and, on routes that allow hedging, starts a second concurrent send when the first one
/// takes longer than the hedge delay of its grant.
async fn send_hedged<D: Dispatch>(
    cx: &Arc<Cx<D>>,
    request: &Arc<RoutedRequest>,
    slot: D::Slot,
    body: RequestBody,
    progress: &mut Progress,
) -> SendResult {
    let grant = slot.grant().clone();
    let may_hedge = request.route.hedge && progress.reached + 1 < request.route.max_sends;
    let hedge_body = match &body {
        RequestBody::Complete(it) if may_hedge => Some(it.clone()),
        _ => None,
    };
    progress.tried.push(grant.addr);
    let race = HedgeRace::default();
    let order = match progress.reached {
        0 => SendOrder::First(race.clone()),
        _ => SendOrder::Further(race.clone()),
    };
    let mut first = pin!(send_once(cx, request, slot, body, order));
    let Some(hedge_body) = hedge_body else { return progress.count_send(first.await) };
    let divisor = if grant.trial { TRIAL_HEDGE_DIVISOR } else { 1 };
    let hedge_delay = grant.hedge_after / divisor;
    if let Ok(result) = timeout(hedge_delay, &mut first).await {
        return progress.count_send(result);
    }
    progress.reached += 1;
    let hedge_sent = AtomicBool::new(false);
    let avoid = cx.unreachable.to_avoid(&progress.tried);
    let mut second = pin!(send_hedge(cx, request, avoid, hedge_body, &hedge_sent));
    let (result, hedge) = tokio::select! {
        biased;
        result = &mut first => match result {
            SendResult::Answer(_) => (result, None),
            _ if hedge_sent.load(Ordering::Relaxed) => (result, second.await),
            // The hedge was not sent yet. The next regular send may wait for a slot; a hedge may
            // not.
            _ => (result, None),
        },
        hedge = &mut second => match hedge {
            Some(SendResult::Answer(_)) => {
                race.mark_lost();
                return hedge.unwrap_or(SendResult::Unknown);
            }
            _ => (first.await, hedge),
        },
    };
    if hedge.is_some() {
        progress.reached += 1;
    }
    match hedge {
        Some(hedge @ SendResult::Answer(_)) if !matches!(result, SendResult::Answer(_)) => hedge,
        _ => result,
    }
}

impl Progress {
    /// Counts a send as reached or unreached and returns it.
    fn count_send(&mut self, result: SendResult) -> SendResult {
        match result {
            SendResult::Unreached(_) => self.unreached += 1,
            _ => self.reached += 1,
        }
        result
    }
}

/// Sends the hedge. It needs a good endpoint with a free slot and polls for one until the deadline.
/// Sets `hedge_sent` just before the send; returns `None` if the hedge was never sent.
async fn send_hedge<D: Dispatch>(
    cx: &Arc<Cx<D>>,
    request: &Arc<RoutedRequest>,
    avoid: Vec<SocketAddr>,
    body: Full<Bytes>,
    hedge_sent: &AtomicBool,
) -> Option<SendResult> {
    let slot = loop {
        let slot_request = SlotRequest {
            send: SendKind::Further,
            wait: false,
            ..request.slot_request(avoid.clone())
        };
        match acquire(cx, request, slot_request).await {
            Ok(slot) => break slot,
            Err(Refused {
                reason: RefusalReason::CrashesEndpoints | RefusalReason::Stopping,
                ..
            }) => return None,
            Err(_) if request.left() <= HEDGE_RETRY_DELAY => return None,
            Err(_) => sleep(HEDGE_RETRY_DELAY).await,
        }
    };
    let is_too_late = !cx.stop.may_send(request.send_time(slot.grant().stall_after));
    if is_too_late || !request.is_still_authorized(cx) {
        return None;
    }
    hedge_sent.store(true, Ordering::Relaxed);
    cx.metrics.hedges.inc();
    let order = SendOrder::Further(HedgeRace::default());
    Some(send_once(cx, request, slot, RequestBody::Complete(body), order).await)
}
