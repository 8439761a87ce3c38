mod identity;

use std::time::Duration;

use bytes::Bytes;
use expect_test::{Expect, expect};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, Uri};
use policy::{Kind, RequestKey};
use resources::Config;

use crate::answer::GiveUp;
use crate::attempt::answer_kind;
use crate::body::ReceivedBody;
use crate::chunks::{Extent, is_chunked};
use crate::foreign::{Foreign, check_answer};
use crate::headers::{HeaderNames, IdEcho, Span, deadline_of, host_of, strip_hop_by_hop};
use crate::request_key::request_key;
use crate::snapshot::Snapshot;

fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    let pair = |(name, value): &(&'static str, &'static str)| {
        (HeaderName::from_static(name), HeaderValue::from_static(value))
    };
    pairs.iter().map(pair).collect()
}

fn names() -> HeaderNames {
    HeaderNames {
        request_id: HeaderName::from_static("x-id"),
        id_echo: IdEcho::Always,
        signature: Some(HeaderName::from_static("x-signature")),
        deadline: HeaderName::from_static("x-left"),
        target_endpoint: HeaderName::from_static("x-wanted"),
        not_run: HeaderName::from_static("x-not-run"),
        rate_limit: HeaderName::from_static("x-limit"),
        leaving: HeaderName::from_static("x-leaving"),
        api_key: HeaderName::from_static("x-key"),
        organisation: HeaderName::from_static("x-organisation"),
    }
}

#[test]
fn hop_by_hop_headers_and_those_named_by_connection_are_removed() {
    let mut map = headers(&[
        ("connection", "close, x-private"),
        ("x-private", "1"),
        ("te", "trailers"),
        ("transfer-encoding", "chunked"),
        ("upgrade", "h2c"),
        ("x-kept", "1"),
    ]);
    strip_hop_by_hop(&mut map);
    let left: Vec<_> = map.keys().map(HeaderName::as_str).collect();
    assert_eq!(left, ["x-kept"]);
}

#[test]
fn the_host_comes_without_its_port_and_in_lower_case() {
    let check = |uri: &str, host: &'static str, expected: &str| {
        let uri: Uri = uri.parse().unwrap();
        assert_eq!(host_of(&uri, &headers(&[("host", host)])), expected);
    };
    check("/a", "Agenda.Example:8080", "agenda.example");
    check("/a", "[::1]:80", "[::1]");
    check("/a", "[::1]", "[::1]");
    check("http://other.example/a", "ignored", "other.example");
}

#[test]
fn a_deadline_that_is_no_number_is_ignored() {
    let names = names();
    let deadline = |text| deadline_of(&names, &headers(&[("x-left", text)]));
    assert_eq!(deadline("70"), Some(Duration::from_millis(70)));
    assert_eq!(deadline("soon"), None);
}

#[test]
fn a_valid_trace_is_continued_and_an_invalid_one_is_replaced() {
    let text = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let span = Span::from_headers(&headers(&[("traceparent", text)]));
    assert_eq!((span.trace, span.parent), (0x0af7651916cd43dd8448eb211c80319c, 0xb7ad6b7169203331));
    let child = span.child();
    assert_eq!((child.trace, child.parent), (span.trace, span.id));
    for invalid in ["", "00-1-2-01", "00-00000000000000000000000000000000-b7ad6b7169203331-01"] {
        let span = Span::from_headers(&headers(&[("traceparent", invalid)]));
        assert_eq!(span.parent, 0);
        assert_ne!(span.trace, 0);
    }
}

fn check(give_up: GiveUp, expect: Expect) {
    let res = give_up.response();
    let header = |name: &str| res.headers()[name].to_str().unwrap().to_owned();
    let outcome = header("x-request-outcome");
    let line = format!("{} {outcome} {}", res.status().as_u16(), header("retry-after"));
    expect.assert_eq(&line);
}

#[test]
fn a_request_that_is_given_up_states_whether_it_ran_and_when_to_retry() {
    let retry_after = Duration::from_millis(1_200);
    check(GiveUp::overloaded(retry_after), expect!["503 not-run 1.200"]);
    check(GiveUp::not_run(retry_after), expect!["503 not-run 1.200"]);
    check(GiveUp::no_configuration(), expect!["503 not-run 0.500"]);
    check(GiveUp::may_be_outdated(), expect!["503 not-run 0.500"]);
    check(GiveUp::unknown(retry_after), expect!["502 unknown 1.200"]);
    check(GiveUp::timed_out(retry_after), expect!["504 unknown 1.200"]);
}

#[test]
fn a_split_is_kept_over_short_stretches() {
    let text = r#"{"version":1,"resources":[
        {"kind":"Service","name":"a","floor":0,"slots":1},
        {"kind":"Service","name":"b","floor":0,"slots":1},
        {"kind":"Route","name":"r","path":"/","deadline_ms":1,"repeat":"never",
         "split":[{"service":"a","weight":90},{"service":"b","weight":10}]}]}"#;
    let config = Config::compile(serde_json::from_str(text).unwrap()).unwrap();
    let snapshot = Snapshot::new(config);
    let route = snapshot.config.routes.iter().next().unwrap().clone();
    for _ in 0..50 {
        let to_b = (0..100).filter(|_| snapshot.pick_service(&route) == "b").count();
        assert!((8..=12).contains(&to_b), "{to_b} of 100 went to the share of 10");
    }
}

/// An endpoint that answers 504 just before the deadline has stopped on time. Such answers must not
/// count as failures, which would make a healthy endpoint look unhealthy on routes with short
/// deadlines.
#[test]
fn the_end_of_the_deadline_is_no_fault_of_the_endpoint() {
    let check = |status, left_ms, expected| {
        assert_eq!(
            answer_kind(status, Duration::from_millis(left_ms)),
            expected,
            "{status} {left_ms}"
        );
    };
    check(StatusCode::GATEWAY_TIMEOUT, 0, Kind::TimedOut);
    check(StatusCode::GATEWAY_TIMEOUT, 1, Kind::TimedOut);
    check(StatusCode::GATEWAY_TIMEOUT, 500, Kind::Failed);
    check(StatusCode::INTERNAL_SERVER_ERROR, 0, Kind::Failed);
    check(StatusCode::NOT_FOUND, 0, Kind::Answered);
}

/// The key of a request with these headers.
fn key(
    method: &str,
    uri: &str,
    pairs: &[(&'static str, &'static str)],
    body: &'static str,
) -> RequestKey {
    let body = ReceivedBody::Complete(
        Bytes::from_static(body.as_bytes()),
        crate::body_memory::Reservation::default(),
    );
    request_key(&names(), &method.parse().unwrap(), &uri.parse().unwrap(), &headers(pairs), &body)
}

#[test]
fn an_answer_is_foreign_unless_it_has_all_that_this_platform_promises() {
    let sent = headers(&[("x-id", "1")]);
    let check = |status: u16, pairs: &[(&'static str, &'static str)]| {
        check_answer(&names(), &sent, StatusCode::from_u16(status).unwrap(), &headers(pairs))
    };
    let (id, signature, encoding) =
        (("x-id", "1"), ("x-signature", "s"), ("content-encoding", "gzip"));
    assert_eq!(check(200, &[id, signature]), Ok(()));
    assert_eq!(check(304, &[id]), Ok(()));
    assert_eq!(check(503, &[id, ("x-not-run", "1")]), Ok(()));
    for status in [200, 206, 304, 400, 421, 429, 500, 503] {
        assert_eq!(check(status, &[signature, ("x-not-run", "1")]), Err(Foreign::NoId));
        assert_eq!(check(status, &[("x-id", "2"), signature]), Err(Foreign::OtherId));
        assert_eq!(check(status, &[id, signature, encoding]), Err(Foreign::Encoded));
    }
    assert_eq!(check(101, &[id, signature]), Err(Foreign::Switching));
    assert_eq!(check(206, &[id]), Err(Foreign::Unsigned));
    assert_eq!(check(200, &[id, ("x-signature", "")]), Err(Foreign::Unsigned));
}

#[test]
fn bodies_in_chunks_are_recognized() {
    let check = |body: &str, whole, start| {
        assert_eq!(is_chunked(body.as_bytes(), Extent::Whole), whole, "{body:?}");
        assert_eq!(is_chunked(body.as_bytes(), Extent::Start), start, "{body:?}");
    };
    check("2\r\nok\r\n0\r\n\r\n", true, false);
    check("2;a=b\r\nok\r\n0\r\nx: y\r\n\r\n", true, false);
    check("0\r\n\r\n", true, false);
    check("2\r\nok\r\n2\r\no", false, true);
    check("2\r\nok\r\n", false, true);
    for body in
        ["", "2", "2\r\no", "2\r\nok\r", "0\r\n", "0\r\n1\r\n", "2\r\nokay\r\n", "+2\r\nok\r\n"]
    {
        check(body, false, false);
    }
    check("ffffffffffffffff\r\nok\r\n", false, false);
    check(&"1".repeat(2_000), false, false);
}

#[test]
fn a_platform_without_signatures_and_echoed_ids_is_served() {
    let names = HeaderNames { id_echo: IdEcho::Optional, signature: None, ..names() };
    let check = |pairs: &[(&'static str, &'static str)]| {
        check_answer(&names, &headers(&[("x-id", "1")]), StatusCode::OK, &headers(pairs))
    };
    assert_eq!(check(&[]), Ok(()));
    assert_eq!(check(&[("x-id", "2")]), Err(Foreign::OtherId));
}

#[test]
fn requests_that_an_endpoint_treats_alike_have_the_same_key() {
    let usual = [("host", "h"), ("x-organisation", "o"), ("x-request-id", "1")];
    let it = key("POST", "/x?a=1", &usual, "body");
    let again = [("host", "h"), ("x-organisation", "o"), ("x-request-id", "2")];
    assert_eq!(it, key("POST", "/x?a=1", &again, "body"), "the same request again");
    let elsewhere = [("host", "H:8080"), usual[1], usual[2]];
    assert_eq!(it, key("POST", "/x?a=1", &elsewhere, "body"), "the same request at another node");
    let others = [
        key("PUT", "/x?a=1", &usual, "body"),
        key("POST", "/x?a=2", &usual, "body"),
        key("POST", "/x?a=1", &usual, "bodies"),
        key("POST", "/x?a=1", &[("host", "other"), usual[1]], "body"),
        key("POST", "/x?a=1", &[usual[0], ("x-organisation", "p")], "body"),
        key("POST", "/x?a=1", &[usual[0], usual[1], ("authorization", "q")], "body"),
    ];
    assert!(others.iter().all(|other| *other != it), "{others:?}");
}

#[test]
fn memory_for_long_bodies_is_bounded_and_released() {
    let used = prometheus::IntGauge::new("used", "Bytes.").unwrap();
    let body_memory = crate::body_memory::BodyMemory::new(256 * 1024, used.clone());
    let (mut one, mut other) =
        <(crate::body_memory::Reservation, crate::body_memory::Reservation)>::default();
    assert!(body_memory.grow(&mut one, 100_000) && body_memory.grow(&mut one, 200_000));
    assert!(body_memory.grow(&mut one, 150_000), "the reservation is already large enough");
    assert!(!body_memory.grow(&mut other, 100_000));
    assert_eq!(used.get(), 13 * 16 * 1024);
    drop(one);
    assert!(body_memory.grow(&mut other, 256 * 1024));
    drop(other);
    assert_eq!(used.get(), 0);
}
