//! Answering side of allowances.

use std::time::Duration;

use policy::{Buckets, Decision, Delegation, NodeId, Time};
use resources::Allowance;
use rustc_hash::FxHashMap;

/// An answer is remembered for this long, so that a repeated ask does not take a second request
/// from the bucket.
const ANSWER_MEMORY: Duration = Duration::from_secs(1);

/// Start phase of an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerPhase {
    /// The owner has discovered the fleet, and the nodes are delegating their shares to it.
    /// Requests that it cannot grant yet have to wait.
    Settling,
    /// The owner has received the shares it will get for now.
    Settled,
}

/// The buckets of one node, and its recent answers.
#[derive(Debug)]
pub struct AllowanceOwner {
    /// The buckets.
    pub buckets: Buckets,
    answered: FxHashMap<(NodeId, u64), (Decision, Time)>,
    next_forget: Time,
}

impl AllowanceOwner {
    /// Creates an owner without buckets at the node `me`.
    pub fn new(me: NodeId) -> Self {
        Self {
            buckets: Buckets::new(me),
            answered: FxHashMap::default(),
            next_forget: Time::default(),
        }
    }

    /// Decides on an ask of `from`. An organisation without a known limit is granted everything,
    /// because the asking node may have a newer configuration.
    pub fn ask(
        &mut self,
        now: Time,
        from: NodeId,
        seq: u64,
        bucket: (u64, Option<Allowance>),
        delegation: &Delegation,
        phase: OwnerPhase,
    ) -> Decision {
        self.forget(now);
        self.buckets.delegate(now, from, delegation);
        if let Some((decision, _)) = self.answered.get(&(from, seq)) {
            return *decision;
        }
        let decision = match (bucket, phase) {
            ((_, None), _) => Decision::Granted,
            ((organisation, Some(allowance)), OwnerPhase::Settled) => {
                self.buckets.ask(now, organisation, allowance)
            }
            ((organisation, Some(allowance)), OwnerPhase::Settling) => {
                self.buckets.ask_early(now, organisation, allowance)
            }
        };
        if decision != Decision::NotYet {
            self.answered.insert((from, seq), (decision, now));
        }
        decision
    }

    fn forget(&mut self, now: Time) {
        if now >= self.next_forget {
            self.next_forget = now + ANSWER_MEMORY;
            self.answered.retain(|_, (_, at)| now.since(*at) < ANSWER_MEMORY);
        }
    }
}
