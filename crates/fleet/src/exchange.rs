//! Gossip exchange with other nodes. In each round a node sends recent state to one random peer,
//! within a budget of bytes per second that does not depend on the size of the fleet. Nodes that
//! read the platform forward its changes at once.

mod rejections;
mod rounds;
mod updates;

use std::net::SocketAddr;
use std::time::Duration;

use policy::{NodeId, Rejection, Time};
use rand::{Rng, RngExt};
use resources::Position;
use rustc_hash::FxHashMap;

use crate::bundle::EncodedDocument;
use crate::members::{Member, Members, RECENTLY_JOINED_FOR, node_id};
use crate::reader_election::{IN_FORCE, Rank, ReaderElection};
use crate::replica::{Replica, Versions};
#[cfg(test)]
use crate::wire::NODES_PER_FRAME;
use crate::wire::{Capacity, Features, Frame, Gossip, Message, NodeInfo, Phase, Verdict};

use rejections::Rejections;
#[cfg(test)]
pub(crate) use updates::{CHANGES_PER_FRAME, frames_of};

/// Optional parts of the protocol that every exchange of this build supports.
const OWN_FEATURES: Features = Features::COMPLETE_POSITIONS;
/// Interval between gossip rounds.
pub const ROUND: Duration = Duration::from_millis(1_000);
/// A node that has discovered no other node for this long knows all of them.
const DISCOVERY_QUIET_TIME: Duration = Duration::from_millis(300);
/// A node counts as recently started for this long.
const RECENTLY_STARTED_FOR: Duration = Duration::from_secs(5);
/// Maximum number of verdicts in one gossip message.
const VERDICTS_PER_FRAME: usize = 11;
/// Maximum number of nodes, verdicts and rejections in one frame.
#[cfg(test)]
pub(crate) const MAX_GOSSIP: (usize, usize, usize) =
    (NODES_PER_FRAME, VERDICTS_PER_FRAME, rejections::REJECTIONS_PER_FRAME);
/// Burst size of the budget in bytes: the discovery of 40 nodes takes about 25 KB.
const BUDGET_BURST: f64 = 40_000.0;
/// A verdict is new if it is valid for this much longer than the known one; a smaller difference is
/// only transmission delay.
const VERDICT_SLACK: Duration = Duration::from_millis(100);

/// Identity and resources of the local node.
#[derive(Clone, Copy, Debug)]
pub struct Identity {
    /// Address of the node's exchange.
    pub addr: SocketAddr,
    /// Hash of its failure domain.
    pub failure_domain: u64,
    /// Start of the process in milliseconds since 1970.
    pub incarnation: u64,
    /// Resources of its VM.
    pub capacity: Capacity,
    /// Optional parts of the protocol that it supports.
    pub features: Features,
}

/// An action that the caller of the state machine has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to an address.
    Send(SocketAddr, Message),
    /// Fetch from a peer what it knows of the platform.
    Fetch(SocketAddr),
    /// The set of endpoints has changed.
    EndpointsChanged,
    /// The peer that dispatches an endpoint uses it last or has ejected it.
    Verdict(Verdict),
    /// A peer has found a request that crashes endpoints.
    Rejection(Rejection),
}

/// Why a fetch failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchFailure {
    /// The peer is too busy sending to others.
    Busy,
    /// The peer cannot be reached, or its answer cannot be read.
    Lost,
}

/// State of one node's exchange.
#[derive(Debug)]
pub struct Exchange {
    me: Identity,
    id: NodeId,
    /// Sequence number of the state of this node; see `NodeInfo::version`.
    version: u32,
    phase: Phase,
    members: Members,
    replica: Replica,
    reader_election: ReaderElection,
    seeds: Vec<SocketAddr>,
    verdicts: FxHashMap<SocketAddr, (Verdict, Time)>,
    rejections: Rejections,
    started_at: Time,
    /// When a node was last discovered.
    last_discovery: Time,
    /// Some node was already ready when this node discovered it.
    discovered_ready: bool,
    next_round: Time,
    /// Bytes that gossip rounds may still use; negative while the budget is exceeded.
    budget: f64,
    last_refill: Time,
    /// A fetch is in progress; there is never a second one beside it.
    is_fetching: bool,
    /// The last fetch did not reach its peer.
    last_fetch_unreached: bool,
    /// The newest versions reported by peers, as far as they are missing here.
    newest_reported: Versions,
    /// Since when frames that are received now may have waited for this process; `None` if they are
    /// received as they arrive.
    delayed_since: Option<Time>,
    /// When peers last reported newer ones than before.
    reported_at: Time,
    /// A configuration version that is missing here, and when a reader confirmed it as the newest.
    unconfirmed: Option<(u64, Time)>,
    /// The platform's newest configuration cannot be read here.
    is_unreadable: bool,
    /// When the local copy of the registry was last known to be complete; the start before the first
    /// such time, because a copy from a peer is of unknown age.
    registry_complete_at: Time,
    /// Beginning and end of recent pauses of this process.
    pauses: Vec<(Time, Time)>,
    /// The version last sent to the own failure domain.
    announced_version: u64,
    /// The encoded configuration in force, with its version; encoded at the first fetch.
    encoded_document: Option<(u64, EncodedDocument)>,
    /// Number of rounds skipped because the budget was used up.
    pub delayed: u64,
}

impl Exchange {
    /// Creates the exchange of a node that starts now. The node contacts the `seeds` until it knows
    /// other nodes.
    pub fn new(now: Time, mut me: Identity, seeds: &[SocketAddr], rng: &mut impl Rng) -> Self {
        me.features = me.features.with(OWN_FEATURES);
        let id = node_id(me.addr);
        let rank = Rank { link_mbps: me.capacity.link_mbps, node: id };
        Self {
            me,
            id,
            version: 0,
            phase: Phase::Starting,
            members: Members::default(),
            replica: Replica::default(),
            reader_election: ReaderElection::starting(rank, now, rng.random()),
            seeds: seeds.iter().copied().filter(|it| *it != me.addr).collect(),
            verdicts: FxHashMap::default(),
            rejections: Rejections::default(),
            started_at: now,
            last_discovery: now,
            discovered_ready: false,
            next_round: now,
            budget: BUDGET_BURST,
            last_refill: now,
            is_fetching: false,
            last_fetch_unreached: false,
            newest_reported: Versions::default(),
            delayed_since: None,
            reported_at: now,
            unconfirmed: None,
            is_unreadable: false,
            registry_complete_at: now,
            pauses: Vec::new(),
            announced_version: 0,
            encoded_document: None,
            delayed: 0,
        }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.iter().copied().filter(|it| *it != self.me.addr).collect();
    }

    /// Identity of this node.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// Resources of this node's VM.
    pub fn capacity(&self) -> Capacity {
        self.me.capacity
    }

    /// Number of other nodes in the own failure domain.
    pub fn domain_peers(&self) -> usize {
        self.domain_members().count()
    }

    fn domain_members(&self) -> impl Iterator<Item = &Member> {
        let own = self.me.failure_domain;
        self.members.iter().map(|(_, it)| it).filter(move |it| it.info.failure_domain == own)
    }

    /// The known nodes, without this one.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The local copy of the state published by the platform.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The same copy, to put a validated configuration in force.
    pub fn replica_mut(&mut self) -> &mut Replica {
        &mut self.replica
    }

    /// The state of the reader election.
    pub fn reader_election(&self) -> &ReaderElection {
        &self.reader_election
    }

    /// The newest versions known to exist, here or elsewhere.
    pub fn newest_known(&self) -> Versions {
        self.newest_reported.max_of(self.replica.versions())
    }

    /// Whether a fetch from a peer is in progress.
    pub fn is_fetching(&self) -> bool {
        self.is_fetching
    }

    /// Current phase of this node.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Changes the phase and notifies all peers at once, because they choose dispatching nodes by
    /// phase.
    pub fn set_phase(&mut self, phase: Phase) -> Vec<Effect> {
        if phase == self.phase {
            return Vec::new();
        }
        self.phase = phase;
        self.announce()
    }

    /// Changes the features and notifies all peers at once, because they choose the nodes for tunnels
    /// by them.
    pub fn set_features(&mut self, features: Features) -> Vec<Effect> {
        let features = features.with(OWN_FEATURES);
        if features == self.me.features {
            return Vec::new();
        }
        self.me.features = features;
        self.announce()
    }

    /// Sends the state of this node to all peers.
    fn announce(&mut self) -> Vec<Effect> {
        self.version += 1;
        let gossip = Gossip { nodes: vec![self.info()], ..Gossip::default() };
        let send = |addr| Effect::Send(addr, Message::Gossip(gossip.clone()));
        self.members.iter().map(|(_, it)| send(it.info.addr)).collect()
    }

    /// Records that this process has stood still from `since` until now. What arrives next may have
    /// been under way as long.
    pub fn resumed(&mut self, now: Time, since: Time) {
        self.pauses.retain(|(_, end)| now.since(*end) < IN_FORCE);
        self.pauses.push((since, now));
    }

    /// The time after which what this node learns of the registry now has happened. If the platform has
    /// failed to answer since the copy was last complete, entries have lapsed that are back soon, so that
    /// the time is now.
    fn unknown_since(&self, now: Time) -> Time {
        let recent = self.pauses.iter().filter(|(_, end)| now.since(*end) < IN_FORCE);
        let paused_since = recent.map(|(since, _)| *since).min();
        let complete_at = self.registry_complete_at;
        match paused_since {
            Some(it) => it.min(complete_at),
            None if self.reader_election.has_failed_after(complete_at) => now,
            None => complete_at,
        }
    }

    /// Whether this node recently joined a fleet that was already serving; see `Members::serving`.
    pub fn is_recently_joined(&self, now: Time) -> bool {
        self.discovered_ready && now.since(self.started_at) < RECENTLY_JOINED_FOR
    }

    /// Adds a verdict of this node to the gossip.
    pub fn add_verdict(&mut self, now: Time, verdict: Verdict) {
        let until = now + Duration::from_millis(verdict.valid_ms.into());
        self.verdicts.insert(verdict.endpoint, (verdict, until));
    }

    /// The verdicts that are valid here and passed on to peers.
    pub fn verdicts(&self) -> impl Iterator<Item = &Verdict> {
        self.verdicts.values().map(|(it, _)| it)
    }

    /// Processes a message from a peer.
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
            Message::PlatformUpdate(update) => self.receive_update(now, from, frame.from, update),
            Message::Permit(_) | Message::Reliable(_) | Message::Ack(_) | Message::Allowance(_) => {
                Vec::new()
            }
        }
    }

    /// Sets since when the frames that are received next may have waited for this process; `None` if
    /// they are received as they arrive.
    pub fn set_delayed_since(&mut self, it: Option<Time>) {
        self.delayed_since = it;
    }

    /// Whether rounds are frequent because this node is still discovering others.
    pub fn is_discovering(&self, now: Time) -> bool {
        let is_recently_started = now.since(self.started_at) < RECENTLY_STARTED_FOR;
        is_recently_started && now.since(self.last_discovery) < DISCOVERY_QUIET_TIME
    }

    /// Runs the timers: registry expiry, reader announcements and gossip rounds.
    pub fn tick(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.replica.tick(now) {
            effects.push(Effect::EndpointsChanged);
        }
        if self.reader_election.announcement_is_due(now) {
            effects.extend(self.announce_changes(
                now,
                Position::START,
                Vec::new(),
                self.replica.versions().config,
            ));
        }
        if now >= self.next_round {
            effects.extend(self.round(now, rng));
        }
        effects
    }

    /// Charges sent or received bytes of gossip rounds to the budget. Platform updates are not
    /// charged: those of a start would use up the budget, and without rounds nodes do not discover
    /// each other.
    pub fn spend(&mut self, bytes: usize) {
        self.budget -= bytes as f64;
    }

    /// Wraps a message into a frame of this node.
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
        let mut effects = self.record_nodes(now, gossip.nodes);
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
            if known.is_none_or(|(_, known)| until > *known + VERDICT_SLACK) {
                self.verdicts.insert(it.endpoint, (*it, until));
                effects.push(Effect::Verdict(*it));
            }
        }
        effects
    }

    /// Records the state of a node; returns whether the node was unknown before.
    fn record_node(&mut self, now: Time, info: NodeInfo) -> bool {
        let id = node_id(info.addr);
        if id == self.id {
            return false;
        }
        let is_new = self.members.get(id).is_none();
        if is_new {
            self.last_discovery = now;
            self.discovered_ready |= info.phase == Phase::Ready;
        }
        self.members.record(now, info);
        is_new
    }

    /// The state of this node as sent to others.
    pub fn info(&self) -> NodeInfo {
        NodeInfo {
            addr: self.me.addr,
            failure_domain: self.me.failure_domain,
            incarnation: self.me.incarnation,
            capacity: self.me.capacity,
            version: self.version,
            phase: self.phase,
            versions: self.replica.versions(),
            features: self.me.features,
        }
    }
}
