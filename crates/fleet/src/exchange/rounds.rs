//! Gossip rounds: recipients, contents and frequency.

use std::net::SocketAddr;
use std::time::Duration;

use policy::Time;
use rand::seq::{IndexedRandom, IteratorRandom, SliceRandom};
use rand::{Rng, RngExt};
use rustc_hash::FxHashSet;

use super::{BUDGET_BURST, Effect, Exchange, RECENTLY_STARTED_FOR, ROUND, VERDICTS_PER_FRAME};
use crate::members::Member;
use crate::reader_election::Rank;
use crate::wire::{Gossip, Message, NODES_PER_FRAME, NodeInfo, Phase, Verdict};

/// Interval between rounds of a recently started node.
const START_ROUND: Duration = Duration::from_millis(200);
/// Interval between rounds while a recently started node still discovers others. When a whole fleet
/// restarts, nodes that know few others ask many different nodes for slots, and each of these has
/// to detect every unhealthy endpoint by itself.
const DISCOVERY_ROUND: Duration = Duration::from_millis(50);
/// One in this many rounds goes to another failure domain; traffic between failure domains costs
/// money.
const FAR_ROUND: u32 = 4;
/// Nodes from which nothing was received for this long are forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Budget of the exchange in bytes per second, sent and received.
const BUDGET: f64 = 5_000.0;

impl Exchange {
    /// Runs one gossip round; returns nothing while the byte budget is exceeded.
    pub(super) fn round(&mut self, now: Time, rng: &mut impl Rng) -> Option<Effect> {
        let is_recently_started = now.since(self.started_at) < RECENTLY_STARTED_FOR;
        let interval = match is_recently_started {
            true if self.is_discovering(now) => DISCOVERY_ROUND,
            true => START_ROUND,
            false => ROUND,
        };
        self.next_round = now + interval.mul_f64(rng.random_range(0.8..1.2));
        self.verdicts.retain(|_, (_, until)| now < *until);
        self.rejections.expire(now);
        self.members.expire(now, FORGET_AFTER);
        self.update_better_ranked();
        self.refill(now);
        if self.budget < 0.0 {
            self.delayed += 1;
            return None;
        }
        let to = self.choose_peer(now, is_recently_started, rng)?;
        Some(Effect::Send(to, Message::Gossip(self.gossip(now, true, rng))))
    }

    /// Updates the number of nodes with a better rank. A node without a copy keeps its initial
    /// back-off instead.
    fn update_better_ranked(&mut self) {
        if !self.replica.versions().registry.is_known() {
            return;
        }
        let me = Rank { link_mbps: self.me.capacity.link_mbps, node: self.id };
        let domain_members = self.members.iter().filter(|(_, it)| {
            it.info.failure_domain == self.me.failure_domain && it.info.phase != Phase::Leaving
        });
        let rank = |(node, it): (_, &Member)| Rank { link_mbps: it.info.capacity.link_mbps, node };
        self.reader_election
            .set_better_ranked(domain_members.map(rank).filter(|it| it.precedes(me)).count());
    }

    pub(super) fn gossip(&mut self, now: Time, wants_reply: bool, rng: &mut impl Rng) -> Gossip {
        self.version += 1;
        let mut nodes = vec![self.info()];
        let others: Vec<NodeInfo> = self.members.iter().map(|(_, it)| it.info).collect();
        nodes.extend(others.sample(rng, NODES_PER_FRAME - 1));
        let rejections = self.rejections.sample(now, rng);
        Gossip { nodes, verdicts: self.sample_verdicts(now, rng), rejections, wants_reply }
    }

    /// Chooses the peer of a round: usually a node of the own failure domain, but any node while no
    /// freshness confirmation arrives from there. A recently started node also considers the seeds,
    /// which may be stale, and so does a node that knows no other.
    fn choose_peer(
        &self,
        now: Time,
        is_recently_started: bool,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let any_domain = is_recently_started
            || !self.reader_election.is_fresh(now)
            || rng.random_ratio(1, FAR_ROUND);
        let own = self.me.failure_domain;
        let members =
            self.members.iter().filter(|(_, it)| any_domain || it.info.failure_domain == own);
        let mut seen = FxHashSet::default();
        let seeds =
            self.seeds.iter().copied().filter(|_| is_recently_started || self.members.is_empty());
        members.map(|(_, it)| it.info.addr).chain(seeds).filter(|it| seen.insert(*it)).choose(rng)
    }

    fn sample_verdicts(&self, now: Time, rng: &mut impl Rng) -> Vec<Verdict> {
        let mut all: Vec<Verdict> = self
            .verdicts
            .values()
            .map(|(it, until)| Verdict { valid_ms: until.since(now).as_millis() as u32, ..*it })
            .collect();
        all.shuffle(rng);
        all.truncate(VERDICTS_PER_FRAME);
        all
    }

    fn refill(&mut self, now: Time) {
        let gained = now.since(self.last_refill).as_secs_f64() * BUDGET;
        self.budget = (self.budget + gained).min(BUDGET_BURST);
        self.last_refill = now;
    }
}
