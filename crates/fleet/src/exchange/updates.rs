//! Distribution of platform updates: what this node has read or fetched, and what readers announce.

use std::net::SocketAddr;
use std::time::Duration;

use policy::{NodeId, Time};
use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};
use resources::{Position, Published, RegistryChange};

use super::{Effect, Exchange, FetchFailure};
use crate::bundle::{Bundle, EncodedDocument};
use crate::reader_election::{Missing, Rank, ReaderStatus, Reads};
use crate::replica::Versions;
use crate::wire::{Features, LastAnswer, Message, NodeInfo, PlatformUpdate};

/// Registry changes in one frame.
pub(crate) const CHANGES_PER_FRAME: usize = 6;
/// Encoded registry changes in one frame, in bytes, which leaves room for the rest of the frame. Each change fits: its
/// names are bounded where entries are decoded.
const MAX_CHANGES_BYTES: usize = 1_000;
/// Maximum number of frames sent back to back for one update; of a larger update the peers fetch
/// what they miss. Sixteen frames of 1 KB to each of ninety nodes occupy a link of 200 Mbit/s for
/// 60 ms, computed from their lengths.
const MAX_FRAMES: usize = 16;

impl Exchange {
    /// Applies what this node has read from the platform, and forwards the changes to its failure
    /// domain. The answer speaks for the state of the platform at `as_of`.
    pub fn platform_read(&mut self, now: Time, as_of: Time, published: Published) -> Vec<Effect> {
        let since = self.unknown_since(now);
        self.reader_election.platform_answered(now, as_of);
        let before = self.replica.versions();
        let unchanged_since = self.replica.unchanged_since();
        let mut effects = Vec::new();
        if self.replica.update_since(now, since, &published) {
            effects.push(Effect::EndpointsChanged);
        }
        self.registry_complete_at = as_of;
        // An answer of the platform takes precedence over earlier reports of peers.
        if as_of >= self.reported_at {
            self.newest_reported = self.replica.versions();
        }
        self.update_missing(now);
        self.is_unreadable = match &published.document {
            Some(_) => false,
            None => self.is_unreadable || published.unreadable.is_some(),
        };
        if !self.is_unreadable {
            self.reader_election.confirm(as_of);
        }
        let has_changes = !published.endpoints.is_empty() || before.config > self.announced_version;
        if has_changes && self.reader_election.reads(now) == Reads::Everything {
            let changes = match published.after {
                Some(_) => published.endpoints,
                // A full list is reduced to its new entries, where the replica knows them.
                None => self
                    .replica
                    .changes_since(before.registry)
                    .map_or(Vec::new(), |it| it.endpoints),
            };
            // Peers whose copies stand anywhere in a stretch without changes follow without a gap.
            effects.extend(self.announce_changes(now, unchanged_since, changes, before.config));
        }
        effects
    }

    /// Lets other nodes take over at once because this process ends now.
    pub fn ended(&mut self, now: Time) -> Vec<Effect> {
        if !self.reader_election.may_announce(now) {
            return Vec::new();
        }
        self.send_to_own_domain(Message::PlatformUpdate(self.empty_update(LastAnswer::Lost)))
    }

    /// Records that the platform did not answer, and lets other nodes take over at once.
    pub fn read_failed(&mut self, now: Time) -> Vec<Effect> {
        if !self.reader_election.platform_failed(now) {
            return Vec::new();
        }
        self.send_to_own_domain(Message::PlatformUpdate(self.empty_update(LastAnswer::Lost)))
    }

    /// Records that this node has read the configuration alone and put it in force if it is newer.
    /// The answer speaks for the state of the platform at `as_of`.
    pub fn configuration_read(&mut self, now: Time, as_of: Time) {
        // An answer of the platform takes precedence over earlier reports of peers.
        if as_of >= self.reported_at {
            self.newest_reported.config = self.replica.versions().config;
        }
        self.is_unreadable = false;
        self.reader_election.confirm(as_of);
        self.update_missing(now);
    }

    /// Applies the answer of a peer to a fetch.
    pub fn fetched(
        &mut self,
        now: Time,
        published: &Published,
        members: Vec<NodeInfo>,
    ) -> Vec<Effect> {
        self.is_fetching = false;
        self.last_fetch_unreached = false;
        if !self.replica.versions().registry.is_known() {
            self.reader_election.record_first_copy(now);
        }
        let mut effects = self.record_nodes(now, members);
        let since = self.unknown_since(now);
        if self.replica.update_since(now, since, published) {
            effects.push(Effect::EndpointsChanged);
        }
        self.update_missing(now);
        effects
    }

    /// Records that a fetch failed.
    pub fn fetch_failed(&mut self, failure: FetchFailure) {
        self.is_fetching = false;
        self.last_fetch_unreached = failure == FetchFailure::Lost;
        if failure == FetchFailure::Busy {
            self.reader_election.fetch_refused();
        }
    }

    /// Collects what is known here beyond the copy of `asker`, a peer that fetches. A peer without
    /// a copy has just started and also gets the list of nodes: by gossip rounds alone the peer
    /// would need several seconds to discover most of 443 nodes, and until then nodes disagree on
    /// the node to ask for slots.
    pub fn bundle(&mut self, now: Time, asker: NodeInfo) -> (Bundle, Vec<Effect>) {
        let effects = self.record_nodes(now, vec![asker]);
        let encoded = &mut self.encoded_document;
        let mut bundle = Bundle::newer_than(&self.replica, asker.versions, |it| match encoded {
            Some((version, known)) if *version == it.version => known.clone(),
            _ => encoded.insert((it.version, EncodedDocument::new(it))).1.clone(),
        });
        if asker.versions == Versions::default() {
            bundle.members = self.members.iter().map(|(_, it)| it.info).collect();
            bundle.members.push(self.info());
        }
        (bundle, effects)
    }

    /// Applies the announcement of a reader.
    pub(super) fn receive_update(
        &mut self,
        now: Time,
        addr: SocketAddr,
        from: NodeId,
        update: PlatformUpdate,
    ) -> Vec<Effect> {
        let mut effects = self.record_nodes(now, vec![update.sender]);
        // A reader that has not yet noticed that the platform came back from an older copy confirms
        // nothing.
        if update.versions.registry.era < self.replica.versions().registry.era {
            return effects;
        }
        let lists_all_changes = !update.changes.is_empty()
            || update.sender.features.contains(Features::COMPLETE_POSITIONS);
        if lists_all_changes {
            let published = Published {
                after: Some(update.after),
                complete_to: update.versions.registry,
                endpoints: update.changes,
                ..Published::default()
            };
            let since = self.unknown_since(now);
            if self.replica.update_since(now, since, &published) {
                effects.push(Effect::EndpointsChanged);
            }
        }
        let arrived = self.delayed_since.unwrap_or(now);
        // A part of a divided update speaks for its own changes only; the answer was about all of them.
        let answered = update.sender.versions.registry.max(update.versions.registry);
        self.note_complete_registry(arrived, update.last_answer, answered);
        self.record_report(now, update.versions);
        if self.is_behind(update.versions) {
            effects.extend(self.fetch(addr));
        }
        self.update_missing(now);
        let from = Rank { link_mbps: update.sender.capacity.link_mbps, node: from };
        let status = self.reader_status(arrived, update.last_answer, update.versions.config);
        self.reader_election.receive_status(now, from, status);
        effects
    }

    /// Records when the platform had no newer registry than the local copy, by a reader's last answer,
    /// which is complete to the position `answered`.
    fn note_complete_registry(&mut self, arrived: Time, answer: LastAnswer, answered: Position) {
        let (LastAnswer::Read { age_ms } | LastAnswer::Unreadable { age_ms }) = answer else {
            return;
        };
        let age = Duration::from_millis(age_ms.into());
        if answered <= self.replica.versions().registry && age <= arrived.since(Time(0)) {
            self.registry_complete_at = self.registry_complete_at.max(arrived - age);
        }
    }

    /// Derives from a reader's announcement what it confirms about the local copy. The
    /// announcement arrived at `arrived` or later.
    fn reader_status(
        &mut self,
        arrived: Time,
        last_answer: LastAnswer,
        version: u64,
    ) -> ReaderStatus {
        let age = |ms: u32| Duration::from_millis(ms.into());
        match last_answer {
            LastAnswer::Lost => ReaderStatus::NoAnswer,
            LastAnswer::Unreadable { age_ms } => ReaderStatus::Unconfirmed(arrived - age(age_ms)),
            // The answer predates this process, and its clock cannot represent the time.
            LastAnswer::Read { age_ms } if age(age_ms) > arrived.since(Time(0)) => {
                ReaderStatus::Unconfirmed(Time(0))
            }
            LastAnswer::Read { age_ms } => {
                let at = arrived - age(age_ms);
                if version <= self.replica.versions().config {
                    return ReaderStatus::Confirmed(at);
                }
                self.unconfirmed = Some((version, at));
                ReaderStatus::Unconfirmed(at)
            }
        }
    }

    /// Sends the changes after `after` to the own failure domain, as a chain of frames. What does not
    /// fit into one is left out, and the peers fetch it.
    pub(super) fn announce_changes(
        &mut self,
        now: Time,
        after: Position,
        mut changes: Vec<RegistryChange>,
        version: u64,
    ) -> Vec<Effect> {
        self.announced_version = version;
        let empty = self.empty_update(self.last_answer(now));
        let newest = Versions { config: version, registry: self.replica.versions().registry };
        changes.sort_by_key(|it| it.at);
        let chunks = chain_of(&changes);
        if chunks.is_empty() {
            let after = self.replica.unchanged_since();
            let update = PlatformUpdate { versions: newest, after, ..empty };
            return self.send_to_own_domain(Message::PlatformUpdate(update));
        }
        let mut effects = Vec::new();
        let mut after = after;
        for (i, chunk) in chunks.iter().enumerate() {
            let is_last = i + 1 == chunks.len();
            let reached = chunk.last().map_or(after, |it| it.at);
            let registry = if is_last { newest.registry } else { reached };
            let versions = Versions { registry, ..newest };
            let update =
                PlatformUpdate { versions, after, changes: chunk.to_vec(), ..empty.clone() };
            effects.extend(self.send_to_own_domain(Message::PlatformUpdate(update)));
            after = registry;
        }
        effects
    }

    /// The last answer of the platform to this node.
    fn last_answer(&self, now: Time) -> LastAnswer {
        let age_ms =
            self.reader_election.since_own_answer(now).as_millis().try_into().unwrap_or(u32::MAX);
        match self.is_unreadable {
            true => LastAnswer::Unreadable { age_ms },
            false => LastAnswer::Read { age_ms },
        }
    }

    /// An update without changes.
    fn empty_update(&self, last_answer: LastAnswer) -> PlatformUpdate {
        let versions = self.replica.versions();
        PlatformUpdate {
            sender: self.info(),
            versions,
            after: self.replica.unchanged_since(),
            changes: Vec::new(),
            last_answer,
        }
    }

    /// Records the state of nodes. If this node is the reader, it announces itself to newly
    /// discovered nodes of its failure domain, which would otherwise wait for the next announcement
    /// or read the platform too.
    pub(super) fn record_nodes(&mut self, now: Time, mut nodes: Vec<NodeInfo>) -> Vec<Effect> {
        nodes.retain(|it| self.record_node(now, *it));
        if !self.reader_election.may_announce(now) {
            return Vec::new();
        }
        let own = self.me.failure_domain;
        let recipients = nodes.iter().filter(|it| it.failure_domain == own);
        let update = self.empty_update(self.last_answer(now));
        recipients
            .map(|it| Effect::Send(it.addr, Message::PlatformUpdate(update.clone())))
            .collect()
    }

    pub(super) fn send_to_own_domain(&self, message: Message) -> Vec<Effect> {
        let recipients = self.domain_members();
        recipients.map(|it| Effect::Send(it.info.addr, message.clone())).collect()
    }

    /// Starts a fetch from a member that has newer versions: a newer configuration always,
    /// endpoints only if no freshness confirmation of the platform or of a reader has arrived
    /// recently. The member is chosen at random within the own failure domain, because some members
    /// may be unreachable from this node.
    pub(super) fn fetch_from_members(
        &mut self,
        now: Time,
        sender: SocketAddr,
        rng: &mut impl Rng,
    ) -> Option<Effect> {
        let mine = self.replica.versions();
        let is_stale = !self.reader_election.is_fresh(now);
        let is_newer =
            |it: &Versions| it.config > mine.config || is_stale && it.registry > mine.registry;
        let newer: Vec<NodeInfo> = self
            .members
            .iter()
            .map(|(_, it)| it.info)
            .filter(|it| is_newer(&it.versions))
            .collect();
        // Traffic between failure domains costs money. If the last peer could not be reached,
        // others may be unreachable too; then the sender is asked, because its message has just
        // arrived here.
        let own = self.me.failure_domain;
        let preferred = newer.iter().filter(|it| match self.last_fetch_unreached {
            true => it.addr == sender,
            false => it.failure_domain == own,
        });
        let NodeInfo { addr, versions, .. } =
            *preferred.choose(rng).or_else(|| newer.choose(rng))?;
        let registry = self.newest_reported.registry;
        self.record_report(now, Versions { config: versions.config, registry });
        self.update_missing(now);
        self.fetch(addr)
    }

    /// Starts a fetch unless one is in progress. Fetches that were started again while the first
    /// one still ran multiplied the load of a full link.
    pub(super) fn fetch(&mut self, addr: SocketAddr) -> Option<Effect> {
        if std::mem::replace(&mut self.is_fetching, true) {
            return None;
        }
        Some(Effect::Fetch(addr))
    }

    /// Records versions that exist according to a peer.
    fn record_report(&mut self, now: Time, versions: Versions) {
        let newest = self.newest_reported.max_of(versions);
        if newest != self.newest_reported {
            self.newest_reported = newest;
            self.reported_at = now;
        }
    }

    fn update_missing(&mut self, now: Time) {
        let mine = self.replica.versions();
        if let Some((_, at)) = self.unconfirmed.take_if(|(version, _)| *version <= mine.config) {
            self.reader_election.confirm(at);
        }
        let config = self.newest_reported.config > mine.config;
        let registry = self.newest_reported.registry > mine.registry;
        self.reader_election.set_missing(now, Missing { config, registry });
    }

    fn is_behind(&self, versions: Versions) -> bool {
        let mine = self.replica.versions();
        versions.config > mine.config || versions.registry > mine.registry
    }
}

/// Divides changes among the frames of a chain; empty if there are none, or if no chain can carry them.
fn chain_of(changes: &[RegistryChange]) -> Vec<&[RegistryChange]> {
    if changes.len() > CHANGES_PER_FRAME * MAX_FRAMES {
        return Vec::new();
    }
    let chunks = frames_of(changes);
    // A copy at a position has all changes at that position, so one frame has to carry them.
    let splits_position =
        |it: &[&[RegistryChange]]| it[0].last().map(|it| it.at) == it[1].first().map(|it| it.at);
    match chunks.windows(2).any(splits_position) {
        true => Vec::new(),
        false => chunks,
    }
}

/// Divides changes among frames. A frame that is too long would not be sent, and its other changes would be late.
pub(crate) fn frames_of(changes: &[RegistryChange]) -> Vec<&[RegistryChange]> {
    let mut frames = Vec::new();
    let mut rest = changes;
    while !rest.is_empty() {
        let mut bytes = 0;
        let fitting = rest.iter().take(CHANGES_PER_FRAME).take_while(|it| {
            bytes += postcard::to_stdvec(it).map_or(MAX_CHANGES_BYTES, |it| it.len());
            bytes <= MAX_CHANGES_BYTES
        });
        let (frame, later) = rest.split_at(fitting.count().max(1));
        frames.push(frame);
        rest = later;
    }
    frames
}
