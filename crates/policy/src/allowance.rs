//! Allowances of organisations over the whole fleet, without shared state.
//!
//! One node owns the bucket of an organisation; rendezvous hashing over a few strong nodes names it. What accrues in a
//! bucket rests on what nodes say, not on what the owner remembers: each node owns an equal share of every allowance and
//! entrusts it to one owner at a time, by naming the owners that it asks. A bucket grows by the shares that are entrusted
//! to its owner (`shares`). So the parts of a fleet that has fallen apart have a part of each allowance, a node that takes
//! over begins with what nodes bring along, and two owners of one bucket have no more together than one.
//!
//! It answers the load of one organisation that sends many times what it may while others, in the same moment, are at nine
//! tenths of what they may: the one gets its rate, the others lose nothing.

mod bucket;
mod shares;

use std::time::Duration;

use resources::Allowance;
use rustc_hash::FxHashMap;

use crate::rendezvous::{NodeId, rank, rank_strong_first, strong};
use crate::time::Time;
use bucket::Bucket;
use shares::{Shares, Supply};

/// Nodes that own buckets: few, so that each hears of most nodes by their asks alone, and more than one hot organisation
/// needs.
pub const OWNERS: usize = 4;
/// Buckets are kept for organisations that have asked in this time; a later ask finds the same as a first one.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Names the nodes that own buckets.
const OWNERS_KEY: u64 = 0x0a11_0a4c_e5ca_feed;

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Decision {
    /// It may run.
    Granted,
    /// Nobody knows yet how large the fleet is: ask again.
    NotYet,
    /// The allowance is used up.
    Exhausted {
        /// When the next request may run. Until then asking is in vain.
        next: Duration,
        /// When there is room for this one, behind those that were turned away before it.
        retry_after: Duration,
    },
}

/// What a node says when it entrusts its share.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entrusted {
    /// The owners that it asks.
    pub owners: Vec<NodeId>,
    /// Tells this life of its process from those before.
    pub life: u32,
    /// Whether it has started lately, and these are the first owners that it names to the one that hears it.
    pub is_first: bool,
}

/// The nodes that own buckets, of `nodes` with their thousandths of a core.
pub fn owners(nodes: &[(NodeId, u32)]) -> Vec<NodeId> {
    let mut ranked = rank_strong_first(OWNERS_KEY, nodes);
    ranked.truncate(strong(nodes).count().min(OWNERS));
    ranked
}

/// The owner of an organisation's bucket among `owners`.
pub fn owner_of(organisation: u64, owners: &[NodeId]) -> Option<NodeId> {
    rank(organisation, owners.iter().copied()).first().copied()
}

/// What an organisation has used, for reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketReport {
    /// Hash of the organisation's name.
    pub organisation: u64,
    /// Requests that may run now.
    pub left: f64,
    /// Requests granted since the bucket was opened here.
    pub granted: u64,
    /// Requests refused since then.
    pub refused: u64,
}

/// The buckets that one node owns.
#[derive(Debug)]
pub struct Buckets {
    me: NodeId,
    shares: Shares,
    buckets: FxHashMap<u64, Bucket>,
    next_forget: Time,
}

impl Buckets {
    /// Buckets of the node `me`, which knows of no other yet.
    pub fn new(me: NodeId) -> Self {
        Self {
            me,
            shares: Shares::new(),
            buckets: FxHashMap::default(),
            next_forget: Time::default(),
        }
    }

    /// Follows a change of the number of nodes in the fleet, this one and those that are silent included.
    pub fn set_nodes(&mut self, now: Time, nodes: usize) {
        self.shares.set_nodes(now, nodes);
    }

    /// Takes in that `node` entrusts its share from now on.
    pub fn entrust(&mut self, now: Time, node: NodeId, it: &Entrusted) {
        self.shares.entrust(now, node, it);
    }

    /// Decides on one request of an organisation.
    pub fn ask(&mut self, now: Time, organisation: u64, allowance: Allowance) -> Decision {
        let (bucket, supply) = self.bucket(now, organisation);
        bucket.ask(now, supply, allowance)
    }

    /// The same while shares still come in: refuses nobody.
    pub fn ask_early(&mut self, now: Time, organisation: u64, allowance: Allowance) -> Decision {
        let (bucket, supply) = self.bucket(now, organisation);
        match bucket.take(now, supply, allowance) {
            true => Decision::Granted,
            false => Decision::NotYet,
        }
    }

    fn bucket(&mut self, now: Time, organisation: u64) -> (&mut Bucket, Supply) {
        self.forget(now);
        let supply = self.shares.supply(now, self.me, organisation);
        let bucket = self.buckets.entry(organisation).or_insert_with(|| Bucket::new(now));
        (bucket, supply)
    }

    /// The buckets that were asked for lately.
    pub fn report(&self) -> impl Iterator<Item = BucketReport> + '_ {
        self.buckets.iter().map(|(organisation, it)| it.report(*organisation))
    }

    fn forget(&mut self, now: Time) {
        if now >= self.next_forget {
            self.next_forget = now + FORGET_AFTER;
            self.buckets.retain(|_, it| it.is_in_use(now, FORGET_AFTER));
            self.shares.forget(now);
        }
    }
}
