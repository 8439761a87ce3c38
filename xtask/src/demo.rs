//! `cargo xtask try`: demonstrates the main features with processes on one machine.

mod organisations;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use anyhow::Context;
use resources::{Endpoint, Resource};
use standin::caller::{self, Plan, Summary};
use standin::client;
use standin::node::{self, Node, Options};
use xshell::{Shell, cmd};

use crate::ci::root;

/// Number of nodes.
const NODES: usize = 3;
/// Failure domains over which the nodes are spread.
const FAILURE_DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Lookups per second.
const LOOKUPS_PER_S: f64 = 400.0;
/// Bookings per second.
const BOOKINGS_PER_S: f64 = 100.0;
/// Length of the download that a planned stop must not interrupt, in bytes.
const DOWNLOAD_BYTES: usize = 4_000_000;
/// Pause between chunks of the download in microseconds, which makes the download take one to two seconds.
const PIECE_US: &str = "5000";
/// Limit for the start of a node.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A child process that is killed on drop.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Builds the programs and runs the demonstration.
pub fn run() -> anyhow::Result<()> {
    let bin = build()?;
    tokio::runtime::Runtime::new()?.block_on(demonstrate(&bin))
}

/// Builds the programs in release mode and returns their directory.
pub fn build() -> anyhow::Result<PathBuf> {
    let sh = Shell::new()?;
    sh.change_dir(root());
    cmd!(sh, "cargo build --quiet --release --package dappleway --package standin").run()?;
    let target = std::env::var_os("CARGO_TARGET_DIR").map(PathBuf::from);
    Ok(target.unwrap_or_else(|| root().join("target")).join("release"))
}

async fn demonstrate(bin: &Path) -> anyhow::Result<()> {
    let dir = tempfile::tempdir()?;
    let mut resources = example()?;
    let endpoints = endpoints(&mut resources).count();
    // A single search guarantees that no two programs get the same port.
    let mut free_addrs = node::free_addrs(1 + 3 * NODES + endpoints)?;
    let platform = free_addrs.pop().context("no address for the platform")?;
    let addrs = node::nodes_at(&free_addrs.split_off(endpoints), &FAILURE_DOMAINS);
    let mut children = Vec::new();
    start_upstreams(bin, &mut resources, &free_addrs, &mut children)?;
    start_platform(bin, dir.path(), platform, &resources, &mut children)?;
    let mut options = Options::new(&bin.join("dappleway"), platform);
    options.seeds = addrs.iter().map(|it| it.fleet).collect();
    let mut nodes = Vec::new();
    for it in &addrs {
        nodes.push(Node::start(dir.path(), it, &options)?);
    }
    for it in &nodes {
        it.wait_ready(START_TIMEOUT).await?;
    }
    println!("{NODES} nodes are ready; configuration 1 is in force.\n");
    let targets: Vec<_> = addrs.iter().map(|it| it.traffic).collect();

    let healthy = lookups_and_bookings(&targets, 3.0).await;
    print("All endpoints are healthy", &healthy);

    let faulty = endpoint_of(&resources, "slot-availability");
    client::call(faulty, "PUT", "/_standin/fault?kind=stall", "").await?;
    println!("\n{faulty} now answers probes but stalls all requests.");
    let stalled = lookups_and_bookings(&targets, 4.0).await;
    print("One endpoint stalls", &stalled);
    let counts = client::get(faulty, "/_standin/counts").await?;
    let counts: standin::upstream::Counts = serde_json::from_slice(&counts.body)?;
    let early = counts.arrivals_ms.iter().take_while(|it| **it < 2_000).count();
    println!(
        "  the stalled endpoint received {early} requests, including trials, in the first two seconds"
    );
    print_endpoints(&nodes[0]).await?;

    client::call(faulty, "PUT", "/_standin/fault?kind=none", "").await?;
    organisations::demonstrate(platform, &resources, &nodes).await?;
    stop_during_download(&mut nodes).await
}

/// Stops the last node as planned while it forwards a download.
async fn stop_during_download(nodes: &mut [Node]) -> anyhow::Result<()> {
    println!("\nPlanned stop of one node during a download of {DOWNLOAD_BYTES} bytes:");
    let node = nodes.last_mut().context("the demonstration runs several nodes")?;
    let path = format!("/archives/2026-11?bytes={DOWNLOAD_BYTES}");
    let download = tokio::spawn({
        let target = node.addrs.traffic;
        async move { client::get_with(target, &path, &[organisations::VALID_KEY]).await }
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    node.signal("TERM")?;
    let code = wait_exit(node).await?;
    let got = download.await??;
    println!("  the node exited with code {code}; {} bytes arrived", got.body.len());
    anyhow::ensure!(code == 0 && got.body.len() == DOWNLOAD_BYTES, "the download was interrupted");
    Ok(())
}

/// Sends lookups and bookings concurrently.
async fn lookups_and_bookings(targets: &[SocketAddr], seconds: f64) -> [Summary; 2] {
    let plan = |rate, method: &str, path: &str| Plan {
        targets: targets.to_vec(),
        rate,
        duration: Duration::from_secs_f64(seconds),
        method: method.into(),
        path: path.into(),
    };
    let lookups = caller::run(plan(LOOKUPS_PER_S, "GET", "/slots/today"));
    let bookings = caller::run(plan(BOOKINGS_PER_S, "POST", "/bookings/1"));
    let (lookups, bookings) = tokio::join!(lookups, bookings);
    [lookups, bookings]
}

fn print(title: &str, [lookups, bookings]: &[Summary; 2]) {
    println!("{title}:");
    for (name, it) in [("lookups", lookups), ("bookings", bookings)] {
        let [p50, p99, p999, max] = it.latency_us.map(|us| us as f64 / 1000.0);
        println!(
            "  {name}: {} sent, {} answered, {} not run, {} unknown, {} crossed, {} broken; \
             ms p50 {p50:.1} p99 {p99:.1} p99.9 {p999:.1} max {max:.1}",
            it.sent, it.answered, it.not_run, it.unknown, it.crossed, it.broken
        );
    }
}

/// Prints the endpoints that a node considers neither healthy nor unknown.
async fn print_endpoints(node: &Node) -> anyhow::Result<()> {
    let report = node.report().await?;
    let services = report["services"].as_array().context("the report lists services")?;
    for service in services {
        let endpoints = service["endpoints"].as_array().context("a service has endpoints")?;
        let not_healthy =
            endpoints.iter().filter(|it| it["state"] != "healthy" && it["state"] != "unknown");
        for it in not_healthy {
            println!(
                "  {} sees {} of {} as {}",
                report["node"], it["addr"], service["name"], it["state"]
            );
        }
    }
    Ok(())
}

/// Reads the example resources.
fn example() -> anyhow::Result<Vec<Resource>> {
    let text = std::fs::read(root().join("examples/agenda-pyme.json"))?;
    Ok(serde_json::from_slice(&text)?)
}

/// Returns each endpoint with the slots of its service.
fn endpoints(resources: &mut [Resource]) -> impl Iterator<Item = (&mut Endpoint, u32)> {
    let services = resources.iter_mut().filter_map(|it| match it {
        Resource::Service(it) => Some(it),
        _ => None,
    });
    services.flat_map(|it| it.endpoints.iter_mut().map(|endpoint| (endpoint, it.slots)))
}

/// Assigns free addresses to the endpoints of the example and starts their stand-ins.
fn start_upstreams(
    bin: &Path,
    resources: &mut [Resource],
    free_addrs: &[SocketAddr],
    children: &mut Vec<KillOnDrop>,
) -> anyhow::Result<()> {
    for ((endpoint, slots), addr) in endpoints(resources).zip(free_addrs) {
        endpoint.addr = *addr;
        endpoint.id = addr.to_string().into();
        let (listen, slots) = (addr.to_string(), slots.to_string());
        let args = ["upstream", "--listen", &listen, "--slots", &slots, "--piece-us", PIECE_US];
        children.push(spawn(&bin.join("standin"), &args)?);
    }
    Ok(())
}

fn start_platform(
    bin: &Path,
    dir: &Path,
    listen: SocketAddr,
    resources: &[Resource],
    children: &mut Vec<KillOnDrop>,
) -> anyhow::Result<()> {
    let resources_file = dir.join("resources.json");
    std::fs::write(&resources_file, serde_json::to_vec(resources)?)?;
    let (listen, resources) = (listen.to_string(), resources_file.display().to_string());
    let args = ["platform", "--listen", &listen, "--resources", &resources];
    children.push(spawn(&bin.join("standin"), &args)?);
    Ok(())
}

fn spawn(program: &Path, args: &[&str]) -> anyhow::Result<KillOnDrop> {
    let mut command = Command::new(program);
    command.args(args).stdin(Stdio::null());
    Ok(KillOnDrop(command.spawn().with_context(|| program.display().to_string())?))
}

/// Returns the address of the first endpoint of a service.
fn endpoint_of(resources: &[Resource], service: &str) -> SocketAddr {
    let endpoint = resources.iter().find_map(|it| match it {
        Resource::Service(it) if it.name == service => it.endpoints.first().map(|it| it.addr),
        _ => None,
    });
    endpoint.expect("the example defines the service")
}

async fn wait_exit(node: &mut Node) -> anyhow::Result<i32> {
    for _ in 0..500 {
        if let Some(code) = node.exit_code()? {
            return Ok(code);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    anyhow::bail!("the node did not exit within 10 s")
}
