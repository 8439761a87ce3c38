//! Dispatch by failure domain: a dispatcher that holds the endpoints of one failure domain, with
//! the loads of the others.

use rand::Rng;

use super::Dispatcher;
use crate::domain_load::DomainLoad;
use crate::permit::{Ask, Reply};
use crate::time::Time;

impl Dispatcher {
    /// The load in each failure domain in which this dispatcher holds endpoints, in order of their
    /// hashes. A dispatcher of one failure domain sends it to those of the others.
    pub fn domain_loads(&self, _now: Time) -> Vec<DomainLoad> {
        Vec::new()
    }

    /// Updates the loads of failure domains whose slots other nodes grant, received at `now`. A
    /// later load of the same failure domain replaces the earlier one, and loads of failure domains
    /// that are not listed stay until they are too old. Loads of failure domains in which this
    /// dispatcher holds endpoints are ignored.
    pub fn set_remote_loads(&mut self, _now: Time, _loads: &[DomainLoad]) {}

    /// Answers a request for a slot like [`Self::ask`], or with [`Reply::Elsewhere`] if the request
    /// has to leave the failure domains of this dispatcher. If it is queued, the later reply may
    /// also be [`Reply::Elsewhere`]. The permit id is free again after such a reply here, and the
    /// asker uses [`SendKind::again`](crate::SendKind::again) for the ask elsewhere.
    pub fn ask_redirecting(&mut self, now: Time, ask: Ask, rng: &mut impl Rng) -> Reply {
        self.ask(now, ask, rng)
    }
}
