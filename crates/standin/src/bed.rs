//! A test bed: stand-ins in the current process, and nodes as processes on loopback.

use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::bail;
use resources::{Endpoint, Resource, Standing};

use crate::caller::Plan;
use crate::endpoint_link::{EndpointLink, PathFault};
use crate::node::{self, Node, Options};
use crate::platform::Platform;
use crate::server;
use crate::upstream::{Profile, Upstream};

/// Number of nodes that serve as seeds for the others.
const SEEDS: usize = 3;
/// Limit for the start of all nodes, and for waiting on their reports.
const TIMEOUT: Duration = Duration::from_secs(60);

/// A test bed with one service. Requests for `/slots/…` may be repeated and hedged, requests for `/bookings/…` are
/// repeated only if they did not run, and answers to `/archives/…` are long.
pub struct TestBed {
    /// The node processes.
    pub nodes: Vec<Node>,
    /// The endpoints of the service.
    pub upstreams: Vec<Upstream>,
    /// The stand-in platform.
    pub platform: Platform,
    platform_addr: std::net::SocketAddr,
    /// The resources that were published at the start.
    pub resources: Vec<Resource>,
    /// Links of each node to the endpoints, if there are any.
    pub links: Vec<Vec<EndpointLink>>,
    _dir: tempfile::TempDir,
}

/// Layout of a test bed.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Capacity and service time of each endpoint.
    pub profile: Profile,
    /// Failure domains over which nodes and endpoints are spread.
    pub failure_domains: Vec<&'static str>,
    /// Dispatch mode.
    pub mode: &'static str,
    /// Bias of the service.
    pub bias: &'static str,
    /// Floor of the service.
    pub floor: &'static str,
    /// Deadline of all routes in milliseconds.
    pub deadline_ms: u32,
    /// Target latency of all routes in milliseconds; 0 for the deadline.
    pub objective_ms: u32,
    /// How nodes reach endpoints.
    pub paths: Paths,
    /// The section `[drain]` of the nodes' settings.
    pub drain: String,
}

/// How nodes reach endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Paths {
    /// Directly.
    Direct,
    /// Over a link of each node to each endpoint, on which faults can be set.
    Links,
}

impl Layout {
    /// Layout of Agenda PYME's slot availability service behind 40 nodes.
    pub fn agenda(mode: &'static str) -> Self {
        let profile =
            Profile { slots: 3, service_us: 10_000, heavy_tail: false, cold_ms: 0, piece_us: 0 };
        Self {
            nodes: 40,
            endpoints: 15,
            profile,
            failure_domains: vec!["a", "b", "c"],
            mode,
            bias: "speed",
            floor: "60%",
            deadline_ms: 1_000,
            objective_ms: 0,
            paths: Paths::Direct,
            drain: "lag_ms = 100".into(),
        }
    }

    /// A small layout for tests: three nodes and six endpoints.
    pub fn small() -> Self {
        let profile =
            Profile { slots: 4, service_us: 2_000, heavy_tail: false, cold_ms: 0, piece_us: 0 };
        Self { nodes: 3, endpoints: 6, profile, floor: "50%", ..Self::agenda("permits") }
    }

    /// Returns the requests per second that keep this share of the slots in use.
    pub fn rate(&self, utilization: f64) -> f64 {
        let slots = (self.endpoints * self.profile.slots) as f64;
        utilization * slots / Duration::from_micros(self.profile.service_us).as_secs_f64()
    }

    fn resources(&self, endpoints: &[Endpoint]) -> anyhow::Result<Vec<Resource>> {
        let service = serde_json::json!({
            "kind": "Service", "name": "slot-availability", "floor": self.floor,
            "bias": self.bias, "slots": self.profile.slots,
            "connections": self.profile.slots.max(200), "endpoints": endpoints,
        });
        let route = |name: &str, path: &str, repeat: &str| {
            serde_json::json!({
                "kind": "Route", "name": name, "path": path,
                "service": "slot-availability", "deadline_ms": self.deadline_ms,
                "objective_ms": self.objective_ms,
                "repeat": repeat, "hedge": name == "lookup", "stream": name == "archive",
            })
        };
        let resources = [
            service,
            route("lookup", "/slots/", "anytime"),
            route("booking", "/bookings/", "if-not-run"),
            route("archive", "/archives/", "anytime"),
        ];
        Ok(resources.into_iter().map(serde_json::from_value).collect::<Result<_, _>>()?)
    }
}

impl TestBed {
    /// Starts a test bed with the node program at `bin` and waits until all nodes are ready.
    pub async fn start(bin: &Path, layout: &Layout) -> anyhow::Result<Self> {
        let dir = tempfile::tempdir()?;
        let free = node::free_addrs(1 + layout.endpoints + 3 * layout.nodes)?;
        let (standin_addrs, node_addrs) = free.split_at(1 + layout.endpoints);
        let platform = Platform::default();
        tokio::spawn(platform.clone().serve(server::bind(standin_addrs[0]).await?));
        let mut upstreams = Vec::new();
        let mut endpoints = Vec::new();
        for (i, addr) in standin_addrs[1..].iter().enumerate() {
            let upstream = Upstream::new(&addr.to_string(), layout.profile.clone());
            tokio::spawn(upstream.clone().serve(server::bind(*addr).await?));
            upstreams.push(upstream);
            let failure_domain = layout.failure_domains[i % layout.failure_domains.len()].into();
            endpoints.push(Endpoint {
                id: addr.to_string().into(),
                addr: *addr,
                failure_domain,
                slots: 0,
                standing: Standing::Present,
                warm_up_ms: 0,
                started_ms: 0,
            });
        }
        let resources = layout.resources(&endpoints)?;
        platform.publish(&resources);
        let addrs = node::nodes_at(node_addrs, &layout.failure_domains);
        let mut options = Options::new(bin, standin_addrs[0]);
        options.mode = layout.mode.into();
        options.floor = layout.floor.into();
        options.bias = layout.bias.into();
        options.drain = layout.drain.clone();
        options.seeds = addrs.iter().take(SEEDS).map(|it| it.fleet).collect();
        let (mut nodes, mut links) = (Vec::new(), Vec::new());
        for it in &addrs {
            let own_links = match layout.paths {
                Paths::Direct => Vec::new(),
                Paths::Links => EndpointLink::start_all(&endpoints).await?,
            };
            options.endpoint_addrs =
                endpoints.iter().zip(&own_links).map(|(it, link)| (it.addr, link.addr)).collect();
            links.push(own_links);
            nodes.push(Node::start(dir.path(), it, &options)?);
        }
        for it in &nodes {
            it.wait_ready(TIMEOUT).await?;
        }
        Ok(Self {
            nodes,
            upstreams,
            platform,
            platform_addr: standin_addrs[0],
            resources,
            links,
            _dir: dir,
        })
    }

    /// Sets a fault on all links of a node to endpoints.
    pub fn set_paths(&self, node: usize, fault: PathFault) {
        self.links[node].iter().for_each(|it| it.set(fault));
    }

    /// Waits until all nodes have this version of the configuration in force.
    pub async fn wait_in_force(&self, version: u64) -> anyhow::Result<()> {
        self.wait_reports(|it| it["in_force"] == version).await
    }

    /// Waits until the reports of all nodes satisfy a condition.
    pub async fn wait_reports(
        &self,
        condition: impl Fn(&serde_json::Value) -> bool,
    ) -> anyhow::Result<()> {
        let since = Instant::now();
        for it in &self.nodes {
            while !it.report().await.is_ok_and(|it| condition(&it)) {
                if since.elapsed() > TIMEOUT {
                    bail!("timed out; report of {}: {}", it.addrs.fleet, it.report().await?);
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// Returns the address of the platform.
    pub fn platform_addr(&self) -> std::net::SocketAddr {
        self.platform_addr
    }

    /// Plans lookups through all nodes in rotation.
    pub fn lookups(&self, rate: f64, seconds: f64) -> Plan {
        Plan {
            targets: self.nodes.iter().map(|it| it.addrs.traffic).collect(),
            rate,
            duration: Duration::from_secs_f64(seconds),
            method: "GET".into(),
            path: "/slots/today".into(),
        }
    }

    /// Fetches a metric of all nodes and returns the sum.
    pub async fn metric(&self, name: &str) -> anyhow::Result<f64> {
        let mut sum = 0.0;
        for it in &self.nodes {
            sum += it.metric(name).await?;
        }
        Ok(sum)
    }

    /// Returns the endpoint of each ejection that a node has logged.
    pub fn ejections(&self) -> anyhow::Result<Vec<String>> {
        let mut ejected = Vec::new();
        for it in &self.nodes {
            let log = std::fs::read_to_string(&it.log)?;
            let lines = log.lines().filter_map(|it| serde_json::from_str(it).ok());
            let records = lines.filter(|it: &serde_json::Value| {
                it["msg"] == "endpoint state" && it["to"] == "ejected"
            });
            ejected.extend(records.filter_map(|it| it["endpoint"].as_str().map(str::to_owned)));
        }
        Ok(ejected)
    }

    /// Returns the CPU time that the nodes have used, in seconds.
    pub fn cpu_seconds(&self) -> f64 {
        self.nodes.iter().filter_map(|it| it.pid()).filter_map(cpu_seconds).sum()
    }

    /// Returns the resident memory of the first node in MB.
    pub fn memory_mb(&self) -> Option<f64> {
        node::memory_mb(self.nodes.first()?.pid()?)
    }
}

/// Clock ticks per second in which Linux reports CPU time.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

fn cpu_seconds(pid: u32) -> Option<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
    let (user, system): (f64, f64) = (fields.get(11)?.parse().ok()?, fields.get(12)?.parse().ok()?);
    Some((user + system) / CLOCK_TICKS_PER_SECOND)
}
