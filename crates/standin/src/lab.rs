//! Runs nodes as processes on loopback, for tests and measurements.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use http_body_util::Full;

use crate::client;

/// Ports that may be taken while free ones are sought.
const PORT_TRIES: usize = 2_000;
/// First of the ports that are used here.
const FIRST_PORT: u32 = 10_000;
/// Number of them.
const PORTS: u32 = 22_000;
/// Processes that run at the same time start their search this far apart.
const PORTS_PER_PROCESS: u32 = 701;
/// Ports that this process has tried.
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Addresses of one node.
#[derive(Clone, Debug)]
pub struct NodeAddrs {
    /// Exchange with other nodes.
    pub fleet: SocketAddr,
    /// Callers.
    pub traffic: SocketAddr,
    /// Operators.
    pub operator: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
}

/// What the nodes of a lab have in common.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program.
    pub binary: PathBuf,
    /// The stand-in platform.
    pub platform: SocketAddr,
    /// Way of dispatch, as in the settings.
    pub mode: String,
    /// Least severity logged, as in the settings.
    pub log_level: String,
    /// The balancer's lag.
    pub lag_ms: u64,
    /// Nodes to ask for others at the start.
    pub seeds: Vec<SocketAddr>,
    /// The services' floor and bias, which the platform does not tell.
    pub floor: String,
    /// See above.
    pub bias: String,
}

impl Options {
    /// Common options for a program and a platform.
    pub fn new(binary: &Path, platform: SocketAddr) -> Self {
        Self {
            binary: binary.to_owned(),
            platform,
            mode: "permits".into(),
            log_level: "info".into(),
            lag_ms: 100,
            seeds: Vec::new(),
            floor: "60%".into(),
            bias: "balanced".into(),
        }
    }
}

/// One node as a process; dropping it kills the process.
#[derive(Debug)]
pub struct Node {
    /// Its addresses.
    pub addrs: NodeAddrs,
    /// Where its log is.
    pub log: PathBuf,
    settings: PathBuf,
    binary: PathBuf,
    child: Option<Child>,
}

/// Addresses on loopback that are free for both UDP and TCP.
///
/// They lie below the ports that the kernel gives to outgoing connections; among those, the load of
/// one test took the addresses of another between the search and the start. Each call goes on where
/// the last one ended, so that no address is given twice soon.
pub fn free_addrs(n: usize) -> anyhow::Result<Vec<SocketAddr>> {
    let mut free = Vec::new();
    for _ in 0..n + PORT_TRIES {
        if free.len() == n {
            return Ok(free);
        }
        let step = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let start = std::process::id() % PORTS * PORTS_PER_PROCESS;
        let port = FIRST_PORT + (start + step) % PORTS;
        let addr = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            free.push(addr);
        }
    }
    bail!("too few ports are free for both UDP and TCP: end other test runs")
}

/// Addresses for `n` nodes, spread over the failure domains.
pub fn node_addrs(n: usize, failure_domains: &[&str]) -> anyhow::Result<Vec<NodeAddrs>> {
    Ok(nodes_at(&free_addrs(3 * n)?, failure_domains))
}

/// Nodes at the given addresses, three for each, spread over the failure domains.
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
    /// Writes the settings into `dir` and starts the process.
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

    /// Starts the process again after it has ended; as a replaced VM it remembers nothing.
    pub fn restart(&mut self) -> anyhow::Result<()> {
        let log = self.open_log()?;
        self.restart_with(log.into())
    }

    /// The same, with a standard output that nobody reads.
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

    /// Replaces a text in the settings file.
    pub fn edit_settings(&self, old: &str, new: &str) -> anyhow::Result<()> {
        let text = std::fs::read_to_string(&self.settings)?;
        std::fs::write(&self.settings, text.replace(old, new))?;
        Ok(())
    }

    /// The process's identity.
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

    /// Sends a signal by its name, as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) -> anyhow::Result<()> {
        let Some(pid) = self.pid() else { bail!("the node does not run") };
        let status = Command::new("kill").args([&format!("-{name}"), &pid.to_string()]).status()?;
        if !status.success() {
            bail!("signal {name} was not delivered");
        }
        Ok(())
    }

    /// Drops the frames that this node sends to others; an empty list heals the cut.
    pub async fn cut(&self, to: &[SocketAddr]) -> anyhow::Result<()> {
        let body = serde_json::json!({ "to": to }).to_string();
        let req =
            client::request("PUT", "/v1/faults/cut").header("content-type", "application/json");
        let got = client::send(self.addrs.operator, req.body(Full::new(body.into()))?).await?;
        if !got.status.is_success() {
            bail!("the cut was refused: {}", got.text());
        }
        Ok(())
    }

    /// Whether the process has ended, and how.
    pub fn exit_code(&mut self) -> anyhow::Result<Option<i32>> {
        let Some(child) = &mut self.child else { return Ok(None) };
        Ok(child.try_wait()?.map(|it| it.code().unwrap_or(-1)))
    }

    /// Waits until the node is ready.
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

    /// The node's report.
    pub async fn report(&self) -> anyhow::Result<serde_json::Value> {
        let got = client::get(self.addrs.operator, "/v1/fleet").await?;
        Ok(serde_json::from_slice(&got.body)?)
    }

    /// A metric's value, summed over its labels.
    pub async fn metric(&self, name: &str) -> anyhow::Result<f64> {
        let got = client::get(self.addrs.operator, "/metrics").await?;
        let text = got.text();
        let lines = text
            .lines()
            .filter(|it| it.strip_prefix(name).is_some_and(|rest| rest.starts_with(['{', ' '])));
        Ok(lines.filter_map(|it| it.rsplit(' ').next()?.parse::<f64>().ok()).sum())
    }
}

/// Resident memory of a process in MB.
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
    format!(
        r#"[node]
addr = "{fleet}"
failure_domain = "{domain}"
[traffic]
listen = "{traffic}"
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
lag_ms = {lag}
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
        key = key.display(),
        mode = options.mode,
        lag = options.lag_ms,
        level = options.log_level,
    )
}
