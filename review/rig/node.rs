//! Starts the program as the deploy file says, and sends it signals.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// The program, as in `deploy/system.toml`.
const PROGRAM: &str = "target/release/dappleway";
/// Time limit for one question to the `ready` address.
const READY_TIMEOUT: Duration = Duration::from_millis(500);

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// A signal of the platform.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    /// A pause.
    Stop = 19,
    /// The end of a pause.
    Cont = 18,
}

/// The ports of all nodes; each node has an IP address of its own.
#[derive(Clone, Copy)]
pub struct Ports {
    pub fleet: u16,
    pub front: u16,
    pub ready: u16,
}

impl Ports {
    /// Finds ports that are free on an address.
    pub fn find(ip: IpAddr) -> io::Result<Self> {
        let free = || -> io::Result<u16> {
            loop {
                let port = TcpListener::bind((ip, 0))?.local_addr()?.port();
                if UdpSocket::bind((ip, port)).is_ok() {
                    return Ok(port);
                }
            }
        };
        Ok(Self { fleet: free()?, front: free()?, ready: free()? })
    }
}

/// The loopback address of a node. Cases that run at the same time use different addresses.
pub fn node_ip(node: usize) -> IpAddr {
    let pid = std::process::id();
    Ipv4Addr::new(127, 64 + (pid >> 8 & 0x3f) as u8, pid as u8, node as u8 + 1).into()
}

/// One machine with its process.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Node {
    /// Writes the settings, as `deploy/node.toml` gives them on a small deployment, and starts the process.
    pub fn start(
        folder: &Path,
        node: usize,
        zone: &str,
        ports: Ports,
        store: SocketAddr,
    ) -> io::Result<Self> {
        let ip = node_ip(node);
        let name = format!("front-{zone}-{}", node + 1);
        let Ports { fleet, front, ready } = ports;
        let seeds: Vec<String> =
            (0..3).map(|it| format!("\"{}\"", SocketAddr::new(node_ip(it), ready + 1))).collect();
        let seeds = seeds.join(", ");
        let text = format!(
            r#"[node]
addr = "{ip}:{fleet}"
failure_domain = "{zone}"
cores = 1
cpu_share = 0.2
link_mbps = 1000.0
memory_mb = 260

[node.regions]
"quito-a" = "sierra-norte"
"quito-b" = "sierra-norte"
"ibarra" = "sierra-norte"

[traffic]
listen = "{ip}:{front}"
threads = 1
connect_timeout_ms = 150

[operator]
listen = "{ip}:{ready}"

[platform]
addr = "{store}"

[fleet]
seeds = [{seeds}]
seed_port = {fleet}

[dispatch]
ask_timeout_ms = 40
repeat_ratio = 0.2
repeat_extra = 58
repeat_window_ms = 10000

[drain]
lag_ms = 2500
grace_ms = 5800

[log]
level = "info"
"#
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        let mut it = Self {
            log: folder.join(format!("{name}.log")),
            front: SocketAddr::new(ip, front),
            ready: SocketAddr::new(ip, ready),
            name,
            settings,
            child: None,
        };
        let log = File::options().create(true).append(true).open(&it.log)?;
        let child = Command::new(PROGRAM)
            .arg("run")
            .env("DAPPLEWAY_SETTINGS", &it.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        it.child = Some(child);
        Ok(it)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // SAFETY: `kill` takes two integers; the process is a child that was not waited for.
            unsafe { kill(child.id() as i32, signal as i32) };
        }
    }

    /// The address of the node that hands out the slots of a service, as this node reports it.
    pub fn dispatched_by(&self, service: &str) -> io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&self.ready, READY_TIMEOUT)?;
        stream.set_read_timeout(Some(READY_TIMEOUT))?;
        write!(
            stream,
            "GET /v1/fleet HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
            self.ready
        )?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        let after = |text: &str, field: &str| {
            text.split_once(field).map_or(String::new(), |(_, after)| after.to_owned())
        };
        let report = after(&text, &format!("\"name\":\"{service}\""));
        let addr = after(&report, "\"dispatched_by\":\"");
        Ok(addr.split('"').next().unwrap_or_default().to_owned())
    }

    /// The lines that the process has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Whether `GET /readyz` at this address gives 200, as the platform's balancer asks.
pub fn is_ready(addr: SocketAddr) -> bool {
    let ask = || -> io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&addr, READY_TIMEOUT)?;
        stream.set_read_timeout(Some(READY_TIMEOUT))?;
        write!(stream, "GET /readyz HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n")?;
        let mut buf = [0; 12];
        stream.read_exact(&mut buf)?;
        Ok(&buf == b"HTTP/1.1 200")
    };
    ask().unwrap_or(false)
}
