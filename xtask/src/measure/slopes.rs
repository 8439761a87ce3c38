//! Measures how the cost of the control plane grows: up to 80 nodes as processes, up to 850 nodes for the simulated
//! exchange alone, and one node with configurations up to the size that the system is designed for.

use std::path::Path;
use std::time::{Duration, Instant};

use resources::{Endpoint, Resource};
use serde::Serialize;
use standin::bed::{Layout, TestBed};
use standin::caller;
use standin::net::Net;

/// Time without traffic over which costs are measured.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Figures of nodes as processes without traffic.
#[derive(Debug, Serialize)]
struct Processes {
    nodes: usize,
    /// Share of one core that a node uses without traffic.
    core_share: f64,
    memory_mb: f64,
    control_bytes_per_second: f64,
    platform_calls_per_second: f64,
    /// Milliseconds from publishing a version until all nodes have it in force, for each version.
    in_force_ms: Vec<u64>,
}

/// Figures of the simulated exchange between nodes.
#[derive(Debug, Serialize)]
struct Exchange {
    nodes: usize,
    control_bytes_per_second: f64,
    /// CPU time of one node's exchange, as a share of one core.
    core_share: f64,
    /// Virtual milliseconds from publishing a version until all nodes have it in force, without the time of fetches.
    in_force_ms: u64,
    /// Virtual milliseconds until a restarted node has the configuration from its peers alone.
    ready_ms: u64,
}

/// Figures of one node with a configuration of a given size.
#[derive(Debug, Serialize)]
struct Configuration {
    endpoints: usize,
    services: usize,
    routes: usize,
    organisations: usize,
    memory_mb: f64,
    core_share: f64,
    /// Milliseconds from publishing until the node has the configuration in force.
    in_force_ms: u64,
}

/// Figures of nodes under traffic.
#[derive(Debug, Serialize)]
struct Traffic {
    requests_per_second: f64,
    /// CPU microseconds per request, over all nodes.
    core_us_per_request: f64,
    control_bytes_per_node_second: f64,
    permit_bytes_per_request: f64,
}

/// Measures all groups of figures, or only the given one, and writes a file for each.
pub async fn run(bin: &Path, only: Option<&str>) -> anyhow::Result<()> {
    let is_selected = |part: &str| only.is_none_or(|only| only == part);
    if is_selected("configuration") {
        let mut figures = Vec::new();
        for fraction in [0.01, 0.25, 0.5, 1.0] {
            figures.push(printed(configuration(bin, fraction).await?));
        }
        super::write("slopes-configuration", &figures)?;
    }
    if is_selected("processes") {
        let mut figures = Vec::new();
        for nodes in [5, 20, 40, 80] {
            figures.push(printed(processes(bin, nodes).await?));
        }
        super::write("slopes-processes", &figures)?;
    }
    if is_selected("traffic") {
        let figures = traffic(bin).await?;
        super::write("slopes-traffic", &printed(figures))?;
    }
    if is_selected("exchange") {
        let figures = [40, 200, 850].map(|nodes| printed(exchange(nodes)));
        super::write("slopes-exchange", &figures)?;
    }
    Ok(())
}

/// Prints figures and returns them.
fn printed<T: std::fmt::Debug>(figures: T) -> T {
    println!("{figures:?}");
    figures
}

/// Simulates the exchange between nodes in virtual time.
fn exchange(nodes: usize) -> Exchange {
    let mut net = Net::new(nodes, 0.01);
    (0..nodes).for_each(|i| net.read_platform(i, 1));
    net.run_with_platform(Duration::from_secs(60), 1);
    net.control_bytes = 0;
    let (since, virtual_time) = (Instant::now(), Duration::from_secs(10));
    net.run_with_platform(virtual_time, 1);
    let cpu = since.elapsed().as_secs_f64();
    let bytes = net.control_bytes as f64;
    let published = net.now;
    // The elected readers get the new version within one watch.
    while net.in_force().iter().any(|it| *it < 2) {
        net.run_with_platform(Duration::from_millis(50), 2);
    }
    let in_force_ms = net.now.since(published).as_millis() as u64;
    net.restart(1);
    let restarted = net.now;
    while net.in_force()[1] < 2 {
        net.run(Duration::from_millis(50));
    }
    Exchange {
        nodes,
        control_bytes_per_second: bytes / nodes as f64 / virtual_time.as_secs_f64(),
        core_share: cpu / nodes as f64 / virtual_time.as_secs_f64(),
        in_force_ms,
        ready_ms: net.now.since(restarted).as_millis() as u64,
    }
}

/// Measures nodes as processes without traffic, and the publication of versions.
async fn processes(bin: &Path, nodes: usize) -> anyhow::Result<Processes> {
    let bed = TestBed::start(bin, &Layout { nodes, ..Layout::agenda("permits") }).await?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let (cpu, bytes, calls) = (bed.cpu_seconds(), control_bytes(&bed).await?, bed.platform.calls());
    tokio::time::sleep(IDLE_TIME).await;
    let per_node_second = 1.0 / nodes as f64 / IDLE_TIME.as_secs_f64();
    let core_share = (bed.cpu_seconds() - cpu) * per_node_second;
    let control_bytes_per_second = (control_bytes(&bed).await? - bytes) * per_node_second;
    let platform_calls_per_second = (bed.platform.calls() - calls) as f64 / IDLE_TIME.as_secs_f64();
    let mut in_force_ms = Vec::new();
    for _ in 0..5 {
        let since = Instant::now();
        let version = bed.platform.publish(&bed.resources);
        bed.wait_in_force(version).await?;
        in_force_ms.push(since.elapsed().as_millis() as u64);
    }
    Ok(Processes {
        nodes,
        core_share,
        memory_mb: bed.memory_mb().unwrap_or_default(),
        control_bytes_per_second,
        platform_calls_per_second,
        in_force_ms,
    })
}

/// Returns the bytes of the exchange, summed over all nodes.
async fn control_bytes(bed: &TestBed) -> anyhow::Result<f64> {
    let mut sum = 0.0;
    for it in &bed.nodes {
        sum += it.report().await?["control_bytes"].as_f64().unwrap_or_default();
    }
    Ok(sum)
}

/// Measures one node with this fraction of the configuration that the system is designed for.
async fn configuration(bin: &Path, fraction: f64) -> anyhow::Result<Configuration> {
    let bed = TestBed::start(bin, &Layout { nodes: 1, ..Layout::agenda("permits") }).await?;
    let count = |full: usize| ((full as f64 * fraction) as usize).max(1);
    let (endpoints, services) = (count(13_000), count(460));
    let (routes, organisations) = (count(4_400), count(33_000));
    let documents = documents(endpoints, services, routes, organisations)?;
    let since = Instant::now();
    let version = bed.platform.publish(&documents);
    bed.wait_in_force(version).await?;
    let in_force_ms = since.elapsed().as_millis() as u64;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let cpu = bed.cpu_seconds();
    tokio::time::sleep(IDLE_TIME).await;
    Ok(Configuration {
        endpoints,
        services,
        routes,
        organisations,
        memory_mb: bed.memory_mb().unwrap_or_default(),
        core_share: (bed.cpu_seconds() - cpu) / IDLE_TIME.as_secs_f64(),
        in_force_ms,
    })
}

/// Builds the resources of a configuration of the given size.
fn documents(
    endpoints: usize,
    services: usize,
    routes: usize,
    organisations: usize,
) -> anyhow::Result<Vec<Resource>> {
    let per_service = endpoints.div_ceil(services);
    let endpoint = |service: usize, i: usize| Endpoint {
        id: format!("i-{service}-{i}").into(),
        // Loopback addresses to which no request is sent.
        addr: ([127, 10 + (service / 250) as u8, (service % 250) as u8, i as u8], 8080).into(),
        failure_domain: format!("d{}", i % 6).as_str().into(),
        slots: 0,
        standing: Default::default(),
        warm_up_ms: 0,
        started_ms: 0,
    };
    let mut all = Vec::new();
    for s in 0..services {
        let list: Vec<_> = (0..per_service).map(|i| endpoint(s, i)).collect();
        all.push(serde_json::json!({
            "kind": "Service", "name": format!("s{s}"), "floor": "60%", "slots": 4,
            "endpoints": list,
        }));
    }
    for r in 0..routes {
        all.push(serde_json::json!({
            "kind": "Route", "name": format!("r{r}"), "path": format!("/r{r}"),
            "service": format!("s{}", r % services), "deadline_ms": 1000, "repeat": "anytime",
        }));
    }
    for o in 0..organisations {
        all.push(serde_json::json!({
            "kind": "Organisation", "name": format!("organisation-{o}"), "weight": 1,
        }));
    }
    Ok(all.into_iter().map(serde_json::from_value).collect::<Result<_, _>>()?)
}

/// Measures the cost of requests at several utilizations.
async fn traffic(bin: &Path) -> anyhow::Result<Vec<Traffic>> {
    let layout = Layout::agenda("permits");
    let bed = TestBed::start(bin, &layout).await?;
    caller::run(bed.lookups(layout.rate(0.4), 3.0)).await;
    let mut all = Vec::new();
    for used in [0.1, 0.3, 0.6] {
        let (cpu, bytes) = (bed.cpu_seconds(), control_bytes(&bed).await?);
        let permits = permit_bytes(&bed).await?;
        let summary = caller::run(bed.lookups(layout.rate(used), 6.0)).await;
        let sent = summary.sent as f64;
        all.push(Traffic {
            requests_per_second: layout.rate(used),
            core_us_per_request: (bed.cpu_seconds() - cpu) / sent * 1e6,
            control_bytes_per_node_second: (control_bytes(&bed).await? - bytes)
                / 6.0
                / layout.nodes as f64,
            permit_bytes_per_request: (permit_bytes(&bed).await? - permits) / 2.0 / sent,
        });
    }
    Ok(all)
}

/// Returns the bytes of the permit protocol, summed over all nodes.
async fn permit_bytes(bed: &TestBed) -> anyhow::Result<f64> {
    let mut sum = 0.0;
    for it in &bed.nodes {
        sum += it.report().await?["permit_bytes"].as_f64().unwrap_or_default();
    }
    Ok(sum)
}
