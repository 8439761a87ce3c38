//! What endpoints say of themselves.

use std::net::SocketAddr;
use std::time::Duration;

use super::{Dispatcher, MIN_RETRY_AFTER};
use crate::notice::Notice;
use crate::permit::Ask;
use crate::rendezvous::NodeId;
use crate::rotation::EndpointStatus;
use crate::time::Time;

/// An endpoint that asks one node for rest is used last by all for this long at most.
const MAX_FULL: Duration = Duration::from_secs(1);

/// Endpoints of a failure domain that a request must not use are not waited for. It may come back after this.
const BARRED_FOR: Duration = Duration::from_secs(5);

impl Dispatcher {
    /// Learns what an endpoint said of itself in an answer to the node `by`. What another life of it said is passed over.
    /// Returns whether it is news.
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
            Notice::RateLimit(limit) => self.loads[endpoint].said.pace.observe(now, now, limit),
            Notice::Leaving => {
                self.judge.rotation.mark_leaving(now, endpoint);
                !std::mem::replace(&mut self.loads[endpoint].said.is_leaving, true)
            }
            Notice::Backoff(length) => {
                let load = &mut self.loads[endpoint];
                load.full_until = load.full_until.max(now + length.min(MAX_FULL));
                load.said.rests.ask(now, by, length)
            }
        }
    }

    /// Whether an endpoint has said that it wants no request of a node, or is evacuated.
    pub fn is_closed(&self, now: Time, node: NodeId, id: &str, started_ms: u64) -> bool {
        let Some(i) = self.judge.rotation.position(id) else { return false };
        let (it, load) = (&self.endpoints()[i], &self.loads[i]);
        let is_closed = it.is_evacuated || load.said.is_closed_to(now, node);
        is_closed && it.started_ms == started_ms
    }

    /// The endpoints that have said that they want no request of a node.
    pub fn closed(&self, now: Time, node: NodeId) -> Vec<SocketAddr> {
        self.closed_to(now, node).map(|it| it.addr).take(Ask::MAX_CLOSED).collect()
    }

    fn closed_to(&self, now: Time, node: NodeId) -> impl Iterator<Item = &EndpointStatus> {
        let all = self.endpoints().iter().zip(&self.loads);
        all.filter(move |(_, load)| load.said.is_closed_to(now, node)).map(|(it, _)| it)
    }

    /// What endpoints had said whose entries were gone for a moment holds again.
    pub(super) fn recall(&mut self, now: Time) {
        for i in 0..self.loads.len() {
            let it = &self.judge.rotation.endpoints()[i];
            if let Some(said) = self.remembered.take(now, &it.id, it.started_ms) {
                self.loads[i].said = said;
            }
        }
        self.leave_as_said(now);
    }

    /// Takes endpoints that have said that they leave out of rotation, whatever the registry tells.
    pub(super) fn leave_as_said(&mut self, now: Time) {
        for i in (0..self.loads.len()).filter(|i| self.loads[*i].said.is_leaving) {
            self.judge.rotation.mark_leaving(now, i);
        }
    }

    /// Whether an endpoint wants nothing from some node for a while.
    pub(super) fn has_rests(&self, now: Time) -> bool {
        self.loads.iter().any(|it| it.said.rests.count(now) > 0)
    }

    /// When to come back, if all endpoints that take work want nothing from the asker for longer than it has patience, or
    /// stand where the request must not go. Other nodes may be served at once.
    pub(super) fn closed_for(&self, now: Time, ask: &Ask) -> Option<Duration> {
        let node = ask.reporter.node;
        let mut rests = Vec::new();
        for (it, load) in self.endpoints().iter().zip(&self.loads) {
            if it.usable_slots(now) == 0 {
                continue;
            }
            if ask.excludes(load.failure_domain) {
                rests.push((BARRED_FOR, false));
                continue;
            }
            let rest = load.said.rests.left(now, node);
            if rest.is_zero() && !ask.closed.contains(&it.addr) {
                return None;
            }
            rests.push((rest, load.said.rests.count(now) < self.nodes));
        }
        let (soonest, _) = rests.iter().min()?;
        let elsewhere = rests.iter().any(|(_, is_open_to_others)| *is_open_to_others);
        let retry_after = if elsewhere { MIN_RETRY_AFTER } else { (*soonest).max(MIN_RETRY_AFTER) };
        (*soonest > self.patience(ask)).then_some(retry_after)
    }
}
