//! Rests that an endpoint has asked single nodes for.

use std::time::Duration;

use crate::rendezvous::NodeId;
use crate::time::Time;

/// Longest rest that is kept to. One that wants more says so again.
const MAX_REST: Duration = Duration::from_secs(600);

/// Until when an endpoint wants nothing from which nodes.
#[derive(Clone, Debug, Default)]
pub(super) struct Rests(Vec<(NodeId, Time)>);

impl Rests {
    /// Takes in that a node is asked for a rest. Returns whether it had none.
    pub(super) fn ask(&mut self, now: Time, node: NodeId, length: Duration) -> bool {
        self.0.retain(|(_, until)| now < *until);
        let until = now + length.min(MAX_REST);
        match self.0.iter_mut().find(|(it, _)| *it == node) {
            Some((_, known)) => {
                *known = until.max(*known);
                false
            }
            None => {
                self.0.push((node, until));
                true
            }
        }
    }

    /// For how much longer a node is to send nothing.
    pub(super) fn left(&self, now: Time, node: NodeId) -> Duration {
        let until = self.0.iter().find(|(it, _)| *it == node).map(|(_, until)| *until);
        until.map_or(Duration::ZERO, |it| it.since(now))
    }

    /// Nodes that are asked for a rest now.
    pub(super) fn count(&self, now: Time) -> usize {
        self.0.iter().filter(|(_, until)| now < *until).count()
    }
}
