//! The sections of the settings and their keys.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use fleet::{Capacity, Features};
use policy::{
    BudgetLimits, ConcurrencyLimits, Contention, DispatchOptions, DoubtfulSlots, StopTimes,
    Topology,
};
use resources::{Bias, Floor};
use serde::{Deserialize, Serialize};
use upstream::Connector;

use super::defaults;

/// Time by which a stopping process ends before it would be killed.
const KILL_MARGIN: Duration = Duration::from_millis(200);
/// The part of that time that this margin takes at most.
const MAX_KILL_MARGIN_SHARE: f64 = 0.05;

/// All settings of a process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity and resources of this node.
    pub node: Node,
    /// The listener for callers.
    pub traffic: Traffic,
    /// The operator API.
    pub operator: Operator,
    /// Access to the platform.
    pub platform: Platform,
    /// The exchange with other nodes.
    pub fleet: Fleet,
    /// Dispatch of requests to endpoints.
    #[serde(default)]
    pub dispatch: Dispatch,
    /// The planned stop.
    #[serde(default)]
    pub drain: Drain,
    /// Logging.
    #[serde(default)]
    pub log: Log,
}

/// Identity and resources of this node.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Address for the exchange with other nodes, over UDP and TCP.
    pub addr: SocketAddr,
    /// The failure domain that the VM runs in.
    pub failure_domain: String,
    /// Bandwidth of the VM's link, in Mbit/s. It bounds the data sent to peers at the same time, and nodes with more
    /// bandwidth are preferred as readers of the platform.
    #[serde(default = "defaults::link_mbps")]
    pub link_mbps: f64,
    /// Number of cores of the VM.
    #[serde(default = "defaults::cores")]
    pub cores: f64,
    /// Share of the VM's cores that this process may use; 1.0 for all. Nodes with more CPU are preferred as
    /// dispatchers.
    #[serde(default = "defaults::cpu_share")]
    pub cpu_share: f64,
    /// Memory that this process may use, in MB. An eighth of the memory is reserved for long request bodies that are
    /// kept for another send, and an eighth for long answers that are buffered until they are complete.
    #[serde(default = "defaults::memory_mb")]
    pub memory_mb: u32,
    /// The region of each failure domain. A failure domain that is not listed counts as near all others.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
}

impl Node {
    /// Memory for long request bodies that are kept for another send, in bytes.
    pub fn held_body_bytes(&self) -> usize {
        self.memory_mb as usize * 1024 * 1024 / 8
    }

    /// Memory for long answers that are buffered until they are complete, in bytes.
    pub fn held_answer_bytes(&self) -> usize {
        self.memory_mb as usize * 1024 * 1024 / 8
    }

    /// The mapping of failure domains to regions.
    pub fn topology(&self) -> Topology {
        let all = self.regions.iter();
        Topology::new(all.map(|(domain, region)| (domain.as_str(), region.as_str())))
    }

    /// CPU and bandwidth of this node, as announced to other nodes.
    pub fn capacity(&self) -> Capacity {
        let millicores = (self.cores * self.cpu_share * 1e3) as u32;
        Capacity { millicores, link_mbps: self.link_mbps as u32 }
    }
}

/// The listener for callers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Address of the listener for callers.
    pub listen: SocketAddr,
    /// Number of threads that handle traffic.
    #[serde(default = "defaults::threads")]
    pub threads: usize,
    /// Maximum length of a request body, in bytes.
    #[serde(default = "defaults::max_body_bytes")]
    pub max_body_bytes: u64,
    /// Maximum number of requests in flight; further requests are refused at once.
    #[serde(default = "defaults::max_in_flight")]
    pub max_in_flight: usize,
    /// Timeout for reading the head of a request and the part of the body that is read before the request is sent.
    #[serde(default = "defaults::read_timeout_ms")]
    pub read_timeout_ms: u64,
    /// Timeout for connecting to an upstream.
    #[serde(default = "defaults::connect_timeout_ms")]
    pub connect_timeout_ms: u64,
    /// Addresses under which this VM reaches endpoints, by registered address, where a network translates them.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub endpoint_addrs: BTreeMap<SocketAddr, SocketAddr>,
}

impl Traffic {
    /// Opens connections to endpoints.
    pub fn connector(&self) -> Connector {
        let translations = self.endpoint_addrs.iter().map(|(from, to)| (*from, *to)).collect();
        Connector::new(Duration::from_millis(self.connect_timeout_ms)).translating(translations)
    }
}

/// The operator API.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Address of the API.
    pub listen: SocketAddr,
    /// File with the token, of 16 bytes or more, that requests to the API must carry. Without a token, only
    /// liveness, readiness and metrics are served to other VMs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token_file: Option<PathBuf>,
    /// Whether operators may inject faults; for test fleets only.
    #[serde(default)]
    pub fault_injection: bool,
}

/// Access to the platform, and defaults for its services.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of the platform's store.
    pub addr: SocketAddr,
    /// Healthy capacity below which no endpoint is ejected, for services that do not specify it.
    #[serde(default = "defaults::floor")]
    pub floor: Floor,
    /// Trade-off between detection speed and false ejections, for services that do not specify it.
    #[serde(default)]
    pub bias: Bias,
}

/// The exchange with other nodes.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// File with the fleet's secret, of 16 bytes or more. Without a secret, frames are only checked for damage, and
    /// the network between nodes must be closed to others.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key_file: Option<PathBuf>,
    /// File with a second secret that is accepted while the secret is being replaced.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub also_accept_key_file: Option<PathBuf>,
    /// Nodes from which this node learns of other nodes when it starts. Some of them may be gone or down.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Exchange port of the seeds, if the ports in `seeds` belong to another service of these nodes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed_port: Option<u16>,
}

impl Fleet {
    /// Exchange addresses of the seeds.
    pub fn seed_addrs(&self) -> Vec<SocketAddr> {
        let port = |it: &SocketAddr| self.seed_port.unwrap_or(it.port());
        self.seeds.iter().map(|it| SocketAddr::new(it.ip(), port(it))).collect()
    }
}

/// Dispatch of requests to endpoints.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Dispatch {
    /// The dispatch mode.
    #[serde(default)]
    pub mode: Mode,
    /// Time after which an unanswered ask to another node counts as lost.
    #[serde(default = "defaults::ask_timeout_ms")]
    pub ask_timeout_ms: u64,
    /// Repeats and hedges allowed for each request to a service, over the whole fleet and any window.
    #[serde(default = "defaults::repeat_ratio")]
    pub repeat_ratio: f64,
    /// Repeats and hedges of a service allowed in addition, over the whole fleet and any window.
    #[serde(default = "defaults::repeat_extra")]
    pub repeat_extra: f64,
    /// Length of the window of `repeat_ratio` and `repeat_extra`.
    #[serde(default = "defaults::repeat_window_ms")]
    pub repeat_window_ms: u64,
    /// Whether each failure domain of a large service has a dispatching node of its own. If it is off at one node,
    /// one node dispatches for all at all nodes.
    #[serde(default)]
    pub by_failure_domain: ByFailureDomain,
    /// How many slots an endpoint gives whose health is in doubt.
    #[serde(default)]
    pub doubtful_slots: DoubtfulSlots,
    /// Whether concurrency limits of endpoints are learned.
    #[serde(default)]
    pub concurrency_limits: ConcurrencyLimits,
    /// Whether requests stay in their failure domain while there is room for them.
    #[serde(default)]
    pub near_first: NearFirst,
    /// What decides on requests that compete for too few slots: their rank, or the length of the queue.
    #[serde(default)]
    pub contention: Contention,
}

/// Use of dispatch by failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ByFailureDomain {
    /// For services with enough endpoints in each failure domain, while all nodes support it.
    #[default]
    Auto,
    /// Never.
    Off,
}

impl Default for Dispatch {
    fn default() -> Self {
        Self {
            mode: Mode::default(),
            ask_timeout_ms: defaults::ask_timeout_ms(),
            repeat_ratio: defaults::repeat_ratio(),
            repeat_extra: defaults::repeat_extra(),
            repeat_window_ms: defaults::repeat_window_ms(),
            by_failure_domain: ByFailureDomain::default(),
            doubtful_slots: DoubtfulSlots::default(),
            concurrency_limits: ConcurrencyLimits::default(),
            near_first: NearFirst::default(),
            contention: Contention::default(),
        }
    }
}

impl Dispatch {
    /// Limits of the budget for repeats.
    pub fn budget(&self) -> BudgetLimits {
        let window = Duration::from_millis(self.repeat_window_ms);
        BudgetLimits { ratio: self.repeat_ratio, extra: self.repeat_extra, window }
    }

    /// Optional parts of the protocol that this node announces. A node that does not use a part does not announce
    /// it, so that all nodes agree on what is used.
    pub fn features(&self) -> Features {
        match (self.mode, self.by_failure_domain) {
            (Mode::Permits, ByFailureDomain::Auto) => Features::DOMAIN_DISPATCH,
            _ => Features::NONE,
        }
    }

    /// Options of the dispatchers.
    pub fn options(&self) -> DispatchOptions {
        DispatchOptions::default()
            .doubtful_slots(self.doubtful_slots)
            .concurrency_limits(self.concurrency_limits)
            .near_first(self.near_first == NearFirst::Auto)
            .contention(self.contention)
    }
}

/// Whether requests stay in their failure domain while there is room for them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NearFirst {
    /// Wherever a service has endpoints in several failure domains.
    #[default]
    Auto,
    /// Nowhere: distance only adds a small cost to the choice of an endpoint.
    Off,
}

/// The dispatch mode.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// For each service, one node hands out the slots to all nodes.
    #[default]
    Permits,
    /// Each node picks endpoints itself and follows the verdicts of the other nodes.
    Direct,
    /// Each node picks endpoints itself and uses its own observations only. A baseline for measurements.
    Local,
    /// Round robin without ejection. A baseline for measurements.
    RoundRobin,
    /// Round robin that ejects an endpoint for 30 s after five consecutive failures, a tenth of the endpoints at
    /// most. A baseline for measurements.
    Consecutive,
}

/// The planned stop.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// Time that the balancer needs to notice that this node is not ready.
    #[serde(default = "defaults::lag_ms")]
    pub lag_ms: u64,
    /// Time from the signal after which the process ends even if requests are in flight.
    #[serde(default = "defaults::grace_ms")]
    pub grace_ms: u64,
    /// Time from the signal, in seconds, after which the process is killed if it still runs. If set, the process
    /// ends just before, and `grace_ms` does not apply.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kill_after_s: Option<f64>,
}

impl Default for Drain {
    fn default() -> Self {
        Self { lag_ms: defaults::lag_ms(), grace_ms: defaults::grace_ms(), kill_after_s: None }
    }
}

/// Logging.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// Lowest severity that is logged.
    #[serde(default)]
    pub level: Level,
    /// Maximum number of lines of each kind in a second; further lines are dropped and counted.
    #[serde(default = "defaults::lines_per_s")]
    pub lines_per_s: u32,
    /// The same limit for lines about requests that were answered successfully.
    #[serde(default = "defaults::healthy_requests_per_s")]
    pub healthy_requests_per_s: u32,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            level: Level::default(),
            lines_per_s: defaults::lines_per_s(),
            healthy_requests_per_s: defaults::healthy_requests_per_s(),
        }
    }
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Errors.
    Error,
    /// Warnings.
    Warning,
    /// Normal operation.
    #[default]
    Info,
    /// Every request and every send, with spans.
    Debug,
}

impl Settings {
    /// Example settings that pass all checks, as a starting point.
    pub fn example() -> Self {
        let local = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            node: Node {
                addr: local(7400),
                failure_domain: "a".into(),
                link_mbps: defaults::link_mbps(),
                cores: defaults::cores(),
                cpu_share: defaults::cpu_share(),
                memory_mb: defaults::memory_mb(),
                regions: BTreeMap::from([("a".into(), "north".into())]),
            },
            traffic: Traffic {
                listen: local(8080),
                threads: defaults::threads(),
                max_body_bytes: defaults::max_body_bytes(),
                max_in_flight: defaults::max_in_flight(),
                read_timeout_ms: defaults::read_timeout_ms(),
                connect_timeout_ms: defaults::connect_timeout_ms(),
                endpoint_addrs: [(local(7500), local(7501))].into(),
            },
            operator: Operator {
                listen: local(7480),
                token_file: Some("operator.token".into()),
                fault_injection: false,
            },
            platform: Platform {
                addr: local(7300),
                floor: defaults::floor(),
                bias: Bias::default(),
            },
            fleet: Fleet {
                key_file: Some("fleet.key".into()),
                also_accept_key_file: Some("fleet.key.old".into()),
                seeds: vec![local(7401)],
                seed_port: Some(7401),
            },
            dispatch: Dispatch::default(),
            drain: Drain { kill_after_s: Some(120.2), ..Drain::default() },
            log: Log::default(),
        }
    }

    /// The times of a planned stop.
    pub fn stop_times(&self) -> StopTimes {
        let Drain { lag_ms, grace_ms, kill_after_s } = self.drain;
        let end = match kill_after_s {
            Some(it) => {
                let kill = Duration::from_secs_f64(it);
                kill - KILL_MARGIN.min(kill.mul_f64(MAX_KILL_MARGIN_SHARE))
            }
            None => Duration::from_millis(grace_ms),
        };
        StopTimes::new(Duration::from_millis(lag_ms), end)
    }
}
