//! Asking side of allowances.

use std::time::Duration;

use policy::{Decision, Delegation, NodeId, Time, owner_of};
use rustc_hash::FxHashMap;

use super::AllowanceMessage;

/// Unanswered asks after which an owner is passed over. A successor can grant next to nothing to
/// the few nodes that turn to it, so waiting for a late owner is better than asking the next one.
const MAX_UNANSWERED_ASKS: u32 = 6;
/// Silent owners after which a node uses its own share alone.
const MAX_SILENT_OWNERS: u32 = 2;
/// Each owner receives the delegation of every node at least this often, which is three times
/// during the validity of a share.
const DELEGATE_INTERVAL: Duration = Duration::from_millis(500);
/// Delegations to the first owners carry a mark for this long, because a few messages may be lost.
const FIRST_OWNERS_FOR: Duration = Duration::from_secs(3);
/// Maximum number of organisations for which a node remembers an exhausted bucket.
const MAX_EXHAUSTED: usize = 4_096;

/// Outcome of an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllowanceOutcome {
    /// Decided by the owner of the bucket.
    Decided(Decision),
    /// No owner answers, and this node's own share is used up.
    Unknown,
}

/// An action that the caller of the client has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum AllowanceAction {
    /// Let the owner of this node decide, as one of the named owners.
    AskHere {
        /// Number of the ask.
        seq: u64,
        /// Hash of the organisation's name.
        organisation: u64,
        /// The owners that this node uses: itself and others, or itself alone.
        delegation: Delegation,
    },
    /// Send a message.
    Send(NodeId, AllowanceMessage),
    /// Pass over an owner that does not answer.
    PassOver(NodeId),
    /// Complete an ask.
    Settle(u64, AllowanceOutcome),
}

/// An ask that waits for its decision.
#[derive(Clone, Copy, Debug)]
struct Pending {
    organisation: u64,
    owner: NodeId,
    asked_at: Time,
    /// Asks at this owner since its last answer.
    unanswered_asks: u32,
    /// Number of owners that did not answer.
    silent_owners: u32,
}

/// An exhausted bucket, which grants nothing before `until`.
#[derive(Clone, Copy, Debug)]
struct Exhausted {
    until: Time,
    retry_at: Time,
}

/// Asking side of one node.
#[derive(Debug)]
pub struct AllowanceClient {
    me: NodeId,
    timeout: Duration,
    next_seq: u64,
    pending: FxHashMap<u64, Pending>,
    exhausted: FxHashMap<u64, Exhausted>,
    /// When each owner was last sent the delegation of this node.
    last_delegated: FxHashMap<NodeId, Time>,
    /// The owners named in the last delegations.
    named_owners: Vec<NodeId>,
    /// Distinguishes this incarnation of the process from earlier ones.
    incarnation: u32,
    /// The first owners named after the discovery of the fleet, and until when their delegations
    /// carry the mark of first owners.
    first_owners: Option<(Vec<NodeId>, Time)>,
    /// Number of asks completed without an owner.
    pub without_owner: u64,
}

impl AllowanceClient {
    /// Creates the client of the node `me`. Asks without an answer for `timeout` are repeated.
    /// `incarnation` differs between incarnations of the node.
    pub fn new(me: NodeId, timeout: Duration, incarnation: u32) -> Self {
        Self {
            me,
            timeout,
            incarnation,
            first_owners: None,
            next_seq: incarnation.into(),
            pending: FxHashMap::default(),
            exhausted: FxHashMap::default(),
            last_delegated: FxHashMap::default(),
            named_owners: Vec::new(),
            without_owner: 0,
        }
    }

    /// Records that this node has discovered the fleet and names these owners from now on.
    pub fn fleet_discovered(&mut self, now: Time, owners: &[NodeId]) {
        if self.first_owners.is_none() {
            self.first_owners = Some((owners.to_vec(), now + FIRST_OWNERS_FOR));
            // The owners have to be notified at once.
            self.last_delegated.clear();
        }
    }

    /// The delegation that this node sends to an owner.
    pub fn delegation(&self, now: Time, owners: &[NodeId], to: NodeId) -> Delegation {
        let is_first =
            self.first_owners.as_ref().is_some_and(|(it, until)| now < *until && it.contains(&to));
        Delegation { owners: owners.to_vec(), incarnation: self.incarnation, is_first }
    }

    /// Whether no ask is pending.
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
        if let Some(it) = self.exhausted.get(&organisation).filter(|it| now < it.until) {
            let (next, retry_after) = (it.until.since(now), it.retry_at.since(now));
            let decision = Decision::Exhausted { next, retry_after: retry_after.max(next) };
            return (seq, AllowanceAction::Settle(seq, AllowanceOutcome::Decided(decision)));
        }
        let pending = Pending {
            organisation,
            owner: self.me,
            asked_at: now,
            unanswered_asks: 0,
            silent_owners: 0,
        };
        self.pending.insert(seq, pending);
        (seq, self.ask_owner(now, seq, owners))
    }

    /// Processes a decision of `from`.
    pub fn answer(
        &mut self,
        now: Time,
        from: NodeId,
        seq: u64,
        decision: Decision,
    ) -> Option<AllowanceAction> {
        if decision == Decision::NotYet {
            let pending = self.pending.get_mut(&seq)?;
            pending.unanswered_asks = 0;
            return None;
        }
        let pending = self.pending.remove(&seq)?;
        if let Decision::Exhausted { next, retry_after } = decision {
            if self.exhausted.len() >= MAX_EXHAUSTED {
                self.exhausted.retain(|_, it| now < it.until);
            }
            let exhausted = Exhausted { until: now + next, retry_at: now + retry_after };
            self.exhausted.insert(pending.organisation, exhausted);
        }
        let is_alone = from == self.me && pending.silent_owners >= MAX_SILENT_OWNERS;
        let outcome = match decision {
            Decision::Exhausted { .. } if is_alone => AllowanceOutcome::Unknown,
            _ => AllowanceOutcome::Decided(decision),
        };
        Some(AllowanceAction::Settle(seq, outcome))
    }

    /// Repeats the asks that were not answered in time, and sends the delegation to owners at
    /// regular intervals.
    pub fn tick(&mut self, now: Time, owners: &[NodeId]) -> Vec<AllowanceAction> {
        let is_late = |it: &Pending| now.since(it.asked_at) >= self.timeout;
        let late: Vec<u64> =
            self.pending.iter().filter(|(_, it)| is_late(it)).map(|(seq, _)| *seq).collect();
        let mut actions = Vec::new();
        for seq in late {
            self.retry_late(now, seq, owners, &mut actions);
        }
        self.last_delegated.retain(|_, at| now.since(*at) < DELEGATE_INTERVAL);
        actions.extend(self.notify_former_owners(now, owners));
        for owner in owners.iter().filter(|it| **it != self.me) {
            if !self.last_delegated.contains_key(owner) {
                self.last_delegated.insert(*owner, now);
                let message = AllowanceMessage::Delegate(self.delegation(now, owners, *owner));
                actions.push(AllowanceAction::Send(*owner, message));
            }
        }
        actions
    }

    /// Notifies owners that are named no more: they would count this node's share in addition to
    /// the owners that hold it now.
    fn notify_former_owners(&mut self, now: Time, owners: &[NodeId]) -> Vec<AllowanceAction> {
        if self.named_owners == owners {
            return Vec::new();
        }
        self.last_delegated.clear();
        let former = std::mem::replace(&mut self.named_owners, owners.to_vec());
        let removed = former.into_iter().filter(|it| !owners.contains(it) && *it != self.me);
        removed
            .map(|it| {
                let delegation = self.delegation(now, owners, it);
                AllowanceAction::Send(it, AllowanceMessage::Delegate(delegation))
            })
            .collect()
    }

    fn retry_late(
        &mut self,
        now: Time,
        seq: u64,
        owners: &[NodeId],
        actions: &mut Vec<AllowanceAction>,
    ) {
        let Some(pending) = self.pending.get_mut(&seq) else { return };
        let silent_owner = pending.owner;
        let mut remaining = owners.to_vec();
        // The owner on this node answers as soon as the fleet is discovered.
        if pending.unanswered_asks >= MAX_UNANSWERED_ASKS && silent_owner != self.me {
            pending.silent_owners += 1;
            pending.unanswered_asks = 0;
            remaining.retain(|it| *it != silent_owner);
            actions.push(AllowanceAction::PassOver(silent_owner));
        }
        actions.push(self.ask_owner(now, seq, &remaining));
    }

    fn ask_owner(&mut self, now: Time, seq: u64, owners: &[NodeId]) -> AllowanceAction {
        let pending = self.pending.get_mut(&seq).expect("only pending asks are sent");
        let organisation = pending.organisation;
        let owner = match pending.silent_owners < MAX_SILENT_OWNERS {
            true => owner_of(organisation, owners),
            false => None,
        };
        pending.asked_at = now;
        let Some(owner) = owner else {
            pending.silent_owners = MAX_SILENT_OWNERS;
            pending.owner = self.me;
            self.without_owner += 1;
            let delegation = self.delegation(now, &[self.me], self.me);
            return AllowanceAction::AskHere { seq, organisation, delegation };
        };
        if owner != pending.owner {
            pending.unanswered_asks = 0;
        }
        pending.owner = owner;
        pending.unanswered_asks += 1;
        let delegation = self.delegation(now, owners, owner);
        if owner == self.me {
            return AllowanceAction::AskHere { seq, organisation, delegation };
        }
        self.last_delegated.insert(owner, now);
        AllowanceAction::Send(owner, AllowanceMessage::Ask { seq, organisation, delegation })
    }
}
