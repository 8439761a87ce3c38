//! Placement across failure domains: whether a request stays in the failure domain of its asker,
//! waits for a slot there, or leaves, and why.
//!
//! The state is that of the endpoints and of the queue; nothing else is remembered.

use std::time::Duration;

use resources::Priority;

use super::Dispatcher;
use super::candidate::Survey;
use super::placement::Placed;
use crate::domain_load::FarReason;
use crate::domains::{OnFailure, is_worth_leaving, may_spill, near_wait, pick_by_headroom};
use crate::permit::{Ask, SendKind, Tier};
use crate::topology::Distance;

/// Order of free endpoints, compared field by field; lower is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub(super) tier: Tier,
    pub(super) acceptance: u32,
    pub(super) health: u32,
    pub(super) cost: u32,
    pub(super) in_transit: u32,
    pub(super) by_idle: Duration,
    pub(super) tie: u32,
}

/// A free endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Best {
    pub(super) rank: Rank,
    /// Position in the rotation.
    pub(super) endpoint: usize,
    pub(super) distance: Distance,
    /// Probability that a send there is shed or fails.
    pub(super) p_loss: f64,
    /// Whether it is known not to serve the request now, whatever its health.
    pub(super) is_out_of_use: bool,
    /// Whether it has been idle so long that it counts against the floor.
    pub(super) is_starved: bool,
}

/// What one failure domain offers to a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct DomainChoices {
    failure_domain: u64,
    distance: Distance,
    /// Slots of good endpoints that may serve the request, free or not.
    pub(super) good_slots: f64,
    /// Free slots among them.
    pub(super) headroom: f64,
    best: Option<Best>,
}

/// What a service offers to a request.
pub(super) struct ServiceChoices {
    is_near_first: bool,
    /// Failure domains with an endpoint that may serve the request.
    domains: Vec<DomainChoices>,
    /// Slots among them of endpoints that accept what they are sent.
    pub(super) accepting_slots: f64,
    /// The best free endpoint that counts against the floor, in other failure domains.
    starved_far: Option<Best>,
    /// The best free endpoint of all.
    best: Option<Best>,
}

fn improve(best: &mut Option<Best>, it: Best) {
    if best.is_none_or(|other| it.rank < other.rank) {
        *best = Some(it);
    }
}

impl ServiceChoices {
    pub(super) fn new(is_near_first: bool) -> Self {
        Self {
            is_near_first,
            domains: Vec::new(),
            accepting_slots: 0.0,
            starved_far: None,
            best: None,
        }
    }

    /// The entry of a failure domain. A service has few of them.
    pub(super) fn domain(&mut self, failure_domain: u64, distance: Distance) -> &mut DomainChoices {
        let known = self.domains.iter().position(|it| it.failure_domain == failure_domain);
        let i = known.unwrap_or_else(|| {
            self.domains.push(DomainChoices {
                failure_domain,
                distance,
                good_slots: 0.0,
                headroom: 0.0,
                best: None,
            });
            self.domains.len() - 1
        });
        &mut self.domains[i]
    }

    /// Adds a free endpoint.
    pub(super) fn offer(&mut self, failure_domain: u64, it: Best) {
        improve(&mut self.best, it);
        improve(&mut self.domain(failure_domain, it.distance).best, it);
        if it.is_starved && it.distance != Distance::Near {
            improve(&mut self.starved_far, it);
        }
    }

    fn near(&self) -> Option<&DomainChoices> {
        self.domains.iter().find(|it| it.distance == Distance::Near)
    }

    /// Whether no endpoint may serve the request.
    pub(super) fn is_empty(&self) -> bool {
        self.domains.is_empty()
    }

    /// Why a request that finds no room in these failure domains leaves them.
    pub(super) fn reason_to_leave(&self) -> FarReason {
        match self.good_slots() {
            _ if self.is_empty() => FarReason::NoEndpoint,
            0.0 => FarReason::Health,
            _ => FarReason::Overflow,
        }
    }

    /// Slots of good endpoints that may serve the request, free or not.
    pub(super) fn good_slots(&self) -> f64 {
        self.domains.iter().map(|it| it.good_slots).sum()
    }
}

impl DomainChoices {
    /// The best free endpoint that is not likely to fail.
    fn good(&self) -> Option<Best> {
        self.best.filter(|it| it.rank.tier < Tier::Near)
    }
}

impl Best {
    fn placed(self, far_reason: Option<FarReason>) -> Placed {
        let Self { endpoint, distance, rank, .. } = self;
        Placed { endpoint, tier: rank.tier, distance, far_reason }
    }

    /// Tier, acceptance and health: how likely the endpoint serves the request, in steps.
    fn quality(&self) -> (Tier, u32, u32) {
        (self.rank.tier, self.rank.acceptance, self.rank.health)
    }
}

impl Dispatcher {
    /// Whether a request stays in the failure domain of its asker while there is room for it. Long
    /// answers have their own preference for near endpoints ([`Tier::Near`], [`Tier::Far`]).
    pub(super) fn is_near_first(&self, ask: &Ask) -> bool {
        self.options.near_first && !ask.long_answer
    }

    /// Number of queued requests, by failure domain of the asker and priority.
    pub(super) fn waiting_near(&self) -> Vec<((u64, Priority), usize)> {
        let mut counts: Vec<((u64, Priority), usize)> = Vec::new();
        for ask in self.queue.items() {
            let key = (ask.reporter.failure_domain, ask.priority);
            match counts.iter_mut().find(|(it, _)| *it == key) {
                Some((_, n)) => *n += 1,
                None => counts.push((key, 1)),
            }
        }
        counts
    }

    /// Decides among the free endpoints. `random` distributes the requests that leave.
    pub(super) fn decide(
        &self,
        survey: &Survey,
        ask: &Ask,
        choices: &ServiceChoices,
        random: impl FnOnce() -> u32,
    ) -> Option<Placed> {
        // Requests without an endpoint near are balanced by slots in use over all failure domains.
        let near = choices.near().filter(|_| choices.is_near_first);
        let Some(near) = near else { return self.decide_by_rank(survey, ask, choices) };
        let good_near = near.good();
        if let Some(it) = choices.starved_far
            && it.rank.tier < Tier::Near
            && good_near.is_none_or(|near| it.rank < near.rank)
        {
            return Some(it.placed(Some(FarReason::Floor)));
        }
        // A last send with a free near endpoint leaves for health, not for room.
        let must_have_room = good_near.is_none() || self.on_failure(ask) == OnFailure::Repeated;
        let far = self.far_choice(survey, ask, choices, near, must_have_room, random);
        let leaves = |near: &Best| far.is_some_and(|far| self.is_better_far(ask, near, &far));
        if let Some(near) = good_near.filter(|it| !leaves(it)) {
            return Some(near.placed(None));
        }
        // Endpoints of another region are free only when all of this region are full.
        let is_in_region = far.is_none_or(|it| it.distance != Distance::OtherRegion);
        let wait = self.wait_in(survey, ask, near);
        // A request waits for a slot that may come free, not beside one that it could use.
        let may_wait =
            ask.wait && ask.send != SendKind::Further && is_in_region && good_near.is_none();
        let mut longest = near_wait(ask.objective, self.mean_hold);
        if far.is_none() && near.best.is_some() {
            // A near slot that is free, though worse, is taken after the same wait as without
            // near-first placement.
            longest = longest.min(self.max_wait(ask));
        }
        if may_wait && wait <= longest {
            return None;
        }
        let Some(far) = far else { return self.decide_by_rank(survey, ask, choices) };
        let may_take = |it: &Best| ask.wait || it.rank.tier < Tier::Near;
        let stays = near.best.filter(|it| !leaves(it) && may_take(it));
        let has_good_slots = near.good_slots > 0.0 && good_near.is_none();
        let reason = if has_good_slots { FarReason::Overflow } else { FarReason::Health };
        Some(stays.map_or(far.placed(Some(reason)), |it| it.placed(None)))
    }

    /// Chooses the best free endpoint of all failure domains.
    fn decide_by_rank(
        &self,
        survey: &Survey,
        ask: &Ask,
        choices: &ServiceChoices,
    ) -> Option<Placed> {
        let mut best = choices.best?;
        let near = choices.near();
        if choices.is_near_first
            && let Some(near) = near
        {
            let open = choices.domains.iter().filter(|it| self.has_room(survey, ask, near, it));
            let far = open.filter_map(|it| it.best).min_by_key(|it| it.rank);
            best = match (near.best, far) {
                (Some(near), Some(far)) if self.is_better_far(ask, &near, &far) => far,
                (Some(near), _) => near,
                (None, far) => far?,
            };
        }
        let is_good = best.rank.tier < Tier::Near;
        let takes_it = is_good || self.takes_worse(survey, ask, choices.good_slots());
        let far_reason = match (best.distance, near) {
            (Distance::Near, _) => None,
            (_, None) => Some(FarReason::NoEndpoint),
            _ if best.is_starved => Some(FarReason::Floor),
            (_, Some(near)) if near.best.is_some() => Some(FarReason::Health),
            _ => Some(FarReason::Overflow),
        };
        takes_it.then(|| best.placed(far_reason))
    }

    /// The good endpoint for a request that leaves: of the failure domains whose best endpoint has
    /// the same quality and distance, one in proportion to the headroom.
    fn far_choice(
        &self,
        survey: &Survey,
        ask: &Ask,
        choices: &ServiceChoices,
        near: &DomainChoices,
        must_have_room: bool,
        random: impl FnOnce() -> u32,
    ) -> Option<Best> {
        let far = choices.domains.iter().filter(|it| it.distance != Distance::Near);
        let has_room =
            |it: &&DomainChoices| !must_have_room || self.has_room(survey, ask, near, it);
        let open: Vec<(f64, Best)> = far
            .filter(has_room)
            .filter_map(|it| it.good().map(|best| (it.headroom, best)))
            .collect();
        let order = |it: &Best| (it.quality(), it.distance);
        let first = open.iter().map(|(_, it)| order(it)).min()?;
        let equal: Vec<&(f64, Best)> = open.iter().filter(|(_, it)| order(it) == first).collect();
        let i = match equal.len() {
            0 | 1 => 0,
            _ => pick_by_headroom(equal.iter().map(|(headroom, _)| *headroom), random()),
        };
        equal.get(i).map(|(_, it)| *it)
    }

    /// Whether a request that does not fit near may take a slot of another failure domain: none of
    /// the requests from there waits, or they wait much less.
    fn has_room(
        &self,
        survey: &Survey,
        ask: &Ask,
        near: &DomainChoices,
        it: &DomainChoices,
    ) -> bool {
        let is_waited_for = survey.ahead_in(it.failure_domain, ask.priority) > 0;
        let wait_there = is_waited_for.then(|| self.wait_in(survey, ask, it));
        let has_room =
            survey.is_left_over || may_spill(self.wait_in(survey, ask, near), wait_there);
        it.distance != Distance::Near && has_room
    }

    /// Whether a far endpoint is so much less likely to fail than a near one that it is worth the
    /// traffic. Endpoints that are used freely, or due for a probe, count as equal for first sends.
    fn is_better_far(&self, ask: &Ask, near: &Best, far: &Best) -> bool {
        if near.is_out_of_use && !far.is_out_of_use {
            return true;
        }
        far.quality() < near.quality()
            && is_worth_leaving(near.p_loss, far.p_loss, self.on_failure(ask))
    }

    fn on_failure(&self, ask: &Ask) -> OnFailure {
        match ask.send == SendKind::Further || self.is_last_send(ask) {
            true => OnFailure::Lost,
            false => OnFailure::Repeated,
        }
    }

    /// Expected wait for a good slot of a failure domain, behind the requests from there.
    fn wait_in(&self, survey: &Survey, ask: &Ask, it: &DomainChoices) -> Duration {
        self.expected_wait(survey.ahead_in(it.failure_domain, ask.priority), it.good_slots)
    }
}
