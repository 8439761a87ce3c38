//! The life of one request: route, read, wait for a slot, send, decide what follows, answer.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body::Body;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use policy::{Attempt, Kind, Next, Outcome, next_step};
use slog::Logger;
use tokio::time::{Instant, timeout, timeout_at};
use upstream::{AnswerBody, Pool, is_delimited};

use crate::answer::{GiveUp, refuse};
use crate::body::{AnswerOut, BodyError, Received, RequestOut};
use crate::headers;
use crate::in_flight::{Counted, InFlight};
use crate::open::Open;
use crate::relay::Relay;
use crate::work::Work;
use crate::{Dispatch, Limits, Metrics, Refused, Shared, Slot, trace};

/// Answers of known length up to this are held until they have arrived whole.
const HOLD_ANSWER_BYTES: u64 = 256 * 1024;
/// When to come back after an upstream failed rather than a queue.
const RETRY_AFTER_FAILURE: Duration = Duration::from_secs(1);
/// The hedge starts after this part of the time after which a request is stalled.
const HEDGE_PART: u32 = 3;
/// The same for an endpoint on trial, where the caller must not pay for the trial.
const TRIAL_HEDGE_PART: u32 = 6;

/// What all requests of one listener share.
pub(crate) struct Cx<D> {
    pub(crate) shared: Shared,
    pub(crate) dispatch: D,
    pub(crate) pool: Pool<RequestOut>,
    pub(crate) limits: Limits,
    pub(crate) metrics: Metrics,
    pub(crate) log: Logger,
}

/// How one send ended.
enum Sent {
    Answer(Response<AnswerOut>),
    /// An answer of the upstream that says it failed, on a request that may be sent again.
    Failure(Response<AnswerOut>),
    NotRun(Option<RequestOut>),
    Unknown,
    TimedOut,
}

/// Serves one request.
pub(crate) async fn serve<D: Dispatch>(
    cx: Arc<Cx<D>>,
    req: Request<Incoming>,
) -> Response<Counted> {
    let guard = InFlight::new(&cx.metrics);
    answer(&cx, req).await.map(|body| Counted::new(body, guard))
}

async fn answer<D: Dispatch>(cx: &Arc<Cx<D>>, req: Request<Incoming>) -> Response<AnswerOut> {
    let started = Instant::now();
    if cx.metrics.in_flight.get() > cx.limits.max_in_flight as i64 {
        cx.metrics.requests.with_label_values(&["not-run"]).inc();
        return GiveUp::Overloaded { retry_after: RETRY_AFTER_FAILURE }.response();
    }
    let Some(work) = Work::new(&cx.shared, &req) else {
        return refuse(StatusCode::NOT_FOUND, "no route: check host, path and method\n");
    };
    let id = work.headers[headers::REQUEST_ID].clone();
    let mut res = run(cx, Arc::new(work), req.into_body(), started).await;
    res.headers_mut().insert(headers::REQUEST_ID, id);
    res
}

async fn run<D: Dispatch>(
    cx: &Arc<Cx<D>>,
    work: Arc<Work>,
    body: Incoming,
    started: Instant,
) -> Response<AnswerOut> {
    let read = Received::read(body, cx.limits.max_body_bytes);
    let res = match timeout(cx.limits.read_timeout, read).await {
        Ok(Ok(mut body)) => send_until_done(cx, &work, &mut body).await,
        Ok(Err(BodyError::TooLong(_))) => {
            return refuse(StatusCode::PAYLOAD_TOO_LARGE, "the request is too long\n");
        }
        Ok(Err(_)) => return refuse(StatusCode::BAD_REQUEST, "the request broke off\n"),
        Err(_) => return refuse(StatusCode::REQUEST_TIMEOUT, "the request came too slowly\n"),
    };
    let (outcome, res) = match res {
        Ok(res) => ("answered", res),
        Err(give_up) => {
            trace::give_up(&cx.log, &work, give_up);
            (give_up.outcome(), give_up.response())
        }
    };
    cx.metrics.requests.with_label_values(&[outcome]).inc();
    trace::request(&cx.log, &work, outcome, res.status(), started.elapsed());
    res
}

/// Sends until there is an answer or the rules forbid another send.
async fn send_until_done<D: Dispatch>(
    cx: &Arc<Cx<D>>,
    work: &Arc<Work>,
    body: &mut Received,
) -> Result<Response<AnswerOut>, GiveUp> {
    let service = &work.route.service;
    work.snapshot.with_budget(service, |it| it.first_send());
    let mut exclude = None;
    let mut unknown_before = false;
    let mut sends = 0;
    loop {
        let slot = match acquire(cx, work, exclude).await {
            Ok(slot) => slot,
            Err(refused) => return Err(refusal(refused, unknown_before)),
        };
        let out = body.next();
        // A long body can be sent once. The wait for a slot may also have been a pause of this
        // process: nothing is sent too late.
        let Some(out) = out.filter(|_| !work.left().is_zero()) else {
            let refused = Refused { retry_after: RETRY_AFTER_FAILURE };
            return Err(refusal(refused, unknown_before));
        };
        sends += 1;
        exclude = Some(slot.grant().addr);
        let sent = hedged(cx, work, slot, out, sends == 1).await;
        let (outcome, failure, timed_out) = match sent {
            Sent::Answer(res) => return Ok(res),
            Sent::Failure(res) => (Outcome::Unknown, Some(res), false),
            Sent::NotRun(back) => {
                back.into_iter().for_each(|it| body.put_back(it));
                (Outcome::NotRun, None, false)
            }
            Sent::Unknown => (Outcome::Unknown, None, false),
            Sent::TimedOut => (Outcome::Unknown, None, true),
        };
        let attempt =
            Attempt { repeat: work.route.repeat, unknown_before, sends, left: work.left() };
        unknown_before |= outcome == Outcome::Unknown;
        let next = work.snapshot.with_budget(service, |it| next_step(outcome, attempt, it));
        let retry_after = RETRY_AFTER_FAILURE;
        match (next, failure) {
            (Next::Again, _) => {}
            (_, Some(res)) => return Ok(res),
            (Next::GiveUpNotRun, _) => return Err(GiveUp::NotRun { retry_after }),
            _ if timed_out => return Err(GiveUp::TimedOut { retry_after }),
            _ => return Err(GiveUp::Unknown { retry_after }),
        }
    }
}

fn refusal(refused: Refused, unknown_before: bool) -> GiveUp {
    let retry_after = refused.retry_after;
    match unknown_before {
        true => GiveUp::Unknown { retry_after },
        false => GiveUp::Overloaded { retry_after },
    }
}

async fn acquire<D: Dispatch>(
    cx: &Arc<Cx<D>>,
    work: &Work,
    exclude: Option<SocketAddr>,
) -> Result<D::Slot, Refused> {
    let since = Instant::now();
    let acquire = cx.dispatch.acquire(work.want(exclude, work.left()));
    let slot = timeout_at(work.deadline, acquire).await;
    cx.metrics.slot_wait.observe(since.elapsed().as_secs_f64());
    slot.unwrap_or(Err(Refused { retry_after: RETRY_AFTER_FAILURE }))
}

/// One send and, on routes that allow it, a second one beside it when the first is late.
async fn hedged<D: Dispatch>(
    cx: &Arc<Cx<D>>,
    work: &Arc<Work>,
    slot: D::Slot,
    body: RequestOut,
    is_first: bool,
) -> Sent {
    let grant = slot.grant();
    let copy = match &body {
        RequestOut::Held(it) if work.route.hedge => Some(it.clone()),
        _ => None,
    };
    let first = attempt(cx, work, slot, body, is_first);
    let Some(copy) = copy else { return first.await };
    let part = if grant.trial { TRIAL_HEDGE_PART } else { HEDGE_PART };
    let mut first = pin!(first);
    if let Ok(sent) = timeout(grant.stall_after / part, &mut first).await {
        return sent;
    }
    if !work.snapshot.with_budget(&work.route.service, |it| it.take()) {
        return first.await;
    }
    cx.metrics.hedges.inc();
    let mut second = pin!(second_send(cx, work, grant.addr, copy));
    tokio::select! {
        biased;
        sent = &mut first => match sent {
            Sent::Answer(_) => sent,
            _ => second.await.unwrap_or(sent),
        },
        sent = &mut second => match sent {
            Some(sent @ Sent::Answer(_)) => sent,
            _ => first.await,
        },
    }
}

async fn second_send<D: Dispatch>(
    cx: &Arc<Cx<D>>,
    work: &Arc<Work>,
    exclude: SocketAddr,
    body: Full<Bytes>,
) -> Option<Sent> {
    let slot = acquire(cx, work, Some(exclude)).await.ok()?;
    Some(attempt(cx, work, slot, RequestOut::Held(body), false).await)
}

/// One send on one slot.
async fn attempt<D: Dispatch>(
    cx: &Arc<Cx<D>>,
    work: &Arc<Work>,
    slot: D::Slot,
    body: RequestOut,
    is_first: bool,
) -> Sent {
    let mut open = Open::new(slot);
    let span = work.span.child();
    let send = cx.pool.send(open.addr(), work.request(&span, body));
    let sent = match open.watch(send, work.deadline).await {
        None => Sent::TimedOut,
        Some(Err(error)) if error.failure.is_not_run() => {
            open.end(Kind::Failed);
            Sent::NotRun(error.req.map(Request::into_body))
        }
        Some(Err(_)) => {
            open.end(Kind::Failed);
            Sent::Unknown
        }
        Some(Ok(res)) => take_answer(cx, work, open, res, is_first).await,
    };
    let outcome = sent.name();
    cx.metrics.sends.with_label_values(&[outcome]).inc();
    trace::send(&cx.log, work, &span, outcome);
    sent
}

async fn take_answer<D: Dispatch>(
    cx: &Arc<Cx<D>>,
    work: &Arc<Work>,
    mut open: Open<D::Slot>,
    res: Response<AnswerBody<RequestOut>>,
    is_first: bool,
) -> Sent {
    if res.headers().contains_key(headers::LEAVING) {
        open.leaving();
    }
    if res.headers().contains_key(headers::NOT_RUN) && res.status().is_server_error() {
        if is_first {
            cx.metrics.first_shed.inc();
        }
        open.end(Kind::Shed);
        return Sent::NotRun(None);
    }
    if work.method != Method::HEAD && !is_delimited(res.status(), res.headers()) {
        open.end(Kind::Failed);
        return Sent::Unknown;
    }
    // An upstream that names the request it answers must name this one: answers may be crossed.
    let named = res.headers().get(headers::REQUEST_ID);
    if named.is_some_and(|it| *it != work.headers[headers::REQUEST_ID]) {
        open.end(Kind::Failed);
        return Sent::Unknown;
    }
    let is_failure = res.status().is_server_error();
    let (mut parts, body) = res.into_parts();
    headers::strip_hop_by_hop(&mut parts.headers);
    let is_short = body.size_hint().exact().is_some_and(|n| n <= HOLD_ANSWER_BYTES);
    let out = match is_short && !work.route.stream {
        true => match open.watch(body.collect(), work.deadline).await {
            None => return Sent::TimedOut,
            Some(Err(_)) => {
                open.end(Kind::Failed);
                return Sent::Unknown;
            }
            Some(Ok(whole)) => {
                open.end(if is_failure { Kind::Failed } else { Kind::Answered });
                AnswerOut::Whole(Full::new(whole.to_bytes()))
            }
        },
        false => Relay::start(cx.clone(), work.clone(), open, &parts, body),
    };
    let res = Response::from_parts(parts, out);
    if is_failure { Sent::Failure(res) } else { Sent::Answer(res) }
}

impl Sent {
    fn name(&self) -> &'static str {
        match self {
            Self::Answer(_) => "answered",
            Self::Failure(_) => "failed",
            Self::NotRun(_) => "not-run",
            Self::Unknown | Self::TimedOut => "unknown",
        }
    }
}
