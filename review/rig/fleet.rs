//! A small deployment: a store, endpoints, nodes and a balancer.

use std::fs;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::{Balancer, Kind};
use crate::endpoint::Endpoint;
use crate::node::{Node, Ports, is_ready, node_ip};
use crate::record::Record;
use crate::store::Store;

/// Bookings: run at most once.
pub const BOOKING: Kind =
    Kind { name: "booking", method: "POST", host: "hulo84.example", path: "/xapu221/ny95/" };
/// Look-ups: may run more than once.
pub const LOOKUP: Kind =
    Kind { name: "look-up", method: "GET", host: "jepu9.example", path: "/lepu270/" };
/// The service of both routes at the start.
pub const SERVICE: &str = "wuno96b";
/// Another service.
pub const OTHER_SERVICE: &str = "kafi81c";
const CONFIG_KEY: &str = "op/config";
/// Time limit for all nodes to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);
/// Machines are in touch this long after their start: `contactS`, and one second for the start itself.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// The configuration with this version; look-ups go to `lookups`.
fn config(version: u64, lookups: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":{{"columns":["name","host","pathPrefix","kind","timeoutS","sloS","priority","split","maxAttempts","service"],"rows":[["r-9n73hh2","jepu9.example","/lepu270/","safe",3,1,2,null,2,"{lookups}"],["r-b9wu3fe","hulo84.example","/xapu221/ny95/","unsafe",3,1,1,null,2,"{SERVICE}"]]}},"services":{{"columns":["name","healthPath","maxConns","protocol","tls"],"rows":[["{SERVICE}","/healthz",330,"h1",false],["{OTHER_SERVICE}","/healthz",330,"h1",false]]}},"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}}}"#
    )
}

/// A running deployment. Dropping it ends the nodes.
pub struct Fleet {
    pub nodes: Vec<Node>,
    pub endpoints: Vec<Endpoint>,
    pub store: Store,
    pub balancer: Arc<Balancer>,
    stop: Arc<AtomicBool>,
    folder: PathBuf,
}

impl Fleet {
    /// Publishes a configuration and the endpoints, starts a node for each of `zones`, and waits until all nodes are
    /// ready and in touch.
    pub fn start(zones: &[&str], endpoints: Vec<Endpoint>, record: &Record) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("dappleway-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = Store::default();
        store.put(CONFIG_KEY, &config(7, SERVICE));
        for it in &endpoints {
            store.put(&it.key(), &it.entry());
            record.line(format!("endpoint {} at {} in {}", it.id, it.addr, it.zone));
        }
        let ports = Ports::find(node_ip(0))?;
        let mut nodes = Vec::new();
        for (i, zone) in zones.iter().enumerate() {
            let node = Node::start(&folder, i, zone, ports, store.listen(i)?)?;
            record.line(format!("node {} is {} at {}", i + 1, node.name, node.front));
            nodes.push(node);
        }
        let since = Instant::now();
        while !nodes.iter().all(|it| is_ready(it.ready)) {
            if since.elapsed() > START_TIMEOUT {
                let logs: Vec<String> = nodes.iter().map(Node::log).collect();
                return Err(io::Error::other(format!("the nodes did not become ready: {logs:?}")));
            }
            thread::sleep(Duration::from_millis(50));
        }
        record.line("all nodes are ready");
        let stop = Arc::new(AtomicBool::new(false));
        let addrs = nodes.iter().map(|it| (it.front, it.ready)).collect();
        let balancer = Balancer::start(addrs, &stop);
        thread::sleep(SETTLE_TIME);
        Ok(Self { nodes, endpoints, store, balancer, stop, folder })
    }

    /// Publishes a configuration that sends look-ups to the other service.
    pub fn move_lookups(&self) {
        self.store.put(CONFIG_KEY, &config(12, OTHER_SERVICE));
    }

    /// Number of the node that hands out the slots of the service, as the nodes report it.
    pub fn dispatcher(&self) -> io::Result<usize> {
        let addr = self.nodes[0].dispatched_by(SERVICE)?;
        let is_it = |it: &Node| addr.starts_with(&format!("{}:", it.front.ip()));
        let unknown = || io::Error::other(format!("no node has the address `{addr}`"));
        self.nodes.iter().position(is_it).ok_or_else(unknown)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.nodes.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
