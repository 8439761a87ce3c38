//! Allowances between nodes: asks the owner of an organisation's bucket whether one more request
//! may run, and answers the asks of other nodes.
//!
//! Each ask names the owners that the asking node currently uses, and delegates the node's share of
//! all allowances to them (see `policy::Buckets`). A node without asks sends the same delegation
//! periodically.

mod client;
mod owner;

use policy::{Decision, Delegation};
use serde::{Deserialize, Serialize};

pub use client::{AllowanceAction, AllowanceClient, AllowanceOutcome};
pub use owner::{AllowanceOwner, OwnerPhase};

/// Messages about allowances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AllowanceMessage {
    /// Asks whether a request may run.
    Ask {
        /// Number of the ask at its sender.
        seq: u64,
        /// Hash of the organisation's name.
        organisation: u64,
        /// The owners that the sender currently uses.
        delegation: Delegation,
    },
    /// Answers an ask.
    Answer {
        /// Number of the ask.
        seq: u64,
        /// The decision.
        decision: Decision,
    },
    /// Names the owners that the sender currently uses.
    Delegate(Delegation),
}
