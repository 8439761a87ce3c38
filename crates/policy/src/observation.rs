//! What a node tells of a request: how it ended, where, and who saw it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::rendezvous::NodeId;

/// How a request ended, as far as the reporter can tell without comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A whole answer.
    Answered,
    /// Still open, or a body that has stopped moving, after the time that was asked for.
    Stalled,
    /// Connection lost, answer broken off, or a server error.
    Failed,
    /// The connection broke, and the endpoint's process had ended.
    Crashed,
    /// No connection could be made; nothing was sent.
    Unreachable,
    /// Refused before any work because the endpoint is full.
    Shed,
    /// Given up by the reporter's own side while it was still open, as when the caller has left.
    Abandoned,
    /// Given up because a hedge that was sent later was answered first.
    Beaten,
    /// No answer until the deadline of the request.
    TimedOut,
}

impl Kind {
    /// Whether the request is open, or was given up, without an answer.
    pub fn is_silence(self) -> bool {
        matches!(self, Self::Stalled | Self::Beaten | Self::TimedOut | Self::Abandoned)
    }
}

/// Who observed an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reporter {
    /// The node.
    pub node: NodeId,
    /// Hash of its failure domain.
    pub failure_domain: u64,
}

/// One outcome of real work.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// Who observed it.
    pub reporter: Reporter,
    /// Position of the endpoint in the rotation of whoever takes it in.
    #[serde(skip)]
    pub endpoint: usize,
    /// Hash of the route's name.
    pub route: u32,
    /// How it ended.
    pub kind: Kind,
    /// Time from the send to the outcome, or, of a silence, its length.
    pub elapsed: Duration,
}
