//! The control thread: owns the exchange with other nodes, the dispatchers and the revisions, and
//! is the only one that changes them.

mod report;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use caller::{Refused, Shared, Want};
use fleet::{
    Action, Client, Directory, Edge, Effect, Exchange, Frame, Gossip, Keys, Message, PermitMessage,
    Phase, Place, Settlement, Verdict, Wish,
};
use operator::{Published, Report};
use platform::Vm;
use policy::{
    Ask, Grant, Kind, NodeId, Observation, PermitId, Reply, Reporter, Settled, State, Time, rank,
};
use rand::rngs::StdRng;
use resources::{Config, Repeat};
use rustc_hash::FxHashMap;
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::MissedTickBehavior;

use crate::handle::Command;
use crate::reader::{Pace, Reader, listed};
use crate::services::{Services, Ticked, name_hash, route_hash};
use crate::settings::Mode;
use crate::store::{Candidate, Rejected, Store};

/// Interval of the timers.
const TICK: Duration = Duration::from_millis(10);
/// Interval of the report.
const REPORT: Duration = Duration::from_millis(250);
/// Interval at which long permits are renewed and verdicts are told again.
const RENEW: Duration = Duration::from_secs(1);
/// A tick that comes this late means that the process was paused.
const PAUSE: Duration = Duration::from_millis(250);
/// Events handled before datagrams get their turn.
const BATCH: usize = 256;
/// A peer's word that an endpoint is ejected is believed for this long.
const EJECTED_VALID: Duration = Duration::from_secs(3);
/// Word that an endpoint is leaving is believed for this long.
const LEAVING_VALID: Duration = Duration::from_secs(60);
/// Identities in one renewal, so that it fits a datagram.
const IDS_PER_RENEWAL: usize = 60;

/// What the control thread is told.
#[derive(Debug)]
pub enum Event {
    /// From a traffic thread.
    Command(Command),
    /// The platform's list.
    Vms(Vec<Vm>),
    /// The manifest was read, whether or not it is new.
    ManifestRead,
    /// A revision that is whole and valid.
    Candidate(Box<Candidate>),
    /// A revision that is refused.
    Rejected(Rejected),
    /// A planned stop begins.
    Drain,
    /// Drop frames to these nodes, for failure tests.
    Cut(Vec<SocketAddr>),
    /// The last request has ended.
    Stop,
}

/// The other ends of what the control thread writes to.
pub struct Outputs {
    /// The snapshot for traffic threads.
    pub shared: Shared,
    /// What is in force, for the API.
    pub published: watch::Sender<Published>,
    /// The report.
    pub report: watch::Sender<Arc<Report>>,
    /// What the pace of polls depends on.
    pub pace: watch::Sender<Pace>,
}

/// The state of the control thread.
pub struct Control {
    clock: Instant,
    me: Reporter,
    node_addr: SocketAddr,
    failure_domain: String,
    mode: Mode,
    exchange: Exchange,
    edge: Edge,
    keys: Keys,
    client: Client,
    services: Services,
    waiting: FxHashMap<PermitId, Waiter>,
    open: FxHashMap<PermitId, OpenPermit>,
    /// Replies of this node's dispatchers that are still to be delivered. A delivery may free the
    /// next slot, so they wait here instead of on the stack.
    undelivered: VecDeque<(Option<u64>, Settled)>,
    /// Addresses of nodes that have asked for slots.
    askers: FxHashMap<NodeId, SocketAddr>,
    staged: Option<Config>,
    rejected: Option<Rejected>,
    manifest_read: Option<Time>,
    draining: bool,
    last_tick: Time,
    woke: Time,
    next_report: Time,
    next_renewal: Time,
    rng: StdRng,
    store: Store,
    reader: Reader,
    outputs: Outputs,
    log: Logger,
}

/// A request of this node that waits for a slot.
#[derive(Debug)]
struct Waiter {
    tx: oneshot::Sender<Result<Grant, Refused>>,
    service: u64,
    route: u32,
}

/// A slot that a request of this node uses.
#[derive(Clone, Debug)]
struct OpenPermit {
    place: Place,
    service: u64,
    route: u32,
    addr: SocketAddr,
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
    /// The way of dispatch.
    pub mode: Mode,
    /// Name of this node's failure domain.
    pub failure_domain: String,
    /// Parts that are here.
    pub store: Store,
    /// Reads of the platform and of peers.
    pub reader: Reader,
    /// What is written to.
    pub outputs: Outputs,
    /// Randomness.
    pub rng: StdRng,
    /// Logs.
    pub log: Logger,
}

impl Control {
    /// Builds the state at `clock`, which is its time zero.
    pub fn new(clock: Instant, node_addr: SocketAddr, start: Start) -> Self {
        let failure_domain = name_hash(&start.failure_domain);
        let now = Time(0);
        Self {
            clock,
            me: Reporter { node: start.exchange.id(), failure_domain },
            node_addr,
            failure_domain: start.failure_domain,
            mode: start.mode,
            exchange: start.exchange,
            edge: start.edge,
            keys: start.keys,
            client: start.client,
            services: Services::default(),
            waiting: FxHashMap::default(),
            open: FxHashMap::default(),
            undelivered: VecDeque::new(),
            askers: FxHashMap::default(),
            staged: None,
            rejected: None,
            manifest_read: None,
            draining: false,
            last_tick: now,
            woke: now,
            next_report: now,
            next_renewal: now,
            rng: start.rng,
            store: start.store,
            reader: start.reader,
            outputs: start.outputs,
            log: start.log,
        }
    }

    /// Runs until `Event::Stop`.
    pub async fn run(mut self, mut events: mpsc::UnboundedReceiver<Event>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut batch = Vec::with_capacity(BATCH);
        loop {
            tokio::select! {
                n = events.recv_many(&mut batch, BATCH) => if n == 0 { return },
                _ = self.edge.readable() => {}
                _ = ticks.tick() => {}
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
            if now.since(self.last_tick) >= TICK {
                self.tick(now);
            }
            self.deliver_all(now);
        }
    }

    fn now(&self) -> Time {
        Time(self.clock.elapsed().as_micros() as u64)
    }

    fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Command(command) => self.command(now, command),
            Event::Vms(vms) => {
                let known_leaving = vms.iter().any(|it| it.leaving && it.addr == self.node_addr);
                if known_leaving && !self.draining {
                    info!(self.log, "the platform lists this VM as leaving");
                }
                self.exchange.set_listed(now, listed(&vms));
                self.set_pace();
            }
            Event::ManifestRead => self.manifest_read = Some(now),
            Event::Candidate(it) => self.hold(now, *it),
            Event::Rejected(it) => self.reject(it),
            Event::Drain => {
                self.draining = true;
                self.exchange.set_phase(Phase::Leaving);
                self.next_report = now;
            }
            Event::Cut(to) => {
                warn!(self.log, "a fault is induced: frames are dropped"; "to" => ?to);
                self.edge.set_cut(to);
            }
            Event::Stop => {}
        }
    }

    // Slots for the requests of this node.

    fn command(&mut self, now: Time, command: Command) {
        match command {
            Command::Acquire(id, want, tx) => self.acquire(now, id, &want, tx),
            Command::Withdraw(id) => self.withdraw(now, id),
            Command::Stalled(id, elapsed) => self.stalled(now, id, elapsed),
            Command::Leaving(id, addr) => self.leaving(now, id, addr),
            Command::End(id, outcome) => self.end(now, id, outcome),
        }
    }

    fn acquire(
        &mut self,
        now: Time,
        id: PermitId,
        want: &Want,
        tx: oneshot::Sender<Result<Grant, Refused>>,
    ) {
        let service = name_hash(&want.route.service);
        let Some(state) = self.services.get(service) else {
            let _ = tx.send(Err(Refused { retry_after: RENEW }));
            return;
        };
        let ask = Ask {
            id,
            reporter: self.me,
            route: route_hash(&want.route.name),
            repeatable: want.route.repeat == Repeat::Anytime,
            priority: want.route.priority,
            organisation: want.organisation,
            weight: want.weight,
            exclude: want.exclude,
            left: want.left,
            wait: true,
        };
        self.waiting.insert(id, Waiter { tx, service, route: ask.route });
        if self.mode != Mode::Permits {
            self.ask_here(now, Place::Direct, service, ask);
            return;
        }
        let wish = Wish {
            ask,
            service,
            failure_domains: state.domains_from(self.me.failure_domain, id.seq),
            deadline: now + want.left,
        };
        let directory = Nodes { now, me: self.me, exchange: &self.exchange };
        let action = self.client.wish(now, wish, &directory);
        self.act(now, action);
    }

    fn act(&mut self, now: Time, action: Action) {
        match action {
            Action::AskHere(place, service, ask) => self.ask_here(now, place, service, ask),
            Action::Send(node, message) => self.send_to(node, message),
            Action::Settle(id, Settlement::Granted(grant, place)) => {
                self.granted(now, id, grant, place);
            }
            Action::Settle(id, Settlement::Refused(retry_after)) => {
                if let Some(it) = self.waiting.remove(&id) {
                    let _ = it.tx.send(Err(Refused { retry_after }));
                }
            }
        }
    }

    fn ask_here(&mut self, now: Time, place: Place, service: u64, ask: Ask) {
        let id = ask.id;
        let Some(state) = self.services.get_mut(service) else { return };
        let dispatcher = match place {
            Place::Own(domain) => state.own(now, domain),
            _ => Some(&mut state.direct),
        };
        let Some(dispatcher) = dispatcher else { return };
        let reply = dispatcher.ask(now, ask, &mut self.rng);
        self.reply_here(now, place, id, reply);
    }

    /// Passes a reply of one of this node's own dispatchers to the wish of this node.
    fn reply_here(&mut self, now: Time, place: Place, id: PermitId, reply: Reply) {
        if self.mode != Mode::Permits {
            match reply {
                Reply::Granted(grant) => self.granted(now, id, grant, place),
                Reply::Refused { retry_after } => {
                    let action = Action::Settle(id, Settlement::Refused(retry_after));
                    self.act(now, action);
                }
                Reply::Queued | Reply::Full => {}
            }
            return;
        }
        let directory = Nodes { now, me: self.me, exchange: &self.exchange };
        match self.client.reply(now, place, id, reply, &directory) {
            Some(action) => self.act(now, action),
            // The wish has moved on or was withdrawn: its slot goes back.
            None if matches!(reply, Reply::Granted(_)) => self.give_back(now, place, id),
            None => {}
        }
    }

    fn granted(&mut self, now: Time, id: PermitId, grant: Grant, place: Place) {
        let Some(waiter) = self.waiting.remove(&id) else {
            self.give_back(now, place, id);
            return;
        };
        let Waiter { tx, service, route } = waiter;
        self.open.insert(id, OpenPermit { place, service, route, addr: grant.addr });
        if tx.send(Ok(grant)).is_err() {
            self.end(now, id, None);
        }
    }

    fn withdraw(&mut self, now: Time, id: PermitId) {
        if self.waiting.remove(&id).is_none() {
            // Granted meanwhile, and the slot's receiver is gone.
            self.end(now, id, None);
            return;
        }
        let place = self.client.withdraw(id).unwrap_or(Place::Direct);
        self.give_back(now, place, id);
    }

    /// Gives back a slot, or a place in a queue, that no request wants any more.
    fn give_back(&mut self, now: Time, place: Place, id: PermitId) {
        if let Place::Peer(node) = place {
            self.send_to(node, PermitMessage::Release { id, outcome: None });
            return;
        }
        // The service is not known any more; a permit's identity is unique among them.
        let services: Vec<u64> = self.services.hashes().collect();
        for service in services {
            self.here(place, service, |it, rng| it.cancel(now, id, rng));
        }
    }

    fn stalled(&mut self, now: Time, id: PermitId, elapsed: Duration) {
        let Some(open) = self.open.get(&id).cloned() else { return };
        match open.place {
            Place::Peer(node) => {
                self.send_to(node, PermitMessage::Stalled { id, elapsed });
                self.observe(now, &open, Kind::Stalled, elapsed);
            }
            place => self.here(place, open.service, |it, _| {
                it.stalled(now, id, elapsed);
                Vec::new()
            }),
        }
    }

    fn end(&mut self, now: Time, id: PermitId, outcome: Option<(Kind, Duration)>) {
        let Some(open) = self.open.remove(&id) else { return };
        // What was open while this process was paused says nothing about the endpoint.
        let outcome = outcome.filter(|(_, elapsed)| now - *elapsed > self.woke);
        match (open.place, outcome) {
            (Place::Peer(node), outcome) => {
                self.send_to(node, PermitMessage::Release { id, outcome });
                if let Some((kind, elapsed)) = outcome {
                    self.observe(now, &open, kind, elapsed);
                }
            }
            (place, Some((kind, elapsed))) => {
                self.here(place, open.service, |it, rng| it.release(now, id, kind, elapsed, rng))
            }
            (place, None) => self.here(place, open.service, |it, rng| it.cancel(now, id, rng)),
        }
    }

    /// Learns, for the time when this node must pick for itself, from a request whose slot came
    /// from another node.
    fn observe(&mut self, now: Time, open: &OpenPermit, kind: Kind, elapsed: Duration) {
        let Some(state) = self.services.get_mut(open.service) else { return };
        let it = Observation { reporter: self.me, endpoint: 0, route: open.route, kind, elapsed };
        state.direct.observe(now, open.addr, it);
    }

    /// Runs `f` on a dispatcher of this node and delivers the replies that follow.
    fn here(
        &mut self,
        place: Place,
        service: u64,
        f: impl FnOnce(&mut policy::Dispatcher, &mut StdRng) -> Vec<Settled>,
    ) {
        let Some(state) = self.services.get_mut(service) else { return };
        let (domain, dispatcher) = match place {
            Place::Own(domain) => (Some(domain), state.own.get_mut(&domain)),
            _ => (None, Some(&mut state.direct)),
        };
        let Some(dispatcher) = dispatcher else { return };
        let settled = f(dispatcher, &mut self.rng);
        self.undelivered.extend(settled.into_iter().map(|it| (domain, it)));
    }

    /// Delivers the replies that wait, those that follow from a delivery included.
    fn deliver_all(&mut self, now: Time) {
        while let Some((domain, it)) = self.undelivered.pop_front() {
            self.deliver(now, domain, it);
        }
    }

    /// Delivers a reply to one that waited at a dispatcher of this node.
    fn deliver(&mut self, now: Time, domain: Option<u64>, it: Settled) {
        if it.id.node == self.me.node {
            let place = domain.map_or(Place::Direct, Place::Own);
            self.reply_here(now, place, it.id, it.reply);
            return;
        }
        self.send_to(it.id.node, PermitMessage::Answer { id: it.id, reply: it.reply });
    }

    // Slots for other nodes.

    fn permit_message(&mut self, now: Time, from: (NodeId, SocketAddr), message: PermitMessage) {
        match message {
            PermitMessage::Ask { id, service, failure_domain, .. } => {
                self.askers.insert(from.0, from.1);
                let reply = match self.ask_of(from.0, &message) {
                    Some(ask) => self.answer_ask(now, service, failure_domain, ask),
                    None => Reply::Full,
                };
                self.send_to(from.0, PermitMessage::Answer { id, reply });
            }
            PermitMessage::Answer { id, reply } => {
                let directory = Nodes { now, me: self.me, exchange: &self.exchange };
                let place = Place::Peer(from.0);
                if let Some(action) = self.client.reply(now, place, id, reply, &directory) {
                    self.act(now, action);
                }
            }
            PermitMessage::Release { id, outcome } => {
                let settle = |it: &mut policy::Dispatcher, rng: &mut StdRng| match outcome {
                    Some((kind, elapsed)) => it.release(now, id, kind, elapsed, rng),
                    None => it.cancel(now, id, rng),
                };
                self.each_own(settle);
            }
            PermitMessage::Stalled { id, elapsed } => self.each_own(|it, _| {
                it.stalled(now, id, elapsed);
                Vec::new()
            }),
            PermitMessage::Renew { ids } => self.each_own(|it, _| {
                ids.iter().for_each(|id| it.renew(now, *id));
                Vec::new()
            }),
        }
    }

    fn ask_of(&self, from: NodeId, message: &PermitMessage) -> Option<Ask> {
        let PermitMessage::Ask {
            id,
            route,
            from: failure_domain,
            repeatable,
            priority,
            organisation,
            weight,
            exclude,
            left,
            wait,
            ..
        } = message
        else {
            return None;
        };
        if id.node != from || self.draining {
            return None;
        }
        Some(Ask {
            id: *id,
            reporter: Reporter { node: from, failure_domain: *failure_domain },
            route: *route,
            repeatable: *repeatable,
            priority: *priority,
            organisation: *organisation,
            weight: *weight,
            exclude: *exclude,
            left: *left,
            wait: *wait,
        })
    }

    fn answer_ask(&mut self, now: Time, service: u64, domain: u64, ask: Ask) -> Reply {
        let Some(state) = self.services.get_mut(service) else { return Reply::Full };
        let Some(dispatcher) = state.own(now, domain) else { return Reply::Full };
        dispatcher.ask(now, ask, &mut self.rng)
    }

    /// Runs `f` on every dispatcher for others; permits are found by their identity.
    fn each_own(&mut self, f: impl Fn(&mut policy::Dispatcher, &mut StdRng) -> Vec<Settled>) {
        let rng = &mut self.rng;
        let mut settled = Vec::new();
        self.services.for_each(|_, domain, it| {
            if domain.is_some() {
                settled.extend(f(it, rng).into_iter().map(|it| (domain, it)));
            }
        });
        self.undelivered.extend(settled);
    }

    // The exchange with other nodes.

    fn receive_frames(&mut self, now: Time) {
        for _ in 0..BATCH {
            let Some((from, frame, n)) = self.edge.receive() else { return };
            self.receive(now, from, frame, n);
            self.deliver_all(now);
        }
    }

    fn receive(&mut self, now: Time, from: SocketAddr, frame: Frame, n: usize) {
        if let Message::Permit(message) = frame.message {
            if self.exchange.admits(now, frame.from) {
                self.permit_message(now, (frame.from, from), message);
            }
            return;
        }
        self.exchange.spend(n);
        let effects = self.exchange.receive(now, from, frame);
        self.apply(now, effects);
    }

    fn apply(&mut self, now: Time, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(to, message) => {
                    let frame = self.exchange.frame(message);
                    let n = self.edge.send(to, &frame);
                    self.exchange.spend(n);
                }
                Effect::Fetch(addr, held) => {
                    let (reader, keys) = (self.reader.clone(), self.keys.clone());
                    tokio::spawn(reader.fetch_from_peer(addr, held, keys));
                }
                Effect::InForce(revision) => self.put_in_force(now, revision),
                Effect::Verdict(it) => self.verdict(now, it),
            }
        }
    }

    fn verdict(&mut self, now: Time, it: Verdict) {
        if it.leaving {
            self.services.leave(now, it.endpoint);
        } else if self.mode != Mode::Local {
            let valid = Duration::from_millis(it.valid_ms.into()).min(EJECTED_VALID);
            self.services.hint(now + valid, it.endpoint);
        }
    }

    fn leaving(&mut self, now: Time, id: PermitId, addr: SocketAddr) {
        self.services.leave(now, addr);
        let valid_ms = LEAVING_VALID.as_millis() as u32;
        let verdict = Verdict { endpoint: addr, leaving: true, valid_ms };
        self.exchange.tell(now, verdict);
        // Who hands out the endpoint's slots must not wait for the exchange.
        let Some(OpenPermit { place: Place::Peer(node), .. }) = self.open.get(&id) else { return };
        let Some(member) = self.exchange.members().get(*node) else { return };
        let gossip = Gossip { nodes: Vec::new(), verdicts: vec![verdict] };
        let effect = Effect::Send(member.info.addr, Message::Gossip(gossip));
        self.apply(now, vec![effect]);
    }

    fn send_to(&mut self, node: NodeId, message: PermitMessage) {
        let member = self.exchange.members().get(node).map(|it| it.info.addr);
        let Some(addr) = member.or_else(|| self.askers.get(&node).copied()) else { return };
        let frame = self.exchange.frame(Message::Permit(message));
        self.edge.send(addr, &frame);
    }

    // Revisions.

    fn hold(&mut self, now: Time, candidate: Candidate) {
        let held = candidate.held();
        if held.revision <= self.exchange.revisions.facts().held.revision {
            return;
        }
        info!(self.log, "revision held"; "revision" => held.revision);
        self.rejected = None;
        self.store.keep(&candidate);
        self.staged = Some(candidate.config);
        let effects = self.exchange.hold(held);
        self.apply(now, effects);
    }

    fn reject(&mut self, rejected: Rejected) {
        if rejected.revision > self.exchange.revisions.facts().held.revision {
            warn!(self.log, "revision rejected: publish a corrected one";
                "revision" => rejected.revision, "reason" => &rejected.reason);
            self.rejected = Some(rejected);
        }
    }

    fn put_in_force(&mut self, now: Time, revision: u64) {
        let Some(config) = self.staged.take_if(|it| it.revision == revision) else { return };
        info!(self.log, "revision in force"; "revision" => revision,
            "services" => config.services.len(), "resources" => config.resources.len());
        self.services.reconfigure(now, &config);
        let resources = Arc::new(config.resources.clone());
        self.outputs.shared.publish(config);
        self.outputs.published.send_replace(Published { revision, resources });
        self.next_report = now;
    }

    // Time.

    fn notice_pause(&mut self, now: Time) {
        let pause = now.since(self.last_tick);
        if pause < PAUSE {
            return;
        }
        warn!(self.log, "this process was paused: evidence is dropped";
            "ms" => pause.as_millis() as u64);
        self.woke = now;
        self.last_tick = now;
        let ticked = self.services.wake(now, &mut self.rng);
        self.ticked(now, ticked);
    }

    fn tick(&mut self, now: Time) {
        self.last_tick = now;
        let ticked = self.services.tick(now, &mut self.rng);
        self.ticked(now, ticked);
        let directory = Nodes { now, me: self.me, exchange: &self.exchange };
        for action in self.client.tick(now, &directory) {
            self.act(now, action);
        }
        if !self.draining {
            let is_ready = self.exchange.revisions.readiness().is_ok();
            let phase = if is_ready { Phase::Ready } else { Phase::Starting };
            self.exchange.set_phase(phase);
        }
        let effects = self.exchange.tick(now, &mut self.rng);
        self.apply(now, effects);
        if now >= self.next_renewal {
            self.next_renewal = now + RENEW;
            self.renew(now);
        }
        if now >= self.next_report {
            self.next_report = now + REPORT;
            self.outputs.report.send_replace(Arc::new(self.report(now)));
            self.set_pace();
        }
    }

    fn ticked(&mut self, now: Time, ticked: Ticked) {
        self.undelivered.extend(ticked.settled);
        for (service, domain, it) in ticked.changes {
            let name = self.services.get(service).map(|it| it.service.name.clone());
            info!(self.log, "endpoint state"; "service" => name.unwrap_or_default().as_str(),
                "endpoint" => %it.addr, "from" => it.from.name(), "to" => it.to.name(),
                "reason" => it.reason, "dispatched_here" => domain.is_some());
            let is_word_of_dispatcher = domain.is_some() || self.mode == Mode::Direct;
            if matches!(it.to, State::Ejected { .. }) && is_word_of_dispatcher {
                self.tell_ejected(now, it.addr);
            }
        }
    }

    fn tell_ejected(&mut self, now: Time, endpoint: SocketAddr) {
        let valid_ms = EJECTED_VALID.as_millis() as u32;
        self.exchange.tell(now, Verdict { endpoint, leaving: false, valid_ms });
    }

    /// Renews the slots that this node's requests use and the verdicts that still hold.
    fn renew(&mut self, now: Time) {
        let mut by_node: FxHashMap<NodeId, Vec<PermitId>> = FxHashMap::default();
        let mut here = Vec::new();
        for (id, it) in &self.open {
            match it.place {
                Place::Peer(node) => by_node.entry(node).or_default().push(*id),
                place => here.push((*id, place, it.service)),
            }
        }
        for (id, place, service) in here {
            self.here(place, service, |it, _| {
                it.renew(now, id);
                Vec::new()
            });
        }
        for (node, ids) in by_node {
            for ids in ids.chunks(IDS_PER_RENEWAL) {
                self.send_to(node, PermitMessage::Renew { ids: ids.to_vec() });
            }
        }
        let mut ejected = Vec::new();
        self.services.for_each(|_, domain, it| {
            let out = it.endpoints().iter();
            let out = out.filter(|it| matches!(it.state, State::Ejected { .. }));
            if domain.is_some() {
                ejected.extend(out.map(|it| it.addr));
            }
        });
        for it in ejected {
            self.tell_ejected(now, it);
        }
    }

    fn set_pace(&self) {
        let fresh = self.exchange.revisions.facts().in_force == 0;
        let pace = Pace { fleet_size: self.exchange.fleet_size(), fresh };
        self.outputs.pace.send_if_modified(|it| {
            let changed = it.fresh != pace.fresh;
            *it = pace;
            changed
        });
    }
}

/// Finds dispatching nodes among the members and this node itself.
struct Nodes<'a> {
    now: Time,
    me: Reporter,
    exchange: &'a Exchange,
}

impl Directory for Nodes<'_> {
    fn candidates(&self, service: u64, failure_domain: u64) -> Vec<NodeId> {
        let members = self.exchange.members();
        let others = members.dispatchers(self.now, failure_domain, fleet::ROUND);
        let is_mine = self.me.failure_domain == failure_domain;
        let is_ready = self.exchange.phase() == Phase::Ready;
        let own = (is_mine && is_ready).then_some(self.me.node);
        rank(service ^ failure_domain, others.chain(own))
    }
}
