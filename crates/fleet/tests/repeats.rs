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
//!
//! Seen again on a later day and another fleet: the bound was exceeded although each node that hands out slots kept to it.
//! Order of events: for ten seconds nearly all goes well; then a service turns much of its work away and the node that hands
//! out its slots pays for repeats with the first sends of the ten seconds before; a second later another node
//! takes its place, or all processes begin anew, and pays with the first sends of the ten seconds after. A window that lies
//! across the change holds both. Cause: the share of the requests was bounded in a window by whoever granted, and
//! what was spent was known to that node alone.
//!
//! Evidence: days on which a service turns away 55 % from 8.0 s on and all processes are killed at 11.5 s broke the bound
//! on two fleets (1,016 repeats for 4,007 requests, 957 allowed), the same day without the kill did not; and in this file
//! one change of the granting node lets through half as much again as is allowed.

use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use fleet::{Action, Client, Directory, PermitMessage, Place, Settlement, Wish};
use policy::{
    Ask, BudgetLimits, Dispatcher, Kind, NodeId, PermitId, Reply, Reporter, RequestKey, SendKind,
    Time, rank,
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
const RUN: u64 = 35_000 * MS;
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
    /// Requests before this time are answered, all later ones fail.
    fails_from: u64,
    /// From then on the node that hands out the slots is cut off from all others.
    cut_off_at: Option<u64>,
    /// All processes begin anew, this many times, one second apart.
    restarts_from: Option<(u64, u64)>,
}

const NONE: Trouble = Trouble {
    rate: 15.0,
    late: 0.0,
    lost: 0.0,
    unreached: 0.0,
    fails_from: 0,
    cut_off_at: None,
    restarts_from: None,
};

fn service() -> Service {
    let endpoint = |i: u16| Endpoint {
        id: format!("i-{i}").into(),
        addr: ([127, 0, 0, 1], 1_000 + i).into(),
        failure_domain: "a".into(),
        slots: 64,
        standing: Standing::Present,
        warm_up_ms: 0,
        started_ms: 0,
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
    Restart,
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
    /// A send is answered.
    Answered {
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

impl Node {
    fn new(now: Time, id: NodeId) -> Self {
        let dispatcher = || {
            let mut it = Dispatcher::new(now, &service(), &[], LIMITS);
            it.set_nodes(NODES as usize);
            it
        };
        Self {
            client: Client::new(id, PATIENCE, LIMITS.window),
            own: dispatcher(),
            direct: dispatcher(),
        }
    }
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
        let mut fleet = Self {
            now: 0,
            nodes: ids.iter().map(|it| Node::new(Time(0), *it)).collect(),
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
            Event::Restart => self.restart(),
            Event::Answered { node, id, place } => {
                self.end(node, id, place, Kind::Answered);
                self.requests.remove(&id);
            }
            Event::Failed { node, id, place } => self.failed(node, id, place),
        }
    }

    /// All processes are killed: what was under way is lost, and nobody knows what was spent.
    fn restart(&mut self) {
        let now = self.now();
        self.nodes = (0..NODES).map(|i| Node::new(now, NodeId(i))).collect();
        self.requests.clear();
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
            Action::Settle(id, Settlement::Refused(_) | Settlement::Rejected(_)) => {
                self.requests.remove(&id);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: PermitMessage) {
        if self.rng.random_bool(self.trouble.lost) || self.is_cut(from, to) {
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

    /// The request goes out and is answered or fails.
    fn granted(&mut self, i: usize, id: PermitId, place: Place) {
        let reached = self.requests[&id];
        if reached > 0 {
            self.repeats.push(self.now);
        }
        let event = match self.now >= self.trouble.fails_from {
            true => Event::Failed { node: i, id, place },
            false => Event::Answered { node: i, id, place },
        };
        self.after(20 * MS, event);
    }

    /// The slot goes back to whoever granted it.
    fn end(&mut self, i: usize, id: PermitId, place: Place, kind: Kind) {
        let took = Duration::from_millis(20);
        let now = self.now();
        match place {
            Place::Peer(node) => {
                let outcome = Some((kind, took));
                self.send(i, node.0 as usize, PermitMessage::Release { id, outcome });
            }
            Place::Own | Place::Direct => {
                let node = &mut self.nodes[i];
                let dispatcher = if place == Place::Own { &mut node.own } else { &mut node.direct };
                let settled = dispatcher.release(now, id, kind, took, &mut self.rng);
                settled.into_iter().for_each(|it| self.answer(i, it.id, it.reply));
            }
        }
    }

    fn failed(&mut self, i: usize, id: PermitId, place: Place) {
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

#[test]
fn repeats_are_bounded_while_another_node_takes_over_in_the_middle_of_need() {
    for after in [1, 2, 3, 5] {
        let fails_from = 20_000 * MS;
        let cut_off_at = Some(fails_from + after * 1_000 * MS);
        check(Trouble { fails_from, cut_off_at, ..NONE });
    }
}

#[test]
fn repeats_are_bounded_while_all_processes_begin_anew_in_the_middle_of_need() {
    for times in [1, 2, 4] {
        let fails_from = 20_000 * MS;
        let restarts_from = Some((fails_from + 2_000 * MS, times));
        check(Trouble { fails_from, restarts_from, ..NONE });
    }
}
