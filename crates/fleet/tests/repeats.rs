//! The budget for repeats over the whole fleet while the nodes that hand out slots are late, in virtual time.
//!
//! What users saw: 1,272 sends beyond the first of their request reached a service in ten seconds, for 5,485
//! requests; 1,253 were allowed, and the budget is meant to stop at 1,065. It was a day on which a sixth of the
//! endpoints had fallen silent and many turned work away.
//!
//! Order of events: dispatching nodes are weak and answer late, so they are passed over and come back, and
//! each ask that is late is put to the next one. Every one of them counts the first send of the request, and
//! every one of them holds the fixed part of all nodes. A request whose first send reached nobody asks
//! again as a new one and is counted once more.
//!
//! Evidence, from a day of our own: in ten seconds 7,000 times a dispatching node was taken for lost, one and the
//! same 3,151 times; five nodes counted first sends for one service, and three of them held the fixed part of 77, 85
//! and 86 nodes of 88 at the same moment.

use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use fleet::{Action, Client, Directory, PermitMessage, Place, Settlement, Wish};
use policy::{
    Ask, BudgetLimits, Dispatcher, Kind, NodeId, PermitId, Reply, Reporter, SendKind, Time, rank,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use resources::{Endpoint, Floor, Priority, Service, Standing};

const NODES: u64 = 20;
const SERVICE: u64 = 1;
const LIMITS: BudgetLimits =
    BudgetLimits { ratio: 0.2, extra: 40.0, window: Duration::from_secs(10) };
/// An ask without an answer for this long is put to the next node.
const PATIENCE: Duration = Duration::from_millis(40);
const MS: u64 = 1_000;
/// Length of a run.
const RUN: u64 = 30_000 * MS;
/// Time that each request has.
const TIME_LIMIT: Duration = Duration::from_secs(4);

/// How badly things go.
#[derive(Clone, Copy)]
struct Trouble {
    /// Requests a second at each node.
    rate: f64,
    /// Share of frames that are late, by up to a tenth of a second.
    late: f64,
    /// Share of frames that are lost.
    lost: f64,
    /// Share of first sends that reach nobody.
    unreached: f64,
}

const NONE: Trouble = Trouble { rate: 15.0, late: 0.0, lost: 0.0, unreached: 0.0 };

fn service() -> Service {
    let endpoint = |i: u16| Endpoint {
        id: format!("i-{i}").into(),
        addr: ([127, 0, 0, 1], 1_000 + i).into(),
        failure_domain: "a".into(),
        slots: 64,
        standing: Standing::Present,
        warm_up_ms: 0,
    };
    Service {
        name: "s".into(),
        endpoints: (0..16).map(endpoint).collect(),
        floor: Floor::Percent(60),
        bias: Default::default(),
        slots: 64,
        connections: 200,
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
    Deliver {
        from: usize,
        to: usize,
        message: PermitMessage,
    },
    /// A send has ended in a failure that allows another one.
    Failed {
        node: usize,
        id: PermitId,
        place: Place,
    },
}

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
    /// Hands out slots to all nodes.
    own: Dispatcher,
    /// Picks for this node alone.
    direct: Dispatcher,
}

struct Fleet {
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
    first: Vec<u64>,
    repeats: Vec<u64>,
}

impl Fleet {
    fn new(seed: u64, trouble: Trouble) -> Self {
        let ids: Vec<NodeId> = (0..NODES).map(NodeId).collect();
        let dispatcher = || {
            let mut it = Dispatcher::new(Time(0), &service(), &[], LIMITS);
            it.set_nodes(NODES as usize);
            it
        };
        let node = |id: &NodeId| Node {
            client: Client::new(*id, PATIENCE, LIMITS.window),
            own: dispatcher(),
            direct: dispatcher(),
        };
        let mut fleet = Self {
            now: 0,
            nodes: ids.iter().map(node).collect(),
            directory: All(ids),
            events: BinaryHeap::new(),
            trouble,
            rng: StdRng::seed_from_u64(seed),
            next: 0,
            requests: Default::default(),
            first: Vec::new(),
            repeats: Vec::new(),
        };
        (0..NODES as usize).for_each(|i| fleet.after(0, Event::Request(i)));
        fleet
    }

    fn after(&mut self, time: u64, event: Event) {
        self.next += 1;
        self.events.push(Due(self.now + time, self.next, event));
    }

    fn now(&self) -> Time {
        Time(self.now)
    }

    fn run(&mut self) {
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
                }
            }
        }
    }

    fn tick(&mut self, i: usize) {
        let now = self.now();
        let node = &mut self.nodes[i];
        let actions = node.client.tick(now, &self.directory);
        let own = node.own.tick(now, &mut self.rng);
        node.direct.tick(now, &mut self.rng);
        actions.into_iter().for_each(|it| self.act(i, it));
        for it in own {
            self.answer(i, it.id, it.reply);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request(i) => {
                self.first.push(self.now);
                self.wish(i, 0, SendKind::First);
                let pause = (1e6 / self.trouble.rate) as u64;
                let pause = self.rng.random_range(pause / 2..pause * 3 / 2);
                self.after(pause, Event::Request(i));
            }
            Event::Deliver { from, to, message } => self.receive(from, to, message),
            Event::Failed { node, id, place } => self.failed(node, id, place),
        }
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
            repeatable: true,
            priority: Priority(0),
            organisation: 1,
            weight: 1,
            bulky: false,
            send,
            brings_part: true,
            avoid: Vec::new(),
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
                let node = &mut self.nodes[i];
                let dispatcher = match place {
                    Place::Own => &mut node.own,
                    _ => &mut node.direct,
                };
                let reply = dispatcher.ask(now, ask, &mut self.rng);
                self.reply(i, place, id, reply);
            }
            Action::Settle(id, Settlement::Granted(_, place)) => self.granted(i, id, place),
            Action::Settle(id, Settlement::Refused(_)) => {
                self.requests.remove(&id);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: PermitMessage) {
        if self.rng.random_bool(self.trouble.lost) {
            return;
        }
        let is_late = self.rng.random_bool(self.trouble.late);
        let delay = if is_late { self.rng.random_range(20 * MS..100 * MS) } else { MS };
        self.after(delay, Event::Deliver { from, to, message });
    }

    fn receive(&mut self, from: usize, to: usize, message: PermitMessage) {
        let now = self.now();
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
            _ => {}
        }
    }

    fn answer(&mut self, from: usize, id: PermitId, reply: Reply) {
        match id.node.0 as usize {
            to if to == from => self.reply(to, Place::Own, id, reply),
            to => self.send(from, to, PermitMessage::Answer { id, reply }),
        }
    }

    fn reply(&mut self, i: usize, place: Place, id: PermitId, reply: Reply) {
        let now = self.now();
        let action = self.nodes[i].client.reply(now, place, id, reply, &self.directory);
        action.into_iter().for_each(|it| self.act(i, it));
    }

    /// The request goes out and fails.
    fn granted(&mut self, i: usize, id: PermitId, place: Place) {
        let reached = self.requests[&id];
        if reached > 0 {
            self.repeats.push(self.now);
        }
        self.after(20 * MS, Event::Failed { node: i, id, place });
    }

    fn failed(&mut self, i: usize, id: PermitId, place: Place) {
        let outcome = Some((Kind::Shed, Duration::from_millis(20)));
        let now = self.now();
        match place {
            Place::Peer(node) => {
                self.send(i, node.0 as usize, PermitMessage::Release { id, outcome });
            }
            Place::Own | Place::Direct => {
                let node = &mut self.nodes[i];
                let dispatcher = if place == Place::Own { &mut node.own } else { &mut node.direct };
                let took = Duration::from_millis(20);
                let settled = dispatcher.release(now, id, Kind::Shed, took, &mut self.rng);
                settled.into_iter().for_each(|it| self.answer(i, it.id, it.reply));
            }
        }
        let reached = self.requests.remove(&id).unwrap_or_default();
        let is_unreached = reached == 0 && self.rng.random_bool(self.trouble.unreached);
        if reached < 2 {
            match is_unreached {
                true => self.wish(i, 0, SendKind::FirstAgain),
                false => self.wish(i, reached + 1, SendKind::Further),
            }
        }
    }

    /// The worst window: repeats in it, those allowed, and its end.
    fn worst(&self) -> (usize, f64, u64) {
        let window = LIMITS.window.as_micros() as u64;
        let count = |times: &[u64], end: u64| {
            times.iter().filter(|it| **it > end.saturating_sub(window) && **it <= end).count()
        };
        let at = |end: u64| {
            // As many as in the window, or in the one half a window or a whole one before it.
            let before = [end, end.saturating_sub(window / 2), end.saturating_sub(window)];
            let first = before.map(|it| count(&self.first, it)).into_iter().max().unwrap_or(0);
            (count(&self.repeats, end), first as f64 * LIMITS.ratio + LIMITS.extra, end)
        };
        let ends = (1..=RUN / (250 * MS)).map(|i| at(i * 250 * MS));
        let over = |it: &(usize, f64, u64)| it.0 as f64 - it.1;
        ends.max_by(|a, b| over(a).total_cmp(&over(b))).expect("a run has windows")
    }
}

#[track_caller]
fn check(trouble: Trouble) {
    let mut seen = VecDeque::new();
    for seed in 1..=4 {
        let mut fleet = Fleet::new(seed, trouble);
        fleet.run();
        let (repeats, allowed, end) = fleet.worst();
        let end = end as f64 / 1e6;
        seen.push_back(format!("seed {seed}: {repeats} repeats, allowed {allowed}, until {end} s"));
        assert!(repeats > 0, "{seen:#?}");
        assert!(repeats as f64 <= allowed, "{seen:#?}");
    }
}

#[test]
fn repeats_are_bounded_while_dispatching_nodes_answer_in_time() {
    check(NONE);
}

#[test]
fn repeats_are_bounded_while_asks_go_from_one_node_to_the_next() {
    for rate in [0.5, 3.0, 15.0] {
        check(Trouble { rate, late: 0.6, ..NONE });
    }
}

#[test]
fn repeats_are_bounded_while_frames_are_lost() {
    for rate in [0.5, 1.0, 3.0] {
        for lost in [0.2, 0.4] {
            check(Trouble { rate, lost, ..NONE });
        }
    }
}

#[test]
fn repeats_are_bounded_while_first_sends_reach_nobody() {
    check(Trouble { unreached: 0.3, ..NONE });
}
