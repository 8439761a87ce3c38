//! What endpoints have advertised about themselves in their answers.

use std::time::Duration;

use resources::Name;
use rustc_hash::FxHashMap;

use crate::rate_limit::Pacer;
use crate::rendezvous::NodeId;
use crate::time::Time;

/// Longest back-off that is honoured. An endpoint that needs more asks for it again.
const MAX_BACKOFF: Duration = Duration::from_secs(600);
/// How long advertisements are kept after an endpoint's registry entry has gone: the entry may only
/// have lapsed for a moment.
const LAPSED_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of endpoints without an entry whose advertisements are kept; the oldest is
/// dropped first.
const MAX_LAPSED: usize = 256;

/// Advertisements of one incarnation of an endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct Advertised {
    /// Rate limit, and the pacing of sends under it.
    pub(super) pacer: Pacer,
    /// Whether the endpoint has announced that it is leaving.
    pub(super) is_leaving: bool,
    pub(super) backoffs: Backoffs,
}

impl Advertised {
    /// Whether the endpoint takes no requests of a node.
    pub(super) fn is_closed_to(&self, now: Time, node: NodeId) -> bool {
        self.is_leaving || !self.backoffs.remaining(now, node).is_zero()
    }

    fn is_relevant(&self, now: Time) -> bool {
        self.is_leaving || self.pacer.limit().is_some() || self.backoffs.count(now) > 0
    }
}

/// The nodes that an endpoint has asked to back off, and until when.
#[derive(Clone, Debug, Default)]
pub(super) struct Backoffs(Vec<(NodeId, Time)>);

impl Backoffs {
    /// Records that a node is asked to back off. Returns whether it had no back-off before.
    pub(super) fn request(&mut self, now: Time, node: NodeId, length: Duration) -> bool {
        self.0.retain(|(_, until)| now < *until);
        let until = now + length.min(MAX_BACKOFF);
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

    /// Remaining back-off of a node.
    pub(super) fn remaining(&self, now: Time, node: NodeId) -> Duration {
        let until = self.0.iter().find(|(it, _)| *it == node).map(|(_, until)| *until);
        until.map_or(Duration::ZERO, |it| it.since(now))
    }

    /// Number of nodes with a back-off.
    pub(super) fn count(&self, now: Time) -> usize {
        self.0.iter().filter(|(_, until)| now < *until).count()
    }
}

/// Advertisements of endpoints whose registry entries have gone, by identity and start time.
#[derive(Clone, Debug, Default)]
pub(super) struct LapsedEndpoints(FxHashMap<(Name, u64), LapsedEndpoint>);

#[derive(Clone, Debug)]
struct LapsedEndpoint {
    advertised: Advertised,
    since: Time,
}

impl LapsedEndpoints {
    /// Keeps the advertisements of an incarnation of an endpoint, if there are any.
    pub(super) fn keep(&mut self, now: Time, id: &Name, started_ms: u64, advertised: &Advertised) {
        if !advertised.is_relevant(now) {
            return;
        }
        self.0.retain(|_, it| now.since(it.since) < LAPSED_RETENTION);
        if self.0.len() >= MAX_LAPSED {
            let first = self.0.iter().min_by_key(|(_, it)| it.since).map(|(key, _)| key.clone());
            first.into_iter().for_each(|it| drop(self.0.remove(&it)));
        }
        self.0.insert(
            (id.clone(), started_ms),
            LapsedEndpoint { advertised: advertised.clone(), since: now },
        );
    }

    /// Returns and removes the advertisements of an incarnation that is back, unless they are too
    /// old.
    pub(super) fn take(&mut self, now: Time, id: &Name, started_ms: u64) -> Option<Advertised> {
        if self.0.is_empty() {
            return None;
        }
        let known = self.0.remove(&(id.clone(), started_ms))?;
        (now.since(known.since) < LAPSED_RETENTION).then_some(known.advertised)
    }
}
