//! Allowances between nodes: asks the owner of an organisation's bucket whether one more request may run, and answers
//! those that ask this node.
//!
//! Each ask names the owners that its node asks, which entrusts its share of all allowances to them
//! (`policy::Buckets`). A node that has nothing to ask says so as often as needed.

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
        /// Which ask of the sender it is.
        seq: u64,
        /// Hash of the organisation's name.
        organisation: u64,
        /// The owners that the sender asks now.
        entrusted: Delegation,
    },
    /// Answers an ask.
    Answer {
        /// Which one.
        seq: u64,
        /// The answer.
        decision: Decision,
    },
    /// Names the owners that the sender asks.
    Entrust(Delegation),
}
