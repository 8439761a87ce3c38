//! API keys of callers and allowances of organisations, with real processes.
//!
//! The tests wait for conditions and assert no durations.

use std::path::Path;
use std::time::Duration;

use standin::bed::{Layout, TestBed};
use standin::client::{self, ReceivedAnswer};
use standin::platform::KeyedOrganisation;
use standin::upstream::{ECHOED_KEY, ECHOED_ORGANISATION};
use tokio::time::{Instant, sleep};

const BIN: &str = env!("CARGO_BIN_EXE_dappleway");
const ALICE: &str = "alice-0123456789abcdef";
const ALICE_TOO: &str = "alice-fedcba9876543210";
const BOB: &str = "bob-0123456789abcdef0";

fn unlimited(name: &str, keys: &[&str]) -> KeyedOrganisation {
    let keys = keys.iter().map(ToString::to_string).collect();
    KeyedOrganisation { name: name.to_owned(), keys, rate_per_s: 0.0, burst: 0.0 }
}

async fn bed(organisations: &[KeyedOrganisation]) -> TestBed {
    let bed = TestBed::start(Path::new(BIN), &Layout::small()).await.unwrap();
    publish(&bed, organisations).await;
    bed
}

async fn publish(bed: &TestBed, organisations: &[KeyedOrganisation]) {
    let version = bed.platform.publish_keyed(&bed.resources, organisations);
    bed.wait_in_force(version).await.unwrap();
}

/// Sends a lookup with these headers to a node. While a node has no freshness confirmation of its configuration, the
/// node answers requests with unknown keys by 503, so the lookup is repeated until the node is up to date.
async fn lookup(bed: &TestBed, node: usize, headers: &[(&str, &str)]) -> ReceivedAnswer {
    let limit = Instant::now() + Duration::from_secs(60);
    loop {
        let got =
            client::get_with(bed.nodes[node].addrs.traffic, "/slots/1", headers).await.unwrap();
        let is_unconfirmed = got.status.as_u16() == 503
            && got.header("x-request-outcome") == "not-run"
            && got.text().contains("may have missed a change of configuration");
        if !is_unconfirmed {
            return got;
        }
        assert!(Instant::now() < limit, "node {node} is never up to date: {}", got.text());
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_key_decides_whose_a_request_is_and_stays_with_the_proxy() {
    let bed = bed(&[unlimited("alice", &[ALICE, ALICE_TOO]), unlimited("bob", &[BOB])]).await;
    for (key, name) in [(ALICE, "alice"), (ALICE_TOO, "alice"), (BOB, "bob")] {
        let forged = [("x-api-key", key), ("x-tenant", "mallory"), ("connection", "x-tenant")];
        let got = lookup(&bed, 0, &forged).await;
        let forwarded = (got.header(ECHOED_ORGANISATION), got.header(ECHOED_KEY));
        assert_eq!((got.status.as_u16(), forwarded), (200, (name, "")), "{key}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_valid_key_nothing_runs() {
    let bed = bed(&[unlimited("alice", &[ALICE])]).await;
    let long = "k".repeat(8 * 1024);
    let cases: [(&[(&str, &str)], u16); 6] = [
        (&[], 401),
        (&[("x-api-key", "")], 401),
        (&[("x-api-key", "nobody's")], 401),
        (&[("x-api-key", &long)], 400),
        (&[("x-api-key", "schl\u{fc}ssel")], 400),
        (&[("x-api-key", ALICE), ("x-api-key", BOB)], 400),
    ];
    for (headers, status) in cases {
        let got = lookup(&bed, 0, headers).await;
        assert_eq!(got.status.as_u16(), status, "{headers:.40?}");
        assert_eq!(got.header("x-request-outcome"), "not-run", "{headers:.40?}");
    }
    let run: u64 = bed.upstreams.iter().map(|it| it.counts().run).sum();
    assert_eq!(run, 0);
}

/// A key that is removed from the configuration is no longer accepted by any node; the other keys stay valid.
#[tokio::test(flavor = "multi_thread")]
async fn keys_come_and_go_with_the_configuration() {
    let bed = bed(&[unlimited("alice", &[ALICE])]).await;
    publish(&bed, &[unlimited("alice", &[ALICE_TOO]), unlimited("bob", &[BOB])]).await;
    for node in 0..bed.nodes.len() {
        let status = async |key| lookup(&bed, node, &[("x-api-key", key)]).await.status.as_u16();
        assert_eq!(status(ALICE).await, 401);
        assert_eq!((status(ALICE_TOO).await, status(BOB).await), (200, 200));
    }
    // A key that two organisations list belongs to neither; the rest of the configuration is valid. Requests with keys
    // that another node may know are answered by 503 instead of 401.
    let shared = [unlimited("alice", &[ALICE, ALICE_TOO]), unlimited("bob", &[ALICE])];
    publish(&bed, &shared).await;
    wait_for_log(&bed, "key 1 is held twice").await;
    for node in 0..bed.nodes.len() {
        let status = async |key| lookup(&bed, node, &[("x-api-key", key)]).await.status.as_u16();
        assert_eq!((status(ALICE).await, status(BOB).await), (503, 503));
        assert_eq!(status(ALICE_TOO).await, 200);
    }
}

/// A key is a secret and must not occur in the logs or API responses of a node.
#[tokio::test(flavor = "multi_thread")]
async fn no_key_is_logged_or_shown() {
    let bed = bed(&[unlimited("alice", &[ALICE]), unlimited("bob", &[BOB])]).await;
    for key in [ALICE, "a-key-that-nobody-holds"] {
        lookup(&bed, 0, &[("x-api-key", key)]).await;
    }
    // With shifted columns, the configuration has a key in the place of a number.
    let broken = format!(
        r#"{{"version":99,"routes":{{"columns":[],"rows":[]}},"services":{{"columns":[],"rows":[]}},
            "limits":{{"maxHeaderBytes":1,"maxBodyBytes":1,"headerTimeoutS":1,"idleTimeoutS":1}},
            "tenants":{{"columns":["name","ratePerS"],"rows":[["alice","{ALICE}"]]}}}}"#
    );
    bed.platform.put_raw_config(broken.as_bytes());
    wait_for_log(&bed, "another form").await;
    let operator = bed.nodes[0].addrs.operator;
    let mut shown = String::new();
    for path in ["/v1/resources", "/v1/resources?kind=Organisation", "/v1/fleet", "/metrics"] {
        shown.push_str(&client::get(operator, path).await.unwrap().text());
    }
    assert!(shown.contains("alice"), "organisations are shown: {shown:.300}");
    for node in &bed.nodes {
        shown.push_str(&std::fs::read_to_string(&node.log).unwrap());
    }
    for key in [ALICE, BOB, "a-key-that-nobody-holds"] {
        assert!(!shown.contains(key), "{key} is shown");
    }
}

async fn wait_for_log(bed: &TestBed, text: &str) {
    let limit = Instant::now() + Duration::from_secs(60);
    while Instant::now() < limit {
        let contains_text = |it: &standin::node::Node| {
            std::fs::read_to_string(&it.log).is_ok_and(|log| log.contains(text))
        };
        if bed.nodes.iter().any(contains_text) {
            return;
        }
        sleep(Duration::from_millis(50)).await;
    }
    panic!("no node logs `{text}`");
}

/// Requests of an organisation beyond its allowance get 429, whichever nodes they are sent to; other organisations
/// are not affected.
#[tokio::test(flavor = "multi_thread")]
async fn an_allowance_holds_over_all_nodes_and_costs_neighbours_nothing() {
    let limited = |it: KeyedOrganisation| KeyedOrganisation { rate_per_s: 20.0, burst: 10.0, ..it };
    let alice = limited(unlimited("alice", &[ALICE]));
    let bob = limited(unlimited("bob", &[BOB]));
    let bed = bed(&[alice, bob]).await;
    // The buckets fill up.
    sleep(Duration::from_secs(2)).await;
    let started = Instant::now();
    let (mut served, mut refused, mut neighbours) = (0, 0, 0);
    for i in 0..300 {
        let got = lookup(&bed, i % 3, &[("x-api-key", ALICE)]).await;
        match got.status.as_u16() {
            200 => served += 1,
            429 => {
                refused += 1;
                assert_eq!(got.header("x-request-outcome"), "not-run");
                let after: f64 = got.header("retry-after").parse().unwrap();
                assert!(after > 0.0 && after <= 10.0, "{after}");
            }
            status => panic!("{status}: {}", got.text()),
        }
        if i % 30 == 0 {
            let got = lookup(&bed, i % 2, &[("x-api-key", BOB)]).await;
            neighbours += u32::from(got.status.as_u16() == 200);
        }
    }
    let organisations = bed.nodes[0].report().await.unwrap()["organisations"].clone();
    let owner = organisations.as_array().unwrap().iter().find(|it| it["name"] == "alice").unwrap();
    assert_eq!(owner["rate_per_s"], 20.0, "{organisations}");
    assert!(owner["owned_by"].is_string(), "{organisations}");
    let elapsed = started.elapsed().as_secs_f64();
    let bound = (20.0 * elapsed + 10.0) * 1.25 + 20.0;
    assert!(f64::from(served) <= bound, "{served} served in {elapsed} s");
    assert!(served >= 10 && refused > 0, "{served} served, {refused} refused in {elapsed} s");
    assert_eq!(neighbours, 10);
}

/// Resources may contain the digest of a key instead of the key.
#[tokio::test(flavor = "multi_thread")]
async fn the_command_line_makes_a_digest_of_a_key() {
    let mut command = tokio::process::Command::new(BIN);
    command.arg("key").stdin(std::process::Stdio::piped()).stdout(std::process::Stdio::piped());
    let mut child = command.spawn().unwrap();
    let mut stdin = child.stdin.take().unwrap();
    tokio::io::AsyncWriteExt::write_all(&mut stdin, format!("{ALICE}\n").as_bytes()).await.unwrap();
    drop(stdin);
    let out = child.wait_with_output().await.unwrap();
    let digest = String::from_utf8(out.stdout).unwrap();
    assert!(out.status.success() && digest.starts_with("blake3:"), "{digest}");
    let document = |key: &str| {
        serde_json::from_str::<resources::Resource>(&format!(
            r#"{{"kind":"Organisation","name":"a","keys":["{key}"]}}"#
        ))
        .unwrap()
    };
    assert_eq!(document(digest.trim()), document(ALICE));
}
