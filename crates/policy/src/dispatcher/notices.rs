//! What endpoints say of themselves.

use std::net::SocketAddr;

use super::Dispatcher;
use crate::notice::Notice;
use crate::permit::Ask;
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
            Notice::Leaving => {
                self.judge.rotation.leave(now, endpoint);
                !std::mem::replace(&mut self.loads[endpoint].is_leaving, true)
            }
            Notice::Rest(length) => self.loads[endpoint].rests.ask(now, by, length),
        }
    }

    /// Whether an endpoint wants no request, by what it has said itself to this node.
    pub fn is_closed(&self, id: &str, started_ms: u64) -> bool {
        let known = self.judge.rotation.position(id);
        known.is_some_and(|i| {
            self.endpoints()[i].started_ms == started_ms && self.loads[i].is_leaving
        })
    }

    /// The endpoints that want no request, by what they have said themselves to this node.
    pub fn closed(&self) -> Vec<SocketAddr> {
        let all = self.endpoints().iter().zip(&self.loads);
        let closed = all.filter(|(_, load)| load.is_leaving).map(|(it, _)| it.addr);
        closed.take(Ask::MAX_CLOSED).collect()
    }
}
