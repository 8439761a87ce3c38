use expect_test::{Expect, expect};

use crate::{CallerLimits, Config, Document, Floor, KeyDigest, Resource, validate};

const GOOD: &str = r#"[
  {"kind":"Service","name":"slots","floor":"60%","slots":3,"endpoints":[
    {"id":"i-1","addr":"127.0.0.1:9001","failure_domain":"a"},{"id":"i-2","addr":"127.0.0.1:9002","failure_domain":"b"}]},
  {"kind":"Route","name":"lookup","path":"/slots","methods":["GET"],"service":"slots","deadline_ms":500,"repeat":"anytime","hedge":true},
  {"kind":"Route","name":"host","host":"x.example","path":"/","service":"slots","deadline_ms":500,"repeat":"never"},
  {"kind":"Route","name":"below","path":"/packs/","split":[{"service":"slots","weight":9}],"deadline_ms":500,"repeat":"never"}
]"#;

fn parse(text: &str) -> Vec<Resource> {
    serde_json::from_str(text).unwrap()
}

fn check_problems(text: &str, expect: Expect) {
    let lines: Vec<_> = validate(&parse(text)).iter().map(ToString::to_string).collect();
    expect.assert_eq(&lines.join("\n"));
}

#[test]
fn valid_documents_have_no_problems() {
    check_problems(GOOD, expect![""]);
}

#[test]
fn every_problem_is_reported_with_its_remedy() {
    check_problems(
        r#"[
  {"kind":"Service","name":"s","floor":3,"slots":0,"endpoints":[{"id":"i-1","addr":"127.0.0.1:1","failure_domain":"a"},{"id":"i-1","addr":"127.0.0.1:1","failure_domain":""}]},
  {"kind":"Route","name":"r","path":"x//","methods":["get"],"service":"t","split":[{"service":"s","weight":0}],"max_sends":0,"deadline_ms":0,"repeat":"never","hedge":true},
  {"kind":"Route","name":"r","path":"x//","methods":["get"],"service":"t","deadline_ms":1,"repeat":"never"},
  {"kind":"Organisation","name":"o","weight":0}]"#,
        expect![[r#"
            Route/r: name: the name is taken: rename one of the two
            Service/s: endpoints: `i-1` is listed twice: remove one
            Service/s: endpoints: 127.0.0.1:1: name its failure domain
            Service/s: floor: 3 is above the 2 endpoints: lower it
            Service/s: slots: write 1 or more
            Route/r: split: give `s` a weight of 1 or more
            Route/r: split: write either `service` or `split`
            Route/r: path: start it with `/`
            Route/r: path: drop the empty segment: prefixes match whole segments
            Route/r: max_sends: write 1 or more
            Route/r: deadline_ms: write 1 or more
            Route/r: hedge: write `repeat = "anytime"` or `hedge = false`
            Route/r: methods: write methods in upper case
            Route/r: service: publish a Service `t`
            Route/r: path: start it with `/`
            Route/r: path: drop the empty segment: prefixes match whole segments
            Route/r: methods: write methods in upper case
            Route/r: path: get *x// is taken by another route
            Organisation/o: weight: write 1 or more"#]],
    );
}

#[test]
fn unknown_fields_are_refused() {
    let err = serde_json::from_str::<Resource>(r#"{"kind":"Organisation","name":"o","wieght":1}"#)
        .unwrap_err();
    assert!(err.to_string().contains("unknown field `wieght`"), "{err}");
}

#[test]
fn floors_round_up_and_never_exceed_the_total() {
    for (floor, total, expected) in
        [(Floor::Percent(60), 15, 9), (Floor::Percent(34), 3, 2), (Floor::Count(9), 4, 4)]
    {
        assert_eq!(floor.endpoints(total), expected);
    }
    assert!(serde_json::from_str::<Floor>("\"101%\"").is_err());
}

#[test]
fn longest_prefix_host_and_method_decide() {
    let limits = CallerLimits::default();
    let config = Config::compile(Document {
        version: 7,
        left_out: Vec::new(),
        limits,
        access: Default::default(),
        resources: parse(GOOD),
    })
    .unwrap();
    let find = |host: &str, path: &str, method: &str| {
        config.routes.find(host, path, method).map(|it| it.name.to_string())
    };
    assert_eq!(find("y", "/slots/today", "GET").as_deref(), Some("lookup"));
    assert_eq!(find("y", "/slotsx", "GET"), None);
    assert_eq!(find("y", "/slots", "POST"), None);
    assert_eq!(find("x.example", "/slots", "POST").as_deref(), Some("host"));
    assert_eq!(find("y", "/packs/1", "POST").as_deref(), Some("below"));
    assert_eq!(find("y", "/packs", "POST"), None);
    assert_eq!(find("x.example", "/packs", "POST").as_deref(), Some("host"));
    assert_eq!(find("y", "", "POST"), None);
}

const ORGANISATIONS: &str = r#"[
  {"kind":"Organisation","name":"a","weight":2,"keys":["key-1","key-2"],"rate_per_s":10,"burst":5,"priority":0},
  {"kind":"Organisation","name":"b","keys":["key-3"]}]"#;

fn keyed(text: &str) -> Config {
    let document =
        Document { access: crate::Access::Keys, resources: parse(text), ..Document::default() };
    Config::compile(document).unwrap()
}

#[test]
fn organisations_are_found_by_their_keys() {
    let config = keyed(ORGANISATIONS);
    let name = |key: &str| {
        config.organisations.by_key(KeyDigest::of(key.as_bytes())).map(|it| it.name.to_string())
    };
    assert!(config.organisations.require_keys());
    assert_eq!(name("key-2").as_deref(), Some("a"));
    assert_eq!(name("key-3").as_deref(), Some("b"));
    assert_eq!(name("key-4"), None);
    let a = config.organisations.by_name("a").unwrap();
    assert_eq!((a.weight, a.allowance().map(|it| it.burst)), (2, Some(5.0)));
    assert_eq!(config.organisations.by_name("b").unwrap().allowance(), None);
}

#[test]
fn a_document_shows_digests_in_place_of_keys_and_takes_them() {
    let resources = parse(ORGANISATIONS);
    let shown = serde_json::to_string(&resources).unwrap();
    assert!(!shown.contains("key-1") && shown.contains("blake3:"), "{shown}");
    assert_eq!(parse(&shown), resources);
    assert!(!format!("{resources:?}").contains("key-1"));
}

#[test]
fn invalid_keys_and_allowances_are_refused_without_revealing_keys() {
    check_problems(
        r#"[{"kind":"Organisation","name":"a","keys":["key-1"],"rate_per_s":-1,"burst":-1e300},
            {"kind":"Organisation","name":"b","keys":["key-2","key-1"]}]"#,
        expect![[r#"
            Organisation/a: rate_per_s: write a number of 0 or more
            Organisation/a: burst: write a number of 0 or more
            Organisation/b: keys: key 2 is held twice: give it to one organisation"#]],
    );
    let errors = [r#"[""]"#, r#"["blake3:key-1"]"#, r#"[{"key-1":1}]"#].map(|keys| {
        let text = format!(r#"{{"kind":"Organisation","name":"a","keys":{keys}}}"#);
        serde_json::from_str::<Resource>(&text).unwrap_err().to_string()
    });
    assert!(errors.iter().all(|it| !it.contains("key-1")), "{errors:?}");
    expect!["a key is empty: remove it"].assert_eq(&errors[0]);
}

#[test]
fn what_cannot_be_served_is_left_out_and_its_prefix_is_kept() {
    let text = GOOD
        .replace(
            r#""path":"/packs/","split":[{"service":"slots","weight":9}]"#,
            r#""path":"/packs/","service":"gone""#,
        )
        .replace(r#""name":"host""#, r#""name":"lookup""#);
    let mut resources = parse(&text);
    let problems = crate::leave_out_invalid(&mut resources);
    let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
    expect![[r#"
        Route/lookup: name: the name is taken: rename one of the two
        Route/below: service: publish a Service `gone`"#]]
    .assert_eq(&lines.join("\n"));
    let config = Config::compile(Document { resources, ..Document::default() }).unwrap();
    let suspended = |host, path| config.routes.find(host, path, "GET").map(|it| it.suspended);
    assert_eq!(suspended("y.example", "/slots"), Some(false));
    assert_eq!(suspended("y.example", "/packs/1"), Some(true));
    assert_eq!(suspended("x.example", "/other"), Some(true));
}
