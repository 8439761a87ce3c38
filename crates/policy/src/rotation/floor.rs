//! The floor below which ejections never reduce a service, split over its failure domains.

use std::time::Duration;

use resources::{Name, Service};

use super::{Rotation, State};
use crate::time::Time;

/// After a change of configuration the stricter of the old and new floors applies for this long,
/// because other nodes may still apply the old one.
pub(crate) const FLOOR_SETTLE_TIME: Duration = Duration::from_secs(20);

/// The floor of each failure domain, in endpoints, in the order of first mention. Each floor is the
/// size of the failure domain minus its share of the permitted ejections, which are split by the
/// largest-remainder method. The sum equals the floor of the service.
pub fn domain_floors(service: &Service) -> Vec<(Name, usize)> {
    let mut sizes: Vec<(Name, usize)> = Vec::new();
    for it in &service.endpoints {
        match sizes.iter_mut().find(|(name, _)| *name == it.failure_domain) {
            Some((_, n)) => *n += 1,
            None => sizes.push((it.failure_domain.clone(), 1)),
        }
    }
    let total = service.endpoints.len();
    let allowance = total - service.floor.endpoints(total);
    let mut shares: Vec<usize> = sizes.iter().map(|(_, n)| allowance * n / total.max(1)).collect();
    let mut order: Vec<usize> = (0..sizes.len()).collect();
    order.sort_by_key(|i| std::cmp::Reverse((allowance * sizes[*i].1 % total.max(1), sizes[*i].1)));
    let remainder = allowance - shares.iter().sum::<usize>();
    for i in order.into_iter().take(remainder) {
        shares[i] += 1;
    }
    sizes.into_iter().zip(shares).map(|((name, n), share)| (name, n - share)).collect()
}

/// The floor of one failure domain.
#[derive(Clone, Debug)]
pub(super) struct DomainFloor {
    pub(super) name: Name,
    pub(super) floor: usize,
    /// A stricter floor, and until when it applies after a change of configuration.
    pub(super) stricter_until: Option<(usize, Time)>,
}

impl DomainFloor {
    /// The floor that applies now.
    pub(super) fn current(&self, now: Time) -> usize {
        match self.stricter_until {
            Some((floor, until)) if now < until => floor.max(self.floor),
            _ => self.floor,
        }
    }
}

impl Rotation {
    /// The current floor of a failure domain, in endpoints.
    pub fn floor_of(&self, now: Time, failure_domain: &str) -> usize {
        let floor = self.floors.iter().find(|it| it.name == failure_domain);
        floor.map_or(0, |it| it.current(now))
    }

    /// Whether the failure domain keeps its floor of recently healthy endpoints without endpoint
    /// `i`.
    pub(super) fn floor_allows(&self, now: Time, i: usize) -> bool {
        let domain = &self.endpoints[i].failure_domain;
        let healthy = self
            .endpoints
            .iter()
            .enumerate()
            .filter(|(j, it)| {
                *j != i && it.failure_domain == *domain && it.is_recently_healthy(now)
            })
            .count();
        healthy >= self.floor_of(now, domain)
    }

    /// While a failure domain has fewer endpoints in rotation than its floor, as after a departure
    /// or a raised floor, readmits the endpoints that were ejected first.
    pub(super) fn restore_floor(&mut self, now: Time) {
        for f in 0..self.floors.len() {
            let floor = self.floors[f].current(now);
            while self.in_rotation(f) < floor {
                let Some(i) = self.first_ejected(f) else { break };
                self.set(now, i, State::Suspect, "readmitted: too few in rotation");
            }
        }
    }

    fn in_rotation(&self, f: usize) -> usize {
        let domain = &self.floors[f].name;
        let own = self.endpoints.iter().filter(|it| it.failure_domain == *domain);
        own.filter(|it| it.state.in_rotation()).count()
    }

    fn first_ejected(&self, f: usize) -> Option<usize> {
        let domain = &self.floors[f].name;
        (0..self.endpoints.len())
            .filter(|i| self.endpoints[*i].failure_domain == *domain)
            .filter(|i| {
                matches!(self.endpoints[*i].state, State::Ejected { .. } | State::Trial { .. })
            })
            .min_by_key(|i| self.endpoints[*i].since)
    }
}
