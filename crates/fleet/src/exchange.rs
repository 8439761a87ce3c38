//! The exchange with other nodes: each round tells one random peer what is new, within a budget of
//! bytes a second that does not depend on the fleet's size.

use std::net::SocketAddr;
use std::time::Duration;

use policy::{NodeId, Time};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, RngExt};
use rustc_hash::{FxHashMap, FxHashSet};

use crate::members::{Members, Phase, node_id};
use crate::revisions::{Held, Revisions};
use crate::wire::{Frame, Gossip, Message, NodeInfo, Verdict};

/// Time between rounds.
pub const ROUND: Duration = Duration::from_millis(200);
/// Nodes told of in one round; with the header this keeps a frame at about 400 bytes.
pub(crate) const NODES_PER_FRAME: usize = 10;
/// Verdicts told of in one round.
const VERDICTS_PER_FRAME: usize = 12;
/// Most nodes and verdicts in one frame.
#[cfg(test)]
pub(crate) const MAX_GOSSIP: (usize, usize) = (NODES_PER_FRAME, VERDICTS_PER_FRAME);
/// Bytes a second, in and out, that the exchange may use.
const BUDGET: f64 = 5_000.0;
/// Burst that the budget allows, in bytes.
const BURST: f64 = 10_000.0;
/// A verdict that is valid for this much longer than the known one is news; less is only delay.
const VERDICT_SLACK: Duration = Duration::from_millis(100);
/// Queries sent in one round by a starting node.
const QUERIES_PER_ROUND: usize = 8;
/// A query without an answer is sent again after this.
const QUERY_AGAIN: Duration = Duration::from_millis(600);
/// Unlisted nodes are forgotten after this.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// While the list is younger than this, frames from unlisted addresses are dropped.
const LIST_LIFETIME: Duration = Duration::from_secs(60);

/// Who this node is.
#[derive(Clone, Copy, Debug)]
pub struct Identity {
    /// Address of its exchange.
    pub addr: SocketAddr,
    /// Hash of its failure domain.
    pub failure_domain: u64,
    /// Start of the process in milliseconds since 1970.
    pub incarnation: u64,
}

/// What the state machine wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to an address.
    Send(SocketAddr, Message),
    /// Fetch a revision that a peer holds.
    Fetch(SocketAddr, Held),
    /// A revision has come into force.
    InForce(u64),
    /// An endpoint was ejected by the peer that dispatches it, or is leaving.
    Verdict(Verdict),
}

/// The exchange of one node.
#[derive(Debug)]
pub struct Exchange {
    me: Identity,
    id: NodeId,
    version: u32,
    phase: Phase,
    members: Members,
    /// The revisions of this node and its peers.
    pub revisions: Revisions,
    listed: FxHashMap<NodeId, SocketAddr>,
    listed_at: Option<Time>,
    seeds: Vec<SocketAddr>,
    verdicts: FxHashMap<SocketAddr, (Verdict, Time)>,
    queried: FxHashMap<NodeId, Time>,
    nonce: u64,
    next_round: Time,
    budget: f64,
    refilled: Time,
    fetching: Option<(Held, Time)>,
    /// Rounds put off because the budget was used up.
    pub delayed: u64,
    /// Frames from addresses that are not listed.
    pub unlisted: u64,
}

/// A fetch that has not ended by then is tried again, perhaps elsewhere.
const FETCH_AGAIN: Duration = Duration::from_secs(2);

impl Exchange {
    /// The exchange of a node that has just started. `seeds` are told of this node until the list
    /// is known.
    pub fn new(now: Time, me: Identity, seeds: &[SocketAddr], rng: &mut impl Rng) -> Self {
        let id = node_id(me.addr);
        Self {
            me,
            id,
            version: 0,
            phase: Phase::Starting,
            members: Members::default(),
            revisions: Revisions::new(id),
            listed: FxHashMap::default(),
            listed_at: None,
            seeds: seeds.to_vec(),
            verdicts: FxHashMap::default(),
            queried: FxHashMap::default(),
            nonce: rng.random(),
            next_round: now,
            budget: BURST,
            refilled: now,
            fetching: None,
            delayed: 0,
            unlisted: 0,
        }
    }

    /// Identity of this node.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// The known nodes, this one not included.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Age of the list of VMs.
    pub fn list_age(&self, now: Time) -> Option<Duration> {
        self.listed_at.map(|it| now.since(it))
    }

    /// Number of listed nodes, this one included.
    pub fn fleet_size(&self) -> usize {
        self.listed.len().max(1)
    }

    /// What this node is doing.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Tells peers what this node is doing.
    pub fn set_phase(&mut self, phase: Phase) {
        self.phase = phase;
    }

    /// Follows the platform's list; leaving VMs are not counted on.
    pub fn set_listed(&mut self, now: Time, vms: impl IntoIterator<Item = SocketAddr>) {
        self.listed = vms.into_iter().map(|it| (node_id(it), it)).collect();
        self.listed.insert(self.id, self.me.addr);
        self.listed_at = Some(now);
        self.revisions.set_listed(self.listed.keys().copied());
        let listed = &self.listed;
        self.members.expire(now, FORGET_AFTER, |id| listed.contains_key(&id));
    }

    /// Holds a revision whose parts are whole and valid.
    pub fn hold(&mut self, held: Held) -> Vec<Effect> {
        self.fetching = None;
        if self.revisions.hold(held) {
            self.hurry();
        }
        self.advance()
    }

    /// Spreads a verdict of this node.
    pub fn tell(&mut self, now: Time, verdict: Verdict) {
        if verdict.leaving && !self.verdicts.contains_key(&verdict.endpoint) {
            self.hurry();
        }
        let until = now + Duration::from_millis(verdict.valid_ms.into());
        self.verdicts.insert(verdict.endpoint, (verdict, until));
    }

    /// The verdicts that this node believes and passes on.
    pub fn verdicts(&self) -> impl Iterator<Item = &Verdict> {
        self.verdicts.values().map(|(it, _)| it)
    }

    /// Takes in a message from a peer.
    pub fn receive(&mut self, now: Time, from: SocketAddr, frame: Frame) -> Vec<Effect> {
        if !self.admits(now, frame.from) {
            self.unlisted += 1;
            return Vec::new();
        }
        match frame.message {
            Message::Gossip(gossip) => self.receive_gossip(now, gossip),
            Message::Query { nonce, node } => {
                // What the asker held in an earlier life must not count any more.
                self.learn(now, node);
                let status = Message::Status { nonce, node: self.info() };
                // The reply goes where the query came from only if that is the node it names.
                let to = if node_id(node.addr) == frame.from { node.addr } else { from };
                vec![Effect::Send(to, status)]
            }
            Message::Status { nonce, node } if nonce == self.nonce => {
                self.revisions.answered(node_id(node.addr), node.facts);
                self.learn(now, node);
                self.advance()
            }
            Message::Status { .. } | Message::Permit(_) => Vec::new(),
        }
    }

    /// Moves what time alone moves.
    pub fn tick(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Effect> {
        if now < self.next_round {
            return Vec::new();
        }
        self.next_round = now + ROUND.mul_f64(rng.random_range(0.8..1.2));
        self.verdicts.retain(|_, (_, until)| now < *until);
        self.refill(now);
        if self.budget < 0.0 {
            self.delayed += 1;
            return Vec::new();
        }
        let mut effects = self.queries(now);
        effects.extend(self.round(now, rng));
        effects.extend(self.fetch(now));
        effects
    }

    /// Whether frames of this node are taken in: it is listed, or the list is too old to tell.
    pub fn admits(&self, now: Time, from: NodeId) -> bool {
        let is_current = self.list_age(now).is_some_and(|it| it < LIST_LIFETIME);
        !is_current || self.listed.contains_key(&from)
    }

    /// Accounts for bytes of the exchange that were sent or received.
    pub fn spend(&mut self, bytes: usize) {
        self.budget -= bytes as f64;
    }

    /// A frame from this node.
    pub fn frame(&self, message: Message) -> Frame {
        Frame { from: self.id, message }
    }

    fn receive_gossip(&mut self, now: Time, gossip: Gossip) -> Vec<Effect> {
        for it in gossip.nodes {
            self.learn(now, it);
        }
        let mut effects = self.receive_verdicts(now, &gossip.verdicts);
        effects.extend(self.advance());
        effects.extend(self.fetch(now));
        effects
    }

    fn receive_verdicts(&mut self, now: Time, verdicts: &[Verdict]) -> Vec<Effect> {
        let mut effects = Vec::new();
        for it in verdicts {
            let until = now + Duration::from_millis(it.valid_ms.into());
            let known = self.verdicts.get(&it.endpoint).copied();
            let is_news = known
                .is_none_or(|(old, end)| until > end + VERDICT_SLACK || it.leaving && !old.leaving);
            if is_news {
                if it.leaving && known.is_none_or(|(old, _)| !old.leaving) {
                    self.hurry();
                }
                self.verdicts.insert(it.endpoint, (*it, until));
                effects.push(Effect::Verdict(*it));
            }
        }
        effects
    }

    fn learn(&mut self, now: Time, info: NodeInfo) {
        let id = node_id(info.addr);
        if id == self.id || !self.admits(now, id) {
            return;
        }
        if self.members.learn(now, info) {
            self.revisions.heard(id, info.facts);
        }
    }

    /// Passes news on with the next tick instead of the next round; the byte budget still holds.
    fn hurry(&mut self) {
        self.next_round = Time(0);
    }

    fn advance(&mut self) -> Vec<Effect> {
        self.revisions.advance().map(Effect::InForce).into_iter().collect()
    }

    fn info(&self) -> NodeInfo {
        NodeInfo {
            addr: self.me.addr,
            failure_domain: self.me.failure_domain,
            incarnation: self.me.incarnation,
            version: self.version,
            phase: self.phase,
            facts: self.revisions.facts(),
        }
    }

    fn round(&mut self, now: Time, rng: &mut impl Rng) -> Option<Effect> {
        self.version += 1;
        let peers = self.peers();
        let to = peers.choose(rng)?;
        let mut nodes = vec![self.info()];
        let others: Vec<NodeInfo> = self.members.iter().map(|(_, it)| it.info).collect();
        nodes.extend(others.sample(rng, NODES_PER_FRAME - 1));
        let gossip = Gossip { nodes, verdicts: self.some_verdicts(now, rng) };
        Some(Effect::Send(*to, Message::Gossip(gossip)))
    }

    fn peers(&self) -> Vec<SocketAddr> {
        let mut seen = FxHashSet::default();
        let listed = self.listed.values().copied();
        let heard = self.members.iter().map(|(_, it)| it.info.addr);
        let seeds = self.seeds.iter().copied().filter(|_| self.listed_at.is_none());
        listed
            .chain(heard)
            .chain(seeds)
            .filter(|it| *it != self.me.addr && seen.insert(*it))
            .collect()
    }

    fn some_verdicts(&self, now: Time, rng: &mut impl Rng) -> Vec<Verdict> {
        let mut all: Vec<Verdict> = self
            .verdicts
            .values()
            .map(|(it, until)| Verdict { valid_ms: until.since(now).as_millis() as u32, ..*it })
            .collect();
        all.shuffle(rng);
        all.truncate(VERDICTS_PER_FRAME);
        all
    }

    fn queries(&mut self, now: Time) -> Vec<Effect> {
        if !self.revisions.facts().fresh {
            return Vec::new();
        }
        let due =
            |it: &NodeId| self.queried.get(it).is_none_or(|sent| now.since(*sent) >= QUERY_AGAIN);
        let due: Vec<NodeId> =
            self.revisions.unanswered().filter(due).take(QUERIES_PER_ROUND).collect();
        let query = Message::Query { nonce: self.nonce, node: self.info() };
        let mut effects = Vec::new();
        for it in due {
            self.queried.insert(it, now);
            if let Some(addr) = self.listed.get(&it) {
                effects.push(Effect::Send(*addr, query.clone()));
            }
        }
        effects
    }

    fn fetch(&mut self, now: Time) -> Option<Effect> {
        let (peer, held) = self.revisions.newer_at()?;
        let is_under_way = self.fetching.is_some_and(|(what, since)| {
            what.revision >= held.revision && now.since(since) < FETCH_AGAIN
        });
        if is_under_way {
            return None;
        }
        let addr = self.members.get(peer)?.info.addr;
        self.fetching = Some((held, now));
        Some(Effect::Fetch(addr, held))
    }

    fn refill(&mut self, now: Time) {
        let gained = now.since(self.refilled).as_secs_f64() * BUDGET;
        self.budget = (self.budget + gained).min(BURST);
        self.refilled = now;
    }
}
