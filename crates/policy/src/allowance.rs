//! Allowances of organisations over the whole fleet, without shared state.
//!
//! Each organisation has a token bucket at one owner node, which is chosen by rendezvous hashing
//! among a few strong nodes. The refill of a bucket depends on what nodes report, not on what the
//! owner remembers: each node holds an equal share of every allowance and delegates it to one set
//! of owners at a time, by naming the owners that it asks. A bucket is refilled in proportion to
//! the shares delegated to its owner (`shares`). Each side of a partitioned fleet therefore grants
//! only its part of an allowance, an owner that takes over starts with an initial credit from the
//! delegating nodes, and two owners of the same bucket together grant no more than one.
//!
//! This handles an organisation that sends many times its allowance while others use nine tenths of
//! theirs: the former gets its rate, the others lose nothing.

mod bucket;
mod shares;

use std::time::Duration;

use resources::Allowance;
use rustc_hash::FxHashMap;

use crate::rendezvous::{NodeId, rank, rank_strong_first, strong};
use crate::time::Time;
use bucket::Bucket;
use shares::{Shares, Supply};

/// Number of nodes that own buckets. Few, so that each owner receives asks from most nodes often
/// enough to know their shares; more than one, in case an organisation sends very many requests.
pub const OWNERS: usize = 4;
/// Buckets without an ask for this long are dropped. A later ask gets the same result from a new
/// bucket.
const UNUSED_AFTER: Duration = Duration::from_secs(60);
/// Rendezvous key that selects the nodes that own buckets.
const OWNERS_KEY: u64 = 0x0a11_0a4c_e5ca_feed;

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Decision {
    /// The request may run.
    Granted,
    /// The size of the fleet is not known yet: ask again.
    NotYet,
    /// The allowance is used up.
    Exhausted {
        /// Time until the next request may run. Asking earlier cannot succeed.
        next: Duration,
        /// Time until this request may run, after those that were refused before it.
        retry_after: Duration,
    },
}

/// The message by which a node delegates its shares of all allowances.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Delegation {
    /// The owners that the node asks.
    pub owners: Vec<NodeId>,
    /// Distinguishes this process of the node from earlier ones.
    pub incarnation: u32,
    /// Whether the process started recently and names owners to this recipient for the first time.
    pub is_first: bool,
}

/// The nodes that own buckets, chosen from `nodes`, which are given with their millicores.
pub fn owners(nodes: &[(NodeId, u32)]) -> Vec<NodeId> {
    let mut ranked = rank_strong_first(OWNERS_KEY, nodes);
    ranked.truncate(strong(nodes).count().min(OWNERS));
    ranked
}

/// The owner of an organisation's bucket among `owners`.
pub fn owner_of(organisation: u64, owners: &[NodeId]) -> Option<NodeId> {
    rank(organisation, owners.iter().copied()).first().copied()
}

/// The state of one bucket, for reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketReport {
    /// Hash of the organisation's name.
    pub organisation: u64,
    /// Requests that may run now.
    pub left: f64,
    /// Requests granted since the bucket was created here.
    pub granted: u64,
    /// Requests refused since the bucket was created here.
    pub refused: u64,
}

/// The buckets that one node owns.
#[derive(Debug)]
pub struct Buckets {
    me: NodeId,
    shares: Shares,
    buckets: FxHashMap<u64, Bucket>,
    next_cleanup: Time,
}

impl Buckets {
    /// Creates the buckets of the node `me`, which knows no other node yet.
    pub fn new(me: NodeId) -> Self {
        Self {
            me,
            shares: Shares::new(),
            buckets: FxHashMap::default(),
            next_cleanup: Time::default(),
        }
    }

    /// Applies a change of the number of nodes in the fleet. The number includes this node and
    /// nodes that are not responding.
    pub fn set_nodes(&mut self, now: Time, nodes: usize) {
        self.shares.set_nodes(now, nodes);
    }

    /// Applies that `node` delegates its shares from now on.
    pub fn delegate(&mut self, now: Time, node: NodeId, it: &Delegation) {
        self.shares.delegate(now, node, it);
    }

    /// Decides on one request of an organisation.
    pub fn ask(&mut self, now: Time, organisation: u64, allowance: Allowance) -> Decision {
        let (bucket, supply) = self.bucket(now, organisation);
        bucket.ask(now, supply, allowance)
    }

    /// Like [`Self::ask`], but refuses nothing because not all shares may have been delegated yet.
    pub fn ask_early(&mut self, now: Time, organisation: u64, allowance: Allowance) -> Decision {
        let (bucket, supply) = self.bucket(now, organisation);
        match bucket.take(now, supply, allowance) {
            true => Decision::Granted,
            false => Decision::NotYet,
        }
    }

    fn bucket(&mut self, now: Time, organisation: u64) -> (&mut Bucket, Supply) {
        self.drop_unused(now);
        let supply = self.shares.supply(now, self.me, organisation);
        let bucket = self.buckets.entry(organisation).or_insert_with(|| Bucket::new(now));
        (bucket, supply)
    }

    /// The state of all buckets that are in use.
    pub fn report(&self) -> impl Iterator<Item = BucketReport> + '_ {
        self.buckets.iter().map(|(organisation, it)| it.report(*organisation))
    }

    fn drop_unused(&mut self, now: Time) {
        if now >= self.next_cleanup {
            self.next_cleanup = now + UNUSED_AFTER;
            self.buckets.retain(|_, it| it.is_in_use(now, UNUSED_AFTER));
            self.shares.drop_outdated(now);
        }
    }
}
