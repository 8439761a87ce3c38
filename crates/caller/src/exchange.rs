//! The life of one request: route, read, wait for a slot, send, decide what follows, answer.

use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use policy::{Attempt, Kind, Next, Outcome, next_step, stable_hash};
use resources::Route;
use slog::Logger;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};
use upstream::{AnswerBody, Pool, is_delimited};

use crate::answer::{GiveUp, refuse};
use crate::body::{AnswerOut, BodyError, Received, RequestOut};
use crate::headers::{self, Span};
use crate::relay::Relay;
use crate::{Dispatch, Limits, Metrics, Refused, Shared, Slot, Snapshot, Want, trace};

/// Answers of known length up to this are held until they have arrived whole.
const HOLD_ANSWER_BYTES: u64 = 256 * 1024;
/// When to come back after an upstream failed rather than a queue.
const RETRY_AFTER_FAILURE: Duration = Duration::from_secs(1);
/// A timer that fires this late means that this process was paused: it blames no endpoint.
const PAUSE: Duration = Duration::from_millis(100);
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

/// One request after its route was found.
pub(crate) struct Work {
    pub(crate) snapshot: Arc<Snapshot>,
    pub(crate) route: Arc<Route>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) span: Span,
    pub(crate) organisation: u64,
    pub(crate) weight: u32,
    pub(crate) deadline: Instant,
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
    answer(&cx, req).await.map(|body| Counted { body, _guard: guard })
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

/// An answer that counts as in flight until its body has ended.
pub(crate) struct Counted {
    body: AnswerOut,
    _guard: InFlight,
}

struct InFlight(Metrics);

impl InFlight {
    fn new(metrics: &Metrics) -> Self {
        metrics.in_flight.inc();
        Self(metrics.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.dec();
    }
}

impl Body for Counted {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Work {
    fn new(shared: &Shared, req: &Request<Incoming>) -> Option<Self> {
        let snapshot = Arc::clone(&shared.load());
        let host = headers::host_of(req.uri(), req.headers());
        let path = req.uri().path();
        let route = snapshot.config.routes.find(&host, path, req.method().as_str())?;
        let span = Span::of(req.headers());
        let mut out = req.headers().clone();
        headers::strip_hop_by_hop(&mut out);
        out.remove(header::CONTENT_LENGTH);
        out.remove(header::EXPECT);
        if let Some(authority) = req.uri().authority()
            && let Ok(it) = HeaderValue::from_str(authority.as_str())
        {
            out.insert(header::HOST, it);
        }
        if !out.contains_key(headers::REQUEST_ID) {
            let id = HeaderValue::from_str(&format!("{:032x}", span.trace));
            out.insert(headers::REQUEST_ID, id.expect("hexadecimal digits"));
        }
        let org = out.get(headers::ORGANISATION).and_then(|it| it.to_str().ok()).unwrap_or("");
        let weight = snapshot.config.organisations.get(org).copied().unwrap_or(1);
        let limit = Duration::from_millis(route.deadline_ms.into());
        let left = headers::deadline_of(&out).map_or(limit, |it| it.min(limit));
        Some(Self {
            organisation: stable_hash(org.as_bytes()),
            weight,
            route: route.clone(),
            method: req.method().clone(),
            uri: origin_form(req.uri()),
            headers: out,
            span,
            deadline: Instant::now() + left,
            snapshot,
        })
    }

    pub(crate) fn request_id(&self) -> &str {
        self.headers[headers::REQUEST_ID].to_str().unwrap_or("(not text)")
    }

    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    pub(crate) fn want(&self, exclude: Option<std::net::SocketAddr>, left: Duration) -> Want {
        Want {
            route: self.route.clone(),
            organisation: self.organisation,
            weight: self.weight,
            exclude,
            left,
        }
    }

    /// The request for one send, with a span of its own.
    pub(crate) fn request(&self, span: &Span, body: RequestOut) -> Request<RequestOut> {
        let mut req = Request::new(body);
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = self.headers.clone();
        let left = self.left().as_millis() as u64;
        req.headers_mut().insert(headers::DEADLINE, left.into());
        req.headers_mut().insert(headers::TRACEPARENT, span.header());
        req
    }
}

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |it| it.as_str());
    path.parse().expect("the path of a valid URI is a valid URI")
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
        let Some(out) = body.next() else {
            return Err(GiveUp::Unknown { retry_after: RETRY_AFTER_FAILURE });
        };
        // The wait for a slot may have been a pause of this process: nothing is sent too late.
        if work.left().is_zero() {
            let refused = Refused { retry_after: RETRY_AFTER_FAILURE };
            return Err(refusal(refused, unknown_before));
        }
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
    exclude: Option<std::net::SocketAddr>,
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
    exclude: std::net::SocketAddr,
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

/// A slot in use. Dropping it says how long the request was open, so that a request that was
/// abandoned late still counts against the endpoint.
pub(crate) struct Open<S: Slot> {
    slot: Option<S>,
    started: Instant,
    stall_after: Duration,
    answered_after: Option<Duration>,
    was_paused: bool,
}

impl<S: Slot> Open<S> {
    pub(crate) fn new(slot: S) -> Self {
        let stall_after = slot.grant().stall_after;
        let started = Instant::now();
        Self { slot: Some(slot), started, stall_after, answered_after: None, was_paused: false }
    }

    pub(crate) fn addr(&self) -> std::net::SocketAddr {
        self.slot.as_ref().expect("the slot is taken at the end only").grant().addr
    }

    /// Fixes the time that counts as latency, for answers whose body lasts on.
    pub(crate) fn answered(&mut self) {
        self.answered_after = Some(self.started.elapsed());
    }

    pub(crate) fn stalled(&mut self) {
        let elapsed = self.started.elapsed();
        if let Some(slot) = &mut self.slot {
            slot.stalled(elapsed);
        }
    }

    pub(crate) fn end(mut self, kind: Kind) {
        let elapsed = self.answered_after.unwrap_or_else(|| self.started.elapsed());
        if let Some(slot) = self.slot.take()
            && !self.was_paused
        {
            slot.end(kind, elapsed);
        }
    }

    fn leaving(&mut self) {
        if let Some(slot) = &mut self.slot {
            slot.leaving();
        }
    }

    /// Waits until the deadline and reports a stall on the way. Nothing means that it passed.
    async fn watch<F: Future>(&mut self, fut: F, deadline: Instant) -> Option<F::Output> {
        let mut fut = pin!(fut);
        let stall_at = (self.started + self.stall_after).min(deadline);
        tokio::select! {
            biased;
            out = &mut fut => return Some(out),
            () = sleep_until(stall_at) => {}
        }
        if stall_at.elapsed() < PAUSE {
            self.stalled();
        } else if stall_at > self.started {
            self.was_paused = true;
        }
        tokio::select! {
            biased;
            out = &mut fut => Some(out),
            () = sleep_until(deadline) => None,
        }
    }
}

impl<S: Slot> Drop for Open<S> {
    fn drop(&mut self) {
        if let Some(slot) = self.slot.take()
            && !self.was_paused
        {
            slot.end(Kind::Abandoned, self.started.elapsed());
        }
    }
}
