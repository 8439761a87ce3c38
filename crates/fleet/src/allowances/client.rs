//! The asking side of allowances.

use std::time::Duration;

use policy::{Decision, Delegation, NodeId, Time, owner_of};
use rustc_hash::FxHashMap;

use super::AllowanceMessage;

/// Asks without an answer after which an owner is passed over. A successor has next to nothing to grant to the few that
/// come to it, so that waiting for an owner that is merely late is better than asking the next.
const ASKS_IN_VAIN: u32 = 6;
/// Silent owners after which a node has its own share alone.
const MAX_SILENT: u32 = 2;
/// An owner hears from each node at least this often: three times while a share counts.
const ENTRUST_EVERY: Duration = Duration::from_millis(500);
/// The first owners are told that they are for this long: a few messages may be lost.
const FIRST_FOR: Duration = Duration::from_secs(3);
/// Organisations for which a node remembers that asking is in vain.
const MAX_CLOSED: usize = 4_096;

/// What became of an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllowanceOutcome {
    /// Decided by the owner of the bucket.
    Decided(Decision),
    /// No owner answers, and this node's own share is used up.
    Unknown,
}

/// What the asking side wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum AllowanceAction {
    /// Decide by the owner of this node, which stands for these owners.
    AskHere {
        /// Which ask.
        seq: u64,
        /// Hash of the organisation's name.
        organisation: u64,
        /// The owners that this node asks: itself among others, or itself alone.
        entrusted: Delegation,
    },
    /// Send a message.
    Send(NodeId, AllowanceMessage),
    /// An owner does not answer.
    PassOver(NodeId),
    /// An ask is settled.
    Settle(u64, AllowanceOutcome),
}

/// An ask that is under way.
#[derive(Clone, Copy, Debug)]
struct Pending {
    organisation: u64,
    owner: NodeId,
    asked: Time,
    /// Asks at this owner.
    asks: u32,
    /// Owners that did not answer.
    silent: u32,
}

/// Asking is in vain until then.
#[derive(Clone, Copy, Debug)]
struct Closed {
    until: Time,
    retry_at: Time,
}

/// The asking side of one node.
#[derive(Debug)]
pub struct AllowanceClient {
    me: NodeId,
    timeout: Duration,
    next_seq: u64,
    pending: FxHashMap<u64, Pending>,
    closed: FxHashMap<u64, Closed>,
    /// When each owner last heard from this node.
    told: FxHashMap<NodeId, Time>,
    /// The owners that were named last.
    named: Vec<NodeId>,
    /// Tells this life of the process from those before.
    life: u32,
    /// The first owners that were named once the fleet was known, and until when they are told so.
    first: Option<(Vec<NodeId>, Time)>,
    /// Asks that were settled without an owner.
    pub alone: u64,
}

impl AllowanceClient {
    /// The asking side of the node `me`. Asks without an answer for `timeout` are said again. `life` differs between lives of
    /// the node.
    pub fn new(me: NodeId, timeout: Duration, life: u32) -> Self {
        Self {
            me,
            timeout,
            life,
            first: None,
            next_seq: life.into(),
            pending: FxHashMap::default(),
            closed: FxHashMap::default(),
            told: FxHashMap::default(),
            named: Vec::new(),
            alone: 0,
        }
    }

    /// The fleet is known from now on: the owners are those that it names.
    pub fn know_fleet(&mut self, now: Time, owners: &[NodeId]) {
        if self.first.is_none() {
            self.first = Some((owners.to_vec(), now + FIRST_FOR));
            // They are to hear of it at once.
            self.told.clear();
        }
    }

    /// What this node says to an owner.
    pub fn entrusted(&self, now: Time, owners: &[NodeId], to: NodeId) -> Delegation {
        let is_first =
            self.first.as_ref().is_some_and(|(it, until)| now < *until && it.contains(&to));
        Delegation { owners: owners.to_vec(), incarnation: self.life, is_first }
    }

    /// Whether nothing is under way.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Asks for one request of an organisation; returns the number of the ask.
    pub fn ask(
        &mut self,
        now: Time,
        organisation: u64,
        owners: &[NodeId],
    ) -> (u64, AllowanceAction) {
        let seq = self.next_seq;
        self.next_seq += 1;
        if let Some(it) = self.closed.get(&organisation).filter(|it| now < it.until) {
            let (next, retry_after) = (it.until.since(now), it.retry_at.since(now));
            let decision = Decision::Exhausted { next, retry_after: retry_after.max(next) };
            return (seq, AllowanceAction::Settle(seq, AllowanceOutcome::Decided(decision)));
        }
        let pending = Pending { organisation, owner: self.me, asked: now, asks: 0, silent: 0 };
        self.pending.insert(seq, pending);
        (seq, self.ask_owner(now, seq, owners))
    }

    /// Takes in a decision of `from`.
    pub fn answer(
        &mut self,
        now: Time,
        from: NodeId,
        seq: u64,
        decision: Decision,
    ) -> Option<AllowanceAction> {
        if decision == Decision::NotYet {
            let pending = self.pending.get_mut(&seq)?;
            pending.asks = 0;
            return None;
        }
        let pending = self.pending.remove(&seq)?;
        if let Decision::Exhausted { next, retry_after } = decision {
            if self.closed.len() >= MAX_CLOSED {
                self.closed.retain(|_, it| now < it.until);
            }
            let closed = Closed { until: now + next, retry_at: now + retry_after };
            self.closed.insert(pending.organisation, closed);
        }
        let is_alone = from == self.me && pending.silent >= MAX_SILENT;
        let outcome = match decision {
            Decision::Exhausted { .. } if is_alone => AllowanceOutcome::Unknown,
            _ => AllowanceOutcome::Decided(decision),
        };
        Some(AllowanceAction::Settle(seq, outcome))
    }

    /// Handles what was not answered in time, and lets the owners hear from this node.
    pub fn tick(&mut self, now: Time, owners: &[NodeId]) -> Vec<AllowanceAction> {
        let is_late = |it: &Pending| now.since(it.asked) >= self.timeout;
        let late: Vec<u64> =
            self.pending.iter().filter(|(_, it)| is_late(it)).map(|(seq, _)| *seq).collect();
        let mut actions = Vec::new();
        for seq in late {
            self.is_late(now, seq, owners, &mut actions);
        }
        self.told.retain(|_, at| now.since(*at) < ENTRUST_EVERY);
        actions.extend(self.leave_former(now, owners));
        for owner in owners.iter().filter(|it| **it != self.me) {
            if !self.told.contains_key(owner) {
                self.told.insert(*owner, now);
                let message = AllowanceMessage::Entrust(self.entrusted(now, owners, *owner));
                actions.push(AllowanceAction::Send(*owner, message));
            }
        }
        actions
    }

    /// Tells owners that are named no more: they would count the share of this node beside those that have it now.
    fn leave_former(&mut self, now: Time, owners: &[NodeId]) -> Vec<AllowanceAction> {
        if self.named == owners {
            return Vec::new();
        }
        self.told.clear();
        let former = std::mem::replace(&mut self.named, owners.to_vec());
        let left = former.into_iter().filter(|it| !owners.contains(it) && *it != self.me);
        left.map(|it| {
            let entrusted = self.entrusted(now, owners, it);
            AllowanceAction::Send(it, AllowanceMessage::Entrust(entrusted))
        })
        .collect()
    }

    fn is_late(
        &mut self,
        now: Time,
        seq: u64,
        owners: &[NodeId],
        actions: &mut Vec<AllowanceAction>,
    ) {
        let Some(pending) = self.pending.get_mut(&seq) else { return };
        let silent = pending.owner;
        let mut left = owners.to_vec();
        // This node itself answers as soon as it knows the fleet.
        if pending.asks >= ASKS_IN_VAIN && silent != self.me {
            pending.silent += 1;
            pending.asks = 0;
            left.retain(|it| *it != silent);
            actions.push(AllowanceAction::PassOver(silent));
        }
        actions.push(self.ask_owner(now, seq, &left));
    }

    fn ask_owner(&mut self, now: Time, seq: u64, owners: &[NodeId]) -> AllowanceAction {
        let pending = self.pending.get_mut(&seq).expect("asked for pending asks only");
        let organisation = pending.organisation;
        let owner = match pending.silent < MAX_SILENT {
            true => owner_of(organisation, owners),
            false => None,
        };
        pending.asked = now;
        let Some(owner) = owner else {
            pending.silent = MAX_SILENT;
            pending.owner = self.me;
            self.alone += 1;
            let entrusted = self.entrusted(now, &[self.me], self.me);
            return AllowanceAction::AskHere { seq, organisation, entrusted };
        };
        if owner != pending.owner {
            pending.asks = 0;
        }
        pending.owner = owner;
        pending.asks += 1;
        let entrusted = self.entrusted(now, owners, owner);
        if owner == self.me {
            return AllowanceAction::AskHere { seq, organisation, entrusted };
        }
        self.told.insert(owner, now);
        AllowanceAction::Send(owner, AllowanceMessage::Ask { seq, organisation, entrusted })
    }
}
