//! Measures the latency that one node adds to a request, its throughput, and the memory of idle connections.

use std::path::Path;
use std::time::Duration;

use serde::Serialize;
use standin::bed::{Layout, TestBed};
use standin::caller::{self, Plan};
use standin::upstream::Profile;
use tokio::net::TcpStream;

/// Requests per second in the comparison of latencies.
const RATE: f64 = 7_000.0;
/// Requests per second beyond the capacity of a node.
const OVERLOAD_RATE: f64 = 14_000.0;
/// Time for which latencies are compared, in seconds.
const SECONDS: f64 = 8.0;
/// Number of idle connections.
const IDLE_CONNECTIONS: usize = 1_000;

/// Figures of a single node.
#[derive(Debug, Serialize)]
struct Figures {
    rate: f64,
    /// p50, p99, p99.9 and maximum latency of requests sent directly to the endpoints.
    straight_us: [u64; 4],
    /// p50, p99, p99.9 and maximum latency of requests sent through the node.
    through_us: [u64; 4],
    /// Differences of p50, p99 and p99.9.
    added_us: [i64; 3],
    /// Complete answers per second under overload.
    flooded_answers_per_second: f64,
    /// CPU seconds of the node per 1,000 answers.
    node_cpu_s_per_1000: f64,
    answers_per_core_second: f64,
    idle_connections: usize,
    idle_mb: f64,
}

/// Runs the measurement and writes the figures.
pub async fn run(bin: &Path) -> anyhow::Result<()> {
    let profile = Profile { slots: 512, service_us: 0, heavy_tail: false, cold_ms: 0, piece_us: 0 };
    let layout = Layout { nodes: 1, endpoints: 4, profile, ..Layout::agenda("permits") };
    let bed = TestBed::start(bin, &layout).await?;
    let upstream: Vec<_> = endpoints(&bed).await?;
    let direct = Plan { targets: upstream, ..bed.lookups(RATE, SECONDS) };
    let warm_up = bed.lookups(RATE, 3.0);
    caller::run(warm_up).await;
    let direct = caller::run(direct).await;
    let before = bed.cpu_seconds();
    let proxied = caller::run(bed.lookups(RATE, SECONDS)).await;
    let cpu = bed.cpu_seconds() - before;
    let overloaded = caller::run(bed.lookups(OVERLOAD_RATE, 4.0)).await;
    let memory = bed.memory_mb().unwrap_or_default();
    let mut idle = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        idle.push(TcpStream::connect(bed.nodes[0].addrs.traffic).await?);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let idle_mb = bed.memory_mb().unwrap_or_default() - memory;
    let added = |i: usize| proxied.latency_us[i] as i64 - direct.latency_us[i] as i64;
    let per_1000 = cpu / proxied.answered as f64 * 1000.0;
    let figures = Figures {
        rate: RATE,
        straight_us: direct.latency_us,
        through_us: proxied.latency_us,
        added_us: [added(0), added(1), added(2)],
        flooded_answers_per_second: overloaded.answered as f64 / 4.0,
        node_cpu_s_per_1000: per_1000,
        answers_per_core_second: 1000.0 / per_1000,
        idle_connections: IDLE_CONNECTIONS,
        idle_mb,
    };
    println!("{figures:#?}");
    super::write("path", &figures)
}

/// Returns the addresses of the endpoints, as the node reports them.
async fn endpoints(bed: &TestBed) -> anyhow::Result<Vec<std::net::SocketAddr>> {
    let report = bed.nodes[0].report().await?;
    let endpoints = report["services"][0]["endpoints"].as_array().cloned().unwrap_or_default();
    Ok(endpoints.iter().filter_map(|it| it["addr"].as_str()?.parse().ok()).collect())
}
