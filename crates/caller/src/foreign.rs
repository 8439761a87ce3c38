//! Tells the endpoint's answer to a request from bytes that only look like one.

use http::{HeaderMap, HeaderName, StatusCode, header};

use crate::chunks::{Extent, is_chunked};
use crate::{HeaderNames, IdEcho, headers};

/// Why bytes that look like an answer are not the answer of the endpoint to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Foreign {
    #[error("it carries no request id")]
    NoId,
    #[error("it carries the id of another request")]
    OtherId,
    #[error("its body is encoded")]
    Encoded,
    #[error("its transfer coding is not `chunked`")]
    TransferCoding,
    #[error("its body is in chunks that its head does not announce")]
    UnannouncedChunks,
    #[error("it has a length although its body is in chunks")]
    TwoLengths,
    #[error("its length is not a single number")]
    Length,
    #[error("more bytes follow than its length announces")]
    Excess,
    #[error("it announces a body although its status allows none")]
    UnexpectedBody,
    #[error("its length is not that of the part that was asked for")]
    PartLength,
    #[error("its status is above 599")]
    Status,
    #[error("it switches to a protocol that was not asked for")]
    Switching,
    #[error("it is a success without a signature")]
    Unsigned,
}

/// Checks that an answer is the endpoint's answer to the request with these headers. Until then
/// nothing in it can be believed, not even that the request has not run.
pub(crate) fn check_answer(
    names: &HeaderNames,
    sent: &HeaderMap,
    status: StatusCode,
    answered: &HeaderMap,
) -> Result<(), Foreign> {
    let (mut ids, id) = (answered.get_all(&names.request_id).iter(), sent.get(&names.request_id));
    if names.id_echo == IdEcho::Always && !answered.contains_key(&names.request_id) {
        return Err(Foreign::NoId);
    }
    if ids.any(|it| Some(it) != id) {
        return Err(Foreign::OtherId);
    }
    if answered.contains_key(header::CONTENT_ENCODING) {
        return Err(Foreign::Encoded);
    }
    check_framing(status, answered)?;
    match status.as_u16() {
        ..200 => return Err(Foreign::Switching),
        200..600 => {}
        600.. => return Err(Foreign::Status),
    }
    // A signature that is hop by hop would not be passed on.
    let is_signed = |name: &HeaderName| {
        answered.get(name).is_some_and(|it| !it.is_empty())
            && headers::named_by_connection(answered).all(|it| it != *name)
    };
    if status.is_success() && !names.signature.as_ref().is_none_or(is_signed) {
        return Err(Foreign::Unsigned);
    }
    Ok(())
}

/// Checks a body whose head announces neither a length nor chunks, as a misspelt header does not either. `start` is the
/// body as far as it was read.
pub(crate) fn check_unannounced(start: &[u8], extent: Extent) -> Result<(), Foreign> {
    match is_chunked(start, extent) {
        true => Err(Foreign::UnannouncedChunks),
        false => Ok(()),
    }
}

/// Checks that every reader of the head finds the same end of the body. The head may give its length or announce chunks;
/// with neither, the body ends with its connection.
fn check_framing(status: StatusCode, headers: &HeaderMap) -> Result<(), Foreign> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => check_length(headers)?,
        // A caller would take the length that is passed on for that of the chunks.
        (Some(_), _) if headers.contains_key(header::CONTENT_LENGTH) => {
            return Err(Foreign::TwoLengths);
        }
        (Some(it), None) if it.as_bytes().eq_ignore_ascii_case(b"chunked") => {}
        // The client reads a body with any other coding until its connection closes, and passes it on as it came.
        _ => return Err(Foreign::TransferCoding),
    }
    let is_announced = headers.contains_key(header::TRANSFER_ENCODING)
        || headers::content_length(headers).is_some_and(|it| it > 0);
    match status == StatusCode::NO_CONTENT && is_announced {
        true => Err(Foreign::UnexpectedBody),
        false => Ok(()),
    }
}

/// Checks that the length, if there is one, is a single number. The client takes a list of equal numbers too, and does not
/// look at the length of an answer to `HEAD`; both would be passed on as they are.
fn check_length(headers: &HeaderMap) -> Result<(), Foreign> {
    let lengths = headers.get_all(header::CONTENT_LENGTH).iter().count();
    let is_number = lengths == 1 && headers::content_length(headers).is_some();
    if lengths == 0 || is_number { Ok(()) } else { Err(Foreign::Length) }
}
