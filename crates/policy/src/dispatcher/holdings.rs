//! What organisations hold of the slots of a service, and what they were granted lately: the basis
//! of weighted max-min fair shares.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::Dispatcher;
use crate::time::Time;

/// Time constant with which past grants are forgotten. About the length of a few requests: an
/// organisation whose burst has ended competes on equal terms soon after.
const GRANTS_REMEMBERED: Duration = Duration::from_secs(2);
/// Maximum number of organisations whose past grants are remembered.
const MAX_ORGANISATIONS: usize = 4_096;
/// Decayed grants below which an organisation is forgotten, in slot seconds.
const NEGLIGIBLE: f64 = 0.01;

/// Slots in use by an organisation, and slots that it used on average lately.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Holding {
    /// Slots in use now.
    pub(crate) held: u32,
    /// Slots kept busy by grants of the last seconds.
    pub(crate) lately: f64,
}

/// Holdings of all organisations at one moment.
pub(crate) type Holdings = FxHashMap<u64, Holding>;

/// Decayed grants by organisation.
#[derive(Debug, Default)]
pub(super) struct RecentGrants {
    by_organisation: FxHashMap<u64, (f64, Time)>,
}

fn decayed(now: Time, (work, updated): (f64, Time)) -> f64 {
    work * (-now.seconds_since(updated) / GRANTS_REMEMBERED.as_secs_f64()).exp()
}

impl RecentGrants {
    /// Adds a grant that is expected to hold its slot for `seconds`.
    pub(super) fn add(&mut self, now: Time, organisation: u64, seconds: f64) {
        if self.by_organisation.len() >= MAX_ORGANISATIONS {
            self.by_organisation.retain(|_, it| decayed(now, *it) > NEGLIGIBLE);
        }
        let is_full = self.by_organisation.len() >= MAX_ORGANISATIONS;
        if is_full && !self.by_organisation.contains_key(&organisation) {
            return;
        }
        let it = self.by_organisation.entry(organisation).or_insert((0.0, now));
        *it = (decayed(now, *it) + seconds, now);
    }
}

impl Dispatcher {
    /// Holdings of the organisations. Slots in use follow from the permits, so that no count of
    /// them can be lost.
    pub(super) fn holdings(&self, now: Time) -> Holdings {
        let per_second = 1.0 / GRANTS_REMEMBERED.as_secs_f64();
        let recent = self.contended.recent_grants.by_organisation.iter();
        let lately = |it: &(f64, Time)| decayed(now, *it) * per_second;
        let mut all: Holdings =
            recent.map(|(it, work)| (*it, Holding { held: 0, lately: lately(work) })).collect();
        for permit in self.permits.values().filter(|it| !it.reported.has_answer()) {
            all.entry(permit.organisation).or_default().held += 1;
        }
        all
    }
}
