//! Notices that endpoints send about themselves in their answers: rate limits, leaving, back-off.

use std::net::SocketAddr;
use std::time::Duration;

use super::{Dispatcher, MIN_RETRY_AFTER};
use crate::notice::Notice;
use crate::permit::Ask;
use crate::rendezvous::NodeId;
use crate::rotation::{EndpointStatus, State};
use crate::time::Time;

/// Longest time for which an endpoint is treated as full for all nodes after it asked one node to
/// back off.
const MAX_FULL_AFTER_BACKOFF: Duration = Duration::from_secs(1);

/// `retry_after` for a request that must not use the failure domains of the available endpoints.
/// Such a request is not queued.
const BARRED_RETRY_AFTER: Duration = Duration::from_secs(5);

impl Dispatcher {
    /// Applies a notice that an endpoint sent in an answer to the node `by`. Notices of another
    /// incarnation are ignored. Returns whether the notice was new.
    pub fn noticed(
        &mut self,
        now: Time,
        by: NodeId,
        id: &str,
        started_ms: u64,
        notice: Notice,
    ) -> bool {
        let Some(endpoint) = self.detector.rotation.position(id) else { return false };
        if self.endpoints()[endpoint].started_ms != started_ms {
            return false;
        }
        match notice {
            Notice::RateLimit(limit) => {
                self.loads[endpoint].advertised.pacer.observe(now, now, limit)
            }
            Notice::Leaving => {
                self.detector.rotation.mark_leaving(now, endpoint);
                !std::mem::replace(&mut self.loads[endpoint].advertised.is_leaving, true)
            }
            Notice::Backoff(length) => {
                let load = &mut self.loads[endpoint];
                load.full_until = load.full_until.max(now + length.min(MAX_FULL_AFTER_BACKOFF));
                load.advertised.backoffs.request(now, by, length)
            }
        }
    }

    /// Whether an endpoint takes no requests of a node because it is leaving, because of its notices,
    /// or because it is evacuated.
    pub fn is_closed(&self, now: Time, node: NodeId, id: &str, started_ms: u64) -> bool {
        let Some(i) = self.detector.rotation.position(id) else { return false };
        let (it, load) = (&self.endpoints()[i], &self.loads[i]);
        let is_closed = it.is_evacuated
            || it.state == State::Leaving
            || load.advertised.is_closed_to(now, node);
        is_closed && it.started_ms == started_ms
    }

    /// Addresses of the endpoints that take no requests of a node because of their notices.
    pub fn closed(&self, now: Time, node: NodeId) -> Vec<SocketAddr> {
        self.closed_to(now, node).map(|it| it.addr).take(Ask::MAX_CLOSED).collect()
    }

    fn closed_to(&self, now: Time, node: NodeId) -> impl Iterator<Item = &EndpointStatus> {
        let all = self.endpoints().iter().zip(&self.loads);
        all.filter(move |(_, load)| load.advertised.is_closed_to(now, node)).map(|(it, _)| it)
    }

    /// Restores the advertisements of endpoints whose registry entries had lapsed and are back.
    pub(super) fn restore_advertised(&mut self, now: Time) {
        for i in 0..self.loads.len() {
            let it = &self.detector.rotation.endpoints()[i];
            if let Some(advertised) = self.lapsed.take(now, &it.id, it.started_ms) {
                self.loads[i].advertised = advertised;
            }
        }
        self.apply_advertised_leaving(now);
    }

    /// Takes endpoints out of rotation that have advertised that they are leaving, whatever the
    /// registry says.
    pub(super) fn apply_advertised_leaving(&mut self, now: Time) {
        for i in (0..self.loads.len()).filter(|i| self.loads[*i].advertised.is_leaving) {
            self.detector.rotation.mark_leaving(now, i);
        }
    }

    /// Whether an endpoint has asked some node to back off.
    pub(super) fn has_backoffs(&self, now: Time) -> bool {
        self.loads.iter().any(|it| it.advertised.backoffs.count(now) > 0)
    }

    /// Returns a `retry_after` if no usable endpoint takes the request within the longest
    /// acceptable wait, because all have asked the node to back off or are in failure domains that
    /// the request must not use. It is short if other nodes could be served at once.
    pub(super) fn retry_after_if_closed(&self, now: Time, ask: &Ask) -> Option<Duration> {
        let node = ask.reporter.node;
        let mut backoffs = Vec::new();
        for (it, load) in self.endpoints().iter().zip(&self.loads) {
            if it.usable_slots(now) == 0 {
                continue;
            }
            if ask.excludes(load.failure_domain) {
                backoffs.push((BARRED_RETRY_AFTER, false));
                continue;
            }
            let backoff = load.advertised.backoffs.remaining(now, node);
            if backoff.is_zero() && !ask.closed.contains(&it.addr) {
                return None;
            }
            backoffs.push((backoff, load.advertised.backoffs.count(now) < self.nodes));
        }
        let (soonest, _) = backoffs.iter().min()?;
        let others_may_send = backoffs.iter().any(|(_, is_open_to_others)| *is_open_to_others);
        let retry_after =
            if others_may_send { MIN_RETRY_AFTER } else { (*soonest).max(MIN_RETRY_AFTER) };
        (*soonest > self.max_wait(ask)).then_some(retry_after)
    }
}
