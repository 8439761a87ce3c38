//! What is known of an endpoint by its own words.

use std::time::Duration;

use resources::Name;
use rustc_hash::FxHashMap;

use crate::rate_limit::Pacer;
use crate::rendezvous::NodeId;
use crate::time::Time;

/// Longest rest that is kept to. One that wants more says so again.
const MAX_REST: Duration = Duration::from_secs(600);
/// What an endpoint has said is remembered for this long after its entry went from the registry: it may only have lapsed.
const REMEMBERED_FOR: Duration = Duration::from_secs(60);
/// Endpoints without an entry that are remembered at most; those that went first are forgotten first.
const MAX_REMEMBERED: usize = 256;

/// What one life of an endpoint has said of itself.
#[derive(Clone, Debug, Default)]
pub(super) struct Said {
    /// Its rate limit.
    pub(super) pace: Pacer,
    /// It leaves.
    pub(super) is_leaving: bool,
    pub(super) rests: Rests,
}

impl Said {
    /// Whether it wants no request of a node.
    pub(super) fn is_closed_to(&self, now: Time, node: NodeId) -> bool {
        self.is_leaving || !self.rests.left(now, node).is_zero()
    }

    fn is_anything(&self, now: Time) -> bool {
        self.is_leaving || self.pace.limit().is_some() || self.rests.count(now) > 0
    }
}

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

/// What lives of endpoints had said whose entries went from the registry, by identity and start.
#[derive(Clone, Debug, Default)]
pub(super) struct Remembered(FxHashMap<(Name, u64), Absent>);

#[derive(Clone, Debug)]
struct Absent {
    said: Said,
    since: Time,
}

impl Remembered {
    /// Remembers what a life of an endpoint had said, if it matters.
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

    /// What a life of an endpoint that is back had said.
    pub(super) fn take(&mut self, now: Time, id: &Name, started_ms: u64) -> Option<Said> {
        if self.0.is_empty() {
            return None;
        }
        let known = self.0.remove(&(id.clone(), started_ms))?;
        (now.since(known.since) < REMEMBERED_FOR).then_some(known.said)
    }
}
