//! The exchange with other nodes: each round tells one random peer what is new, within a budget of
//! bytes a second that does not depend on the fleet's size. Nodes that read the platform pass its
//! changes on at once.

mod news;
mod rejections;
mod rounds;

use std::net::SocketAddr;
use std::time::Duration;

use policy::{NodeId, Rejection, Time};
use rand::{Rng, RngExt};
use resources::Position;
use rustc_hash::FxHashMap;

use crate::bundle::EncodedDocument;
use crate::duty::{Duty, Rank};
use crate::members::{Member, Members, NEWCOMER_FOR, node_id};
use crate::replica::{Facts, Replica};
#[cfg(test)]
use crate::wire::NODES_PER_FRAME;
use crate::wire::{Capacity, Frame, Gossip, Message, NodeInfo, Phase, Verdict};

#[cfg(test)]
pub(crate) use news::CHANGES_PER_FRAME;
use rejections::Rejections;

/// Time between rounds.
pub const ROUND: Duration = Duration::from_millis(1_000);
/// A node that has heard of no other for this long knows those there are.
const FOUND_ALL_AFTER: Duration = Duration::from_millis(300);
/// How long a node counts as started lately.
const STARTED_LATELY: Duration = Duration::from_secs(5);
/// Verdicts told of in one round.
const VERDICTS_PER_FRAME: usize = 12;
/// Most nodes, verdicts and rejections in one frame.
#[cfg(test)]
pub(crate) const MAX_GOSSIP: (usize, usize, usize) =
    (NODES_PER_FRAME, VERDICTS_PER_FRAME, rejections::REJECTIONS_PER_FRAME);
/// Burst that the budget allows, in bytes: finding 40 nodes takes about 25 KB.
const BURST: f64 = 40_000.0;
/// A verdict that is valid for this much longer than the known one is news; less is only delay.
const VERDICT_SLACK: Duration = Duration::from_millis(100);

/// Who this node is.
#[derive(Clone, Copy, Debug)]
pub struct Identity {
    /// Address of its exchange.
    pub addr: SocketAddr,
    /// Hash of its failure domain.
    pub failure_domain: u64,
    /// Start of the process in milliseconds since 1970.
    pub incarnation: u64,
    /// What its VM has.
    pub capacity: Capacity,
}

/// What the state machine wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to an address.
    Send(SocketAddr, Message),
    /// Fetch what a peer knows of the platform.
    Fetch(SocketAddr),
    /// Endpoints have changed.
    Endpoints,
    /// An endpoint is used last by the peer that dispatches it.
    Verdict(Verdict),
    /// Endpoints end under a request, as a peer has found.
    Rejection(Rejection),
}

/// Why a fetch brought nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchFailure {
    /// The peer has too much under way to others.
    Busy,
    /// It cannot be reached, or what it sends cannot be read.
    Lost,
}

/// The exchange of one node.
#[derive(Debug)]
pub struct Exchange {
    me: Identity,
    id: NodeId,
    version: u32,
    phase: Phase,
    members: Members,
    replica: Replica,
    duty: Duty,
    seeds: Vec<SocketAddr>,
    verdicts: FxHashMap<SocketAddr, (Verdict, Time)>,
    rejections: Rejections,
    started: Time,
    /// When a node was last heard of for the first time.
    found: Time,
    /// A node was ready when this one first heard of it.
    found_ready: bool,
    next_round: Time,
    budget: f64,
    refilled: Time,
    /// A fetch is under way; there is never a second one beside it.
    is_fetching: bool,
    /// The last fetch did not reach its peer.
    is_unreached: bool,
    /// The newest that peers have told of, as far as it is not known here.
    told: Facts,
    /// A version that is not known here, and when a reader had proof that it is the newest.
    unproven: Option<(u64, Time)>,
    /// The platform's newest configuration cannot be read here.
    is_unreadable: bool,
    /// The version that the own failure domain was last told of.
    told_others: u64,
    /// The configuration in force as it travels, with its version; encoded when it is first fetched.
    encoded: Option<(u64, EncodedDocument)>,
    /// Rounds put off because the budget was used up.
    pub delayed: u64,
}

impl Exchange {
    /// The exchange of a node that has just started. `seeds` are told of this node until others are
    /// known.
    pub fn new(now: Time, me: Identity, seeds: &[SocketAddr], rng: &mut impl Rng) -> Self {
        let id = node_id(me.addr);
        let rank = Rank { link_mbps: me.capacity.link_mbps, node: id };
        Self {
            me,
            id,
            version: 0,
            phase: Phase::Starting,
            members: Members::default(),
            replica: Replica::default(),
            duty: Duty::starting(rank, now, rng.random()),
            seeds: seeds.iter().copied().filter(|it| *it != me.addr).collect(),
            verdicts: FxHashMap::default(),
            rejections: Rejections::default(),
            started: now,
            found: now,
            found_ready: false,
            next_round: now,
            budget: BURST,
            refilled: now,
            is_fetching: false,
            is_unreached: false,
            told: Facts::default(),
            unproven: None,
            is_unreadable: false,
            told_others: 0,
            encoded: None,
            delayed: 0,
        }
    }

    /// Follows a change of the seeds.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.iter().copied().filter(|it| *it != self.me.addr).collect();
    }

    /// Identity of this node.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// What this node's VM has.
    pub fn capacity(&self) -> Capacity {
        self.me.capacity
    }

    /// Other nodes of the own failure domain.
    pub fn near(&self) -> usize {
        self.near_members().count()
    }

    fn near_members(&self) -> impl Iterator<Item = &Member> {
        let own = self.me.failure_domain;
        self.members.iter().map(|(_, it)| it).filter(move |it| it.info.failure_domain == own)
    }

    /// The known nodes, this one not included.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The copy of what the platform has published.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The same, to take in a configuration that is valid.
    pub fn replica_mut(&mut self) -> &mut Replica {
        &mut self.replica
    }

    /// Whether this node reads the platform.
    pub fn duty(&self) -> &Duty {
        &self.duty
    }

    /// The newest that is known to exist, here or elsewhere.
    pub fn told(&self) -> Facts {
        self.told.max_of(self.replica.facts())
    }

    /// Whether a fetch from a peer is under way.
    pub fn is_fetching(&self) -> bool {
        self.is_fetching
    }

    /// What this node is doing.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Tells all peers at once what this node is doing: whom they ask for slots depends on it.
    pub fn set_phase(&mut self, phase: Phase) -> Vec<Effect> {
        if phase == self.phase {
            return Vec::new();
        }
        self.phase = phase;
        self.version += 1;
        let gossip = Gossip { nodes: vec![self.info()], ..Gossip::default() };
        let tell = |addr| Effect::Send(addr, Message::Gossip(gossip.clone()));
        self.members.iter().map(|(_, it)| tell(it.info.addr)).collect()
    }

    /// Whether this node has started among others that served already; see `Members::serving`.
    pub fn is_newcomer(&self, now: Time) -> bool {
        self.found_ready && now.since(self.started) < NEWCOMER_FOR
    }

    /// Spreads a verdict of this node.
    pub fn tell(&mut self, now: Time, verdict: Verdict) {
        let until = now + Duration::from_millis(verdict.valid_ms.into());
        self.verdicts.insert(verdict.endpoint, (verdict, until));
    }

    /// The verdicts that this node believes and passes on.
    pub fn verdicts(&self) -> impl Iterator<Item = &Verdict> {
        self.verdicts.values().map(|(it, _)| it)
    }

    /// Takes in a message from a peer.
    pub fn receive(
        &mut self,
        now: Time,
        from: SocketAddr,
        frame: Frame,
        rng: &mut impl Rng,
    ) -> Vec<Effect> {
        match frame.message {
            Message::Gossip(gossip) => {
                let reply = gossip.wants_reply.then(|| self.gossip(now, false, rng));
                let mut effects = self.receive_gossip(now, from, gossip, rng);
                effects.extend(reply.map(|it| Effect::Send(from, Message::Gossip(it))));
                effects
            }
            Message::News(news) => self.receive_news(now, from, frame.from, news),
            Message::Permit(_) | Message::Reliable(_) | Message::Ack(_) | Message::Allowance(_) => {
                Vec::new()
            }
        }
    }

    /// Whether rounds follow each other quickly, because this node still finds others.
    pub fn is_finding(&self, now: Time) -> bool {
        let is_new = now.since(self.started) < STARTED_LATELY;
        is_new && now.since(self.found) < FOUND_ALL_AFTER
    }

    /// Moves what time alone moves.
    pub fn tick(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.replica.tick(now) {
            effects.push(Effect::Endpoints);
        }
        if self.duty.news_is_due(now) {
            effects.extend(self.tell_news(
                now,
                Position::START,
                Vec::new(),
                self.replica.facts().version,
            ));
        }
        if now >= self.next_round {
            effects.extend(self.round(now, rng));
        }
        effects
    }

    /// Accounts for bytes of rounds that were sent or received. News are not counted: those of a start would use up the
    /// budget, and without rounds nodes do not know each other.
    pub fn spend(&mut self, bytes: usize) {
        self.budget -= bytes as f64;
    }

    /// A frame from this node.
    pub fn frame(&self, message: Message) -> Frame {
        Frame { from: self.id, message }
    }

    fn receive_gossip(
        &mut self,
        now: Time,
        from: SocketAddr,
        gossip: Gossip,
        rng: &mut impl Rng,
    ) -> Vec<Effect> {
        let mut effects = self.learn_all(now, gossip.nodes);
        effects.extend(self.receive_verdicts(now, &gossip.verdicts));
        effects.extend(self.receive_rejections(now, &gossip.rejections));
        effects.extend(self.fetch_from_members(now, from, rng));
        effects
    }

    fn receive_verdicts(&mut self, now: Time, verdicts: &[Verdict]) -> Vec<Effect> {
        let mut effects = Vec::new();
        for it in verdicts {
            let until = now + Duration::from_millis(it.valid_ms.into());
            let known = self.verdicts.get(&it.endpoint);
            if known.is_none_or(|(_, end)| until > *end + VERDICT_SLACK) {
                self.verdicts.insert(it.endpoint, (*it, until));
                effects.push(Effect::Verdict(*it));
            }
        }
        effects
    }

    /// Takes in facts about a node; returns whether it was not known before.
    fn learn(&mut self, now: Time, info: NodeInfo) -> bool {
        let id = node_id(info.addr);
        if id == self.id {
            return false;
        }
        let is_new = self.members.get(id).is_none();
        if is_new {
            self.found = now;
            self.found_ready |= info.phase == Phase::Ready;
        }
        self.members.learn(now, info);
        is_new
    }

    /// What this node tells of itself.
    pub fn info(&self) -> NodeInfo {
        NodeInfo {
            addr: self.me.addr,
            failure_domain: self.me.failure_domain,
            incarnation: self.me.incarnation,
            capacity: self.me.capacity,
            version: self.version,
            phase: self.phase,
            facts: self.replica.facts(),
        }
    }
}
