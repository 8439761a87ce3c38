//! What endpoints say of themselves.

use super::Dispatcher;
use crate::notice::Notice;
use crate::rendezvous::NodeId;
use crate::time::Time;

impl Dispatcher {
    /// Learns what an endpoint said of itself in an answer to the node `by`. What another life of it said is passed over. Returns whether it
    /// is news.
    pub fn noticed(
        &mut self,
        now: Time,
        by: NodeId,
        id: &str,
        started_ms: u64,
        notice: Notice,
    ) -> bool {
        let Some(endpoint) = self.judge.rotation.position(id) else { return false };
        if self.endpoints()[endpoint].started_ms != started_ms {
            return false;
        }
        match notice {
            Notice::RateLimit(limit) => self.rate_limited(now, endpoint, limit),
            Notice::Leaving => !std::mem::replace(&mut self.loads[endpoint].is_leaving, true),
            Notice::Rest(length) => self.loads[endpoint].rests.ask(now, by, length),
        }
    }
}
