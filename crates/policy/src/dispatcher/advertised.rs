//! What endpoints have advertised about themselves in their answers.

use std::time::Duration;

use resources::Name;
use rustc_hash::FxHashMap;

use crate::rate_limit::Pace;
use crate::rendezvous::NodeId;
use crate::time::Time;

/// Longest back-off that is honoured. An endpoint that needs more asks for it again.
const MAX_REST: Duration = Duration::from_secs(600);
/// How long advertisements are kept after an endpoint's registry entry has gone: the entry may only
/// have lapsed for a moment.
const REMEMBERED_FOR: Duration = Duration::from_secs(60);
/// Maximum number of endpoints without an entry whose advertisements are kept; the oldest is
/// dropped first.
const MAX_REMEMBERED: usize = 256;

/// Advertisements of one incarnation of an endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct Said {
    /// Rate limit, and the pacing of sends under it.
    pub(super) pace: Pace,
    /// Whether the endpoint has announced that it is leaving.
    pub(super) is_leaving: bool,
    pub(super) rests: Rests,
}

impl Said {
    /// Whether the endpoint takes no requests of a node.
    pub(super) fn is_closed_to(&self, now: Time, node: NodeId) -> bool {
        self.is_leaving || !self.rests.left(now, node).is_zero()
    }

    fn is_anything(&self, now: Time) -> bool {
        self.is_leaving || self.pace.limit().is_some() || self.rests.count(now) > 0
    }
}

/// The nodes that an endpoint has asked to back off, and until when.
#[derive(Clone, Debug, Default)]
pub(super) struct Rests(Vec<(NodeId, Time)>);

impl Rests {
    /// Records that a node is asked to back off. Returns whether it had no back-off before.
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

    /// Remaining back-off of a node.
    pub(super) fn left(&self, now: Time, node: NodeId) -> Duration {
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
pub(super) struct Remembered(FxHashMap<(Name, u64), Absent>);

#[derive(Clone, Debug)]
struct Absent {
    said: Said,
    since: Time,
}

impl Remembered {
    /// Keeps the advertisements of an incarnation of an endpoint, if there are any.
    pub(super) fn keep(&mut self, now: Time, id: &Name, started_ms: u64, said: &Said) {
        if !said.is_anything(now) {
            return;
        }
        self.0.retain(|_, it| now.since(it.since) < REMEMBERED_FOR);
        if self.0.len() >= MAX_REMEMBERED {
            let first = self.0.iter().min_by_key(|(_, it)| it.since).map(|(key, _)| key.clone());
            first.into_iter().for_each(|it| drop(self.0.remove(&it)));
        }
        self.0.insert((id.clone(), started_ms), Absent { said: said.clone(), since: now });
    }

    /// Returns and removes the advertisements of an incarnation that is back, unless they are too
    /// old.
    pub(super) fn take(&mut self, now: Time, id: &Name, started_ms: u64) -> Option<Said> {
        if self.0.is_empty() {
            return None;
        }
        let known = self.0.remove(&(id.clone(), started_ms))?;
        (now.since(known.since) < REMEMBERED_FOR).then_some(known.said)
    }
}
