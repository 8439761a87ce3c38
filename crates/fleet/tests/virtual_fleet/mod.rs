//! Simulation of a fleet in virtual time: nodes ask each other for the slots of one service, over
//! links that lose and delay frames.

use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use fleet::{
    Delivery, Directory, Message, PermitAction, PermitClient, PermitMessage, PermitOutcome,
    PermitRequest, Place,
};
use policy::{
    Ask, BudgetLimits, Dispatcher, Grant, Kind, NodeId, Notice, PermitId, Precedence, Reply,
    Reporter, RequestKey, SendKind, Time, rank,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use resources::{Endpoint, Floor, Name, Priority, Service, Standing};

/// Number of nodes in the fleet.
pub const NODES: u64 = 20;
const SERVICE: u64 = 1;
/// Port of the first endpoint.
const FIRST_PORT: u16 = 1_000;
/// Limits of the repeat budget.
pub const LIMITS: BudgetLimits =
    BudgetLimits { ratio: 0.2, extra: 40.0, window: Duration::from_secs(10) };
/// An unanswered ask is sent to the next node after this time.
const ASK_TIMEOUT: Duration = Duration::from_millis(40);
/// One millisecond; all times of the simulation are in microseconds.
pub const MS: u64 = 1_000;
/// Duration of a run.
pub const RUN_LENGTH: u64 = 35_000 * MS;
/// Fraction of the frames that a full link loses.
const LOSS_ON_FULL_LINK: f64 = 0.8;
/// Time limit of each request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

/// Load and faults of a run.
#[derive(Clone, Copy)]
pub struct Scenario {
    /// Requests per second at each node.
    pub rate: f64,
    /// Endpoints of the service.
    pub endpoints: u16,
    /// Slots of each endpoint.
    pub slots: u32,
    /// Time that a request spends at an endpoint.
    pub service_time: u64,
    /// No request arrives after this time.
    pub requests_until: u64,
    /// Fraction of the frames that are delayed, by up to a tenth of a second.
    pub late: f64,
    /// Fraction of the frames that are lost.
    pub lost: f64,
    /// How long an answer fills the link of the node that relays it.
    pub answer_fills_link: u64,
    /// Time from the beginning of an answer to its last byte at the asking node.
    pub answer_transit: u64,
    /// Fraction of the answers that are six times as long.
    pub long_answers: f64,
    /// When the asking node releases the slot.
    pub release: Release,
    /// Fraction of the first sends that reach no endpoint.
    pub unreached: f64,
    /// Requests before this time are answered, all later ones fail.
    pub fails_from: u64,
    /// From this time on the dispatching node is cut off from all others.
    pub cut_off_at: Option<u64>,
    /// Time of the first restart of all processes and the number of restarts, one second apart.
    pub restarts_from: Option<(u64, u64)>,
    /// Notices that some endpoints send.
    pub notice: Option<SentNotice>,
}

/// The first `endpoints` endpoints attach a notice to all their answers between two times.
#[derive(Clone, Copy)]
pub struct SentNotice {
    pub endpoints: usize,
    pub notice: Notice,
    pub from: u64,
    pub until: u64,
}

/// When the asking node releases the slot of a request.
#[derive(Clone, Copy, PartialEq, Eq)]
#[allow(dead_code, reason = "each test program uses some of the variants")]
pub enum Release {
    /// With the last byte of the answer, after the bytes that leave on the same link.
    LastByte,
    /// With the last byte of the answer, before the bytes that leave on the same link.
    LastByteFirst,
    /// When the answer begins.
    Beginning,
}

/// Base of all scenarios: a reliable network and a service at which every request fails.
pub const BASE_SCENARIO: Scenario = Scenario {
    rate: 15.0,
    endpoints: 16,
    slots: 64,
    service_time: 20 * MS,
    requests_until: RUN_LENGTH,
    late: 0.0,
    lost: 0.0,
    answer_fills_link: 0,
    answer_transit: 0,
    long_answers: 0.0,
    release: Release::Beginning,
    unreached: 0.0,
    fails_from: 0,
    cut_off_at: None,
    restarts_from: None,
    notice: None,
};

fn endpoint_name(i: usize) -> Name {
    format!("i-{i}").into()
}

fn service(scenario: &Scenario) -> Service {
    let endpoint = |i: u16| Endpoint {
        id: endpoint_name(i.into()),
        addr: ([127, 0, 0, 1], FIRST_PORT + i).into(),
        failure_domain: "a".into(),
        slots: scenario.slots,
        standing: Standing::Present,
        warm_up_ms: 0,
        started_ms: 0,
    };
    Service {
        name: "s".into(),
        endpoints: (0..scenario.endpoints).map(endpoint).collect(),
        floor: Floor::Percent(60),
        bias: Default::default(),
        slots: scenario.slots,
        connections: 200,
        cold_rate_per_s: 0.0,
        warm_up_ms: 0,
    }
}

/// Directory in which every node can dispatch.
struct AllNodes(Vec<NodeId>);

impl Directory for AllNodes {
    fn candidates(&self, service: u64, _failure_domain: Option<u64>) -> Vec<NodeId> {
        rank(service, self.0.iter().copied())
    }

    fn failure_domain_of(&self, _service: u64, _endpoint: &str) -> Option<u64> {
        None
    }
}

/// An event of the simulation.
enum Event {
    Request(usize),
    Restart,
    Deliver {
        from: usize,
        to: usize,
        message: Message,
    },
    /// A send ended in a failure that allows another one.
    Failed {
        node: usize,
        id: PermitId,
        place: Place,
    },
    /// The answer to a send begins.
    Began {
        node: usize,
        id: PermitId,
        place: Place,
    },
    /// The answer to a send is complete; `length` is a multiple of the usual length.
    Answered {
        node: usize,
        id: PermitId,
        place: Place,
        length: u64,
    },
}

/// Interval at which slots in use are renewed.
const RENEW_INTERVAL: u64 = 1_000 * MS;
/// Length of a long answer, as a multiple of the usual length.
const LONG_ANSWER: u64 = 6;

/// An event with its time and a sequence number, which orders events of the same time.
struct Due(u64, u64, Event);

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

struct Node {
    client: PermitClient,
    delivery: Delivery,
    /// Hands out slots to all nodes.
    own: Dispatcher,
    /// Picks for this node alone.
    direct: Dispatcher,
    /// Slots used by the requests of this node.
    open: BTreeMap<PermitId, Open>,
    /// Until when answers from endpoints fill the link.
    receives_until: u64,
    /// Until when answers to callers fill the link.
    link_full_until: u64,
}

/// A slot in use by a request.
#[derive(Clone, Copy)]
struct Open {
    place: Place,
    endpoint: usize,
    is_rate_limited: bool,
}

impl Node {
    fn new(now: Time, id: NodeId, scenario: &Scenario) -> Self {
        // Each start has a stream of its own.
        let stream = now.0 as u32;
        let dispatcher = |precedence| {
            let mut it = Dispatcher::new(now, &service(scenario), &[], LIMITS);
            it.set_nodes(NODES as usize);
            it.set_precedence(precedence);
            it
        };
        let is_first = rank(SERVICE, (0..NODES).map(NodeId))[0] == id;
        Self {
            client: PermitClient::new(id, ASK_TIMEOUT, LIMITS.window),
            delivery: Delivery::new(stream),
            own: dispatcher(if is_first { Precedence::First } else { Precedence::OneOfMany }),
            direct: dispatcher(Precedence::OneOfMany),
            open: BTreeMap::new(),
            receives_until: 0,
            link_full_until: 0,
        }
    }
}

impl Node {
    /// The local dispatcher that grants slots at `place`.
    fn dispatcher(&mut self, place: Place) -> &mut Dispatcher {
        if matches!(place, Place::Own(_)) { &mut self.own } else { &mut self.direct }
    }
}

/// The simulated fleet.
pub struct Fleet {
    now: u64,
    nodes: Vec<Node>,
    directory: AllNodes,
    events: BinaryHeap<Due>,
    scenario: Scenario,
    rng: StdRng,
    next: u64,
    /// Number of endpoints that each request waiting for a slot has reached, by its permit.
    requests: std::collections::HashMap<PermitId, u32>,
    /// Arrival times of requests.
    pub first_sends: Vec<u64>,
    /// Times of sends beyond the first of a request.
    pub repeats: Vec<u64>,
    /// Number of answered requests.
    pub answered: u32,
    /// Largest number of requests that waited for a slot at the same time.
    pub most_queued: usize,
    /// Counts of the dispatchers.
    pub counted: Counted,
    /// When each node first received a notice of an endpoint.
    first_notices: BTreeMap<(usize, usize), u64>,
    /// Sends to endpoints while these send notices.
    pub sends: Vec<SendRecord>,
    /// Time, node and endpoint of each request to back off.
    pub backoff_requests: Vec<(u64, usize, usize)>,
}

/// A send to an endpoint that currently sends notices.
#[derive(Clone, Copy, Debug)]
#[allow(dead_code, reason = "not every test program uses it")]
pub struct SendRecord {
    pub at: u64,
    pub node: usize,
    pub endpoint: usize,
    /// Time since the node first received a notice of the endpoint, if it did.
    pub known_for: Option<u64>,
}

/// Sums over all dispatchers.
#[derive(Debug, Default)]
pub struct Counted {
    pub answered: u32,
    pub expired: u32,
}

/// Runs the simulation with several seeds and checks that `holds` is true after each run.
#[allow(dead_code, reason = "not every test program uses it")]
#[track_caller]
pub fn check(scenario: Scenario, holds: impl Fn(&Fleet) -> bool) {
    for seed in 1..=4 {
        let mut fleet = Fleet::new(seed, scenario);
        fleet.run();
        let (answered, queued) = (fleet.answered, fleet.most_queued);
        assert!(
            holds(&fleet),
            "seed {seed}: {answered} answered, {:?}, {queued} waiting",
            fleet.counted
        );
    }
}

impl Fleet {
    pub fn new(seed: u64, scenario: Scenario) -> Self {
        let ids: Vec<NodeId> = (0..NODES).map(NodeId).collect();
        let mut fleet = Self {
            now: 0,
            nodes: ids.iter().map(|it| Node::new(Time(0), *it, &scenario)).collect(),
            directory: AllNodes(ids),
            events: BinaryHeap::new(),
            scenario,
            rng: StdRng::seed_from_u64(seed),
            next: 0,
            requests: Default::default(),
            first_sends: Vec::new(),
            repeats: Vec::new(),
            answered: 0,
            most_queued: 0,
            counted: Counted::default(),
            first_notices: BTreeMap::new(),
            sends: Vec::new(),
            backoff_requests: Vec::new(),
        };
        (0..NODES as usize).for_each(|i| fleet.after(0, Event::Request(i)));
        if let Some((from, times)) = scenario.restarts_from {
            (0..times).for_each(|i| fleet.after(from + i * 1_000 * MS, Event::Restart));
        }
        fleet
    }

    fn after(&mut self, time: u64, event: Event) {
        self.next += 1;
        self.events.push(Due(self.now + time, self.next, event));
    }

    fn now(&self) -> Time {
        Time(self.now)
    }

    pub fn run(&mut self) {
        let mut next_tick = 0;
        while self.now < RUN_LENGTH {
            match self.events.peek() {
                Some(due) if due.0 <= next_tick => {
                    let Due(at, _, event) = self.events.pop().expect("the event was peeked");
                    self.now = at;
                    self.handle(event);
                }
                _ => {
                    self.now = next_tick;
                    next_tick += 10 * MS;
                    (0..self.nodes.len()).for_each(|i| self.tick(i));
                    if self.now.is_multiple_of(RENEW_INTERVAL) {
                        (0..self.nodes.len()).for_each(|i| self.renew(i));
                    }
                    self.count();
                }
            }
        }
    }

    fn tick(&mut self, i: usize) {
        let now = self.now();
        let node = &mut self.nodes[i];
        let again = node.delivery.tick(now);
        let acks = node.delivery.take_acks(now);
        let actions = node.client.tick(now, &self.directory);
        let own = node.own.tick(now, &mut self.rng);
        node.direct.tick(now, &mut self.rng);
        for (to, batch) in again {
            self.transmit(i, to.0 as usize, Message::Reliable(batch));
        }
        for (to, ack) in acks {
            self.transmit(i, to.0 as usize, Message::Ack(ack));
        }
        actions.into_iter().for_each(|it| self.act(i, it));
        for it in own {
            self.answer(i, it.id, it.reply);
        }
    }

    /// Extends the lifetime of the slots of long requests.
    fn renew(&mut self, i: usize) {
        let now = self.now();
        for (id, open) in self.nodes[i].open.clone() {
            match open.place {
                Place::Peer(node) => {
                    self.send(i, node.0 as usize, PermitMessage::Renew { ids: vec![id] });
                }
                Place::Own(_) => self.nodes[i].own.renew(now, id),
                Place::Direct => self.nodes[i].direct.renew(now, id),
            }
        }
    }

    fn count(&mut self) {
        let mut queued = 0;
        for it in self.nodes.iter_mut().flat_map(|it| [&mut it.own, &mut it.direct]) {
            queued += it.queued();
            let counts = it.take_counts();
            self.counted.answered += counts.answered;
            self.counted.expired += counts.expired;
        }
        self.most_queued = self.most_queued.max(queued);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request(_) if self.now > self.scenario.requests_until => {}
            Event::Request(i) => {
                self.first_sends.push(self.now);
                self.ask_for_slot(i, 0, SendKind::First);
                let pause = (1e6 / self.scenario.rate) as u64;
                let pause = self.rng.random_range(pause / 2..pause * 3 / 2);
                self.after(pause, Event::Request(i));
            }
            Event::Deliver { from, to, message } => self.receive(from, to, message),
            Event::Restart => self.restart(),
            Event::Began { node, id, place } => self.began(node, id, place),
            Event::Answered { node, id, place, length } => {
                self.answered += 1;
                self.requests.remove(&id);
                match self.scenario.release {
                    Release::LastByteFirst => {
                        self.end(node, id, place, Kind::Answered);
                        self.fill_link(node, length);
                    }
                    Release::LastByte | Release::Beginning => {
                        self.fill_link(node, length);
                        self.end(node, id, place, Kind::Answered);
                    }
                }
            }
            Event::Failed { node, id, place } => self.failed(node, id, place),
        }
    }

    /// Restarts all processes: requests in progress are lost, and no node knows what was spent.
    fn restart(&mut self) {
        let now = self.now();
        self.nodes = (0..NODES).map(|i| Node::new(now, NodeId(i), &self.scenario)).collect();
        self.requests.clear();
        self.first_notices.clear();
        let is_kept = |it: &Due| matches!(it.2, Event::Request(_) | Event::Restart);
        self.events.retain(is_kept);
    }

    /// Whether frames between two nodes are lost because one of them is cut off.
    fn is_cut(&self, from: usize, to: usize) -> bool {
        let first = self.directory.candidates(SERVICE, None)[0].0 as usize;
        self.scenario.cut_off_at.is_some_and(|at| self.now >= at) && (from == first || to == first)
    }

    /// Asks for a slot for a request that has reached `reached` endpoints.
    fn ask_for_slot(&mut self, i: usize, reached: u32, send: SendKind) {
        self.next += 1;
        let id = PermitId { node: NodeId(i as u64), seq: self.next };
        self.requests.insert(id, reached);
        let ask = Ask {
            id,
            reporter: Reporter { node: id.node, failure_domain: 0 },
            route: 1,
            request: RequestKey::default(),
            repeatable: true,
            priority: Priority(0),
            organisation: 1,
            weight: 1,
            long_answer: false,
            send,
            brings_share: true,
            avoid: Vec::new(),
            closed: self.nodes[i].direct.closed(self.now(), id.node),
            domains: None,
            limits: self.nodes[i].direct.received_limits(self.now()),
            left: REQUEST_TIMEOUT,
            is_last: false,
            objective: Duration::from_secs(1),
            wait: true,
        };
        let request = PermitRequest {
            ask,
            service: SERVICE,
            failure_domain: None,
            deadline: self.now() + REQUEST_TIMEOUT,
        };
        let now = self.now();
        let action = self.nodes[i].client.request(now, request, &self.directory);
        self.act(i, action);
    }

    fn act(&mut self, i: usize, action: PermitAction) {
        match action {
            PermitAction::Send(to, message) => self.send(i, to.0 as usize, message),
            PermitAction::AskHere { place, ask, .. } => {
                let (now, id) = (self.now(), ask.id);
                let reply = self.nodes[i].dispatcher(place).ask(now, ask, &mut self.rng);
                self.reply(i, place, id, reply);
            }
            PermitAction::Settle(id, PermitOutcome::Granted(grant, place)) => {
                self.granted(i, id, &grant, place);
            }
            PermitAction::Settle(id, PermitOutcome::Refused(_) | PermitOutcome::Rejected(_)) => {
                self.requests.remove(&id);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: PermitMessage) {
        match message.is_reliable() {
            true => self.send_reliably(from, to, message),
            false => self.transmit(from, to, Message::Permit(message)),
        }
    }

    fn send_reliably(&mut self, from: usize, to: usize, message: PermitMessage) {
        let now = self.now();
        let (delivery, to_node) = (&mut self.nodes[from].delivery, NodeId(to as u64));
        delivery.send(now, to_node, message).expect("the message fits into a frame");
        for batch in self.nodes[from].delivery.flush(now, to_node) {
            self.transmit(from, to, Message::Reliable(batch));
        }
    }

    fn transmit(&mut self, from: usize, to: usize, message: Message) {
        let is_full = self.now < self.nodes[from].link_full_until;
        let lost = if is_full { LOSS_ON_FULL_LINK } else { self.scenario.lost };
        if self.rng.random_bool(lost) || self.is_cut(from, to) {
            return;
        }
        let is_late = self.rng.random_bool(self.scenario.late);
        let delay = if is_late { self.rng.random_range(20 * MS..100 * MS) } else { MS };
        self.after(delay, Event::Deliver { from, to, message });
    }

    fn receive(&mut self, from: usize, to: usize, message: Message) {
        let (now, sender) = (self.now(), NodeId(from as u64));
        match message {
            Message::Permit(it) => self.receive_permit(from, to, it),
            Message::Reliable(batch) => {
                let new = self.nodes[to].delivery.receive(now, sender, batch);
                new.into_iter().for_each(|it| self.receive_permit(from, to, it));
            }
            Message::Ack(ack) => {
                self.nodes[to].delivery.acknowledged(sender, &ack);
            }
            Message::Gossip(_) | Message::PlatformUpdate(_) | Message::Allowance(_) => {}
        }
    }

    fn receive_permit(&mut self, from: usize, to: usize, message: PermitMessage) {
        let (now, sender) = (self.now(), NodeId(from as u64));
        match message {
            PermitMessage::Ask { ask, .. } => {
                let id = ask.id;
                let reply = self.nodes[to].own.ask(now, ask, &mut self.rng);
                self.send(to, from, PermitMessage::Answer { id, reply });
            }
            PermitMessage::Answer { id, reply } => {
                self.reply(to, Place::Peer(NodeId(from as u64)), id, reply);
            }
            PermitMessage::Release { id, outcome } => {
                let own = &mut self.nodes[to].own;
                let settled = match outcome {
                    Some((kind, took)) => own.release(now, id, kind, took, &mut self.rng),
                    None => own.cancel(now, id, &mut self.rng),
                };
                settled.into_iter().for_each(|it| self.answer(to, it.id, it.reply));
            }
            PermitMessage::AnswerBegan { id, elapsed } => {
                let settled = self.nodes[to].own.answer_began(now, id, elapsed, &mut self.rng);
                settled.into_iter().for_each(|it| self.answer(to, it.id, it.reply));
            }
            PermitMessage::Noticed { endpoint, started_ms, notice, .. } => {
                self.nodes[to].own.noticed(now, sender, &endpoint, started_ms, notice);
                self.nodes[to].direct.noticed(now, sender, &endpoint, started_ms, notice);
            }
            PermitMessage::Renew { ids } => {
                ids.iter().for_each(|it| self.nodes[to].own.renew(now, *it));
            }
            _ => {}
        }
    }

    fn answer(&mut self, from: usize, id: PermitId, reply: Reply) {
        match id.node.0 as usize {
            to if to == from => self.reply(to, Place::Own(None), id, reply),
            to => self.send_reliably(from, to, PermitMessage::Answer { id, reply }),
        }
    }

    fn reply(&mut self, i: usize, place: Place, id: PermitId, reply: Reply) {
        let now = self.now();
        let action = self.nodes[i].client.reply(now, place, id, reply, &self.directory);
        action.into_iter().for_each(|it| self.act(i, it));
    }

    /// Sends the request, which is answered or fails.
    fn granted(&mut self, i: usize, id: PermitId, grant: &Grant, place: Place) {
        let (now, direct) = (self.now(), &self.nodes[i].direct);
        if direct.is_closed(now, id.node, &grant.endpoint, grant.started_ms) {
            return self.give_back(i, id, place);
        }
        let endpoint = usize::from(grant.addr.port() - FIRST_PORT);
        let is_rate_limited = grant.is_rate_limited;
        if is_rate_limited && place != Place::Direct {
            let now = self.now();
            self.nodes[i].direct.sent_elsewhere(now, &grant.endpoint);
        }
        self.nodes[i].open.insert(id, Open { place, endpoint, is_rate_limited });
        if self.current_notice(endpoint).is_some() {
            let known_for = self.first_notices.get(&(i, endpoint)).map(|at| self.now - at);
            self.sends.push(SendRecord { at: self.now, node: i, endpoint, known_for });
        }
        let reached = self.requests[&id];
        if reached > 0 {
            self.repeats.push(self.now);
        }
        let is_rejected = matches!(self.current_notice(endpoint), Some(Notice::Backoff(_)));
        let event = match self.now >= self.scenario.fails_from || is_rejected {
            true => Event::Failed { node: i, id, place },
            false => Event::Began { node: i, id, place },
        };
        let service_time = if is_rejected { MS } else { self.scenario.service_time };
        self.after(service_time, event);
    }

    /// Gives back a slot at an endpoint that is closed for this node, and asks for another one.
    fn give_back(&mut self, i: usize, id: PermitId, place: Place) {
        let now = self.now();
        match place {
            Place::Peer(node) => {
                let message = PermitMessage::Release { id, outcome: None };
                self.send(i, node.0 as usize, message);
            }
            Place::Own(_) | Place::Direct => {
                let settled = self.nodes[i].dispatcher(place).cancel(now, id, &mut self.rng);
                settled.into_iter().for_each(|it| self.answer(i, it.id, it.reply));
            }
        }
        let reached = self.requests.remove(&id).unwrap_or_default();
        let send = if reached == 0 { SendKind::FirstAgain } else { SendKind::Further };
        self.ask_for_slot(i, reached, send);
    }

    /// The notice that an endpoint currently sends.
    fn current_notice(&self, endpoint: usize) -> Option<Notice> {
        let it = self.scenario.notice?;
        let is_sent = endpoint < it.endpoints && (it.from..it.until).contains(&self.now);
        is_sent.then_some(it.notice)
    }

    /// Processes the notice that an endpoint sends with an answer.
    fn receive_notice(&mut self, i: usize, id: PermitId) {
        let Some(open) = self.nodes[i].open.get(&id).copied() else { return };
        let sent_notice = self.current_notice(open.endpoint);
        if sent_notice.is_some() {
            self.first_notices.entry((i, open.endpoint)).or_insert(self.now);
        }
        if matches!(sent_notice, Some(Notice::Backoff(_))) {
            self.backoff_requests.push((self.now, i, open.endpoint));
        }
        let limit_ended = open.is_rate_limited.then_some(Notice::RateLimit(None));
        let Some(notice) = sent_notice.or(limit_ended) else { return };
        let (now, endpoint) = (self.now(), endpoint_name(open.endpoint));
        self.nodes[i].direct.noticed(now, id.node, &endpoint, 0, notice);
        self.nodes[i].own.noticed(now, id.node, &endpoint, 0, notice);
        if let Place::Peer(node) = open.place {
            let message =
                PermitMessage::Noticed { service: SERVICE, endpoint, started_ms: 0, notice };
            self.send(i, node.0 as usize, message);
        }
    }

    /// Begins the transfer of an answer.
    fn began(&mut self, i: usize, id: PermitId, place: Place) {
        self.receive_notice(i, id);
        let is_long = self.rng.random_bool(self.scenario.long_answers);
        let length = if is_long { LONG_ANSWER } else { 1 };
        if self.scenario.answer_transit > 0 && self.scenario.release == Release::Beginning {
            self.report_beginning(i, id, place);
        }
        // Answers arrive on the link one after the other.
        let link = &mut self.nodes[i].receives_until;
        *link = self.now.max(*link) + length * self.scenario.answer_transit;
        let transit_time = *link - self.now;
        self.after(transit_time, Event::Answered { node: i, id, place, length });
    }

    fn report_beginning(&mut self, i: usize, id: PermitId, place: Place) {
        let elapsed = Duration::from_micros(self.scenario.service_time);
        match place {
            Place::Peer(node) => {
                self.send(i, node.0 as usize, PermitMessage::AnswerBegan { id, elapsed });
            }
            Place::Own(_) | Place::Direct => {
                let now = self.now();
                let settled =
                    self.nodes[i].dispatcher(place).answer_began(now, id, elapsed, &mut self.rng);
                settled.into_iter().for_each(|it| self.answer(i, it.id, it.reply));
            }
        }
    }

    /// Sends an answer to its caller, after the answers before it.
    fn fill_link(&mut self, node: usize, length: u64) {
        let link = &mut self.nodes[node].link_full_until;
        *link = self.now.max(*link) + length * self.scenario.answer_fills_link;
    }

    /// Gives a slot back to the dispatcher that granted it.
    fn end(&mut self, i: usize, id: PermitId, place: Place, kind: Kind) {
        let took = Duration::from_micros(self.scenario.service_time);
        let now = self.now();
        self.nodes[i].open.remove(&id);
        match place {
            Place::Peer(node) => {
                let outcome = Some((kind, took));
                self.send(i, node.0 as usize, PermitMessage::Release { id, outcome });
            }
            Place::Own(_) | Place::Direct => {
                let settled =
                    self.nodes[i].dispatcher(place).release(now, id, kind, took, &mut self.rng);
                settled.into_iter().for_each(|it| self.answer(i, it.id, it.reply));
            }
        }
    }

    fn failed(&mut self, i: usize, id: PermitId, place: Place) {
        self.receive_notice(i, id);
        self.end(i, id, place, Kind::Shed);
        let reached = self.requests.remove(&id).unwrap_or_default();
        let is_unreached = reached == 0 && self.rng.random_bool(self.scenario.unreached);
        if reached < 2 {
            match is_unreached {
                true => self.ask_for_slot(i, 0, SendKind::FirstAgain),
                false => self.ask_for_slot(i, reached + 1, SendKind::Further),
            }
        }
    }
}
