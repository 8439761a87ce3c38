//! Placement by failure domain: when a request leaves its failure domain, and where it goes.

use std::collections::VecDeque;
use std::time::Duration;

use crate::domain_load::{DomainLoad, MAX_LOAD_AGE};
use crate::time::Time;

/// Cost of a send to another failure domain, as a share of the value of a request.
const FAR_SEND_COST: f64 = 0.01;
/// Share of the requests that an unhealthy endpoint fails.
pub(crate) const FAILURE_SHARE: f64 = 0.9;
/// Share of its value that a request loses when a send fails that another one can follow: it draws
/// on the repeat budget and comes later.
const REPEAT_COST: f64 = 0.1;
/// Share of the objective for which a request waits for a slot of its own failure domain while
/// another one has free slots. With 0.35, uneven waves of demand at 1.4 times the load were served in
/// time in 98.4 % instead of the 99.2 % without near-first placement.
const NEAR_WAIT_SHARE: f64 = 0.15;
/// Service times that must fit in the objective after such a wait, because they vary.
const SERVICE_TIMES_LEFT: u32 = 2;
/// A request that cannot wait near goes to a failure domain where requests wait, too, only if the
/// wait there is shorter by this factor. With a factor near one, two overloaded failure domains
/// exchange their requests.
const SHORTER_WAIT_FACTOR: f64 = 1.5;

/// What a request loses when its send fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OnFailure {
    /// Another send follows.
    Repeated,
    /// The request fails.
    Lost,
}

/// Whether a far endpoint that is less likely to shed or fail a send is worth the traffic between
/// failure domains.
pub(crate) fn is_worth_leaving(p_near: f64, p_far: f64, on_failure: OnFailure) -> bool {
    let loss = match on_failure {
        OnFailure::Repeated => REPEAT_COST,
        OnFailure::Lost => 1.0,
    };
    (p_near - p_far) * loss > FAR_SEND_COST
}

/// The longest wait for a near slot while another failure domain has free slots.
pub(crate) fn near_wait(objective: Duration, work: Duration) -> Duration {
    let after_work = objective.saturating_sub(work * SERVICE_TIMES_LEFT);
    objective.mul_f64(NEAR_WAIT_SHARE).min(after_work)
}

/// Whether a request that would wait too long near may take a slot of a failure domain whose own
/// requests wait for `wait_there`; `None` if none of them waits.
pub(crate) fn may_spill(wait_near: Duration, wait_there: Option<Duration>) -> bool {
    wait_there.is_none_or(|it| wait_near > it.mul_f64(SHORTER_WAIT_FACTOR))
}

/// Chooses one of several failure domains with a probability in proportion to its headroom, for a
/// random number. A choice of the largest headroom alone would send all requests to one failure
/// domain until the next update of the loads.
pub(crate) fn pick_by_headroom(headrooms: impl Iterator<Item = f64> + Clone, random: u32) -> usize {
    let weight = |it: f64| if it.is_finite() { it.max(0.0) } else { 0.0 };
    let total: f64 = headrooms.clone().map(weight).sum();
    let mut rest = total * f64::from(random) / (f64::from(u32::MAX) + 1.0);
    for (i, it) in headrooms.enumerate() {
        rest -= weight(it);
        if rest < 0.0 {
            return i;
        }
    }
    0
}

/// Time until a redirected request shows in the load of its target: loads are sent every 100 ms,
/// and the ask and the load are in transit.
const VISIBLE_AFTER: Duration = Duration::from_millis(150);
/// Share of a rise of the headroom that takes effect with each load. A failure domain that comes
/// back or is relieved gets requests step by step; a fall takes effect at once.
const RISE_GAIN: f64 = 0.25;
/// Share of the usable slots that is left free for the requests of the failure domain itself, and
/// for redirections by others of which nothing is known yet.
const RESERVE_SHARE: f64 = 0.05;

/// Another failure domain, as its dispatcher reported it.
#[derive(Clone, Debug)]
struct RemoteDomain {
    load: DomainLoad,
    received: Time,
    /// Free slots beyond the reserve; rises slowly.
    headroom: f64,
    /// Times of the latest redirections there.
    sent: VecDeque<Time>,
}

/// What a failure domain offers to requests of others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Offer {
    pub(crate) failure_domain: u64,
    /// Slots that may be used, free or not.
    pub(crate) usable: f64,
    /// Requests that wait there, with those redirected a moment ago.
    pub(crate) queued: f64,
    /// Free slots for requests of others.
    pub(crate) headroom: f64,
}

/// The other failure domains of a service.
#[derive(Clone, Debug, Default)]
pub(crate) struct RemoteDomains(Vec<RemoteDomain>);

impl RemoteDomains {
    /// Applies a load received at `now`. Numbers that make no sense count as zero.
    pub(crate) fn set(&mut self, now: Time, load: DomainLoad) {
        let bounded = |it: f32| if it.is_finite() { it.clamp(0.0, MAX_REPORTED) } else { 0.0 };
        let load = DomainLoad {
            usable: bounded(load.usable),
            served: bounded(load.served),
            unserved: bounded(load.unserved),
            ..load
        };
        let busy = f64::from(load.in_use) + f64::from(load.queued);
        let headroom = f64::from(load.usable) * (1.0 - RESERVE_SHARE) - busy;
        let id = load.failure_domain;
        if let Some(it) = self.0.iter_mut().find(|it| it.load.failure_domain == id) {
            let before = if is_fresh(now, it.received) { it.headroom.max(0.0) } else { 0.0 };
            it.headroom = headroom.min(before + RISE_GAIN * (headroom - before));
            (it.load, it.received) = (load, now);
            return;
        }
        if self.0.len() >= MAX_DOMAINS {
            self.0.retain(|it| is_fresh(now, it.received));
        }
        if self.0.len() < MAX_DOMAINS {
            let headroom = headroom.min(RISE_GAIN * headroom);
            self.0.push(RemoteDomain { load, received: now, headroom, sent: VecDeque::new() });
        }
    }

    /// Failure domains whose load is known, with what they offer.
    pub(crate) fn offers(&self, now: Time) -> impl Iterator<Item = Offer> + '_ {
        let fresh = self.0.iter().filter(move |it| is_fresh(now, it.received));
        fresh.map(move |it| {
            let is_unseen = |at: &&Time| now.since(**at) < VISIBLE_AFTER;
            let unseen = it.sent.iter().filter(is_unseen).count() as f64;
            Offer {
                failure_domain: it.load.failure_domain,
                usable: f64::from(it.load.usable),
                queued: f64::from(it.load.queued) + (unseen - it.headroom.max(0.0)).max(0.0),
                headroom: it.headroom - unseen,
            }
        })
    }

    /// All failure domains that ever sent a load.
    pub(crate) fn known(&self) -> impl Iterator<Item = u64> + '_ {
        self.0.iter().map(|it| it.load.failure_domain)
    }

    /// Records that a request is redirected.
    pub(crate) fn note_sent(&mut self, now: Time, failure_domain: u64) {
        let target = self.0.iter_mut().find(|it| it.load.failure_domain == failure_domain);
        if let Some(it) = target {
            while it.sent.front().is_some_and(|at| now.since(*at) >= VISIBLE_AFTER) {
                it.sent.pop_front();
            }
            it.sent.push_back(now);
        }
    }

    /// Requests served and not served lately in the failure domains whose load is known.
    pub(crate) fn outcomes(&self, now: Time) -> (f64, f64) {
        let fresh = self.0.iter().filter(|it| is_fresh(now, it.received));
        fresh.fold((0.0, 0.0), |(served, unserved), it| {
            (served + f64::from(it.load.served), unserved + f64::from(it.load.unserved))
        })
    }
}

/// Bound of numbers in loads, far above what one failure domain has.
const MAX_REPORTED: f32 = 1e6;
/// Maximum number of failure domains that are remembered, so that damaged hashes use no memory.
const MAX_DOMAINS: usize = 16;

fn is_fresh(now: Time, received: Time) -> bool {
    now.since(received) <= MAX_LOAD_AGE
}
