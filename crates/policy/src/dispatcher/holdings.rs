//! What organisations hold of the slots of a service, and what they were granted lately: the basis
//! of weighted max-min fair shares.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::Dispatcher;
use crate::queue::bounded_weight;
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
    /// Slots kept busy by grants of the last seconds, and charges.
    pub(crate) lately: f64,
    /// Weight of the organisation.
    pub(crate) weight: u32,
}

/// Holdings of all organisations at one moment.
pub(crate) type Holdings = FxHashMap<u64, Holding>;

/// Decayed grants by organisation.
#[derive(Debug, Default)]
pub(super) struct RecentGrants {
    by_organisation: FxHashMap<u64, Recent>,
}

#[derive(Clone, Copy, Debug)]
struct Recent {
    /// Decayed sum, in slot seconds.
    work: f64,
    updated: Time,
    weight: u32,
}

impl Recent {
    fn work_at(&self, now: Time) -> f64 {
        self.work * (-now.seconds_since(self.updated) / GRANTS_REMEMBERED.as_secs_f64()).exp()
    }
}

/// The fraction of the slots that an organisation would get beside those that hold slots now.
pub(super) fn fair_fraction(all: &Holdings, organisation: u64, weight: u32) -> f64 {
    let others = all.iter().filter(|(it, holding)| **it != organisation && holding.held > 0);
    let others: f64 = others.map(|(_, it)| bounded_weight(it.weight)).sum();
    let own = bounded_weight(weight);
    own / (own + others)
}

impl RecentGrants {
    /// Adds a grant that is expected to hold its slot for `seconds`, to an organisation given with
    /// its weight.
    pub(super) fn add(&mut self, now: Time, (organisation, weight): (u64, u32), seconds: f64) {
        if self.by_organisation.len() >= MAX_ORGANISATIONS {
            self.by_organisation.retain(|_, it| it.work_at(now) > NEGLIGIBLE);
        }
        let is_full = self.by_organisation.len() >= MAX_ORGANISATIONS;
        if is_full && !self.by_organisation.contains_key(&organisation) {
            return;
        }
        let new = Recent { work: 0.0, updated: now, weight };
        let it = self.by_organisation.entry(organisation).or_insert(new);
        *it = Recent { work: it.work_at(now) + seconds, updated: now, weight };
    }

    /// Charges an organisation with requests that were not granted, as far as it had grants lately.
    pub(super) fn charge(&mut self, now: Time, organisation: u64, seconds: f64) {
        if let Some(it) = self.by_organisation.get_mut(&organisation) {
            *it = Recent { work: it.work_at(now) + seconds, updated: now, ..*it };
        }
    }
}

impl Dispatcher {
    /// Holdings of the organisations. Slots in use follow from the permits, so that no count of
    /// them can be lost.
    pub(super) fn holdings(&self, now: Time) -> Holdings {
        let per_second = 1.0 / GRANTS_REMEMBERED.as_secs_f64();
        let recent = self.contended.recent_grants.by_organisation.iter();
        let mut all: Holdings = recent
            .map(|(organisation, it)| {
                let lately = it.work_at(now) * per_second;
                (*organisation, Holding { held: 0, lately, weight: it.weight })
            })
            .collect();
        for permit in self.permits.values().filter(|it| !it.reported.has_answer()) {
            all.entry(permit.organisation).or_default().held += 1;
        }
        all
    }
}
