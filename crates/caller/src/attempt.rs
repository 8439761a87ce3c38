//! One send on one slot, and what its answer means.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::header::CONTENT_ENCODING;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use policy::Kind;
use resources::Repeat;
use tokio::time::Instant;
use upstream::{AnswerBody, Failure, Reuse};

use crate::body::{AnswerOut, RequestOut, Start};
use crate::cx::Cx;
use crate::headers;
use crate::open::{Open, Race};
use crate::relay::Relay;
use crate::work::Work;
use crate::{Dispatch, notice, trace};

/// Endpoints say that the deadline has passed a little before it has: what is left is handed to them in
/// whole milliseconds, and their clocks do not run quite like this one.
const DEADLINE_SLACK: Duration = Duration::from_millis(10);

/// How one send ended.
pub(crate) enum Sent {
    Answer(Response<AnswerOut>),
    /// An answer of the upstream that says it failed, on a request that may be sent again.
    Failure(Response<AnswerOut>),
    /// Nothing was written; the body comes back.
    Unreached(Option<RequestOut>),
    /// The endpoint says that it has not run the request.
    NotRun,
    Unknown,
    /// The same, and the endpoint's process has ended.
    Crashed,
    TimedOut,
}

impl Sent {
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
        }
    }
}

/// Which send of a request it is.
pub(crate) enum Lane {
    /// The first.
    First(Race),
    /// One after or beside another.
    Further(Race),
}

/// One send on one slot.
pub(crate) async fn attempt<D: Dispatch>(
    cx: &Arc<Cx<D>>,
    work: &Arc<Work>,
    slot: D::Slot,
    body: RequestOut,
    lane: Lane,
) -> Sent {
    let is_first = matches!(lane, Lane::First(_));
    let mut open = match lane {
        Lane::First(race) | Lane::Further(race) => Open::in_race(slot, race),
    };
    let (slot_by, since) = (open.granted_by(), Instant::now());
    let (tier, doubt) = (open.grant().tier, open.grant().health);
    let span = work.span.child();
    let req = work.request(&cx.names, &open.grant().endpoint, &span, body);
    let reuse = match work.route.repeat {
        Repeat::Anytime => Reuse::Allowed,
        Repeat::IfNotRun | Repeat::Never => Reuse::Never,
    };
    let addr = open.addr();
    let endpoint = open.grant().endpoint.clone();
    let send = cx.pool.send(addr, req, reuse);
    let sent = match open.watch(send, work.give_up_at).await {
        None => {
            open.end(Kind::TimedOut);
            Sent::TimedOut
        }
        Some(Err(error)) if error.failure.is_not_run() => {
            if matches!(error.failure, Failure::Connect(_)) {
                cx.paths.failed(addr);
            }
            open.end(Kind::Unreachable);
            Sent::Unreached(error.req.map(Request::into_body))
        }
        Some(Err(_)) => broken(cx, open).await,
        Some(Ok(res)) => {
            cx.paths.works(addr);
            take_answer(cx, work, open, res, is_first).await
        }
    };
    cx.metrics.sends.with_label_values(&[sent.name()]).inc();
    let record = trace::Send {
        span: &span,
        endpoint: &endpoint,
        slot_by,
        tier,
        doubt,
        outcome: sent.name(),
        elapsed: since.elapsed(),
    };
    trace::send(&cx.log, &cx.names, work, &record);
    sent
}

/// What an answer says about its endpoint, given what is left until the deadline.
pub(crate) fn kind_of(status: StatusCode, left: Duration) -> Kind {
    match status {
        // How long it was open says whether that speaks against the endpoint.
        StatusCode::GATEWAY_TIMEOUT if left < DEADLINE_SLACK => Kind::TimedOut,
        it if it.is_server_error() => Kind::Failed,
        _ => Kind::Answered,
    }
}

/// The connection broke before there was a whole answer.
async fn broken<D: Dispatch>(cx: &Cx<D>, open: Open<D::Slot>) -> Sent {
    let kind = break_kind(cx, open.addr()).await;
    open.end(kind);
    if kind == Kind::Crashed { Sent::Crashed } else { Sent::Unknown }
}

/// What a connection that broke says. Whether the endpoint has ended is looked up at once: it may be back soon, and a
/// further send that goes out before that is known ends the next endpoint.
pub(crate) async fn break_kind<D: Dispatch>(cx: &Cx<D>, addr: SocketAddr) -> Kind {
    if cx.pool.has_ended(addr).await { Kind::Crashed } else { Kind::Failed }
}

async fn take_answer<D: Dispatch>(
    cx: &Arc<Cx<D>>,
    work: &Arc<Work>,
    mut open: Open<D::Slot>,
    res: Response<AnswerBody<RequestOut>>,
    is_first: bool,
) -> Sent {
    // An upstream that names the request it answers must name this one: answers may be crossed.
    let named = res.headers().get(&cx.names.request_id);
    if named.is_some_and(|it| Some(it) != work.headers.get(&cx.names.request_id)) {
        open.end(Kind::Failed);
        return Sent::Unknown;
    }
    if res.status() == StatusCode::MISDIRECTED_REQUEST {
        // Another endpoint has the address now; the one that was meant is gone.
        open.end(Kind::Failed);
        return Sent::NotRun;
    }
    notice::hear(cx, &mut open, &res);
    if res.headers().contains_key(&cx.names.not_run) && !res.status().is_success() {
        if is_first {
            cx.metrics.first_shed.inc();
        }
        open.end(Kind::Shed);
        return Sent::NotRun;
    }
    let is_repeatable = work.route.repeat == Repeat::Anytime;
    if is_repeatable && res.headers().contains_key(CONTENT_ENCODING) {
        open.end(Kind::Failed);
        return Sent::Unknown;
    }
    let is_failure = res.status().is_server_error();
    let (mut parts, body) = res.into_parts();
    headers::strip_hop_by_hop(&mut parts.headers);
    if !is_failure {
        open.answered();
    }
    let start = match open.receive(body, work.give_up_at).await {
        None => {
            open.end(Kind::TimedOut);
            return Sent::TimedOut;
        }
        Some(Err(_)) => return broken(cx, open).await,
        Some(Ok(start)) => start,
    };
    let out = match start {
        Start::Whole(buf) => {
            open.end(kind_of(parts.status, work.left()));
            AnswerOut::Whole(Full::new(buf))
        }
        Start::Long(start, body) => {
            Relay::start(cx.clone(), work.clone(), open, &parts, start, body)
        }
    };
    let res = Response::from_parts(parts, out);
    if is_failure && is_repeatable { Sent::Failure(res) } else { Sent::Answer(res) }
}
