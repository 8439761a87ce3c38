//! The observed outcome of a request, as one node reports it to another.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::rendezvous::NodeId;

/// How a request ended, as far as the reporter can tell without a comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A complete answer.
    Answered,
    /// Still open, or a body without progress, after the requested time.
    Stalled,
    /// Connection lost, answer broken off, or a server error.
    Failed,
    /// The connection broke, and the endpoint's process had ended.
    Crashed,
    /// No connection could be made; nothing was sent.
    Unreachable,
    /// Refused before any work because the endpoint is full.
    Shed,
    /// Given up by the reporter's side while still open, as when the caller has disconnected.
    Abandoned,
    /// Given up because a hedge that was sent later was answered first.
    LostToHedge,
    /// No answer until the deadline of the request.
    TimedOut,
}

impl Kind {
    /// Whether the request is open, or was given up, without an answer.
    pub fn is_silence(self) -> bool {
        matches!(self, Self::Stalled | Self::LostToHedge | Self::TimedOut | Self::Abandoned)
    }
}

/// The observer of an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reporter {
    /// The node.
    pub node: NodeId,
    /// Hash of the node's failure domain.
    pub failure_domain: u64,
}

/// One observed outcome of a real request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// The observer.
    pub reporter: Reporter,
    /// Position of the endpoint in the rotation of the recipient.
    #[serde(skip)]
    pub endpoint: usize,
    /// Hash of the route's name.
    pub route: u32,
    /// How the request ended.
    pub kind: Kind,
    /// Time from the send to the outcome; for an unanswered request, how long it was open.
    pub elapsed: Duration,
}
