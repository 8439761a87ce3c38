//! Identification of callers by their keys or organisation headers.

use http::{HeaderMap, HeaderName, HeaderValue};
use resources::{Access, Config, Document, OrganisationIndex};

use super::names;
use crate::identity::{Caller, Denied};

const RESOURCES: &str = r#"[
    {"kind":"Service","name":"s","floor":0,"slots":1},
    {"kind":"Route","name":"closed","path":"/c","service":"s","deadline_ms":1,"repeat":"never"},
    {"kind":"Route","name":"open","path":"/o","service":"s","deadline_ms":1,"repeat":"never","public":true},
    {"kind":"Organisation","name":"a","weight":3,"keys":["key-a"],"priority":0,"rate_per_s":1}]"#;

fn config(access: Access) -> Config {
    let resources = serde_json::from_str(RESOURCES).unwrap();
    Config::compile(Document { access, resources, ..Document::default() }).unwrap()
}

fn headers(pairs: &[(&'static str, &[u8])]) -> HeaderMap {
    let pair = |(name, value): &(&'static str, &[u8])| {
        (HeaderName::from_static(name), HeaderValue::from_bytes(value).unwrap())
    };
    let mut map = HeaderMap::new();
    pairs.iter().map(pair).for_each(|(name, value)| {
        map.append(name, value);
    });
    map
}

/// Checks the organisation of a request, or why it is rejected, and the headers for the endpoint.
fn check(
    config: &Config,
    path: &str,
    presented: &[(&'static str, &[u8])],
    expected: Result<&str, Denied>,
) {
    let route = config.routes.find("", path, "GET").unwrap();
    let headers = headers(presented);
    let caller = Caller::identify(&config.organisations, route, &names(), &headers);
    assert_eq!(caller.as_ref().map(Caller::name).map_err(|it| *it), expected, "{presented:?}");
    let Ok(caller) = caller else { return };
    let mut out = headers;
    caller.set_headers(&config.organisations, &names(), &mut out);
    let sent = out.get("x-organisation").map(|it| it.to_str().unwrap());
    assert_eq!(sent.unwrap_or(""), expected.unwrap(), "{presented:?}");
    assert!(!out.contains_key("x-key"), "{presented:?}");
}

#[test]
fn keys_are_required_except_on_public_routes() {
    let config = config(Access::Keys);
    let forged: (&'static str, &[u8]) = ("x-organisation", b"b");
    check(&config, "/c", &[("x-key", b"key-a"), forged], Ok("a"));
    check(&config, "/c", &[forged], Err(Denied::NoKey));
    check(&config, "/c", &[("x-key", b"")], Err(Denied::NoKey));
    check(&config, "/c", &[("x-key", b"key-b")], Err(Denied::UnknownKey));
    check(&config, "/c", &[("x-key", b"key-a"), ("x-key", b"key-a")], Err(Denied::SeveralKeys));
    check(&config, "/c", &[("x-key", &[b'k'; 8_192])], Err(Denied::Malformed));
    check(&config, "/c", &[("x-key", b"k\xc3\xa9y")], Err(Denied::Malformed));
    // On a public route a valid key still identifies the caller.
    check(&config, "/o", &[forged], Ok(""));
    check(&config, "/o", &[("x-key", b"key-b")], Ok(""));
    check(&config, "/o", &[("x-key", b"key-a")], Ok("a"));
}

#[test]
fn with_open_access_callers_are_identified_by_the_organisation_header() {
    let config = config(Access::Open);
    check(&config, "/c", &[("x-organisation", b"a")], Ok("a"));
    check(&config, "/c", &[], Ok(""));
}

#[test]
fn settings_of_the_organisation_take_precedence_over_the_route() {
    let config = config(Access::Keys);
    let route = config.routes.find("", "/c", "GET").unwrap();
    let headers = headers(&[("x-key", b"key-a")]);
    let caller = Caller::identify(&config.organisations, route, &names(), &headers).unwrap();
    assert_eq!((caller.weight(), caller.is_limited()), (3, true));
    assert_eq!(caller.priority(), Some(resources::Priority(0)));
    assert!(caller.is_still_valid(&config.organisations));
    assert!(!caller.is_still_valid(&OrganisationIndex::default()), "the key was revoked");
}
