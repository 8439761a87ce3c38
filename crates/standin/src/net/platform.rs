//! Simulated platform: the published configuration and registry, and the calls of nodes with their count.

use std::collections::BTreeMap;
use std::time::Duration;

use policy::Time;
use resources::{Document, Position, Published, RegistryChange};

/// Time after which a watch is answered if there are no changes.
pub(super) const WATCH: Duration = Duration::from_millis(700);
/// Maximum number of registry entries in a page.
const PAGE_LEN: usize = 500;

/// The published configuration and registry, and the calls of nodes.
#[derive(Default)]
pub(super) struct Platform {
    /// The newest configuration.
    pub(super) newest_document: Option<Document>,
    /// Changes of the registry, with the revisions 1, 2, 3, ….
    pub(super) registry: Vec<RegistryChange>,
    /// Number of times that the registry was restored from an older copy.
    restores: u32,
    /// Number of calls.
    call_count: u64,
    /// Time of the last counted call of each reader. The simulation polls in every tick, but a watch that waits
    /// counts as one call.
    pub(super) counted: BTreeMap<usize, Time>,
    /// Active call of each node.
    pub(super) calls: BTreeMap<usize, Call>,
    /// Pause of each node after its latest call, if the call had no answer.
    pub(super) pauses: BTreeMap<usize, Duration>,
}

/// An active call to the platform.
#[derive(Clone)]
pub(super) struct Call {
    pub(super) sent: Time,
    pub(super) ends: Time,
    pub(super) answer: Answer,
}

/// Result of a call.
#[derive(Clone)]
pub(super) enum Answer {
    /// No answer in time.
    Lost,
    /// Changes of the configuration and the registry, possibly none.
    Update(Published),
    /// The configuration, if a newer version exists.
    Configuration(Option<Document>),
}

impl Platform {
    /// Returns the number of calls.
    pub(super) fn calls_made(&self) -> u64 {
        self.call_count
    }

    /// Counts the calls that a node makes to get `update`: the configuration and all pages of a full read; the
    /// configuration and a watch if the node continues from a peer's copy; or a single watch.
    pub(super) fn count_calls(&mut self, now: Time, i: usize, update: &Published, is_update: bool) {
        self.call_count += match self.counted.get(&i) {
            _ if update.after.is_none() => 1 + update.endpoints.len().div_ceil(PAGE_LEN) as u64,
            None => 2,
            Some(at) if is_update || now.since(*at) >= WATCH => 1,
            Some(_) => return,
        };
        self.counted.insert(i, now);
    }

    /// Returns the position of a registry change.
    fn position(&self, revision: usize) -> Position {
        Position { era: self.restores + 1, revision: revision as u64 }
    }

    /// Restores the registry from the copy that it had at this revision.
    pub(super) fn restore(&mut self, revision: usize) {
        self.registry.truncate(revision);
        self.restores += 1;
    }

    /// Returns the registry changes after a position, together with a configuration. Returns the complete registry if
    /// the position belongs to an earlier era.
    pub(super) fn since(&self, known: Position, document: Option<Document>) -> Published {
        let latest = self.position(self.registry.len());
        let after = Some(known).filter(|it| it.is_known() && it.era == latest.era);
        let first = after.map_or(0, |it| it.revision as usize);
        let new = self.registry.iter().enumerate().skip(first);
        let endpoints =
            new.map(|(i, it)| RegistryChange { at: self.position(i + 1), ..it.clone() });
        Published {
            unreadable: None,
            after,
            complete_to: latest,
            document,
            endpoints: endpoints.collect(),
        }
    }
}
