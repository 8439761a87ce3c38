//! A test bed: stand-ins in this process, nodes as processes.

use std::path::Path;
use std::time::Duration;

use resources::{Endpoint, Resource, Service};
use standin::caller::Plan;
use standin::lab::{self, Node, Options};
use standin::platform::Platform;
use standin::server;
use standin::upstream::{Profile, Upstream};

/// Time to start all nodes.
const START: Duration = Duration::from_secs(60);

/// A bed with one service and a route `/slots` to it.
pub struct Bed {
    /// The nodes.
    pub nodes: Vec<Node>,
    /// The endpoints.
    pub upstreams: Vec<Upstream>,
    _dir: tempfile::TempDir,
}

/// What a bed consists of.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of endpoints.
    pub endpoints: usize,
    /// How each endpoint works.
    pub profile: Profile,
    /// Failure domains.
    pub failure_domains: Vec<&'static str>,
    /// Way of dispatch.
    pub mode: &'static str,
    /// The service's bias.
    pub bias: &'static str,
    /// The service's floor.
    pub floor: &'static str,
}

impl Layout {
    /// Agenda PYME's slot availability service before 40 nodes.
    pub fn agenda(mode: &'static str) -> Self {
        let profile = Profile { slots: 3, service_us: 10_000, heavy_tail: false, piece_us: 0 };
        Self {
            nodes: 40,
            endpoints: 15,
            profile,
            failure_domains: vec!["a", "b", "c"],
            mode,
            bias: "speed",
            floor: "60%",
        }
    }

    /// Requests a second that keep this share of the slots in use.
    pub fn rate(&self, used: f64) -> f64 {
        let slots = (self.endpoints * self.profile.slots) as f64;
        used * slots / Duration::from_micros(self.profile.service_us).as_secs_f64()
    }

    fn resources(&self, endpoints: Vec<Endpoint>) -> anyhow::Result<Vec<Resource>> {
        let service = serde_json::json!({
            "kind": "Service", "name": "slot-availability", "floor": self.floor,
            "bias": self.bias, "slots": self.profile.slots,
            "connections": self.profile.slots.max(200), "endpoints": [],
        });
        let route = |name: &str, method: &str, repeat: &str, hedge: bool| {
            serde_json::json!({
                "kind": "Route", "name": name, "path": "/slots", "methods": [method],
                "service": "slot-availability", "deadline_ms": 1000, "repeat": repeat,
                "hedge": hedge,
            })
        };
        let mut service: Service =
            serde_json::from_value::<Resource>(service).map(|it| match it {
                Resource::Service(it) => it,
                _ => unreachable!("the document is a service"),
            })?;
        service.endpoints = endpoints;
        Ok(vec![
            Resource::Service(service),
            serde_json::from_value(route("lookup", "GET", "anytime", true))?,
            serde_json::from_value(route("booking", "POST", "never", false))?,
        ])
    }
}

impl Bed {
    /// Starts a bed and waits until all nodes are ready.
    pub async fn start(bin: &Path, layout: &Layout) -> anyhow::Result<Self> {
        let dir = tempfile::tempdir()?;
        let free = lab::free_addrs(1 + layout.endpoints + 3 * layout.nodes)?;
        let (own, of_nodes) = free.split_at(1 + layout.endpoints);
        let platform = Platform::default();
        tokio::spawn(platform.clone().serve(server::bind(own[0]).await?));
        let mut upstreams = Vec::new();
        let mut endpoints = Vec::new();
        for (i, addr) in own[1..].iter().enumerate() {
            let upstream = Upstream::new(&addr.to_string(), layout.profile.clone());
            tokio::spawn(upstream.clone().serve(server::bind(*addr).await?));
            upstreams.push(upstream);
            let failure_domain = layout.failure_domains[i % layout.failure_domains.len()].into();
            endpoints.push(Endpoint { addr: *addr, failure_domain });
        }
        platform.publish(&layout.resources(endpoints)?);
        let addrs = lab::nodes_at(of_nodes, &layout.failure_domains);
        platform.set_vms(lab::vms(&addrs));
        let mut options = Options::new(&bin.join("dappleway"), own[0]);
        options.mode = layout.mode.into();
        let mut nodes = Vec::new();
        for it in &addrs {
            nodes.push(Node::start(dir.path(), it, &options)?);
        }
        for it in &nodes {
            it.wait_ready(START).await?;
        }
        Ok(Self { nodes, upstreams, _dir: dir })
    }

    /// Lookups through all nodes in turn.
    pub fn lookups(&self, rate: f64, seconds: f64) -> Plan {
        Plan {
            targets: self.nodes.iter().map(|it| it.addrs.traffic).collect(),
            rate,
            duration: Duration::from_secs_f64(seconds),
            method: "GET".into(),
            path: "/slots/today".into(),
        }
    }

    /// Sum of a metric over the nodes.
    pub async fn metric(&self, name: &str) -> anyhow::Result<f64> {
        let mut sum = 0.0;
        for it in &self.nodes {
            sum += it.metric(name).await?;
        }
        Ok(sum)
    }

    /// Ejections that the nodes have logged, by endpoint.
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

    /// Processor seconds that the nodes have used.
    pub fn cpu_seconds(&self) -> f64 {
        self.nodes.iter().filter_map(|it| it.pid()).filter_map(cpu_seconds).sum()
    }

    /// Resident memory of the first node in MB.
    pub fn memory_mb(&self) -> Option<f64> {
        let pid = self.nodes.first()?.pid()?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find(|it| it.starts_with("VmRSS:"))?;
        let kb: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kb / 1024.0)
    }
}

/// Clock ticks a second on Linux, as the kernel reports processor time.
const TICKS_PER_SECOND: f64 = 100.0;

fn cpu_seconds(pid: u32) -> Option<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
    let (user, system): (f64, f64) = (fields.get(11)?.parse().ok()?, fields.get(12)?.parse().ok()?);
    Some((user + system) / TICKS_PER_SECOND)
}
