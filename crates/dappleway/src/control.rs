//! The control thread. It owns the exchange with other nodes, the dispatchers and the replica of the
//! platform's data; no other thread modifies them.

mod allowances;
mod crash_reports;
mod detours;
mod dispatch_log;
mod domain_dispatch;
mod exchange;
mod metrics;
mod own_slots;
mod peer_slots;
mod publications;
mod report;
mod timers;

#[cfg(test)]
mod tests;

pub use metrics::ControlMetrics;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use caller::{Refused, SharedSnapshot};
use clock::Moment;
use fleet::{
    Delivery, Directory, Exchange, Features, Keys, PermitClient, Phase, Place, RedirectCounts,
    Transport,
};
use operator::Published as InForce;
use policy::{
    BudgetLimits, DispatchOptions, Grant, NodeId, PermitId, QueuedReply, Reporter, RequestKey,
    Time, Topology, rank, rank_strong_first,
};
use rand::RngExt;
use rand::rngs::StdRng;
use resources::{Name, Route, Service};
use rustc_hash::FxHashMap;
use slog::{Logger, warn};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::yield_now;
use tokio::time::sleep_until;

use self::allowances::Allowances;
use self::detours::Detours;
use self::domain_dispatch::DomainDispatch;
use self::exchange::FarTraffic;
use crate::event::Event;
use crate::reader::ReadPlan;
use crate::services::{Scope, Services, name_hash, route_hash};
use crate::settings::Mode;

/// Tick interval while asks of this node for slots or allowances are pending, and while it discovers the fleet.
const BUSY_TICK: Duration = Duration::from_millis(10);
/// Tick interval otherwise.
const IDLE_TICK: Duration = Duration::from_millis(100);
/// Interval between ticks of the dispatchers. It is longer than `BUSY_TICK` because a fleet of the
/// designed size has hundreds of dispatchers on one node.
const DISPATCHER_TICK: Duration = Duration::from_millis(100);
/// Interval at which the operator API is given the current readiness.
const READINESS_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which open permits are renewed and verdicts are sent again.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// A gap of this length between ticks means that the process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(400);
/// A gap of this length between ticks is taken into account where the age of what arrives matters.
const GAP_THRESHOLD: Duration = Duration::from_millis(200);
/// Maximum number of events, and then of datagrams, that one iteration of the control loop handles. Platform
/// updates, and the tasks on this thread that fetch them, wait for at most one iteration. With a limit of 256 and
/// no yield to those tasks, a node that handed out slots on a tenth of a core used an outdated configuration for
/// six seconds.
const MAX_BATCH: usize = 32;
/// Maximum time for which a peer's verdict that an endpoint is ejected is applied.
const EJECTION_VALIDITY: Duration = Duration::from_secs(3);
/// Minimum duration of the `Fresh` phase. A node that has seen no older node by then assumes that the whole
/// fleet was restarted.
const MIN_FRESH_PHASE: Duration = Duration::from_millis(1_500);
/// Number of successors of a dispatching node that are notified of failed requests and crashes.
const NOTIFIED_SUCCESSORS: usize = 2;
/// Maximum number of permits in one renewal message, so that the message fits a datagram.
const MAX_IDS_PER_RENEWAL: usize = 50;

/// Channels and shared state that the control thread writes to.
pub struct Outputs {
    /// The configuration snapshot that traffic threads read.
    pub shared: SharedSnapshot,
    /// The resources in force, for the operator API.
    pub published: watch::Sender<InForce>,
    /// The services with their endpoints, for the baseline dispatch modes.
    pub services: watch::Sender<Arc<Vec<Arc<Service>>>>,
    /// Why the node is not ready, for the operator API; `None` if the node is ready.
    pub not_ready: watch::Sender<Option<String>>,
    /// What the reader task of this node should read from the platform.
    pub read_plan: watch::Sender<ReadPlan>,
}

/// A configuration that was rejected because it is invalid.
#[derive(Clone, Debug)]
struct RejectedConfig {
    version: u64,
    reason: String,
}

/// State of the control thread.
pub struct Control {
    /// The start of this process, on a clock that includes suspensions of the VM. All times of the control state
    /// count from here. With a monotonic clock that stops during a suspension, permits, repeat credits and
    /// freshness confirmations would stay valid too long by the length of the suspension.
    clock: Moment,
    me: Reporter,
    node_addr: SocketAddr,
    failure_domain: String,
    mode: Mode,
    exchange: Exchange,
    transport: Transport,
    keys: Keys,
    client: PermitClient,
    /// Reliable delivery of permit messages to and from other nodes.
    delivery: Delivery,
    allowances: Allowances,
    services: Services,
    domain_dispatch: DomainDispatch,
    detours: Detours,
    /// Hashes of the evacuated failure domains.
    evacuated: Vec<u64>,
    topology: Topology,
    waiting: FxHashMap<PermitId, Waiter>,
    open_permits: FxHashMap<PermitId, OpenPermit>,
    /// Replies of this node's dispatchers that are not delivered yet. Delivering a reply may free another slot
    /// and so produce the next reply; the queue avoids unbounded recursion.
    pending_replies: VecDeque<(Scope, QueuedReply)>,
    /// Unserved requests since the last tick of the dispatchers, by the hash of each service that could have
    /// served them.
    unserved: FxHashMap<u64, UnservedCounts>,
    /// Addresses of nodes that have asked this node for slots or allowances. Replies reach such a node even if
    /// it is not a known member.
    asker_addrs: FxHashMap<NodeId, SocketAddr>,
    rejected_config: Option<RejectedConfig>,
    /// Why the newest configuration cannot be decoded.
    unreadable_reason: Option<String>,
    platform_calls: u64,
    /// When the current configuration came into force.
    in_force_since: Time,
    metrics: ControlMetrics,
    /// Frames sent to nodes of other failure domains.
    far_traffic: FarTraffic,
    /// Numbers of redirected requests at the last log line about them.
    logged_redirects: RedirectCounts,
    /// Acknowledgement times of messages to peers since the last log line about them.
    ack_times: Vec<Duration>,
    /// Number of peers in the last log line about them.
    logged_peers: usize,
    /// Era of the platform at the last check for a change of era.
    logged_era: u32,
    /// Number of endpoint updates since the last log line about them.
    endpoint_changes: u32,
    draining: bool,
    last_tick: Time,
    /// When the last detected pause of this process ended.
    resumed_at: Time,
    /// When the socket was last seen empty.
    socket_drained_at: Time,
    next_dispatcher_tick: Time,
    next_readiness: Time,
    next_renewal: Time,
    rng: StdRng,
    outputs: Outputs,
    /// Receives the results of fetches from peers.
    urgent: mpsc::UnboundedSender<Event>,
    log: Logger,
}

/// Counts of requests of this node that a service could have served but was not asked for.
#[derive(Clone, Copy, Debug, Default)]
struct UnservedCounts {
    /// Requests that another service of the same route failed to serve.
    elsewhere: u32,
    /// Requests that were refused before any service was asked.
    refused: u32,
}

/// A request of this node that is waiting for a slot.
#[derive(Debug)]
struct Waiter {
    tx: oneshot::Sender<Result<(Grant, Place), Refused>>,
    service: u64,
    request: RoutedRequest,
}

/// The request that a slot is used for, and its route.
#[derive(Clone, Debug)]
struct RoutedRequest {
    route: Arc<Route>,
    key: RequestKey,
}

/// A slot in use by a request of this node.
#[derive(Clone, Debug)]
struct OpenPermit {
    place: Place,
    service: u64,
    request: RoutedRequest,
    endpoint: Name,
    /// When the endpoint's process started, in Unix milliseconds.
    started_ms: u64,
    /// Whether an endpoint has already crashed while running this request.
    is_watched: bool,
    /// Whether a stall of this request was reported.
    stalled: bool,
}

impl OpenPermit {
    /// Hash of the route's name.
    fn route(&self) -> u32 {
        route_hash(&self.request.route.name)
    }
}

/// Arguments of `Control::new`.
pub struct ControlParams {
    /// State of the exchange with other nodes.
    pub exchange: Exchange,
    /// Sockets of the exchange.
    pub transport: Transport,
    /// Keys that authenticate frames between nodes.
    pub keys: Keys,
    /// The part of dispatch that asks for slots on behalf of this node's requests.
    pub client: PermitClient,
    /// Time after which an unanswered ask to another node counts as lost.
    pub ask_timeout: Duration,
    /// The dispatch mode.
    pub mode: Mode,
    /// Name of this node's failure domain.
    pub failure_domain: String,
    /// Limits of the budget for repeats.
    pub budget: BudgetLimits,
    /// Options of the dispatchers.
    pub options: DispatchOptions,
    /// The region of each failure domain.
    pub topology: Topology,
    /// Metrics of the control thread.
    pub metrics: ControlMetrics,
    /// Channels and shared state that the control thread writes to.
    pub outputs: Outputs,
    /// Receives the results of fetches from peers.
    pub urgent: mpsc::UnboundedSender<Event>,
    /// Random number generator of the control thread.
    pub rng: StdRng,
    /// Logger of the control thread.
    pub log: Logger,
}

impl Control {
    /// Creates the state; all its times count from `clock`.
    pub fn new(clock: Moment, node_addr: SocketAddr, mut params: ControlParams) -> Self {
        let failure_domain = name_hash(&params.failure_domain);
        let now = Time(0);
        let me = params.exchange.id();
        Self {
            clock,
            me: Reporter { node: me, failure_domain },
            node_addr,
            failure_domain: params.failure_domain,
            mode: params.mode,
            exchange: params.exchange,
            transport: params.transport,
            keys: params.keys,
            client: params.client,
            delivery: Delivery::new(params.rng.random()),
            allowances: Allowances::new(me, params.ask_timeout, params.rng.random()),
            services: Services::new(params.budget, params.topology.clone(), failure_domain)
                .with_options(params.options),
            domain_dispatch: DomainDispatch::default(),
            detours: Detours::default(),
            evacuated: Vec::new(),
            topology: params.topology,
            waiting: FxHashMap::default(),
            open_permits: FxHashMap::default(),
            pending_replies: VecDeque::new(),
            unserved: FxHashMap::default(),
            asker_addrs: FxHashMap::default(),
            rejected_config: None,
            unreadable_reason: None,
            platform_calls: 0,
            in_force_since: now,
            metrics: params.metrics,
            far_traffic: FarTraffic::default(),
            logged_redirects: RedirectCounts::default(),
            ack_times: Vec::new(),
            logged_peers: 0,
            logged_era: 0,
            endpoint_changes: 0,
            draining: false,
            last_tick: now,
            resumed_at: now,
            socket_drained_at: now,
            next_dispatcher_tick: now,
            next_readiness: now,
            next_renewal: now,
            rng: params.rng,
            outputs: params.outputs,
            urgent: params.urgent,
            log: params.log,
        }
    }

    /// Runs until `Event::Stop`. Results of platform reads and of fetches arrive through `urgent` and are handled
    /// before `events`; queued behind the slot requests of a busy service they would take effect late.
    pub async fn run(
        mut self,
        mut events: mpsc::UnboundedReceiver<Event>,
        mut urgent: mpsc::UnboundedReceiver<Event>,
    ) {
        let mut batch = Vec::with_capacity(MAX_BATCH);
        loop {
            tokio::select! {
                biased;
                it = urgent.recv() => batch.extend(it),
                n = events.recv_many(&mut batch, MAX_BATCH) => if n == 0 { return },
                _ = self.transport.readable() => {}
                () = sleep_until(self.next_tick().into()) => {}
            }
            let now = self.now();
            self.detect_pause(now);
            for event in batch.drain(..) {
                if matches!(event, Event::Stop) {
                    // The last releases of this node.
                    self.send_due(now);
                    let effects = self.exchange.ended(now);
                    self.apply_effects(now, effects);
                    return;
                }
                self.handle_event(now, event);
                self.deliver_replies(now);
            }
            // Datagrams take long to handle on a node that grants slots, and releases free slots at other nodes.
            self.send_due(now);
            self.receive_frames(now);
            self.outputs.shared.set_fresh(self.exchange.reader_election().is_fresh(now));
            if now.since(self.last_tick) >= self.tick_interval() {
                self.tick(now);
            }
            self.deliver_replies(now);
            self.send_due(now);
            // Platform reads, fetches and the operator API run on this thread too.
            yield_now().await;
        }
    }

    fn next_tick(&self) -> Instant {
        let tick = self.last_tick + self.tick_interval();
        let next = self.delivery.due().map_or(tick, |it| it.min(tick));
        Instant::now() + next.since(self.now())
    }

    /// Pending asks need a short tick. Otherwise the tick is long, since wake-ups are most of the CPU cost of an
    /// idle node.
    fn tick_interval(&self) -> Duration {
        let is_finding = self.exchange.is_discovering(self.now());
        let is_asking = !self.client.is_idle() || !self.allowances.is_idle();
        if is_asking || is_finding { BUSY_TICK } else { IDLE_TICK }
    }

    fn now(&self) -> Time {
        self.time_of(Moment::now())
    }

    fn time_of(&self, it: Moment) -> Time {
        Time(it.since(self.clock).as_micros() as u64)
    }

    fn handle_event(&mut self, now: Time, event: Event) {
        match event {
            Event::Command(command) => self.handle_command(now, command),
            Event::Read(published, as_of, calls) => self.apply_read(now, as_of, published, calls),
            Event::ConfigurationRead(it, as_of, calls) => {
                self.apply_configuration_read(now, as_of, it, calls)
            }
            Event::ReadFailed => self.handle_read_failure(now),
            Event::Fetched(published, members) => self.apply_fetched(now, published, members),
            Event::FetchFailed(why) => {
                self.exchange.fetch_failed(why);
                self.update_read_plan(now);
            }
            Event::Bundle(asker, tx) => {
                let (bundle, effects) = self.exchange.bundle(now, asker);
                // The peer may have closed its connection.
                let _ = tx.send(bundle);
                self.apply_effects(now, effects);
            }
            Event::Tunnel(target, tx) => {
                // The peer may have given up.
                let _ = tx.send(self.tunnel_target(now, &target));
            }
            Event::CutOff(it) => self.set_cut_off(now, it),
            Event::Settings(it) => {
                self.exchange.set_seeds(&it.fleet.seed_addrs());
                self.services.set_budget(now, it.dispatch.budget());
                self.services.set_options(it.dispatch.options());
                self.client.set_window(it.dispatch.budget().window);
            }
            Event::Drain => {
                self.draining = true;
                let effects = self.exchange.set_phase(Phase::Leaving);
                self.apply_effects(now, effects);
                self.next_readiness = now;
            }
            Event::Report(tx) => {
                // The operator's request may have been cancelled.
                let _ = tx.send(self.report(now));
            }
            Event::Cut(to) => {
                warn!(self.log, "fault injection: frames to these nodes are dropped"; "to" => ?to);
                self.transport.set_cut(to);
            }
            Event::Stop => {}
        }
    }
}

/// Ranks the members and this node itself as dispatchers of a service.
struct ServingNodes<'a> {
    now: Time,
    me: Reporter,
    topology: &'a Topology,
    exchange: &'a Exchange,
    /// The services whose endpoints are known; `None` where only nodes are ranked.
    services: Option<&'a Services>,
}

impl Directory for ServingNodes<'_> {
    /// Nodes of this node's own region come first, since slots from another region arrive late. Within a region,
    /// nodes with more CPU come first: a tenth of a core is too slow to hand out the slots of a busy service.
    /// Recently joined nodes are left out, except for this node if no other node serves.
    ///
    /// For one failure domain, its strong nodes come first, then those of other failure domains of its region,
    /// its weak nodes, and all others: near to the endpoints, but never on a node that is too slow while there is a
    /// faster one.
    fn candidates(&self, service: u64, failure_domain: Option<u64>) -> Vec<NodeId> {
        let serving = self.serving();
        if let Some(failure_domain) = failure_domain {
            return self.candidates_in(service, failure_domain, &serving);
        }
        let rank = |is_own: bool| {
            let nodes = serving.iter().filter(|it| it.is_in_own_region == is_own);
            let nodes: Vec<_> = nodes.map(|it| (it.node, it.millicores)).collect();
            rank_strong_first(service, &nodes)
        };
        let mut ranked = rank(true);
        ranked.extend(rank(false));
        ranked
    }

    fn failure_domain_of(&self, service: u64, endpoint: &str) -> Option<u64> {
        self.services?.get(service)?.failure_domain_of(endpoint)
    }
}

/// A node that may dispatch services and own allowances.
struct ServingNode {
    node: NodeId,
    millicores: u32,
    failure_domain: u64,
    features: Features,
    is_in_own_region: bool,
}

impl<'a> ServingNodes<'a> {
    fn new(now: Time, me: Reporter, topology: &'a Topology, exchange: &'a Exchange) -> Self {
        Self { now, me, topology, exchange, services: None }
    }

    fn with_services(self, services: &'a Services) -> Self {
        Self { services: Some(services), ..self }
    }

    /// The nodes that may dispatch services and own allowances.
    fn serving(&self) -> Vec<ServingNode> {
        let own_domain = self.me.failure_domain;
        let serving = self.exchange.members().serving(self.now, fleet::ROUND);
        let others = serving.map(|(node, it)| ServingNode {
            node,
            millicores: it.info.capacity.millicores,
            failure_domain: it.info.failure_domain,
            features: it.info.features,
            is_in_own_region: self.topology.is_same_region(own_domain, it.info.failure_domain),
        });
        let mut nodes: Vec<_> = others.collect();
        let serves = matches!(self.exchange.phase(), Phase::Fresh | Phase::Ready);
        if serves && (nodes.is_empty() || !self.exchange.is_recently_joined(self.now)) {
            nodes.push(ServingNode {
                node: self.me.node,
                millicores: self.exchange.capacity().millicores,
                failure_domain: own_domain,
                features: self.exchange.info().features,
                is_in_own_region: true,
            });
        }
        nodes
    }

    fn candidates_in(
        &self,
        service: u64,
        failure_domain: u64,
        serving: &[ServingNode],
    ) -> Vec<NodeId> {
        let with_region = serving
            .iter()
            .map(|it| (it, self.topology.is_same_region(failure_domain, it.failure_domain)));
        let with_region: Vec<(&ServingNode, bool)> = with_region.collect();
        let in_region = with_region.iter().filter(|(_, is_in_region)| *is_in_region);
        let most = in_region.map(|(it, _)| it.millicores).max().unwrap_or_default();
        let group = |it: &ServingNode, is_in_region: bool| {
            let is_strong = it.millicores * 2 > most;
            match (is_in_region, it.failure_domain == failure_domain) {
                (true, true) if is_strong => 0,
                (true, false) if is_strong => 1,
                (true, true) => 2,
                _ => 3,
            }
        };
        let mut groups: [Vec<NodeId>; 4] = Default::default();
        let supports = |it: &ServingNode| it.features.contains(Features::DOMAIN_DISPATCH);
        for (it, is_in_region) in with_region.into_iter().filter(|(it, _)| supports(it)) {
            groups[group(it, is_in_region)].push(it.node);
        }
        // A node that stands in for several failure domains would be the same one for each of them if the key were
        // the service alone.
        let key = service ^ failure_domain;
        groups.into_iter().flat_map(|nodes| rank(key, nodes)).collect()
    }
}
