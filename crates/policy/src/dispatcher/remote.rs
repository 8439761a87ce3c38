//! Dispatch by failure domain: a dispatcher that holds the endpoints of one failure domain, with
//! the loads of the others as their dispatchers report them.
//!
//! A request leaves if no endpoint here may serve it, or if another failure domain has free slots
//! while the wait here does not fit its objective. Loads that are old or missing mean that nothing
//! is known; a request then leaves only if no endpoint here may serve it.

use std::time::Duration;

use rand::{Rng, RngExt};
use resources::Priority;
use rustc_hash::{FxHashMap, FxHashSet};

use super::candidate::Survey;
use super::near_first::ServiceChoices;
use super::{Dispatcher, ENDED_PERMIT_RETENTION};
use crate::belief::Use;
use crate::domain_load::{DomainLoad, FarReason};
use crate::domains::{Offer, RemoteDomains, may_spill, near_wait, pick_by_headroom};
use crate::permit::{Ask, PermitId, QueuedReply, Reply};
use crate::queue::Waiting;
use crate::time::Time;

/// State of a dispatcher whose requests may be redirected.
#[derive(Debug, Default)]
pub(super) struct Redirection {
    pub(super) domains: RemoteDomains,
    /// Queued requests that may be redirected.
    queued: FxHashSet<PermitId>,
    /// Recently redirected requests. Their asks may arrive again, because the reply was lost.
    redirected: FxHashMap<PermitId, (Time, u64, FarReason)>,
    /// Those of them that have returned, because the other failure domain could not serve them.
    returned: FxHashSet<PermitId>,
}

impl Redirection {
    /// Whether an ask that must not be redirected is the first one of a request that has returned.
    fn is_return(&mut self, id: PermitId) -> bool {
        self.redirected.contains_key(&id) && self.returned.insert(id)
    }

    /// Drops what has expired.
    pub(super) fn tick(&mut self, now: Time) {
        self.redirected.retain(|_, (at, ..)| now.since(*at) < ENDED_PERMIT_RETENTION);
        let redirected = &self.redirected;
        self.returned.retain(|id| redirected.contains_key(id));
    }
}

impl Dispatcher {
    /// The load in each failure domain in which this dispatcher holds endpoints, in order of their
    /// hashes. A dispatcher of one failure domain sends it to those of the others. One that holds
    /// several divides the numbers of served and unserved requests equally among them.
    pub fn domain_loads(&self, now: Time) -> Vec<DomainLoad> {
        let mut loads: Vec<DomainLoad> = Vec::new();
        for candidate in &self.survey(now).candidates {
            let load = &self.loads[candidate.i];
            let failure_domain = load.failure_domain;
            let known = loads.iter().position(|it| it.failure_domain == failure_domain);
            let i = known.unwrap_or_else(|| {
                loads.push(DomainLoad { failure_domain, ..DomainLoad::default() });
                loads.len() - 1
            });
            let is_last_resort = candidate.is_missing
                || candidate.usage() == Use::Last
                || now < load.full_until.max(load.hinted_until);
            if !is_last_resort {
                let usable = candidate.usable_slots();
                loads[i].usable += candidate.within_rate_limit(usable) as f32;
                loads[i].in_use += load.in_use().min(usable);
            }
        }
        loads.sort_by_key(|it| it.failure_domain);
        let (served, unserved) = self.unserved.own_counts(now);
        let n = loads.len().max(1) as f64;
        let waiting = self.waiting_near();
        let is_only_one = loads.len() == 1;
        for it in &mut loads {
            it.served = (served / n) as f32;
            it.unserved = (unserved / n) as f32;
            let from_there = waiting.iter().filter(|((domain, _), _)| *domain == it.failure_domain);
            let queued =
                if is_only_one { self.queue.len() } else { from_there.map(|(_, n)| n).sum() };
            it.queued = queued as u32;
        }
        loads
    }

    /// Updates the loads of failure domains whose slots other nodes grant, received at `now`. A
    /// later load of the same failure domain replaces the earlier one, and loads of failure domains
    /// that are not listed stay until they are too old. Loads of failure domains in which this
    /// dispatcher holds endpoints are ignored.
    pub fn set_remote_loads(&mut self, now: Time, loads: &[DomainLoad]) {
        let is_own = |it: &&DomainLoad| {
            self.loads.iter().any(|load| load.failure_domain == it.failure_domain)
        };
        for it in loads.iter().filter(|it| !is_own(it)) {
            self.redirection.domains.set(now, *it);
        }
        let (served, unserved) = self.redirection.domains.outcomes(now);
        self.unserved.set_remote(now, served, unserved);
    }

    /// Forgets that a redirected request was withdrawn here when it returns. The withdrawal removed what
    /// copies of its first ask had taken, and the return is not such a copy.
    pub(super) fn note_return(&mut self, id: PermitId) {
        if self.redirection.is_return(id) {
            self.ended.remove(&id);
        }
    }

    /// Answers a request for a slot like [`Self::ask`], or with [`Reply::Elsewhere`] if the request
    /// has to leave the failure domains of this dispatcher. If it is queued, the later reply may
    /// also be [`Reply::Elsewhere`]. The same ask gets the same redirection for a while, and the
    /// asker uses [`SendKind::again`](crate::SendKind::again) for the ask elsewhere.
    pub fn ask_redirecting(&mut self, now: Time, ask: Ask, rng: &mut impl Rng) -> Reply {
        let known = self.redirection.redirected.get(&ask.id);
        if let Some((_, failure_domain, reason)) = known
            && !self.permits.contains_key(&ask.id)
        {
            return Reply::Elsewhere { failure_domain: *failure_domain, reason: *reason };
        }
        let id = ask.id;
        let reply = self.ask_or_redirect(now, ask, true, rng);
        if reply == Reply::Queued {
            self.redirection.queued.insert(id);
        }
        reply
    }

    /// Redirects a request that finds no good endpoint here, if another failure domain has room for
    /// it in time.
    pub(super) fn redirect(
        &mut self,
        now: Time,
        ask: &Ask,
        survey: &Survey,
        rng: &mut impl Rng,
    ) -> Option<Reply> {
        let choices = self.choices(survey, ask, || 0)?;
        let (domain, reason) = self.redirect_target(now, ask, &choices, survey, rng.random())?;
        Some(self.note_redirect(now, ask.id, domain, reason))
    }

    fn redirect_target(
        &self,
        now: Time,
        ask: &Ask,
        choices: &ServiceChoices,
        survey: &Survey,
        random: u32,
    ) -> Option<(u64, FarReason)> {
        if choices.is_empty() {
            let target = self.remote_target(now, ask, Duration::MAX, random);
            let target = target.or_else(|| self.any_remote(ask, random));
            return target.map(|it| (it, choices.reason_to_leave()));
        }
        let wait = self.expected_wait(survey.ahead_of(ask.priority), choices.good_slots());
        if wait <= self.wait_before_redirect(ask) {
            return None;
        }
        self.remote_target(now, ask, wait, random).map(|it| (it, choices.reason_to_leave()))
    }

    /// The wait here from which on a request is better off elsewhere. Long answers keep to their
    /// preference for near endpoints.
    fn wait_before_redirect(&self, ask: &Ask) -> Duration {
        match ask.long_answer {
            true => self.max_wait(ask),
            false => near_wait(ask.objective, self.mean_hold),
        }
    }

    /// A failure domain that has room for a request that would wait here for `wait`: one with free
    /// slots, or else one with a much shorter wait. Other regions come last.
    fn remote_target(&self, now: Time, ask: &Ask, wait: Duration, random: u32) -> Option<u64> {
        let offers = self.redirection.domains.offers(now);
        let offers: Vec<Offer> =
            offers.filter(|it| !ask.excludes(it.failure_domain) && it.usable > 0.0).collect();
        let own = ask.reporter.failure_domain;
        let is_in_region = |it: &Offer| self.topology.is_same_region(own, it.failure_domain);
        let has_shorter_wait = |it: &Offer| {
            may_spill(wait, Some(self.expected_wait(it.queued.max(0.0) as usize, it.usable)))
        };
        let pick = |it: Vec<&Offer>, weight: fn(&Offer) -> f64| {
            let i = pick_by_headroom(it.iter().map(|it| weight(it)), random);
            it.get(i).map(|it| it.failure_domain)
        };
        [true, false].into_iter().find_map(|in_region| {
            let here = || offers.iter().filter(|it| is_in_region(it) == in_region);
            let free = here().filter(|it| it.headroom > 0.0).collect();
            let less_loaded = here().filter(|it| has_shorter_wait(it)).collect();
            pick(free, |it| it.headroom).or_else(|| pick(less_loaded, |it| it.usable))
        })
    }

    /// Any failure domain that may serve a request, whatever its load.
    fn any_remote(&self, ask: &Ask, random: u32) -> Option<u64> {
        let known = self.redirection.domains.known();
        let all: Vec<u64> = known.filter(|it| !ask.excludes(*it)).collect();
        let i = pick_by_headroom(all.iter().map(|_| 1.0), random);
        all.get(i).copied()
    }

    fn note_redirect(&mut self, now: Time, id: PermitId, to: u64, reason: FarReason) -> Reply {
        self.redirection.domains.note_sent(now, to);
        self.redirection.redirected.insert(id, (now, to, reason));
        self.counts.redirected.add(reason);
        Reply::Elsewhere { failure_domain: to, reason }
    }

    /// Redirects queued requests that would wait too long here, the last ones first.
    pub(super) fn redirect_queued(&mut self, now: Time, rng: &mut impl Rng) -> Vec<QueuedReply> {
        if self.redirection.queued.is_empty() {
            return Vec::new();
        }
        let waiting: FxHashSet<PermitId> = self.queue.items().map(|it| it.id).collect();
        self.redirection.queued.retain(|id| waiting.contains(id));
        if self.redirection.queued.is_empty() {
            return Vec::new();
        }
        let survey = self.survey(now);
        let mut settled = Vec::new();
        let mut waiting: Vec<(Priority, PermitId)> =
            self.queue.items().map(|it| (it.priority, it.id)).collect();
        waiting.sort_by_key(|(priority, _)| *priority);
        for (ahead, (_, id)) in waiting.iter().enumerate().rev() {
            if !self.redirection.queued.contains(id) {
                continue;
            }
            let Some(ask) = self.queue.items().find(|it| it.id == *id) else { continue };
            let Some(choices) = self.choices(&survey, ask, || 0) else { continue };
            let wait = self.expected_wait(ahead, choices.good_slots());
            if !choices.is_empty() && wait <= self.wait_before_redirect(ask) {
                continue;
            }
            let random = rng.random();
            let any = || choices.is_empty().then(|| self.any_remote(ask, random)).flatten();
            let target = self.remote_target(now, ask, wait, random).or_else(any);
            let Some(to) = target else { continue };
            let reason = choices.reason_to_leave();
            let left = self.queue.extract(|it| it.item.id == *id);
            self.release_reserved_repeats(left.iter().map(|it| &it.item));
            self.redirection.queued.remove(id);
            settled.push(QueuedReply { id: *id, reply: self.note_redirect(now, *id, to, reason) });
        }
        settled
    }
}

/// Requests that are redirected instead of refused.
impl Dispatcher {
    /// Redirects a request that would be refused here, if another failure domain has free slots or
    /// a wait within the time left. The estimate that refuses a request is longer than the one by
    /// which [`Self::redirect`] lets it stay, because it counts arrivals of higher priorities.
    pub(super) fn redirect_refused(
        &mut self,
        now: Time,
        ask: &Ask,
        left: Duration,
        rng: &mut impl Rng,
    ) -> Option<Reply> {
        let longest_wait = left.checked_sub(self.contended.work.typical(ask.route))?;
        let to = self.remote_target(now, ask, longest_wait, rng.random())?;
        Some(self.note_redirect(now, ask.id, to, FarReason::Overflow))
    }

    /// Like [`Self::redirect_refused`], for a request that has been taken off the queue.
    pub(super) fn redirect_refused_waiting(
        &mut self,
        now: Time,
        it: &Waiting<Ask>,
        rng: &mut impl Rng,
    ) -> Option<Reply> {
        if !self.redirection.queued.remove(&it.item.id) {
            return None;
        }
        self.redirect_refused(now, &it.item, it.deadline.since(now), rng)
    }
}
