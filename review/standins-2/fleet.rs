//! The program under test: processes started with the command of the deploy file and the settings that its
//! template gives on a small deployment. Each node has a loopback address of its own, with ports that are alike.

use std::fs;
use std::io::{self, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Conn;
use crate::store::Store;

/// Command of the role in `deploy/system.toml`.
const COMMAND: [&str; 2] = ["target/release/dappleway", "run"];
/// The failure domains.
pub const ZONES: [&str; 3] = ["quito-a", "quito-b", "ibarra"];
/// Number of machines that the settings name as seeds: the first ones.
pub const SEEDS: usize = 3;
/// Limit for the start of all nodes.
const START_LIMIT: Duration = Duration::from_secs(30);

/// Ports of a node.
#[derive(Clone, Copy)]
struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    inner: u16,
}

/// A node and its process.
pub struct Node {
    pub front: SocketAddr,
    ready: SocketAddr,
    log: PathBuf,
    settings: PathBuf,
    /// File that lists the processes that were started.
    pids: PathBuf,
    process: Option<Child>,
}

/// All nodes; dropping them ends their processes.
pub struct Fleet {
    pub nodes: Vec<Node>,
}

impl Fleet {
    /// Starts a node in each of these zones and waits until all of them are ready.
    pub fn start(dir: &Path, zones: &[&str], store: &Store) -> io::Result<Self> {
        fs::write(dir.join("pids"), "")?;
        let count = zones.len();
        let ips: Vec<IpAddr> =
            (0..count).map(|i| Ipv4Addr::new(127, 0, 0, 11 + i as u8).into()).collect();
        let ports = free_ports(&ips)?;
        let mut nodes = Vec::new();
        for (i, ip) in ips.iter().enumerate() {
            let settings = dir.join(format!("node-{i}.toml"));
            let text = settings_text(*ip, ports, &ips, zones[i], store.serve(i)?);
            fs::write(&settings, text)?;
            let mut node = Node {
                front: SocketAddr::new(*ip, ports.front),
                ready: SocketAddr::new(*ip, ports.ready),
                log: dir.join(format!("node-{i}.log")),
                settings,
                pids: dir.join("pids"),
                process: None,
            };
            node.start()?;
            nodes.push(node);
        }
        let fleet = Self { nodes };
        let since = Instant::now();
        while !fleet.nodes.iter().all(Node::is_ready) {
            if since.elapsed() > START_LIMIT {
                return Err(io::Error::other("the nodes do not become ready"));
            }
            thread::sleep(Duration::from_millis(100));
        }
        Ok(fleet)
    }
}

impl Node {
    /// Starts the process.
    pub fn start(&mut self) -> io::Result<()> {
        let log = fs::File::options().create(true).append(true).open(&self.log)?;
        let process = Command::new(COMMAND[0])
            .args(&COMMAND[1..])
            .env("DAPPLEWAY_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        writeln!(fs::File::options().append(true).open(&self.pids)?, "{}", process.id())?;
        self.process = Some(process);
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut it) = self.process.take() {
            let _ = it.kill();
            let _ = it.wait();
        }
    }

    /// Whether the node answers the balancer's question with 200.
    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_secs(1);
        let Ok(stream) = TcpStream::connect_timeout(&self.ready, limit) else { return false };
        let mut conn = Conn::new(stream);
        let text = "GET /readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
        let deadline = Some(Instant::now() + limit);
        conn.write(text.as_bytes()).is_ok()
            && matches!(conn.head(deadline), Ok(Some(it)) if it.status() == 200)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Ports that are free on all addresses.
fn free_ports(ips: &[IpAddr]) -> io::Result<Ports> {
    let is_free = |port: u16| {
        ips.iter().all(|ip| {
            TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok()
        })
    };
    let start = 20_000 + (std::process::id() % 1_000) as u16 * 10;
    let mut free = (0..2_000).map(|i| start + i).filter(|it| is_free(*it));
    let mut next = || free.next().ok_or_else(|| io::Error::other("no free port"));
    Ok(Ports { front: next()?, ready: next()?, control: next()?, inner: next()? })
}

/// `deploy/node.toml`, filled with the settings of a machine of the small deployment.
fn settings_text(
    ip: IpAddr,
    ports: Ports,
    ips: &[IpAddr],
    zone: &str,
    store: SocketAddr,
) -> String {
    let Ports { front, ready, control, inner } = ports;
    let seeds: Vec<String> =
        ips.iter().take(SEEDS).map(|it| format!("\"{it}:{control}\"")).collect();
    let seeds = seeds.join(",");
    let regions: String = ZONES.map(|it| format!("\"{it}\" = \"sierra-norte\"\n")).concat();
    format!(
        "[node]\naddr = \"{ip}:{inner}\"\nfailure_domain = \"{zone}\"\ncores = 1\ncpu_share = 0.2\n\
         link_mbps = 1000.0\nmemory_mb = 260\n\n[node.regions]\n{regions}\n\
         [traffic]\nlisten = \"{ip}:{front}\"\nthreads = 1\nconnect_timeout_ms = 150\n\n\
         [operator]\nlisten = \"{ip}:{ready}\"\n\n[platform]\naddr = \"{store}\"\n\n\
         [fleet]\nseeds = [{seeds}]\nseed_port = {inner}\n\n\
         [dispatch]\nask_timeout_ms = 40\nrepeat_ratio = 0.2\nrepeat_extra = 58\nrepeat_window_ms = 10000\n\n\
         [drain]\nlag_ms = 2500\ngrace_ms = 5800\nkill_after_s = 6\n\n[log]\nlevel = \"info\"\n"
    )
}
