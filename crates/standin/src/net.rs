//! Stand-in for the network between nodes: their state machines, without sockets or processes, over
//! a network that loses and cuts, in virtual time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use fleet::{Effect, Exchange, Held, Identity, Key, Keys, Message, ROUND};
use policy::Time;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustc_hash::FxHashMap;

/// Nodes and what is between them.
pub struct Net {
    /// The nodes.
    pub nodes: Vec<Exchange>,
    /// Virtual time.
    pub now: Time,
    /// Cuts in one direction: from, to.
    pub cut: Vec<(usize, usize)>,
    /// Bytes sent and received by all nodes.
    pub control_bytes: u64,
    /// When each node put its latest revision in force.
    pub in_force_at: BTreeMap<usize, Time>,
    places: FxHashMap<SocketAddr, usize>,
    loss: f64,
    rng: StdRng,
    keys: Keys,
}

/// Address of a node.
pub fn addr(i: usize) -> SocketAddr {
    ([127, 0, (i / 250) as u8, (i % 250) as u8 + 1], 7400).into()
}

fn identity(i: usize, incarnation: u64) -> Identity {
    Identity { addr: addr(i), failure_domain: i as u64 % 3, incarnation }
}

impl Net {
    /// `n` nodes that have just started and know the list; a share `loss` of frames is lost.
    pub fn new(n: usize, loss: f64) -> Self {
        let mut rng = StdRng::seed_from_u64(7);
        let mut nodes: Vec<_> =
            (0..n).map(|i| Exchange::new(Time(0), identity(i, 1), &[], &mut rng)).collect();
        nodes.iter_mut().for_each(|it| it.set_listed(Time(0), (0..n).map(addr)));
        Self {
            nodes,
            now: Time(0),
            cut: Vec::new(),
            control_bytes: 0,
            in_force_at: BTreeMap::new(),
            places: (0..n).map(|i| (addr(i), i)).collect(),
            loss,
            rng,
            keys: Keys { current: Key::new(b"k"), also: None },
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + ROUND / 4;
            for i in 0..self.nodes.len() {
                let effects = self.nodes[i].tick(self.now, &mut self.rng);
                self.apply(i, effects);
            }
        }
    }

    /// A node has read a revision.
    pub fn hold(&mut self, i: usize, revision: u64) {
        let effects = self.nodes[i].hold(Held { revision, digest: revision });
        self.apply(i, effects);
    }

    /// A node is replaced and remembers nothing.
    pub fn restart(&mut self, i: usize) {
        let n = self.nodes.len();
        self.nodes[i] = Exchange::new(self.now, identity(i, 2), &[], &mut self.rng);
        self.nodes[i].set_listed(self.now, (0..n).map(addr));
    }

    /// The revision in force at each node.
    pub fn in_force(&self) -> Vec<u64> {
        self.nodes.iter().map(|it| it.revisions.facts().in_force).collect()
    }

    /// Number of ready nodes.
    pub fn ready(&self) -> usize {
        self.nodes.iter().filter(|it| it.revisions.readiness().is_ok()).count()
    }

    fn apply(&mut self, i: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(to, message) => self.deliver(i, to, message),
                Effect::Fetch(_, held) => self.hold(i, held.revision),
                Effect::InForce(_) => drop(self.in_force_at.insert(i, self.now)),
                Effect::Verdict(_) => {}
            }
        }
    }

    fn deliver(&mut self, from: usize, to: SocketAddr, message: Message) {
        let frame = self.nodes[from].frame(message);
        let n = frame.encode(&self.keys).expect("frames fit a datagram").len();
        self.control_bytes += 2 * n as u64;
        self.nodes[from].spend(n);
        let Some(j) = self.places.get(&to).copied() else { return };
        if self.cut.contains(&(from, j)) || self.rng.random_bool(self.loss) {
            return;
        }
        self.nodes[j].spend(n);
        let effects = self.nodes[j].receive(self.now, addr(from), frame);
        self.apply(j, effects);
    }
}
