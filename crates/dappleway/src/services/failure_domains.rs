//! The failure domains of a service, and whether each of them may have a dispatching node of its own.

use std::borrow::Cow;

use policy::domain_floors;
use resources::{Floor, Name, Service};

use super::name_hash;

/// Minimum number of endpoints in each failure domain of a service that is dispatched by failure domain. A
/// dispatcher of fewer endpoints sees too few outcomes to tell unhealthy endpoints from random failures.
const MIN_ENDPOINTS_PER_DOMAIN: usize = 12;
/// Minimum number of failure domains with endpoints. The endpoints of a single one are dispatched together anyway.
const MIN_DOMAINS: usize = 2;

/// The failure domains in which a service has endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FailureDomains {
    /// Hash, name and number of endpoints, in order of the hashes.
    all: Vec<(u64, Name, usize)>,
}

impl FailureDomains {
    /// Counts the endpoints of a service by failure domain.
    pub fn of(service: &Service) -> Self {
        let mut all: Vec<(u64, Name, usize)> = Vec::new();
        for it in &service.endpoints {
            match all.iter_mut().find(|(_, name, _)| *name == it.failure_domain) {
                Some((.., count)) => *count += 1,
                None => all.push((name_hash(&it.failure_domain), it.failure_domain.clone(), 1)),
            }
        }
        all.sort_unstable_by_key(|(hash, ..)| *hash);
        Self { all }
    }

    /// Whether each failure domain has enough endpoints for a dispatching node of its own.
    pub fn qualify(&self) -> bool {
        let have_enough = self.all.iter().all(|(.., count)| *count >= MIN_ENDPOINTS_PER_DOMAIN);
        self.all.len() >= MIN_DOMAINS && have_enough
    }

    /// Whether the service has endpoints in a failure domain.
    pub fn contains(&self, failure_domain: u64) -> bool {
        self.name(failure_domain).is_some()
    }

    /// Name of a failure domain.
    pub fn name(&self, failure_domain: u64) -> Option<&Name> {
        self.all.iter().find(|(hash, ..)| *hash == failure_domain).map(|(_, name, _)| name)
    }

    /// Hash, name and number of endpoints of each failure domain, in ascending order of the hashes.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &Name, usize)> {
        self.all.iter().map(|(hash, name, count)| (*hash, name, *count))
    }

    /// Hashes of the failure domains, in ascending order.
    pub fn hashes(&self) -> impl Iterator<Item = u64> + Clone {
        self.all.iter().map(|(hash, ..)| *hash)
    }

    /// Smallest number of endpoints in one failure domain.
    pub fn fewest_endpoints(&self) -> usize {
        self.all.iter().map(|(.., count)| *count).min().unwrap_or_default()
    }
}

/// The service with the endpoints of one failure domain, or all of it if none is given. A floor that is a number
/// of endpoints is divided like the floors of the failure domains.
pub(super) fn endpoints_in(service: &Service, failure_domain: Option<u64>) -> Cow<'_, Service> {
    let Some(failure_domain) = failure_domain else { return Cow::Borrowed(service) };
    let floors = domain_floors(service).into_iter();
    let floor: usize = floors
        .filter(|(name, _)| name_hash(name) == failure_domain)
        .map(|(_, endpoints)| endpoints)
        .sum();
    let mut part = service.clone();
    part.endpoints.retain(|it| name_hash(&it.failure_domain) == failure_domain);
    if matches!(part.floor, Floor::Count(_)) {
        part.floor = Floor::Count(floor as u32);
    }
    Cow::Owned(part)
}
