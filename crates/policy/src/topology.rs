//! Regions of failure domains, and the distance between two failure domains.

use std::sync::Arc;

use resources::Name;
use rustc_hash::FxHashMap;

use crate::rendezvous::stable_hash;

/// The region of each failure domain, both as hashes of their names.
#[derive(Clone, Debug, Default)]
pub struct Topology(Arc<FxHashMap<u64, u64>>);

/// Distance of an endpoint from the node that sends to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Distance {
    /// In the same failure domain.
    Near,
    /// In another failure domain of the same region, or of an unknown region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

impl Distance {
    /// From near to far.
    pub(crate) const ALL: [Self; 3] = [Self::Near, Self::SameRegion, Self::OtherRegion];
}

impl Topology {
    /// A topology of pairs of failure domain and region.
    pub fn new<'a>(all: impl Iterator<Item = (&'a str, &'a str)>) -> Self {
        let hash = |it: &str| stable_hash(it.as_bytes());
        Self(Arc::new(all.map(|(domain, region)| (hash(domain), hash(region))).collect()))
    }

    /// Hashes of the failure domains in any of these regions.
    pub fn domains_in(&self, regions: &[Name]) -> Vec<u64> {
        let regions: Vec<u64> = regions.iter().map(|it| stable_hash(it.as_bytes())).collect();
        let inside = self.0.iter().filter(|(_, region)| regions.contains(region));
        inside.map(|(domain, _)| *domain).collect()
    }

    /// Whether two failure domains are in the same region. An unknown region counts as the same.
    pub fn is_same_region(&self, a: u64, b: u64) -> bool {
        match (self.region_of(a), self.region_of(b)) {
            (Some(a), Some(b)) => a == b,
            _ => true,
        }
    }

    /// Hash of the region of a failure domain.
    pub(crate) fn region_of(&self, failure_domain: u64) -> Option<u64> {
        self.0.get(&failure_domain).copied()
    }
}
