//! The answering side of allowances.

use std::time::Duration;

use policy::{Buckets, Decision, Delegation, NodeId, Time};
use resources::Allowance;
use rustc_hash::FxHashMap;

/// An answer is remembered for this long: an ask that is said again takes no second request from the bucket.
const REMEMBER_ANSWER: Duration = Duration::from_secs(1);

/// How far an owner that has started is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerPhase {
    /// It knows the fleet, whose nodes entrust their shares to it just now. What it cannot grant yet waits.
    Settling,
    /// It has the shares that it will have for now.
    Settled,
}

/// The buckets of one node, and what it has answered lately.
#[derive(Debug)]
pub struct AllowanceOwner {
    /// The buckets.
    pub buckets: Buckets,
    answered: FxHashMap<(NodeId, u64), (Decision, Time)>,
    next_forget: Time,
}

impl AllowanceOwner {
    /// No buckets yet at the node `me`.
    pub fn new(me: NodeId) -> Self {
        Self {
            buckets: Buckets::new(me),
            answered: FxHashMap::default(),
            next_forget: Time::default(),
        }
    }

    /// Decides on an ask of `from`. Nothing limits an organisation that is not known here to be
    /// limited: whoever asks may have a newer configuration.
    pub fn ask(
        &mut self,
        now: Time,
        from: NodeId,
        seq: u64,
        bucket: (u64, Option<Allowance>),
        entrusted: &Delegation,
        phase: OwnerPhase,
    ) -> Decision {
        self.forget(now);
        self.buckets.delegate(now, from, entrusted);
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
            self.next_forget = now + REMEMBER_ANSWER;
            self.answered.retain(|_, (_, at)| now.since(*at) < REMEMBER_ANSWER);
        }
    }
}
