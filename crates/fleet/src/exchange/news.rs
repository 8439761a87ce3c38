//! Distribution of platform updates: what this node has read or fetched, and what readers announce.

use std::net::SocketAddr;
use std::time::Duration;

use policy::{NodeId, Time};
use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};
use resources::{Position, Published, RegistryChange};

use super::{Effect, Exchange, FetchFailure};
use crate::bundle::{Bundle, EncodedDocument};
use crate::duty::{Lacks, Rank, Reads, Word};
use crate::replica::Facts;
use crate::wire::{LastAnswer, Message, News, NodeInfo};

/// Registry changes in one frame.
pub(crate) const CHANGES_PER_FRAME: usize = 6;
/// Maximum number of frames sent back to back for one update; of a larger update the peers fetch
/// what they miss. Sixteen frames of 1 KB to each of ninety nodes occupy a link of 200 Mbit/s for
/// 60 ms, computed from their lengths.
const MAX_FRAMES: usize = 16;

impl Exchange {
    /// Applies what this node has read from the platform, and forwards the changes to its failure
    /// domain.
    pub fn read(&mut self, now: Time, mut news: Published) -> Vec<Effect> {
        self.duty.answered(now);
        let before = self.replica.facts();
        // A read follows the previous read of this node without a gap.
        news.after = news.after.map(|_| before.registry);
        let mut effects = Vec::new();
        if self.replica.update(now, &news) {
            effects.push(Effect::Endpoints);
        }
        // An answer of the platform takes precedence over reports of peers.
        self.told = self.replica.facts();
        self.note_lacks(now);
        self.is_unreadable = match &news.document {
            Some(_) => false,
            None => self.is_unreadable || news.unreadable.is_some(),
        };
        if !self.is_unreadable {
            self.duty.proven(now);
        }
        let has_news = !news.endpoints.is_empty() || before.version > self.told_others;
        if has_news && self.duty.reads(now) == Reads::Everything {
            let changes = match news.after {
                Some(_) => news.endpoints,
                // A full list is reduced to its new entries, where the replica knows them.
                None => self.replica.since(before.registry).map_or(Vec::new(), |it| it.endpoints),
            };
            effects.extend(self.tell_news(now, before.registry, changes, before.version));
        }
        effects
    }

    /// Records that the platform did not answer, and lets other nodes take over at once.
    pub fn read_failed(&mut self) -> Vec<Effect> {
        if !self.duty.failed() {
            return Vec::new();
        }
        self.to_own_domain(Message::News(self.news(LastAnswer::Lost)))
    }

    /// Records that this node has read the configuration alone and put it in force if it is newer.
    pub fn configuration_read(&mut self, now: Time) {
        // An answer of the platform takes precedence over reports of peers.
        self.told.version = self.replica.facts().version;
        self.is_unreadable = false;
        self.duty.proven(now);
        self.note_lacks(now);
    }

    /// Applies the answer of a peer to a fetch.
    pub fn fetched(&mut self, now: Time, news: &Published, members: Vec<NodeInfo>) -> Vec<Effect> {
        self.is_fetching = false;
        self.is_unreached = false;
        if !self.replica.facts().registry.is_known() {
            self.duty.copied(now);
        }
        let mut effects = self.learn_all(now, members);
        if self.replica.update(now, news) {
            effects.push(Effect::Endpoints);
        }
        self.note_lacks(now);
        effects
    }

    /// Records that a fetch failed.
    pub fn fetch_failed(&mut self, why: FetchFailure) {
        self.is_fetching = false;
        self.is_unreached = why == FetchFailure::Lost;
        if why == FetchFailure::Busy {
            self.duty.refused();
        }
    }

    /// Collects what is known here beyond the copy of `asker`, a peer that fetches. A peer without
    /// a copy has just started and also gets the list of nodes: by gossip rounds alone the peer
    /// would need several seconds to discover most of 443 nodes, and until then nodes disagree on
    /// the node to ask for slots.
    pub fn bundle(&mut self, now: Time, asker: NodeInfo) -> (Bundle, Vec<Effect>) {
        let effects = self.learn_all(now, vec![asker]);
        let encoded = &mut self.encoded;
        let mut bundle = Bundle::beyond(&self.replica, asker.facts, |it| match encoded {
            Some((version, known)) if *version == it.version => known.clone(),
            _ => encoded.insert((it.version, EncodedDocument::new(it))).1.clone(),
        });
        if asker.facts == Facts::default() {
            bundle.members = self.members.iter().map(|(_, it)| it.info).collect();
            bundle.members.push(self.info());
        }
        (bundle, effects)
    }

    pub(super) fn receive_news(
        &mut self,
        now: Time,
        addr: SocketAddr,
        from: NodeId,
        news: News,
    ) -> Vec<Effect> {
        let mut effects = self.learn_all(now, vec![news.sender]);
        // A reader that has not yet noticed that the platform came back from an older copy confirms
        // nothing.
        if news.facts.registry.era < self.replica.facts().registry.era {
            return effects;
        }
        let latest = if news.changes.is_empty() { Position::START } else { news.facts.registry };
        let update = Published {
            after: Some(news.after),
            latest,
            complete_to: latest,
            document: None,
            unreadable: None,
            endpoints: news.changes,
        };
        // Without changes there is no position up to which the update would complete this copy.
        if latest.is_known() && self.replica.update(now, &update) {
            effects.push(Effect::Endpoints);
        }
        self.told = self.told.max_of(news.facts);
        if self.is_behind(news.facts) {
            effects.extend(self.fetch(addr));
        }
        self.note_lacks(now);
        let from = Rank { link_mbps: news.sender.capacity.link_mbps, node: from };
        let word = self.word(now, news.last_answer, news.facts.version);
        self.duty.heard(now, from, word);
        effects
    }

    /// Derives from a reader's announcement what it confirms about the local copy.
    fn word(&mut self, now: Time, last_answer: LastAnswer, version: u64) -> Word {
        let age = |ms: u32| Duration::from_millis(ms.into());
        match last_answer {
            LastAnswer::Lost => Word::Lost,
            LastAnswer::Unreadable { age_ms } => Word::Other(now - age(age_ms)),
            // The answer predates this process, and its clock cannot represent the time.
            LastAnswer::Read { age_ms } if age(age_ms) > now.since(Time(0)) => Word::Other(Time(0)),
            LastAnswer::Read { age_ms } => {
                let at = now - age(age_ms);
                if version <= self.replica.facts().version {
                    return Word::Proof(at);
                }
                self.unproven = Some((version, at));
                Word::Other(at)
            }
        }
    }

    /// Sends the changes after `after` to the own failure domain, as a chain of frames.
    pub(super) fn tell_news(
        &mut self,
        now: Time,
        after: Position,
        mut changes: Vec<RegistryChange>,
        version: u64,
    ) -> Vec<Effect> {
        self.told_others = version;
        let empty = self.news(self.last_answer(now));
        let newest = Facts { version, registry: self.replica.facts().registry };
        changes.sort_by_key(|it| it.at);
        if changes.len() > CHANGES_PER_FRAME * MAX_FRAMES {
            changes.clear();
        }
        if changes.is_empty() {
            let news = News { facts: newest, after, ..empty };
            return self.to_own_domain(Message::News(news));
        }
        let mut effects = Vec::new();
        let mut after = after;
        let parts: Vec<_> = changes.chunks(CHANGES_PER_FRAME).collect();
        for (i, part) in parts.iter().enumerate() {
            let is_last = i + 1 == parts.len();
            let reached = part.last().map_or(after, |it| it.at);
            let registry = if is_last { newest.registry } else { reached };
            let facts = Facts { registry, ..newest };
            let news = News { facts, after, changes: part.to_vec(), ..empty.clone() };
            effects.extend(self.to_own_domain(Message::News(news)));
            after = registry;
        }
        effects
    }

    /// The last answer of the platform to this node.
    fn last_answer(&self, now: Time) -> LastAnswer {
        let age_ms = self.duty.since_answer(now).as_millis().try_into().unwrap_or(u32::MAX);
        match self.is_unreadable {
            true => LastAnswer::Unreadable { age_ms },
            false => LastAnswer::Read { age_ms },
        }
    }

    /// An update without changes.
    fn news(&self, last_answer: LastAnswer) -> News {
        let facts = self.replica.facts();
        News { sender: self.info(), facts, after: facts.registry, changes: Vec::new(), last_answer }
    }

    /// Records the state of nodes. If this node is the reader, it announces itself to newly
    /// discovered nodes of its failure domain, which would otherwise wait for the next announcement
    /// or read the platform too.
    pub(super) fn learn_all(&mut self, now: Time, mut nodes: Vec<NodeInfo>) -> Vec<Effect> {
        nodes.retain(|it| self.learn(now, *it));
        if !self.duty.may_tell(now) {
            return Vec::new();
        }
        let own = self.me.failure_domain;
        let near = nodes.iter().filter(|it| it.failure_domain == own);
        let news = self.news(self.last_answer(now));
        near.map(|it| Effect::Send(it.addr, Message::News(news.clone()))).collect()
    }

    pub(super) fn to_own_domain(&self, message: Message) -> Vec<Effect> {
        let near = self.near_members();
        near.map(|it| Effect::Send(it.info.addr, message.clone())).collect()
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
        let mine = self.replica.facts();
        let is_cut_off = !self.duty.is_fresh(now);
        let is_newer =
            |it: &Facts| it.version > mine.version || is_cut_off && it.registry > mine.registry;
        let newer: Vec<NodeInfo> =
            self.members.iter().map(|(_, it)| it.info).filter(|it| is_newer(&it.facts)).collect();
        // Traffic between failure domains costs money. If the last peer could not be reached,
        // others may be unreachable too; then the sender is asked, because its message has just
        // arrived here.
        let own = self.me.failure_domain;
        let preferred = newer.iter().filter(|it| match self.is_unreached {
            true => it.addr == sender,
            false => it.failure_domain == own,
        });
        let NodeInfo { addr, facts, .. } = *preferred.choose(rng).or_else(|| newer.choose(rng))?;
        self.told.version = self.told.version.max(facts.version);
        self.note_lacks(now);
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

    fn note_lacks(&mut self, now: Time) {
        let mine = self.replica.facts();
        if let Some((_, at)) = self.unproven.take_if(|(version, _)| *version <= mine.version) {
            self.duty.proven(at);
        }
        let config = self.told.version > mine.version;
        let registry = self.told.registry > mine.registry;
        self.duty.set_lacks(now, Lacks { config, registry });
    }

    fn is_behind(&self, facts: Facts) -> bool {
        let mine = self.replica.facts();
        facts.version > mine.version || facts.registry > mine.registry
    }
}
