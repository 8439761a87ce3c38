//! The control thread: owns the exchange with other nodes, the dispatchers and the revisions, and
//! is the only one that changes them.

mod allowances;
mod dispatch_log;
mod exchange;
mod metrics;
mod own_slots;
mod peer_slots;
mod publications;
mod report;
mod suspects;
mod timers;

#[cfg(test)]
mod tests;

pub use metrics::ControlMetrics;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use caller::{Refused, Shared};
use clock::Moment;
use fleet::{Client, Delivery, Directory, Edge, Exchange, Keys, Phase, Place};
use operator::Published as InForce;
use policy::{
    BudgetLimits, Grant, NodeId, PermitId, QueuedReply, Reporter, RequestKey, Time, Topology,
    rank_strong_first,
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
use crate::event::Event;
use crate::reader::Wanted;
use crate::services::{Scope, Services, name_hash, route_hash};
use crate::settings::Mode;

/// Interval of the timers while this node waits for slots.
const TICK: Duration = Duration::from_millis(10);
/// Interval of the timers otherwise.
const IDLE_TICK: Duration = Duration::from_millis(100);
/// Interval at which dispatchers move in time: at the size designed for there are hundreds of them.
const DISPATCHER_TICK: Duration = Duration::from_millis(100);
/// Interval at which readiness is told to the API.
const READINESS: Duration = Duration::from_millis(100);
/// Interval at which long permits are renewed and verdicts are told again.
const RENEW: Duration = Duration::from_secs(1);
/// A tick that comes this late means that the process was paused.
const PAUSE: Duration = Duration::from_millis(400);
/// Events, and then datagrams, that are handled in one turn. News of the platform and the tasks on this thread
/// that fetch it wait for one turn at most: with 256, and without a turn for the tasks, a node that handed out
/// slots on a tenth of a core used an old configuration for six seconds.
const BATCH: usize = 32;
/// A peer's word that an endpoint is ejected is believed for this long.
const EJECTED_VALID: Duration = Duration::from_secs(3);
/// A node that has heard of no older one after this long takes the whole fleet for started anew.
const ALL_FRESH_AFTER: Duration = Duration::from_millis(1_500);
/// Nodes that would dispatch next and are told of what goes wrong.
const SUCCESSORS: usize = 2;
/// Identities in one renewal, so that it fits a datagram.
const IDS_PER_RENEWAL: usize = 50;

/// The other ends of what the control thread writes to.
pub struct Outputs {
    /// The snapshot for traffic threads.
    pub shared: Shared,
    /// What is in force, for the API.
    pub published: watch::Sender<InForce>,
    /// The services with their endpoints, for the baselines.
    pub services: watch::Sender<Arc<Vec<Arc<Service>>>>,
    /// Why the node is not ready, for the API.
    pub not_ready: watch::Sender<Option<String>>,
    /// What this node is to read of the platform.
    pub wanted: watch::Sender<Wanted>,
}

/// A configuration that is refused.
#[derive(Clone, Debug)]
struct Rejected {
    version: u64,
    reason: String,
}

/// The state of the control thread.
pub struct Control {
    /// The start of this process. Every age in the control state counts from it, suspensions included: by the steady
    /// clock permits, credits for repeats and proofs that a copy is fresh would outlive their time by them.
    clock: Moment,
    me: Reporter,
    node_addr: SocketAddr,
    failure_domain: String,
    mode: Mode,
    exchange: Exchange,
    edge: Edge,
    keys: Keys,
    client: Client,
    /// Messages about slots to and from other nodes that are to arrive.
    delivery: Delivery,
    allowances: Allowances,
    services: Services,
    /// Hashes of the failure domains that are evacuated.
    evacuated: Vec<u64>,
    topology: Topology,
    waiting: FxHashMap<PermitId, Waiter>,
    open: FxHashMap<PermitId, OpenPermit>,
    /// Replies of this node's dispatchers that are still to be delivered. A delivery may free the
    /// next slot, so they wait here instead of on the stack.
    undelivered: VecDeque<(Scope, QueuedReply)>,
    /// Requests since the last tick that were not served, by the service that might have served them.
    untold: FxHashMap<u64, Untold>,
    /// Addresses of nodes that have asked for slots.
    askers: FxHashMap<NodeId, SocketAddr>,
    rejected: Option<Rejected>,
    /// Why the newest configuration cannot be read.
    unreadable: Option<String>,
    platform_calls: u64,
    /// When the configuration in force came into force.
    in_force_since: Time,
    metrics: ControlMetrics,
    /// How long messages to peers took to be acknowledged since that was last logged.
    acknowledged: Vec<Duration>,
    /// Other nodes that were known when this was last logged.
    known_peers: usize,
    /// The platform's era when this was last logged.
    known_era: u32,
    /// Changes of the endpoints since they were last logged.
    endpoint_changes: u32,
    draining: bool,
    last_tick: Time,
    woke: Time,
    next_dispatcher_tick: Time,
    next_readiness: Time,
    next_renewal: Time,
    rng: StdRng,
    outputs: Outputs,
    /// Where fetches report to.
    urgent: mpsc::UnboundedSender<Event>,
    log: Logger,
}

/// Requests of this node that were not served, as a service that was not asked for them is to be told.
#[derive(Clone, Copy, Debug, Default)]
struct Untold {
    /// Another service of their routes did not serve them.
    elsewhere: u32,
    /// They were refused before any service was asked.
    refused: u32,
}

/// A request of this node that waits for a slot.
#[derive(Debug)]
struct Waiter {
    tx: oneshot::Sender<Result<(Grant, Place), Refused>>,
    service: u64,
    sent: SentRequest,
}

/// The request for which a slot is.
#[derive(Clone, Debug)]
struct SentRequest {
    route: Arc<Route>,
    request: RequestKey,
}

/// A slot that a request of this node uses.
#[derive(Clone, Debug)]
struct OpenPermit {
    place: Place,
    service: u64,
    sent: SentRequest,
    endpoint: Name,
    /// When the endpoint's life began, in Unix milliseconds.
    started_ms: u64,
    /// An endpoint has ended under the request before.
    is_watched: bool,
    /// A stall was reported.
    stalled: bool,
}

impl OpenPermit {
    /// Hash of the route's name.
    fn route(&self) -> u32 {
        route_hash(&self.sent.route.name)
    }
}

/// What the control thread starts with.
pub struct Start {
    /// The exchange.
    pub exchange: Exchange,
    /// Its socket.
    pub edge: Edge,
    /// The fleet's keys.
    pub keys: Keys,
    /// The asking side of dispatch.
    pub client: Client,
    /// An ask to another node that is not answered for this long is lost.
    pub ask_timeout: Duration,
    /// The way of dispatch.
    pub mode: Mode,
    /// Name of this node's failure domain.
    pub failure_domain: String,
    /// Size of the budget for repeats.
    pub budget: BudgetLimits,
    /// Which failure domain is in which region.
    pub topology: Topology,
    /// Figures that it keeps.
    pub metrics: ControlMetrics,
    /// What is written to.
    pub outputs: Outputs,
    /// Where fetches report to.
    pub urgent: mpsc::UnboundedSender<Event>,
    /// Randomness.
    pub rng: StdRng,
    /// Logs.
    pub log: Logger,
}

impl Control {
    /// Builds the state at `clock`, which is its time zero.
    pub fn new(clock: Moment, node_addr: SocketAddr, mut start: Start) -> Self {
        let failure_domain = name_hash(&start.failure_domain);
        let now = Time(0);
        let me = start.exchange.id();
        Self {
            clock,
            me: Reporter { node: me, failure_domain },
            node_addr,
            failure_domain: start.failure_domain,
            mode: start.mode,
            exchange: start.exchange,
            edge: start.edge,
            keys: start.keys,
            client: start.client,
            delivery: Delivery::new(start.rng.random()),
            allowances: Allowances::new(me, start.ask_timeout, start.rng.random()),
            services: Services::new(start.budget, start.topology.clone(), failure_domain),
            evacuated: Vec::new(),
            topology: start.topology,
            waiting: FxHashMap::default(),
            open: FxHashMap::default(),
            undelivered: VecDeque::new(),
            untold: FxHashMap::default(),
            askers: FxHashMap::default(),
            rejected: None,
            unreadable: None,
            platform_calls: 0,
            in_force_since: now,
            metrics: start.metrics,
            acknowledged: Vec::new(),
            known_peers: 0,
            known_era: 0,
            endpoint_changes: 0,
            draining: false,
            last_tick: now,
            woke: now,
            next_dispatcher_tick: now,
            next_readiness: now,
            next_renewal: now,
            rng: start.rng,
            outputs: start.outputs,
            urgent: start.urgent,
            log: start.log,
        }
    }

    /// Runs until `Event::Stop`. What is read of the platform or fetched comes through `urgent` and goes first:
    /// behind the slots of a busy service it would come into force late.
    pub async fn run(
        mut self,
        mut events: mpsc::UnboundedReceiver<Event>,
        mut urgent: mpsc::UnboundedReceiver<Event>,
    ) {
        let mut batch = Vec::with_capacity(BATCH);
        loop {
            tokio::select! {
                biased;
                it = urgent.recv() => batch.extend(it),
                n = events.recv_many(&mut batch, BATCH) => if n == 0 { return },
                _ = self.edge.readable() => {}
                () = sleep_until(self.next_tick().into()) => {}
            }
            let now = self.now();
            self.notice_pause(now);
            for event in batch.drain(..) {
                if matches!(event, Event::Stop) {
                    return;
                }
                self.handle(now, event);
                self.deliver_all(now);
            }
            self.receive_frames(now);
            self.outputs.shared.set_fresh(self.exchange.duty().is_fresh(now));
            self.resend(now);
            if now.since(self.last_tick) >= self.tick_interval() {
                self.tick(now);
            }
            self.deliver_all(now);
            // Reads, fetches and the API run on this thread too.
            yield_now().await;
        }
    }

    fn next_tick(&self) -> Instant {
        let tick = self.last_tick + self.tick_interval();
        let next = self.delivery.due().map_or(tick, |it| it.min(tick));
        Instant::now() + next.since(self.now())
    }

    /// Asks that are under way need fine timers; otherwise waking up is most of what a node costs.
    fn tick_interval(&self) -> Duration {
        let is_finding = self.exchange.is_finding(self.now());
        let is_asking = !self.client.is_idle() || !self.allowances.is_idle();
        if is_asking || is_finding { TICK } else { IDLE_TICK }
    }

    fn now(&self) -> Time {
        Time(self.clock.elapsed().as_micros() as u64)
    }

    fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Command(command) => self.command(now, command),
            Event::Read(published, calls) => self.read(now, published, calls),
            Event::ConfigurationRead(it, calls) => self.configuration_read(now, it, calls),
            Event::ReadFailed => self.read_failed(now),
            Event::Fetched(published, members) => self.fetched(now, published, members),
            Event::FetchFailed(why) => {
                self.exchange.fetch_failed(why);
                self.set_reads(now);
            }
            Event::Bundle(asker, tx) => {
                let (bundle, effects) = self.exchange.bundle(now, asker);
                // The peer may have left.
                let _ = tx.send(bundle);
                self.apply(now, effects);
            }
            Event::Settings(it) => {
                self.exchange.set_seeds(&it.fleet.seed_addrs());
                self.services.set_budget(now, it.dispatch.budget());
                self.client.set_window(it.dispatch.budget().window);
            }
            Event::Drain => {
                self.draining = true;
                let effects = self.exchange.set_phase(Phase::Leaving);
                self.apply(now, effects);
                self.next_readiness = now;
            }
            Event::Report(tx) => {
                // The asker may have left.
                let _ = tx.send(self.report(now));
            }
            Event::Cut(to) => {
                warn!(self.log, "a fault is induced: frames are dropped"; "to" => ?to);
                self.edge.set_cut(to);
            }
            Event::Stop => {}
        }
    }
}

/// Finds dispatching nodes among the members and this node itself.
struct Nodes<'a> {
    now: Time,
    me: Reporter,
    topology: &'a Topology,
    exchange: &'a Exchange,
}

impl Directory for Nodes<'_> {
    /// Those of the own region go first: from another one a slot is late. Then strong nodes do: a tenth of a core is late
    /// when it hands out the slots of a busy service. Newcomers are asked only where nobody else is known.
    fn candidates(&self, service: u64) -> Vec<NodeId> {
        let serving = self.serving();
        let of = |is_own: bool| {
            let some = serving.iter().filter(|it| it.is_in_own_region == is_own);
            let some: Vec<_> = some.map(|it| (it.node, it.millicores)).collect();
            rank_strong_first(service, &some)
        };
        let mut ranked = of(true);
        ranked.extend(of(false));
        ranked
    }
}

/// A node that may do something for others.
struct Serving {
    node: NodeId,
    millicores: u32,
    is_in_own_region: bool,
}

impl<'a> Nodes<'a> {
    fn new(now: Time, me: Reporter, topology: &'a Topology, exchange: &'a Exchange) -> Self {
        Self { now, me, topology, exchange }
    }

    /// The nodes that may do something for others.
    fn serving(&self) -> Vec<Serving> {
        let own = self.me.failure_domain;
        let serving = self.exchange.members().serving(self.now, fleet::ROUND);
        let others = serving.map(|(node, it)| Serving {
            node,
            millicores: it.info.capacity.millicores,
            is_in_own_region: self.topology.is_same_region(own, it.info.failure_domain),
        });
        let mut nodes: Vec<_> = others.collect();
        let serves = matches!(self.exchange.phase(), Phase::Fresh | Phase::Ready);
        if serves && (nodes.is_empty() || !self.exchange.is_newcomer(self.now)) {
            let millicores = self.exchange.capacity().millicores;
            nodes.push(Serving { node: self.me.node, millicores, is_in_own_region: true });
        }
        nodes
    }
}
