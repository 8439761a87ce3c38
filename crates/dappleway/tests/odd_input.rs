//! Odd entries in the platform's store, and endpoints that send bytes without end or spoilt answers, with real processes.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use resources::{Endpoint, Standing};
use standin::bed::{Layout, TestBed};
use standin::caller;
use standin::node;
use standin::odd;
use standin::server;
use standin::upstream::{SIGNATURE, Upstream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::Mutex;

const SERVICE: &str = "slot-availability";
/// Resident memory that no node may reach, in MB. A node of a small bed takes a tenth of it.
const MAX_MEMORY_MB: f64 = 400.0;

/// Generous limit for the end of requests with a deadline of a second.
const LIMIT: Duration = Duration::from_secs(60);
/// Test beds run one at a time.
static ONE_BED: Mutex<()> = Mutex::const_new(());

async fn start() -> TestBed {
    TestBed::start(Path::new(env!("CARGO_BIN_EXE_dappleway")), &Layout::small()).await.unwrap()
}

fn check_alive(bed: &mut TestBed, what: &str) {
    for it in &mut bed.nodes {
        assert_eq!(it.exit_code().unwrap(), None, "{what}");
    }
}

fn max_memory_mb(bed: &TestBed) -> f64 {
    let all = bed.nodes.iter().filter_map(|it| node::memory_mb(it.pid()?));
    all.fold(0.0, f64::max)
}

fn lists(report: &serde_json::Value, addr: &str) -> bool {
    let endpoints = report["services"][0]["endpoints"].as_array().unwrap();
    endpoints.iter().any(|it| it["addr"] == addr)
}

fn endpoint(addr: std::net::SocketAddr) -> Endpoint {
    Endpoint {
        id: addr.to_string().into(),
        addr,
        failure_domain: "a".into(),
        slots: 4,
        standing: Standing::Present,
        warm_up_ms: 0,
        started_ms: 0,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_odd_entry_ends_a_node_or_keeps_it_from_following_the_others() {
    let _one_bed = ONE_BED.lock().await;
    let mut bed = start().await;
    let lookups = tokio::spawn(caller::run(bed.lookups(100.0, 12.0)));
    for (i, entry) in odd::skipped_entries(SERVICE).into_iter().enumerate() {
        bed.platform.put_raw_entry(&format!("odd-{i}"), entry.as_bytes());
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    bed.platform.put_raw_entry("", odd::entry_with(SERVICE, "later", "1").as_bytes());
    for (id, entry) in odd::unusual_entries(SERVICE) {
        bed.platform.put_raw_entry(&id, entry.as_bytes());
    }
    for (key, item) in odd::items() {
        bed.platform.override_item(&key, item);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    bed.platform.evacuate("");
    bed.platform.evacuate(&"x".repeat(10_000));
    let deep = odd::nested();
    bed.platform.put_raw_config(deep.as_bytes());
    bed.platform.put_raw_config(br#"{"version":1e999,"routes":{},"services":{}}"#);
    check_alive(&mut bed, "after the odd entries");

    // A new endpoint is followed by watches, and by complete reads.
    for discards in [false, true] {
        let listener = server::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let addr = listener.local_addr().unwrap();
        tokio::spawn(Upstream::new(&addr.to_string(), Layout::small().profile).serve(listener));
        bed.platform.register(SERVICE, &endpoint(addr));
        if discards {
            bed.platform.discard_history();
        }
        bed.wait_reports(|it| lists(it, &addr.to_string())).await.unwrap();
    }
    let version = bed.platform.publish(&bed.resources);
    bed.wait_in_force(version).await.unwrap();
    let summary = lookups.await.unwrap();
    assert_eq!(summary.answered, summary.sent, "{summary:?}");
    check_alive(&mut bed, "at the end");
    assert!(max_memory_mb(&bed) < MAX_MEMORY_MB, "{} MB", max_memory_mb(&bed));
}

/// Answers each connection with another kind of bytes without end.
async fn serve_endless(listener: TcpListener) {
    let ok = "HTTP/1.1 200 OK\r\n";
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let kinds = [
        (ok.to_owned(), "x-more: 1\r\n"),
        (String::new(), "HTTP/1.1 100 Continue\r\n\r\n"),
        (chunked.to_owned(), "1\r\nx\r\n"),
        (format!("{chunked}1;x="), "x"),
        (format!("{chunked}2\r\nok\r\n0\r\n"), "x-more: 1\r\n"),
        (format!("{ok}\r\n"), "x"),
        (format!("{ok}content-length: 2\r\n\r\nok"), "x"),
    ];
    for (start, endless) in kinds.into_iter().cycle() {
        let (mut stream, _) = listener.accept().await.unwrap();
        tokio::spawn(async move {
            let _ = stream.read(&mut [0; 4096]).await;
            let many = endless.repeat(64 * 1024 / endless.len());
            if stream.write_all(start.as_bytes()).await.is_ok() {
                while stream.write_all(many.as_bytes()).await.is_ok() {}
            }
        });
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_without_end_take_bounded_memory_and_end() {
    let _one_bed = ONE_BED.lock().await;
    let mut bed = start().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let endless = tokio::spawn(serve_endless(listener));
    bed.platform.register(SERVICE, &endpoint(addr));
    bed.wait_reports(|it| lists(it, &addr.to_string())).await.unwrap();
    let lookups = tokio::spawn(caller::run(bed.lookups(60.0, 6.0)));
    let mut max_mb: f64 = 0.0;
    while !lookups.is_finished() {
        max_mb = max_mb.max(max_memory_mb(&bed));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let summary = lookups.await.unwrap();
    println!("largest resident memory: {max_mb:.0} MB, {summary:?}");
    assert!(max_mb < MAX_MEMORY_MB, "{max_mb} MB");
    check_alive(&mut bed, "after the answers without end");
    // No request is left at the endpoint.
    let until = Instant::now() + LIMIT;
    while bed.metric("dappleway_requests_in_flight").await.unwrap() > 0.0 {
        assert!(Instant::now() < until, "requests without end are left");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    endless.abort();
    bed.platform.remove(&addr.to_string());
    bed.wait_reports(|it| !lists(it, &addr.to_string())).await.unwrap();
    let summary = caller::run(bed.lookups(100.0, 1.0)).await;
    assert_eq!(summary.answered, summary.sent, "{summary:?}");
}

/// Number of endpoints that spoil their answers.
const SPOILING: usize = 4;

/// Answers each request with another kind of spoilt answer, beginning with the `first`. The true body is the id of the
/// request, of which no spoilt body has all in one piece.
async fn serve_spoilt(listener: TcpListener, first: usize, served: Arc<AtomicUsize>) {
    let kinds = [
        "200 OK|transfer-encoding: chunke",
        "200 OK|transfer-encodin: chunked",
        "200 OK|transfer-encoding: gzip, chunked",
        "200 OK|transfer-encoding: chunked\r\ncontent-length: 2",
        "200 OK|content-length: 2",
        "200 OK|content-length: 2,2",
        "200 OK|content-length: 2x",
        "200 OK|content-length: 999",
        "200 OK|content-length: 2\r\nno colon",
        "200 OK|content-length: 2\r\nx spoilt: 1",
        "204 No Content|content-length: 2",
        "600 Oh|content-length: 2",
        "000 Oh|content-length: 2",
    ];
    for kind in kinds.into_iter().cycle().skip(first) {
        let (mut stream, _) = listener.accept().await.unwrap();
        let served = served.clone();
        tokio::spawn(async move {
            let mut buf = [0; 4096];
            let len = stream.read(&mut buf).await.unwrap_or(0);
            let request = String::from_utf8_lossy(&buf[..len]);
            let Some(id) = request.lines().find_map(|it| it.strip_prefix("x-request-id: ")) else {
                return;
            };
            served.fetch_add(1, Ordering::Relaxed);
            let (status, lines) = kind.split_once('|').unwrap();
            let fields = format!("x-request-id: {id}\r\n{SIGNATURE}: s");
            let (first, rest) = id.split_at(2);
            let body = match lines.contains("chunk") {
                true => format!("2\r\n{first}\r\n{:x}\r\n{rest}\r\n0\r\n\r\n", rest.len()),
                false => id.to_owned(),
            };
            let answer = format!("HTTP/1.1 {status}\r\n{fields}\r\n{lines}\r\n\r\n{body}");
            let _ = stream.write_all(answer.as_bytes()).await;
        });
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn spoilt_answers_reach_no_caller() {
    let _one_bed = ONE_BED.lock().await;
    let mut bed = start().await;
    let served = Arc::new(AtomicUsize::new(0));
    for i in 0..SPOILING {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        tokio::spawn(serve_spoilt(listener, 3 * i, served.clone()));
        bed.platform.register(SERVICE, &endpoint(addr));
        bed.wait_reports(|it| lists(it, &addr.to_string())).await.unwrap();
    }
    let summary = caller::run(bed.lookups(100.0, 8.0)).await;
    println!("{} spoilt answers, {summary:?}", served.load(Ordering::Relaxed));
    assert!(served.load(Ordering::Relaxed) >= SPOILING, "all endpoints are asked");
    assert_eq!((summary.crossed, summary.broken, summary.other), (0, 0, 0), "{summary:?}");
    let statuses: Vec<_> = summary.statuses.keys().collect();
    assert!(statuses.iter().all(|it| [200, 502, 503].contains(*it)), "{summary:?}");
    check_alive(&mut bed, "after the spoilt answers");
}
