//! News of the platform: what this node has read or fetched, and what readers tell.

use std::net::SocketAddr;

use policy::{NodeId, Time};
use rand::Rng;
use rand::seq::IteratorRandom;
use resources::Published;

use super::{Effect, Exchange, FetchFailure};
use crate::bundle::{Bundle, EncodedDocument};
use crate::duty::{Lacks, Rank, Reads};
use crate::replica::Facts;
use crate::wire::{Message, News, NodeInfo};

/// Registry changes in one frame; of more the peers fetch the whole.
pub(crate) const CHANGES_PER_FRAME: usize = 6;

impl Exchange {
    /// Takes in what this node has read from the platform, and passes it on.
    pub fn read(&mut self, now: Time, mut news: Published) -> Vec<Effect> {
        self.duty.contacted(now);
        let before = self.replica.facts();
        // What this node reads follows what it has read before: in between nothing has changed.
        news.after = news.after.map(|_| before.revision);
        let mut effects = Vec::new();
        if self.replica.update(now, &news) {
            effects.push(Effect::Endpoints);
        }
        // The platform's word counts for more than what peers told.
        self.told = self.replica.facts();
        self.note_lacks(now);
        let has_news = !news.endpoints.is_empty() || news.document.is_some();
        if has_news && self.duty.reads(now) == Reads::Everything {
            // A read of everything is no change; peers that lack something will see it.
            let changes = if news.after.is_none() { Vec::new() } else { news.endpoints };
            let version = news.document.map_or(before.version, |it| it.version);
            effects.extend(self.tell_news(before.revision, changes, version.max(before.version)));
        }
        effects
    }

    /// Records that the platform cannot be read, and lets others step in at once.
    pub fn read_failed(&mut self) -> Vec<Effect> {
        if !self.duty.failed() {
            return Vec::new();
        }
        let news = News { facts: self.replica.facts(), contact: false, ..self.empty_news() };
        self.to_own_domain(Message::News(news))
    }

    /// Records that this node has read the configuration alone, and put it in force if it is newer.
    pub fn configuration_read(&mut self, now: Time) {
        self.note_lacks(now);
    }

    /// Takes in what a peer knew of the platform.
    pub fn fetched(&mut self, now: Time, news: &Published) -> Vec<Effect> {
        self.is_fetching = false;
        let changed = self.replica.update(now, news);
        self.note_lacks(now);
        changed.then_some(Effect::Endpoints).into_iter().collect()
    }

    /// Records that a fetch brought nothing.
    pub fn fetch_failed(&mut self, why: FetchFailure) {
        self.is_fetching = false;
        if why == FetchFailure::Busy {
            self.duty.refused();
        }
    }

    /// What is known here beyond `have`, for a peer that fetches it.
    pub fn bundle(&mut self, have: Facts) -> Bundle {
        let encoded = &mut self.encoded;
        Bundle::beyond(&self.replica, have, |it| match encoded {
            Some((version, known)) if *version == it.version => known.clone(),
            _ => encoded.insert((it.version, EncodedDocument::new(it))).1.clone(),
        })
    }

    pub(super) fn receive_news(
        &mut self,
        now: Time,
        addr: SocketAddr,
        from: NodeId,
        news: News,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        let revision = if news.changes.is_empty() { 0 } else { news.facts.revision };
        let update = Published {
            after: Some(news.after),
            revision,
            complete_to: revision,
            document: None,
            endpoints: news.changes,
        };
        // Without changes there is nothing that would make this copy complete up to a revision.
        if revision > 0 && self.replica.update(now, &update) {
            effects.push(Effect::Endpoints);
        }
        self.told = self.told.max_of(news.facts);
        if self.is_behind(news.facts) {
            effects.extend(self.fetch(addr));
        }
        self.note_lacks(now);
        let from = Rank { link_mbps: news.link_mbps, node: from };
        self.duty.heard(now, from, news.contact);
        effects
    }

    pub(super) fn tell_news(
        &mut self,
        after: u64,
        changes: Vec<resources::RegistryChange>,
        version: u64,
    ) -> Vec<Effect> {
        let fits = changes.len() <= CHANGES_PER_FRAME;
        let facts = Facts { version, revision: self.replica.facts().revision };
        let changes = if fits { changes } else { Vec::new() };
        let news = News { facts, after, changes, contact: true, ..self.empty_news() };
        self.to_own_domain(Message::News(news))
    }

    fn empty_news(&self) -> News {
        News { link_mbps: self.me.capacity.link_mbps, ..News::default() }
    }

    pub(super) fn to_own_domain(&self, message: Message) -> Vec<Effect> {
        let own = self.me.failure_domain;
        let near = self.members.iter().filter(|(_, it)| it.info.failure_domain == own);
        near.map(|(_, it)| Effect::Send(it.info.addr, message.clone())).collect()
    }

    /// Fetches what a member has said that it knows: a newer configuration always, endpoints only if
    /// neither the platform nor a reader has been heard lately. The member is chosen at random,
    /// because some of them may be cut off from this node.
    pub(super) fn fetch_from_members(&mut self, now: Time, rng: &mut impl Rng) -> Option<Effect> {
        let mine = self.replica.facts();
        let is_cut_off = !self.duty.is_fresh(now);
        let is_newer =
            |it: &Facts| it.version > mine.version || is_cut_off && it.revision > mine.revision;
        let newer = self.members.iter().map(|(_, it)| it.info).filter(|it| is_newer(&it.facts));
        let NodeInfo { addr, facts, .. } = newer.choose(rng)?;
        self.told.version = self.told.version.max(facts.version);
        self.note_lacks(now);
        self.fetch(addr)
    }

    /// One at a time: begun again while the first still ran, fetches multiplied what a full link had to carry.
    pub(super) fn fetch(&mut self, addr: SocketAddr) -> Option<Effect> {
        if std::mem::replace(&mut self.is_fetching, true) {
            return None;
        }
        Some(Effect::Fetch(addr))
    }

    fn note_lacks(&mut self, now: Time) {
        let mine = self.replica.facts();
        let config = self.told.version > mine.version;
        let registry = self.told.revision > mine.revision;
        self.duty.set_lacks(now, Lacks { config, registry });
    }

    fn is_behind(&self, facts: Facts) -> bool {
        let mine = self.replica.facts();
        facts.version > mine.version || facts.revision > mine.revision
    }
}
