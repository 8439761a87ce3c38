//! Parsing, removal and generation of headers.

use std::time::Duration;

use http::header::{self, HeaderName, HeaderValue};
use http::{HeaderMap, Uri};
use policy::RateLimit;
use rand::RngExt;

/// The header names that a platform's callers and upstreams use.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Request ID. Taken from the caller if present, and echoed by upstreams.
    pub request_id: HeaderName,
    /// Whether upstreams echo the request ID.
    pub id_echo: IdEcho,
    /// Signature that upstreams set in each successful answer, if they set one.
    pub signature: Option<HeaderName>,
    /// Remaining time in milliseconds. Accepted from callers and sent to upstreams.
    pub deadline: HeaderName,
    /// ID of the endpoint that a request is intended for. Sent to upstreams.
    pub target_endpoint: HeaderName,
    /// Set by an upstream that refused a request before it did any work on it.
    pub not_run: HeaderName,
    /// Rate limit of an overloaded upstream, in requests per second from all nodes together.
    pub rate_limit: HeaderName,
    /// Set to `1` by an upstream that is about to leave.
    pub leaving: HeaderName,
    /// The caller's API key. Not passed on to upstreams if keys are required.
    pub api_key: HeaderName,
    /// Name of the caller's organisation. Sent to upstreams.
    pub organisation: HeaderName,
}

/// Whether upstreams echo the request ID in their answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdEcho {
    /// In each answer; an answer without an ID belongs to no request.
    Always,
    /// In some answers.
    Optional,
}

/// W3C trace context header.
pub(crate) const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// The headers that `Connection` names as hop by hop.
pub(crate) fn named_by_connection(headers: &HeaderMap) -> impl Iterator<Item = HeaderName> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .filter_map(|it| it.trim().parse().ok())
}

/// Removes the hop-by-hop headers, including those named by `Connection`.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = named_by_connection(headers).collect();
    for it in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(it);
    }
}

/// The host of a request in lower case, without the port.
pub(crate) fn host_of(uri: &Uri, headers: &HeaderMap) -> String {
    let text = match uri.authority() {
        Some(it) => it.as_str(),
        None => headers.get(header::HOST).and_then(|it| it.to_str().ok()).unwrap_or_default(),
    };
    let host = match text.rfind(':') {
        Some(i) if !text.ends_with(']') => &text[..i],
        _ => text,
    };
    host.to_ascii_lowercase()
}

/// The remaining time that the caller sent, if it is a number.
pub(crate) fn deadline_of(names: &HeaderNames, headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(&names.deadline)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_millis)
}

/// A header of an upstream whose value is not a valid number.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("ignored `{name}: {value:?}`: expected a number of 0 or more")]
pub(crate) struct InvalidNumber {
    name: HeaderName,
    value: HeaderValue,
}

/// Parses the number in a header and converts it with `convert`. A missing header is no error.
fn parse_number<T>(
    headers: &HeaderMap,
    name: &HeaderName,
    convert: impl Fn(f64) -> Option<T>,
) -> Result<Option<T>, InvalidNumber> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let number = value.to_str().ok().and_then(|it| it.trim().parse().ok());
    let converted = number.and_then(convert);
    converted.map(Some).ok_or_else(|| InvalidNumber { name: name.clone(), value: value.clone() })
}

/// The rate limit that an upstream asks for.
pub(crate) fn rate_limit_of(
    names: &HeaderNames,
    headers: &HeaderMap,
) -> Result<Option<RateLimit>, InvalidNumber> {
    parse_number(headers, &names.rate_limit, RateLimit::from_per_second)
}

/// Whether an upstream announces that it is about to leave.
pub(crate) fn is_leaving(names: &HeaderNames, headers: &HeaderMap) -> bool {
    headers.get(&names.leaving).is_some_and(|it| it.as_bytes().trim_ascii() == b"1")
}

/// The back-off that an upstream asks for when it refuses a request.
pub(crate) fn backoff_of(headers: &HeaderMap) -> Result<Option<Duration>, InvalidNumber> {
    parse_number(headers, &header::RETRY_AFTER, |it| Duration::try_from_secs_f64(it).ok())
}

/// A span of a distributed trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Span {
    pub(crate) trace: u128,
    pub(crate) parent: u64,
    pub(crate) id: u64,
}

impl Span {
    /// A new span, a child of the one in `traceparent` if that header is valid.
    pub(crate) fn from_headers(headers: &HeaderMap) -> Self {
        let parent =
            headers.get(TRACEPARENT).and_then(|it| it.to_str().ok()).and_then(parse_traceparent);
        let (trace, parent) = parent.unwrap_or_else(|| (rand::rng().random(), 0));
        Self { trace, parent, id: rand::rng().random() }
    }

    /// A new child span.
    pub(crate) fn child(&self) -> Self {
        Self { trace: self.trace, parent: self.id, id: rand::rng().random() }
    }

    /// The `traceparent` value that makes this span the parent at the next hop.
    pub(crate) fn header(&self) -> HeaderValue {
        let text = format!("00-{:032x}-{:016x}-01", self.trace, self.id);
        HeaderValue::from_str(&text).expect("hexadecimal digits and hyphens")
    }
}

/// The length of a body, if the headers announce one in digits.
pub(crate) fn content_length(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get(header::CONTENT_LENGTH)?.to_str().ok()?;
    // Parsing alone would accept a sign.
    text.bytes().all(|it| it.is_ascii_digit()).then(|| text.parse().ok())?
}

/// Whether the headers announce a body that ends with its connection.
pub(crate) fn ends_with_connection(headers: &HeaderMap) -> bool {
    !headers.contains_key(header::CONTENT_LENGTH)
        && !headers.contains_key(header::TRANSFER_ENCODING)
}

/// Parses the trace and span IDs of a `traceparent` value.
fn parse_traceparent(text: &str) -> Option<(u128, u64)> {
    let mut parts = text.split('-');
    let (version, trace, span) = (parts.next()?, parts.next()?, parts.next()?);
    if version.len() != 2 || trace.len() != 32 || span.len() != 16 {
        return None;
    }
    let trace = u128::from_str_radix(trace, 16).ok().filter(|it| *it != 0)?;
    Some((trace, u64::from_str_radix(span, 16).ok()?))
}
