//! Interfaces for operators, tested with real processes: logs, the operator API and its token, the command line and
//! metrics.

use std::path::Path;
use std::time::Duration;

use standin::bed::{Layout, TestBed};
use standin::node::Node;
use standin::upstream::Fault;
use standin::{caller, client};

const BIN: &str = env!("CARGO_BIN_EXE_dappleway");
/// Timeout for the start of a process on a loaded machine.
const START_TIMEOUT: Duration = Duration::from_secs(60);

async fn bed(nodes: usize) -> TestBed {
    TestBed::start(Path::new(BIN), &Layout { nodes, ..Layout::small() }).await.unwrap()
}

/// Log lines fill the pipe and then the queue. Requests must still be answered, and dropped lines must be counted.
#[tokio::test(flavor = "multi_thread")]
async fn a_reader_that_never_reads_standard_output_stalls_nothing() {
    let mut bed = bed(1).await;
    let node = &mut bed.nodes[0];
    let all = "level = \"debug\"\nlines_per_s = 1000000\nhealthy_requests_per_s = 1000000";
    node.edit_settings("level = \"info\"", all).unwrap();
    node.restart_unread().unwrap();
    node.wait_ready(START_TIMEOUT).await.unwrap();
    let summary = caller::run(bed.lookups(800.0, 5.0)).await;
    assert_eq!(summary.answered, summary.sent, "{summary:?}");
    let left_out = bed.metric("dappleway_log_lines_left_out_total").await.unwrap();
    assert!(left_out > 0.0, "the queue was never full, so the test proves nothing");
    let node = &mut bed.nodes[0];
    node.signal("TERM").unwrap();
    assert_eq!(wait_end(node).await, 0, "a planned stop must also succeed");
}

async fn wait_end(node: &mut Node) -> i32 {
    loop {
        match node.exit_code().unwrap() {
            Some(code) => return code,
            None => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

/// Runs a command against a node; returns its exit code, standard output and standard error.
async fn dappleway(node: &Node, args: &[&str]) -> (i32, String, String) {
    let addr = node.addrs.operator.to_string();
    let mut command = tokio::process::Command::new(BIN);
    let out = command.args(args).env("DAPPLEWAY_NODE", addr).output().await.unwrap();
    let text = |it: Vec<u8>| String::from_utf8_lossy(&it).into_owned();
    (out.status.code().unwrap(), text(out.stdout), text(out.stderr))
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_ask_a_node_by_the_command_line() {
    let bed = bed(2).await;
    let node = &bed.nodes[0];
    caller::run(bed.lookups(200.0, 0.5)).await;

    let (code, out, _) = dappleway(node, &["get"]).await;
    assert_eq!(code, 0);
    assert!(out.starts_with("KIND"), "{out}");
    let row = out.lines().find(|it| it.starts_with("Route")).expect("a route is in force");
    let name = row.split_whitespace().nth(1).unwrap();
    let (code, out, err) = dappleway(node, &["get", "Route", name, "--output", "json"]).await;
    assert_eq!(code, 0, "{err}");
    let route: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert_eq!((code, &route["spec"]["name"]), (0, &name.into()));
    let (code, _, err) = dappleway(node, &["get", "Route", "none"]).await;
    assert_eq!(code, 3, "{err}");

    let (code, out, _) = dappleway(node, &["fleet"]).await;
    assert_eq!(code, 0);
    let other = bed.nodes[1].addrs.fleet.to_string();
    assert!(out.contains(&other) && out.contains("DISPATCHED BY"), "{out}");
    let endpoint = bed.resources.iter().find_map(|it| match it {
        resources::Resource::Service(it) => it.endpoints.first().map(|it| it.id.to_string()),
        _ => None,
    });
    let endpoint = endpoint.unwrap();
    let (code, out, _) = dappleway(node, &["explain", &endpoint]).await;
    assert_eq!(code, 0, "{out}");
    assert!(out.contains("sick with a probability of"), "{out}");
    assert_eq!(dappleway(node, &["explain", "i-none"]).await.0, 3);

    let (code, out, _) = dappleway(node, &["watch", "--until", "1"]).await;
    assert_eq!(code, 0);
    assert!(out.contains("is in force"), "{out}");
    let (code, out, _) = dappleway(node, &["completions", "bash"]).await;
    assert!(code == 0 && out.contains("dappleway"));
    let unreachable = &["fleet", "--node", "127.0.0.1:1"];
    assert_eq!(dappleway(node, unreachable).await.0, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_explained_whatever_the_order_of_files_and_id() {
    let dir = tempfile::tempdir().unwrap();
    let bed = bed(1).await;
    let line =
        r#"{"msg":"request","ts":"10:00:00.400","node":"n1","request_id":"r1","status":500}"#;
    let (a, b) = (dir.path().join("a.log"), dir.path().join("b.log"));
    std::fs::write(&a, line).unwrap();
    std::fs::write(&b, "").unwrap();
    let (a, b) = (a.to_str().unwrap(), b.to_str().unwrap());
    for args in [["explain", "--logs", a, b, "r1"], ["explain", "r1", "--logs", a, b]] {
        let (code, out, err) = dappleway(&bed.nodes[0], &args).await;
        assert!(code == 0 && out.contains("status=500"), "{out}{err}");
    }
    let (code, ..) = dappleway(&bed.nodes[0], &["explain", "--logs", a, b, "r2"]).await;
    assert_eq!(code, 3);
}

/// No endpoint can continue the download, so it is aborted. The logs must say at which endpoint and why.
#[tokio::test(flavor = "multi_thread")]
async fn a_download_that_was_broken_off_is_explained_from_its_identity() {
    let bed = bed(1).await;
    let node = &bed.nodes[0];
    bed.upstreams.iter().for_each(|it| it.set_fault(Fault::CutBody, 1.0, 1.0));
    let got = client::get(node.addrs.traffic, "/archives/x?bytes=3000000").await;
    assert!(got.is_err(), "the caller must see that the answer is incomplete");
    let log = node.log.to_str().unwrap();
    let text = loop {
        let text = std::fs::read_to_string(&node.log).unwrap();
        if text.contains("download broken off") {
            break text;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    let line = text.lines().find(|it| it.contains("download broken off")).unwrap();
    let line: serde_json::Value = serde_json::from_str(line).unwrap();
    let id = line["request_id"].as_str().unwrap();
    let (code, out, err) = dappleway(node, &["explain", "--logs", log, id]).await;
    assert!(code == 0 && out.contains("the endpoint broke off its answer"), "{out}{err}");
    assert!(out.contains("sent_bytes"), "{out}");
}

#[tokio::test(flavor = "multi_thread")]
async fn with_a_token_the_api_asks_for_it_and_it_is_replaced_without_a_restart() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("token");
    std::fs::write(&file, "a token of enough bytes\n").unwrap();
    let path = file.to_str().unwrap();
    let mut bed = bed(1).await;
    let node = &mut bed.nodes[0];
    assert_eq!(dappleway(node, &["fleet"]).await.0, 0, "without a token: from the same VM");
    let setting = format!("[operator]\ntoken_file = \"{path}\"");
    node.edit_settings("[operator]", &setting).unwrap();
    node.restart().unwrap();
    node.wait_ready(START_TIMEOUT).await.unwrap();

    for open in ["/v1/live", "/v1/ready", "/readyz", "/metrics"] {
        let got = client::get(node.addrs.operator, open).await.unwrap();
        assert_eq!(got.status, 200, "{open}");
    }
    for closed in ["/v1/fleet", "/v1/resources", "/v1/resources/Route/lookup", "/v1/watch?after=0"]
    {
        let got = client::get(node.addrs.operator, closed).await.unwrap();
        assert_eq!(got.status, 401, "{closed}");
    }
    let got = client::call(node.addrs.operator, "PUT", "/v1/faults/cut", r#"{"to":[]}"#).await;
    assert!(got.unwrap().status.is_client_error());
    let (code, _, err) = dappleway(node, &["fleet"]).await;
    assert!(code == 2 && err.contains("a token is needed"), "{err}");
    let with_token = ["fleet", "--token-file", path];
    assert_eq!(dappleway(node, &with_token).await.0, 0);

    let old = dir.path().join("old");
    std::fs::copy(&file, &old).unwrap();
    std::fs::write(&file, "another token of enough bytes").unwrap();
    node.signal("HUP").unwrap();
    while dappleway(node, &with_token).await.0 != 0 {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let (code, _, err) = dappleway(node, &["fleet", "--token-file", old.to_str().unwrap()]).await;
    assert!(code == 2 && err.contains("not the one of this node"), "{err}");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_metrics_tell_of_endpoints_repeats_the_platform_and_what_is_in_force() {
    let bed = bed(1).await;
    bed.upstreams[0].set_fault(Fault::Error, 1.0, 1.0);
    caller::run(bed.lookups(200.0, 1.0)).await;
    while bed.metric("dappleway_repeats_total").await.unwrap() == 0.0 {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let text = client::get(bed.nodes[0].addrs.operator, "/metrics").await.unwrap().text();
    for name in [
        "dappleway_endpoints{state=\"healthy\"}",
        "dappleway_repeats_total{outcome=\"granted\"}",
        "dappleway_repeat_budget{part=\"allowed\"}",
        "dappleway_platform_calls_total",
        "dappleway_platform_age_seconds",
        "dappleway_config_version",
        "dappleway_config_age_seconds",
        "dappleway_registry_revision",
        "dappleway_nodes",
    ] {
        assert!(text.lines().any(|it| it.starts_with(name)), "{name}: {text}");
    }
}
