//! Runs nodes as processes on loopback for tests and measurements.

use std::net::{IpAddr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use http_body_util::Full;

use crate::client;

/// Number of occupied ports that the search for free ports may skip.
const MAX_OCCUPIED_PORTS: usize = 2_000;
/// First port of the range in which free ports are searched.
const FIRST_PORT: u32 = 10_000;
/// Number of ports in that range.
const PORT_COUNT: u32 = 22_000;
/// Distance between the first ports that test processes with consecutive process ids try.
const PORT_STRIDE: u32 = 701;
/// Number of ports that this process has tried.
static NEXT_STEP: AtomicU32 = AtomicU32::new(0);

/// Addresses and failure domain of a node.
#[derive(Clone, Debug)]
pub struct NodeAddrs {
    /// Address for messages of other nodes.
    pub fleet: SocketAddr,
    /// Address for callers.
    pub traffic: SocketAddr,
    /// Address of the operator API.
    pub operator: SocketAddr,
    /// Failure domain of the node.
    pub failure_domain: String,
}

/// Options that all nodes of a test have in common.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the node program.
    pub binary: PathBuf,
    /// Address of the stand-in platform.
    pub platform: SocketAddr,
    /// Dispatch mode, as in the settings.
    pub mode: String,
    /// Minimum log level, as in the settings.
    pub log_level: String,
    /// The section `[drain]` of the settings.
    pub drain: String,
    /// Addresses of the nodes that a node contacts first to discover others.
    pub seeds: Vec<SocketAddr>,
    /// Floor of the services, which the platform does not provide.
    pub floor: String,
    /// Bias of the services, which the platform does not provide.
    pub bias: String,
    /// Pairs of an endpoint's registered address and the address at which the node reaches it.
    pub endpoint_addrs: Vec<(SocketAddr, SocketAddr)>,
}

impl Options {
    /// Creates options with defaults for a program and a platform.
    pub fn new(binary: &Path, platform: SocketAddr) -> Self {
        Self {
            binary: binary.to_owned(),
            platform,
            mode: "permits".into(),
            log_level: "info".into(),
            drain: "lag_ms = 100".into(),
            seeds: Vec::new(),
            floor: "60%".into(),
            bias: "balanced".into(),
            endpoint_addrs: Vec::new(),
        }
    }
}

/// A node that runs as a process. Dropping it kills the process.
#[derive(Debug)]
pub struct Node {
    /// Addresses of the node.
    pub addrs: NodeAddrs,
    /// Path of the log file.
    pub log: PathBuf,
    settings: PathBuf,
    binary: PathBuf,
    child: Option<Child>,
}

/// Finds `n` loopback addresses that are free for both UDP and TCP.
///
/// The ports lie below the ephemeral ports that the kernel assigns to outgoing connections. With ephemeral ports,
/// connections of one test occupied addresses of another between the search and the start of its processes. Each call
/// continues where the previous one ended, so that an address is not returned again soon. Each test process has a
/// loopback address of its own, because the ports of killed nodes and of links that refuse connections look free to
/// others.
pub fn free_addrs(n: usize) -> anyhow::Result<Vec<SocketAddr>> {
    let mut free = Vec::new();
    let ip = own_loopback_ip();
    for _ in 0..n + MAX_OCCUPIED_PORTS {
        if free.len() == n {
            return Ok(free);
        }
        let step = NEXT_STEP.fetch_add(1, Ordering::Relaxed);
        let start = std::process::id() % PORT_COUNT * PORT_STRIDE;
        let port = FIRST_PORT + (start + step) % PORT_COUNT;
        let addr = SocketAddr::new(ip, port as u16);
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            free.push(addr);
        }
    }
    bail!("not enough ports are free for both UDP and TCP; stop other test runs")
}

/// The loopback address of this test process.
fn own_loopback_ip() -> IpAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    // 127.0.0.x is left to everything else.
    IpAddr::from([127, 1 + high % 250, low, 1])
}

/// Finds addresses for `n` nodes, spread over the failure domains.
pub fn node_addrs(n: usize, failure_domains: &[&str]) -> anyhow::Result<Vec<NodeAddrs>> {
    Ok(nodes_at(&free_addrs(3 * n)?, failure_domains))
}

/// Assigns three of the given addresses to each node and spreads the nodes over the failure domains.
pub fn nodes_at(addrs: &[SocketAddr], failure_domains: &[&str]) -> Vec<NodeAddrs> {
    let node = |(i, it): (usize, &[SocketAddr])| NodeAddrs {
        fleet: it[0],
        traffic: it[1],
        operator: it[2],
        failure_domain: failure_domains[i % failure_domains.len()].to_owned(),
    };
    addrs.chunks_exact(3).enumerate().map(node).collect()
}

impl Node {
    /// Writes the settings file into `dir` and starts the process.
    pub fn start(dir: &Path, addrs: &NodeAddrs, options: &Options) -> anyhow::Result<Self> {
        let port = addrs.fleet.port();
        let key = dir.join("fleet.key");
        if !key.exists() {
            std::fs::write(&key, "a secret for tests only")?;
        }
        let settings = dir.join(format!("node-{port}.toml"));
        std::fs::write(&settings, settings_text(addrs, options, &key))?;
        let log = dir.join(format!("node-{port}.log"));
        let binary = options.binary.clone();
        let mut node = Self { addrs: addrs.clone(), log, settings, binary, child: None };
        node.restart()?;
        Ok(node)
    }

    /// Kills the process if it is running and starts a new one, without any state, as on a replaced VM.
    pub fn restart(&mut self) -> anyhow::Result<()> {
        let log = self.open_log()?;
        self.restart_with(log.into())
    }

    /// Restarts the process with a pipe as standard output that is never read.
    pub fn restart_unread(&mut self) -> anyhow::Result<()> {
        self.restart_with(Stdio::piped())
    }

    fn restart_with(&mut self, stdout: Stdio) -> anyhow::Result<()> {
        self.kill();
        let child = Command::new(&self.binary)
            .args(["run", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stderr(self.open_log()?)
            .stdout(stdout)
            .spawn()
            .with_context(|| format!("{}: build it first", self.binary.display()))?;
        self.child = Some(child);
        Ok(())
    }

    fn open_log(&self) -> std::io::Result<std::fs::File> {
        std::fs::File::options().create(true).append(true).open(&self.log)
    }

    /// Replaces text in the settings file.
    pub fn edit_settings(&self, old: &str, new: &str) -> anyhow::Result<()> {
        let text = std::fs::read_to_string(&self.settings)?;
        std::fs::write(&self.settings, text.replace(old, new))?;
        Ok(())
    }

    /// Returns the process id, unless the process was killed by the test.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends the signal with the given name, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) -> anyhow::Result<()> {
        let Some(pid) = self.pid() else { bail!("the node is not running") };
        let status = Command::new("kill").args([&format!("-{name}"), &pid.to_string()]).status()?;
        if !status.success() {
            bail!("signal {name} was not delivered");
        }
        Ok(())
    }

    /// Makes the node drop its frames to the given addresses. An empty list ends the cut.
    pub async fn cut(&self, to: &[SocketAddr]) -> anyhow::Result<()> {
        let body = serde_json::json!({ "to": to }).to_string();
        let req =
            client::request("PUT", "/v1/faults/cut").header("content-type", "application/json");
        let got = client::send(self.addrs.operator, req.body(Full::new(body.into()))?).await?;
        if !got.status.is_success() {
            bail!("the node rejected the cut: {}", got.text());
        }
        Ok(())
    }

    /// Returns the exit code if the process has ended, -1 if a signal ended it.
    pub fn exit_code(&mut self) -> anyhow::Result<Option<i32>> {
        let Some(child) = &mut self.child else { return Ok(None) };
        Ok(child.try_wait()?.map(|it| it.code().unwrap_or(-1)))
    }

    /// Waits until the node is ready, at most for `limit`.
    pub async fn wait_ready(&self, limit: Duration) -> anyhow::Result<()> {
        let since = Instant::now();
        loop {
            let got = client::get(self.addrs.operator, "/v1/ready").await;
            match got {
                Ok(it) if it.status.is_success() => return Ok(()),
                _ if since.elapsed() < limit => {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
                Ok(it) => bail!("{} is not ready: {}", self.addrs.fleet, it.text()),
                Err(it) => bail!("{} does not answer: {it}", self.addrs.operator),
            }
        }
    }

    /// Fetches the node's report from its operator API.
    pub async fn report(&self) -> anyhow::Result<serde_json::Value> {
        let got = client::get(self.addrs.operator, "/v1/fleet").await?;
        Ok(serde_json::from_slice(&got.body)?)
    }

    /// Fetches the value of a metric, summed over its labels.
    pub async fn metric(&self, name: &str) -> anyhow::Result<f64> {
        let got = client::get(self.addrs.operator, "/metrics").await?;
        let text = got.text();
        let lines = text
            .lines()
            .filter(|it| it.strip_prefix(name).is_some_and(|rest| rest.starts_with(['{', ' '])));
        Ok(lines.filter_map(|it| it.rsplit(' ').next()?.parse::<f64>().ok()).sum())
    }
}

/// Returns the resident memory of a process in MB.
pub fn memory_mb(pid: u32) -> Option<f64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|it| it.starts_with("VmRSS:"))?;
    let kb: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kb / 1024.0)
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

fn settings_text(addrs: &NodeAddrs, options: &Options, key: &Path) -> String {
    let seeds: Vec<String> = options.seeds.iter().map(|it| format!("\"{it}\"")).collect();
    let endpoint_addrs: Vec<String> =
        options.endpoint_addrs.iter().map(|(from, to)| format!("\"{from}\" = \"{to}\"")).collect();
    format!(
        r#"[node]
addr = "{fleet}"
failure_domain = "{domain}"
[traffic]
listen = "{traffic}"
endpoint_addrs = {{ {endpoint_addrs} }}
[operator]
listen = "{operator}"
fault_injection = true
[platform]
addr = "{platform}"
floor = "{floor}"
bias = "{bias}"
[fleet]
key_file = "{key}"
seeds = [{seeds}]
[dispatch]
mode = "{mode}"
[drain]
{drain}
[log]
level = "{level}"
"#,
        fleet = addrs.fleet,
        domain = addrs.failure_domain,
        traffic = addrs.traffic,
        operator = addrs.operator,
        platform = options.platform,
        floor = options.floor,
        bias = options.bias,
        seeds = seeds.join(", "),
        endpoint_addrs = endpoint_addrs.join(", "),
        key = key.display(),
        mode = options.mode,
        drain = options.drain,
        level = options.log_level,
    )
}
