//! Notices that an endpoint sends about itself in the headers of an answer.

use http::{Response, StatusCode};
use policy::Notice;

use crate::active_slot::ActiveSlot;
use crate::cx::Cx;
use crate::{Dispatch, headers, trace};

/// Reports the notices in an answer. Notices in a 421 answer are ignored, because a different
/// endpoint sent them.
pub(crate) fn report_notices<D: Dispatch, B>(
    cx: &Cx<D>,
    active_slot: &mut ActiveSlot<D::Slot>,
    res: &Response<B>,
) {
    if res.status() == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    match headers::rate_limit_of(&cx.names, res.headers()) {
        // The missing header of an error answer does not lift a rate limit: the error may occur
        // before the endpoint sets its headers.
        Ok(None) if res.status().is_server_error() => {}
        Ok(limit) => active_slot.report_notice(Notice::RateLimit(limit)),
        Err(e) => trace::invalid_header(&cx.log, &active_slot.grant().endpoint, &e),
    }
    if headers::is_leaving(&cx.names, res.headers()) {
        active_slot.report_notice(Notice::Leaving);
    }
    if res.status() == StatusCode::SERVICE_UNAVAILABLE {
        match headers::backoff_of(res.headers()) {
            Ok(backoff) => {
                backoff.into_iter().for_each(|it| active_slot.report_notice(Notice::Backoff(it)))
            }
            Err(e) => trace::invalid_header(&cx.log, &active_slot.grant().endpoint, &e),
        }
    }
}
