use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use policy::Time;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::exchange::{Effect, Exchange, Identity, ROUND};
use crate::members::{Phase, node_id};
use crate::revisions::Held;
use crate::wire::{Key, Keys, Message, Verdict};

/// Nodes that talk over a lossy network in virtual time.
struct Net {
    nodes: Vec<Exchange>,
    now: Time,
    rng: StdRng,
    loss: f64,
    /// Cuts in one direction.
    cut: Vec<(usize, usize)>,
    control_bytes: u64,
    in_force_at: BTreeMap<usize, Time>,
    keys: Keys,
}

fn addr(i: usize) -> SocketAddr {
    ([127, 0, (i / 250) as u8, (i % 250) as u8 + 1], 7400).into()
}

fn identity(i: usize, life: u64) -> Identity {
    Identity { addr: addr(i), failure_domain: i as u64 % 3, incarnation: life }
}

impl Net {
    fn new(n: usize, loss: f64) -> Self {
        let mut rng = StdRng::seed_from_u64(7);
        let mut nodes: Vec<_> =
            (0..n).map(|i| Exchange::new(Time(0), identity(i, 1), &[], &mut rng)).collect();
        nodes.iter_mut().for_each(|it| it.set_listed(Time(0), (0..n).map(addr)));
        Self {
            nodes,
            now: Time(0),
            rng,
            loss,
            cut: Vec::new(),
            control_bytes: 0,
            in_force_at: BTreeMap::new(),
            keys: Keys { current: Key::new(b"k"), also: None },
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + ROUND / 4;
            for i in 0..self.nodes.len() {
                let effects = self.nodes[i].tick(self.now, &mut self.rng);
                self.apply(i, effects);
            }
        }
    }

    fn hold(&mut self, i: usize, revision: u64) {
        let effects = self.nodes[i].hold(Held { revision, digest: revision });
        self.apply(i, effects);
    }

    fn restart(&mut self, i: usize) {
        let n = self.nodes.len();
        self.nodes[i] = Exchange::new(self.now, identity(i, 2), &[], &mut self.rng);
        self.nodes[i].set_listed(self.now, (0..n).map(addr));
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
        let n = frame.encode(&self.keys).expect("frames fit").len();
        self.control_bytes += 2 * n as u64;
        self.nodes[from].spend(n);
        let Some(j) = (0..self.nodes.len()).find(|j| addr(*j) == to) else { return };
        if self.cut.contains(&(from, j)) || self.rng.random_bool(self.loss) {
            return;
        }
        self.nodes[j].spend(n);
        let effects = self.nodes[j].receive(self.now, addr(from), frame);
        self.apply(j, effects);
    }

    fn in_force(&self) -> Vec<u64> {
        self.nodes.iter().map(|it| it.revisions.facts().in_force).collect()
    }

    fn ready(&self) -> usize {
        self.nodes.iter().filter(|it| it.revisions.readiness().is_ok()).count()
    }
}

fn started(n: usize, loss: f64) -> Net {
    let mut net = Net::new(n, loss);
    (0..n).for_each(|i| net.hold(i, 1));
    net.run(Duration::from_secs(20));
    assert_eq!(net.ready(), n);
    net
}

#[test]
fn a_revision_that_one_node_reads_comes_into_force_everywhere() {
    for loss in [0.0, 0.2] {
        let mut net = started(40, loss);
        net.hold(0, 2);
        net.run(Duration::from_secs(5));
        assert_eq!(net.in_force(), [2; 40], "loss {loss}");
    }
}

#[test]
fn the_byte_budget_is_kept_whatever_the_size() {
    for n in [3, 40, 120] {
        let mut net = started(n, 0.0);
        net.control_bytes = 0;
        net.run(Duration::from_secs(20));
        let per_node = net.control_bytes / n as u64 / 20;
        assert!(per_node <= 5_000, "{n} nodes: {per_node} bytes a second");
    }
}

#[test]
fn a_cut_in_one_direction_does_not_stop_a_revision() {
    let mut net = started(6, 0.0);
    // Node 5 can be heard but hears only node 0.
    net.cut = (1..5).map(|i| (i, 5)).collect();
    net.hold(1, 2);
    net.run(Duration::from_secs(20));
    assert_eq!(net.in_force(), [2; 6]);
}

#[test]
fn a_restarted_node_learns_from_peers_while_the_platform_is_stale() {
    let mut net = started(5, 0.1);
    net.hold(0, 2);
    net.run(Duration::from_secs(5));
    net.restart(3);
    // The platform serves the old revision.
    net.hold(3, 1);
    assert!(net.nodes[3].revisions.readiness().is_err());
    net.run(Duration::from_secs(10));
    assert_eq!(net.in_force(), [2; 5]);
    assert_eq!(net.ready(), 5);
}

#[test]
fn a_node_that_hears_nobody_stays_unready_and_says_why() {
    let mut net = started(5, 0.0);
    net.restart(3);
    net.cut = (0..5).map(|i| (i, 3)).collect();
    net.hold(3, 1);
    net.run(Duration::from_secs(10));
    let reason = net.nodes[3].revisions.readiness().unwrap_err().to_string();
    assert!(reason.starts_with("4 listed VMs have not answered"), "{reason}");
}

#[test]
fn a_partition_that_heals_takes_the_newer_revision() {
    let mut net = started(8, 0.0);
    for i in 0..4 {
        net.cut.extend((4..8).flat_map(|j| [(i, j), (j, i)]));
    }
    net.hold(0, 3);
    net.hold(4, 2);
    net.run(Duration::from_secs(10));
    assert_eq!(net.in_force(), [3, 3, 3, 3, 2, 2, 2, 2]);
    net.cut.clear();
    net.run(Duration::from_secs(10));
    assert_eq!(net.in_force(), [3; 8]);
}

#[test]
fn frames_of_unlisted_nodes_are_dropped_while_the_list_is_current() {
    let mut net = started(3, 0.0);
    net.nodes[0].set_listed(net.now, [addr(1)]);
    let before = net.nodes[0].unlisted;
    net.run(Duration::from_secs(3));
    assert!(net.nodes[0].unlisted > before);
}

#[test]
fn word_of_a_leaving_endpoint_reaches_every_node_within_two_seconds() {
    let mut net = started(40, 0.0);
    let endpoint = ([10, 0, 0, 1], 80).into();
    let verdict = Verdict { endpoint, leaving: true, valid_ms: 60_000 };
    net.nodes[0].tell(net.now, verdict);
    net.run(Duration::from_secs(2));
    let knowing = net.nodes.iter().filter(|it| it.knows_verdict(endpoint)).count();
    assert_eq!(knowing, 40);
}

#[test]
fn a_member_of_an_earlier_life_is_not_brought_back_by_old_frames() {
    let mut net = started(3, 0.0);
    let old = net.nodes[0].members().get(node_id(addr(1))).unwrap().info;
    net.restart(1);
    net.run(Duration::from_secs(5));
    let gossip = crate::wire::Gossip { nodes: vec![old], verdicts: Vec::new() };
    let frame = net.nodes[2].frame(Message::Gossip(gossip));
    net.nodes[0].receive(net.now, addr(2), frame);
    let info = net.nodes[0].members().get(node_id(addr(1))).unwrap().info;
    assert_eq!(info.incarnation, 2);
    assert_eq!(info.phase, Phase::Starting);
}
