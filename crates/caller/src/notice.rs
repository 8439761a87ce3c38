//! What an endpoint says of itself in the head of an answer.

use http::{Response, StatusCode};
use policy::Notice;

use crate::cx::Cx;
use crate::open::Open;
use crate::{Dispatch, headers, trace};

/// Tells of what the endpoint says of itself. A misdirected request was answered by another endpoint.
pub(crate) fn hear<D: Dispatch, B>(cx: &Cx<D>, open: &mut Open<D::Slot>, res: &Response<B>) {
    if res.status() == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    match headers::rate_limit_of(&cx.names, res.headers()) {
        // A failure may come without the headers that the endpoint's work sets.
        Ok(None) if res.status().is_server_error() => {}
        Ok(limit) => open.noticed(Notice::RateLimit(limit)),
        Err(e) => trace::bad_answer(&cx.log, &open.grant().endpoint, &e),
    }
    if headers::is_leaving(&cx.names, res.headers()) {
        open.noticed(Notice::Leaving);
    }
    if res.status() == StatusCode::SERVICE_UNAVAILABLE {
        match headers::rest_of(res.headers()) {
            Ok(rest) => rest.into_iter().for_each(|it| open.noticed(Notice::Backoff(it))),
            Err(e) => trace::bad_answer(&cx.log, &open.grant().endpoint, &e),
        }
    }
}
