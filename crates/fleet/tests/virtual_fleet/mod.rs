//! A fleet in virtual time whose nodes ask each other for the slots of one service, over links that lose frames and
//! bring them late.

use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use fleet::{Action, Client, Delivery, Directory, Message, PermitMessage, Place, Settlement, Wish};
use policy::{
    Ask, BudgetLimits, Dispatcher, Grant, Kind, NodeId, Notice, PermitId, Precedence, Reply,
    Reporter, RequestKey, SendKind, Time, rank,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use resources::{Endpoint, Floor, Name, Priority, Service, Standing};

pub const NODES: u64 = 20;
const SERVICE: u64 = 1;
/// Port of the first endpoint.
const FIRST_PORT: u16 = 1_000;
pub const LIMITS: BudgetLimits =
    BudgetLimits { ratio: 0.2, extra: 40.0, window: Duration::from_secs(10) };
/// An ask without an answer for this long is put to the next node.
const PATIENCE: Duration = Duration::from_millis(40);
pub const MS: u64 = 1_000;
/// Length of a run.
pub const RUN: u64 = 35_000 * MS;
/// Share of frames that a full link loses.
const LOST_ON_FULL_LINK: f64 = 0.8;
/// Time that each request has.
const TIME_LIMIT: Duration = Duration::from_secs(4);

/// What is asked for, and how badly things go.
#[derive(Clone, Copy)]
pub struct Trouble {
    /// Requests a second at each node.
    pub rate: f64,
    /// Endpoints of the service.
    pub endpoints: u16,
    /// Slots of each of them.
    pub slots: u32,
    /// For how long a request is at an endpoint.
    pub work: u64,
    /// No more requests come from then on.
    pub requests_until: u64,
    /// Share of frames that are late, by up to a tenth of a second.
    pub late: f64,
    /// Share of frames that are lost.
    pub lost: f64,
    /// For how long an answer fills the link of the node that relays it.
    pub answer_fills_link: u64,
    /// Time from the beginning of an answer to its last byte at the node that asked for it.
    pub answer_travels: u64,
    /// Share of answers that are six times as long.
    pub long_answers: f64,
    /// When the node that asked for a slot says that it may be used again.
    pub release: Release,
    /// Share of first sends that reach nobody.
    pub unreached: f64,
    /// Requests before this time are answered, all later ones fail.
    pub fails_from: u64,
    /// From then on the node that hands out the slots is cut off from all others.
    pub cut_off_at: Option<u64>,
    /// All processes begin anew, this many times, one second apart.
    pub restarts_from: Option<(u64, u64)>,
    /// What some endpoints say of themselves.
    pub says: Option<Says>,
}

/// The first endpoints say something of themselves in all their answers for a while.
#[derive(Clone, Copy)]
pub struct Says {
    pub endpoints: usize,
    pub notice: Notice,
    pub from: u64,
    pub until: u64,
}

/// When the node that asked for a slot says that the endpoint has done its work.
#[derive(Clone, Copy, PartialEq, Eq)]
#[allow(dead_code, reason = "each program of tests plays some of the ways")]
pub enum Release {
    /// With the last byte of the answer, whose bytes then go out on the same link.
    LastByte,
    /// With the last byte, ahead of the bytes that go out.
    LastByteFirst,
    /// When the answer begins.
    Beginning,
}

pub const NONE: Trouble = Trouble {
    rate: 15.0,
    endpoints: 16,
    slots: 64,
    work: 20 * MS,
    requests_until: RUN,
    late: 0.0,
    lost: 0.0,
    answer_fills_link: 0,
    answer_travels: 0,
    long_answers: 0.0,
    release: Release::Beginning,
    unreached: 0.0,
    fails_from: 0,
    cut_off_at: None,
    restarts_from: None,
    says: None,
};

fn endpoint_name(i: usize) -> Name {
    format!("i-{i}").into()
}

fn service(trouble: &Trouble) -> Service {
    let endpoint = |i: u16| Endpoint {
        id: endpoint_name(i.into()),
        addr: ([127, 0, 0, 1], FIRST_PORT + i).into(),
        failure_domain: "a".into(),
        slots: trouble.slots,
        standing: Standing::Present,
        warm_up_ms: 0,
        started_ms: 0,
    };
    Service {
        name: "s".into(),
        endpoints: (0..trouble.endpoints).map(endpoint).collect(),
        floor: Floor::Percent(60),
        bias: Default::default(),
        slots: trouble.slots,
        connections: 200,
        cold_rate_per_s: 0.0,
        warm_up_ms: 0,
    }
}

struct All(Vec<NodeId>);

impl Directory for All {
    fn candidates(&self, service: u64) -> Vec<NodeId> {
        rank(service, self.0.iter().copied())
    }
}

/// What happens next, earliest first.
enum Event {
    Request(usize),
    Restart,
    Deliver {
        from: usize,
        to: usize,
        message: Message,
    },
    /// A send has ended in a failure that allows another one.
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
    /// A send is answered whole; its answer is so many times as long as most.
    Answered {
        node: usize,
        id: PermitId,
        place: Place,
        length: u64,
    },
}

/// Interval at which open slots are renewed.
const RENEW: u64 = 1_000 * MS;
/// Length of a long answer, in usual ones.
const LONG: u64 = 6;

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
    client: Client,
    delivery: Delivery,
    /// Hands out slots to all nodes.
    own: Dispatcher,
    /// Picks for this node alone.
    direct: Dispatcher,
    /// Slots that its requests use.
    open: BTreeMap<PermitId, Open>,
    /// Until when answers from endpoints fill its link.
    receives_until: u64,
    /// Until when its link is full of answers to callers.
    link_full_until: u64,
}

/// A slot that a request uses.
#[derive(Clone, Copy)]
struct Open {
    place: Place,
    endpoint: usize,
    is_rate_limited: bool,
}

impl Node {
    fn new(now: Time, id: NodeId, trouble: &Trouble) -> Self {
        // Each start has a stream of its own.
        let stream = now.0 as u32;
        let dispatcher = |precedence| {
            let mut it = Dispatcher::new(now, &service(trouble), &[], LIMITS);
            it.set_nodes(NODES as usize);
            it.set_precedence(precedence);
            it
        };
        let is_first = rank(SERVICE, (0..NODES).map(NodeId))[0] == id;
        Self {
            client: Client::new(id, PATIENCE, LIMITS.window),
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
    /// Its dispatcher that grants at a place that is no other node.
    fn dispatcher(&mut self, place: Place) -> &mut Dispatcher {
        if place == Place::Own { &mut self.own } else { &mut self.direct }
    }
}

pub struct Fleet {
    now: u64,
    nodes: Vec<Node>,
    directory: All,
    events: BinaryHeap<Due>,
    trouble: Trouble,
    rng: StdRng,
    next: u64,
    /// Whether each request that waits for a slot has been sent before, by its permit.
    requests: std::collections::HashMap<PermitId, u32>,
    /// When requests came, and when sends beyond their first went out.
    pub first: Vec<u64>,
    pub repeats: Vec<u64>,
    /// Requests that were answered.
    pub answered: u32,
    /// Most requests that waited for a slot at one time.
    pub most_queued: usize,
    /// What the dispatchers have counted.
    pub counted: Counted,
    /// When each node was first told of an endpoint.
    told: BTreeMap<(usize, usize), u64>,
    /// Sends to endpoints while they say something of themselves.
    pub sends: Vec<Arrival>,
    /// When a node was asked for rest by an endpoint.
    pub asked_for_rest: Vec<(u64, usize, usize)>,
}

/// A send to an endpoint that says something of itself.
#[derive(Clone, Copy, Debug)]
#[allow(dead_code, reason = "each program of tests looks at runs in its own way")]
pub struct Arrival {
    pub at: u64,
    pub node: usize,
    pub endpoint: usize,
    /// Time since its node was first told, if it was.
    pub known_for: Option<u64>,
}

/// Counts of all dispatchers.
#[derive(Debug, Default)]
pub struct Counted {
    pub answered: u32,
    pub expired: u32,
}

/// Plays a trouble with several seeds, each of which has to end in what holds.
#[allow(dead_code, reason = "each program of tests looks at runs in its own way")]
#[track_caller]
pub fn check(trouble: Trouble, holds: impl Fn(&Fleet) -> bool) {
    for seed in 1..=4 {
        let mut fleet = Fleet::new(seed, trouble);
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
    pub fn new(seed: u64, trouble: Trouble) -> Self {
        let ids: Vec<NodeId> = (0..NODES).map(NodeId).collect();
        let mut fleet = Self {
            now: 0,
            nodes: ids.iter().map(|it| Node::new(Time(0), *it, &trouble)).collect(),
            directory: All(ids),
            events: BinaryHeap::new(),
            trouble,
            rng: StdRng::seed_from_u64(seed),
            next: 0,
            requests: Default::default(),
            first: Vec::new(),
            repeats: Vec::new(),
            answered: 0,
            most_queued: 0,
            counted: Counted::default(),
            told: BTreeMap::new(),
            sends: Vec::new(),
            asked_for_rest: Vec::new(),
        };
        (0..NODES as usize).for_each(|i| fleet.after(0, Event::Request(i)));
        if let Some((from, times)) = trouble.restarts_from {
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
        while self.now < RUN {
            match self.events.peek() {
                Some(due) if due.0 <= next_tick => {
                    let Due(at, _, event) = self.events.pop().expect("it was there");
                    self.now = at;
                    self.handle(event);
                }
                _ => {
                    self.now = next_tick;
                    next_tick += 10 * MS;
                    (0..self.nodes.len()).for_each(|i| self.tick(i));
                    if self.now.is_multiple_of(RENEW) {
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
        let actions = node.client.tick(now, &self.directory);
        let own = node.own.tick(now, &mut self.rng);
        node.direct.tick(now, &mut self.rng);
        for (to, batch) in again {
            self.transmit(i, to.0 as usize, Message::Reliable(batch));
        }
        actions.into_iter().for_each(|it| self.act(i, it));
        for it in own {
            self.answer(i, it.id, it.reply);
        }
    }

    /// Keeps the slots of long requests alive.
    fn renew(&mut self, i: usize) {
        let now = self.now();
        for (id, open) in self.nodes[i].open.clone() {
            match open.place {
                Place::Peer(node) => {
                    self.send(i, node.0 as usize, PermitMessage::Renew { ids: vec![id] });
                }
                Place::Own => self.nodes[i].own.renew(now, id),
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
            Event::Request(_) if self.now > self.trouble.requests_until => {}
            Event::Request(i) => {
                self.first.push(self.now);
                self.wish(i, 0, SendKind::First);
                let pause = (1e6 / self.trouble.rate) as u64;
                let pause = self.rng.random_range(pause / 2..pause * 3 / 2);
                self.after(pause, Event::Request(i));
            }
            Event::Deliver { from, to, message } => self.receive(from, to, message),
            Event::Restart => self.restart(),
            Event::Began { node, id, place } => self.began(node, id, place),
            Event::Answered { node, id, place, length } => {
                self.answered += 1;
                self.requests.remove(&id);
                match self.trouble.release {
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

    /// All processes are killed: what was under way is lost, and nobody knows what was spent.
    fn restart(&mut self) {
        let now = self.now();
        self.nodes = (0..NODES).map(|i| Node::new(now, NodeId(i), &self.trouble)).collect();
        self.requests.clear();
        self.told.clear();
        let is_kept = |it: &Due| matches!(it.2, Event::Request(_) | Event::Restart);
        self.events.retain(is_kept);
    }

    /// Whether frames between two nodes are lost, because one of them is cut off.
    fn is_cut(&self, from: usize, to: usize) -> bool {
        let first = self.directory.candidates(SERVICE)[0].0 as usize;
        self.trouble.cut_off_at.is_some_and(|at| self.now >= at) && (from == first || to == first)
    }

    /// A request looks for a slot. `reached` endpoints have seen it.
    fn wish(&mut self, i: usize, reached: u32, send: SendKind) {
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
            limits: self.nodes[i].direct.heard_limits(self.now()),
            left: TIME_LIMIT,
            is_last: false,
            objective: Duration::from_secs(1),
            wait: true,
        };
        let wish = Wish { ask, service: SERVICE, deadline: self.now() + TIME_LIMIT };
        let now = self.now();
        let action = self.nodes[i].client.wish(now, wish, &self.directory);
        self.act(i, action);
    }

    fn act(&mut self, i: usize, action: Action) {
        match action {
            Action::Send(to, message) => self.send(i, to.0 as usize, message),
            Action::AskHere(place, _, ask) => {
                let (now, id) = (self.now(), ask.id);
                let reply = self.nodes[i].dispatcher(place).ask(now, ask, &mut self.rng);
                self.reply(i, place, id, reply);
            }
            Action::Settle(id, Settlement::Granted(grant, place)) => {
                self.granted(i, id, &grant, place);
            }
            Action::Settle(id, Settlement::Refused(_) | Settlement::Rejected(_)) => {
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
        let batch = self.nodes[from].delivery.send(now, NodeId(to as u64), message);
        self.transmit(from, to, Message::Reliable(batch.expect("it fits a frame")));
    }

    fn transmit(&mut self, from: usize, to: usize, message: Message) {
        let is_full = self.now < self.nodes[from].link_full_until;
        let lost = if is_full { LOST_ON_FULL_LINK } else { self.trouble.lost };
        if self.rng.random_bool(lost) || self.is_cut(from, to) {
            return;
        }
        let is_late = self.rng.random_bool(self.trouble.late);
        let delay = if is_late { self.rng.random_range(20 * MS..100 * MS) } else { MS };
        self.after(delay, Event::Deliver { from, to, message });
    }

    fn receive(&mut self, from: usize, to: usize, message: Message) {
        let (now, sender) = (self.now(), NodeId(from as u64));
        match message {
            Message::Permit(it) => self.receive_permit(from, to, it),
            Message::Reliable(batch) => {
                let (new, ack) = self.nodes[to].delivery.receive(now, sender, batch);
                self.transmit(to, from, Message::Ack(ack));
                new.into_iter().for_each(|it| self.receive_permit(from, to, it));
            }
            Message::Ack(ack) => {
                self.nodes[to].delivery.acknowledged(sender, &ack);
            }
            Message::Gossip(_) | Message::News(_) | Message::Allowance(_) => {}
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
            to if to == from => self.reply(to, Place::Own, id, reply),
            to => self.send_reliably(from, to, PermitMessage::Answer { id, reply }),
        }
    }

    fn reply(&mut self, i: usize, place: Place, id: PermitId, reply: Reply) {
        let now = self.now();
        let action = self.nodes[i].client.reply(now, place, id, reply, &self.directory);
        action.into_iter().for_each(|it| self.act(i, it));
    }

    /// The request goes out and is answered or fails.
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
        if self.said_by(endpoint).is_some() {
            let known_for = self.told.get(&(i, endpoint)).map(|at| self.now - at);
            self.sends.push(Arrival { at: self.now, node: i, endpoint, known_for });
        }
        let reached = self.requests[&id];
        if reached > 0 {
            self.repeats.push(self.now);
        }
        let is_turned_away = matches!(self.said_by(endpoint), Some(Notice::Backoff(_)));
        let event = match self.now >= self.trouble.fails_from || is_turned_away {
            true => Event::Failed { node: i, id, place },
            false => Event::Began { node: i, id, place },
        };
        let work = if is_turned_away { MS } else { self.trouble.work };
        self.after(work, event);
    }

    /// A slot at an endpoint that wants nothing from this node goes back, and another one is asked for.
    fn give_back(&mut self, i: usize, id: PermitId, place: Place) {
        let now = self.now();
        match place {
            Place::Peer(node) => {
                let message = PermitMessage::Release { id, outcome: None };
                self.send(i, node.0 as usize, message);
            }
            Place::Own | Place::Direct => {
                let settled = self.nodes[i].dispatcher(place).cancel(now, id, &mut self.rng);
                settled.into_iter().for_each(|it| self.answer(i, it.id, it.reply));
            }
        }
        let reached = self.requests.remove(&id).unwrap_or_default();
        let send = if reached == 0 { SendKind::FirstAgain } else { SendKind::Further };
        self.wish(i, reached, send);
    }

    /// What an endpoint says of itself now.
    fn said_by(&self, endpoint: usize) -> Option<Notice> {
        let it = self.trouble.says?;
        let is_said = endpoint < it.endpoints && (it.from..it.until).contains(&self.now);
        is_said.then_some(it.notice)
    }

    /// An answer tells its node what the endpoint says of itself.
    fn hear(&mut self, i: usize, id: PermitId) {
        let Some(open) = self.nodes[i].open.get(&id).copied() else { return };
        let said = self.said_by(open.endpoint);
        if said.is_some() {
            self.told.entry((i, open.endpoint)).or_insert(self.now);
        }
        if matches!(said, Some(Notice::Backoff(_))) {
            self.asked_for_rest.push((self.now, i, open.endpoint));
        }
        let unlimited = open.is_rate_limited.then_some(Notice::RateLimit(None));
        let Some(notice) = said.or(unlimited) else { return };
        let (now, endpoint) = (self.now(), endpoint_name(open.endpoint));
        self.nodes[i].direct.noticed(now, id.node, &endpoint, 0, notice);
        self.nodes[i].own.noticed(now, id.node, &endpoint, 0, notice);
        if let Place::Peer(node) = open.place {
            let message =
                PermitMessage::Noticed { service: SERVICE, endpoint, started_ms: 0, notice };
            self.send(i, node.0 as usize, message);
        }
    }

    /// The answer begins to travel.
    fn began(&mut self, i: usize, id: PermitId, place: Place) {
        self.hear(i, id);
        let is_long = self.rng.random_bool(self.trouble.long_answers);
        let length = if is_long { LONG } else { 1 };
        if self.trouble.answer_travels > 0 && self.trouble.release == Release::Beginning {
            self.tell_beginning(i, id, place);
        }
        // One answer after the other comes in on the link.
        let link = &mut self.nodes[i].receives_until;
        *link = self.now.max(*link) + length * self.trouble.answer_travels;
        let travels = *link - self.now;
        self.after(travels, Event::Answered { node: i, id, place, length });
    }

    fn tell_beginning(&mut self, i: usize, id: PermitId, place: Place) {
        let elapsed = Duration::from_micros(self.trouble.work);
        match place {
            Place::Peer(node) => {
                self.send(i, node.0 as usize, PermitMessage::AnswerBegan { id, elapsed });
            }
            Place::Own | Place::Direct => {
                let now = self.now();
                let settled =
                    self.nodes[i].dispatcher(place).answer_began(now, id, elapsed, &mut self.rng);
                settled.into_iter().for_each(|it| self.answer(i, it.id, it.reply));
            }
        }
    }

    /// An answer goes out to its caller, behind those before it.
    fn fill_link(&mut self, node: usize, length: u64) {
        let link = &mut self.nodes[node].link_full_until;
        *link = self.now.max(*link) + length * self.trouble.answer_fills_link;
    }

    /// The slot goes back to whoever granted it.
    fn end(&mut self, i: usize, id: PermitId, place: Place, kind: Kind) {
        let took = Duration::from_micros(self.trouble.work);
        let now = self.now();
        self.nodes[i].open.remove(&id);
        match place {
            Place::Peer(node) => {
                let outcome = Some((kind, took));
                self.send(i, node.0 as usize, PermitMessage::Release { id, outcome });
            }
            Place::Own | Place::Direct => {
                let settled =
                    self.nodes[i].dispatcher(place).release(now, id, kind, took, &mut self.rng);
                settled.into_iter().for_each(|it| self.answer(i, it.id, it.reply));
            }
        }
    }

    fn failed(&mut self, i: usize, id: PermitId, place: Place) {
        self.hear(i, id);
        self.end(i, id, place, Kind::Shed);
        let reached = self.requests.remove(&id).unwrap_or_default();
        let is_unreached = reached == 0 && self.rng.random_bool(self.trouble.unreached);
        if reached < 2 {
            match is_unreached {
                true => self.wish(i, 0, SendKind::FirstAgain),
                false => self.wish(i, reached + 1, SendKind::Further),
            }
        }
    }
}
