//! The node processes, the stand-ins around them, and the configuration versions that the operator publishes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use resources::{Endpoint, Resource, Standing};
use serde_json::json;
use standin::endpoint_link::{EndpointLink, PathFault};
use standin::node::{self, Node, NodeAddrs, Options as NodeOptions};
use standin::platform::Platform;
use standin::server;
use standin::upstream::{Profile, Upstream};
use tempfile::TempDir;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::check::{Cause, History, Version};
use crate::link::{self, Link};
use crate::schedule::{Drain, Fault, Scope, Series, Signal, Stop};

/// Failure domains over which nodes and endpoints are spread.
const FAILURE_DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Number of services. Each version moves the routes to the next service, so that the service in an answer identifies
/// the version under which the request was handled.
pub(crate) const SERVICES: u64 = 16;
/// Number of versions for which a route that a version adds exists.
pub(crate) const ROUTE_LIFETIME: u64 = 8;
/// Deadline of the routes.
pub(crate) const ROUTE_DEADLINE: Duration = Duration::from_secs(2);
/// Deadline of the routes of long requests.
pub(crate) const LONG_DEADLINE: Duration = Duration::from_secs(4);
/// The service of long requests, which follows the others.
pub(crate) const LONG_SERVICE: u64 = SERVICES;
/// Number of endpoints of the service of long requests.
const LONG_ENDPOINTS: usize = 3;
/// Number of endpoints.
const ENDPOINTS: usize = SERVICES as usize * ENDPOINTS_PER_SERVICE + LONG_ENDPOINTS;
/// Number of endpoints of each service.
const ENDPOINTS_PER_SERVICE: usize = 2;
/// Number of nodes that serve as seeds for the others.
const SEEDS: usize = 3;
/// Limit for the first start of all nodes.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after its grace period after which a process that is still running is killed.
const KILL_AFTER_GRACE: Duration = Duration::from_secs(2);
/// Interval at which a process that stops is observed.
const STOP_POLL: Duration = Duration::from_millis(10);
/// Limit for an answer of the operator API; a frozen process does not answer.
const OPERATOR_TIMEOUT: Duration = Duration::from_millis(300);
/// Lowest revision that the store may be restored to.
const MIN_REVISION: u64 = 1;

/// Everything that a soak run starts.
pub(crate) struct Deployment {
    nodes: Vec<tokio::sync::Mutex<Node>>,
    addrs: Vec<NodeAddrs>,
    links: Vec<Link>,
    /// The paths from each node to the endpoints.
    paths: Vec<Vec<EndpointLink>>,
    pub(crate) platform: Platform,
    pub(crate) upstreams: Vec<Upstream>,
    endpoints: Vec<Endpoint>,
    pub(crate) history: Mutex<History>,
    /// Times of planned stops.
    pub(crate) drain: Drain,
    dir: TempDir,
}

impl Deployment {
    /// Starts `count` nodes of the program at `bin` and waits until all are ready.
    pub(crate) async fn start(bin: &Path, count: usize, drain: Drain) -> anyhow::Result<Self> {
        let dir = tempfile::tempdir()?;
        let free = node::free_addrs(1 + ENDPOINTS + 4 * count)?;
        let (store, free) = free.split_first().expect("more than one address was requested");
        let (endpoint_addrs, free) = free.split_at(ENDPOINTS);
        let (link_addrs, node_addrs) = free.split_at(count);
        let platform = Platform::default();
        tokio::spawn(platform.clone().serve(server::bind(*store).await?));
        let (mut upstreams, mut endpoints) = (Vec::new(), Vec::new());
        for (i, addr) in endpoint_addrs.iter().enumerate() {
            let profile =
                Profile { slots: 8, service_us: 2_000, heavy_tail: false, cold_ms: 0, piece_us: 0 };
            let upstream = Upstream::new(&addr.to_string(), profile);
            upstream.record_work();
            tokio::spawn(upstream.clone().serve(server::bind(*addr).await?));
            upstreams.push(upstream);
            endpoints.push(endpoint(*addr, FAILURE_DOMAINS[i % FAILURE_DOMAINS.len()]));
        }
        let addrs = node::nodes_at(node_addrs, &FAILURE_DOMAINS);
        let mut links = Vec::new();
        for addr in link_addrs {
            links.push(Link::start(*addr, *store, platform.clone()).await?);
        }
        let mut paths = Vec::new();
        for _ in 0..count {
            paths.push(EndpointLink::start_all(&endpoints).await?);
        }
        let mut deployment = Self {
            nodes: Vec::new(),
            links,
            paths,
            platform,
            upstreams,
            endpoints,
            history: Mutex::new(History::new(count)),
            drain,
            dir,
            addrs,
        };
        deployment.publish();
        for i in 0..count {
            let mut options = NodeOptions::new(bin, deployment.links[i].addr);
            options.drain = drain.settings();
            options.endpoint_addrs = deployment.endpoint_addrs(i);
            options.seeds = deployment.addrs.iter().take(SEEDS).map(|it| it.fleet).collect();
            let node = Node::start(deployment.dir.path(), &deployment.addrs[i], &options)?;
            deployment.history.lock().record_start(i, Instant::now());
            deployment.nodes.push(tokio::sync::Mutex::new(node));
        }
        for node in &deployment.nodes {
            node.lock().await.wait_ready(START_TIMEOUT).await?;
        }
        Ok(deployment)
    }

    /// Pairs of an endpoint's registered address and the address at which a node reaches it.
    fn endpoint_addrs(&self, node: usize) -> Vec<(SocketAddr, SocketAddr)> {
        self.endpoints
            .iter()
            .zip(&self.paths[node])
            .map(|(it, path)| (it.addr, path.addr))
            .collect()
    }

    /// Addresses of the nodes for callers.
    pub(crate) fn targets(&self) -> Vec<SocketAddr> {
        self.addrs.iter().map(|it| it.traffic).collect()
    }

    /// Returns the service that an endpoint belongs to.
    pub(crate) fn service_of(&self, endpoint: &str) -> Option<u64> {
        let i = self.upstreams.iter().position(|it| it.name() == endpoint)?;
        Some(((i / ENDPOINTS_PER_SERVICE) as u64).min(LONG_SERVICE))
    }

    /// Publishes the next version and returns its number.
    pub(crate) fn publish(&self) -> u64 {
        // Versions are numbered without gaps, starting at 1.
        let mut history = self.history.lock();
        let number = history.versions.last().map_or(1, |it| it.number + 1);
        let published = self.platform.publish(&self.resources(number));
        assert_eq!(published, number, "the operator is the only writer");
        history.versions.push(Version { number, acknowledged: Instant::now() });
        number
    }

    /// Builds the resources of a version: all services, two routes that move with each version, and the routes that the
    /// latest versions added.
    fn resources(&self, version: u64) -> Vec<Resource> {
        let name = |service: u64| format!("service-{service}");
        let services = (0..=LONG_SERVICE).map(|i| {
            let from = i as usize * ENDPOINTS_PER_SERVICE;
            let count = if i == LONG_SERVICE { LONG_ENDPOINTS } else { ENDPOINTS_PER_SERVICE };
            json!({
                "kind": "Service", "name": name(i), "floor": "60%", "slots": 8, "connections": 200,
                "endpoints": self.endpoints[from..from + count],
            })
        });
        let route_to = |service: u64, path: String, repeat: &str, deadline: Duration| {
            json!({
                "kind": "Route", "name": path.trim_matches('/'), "path": path,
                "service": name(service), "deadline_ms": deadline.as_millis() as u64,
                "repeat": repeat,
            })
        };
        let long = [("/long/", "anytime"), ("/long-bookings/", "if-not-run")]
            .map(|(path, repeat)| route_to(LONG_SERVICE, path.to_owned(), repeat, LONG_DEADLINE));
        let route =
            |path: String, repeat: &str| route_to(version % SERVICES, path, repeat, ROUTE_DEADLINE);
        let moved =
            [route("/moved/".to_owned(), "anytime"), route("/bookings/".to_owned(), "if-not-run")];
        let oldest = version.saturating_sub(ROUTE_LIFETIME - 1).max(1);
        let added = (oldest..=version).map(|it| route(format!("/since-{it}/"), "anytime"));
        let all = services.chain(long).chain(moved).chain(added);
        all.map(|it| serde_json::from_value(it).expect("the JSON describes resources")).collect()
    }

    /// Returns the nodes that currently match a scope.
    pub(crate) async fn nodes_in(&self, scope: Scope) -> Vec<usize> {
        let all = 0..self.nodes.len();
        match scope {
            Scope::All => all.collect(),
            Scope::Share(share, seed) => {
                let count = ((share * self.nodes.len() as f64).ceil() as usize).max(1);
                all.sample(&mut StdRng::seed_from_u64(seed), count)
            }
            Scope::Domain(share, seed) => {
                let mut rng = StdRng::seed_from_u64(seed);
                let domain = rng.random_range(0..FAILURE_DOMAINS.len());
                let nodes = all.skip(domain).step_by(FAILURE_DOMAINS.len());
                let count = (share * nodes.clone().count() as f64).ceil() as usize;
                nodes.sample(&mut rng, count)
            }
            Scope::Readers => {
                let mut readers = Vec::new();
                for i in all {
                    let node = self.nodes[i].lock().await;
                    // A node that does not answer is not counted as a reader.
                    let report = timeout(OPERATOR_TIMEOUT, node.report()).await;
                    if report.is_ok_and(|it| it.is_ok_and(|it| it["reads_platform"] == true)) {
                        readers.push(i);
                    }
                }
                readers
            }
        }
    }

    /// Injects a fault, waits for its duration and ends it.
    pub(crate) async fn inject(
        self: &Arc<Self>,
        fault: Fault,
        duration: Duration,
    ) -> anyhow::Result<()> {
        let began = Instant::now();
        match fault {
            Fault::Kill(scope) => {
                let nodes = self.begin_disturbance(Cause::Fault, scope).await;
                for i in &nodes {
                    let mut node = self.nodes[*i].lock().await;
                    node.kill();
                    self.history.lock().end_stop(*i, Instant::now());
                }
                tokio::time::sleep(duration).await;
                for i in &nodes {
                    self.restart(*i, &mut *self.nodes[*i].lock().await)?;
                }
                self.end_disturbance(Cause::Fault, &nodes);
            }
            Fault::Freeze(scope) => {
                let nodes = self.begin_disturbance(Cause::Freeze, scope).await;
                self.signal(&nodes, "STOP").await;
                tokio::time::sleep(duration).await;
                self.signal(&nodes, "CONT").await;
                self.end_disturbance(Cause::Freeze, &nodes);
            }
            Fault::Terminate(stop) => self.stop_nodes(stop).await?,
            Fault::Hangup(scope) => {
                let nodes = self.nodes_in(scope).await;
                let now = Instant::now();
                nodes.iter().for_each(|it| self.history.lock().record_reload(*it, now));
                self.signal(&nodes, "HUP").await;
            }
            Fault::Link(scope, fault) => {
                let nodes = self.begin_disturbance(Cause::Fault, scope).await;
                self.set_links(&nodes, fault);
                tokio::time::sleep(duration).await;
                self.set_links(&nodes, link::Fault::None);
                self.end_disturbance(Cause::Fault, &nodes);
            }
            // Such a node is not disturbed for the purposes of the checks: other nodes reach the endpoints.
            Fault::Path(scope, fault) => {
                let nodes = self.nodes_in(scope).await;
                self.history.lock().begin_cut_off(&nodes, Instant::now());
                self.set_paths(&nodes, fault);
                tokio::time::sleep(duration).await;
                self.set_paths(&nodes, PathFault::None);
                self.history.lock().end_cut_off(&nodes, Instant::now());
            }
            Fault::Cut(scope) => {
                let nodes = self.begin_disturbance(Cause::Fault, scope).await;
                self.cut(&nodes, &self.addrs.iter().map(|it| it.fleet).collect::<Vec<_>>()).await;
                tokio::time::sleep(duration).await;
                self.cut(&nodes, &[]).await;
                self.end_disturbance(Cause::Fault, &nodes);
            }
            Fault::Forget => {
                self.platform.discard_history();
                self.history.lock().record_store_disturbance(began);
            }
            Fault::Return(revisions) => {
                let to = self.platform.revision().saturating_sub(revisions).max(MIN_REVISION);
                self.platform.restore(to);
                self.publish();
                self.history.lock().record_store_disturbance(began);
            }
            Fault::Storm(gap) => {
                while began.elapsed() < duration {
                    self.publish();
                    tokio::time::sleep(gap.min(duration)).await;
                }
            }
        }
        Ok(())
    }

    /// Selects the nodes of a scope and records the beginning of a disturbance.
    async fn begin_disturbance(&self, cause: Cause, scope: Scope) -> Vec<usize> {
        let nodes = self.nodes_in(scope).await;
        self.history.lock().begin_disturbance(cause, &nodes, Instant::now());
        nodes
    }

    fn end_disturbance(&self, cause: Cause, nodes: &[usize]) {
        self.history.lock().end_disturbance(cause, nodes, Instant::now());
    }

    /// Kills the process of a node if it is running and starts a new one.
    fn restart(&self, i: usize, node: &mut Node) -> anyhow::Result<()> {
        node.restart()?;
        let mut history = self.history.lock();
        history.end_stop(i, Instant::now());
        history.record_start(i, Instant::now());
        Ok(())
    }

    /// Stops nodes, one after the other if there is a gap, and starts them again.
    async fn stop_nodes(self: &Arc<Self>, stop: Stop) -> anyhow::Result<()> {
        let mut stops = JoinSet::new();
        for (n, i) in self.nodes_in(stop.scope).await.into_iter().enumerate() {
            let deployment = self.clone();
            stops.spawn(async move {
                tokio::time::sleep(stop.gap * n as u32).await;
                deployment.history.lock().begin_disturbance(Cause::Planned, &[i], Instant::now());
                deployment.stop(i, stop.signals).await?;
                deployment.end_disturbance(Cause::Planned, &[i]);
                anyhow::Ok(())
            });
        }
        while let Some(ended) = stops.join_next().await {
            ended??;
        }
        Ok(())
    }

    /// Sends a series of signals to the process of a node and starts it again when it has ended.
    async fn stop(&self, i: usize, signals: Series) -> anyhow::Result<()> {
        let limit = self.drain.grace + KILL_AFTER_GRACE;
        let pid = self.nodes[i].lock().await.pid();
        let mut signals = signals.iter().peekable();
        let mut next = Instant::now();
        let mut since = None;
        loop {
            let mut node = self.nodes[i].lock().await;
            // Another fault has killed the process and starts it again.
            if pid.is_none() || node.pid() != pid {
                return Ok(());
            }
            let has_ended = node.exit_code()?.is_some();
            if has_ended {
                self.history.lock().end_stop(i, Instant::now());
            }
            if has_ended || since.is_some_and(|it: Instant| it.elapsed() > limit) {
                return self.restart(i, &mut node);
            }
            while let Some((pause, signal)) =
                signals.next_if(|(pause, _)| next + *pause <= Instant::now())
            {
                next += pause;
                let now = Instant::now();
                match signal {
                    Signal::Term | Signal::Int => {
                        since.get_or_insert(now);
                        self.history.lock().begin_stop(i, now);
                    }
                    Signal::Hup => self.history.lock().record_reload(i, now),
                }
                let _ = node.signal(signal.name());
            }
            drop(node);
            tokio::time::sleep(STOP_POLL).await;
        }
    }

    async fn signal(&self, nodes: &[usize], name: &str) {
        for i in nodes {
            // A node without a process was killed by another fault.
            let _ = self.nodes[*i].lock().await.signal(name);
        }
    }

    fn set_links(&self, nodes: &[usize], fault: link::Fault) {
        nodes.iter().for_each(|i| self.links[*i].set(fault));
    }

    fn set_paths(&self, nodes: &[usize], fault: PathFault) {
        nodes.iter().flat_map(|i| &self.paths[*i]).for_each(|it| it.set(fault));
    }

    async fn cut(&self, nodes: &[usize], peers: &[SocketAddr]) {
        for i in nodes {
            // A node that does not answer does not send frames either.
            let _ = timeout(OPERATOR_TIMEOUT, self.nodes[*i].lock().await.cut(peers)).await;
        }
    }

    /// Returns the state of every node's process.
    pub(crate) async fn processes(&self) -> anyhow::Result<Vec<Process>> {
        let mut all = Vec::new();
        for node in &self.nodes {
            let mut node = node.lock().await;
            let has_ended = node.pid().is_some() && node.exit_code()?.is_some();
            let memory_mb = node.pid().and_then(standin::node::memory_mb);
            let log_bytes = std::fs::metadata(&node.log)?.len();
            all.push(Process { has_ended, memory_mb, log_bytes });
        }
        Ok(all)
    }

    /// Keeps the directory with the node logs and returns its path.
    pub(crate) fn keep_logs(self) -> PathBuf {
        self.dir.keep()
    }
}

/// State of a node's process at the end of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Process {
    /// Whether the process exited without being stopped by the test.
    pub(crate) has_ended: bool,
    pub(crate) memory_mb: Option<f64>,
    pub(crate) log_bytes: u64,
}

fn endpoint(addr: SocketAddr, domain: &str) -> Endpoint {
    Endpoint {
        id: addr.to_string().into(),
        addr,
        failure_domain: domain.into(),
        slots: 0,
        standing: Standing::Present,
        warm_up_ms: 0,
        started_ms: 0,
    }
}
