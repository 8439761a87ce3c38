//! A model of the core protocol, explored exhaustively: what a node has in force never reverts.
//!
//! The specification below is small and separate. Every step is also made by the state machine that
//! runs in production, and the two must agree in every reachable state, so they cannot drift.
//!
//! The environment may let the platform serve any revision that it ever had, delay one message
//! without limit, lose messages (by never delivering them: cuts in either direction and pauses are
//! such losses), and restart nodes, which then remember nothing.

use pathfinding::directed::bfs::{bfs, bfs_reach};
use policy::NodeId;

use crate::revisions::{Facts, Held, Revisions};

const NODES: usize = 3;
/// Revision 1 is in force everywhere at the start; 2 may be published.
const LAST_REVISION: u64 = 2;

/// A bound on memory and time; the model is far below it.
const MAX_STATES: usize = 3_000_000;

/// The rule under test and its broken variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Rules {
    /// Nodes that hold a revision before it is in force.
    holders: usize,
    /// Nodes that a fresh one may leave out.
    unheard: usize,
    /// A fresh node needs what its peers hold, or only what they have in force.
    needs_held: bool,
    /// Only answers to queries of this life count, or any message.
    needs_answers: bool,
    /// A query tells that the asker's earlier life is over.
    query_tells: bool,
    /// Nodes that may be without memory at a time.
    lost: usize,
    /// Restarts in one schedule.
    restarts: u8,
    /// Whether a message may be delayed.
    delays: bool,
}

const RULES: Rules = Rules {
    holders: 2,
    unheard: 0,
    needs_held: true,
    needs_answers: true,
    query_tells: true,
    lost: 1,
    restarts: 2,
    delays: false,
};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Said {
    life: u8,
    held: u64,
    in_force: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Node {
    life: u8,
    held: u64,
    in_force: u64,
    fresh: bool,
    peers: [Said; NODES],
    answered: [Option<u64>; NODES],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Message {
    from: usize,
    to: usize,
    said: Said,
    /// The life of the receiver that asked, if this is an answer.
    answers: Option<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct World {
    rules: Rules,
    nodes: [Node; NODES],
    /// The production state machines; empty while a broken variant is explored.
    real: Vec<Revisions>,
    published: u64,
    restarts: u8,
    delayed: Option<Message>,
    /// The newest revision that each place ever served.
    served: [u64; NODES],
}

impl Node {
    fn said(&self) -> Said {
        Said { life: self.life, held: self.held, in_force: self.in_force }
    }

    fn needed(&self) -> u64 {
        self.answered.iter().flatten().copied().max().unwrap_or(0)
    }

    fn advance(&mut self, me: usize, rules: Rules) {
        let missing = (0..NODES).filter(|i| *i != me && self.answered[*i].is_none()).count();
        if self.fresh && missing <= rules.unheard && self.held >= self.needed() {
            self.fresh = false;
        }
        let holders = self.peers.iter().filter(|it| it.held >= self.held).count() + 1;
        let is_in_force_elsewhere = self.peers.iter().any(|it| it.in_force >= self.held);
        if !self.fresh && (holders >= rules.holders || is_in_force_elsewhere) {
            self.in_force = self.in_force.max(self.held);
        }
    }

    fn is_ready(&self) -> bool {
        !self.fresh && self.in_force > 0 && self.in_force >= self.needed()
    }
}

fn id(i: usize) -> NodeId {
    NodeId(i as u64 + 1)
}

fn held(revision: u64) -> Held {
    Held { revision, digest: revision }
}

impl World {
    /// All nodes are ready with revision 1.
    fn new(rules: Rules, with_production: bool) -> Self {
        let said = Said { life: 0, held: 1, in_force: 1 };
        let node = |i: usize| Node {
            held: 1,
            in_force: 1,
            peers: std::array::from_fn(|j| if i == j { Said::default() } else { said }),
            answered: std::array::from_fn(|j| (i != j).then_some(1)),
            ..Node::default()
        };
        let real = if with_production { (0..NODES).map(started).collect() } else { Vec::new() };
        Self {
            rules,
            nodes: std::array::from_fn(node),
            real,
            published: 1,
            restarts: 0,
            delayed: None,
            served: [1; NODES],
        }
    }

    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        if self.published < LAST_REVISION {
            next.push(Self { published: self.published + 1, ..self.clone() });
        }
        for i in 0..NODES {
            next.extend((1..=self.published).map(|revision| self.read(i, revision)));
            next.extend(self.restart(i));
            for j in (0..NODES).filter(|j| *j != i) {
                next.extend(self.say(i, j));
                if self.nodes[j].fresh {
                    next.extend(self.answer(i, j));
                }
                next.push(self.fetch(i, j));
            }
        }
        if let Some(message) = self.delayed {
            next.push(Self { delayed: None, ..self.deliver(message) });
        }
        next.retain(|it| it != self);
        next
    }

    /// The same world with its nodes in a standard order, to explore each of them once. Only without
    /// production, whose nodes know their names.
    fn canonical(self) -> Self {
        let orders = [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]];
        orders.iter().map(|it| self.reordered(it)).min().expect("there are orders")
    }

    fn reordered(&self, order: &[usize; NODES]) -> Self {
        let place = |i: usize| order.iter().position(|it| *it == i).expect("an order names all");
        let node = |i: usize| {
            let it = &self.nodes[order[i]];
            Node {
                peers: order.map(|j| it.peers[j]),
                answered: order.map(|j| it.answered[j]),
                ..it.clone()
            }
        };
        let delayed =
            self.delayed.map(|it| Message { from: place(it.from), to: place(it.to), ..it });
        Self {
            nodes: std::array::from_fn(node),
            served: order.map(|i| self.served[i]),
            delayed,
            ..self.clone()
        }
    }

    /// Node `i` tells `j` its facts: now, or later.
    fn say(&self, i: usize, j: usize) -> Vec<Self> {
        let said = self.nodes[i].said();
        self.send(Message { from: i, to: j, said, answers: None })
    }

    /// A query of the fresh node `j` has reached `i`, which answers.
    fn answer(&self, i: usize, j: usize) -> Vec<Self> {
        let asked = self.nodes[j].said();
        let mut next = self.clone();
        if self.rules.query_tells {
            next = next.deliver(Message { from: j, to: i, said: asked, answers: None });
        }
        let said = next.nodes[i].said();
        next.send(Message { from: i, to: j, said, answers: Some(asked.life) })
    }

    fn send(&self, message: Message) -> Vec<Self> {
        let mut next = vec![self.deliver(message)];
        if self.rules.delays && self.delayed.is_none() {
            next.push(Self { delayed: Some(message), ..self.clone() });
        }
        next
    }

    fn read(&self, i: usize, revision: u64) -> Self {
        let mut next = self.clone();
        next.nodes[i].held = next.nodes[i].held.max(revision);
        next.with_real(i, |it| {
            it.hold(held(revision));
        });
        next.settle(i)
    }

    /// Node `i` fetches what it has heard that `j` holds, if `j` still holds it.
    fn fetch(&self, i: usize, j: usize) -> Self {
        let wanted = self.nodes[i].peers[j].held;
        match wanted > self.nodes[i].held && self.nodes[j].held >= wanted {
            true => self.read(i, self.nodes[j].held),
            false => self.clone(),
        }
    }

    fn restart(&self, i: usize) -> Option<Self> {
        let lost = (0..NODES).filter(|j| *j != i && self.nodes[*j].fresh).count() + 1;
        if self.restarts == self.rules.restarts || lost > self.rules.lost {
            return None;
        }
        let mut next = self.clone();
        next.restarts += 1;
        let life = self.nodes[i].life + 1;
        next.nodes[i] = Node { life, fresh: true, ..Node::default() };
        if let Some(it) = next.real.get_mut(i) {
            *it = fresh(i);
        }
        Some(next)
    }

    fn deliver(&self, message: Message) -> Self {
        let Message { from, to, said, answers } = message;
        let mut next = self.clone();
        let node = &mut next.nodes[to];
        let is_asked = answers == Some(node.life) || !self.rules.needs_answers;
        let is_answer = is_asked && node.fresh;
        if is_answer {
            let seen = if self.rules.needs_held { said.held } else { said.in_force };
            node.answered[from] = Some(node.answered[from].unwrap_or(0).max(seen));
        }
        let known = node.peers[from];
        let is_news =
            (said.life, said.held, said.in_force) > (known.life, known.held, known.in_force);
        if is_news {
            node.peers[from] = said;
        }
        let facts = Facts { held: held(said.held), in_force: said.in_force, fresh: false };
        next.with_real(to, |it| {
            if is_answer {
                it.answered(id(from), facts);
            }
            // Members pass on facts of a peer's latest life only.
            if is_news {
                it.heard(id(from), facts);
            }
        });
        next.settle(to)
    }

    fn with_real(&mut self, i: usize, f: impl FnOnce(&mut Revisions)) {
        if let Some(it) = self.real.get_mut(i) {
            f(it);
        }
    }

    /// Lets a node act on what it knows, and compares the specification with production.
    fn settle(mut self, i: usize) -> Self {
        let rules = self.rules;
        self.nodes[i].advance(i, rules);
        if self.nodes[i].is_ready() {
            self.served[i] = self.served[i].max(self.nodes[i].in_force);
        }
        let node = self.nodes[i].clone();
        self.with_real(i, |it| {
            it.advance();
            let facts = it.facts();
            let real = (facts.held.revision, facts.in_force, facts.fresh, it.readiness().is_ok());
            assert_eq!(real, (node.held, node.in_force, node.fresh, node.is_ready()));
        });
        self
    }

    /// A place serves something older than it once served.
    fn has_reverted(&self) -> bool {
        let reverted =
            |i: usize| self.nodes[i].is_ready() && self.nodes[i].in_force < self.served[i];
        (0..NODES).any(reverted)
    }

    /// All messages pass and the platform is well: every node must become ready with one revision.
    fn converges(&self) -> bool {
        let mut world = Self { delayed: None, ..self.clone() };
        for _ in 0..4 {
            for i in 0..NODES {
                world = world.read(i, world.published);
                for j in (0..NODES).filter(|j| *j != i) {
                    world = world.say(i, j).swap_remove(0);
                    world = world.answer(i, j).swap_remove(0);
                }
            }
        }
        world.nodes.iter().all(|it| it.is_ready() && it.in_force == world.published)
    }
}

fn fresh(i: usize) -> Revisions {
    let mut it = Revisions::new(id(i));
    it.set_listed((0..NODES).map(id));
    it
}

fn started(i: usize) -> Revisions {
    let mut it = fresh(i);
    it.hold(held(1));
    let facts = Facts { held: held(1), in_force: 1, fresh: false };
    for j in (0..NODES).filter(|j| *j != i) {
        it.answered(id(j), facts);
        it.heard(id(j), facts);
    }
    it.advance();
    it
}

fn counterexample(rules: Rules) -> Option<Vec<World>> {
    let successors = |it: &World| it.successors().into_iter().map(World::canonical);
    bfs(&World::new(rules, false), successors, World::has_reverted)
}

/// Counts states, and checks each of them.
fn check(worlds: impl Iterator<Item = World>) -> usize {
    let mut states = 0;
    for world in worlds {
        states += 1;
        assert!(states <= MAX_STATES, "the model has grown: bound it");
        assert!(!world.has_reverted(), "{world:#?}");
        assert!(world.converges(), "{world:#?}");
    }
    states
}

#[test]
fn production_follows_the_specification_and_nothing_reverts() {
    let rules = Rules { restarts: 1, ..RULES };
    let states = check(bfs_reach(World::new(rules, true), World::successors));
    println!("{states} states with production beside the specification");
}

#[test]
fn nothing_reverts_after_two_restarts() {
    let successors = |it: &World| it.successors().into_iter().map(World::canonical);
    let states = check(bfs_reach(World::new(RULES, false), successors));
    println!("{states} states with two restarts");
}

#[test]
fn nothing_reverts_although_a_message_is_delayed() {
    let rules = Rules { restarts: 1, delays: true, ..RULES };
    let successors = |it: &World| it.successors().into_iter().map(World::canonical);
    let states = check(bfs_reach(World::new(rules, false), successors));
    println!("{states} states with a message that is delayed without limit");
}

#[test]
fn the_check_catches_broken_rules() {
    let broken = [
        ("in force as soon as one node holds it", Rules { holders: 1, ..RULES }),
        ("a fresh node leaves one out", Rules { unheard: 1, ..RULES }),
        ("a fresh node asks only what is in force", Rules { needs_held: false, ..RULES }),
        ("any old message counts as an answer", Rules { needs_answers: false, ..RULES }),
        ("a query does not tell of the new life", Rules { query_tells: false, ..RULES }),
        ("two nodes lose their memory together", Rules { lost: 2, ..RULES }),
    ];
    for (name, rules) in broken {
        let schedule = counterexample(rules);
        let steps = schedule.map(|it| it.len() - 1);
        println!("{name}: reverts after {steps:?} steps");
        assert!(steps.is_some(), "{name}: no schedule reverts");
    }
}
