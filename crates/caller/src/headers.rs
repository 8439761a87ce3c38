//! Headers that end at each hop, and those that the proxy adds.

use std::time::Duration;

use http::header::{self, HeaderName, HeaderValue};
use http::{HeaderMap, Uri};
use policy::RateLimit;
use rand::RngExt;

/// Names of the headers that callers and upstreams of a platform agree on.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identity of a request; taken from the caller if present, and echoed by upstreams.
    pub request_id: HeaderName,
    /// Milliseconds left, told to the upstream and accepted from callers.
    pub deadline: HeaderName,
    /// Identity of the endpoint that is meant; told to the upstream.
    pub wanted_endpoint: HeaderName,
    /// Said by an upstream that refused a request before any work on it.
    pub not_run: HeaderName,
    /// Requests a second that an upstream in need takes from all nodes together.
    pub rate_limit: HeaderName,
    /// Says `1` where an upstream leaves.
    pub leaving: HeaderName,
    /// The caller's API key; never told to an upstream where keys are asked for.
    pub api_key: HeaderName,
    /// Name of the caller's organisation, told to the upstream.
    pub organisation: HeaderName,
}

/// W3C trace context.
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

/// Removes the headers that end here, those named by `Connection` included.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .filter_map(|it| it.trim().parse().ok())
        .collect();
    for it in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(it);
    }
}

/// The host that the request names, without its port.
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

/// The deadline that the caller sent, if it is a number.
pub(crate) fn deadline_of(names: &HeaderNames, headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(&names.deadline)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_millis)
}

/// A header of an upstream that is no number that it may be.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("`{name}: {value:?}` is passed over: an upstream names a number there, 0 or more")]
pub(crate) struct BadNumber {
    name: HeaderName,
    value: HeaderValue,
}

/// The number that an upstream names, as what it stands for.
fn number_of<T>(
    headers: &HeaderMap,
    name: &HeaderName,
    meant: impl Fn(f64) -> Option<T>,
) -> Result<Option<T>, BadNumber> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let number = value.to_str().ok().and_then(|it| it.trim().parse().ok());
    let meant = number.and_then(meant);
    meant.map(Some).ok_or_else(|| BadNumber { name: name.clone(), value: value.clone() })
}

/// The rate limit that an upstream names.
pub(crate) fn rate_limit_of(
    names: &HeaderNames,
    headers: &HeaderMap,
) -> Result<Option<RateLimit>, BadNumber> {
    number_of(headers, &names.rate_limit, RateLimit::from_per_second)
}

/// Whether an upstream says that it leaves.
pub(crate) fn is_leaving(names: &HeaderNames, headers: &HeaderMap) -> bool {
    headers.get(&names.leaving).is_some_and(|it| it.as_bytes().trim_ascii() == b"1")
}

/// For how long an upstream that turns a request away wants nothing.
pub(crate) fn rest_of(headers: &HeaderMap) -> Result<Option<Duration>, BadNumber> {
    number_of(headers, &header::RETRY_AFTER, |it| Duration::try_from_secs_f64(it).ok())
}

/// Identity of a trace and of the span of one hop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Span {
    pub(crate) trace: u128,
    pub(crate) parent: u64,
    pub(crate) id: u64,
}

impl Span {
    /// A span for this hop, below the one in `traceparent` if that is well formed.
    pub(crate) fn of(headers: &HeaderMap) -> Self {
        let parent = headers.get(TRACEPARENT).and_then(|it| it.to_str().ok()).and_then(parse);
        let (trace, parent) = parent.unwrap_or_else(|| (rand::rng().random(), 0));
        Self { trace, parent, id: rand::rng().random() }
    }

    /// A span below this one.
    pub(crate) fn child(&self) -> Self {
        Self { trace: self.trace, parent: self.id, id: rand::rng().random() }
    }

    /// The header that tells the next hop of this span.
    pub(crate) fn header(&self) -> HeaderValue {
        let text = format!("00-{:032x}-{:016x}-01", self.trace, self.id);
        HeaderValue::from_str(&text).expect("hexadecimal digits and hyphens")
    }
}

fn parse(text: &str) -> Option<(u128, u64)> {
    let mut parts = text.split('-');
    let (version, trace, span) = (parts.next()?, parts.next()?, parts.next()?);
    if version.len() != 2 || trace.len() != 32 || span.len() != 16 {
        return None;
    }
    let trace = u128::from_str_radix(trace, 16).ok().filter(|it| *it != 0)?;
    Some((trace, u64::from_str_radix(span, 16).ok()?))
}
