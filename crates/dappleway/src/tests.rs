use std::time::{Duration, Instant};

use expect_test::{Expect, expect};

use crate::explain::explain_text;
use crate::logging::Budget;
use crate::settings::{Level, Log, Settings, changed_keys, parse};

fn check(text: &str, expect: Expect) {
    let lines = match parse(text) {
        Ok(_) => vec!["accepted".to_owned()],
        Err(problems) => problems.iter().map(ToString::to_string).collect(),
    };
    expect.assert_eq(&lines.join("\n"));
}

#[test]
fn the_example_is_accepted() {
    check(&toml::to_string(&Settings::example()).unwrap(), expect!["accepted"]);
}

#[test]
fn all_unknown_keys_are_named_with_the_nearest_known_one() {
    check(
        "[node]\nadr = 1\n[trafic]\n[operator]\nlisten = 1\nlissen = 2\n",
        expect![[r#"
            node.adr: is no setting: did you mean `addr`?
            operator.lissen: is no setting: did you mean `listen`?
            trafic: is no setting: did you mean `traffic`?
            traffic: the section is missing: add [traffic]
            platform: the section is missing: add [platform]
            fleet: the section is missing: add [fleet]"#]],
    );
}

#[test]
fn all_values_out_of_range_are_named_with_their_remedy() {
    let mut settings = Settings::example();
    settings.traffic.threads = 0;
    settings.dispatch.repeat_extra = -1.0;
    settings.dispatch.repeat_window_ms = 0;
    settings.node.addr = "0.0.0.0:0".parse().unwrap();
    check(
        &toml::to_string(&settings).unwrap(),
        expect![[r#"
            node.addr: write the VM's own address
            node.addr: write a port that peers can know
            traffic.threads: write 1 to 64
            dispatch.repeat_extra: write 0.0 or more
            dispatch.repeat_window_ms: write 100 or more"#]],
    );
}

#[test]
fn missing_sections_and_wrong_values_are_all_named() {
    check(
        "[node]\naddr = \"nowhere\"\n[traffic]\nlisten = 5\n[operator]\nlisten = \"127.0.0.1:1\"\n",
        expect![[r#"
            node: invalid socket address syntax in `addr`
            traffic: invalid type: integer `5`, expected socket address in `listen`
            platform: the section is missing: add [platform]
            fleet: the section is missing: add [fleet]"#]],
    );
}

#[test]
fn a_change_of_settings_names_the_keys_that_differ() {
    let old = Settings::example();
    let mut new = old.clone();
    new.log.level = Level::Debug;
    new.fleet.seed_port = None;
    assert_eq!(changed_keys(&old, &new), ["fleet.seed_port", "log.level"]);
    assert!(changed_keys(&old, &old).is_empty());
}

const LOGS: &str = r#"
{"msg":"request","ts":"10:00:00.400","node":"n1","request_id":"r1","status":500,"outcome":"answered"}
not a record
  0.1 front-1 {"msg":"send","ts":"10:00:00.100","node":"n1","request_id":"r1","endpoint":"i-1","outcome":"failed","choice":"good"}
{"msg":"endpoint state","ts":"10:00:00.200","node":"n2","endpoint":"i-1","reason":"used last: a request failed"}
{"msg":"endpoint state","ts":"10:00:00.200","node":"n2","endpoint":"i-2","reason":"another endpoint"}
{"msg":"endpoint state","ts":"10:00:09.000","node":"n2","endpoint":"i-1","reason":"long after"}
{"msg":"request","ts":"10:00:00.300","node":"n1","request_id":"r2","status":200}
"#;

#[test]
fn a_request_is_explained_from_the_logs_of_several_nodes() {
    let lines = explain_text(LOGS, "r1").unwrap().join("\n");
    expect![[r#"
        10:00:00.100 n1 send: choice="good" endpoint="i-1" outcome="failed"
        10:00:00.200 n2 endpoint state: endpoint="i-1" reason="used last: a request failed"
        10:00:00.400 n1 request: outcome="answered" status=500"#]]
    .assert_eq(&lines);
    assert_eq!(explain_text(LOGS, "r3"), None, "no line is about the request");
}

fn log_budget(lines_per_s: u32, healthy_requests_per_s: u32) -> Budget {
    let settings = Log { lines_per_s, healthy_requests_per_s, ..Log::default() };
    let opts = prometheus::Opts::new("left_out", "Lines left out.");
    Budget::new(&settings, prometheus::IntCounterVec::new(opts, &["reason"]).unwrap())
}

#[test]
fn lines_are_left_out_by_kind_and_counted() {
    let budget = log_budget(3, 1);
    let start = Instant::now();
    let admitted = |text, level, ms: u64| {
        let now = start + Duration::from_millis(ms);
        (0..10).filter(|_| budget.admits_kind(text, level, now)).count()
    };
    assert_eq!(admitted("request", slog::Level::Info, 0), 1);
    assert_eq!(admitted("request", slog::Level::Warning, 0), 3, "failures have their own budget");
    assert_eq!(admitted("send", slog::Level::Info, 0), 3);
    assert_eq!(admitted("send", slog::Level::Info, 1_000), 3);
    let left_out = budget.take_left_out();
    let mut left_out: Vec<_> =
        left_out.iter().map(|it| (it.kind, it.severity.as_short_str(), it.lines)).collect();
    left_out.sort_unstable();
    let expected = [("request", "INFO", 9), ("request", "WARN", 7), ("send", "INFO", 14)];
    assert_eq!(left_out, expected);
    assert!(budget.take_left_out().is_empty());
}
