//! Allowances in the seconds after a restart of all nodes, in virtual time.
//!
//! Guards against refused requests of organisations within their limits: for ten seconds after a
//! restart half of their requests were refused. Owners that had not yet discovered the fleet held
//! almost nothing of an allowance, refused, and derived the time of the next request from that
//! small share; each node then refused locally until that time. The owners refused no more from
//! three seconds after the restart on, but nodes did so for eight seconds. A share that holds for a
//! moment must not determine later decisions.

use std::collections::BinaryHeap;
use std::time::Duration;

use fleet::{
    AllowanceAction, AllowanceClient, AllowanceMessage, AllowanceOutcome, AllowanceOwner,
    OwnerPhase,
};
use policy::{Decision, Delegation, NodeId, Time, owners};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use resources::Allowance;

const NODES: u64 = 30;
const MS: u64 = 1_000;
const TIMEOUT: Duration = Duration::from_millis(80);
/// Nodes discover all others within this time after a start, and consider the discovery complete at
/// `DISCOVERY_COMPLETE_AFTER`.
const DISCOVERED_WITHIN: u64 = 400 * MS;
const DISCOVERY_COMPLETE_AFTER: u64 = 700 * MS;
/// Shares arrive for a moment after that before any request is refused.
const SETTLED_AFTER: u64 = 950 * MS;
const RUN_LENGTH: u64 = 12_000 * MS;

/// An organisation that uses nine tenths of its rate, and the fraction of its requests that may be
/// refused in the seconds after a restart. The requests of a small organisation come in clusters,
/// for which the bucket is not full yet.
#[derive(Clone, Copy)]
struct Organisation {
    hash: u64,
    rate: f64,
    may_refuse: f64,
}

const ORGANISATIONS: [Organisation; 3] = [
    Organisation { hash: 1, rate: 180.0, may_refuse: 0.05 },
    Organisation { hash: 2, rate: 40.0, may_refuse: 0.05 },
    Organisation { hash: 3, rate: 8.0, may_refuse: 0.1 },
];

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request(usize),
    Tick(usize),
    Deliver(usize),
}

struct Fleet {
    now: u64,
    rng: StdRng,
    nodes: Vec<(AllowanceClient, AllowanceOwner)>,
    events: BinaryHeap<std::cmp::Reverse<(u64, Event)>>,
    /// Messages in flight: sender, receiver, message.
    messages: Vec<(u64, u64, AllowanceMessage)>,
    lost: f64,
    /// The organisation and time of each ask, by node and number.
    asked: std::collections::HashMap<(usize, u64), (usize, u64)>,
    /// For each organisation the granted and the refused requests, and their longest wait.
    ended: Vec<(u32, u32, u64)>,
}

impl Fleet {
    fn owners(&self) -> Vec<NodeId> {
        let is_discovered = |id: u64| self.now >= DISCOVERED_WITHIN * id / NODES;
        let capacity = |id| if id < 6 { 500 } else { 100 };
        let known: Vec<_> = (0..NODES)
            .filter(|it| is_discovered(*it))
            .map(|it| (NodeId(it), capacity(it)))
            .collect();
        owners(&known)
    }

    fn is_discovering(&self) -> bool {
        self.now < DISCOVERY_COMPLETE_AFTER
    }

    /// Decision of node `to` on an ask.
    fn decide(
        &mut self,
        from: u64,
        to: usize,
        seq: u64,
        organisation: u64,
        delegation: &Delegation,
    ) -> Decision {
        let (now, from) = (Time(self.now), NodeId(from));
        match self.now {
            it if it < DISCOVERY_COMPLETE_AFTER => Decision::NotYet,
            it => {
                let is_settled = it >= SETTLED_AFTER;
                let phase = if is_settled { OwnerPhase::Settled } else { OwnerPhase::Settling };
                self.nodes[to].1.ask(now, from, seq, bucket(organisation), delegation, phase)
            }
        }
    }

    fn after(&mut self, wait: u64, event: Event) {
        self.events.push(std::cmp::Reverse((self.now + wait, event)));
    }

    fn act(&mut self, i: usize, action: AllowanceAction) {
        let now = Time(self.now);
        match action {
            AllowanceAction::AskHere { seq, organisation, delegation } => {
                let me = NodeId(i as u64);
                let decision = self.decide(i as u64, i, seq, organisation, &delegation);
                let action = self.nodes[i].0.answer(now, me, seq, decision);
                action.into_iter().for_each(|it| self.act(i, it));
            }
            AllowanceAction::Send(to, message) => self.send(i as u64, to.0, message),
            AllowanceAction::PassOver(_) => {}
            AllowanceAction::Settle(seq, outcome) => {
                let Some((organisation, at)) = self.asked.remove(&(i, seq)) else { return };
                let ended = &mut self.ended[organisation];
                match outcome {
                    AllowanceOutcome::Decided(Decision::Granted) => ended.0 += 1,
                    _ => ended.1 += 1,
                }
                ended.2 = ended.2.max(self.now - at);
            }
        }
    }

    fn send(&mut self, from: u64, to: u64, message: AllowanceMessage) {
        if self.rng.random_bool(self.lost) {
            return;
        }
        self.messages.push((from, to, message));
        self.after(2 * MS, Event::Deliver(self.messages.len() - 1));
    }

    fn deliver(&mut self, i: usize) {
        let (from, to, message) = self.messages[i].clone();
        let (now, to) = (Time(self.now), to as usize);
        match message {
            AllowanceMessage::Answer { seq, decision } => {
                let action = self.nodes[to].0.answer(now, NodeId(from), seq, decision);
                action.into_iter().for_each(|it| self.act(to, it));
            }
            AllowanceMessage::Delegate(_) if self.is_discovering() => {}
            AllowanceMessage::Ask { seq, organisation, delegation } => {
                let decision = self.decide(from, to, seq, organisation, &delegation);
                self.send(to as u64, from, AllowanceMessage::Answer { seq, decision });
            }
            AllowanceMessage::Delegate(it) => {
                self.nodes[to].1.buckets.delegate(now, NodeId(from), &it);
            }
        }
    }

    fn tick(&mut self, i: usize) {
        let (now, owners) = (Time(self.now), self.owners());
        self.nodes[i].1.buckets.set_nodes(now, NODES as usize);
        if !self.is_discovering() {
            let (client, owner) = &mut self.nodes[i];
            client.fleet_discovered(now, &owners);
            let delegation = client.delegation(now, &owners, NodeId(i as u64));
            owner.buckets.delegate(now, NodeId(i as u64), &delegation);
        }
        let actions = self.nodes[i].0.tick(now, &owners);
        actions.into_iter().for_each(|it| self.act(i, it));
        self.after(10 * MS, Event::Tick(i));
    }

    fn request(&mut self, organisation: usize) {
        let it = ORGANISATIONS[organisation];
        let pause = (1e6 / (it.rate * 0.9)) as u64;
        let pause = self.rng.random_range(pause / 2..pause * 3 / 2);
        self.after(pause, Event::Request(organisation));
        let i = self.rng.random_range(0..NODES as usize);
        let owners = self.owners();
        let (seq, action) = self.nodes[i].0.ask(Time(self.now), it.hash, &owners);
        self.asked.insert((i, seq), (organisation, self.now));
        self.act(i, action);
    }
}

fn bucket(organisation: u64) -> (u64, Option<Allowance>) {
    let it = ORGANISATIONS.iter().find(|it| it.hash == organisation).expect("known organisation");
    (organisation, Some(Allowance { rate_per_s: it.rate, burst: it.rate }))
}

/// Simulates the first seconds of a fleet; returns the results by organisation.
fn simulate(seed: u64, lost: f64) -> Vec<(u32, u32, u64)> {
    let node = |id| (AllowanceClient::new(NodeId(id), TIMEOUT, 0), AllowanceOwner::new(NodeId(id)));
    let mut fleet = Fleet {
        now: 0,
        rng: StdRng::seed_from_u64(seed),
        nodes: (0..NODES).map(node).collect(),
        events: BinaryHeap::new(),
        messages: Vec::new(),
        lost,
        asked: Default::default(),
        ended: vec![(0, 0, 0); ORGANISATIONS.len()],
    };
    (0..NODES as usize).for_each(|i| fleet.after(i as u64, Event::Tick(i)));
    (0..ORGANISATIONS.len()).for_each(|i| fleet.after(0, Event::Request(i)));
    while let Some(std::cmp::Reverse((at, event))) = fleet.events.pop() {
        fleet.now = at;
        if at >= RUN_LENGTH {
            break;
        }
        match event {
            Event::Request(i) => fleet.request(i),
            Event::Tick(i) => fleet.tick(i),
            Event::Deliver(i) => fleet.deliver(i),
        }
    }
    fleet.ended
}

#[test]
fn organisations_within_their_rate_are_served_soon_after_a_restart_of_all() {
    for lost in [0.0, 0.05, 1.0 / 3.0] {
        let mut sums = vec![(0, 0, 0); ORGANISATIONS.len()];
        for seed in 1..=5 {
            for (sum, it) in sums.iter_mut().zip(simulate(seed, lost)) {
                *sum = (sum.0 + it.0, sum.1 + it.1, it.2.max(sum.2));
            }
        }
        for (it, (granted, refused, wait)) in ORGANISATIONS.iter().zip(&sums) {
            let share = f64::from(*refused) / f64::from(granted + refused);
            assert!(share < it.may_refuse, "{} a second, {lost} lost: {share} refused", it.rate);
            assert!(*wait < 1_500 * MS, "{} a second, {lost} lost: {wait} us", it.rate);
        }
    }
}
