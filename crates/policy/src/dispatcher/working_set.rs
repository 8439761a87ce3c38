//! Concentrates a low request rate on a working set of endpoints, so that there is recent evidence
//! of their health.
//!
//! The case this addresses: a service with so many more endpoints than requests that each endpoint
//! gets less than one request within the few seconds for which an outcome is evidence. Spread
//! evenly, such requests are placed blindly: where three of ten endpoints fail, three of ten
//! requests fail. Instead, requests go to the endpoint that was used last among the free ones, so
//! that only as many endpoints are in use as the load needs at once, and each of them gets several
//! requests a second. The other endpoints are the reserve. A member that fails ranks behind the
//! reserve, and an endpoint of the reserve replaces it.
//!
//! The availability floor requires work at most endpoints in any two seconds in which a part of the
//! requests is not served. Only even spreading achieves that, so requests are spread evenly
//! whenever there are enough of them to reach the endpoints.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::Dispatcher;
use super::load::EndpointLoad;
use crate::permit::Ask;
use crate::time::Time;

/// Window in which the availability floor is evaluated.
const FLOOR_WINDOW: Duration = Duration::from_secs(2);
/// Sends per endpoint that the floor requires, within one window, below which a working set is
/// used. Perfectly even spreading is out of reach, so one send for each endpoint is not enough.
const ENTER_BELOW_SENDS: f64 = 1.2;
/// Sends per endpoint, of all endpoints, within one window above which the working set is given up.
const LEAVE_ABOVE_SENDS: f64 = 1.0;
/// Shortest time span from which a rate is computed.
const MIN_RATE_SPAN: Duration = Duration::from_millis(10);
/// An endpoint stays a member for this long without work; after that the evidence about it has
/// expired.
const MEMBERSHIP: Duration = Duration::from_secs(4);
/// How often idle members are dropped.
const REFRESH: Duration = Duration::from_millis(50);
/// Maximum number of reserve endpoints evaluated for one request.
const RESERVE_CANDIDATES: usize = 24;
/// Maximum number of recently joined endpoints evaluated for one request.
const JOINED_CANDIDATES: usize = 8;
/// Recently joined endpoints get their first requests spread over this time, so that endpoints
/// without evidence are a small part of those in use.
const INTRODUCTION_PERIOD: Duration = Duration::from_secs(5);

/// How requests are spread over the endpoints of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Spread {
    /// Over all endpoints, so that none stays idle.
    #[default]
    Even,
    /// Over as many endpoints as the load needs.
    WorkingSet,
}

/// Exponentially decaying rate of sends.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rate {
    /// Number of sends; older ones count less.
    recent: f64,
    /// Time of the last send.
    at: Time,
    /// Time of the first send.
    since: Option<Time>,
}

impl Rate {
    pub(super) fn add(&mut self, now: Time) {
        self.recent = self.recent * decay(now.since(self.at)) + 1.0;
        self.at = now;
        self.since.get_or_insert(now);
    }

    /// Sends in one window at the present rate; `None` before the first send.
    fn in_window(&self, now: Time) -> Option<f64> {
        let known = now.since(self.since?).max(MIN_RATE_SPAN);
        let recent = self.recent * decay(now.since(self.at));
        Some(recent / (1.0 - decay(known)))
    }
}

fn decay(age: Duration) -> f64 {
    (-age.as_secs_f64() / FLOOR_WINDOW.as_secs_f64()).exp()
}

/// Members and reserve of a working set, by position in the rotation.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkingSet {
    pub(super) spread: Spread,
    /// Endpoints with work in the last `MEMBERSHIP`; may contain some whose membership has just
    /// ended.
    members: Vec<u32>,
    /// All endpoints by the hash of their failure domain, each list with the index from which the
    /// next request looks for reserve endpoints.
    domains: FxHashMap<u64, (Vec<u32>, usize)>,
    /// Recently joined endpoints without a request so far.
    recently_joined: Vec<u32>,
    /// When idle members were last dropped.
    refreshed: Time,
}

impl WorkingSet {
    /// Applies a change of the endpoints.
    pub(super) fn rebuild(&mut self, now: Time, loads: &[EndpointLoad]) {
        self.domains.clear();
        self.recently_joined.clear();
        for (i, it) in loads.iter().enumerate() {
            self.domains.entry(it.failure_domain).or_default().0.push(i as u32);
            if it.is_recently_joined {
                self.recently_joined.push(i as u32);
            }
        }
        self.members = (0..loads.len() as u32).collect();
        self.refresh(now, loads);
    }

    /// Drops members that have been idle for too long.
    fn refresh(&mut self, now: Time, loads: &[EndpointLoad]) {
        self.refreshed = now;
        self.members.retain(|i| is_member(now, &loads[*i as usize]));
        self.recently_joined.retain(|i| loads[*i as usize].is_recently_joined);
    }

    /// Records that an endpoint gets a request.
    pub(super) fn note_request(&mut self, now: Time, i: usize, load: &EndpointLoad) {
        if !is_member(now, load) {
            self.members.push(i as u32);
        }
    }

    /// Endpoints to evaluate for a request: the members, a few of the reserve near the asker, and
    /// recently joined endpoints that are due for their first request.
    fn candidates(&mut self, now: Time, ask: &Ask, loads: &[EndpointLoad]) -> Vec<u32> {
        let mut all = self.members.clone();
        let is_due = |i: &&u32| loads[**i as usize].is_due_for_introduction(now);
        all.extend(self.recently_joined.iter().filter(is_due).take(JOINED_CANDIDATES));
        if let Some((near, next)) = self.domains.get_mut(&ask.reporter.failure_domain) {
            let n = near.len().min(RESERVE_CANDIDATES);
            let start = std::mem::replace(next, (*next + 1) % near.len());
            let reserve = near.iter().cycle().skip(start).take(n);
            all.extend(reserve.filter(|i| !is_member(now, &loads[**i as usize])));
        }
        all.sort_unstable();
        all.dedup();
        all
    }
}

fn is_member(now: Time, load: &EndpointLoad) -> bool {
    load.idle(now).is_some_and(|it| it < MEMBERSHIP)
}

impl EndpointLoad {
    /// Whether it has joined recently, had no request, and is due for the first one.
    pub(super) fn is_due_for_introduction(&self, now: Time) -> bool {
        self.is_recently_joined
            && self.age(now) > INTRODUCTION_PERIOD.mul_f64(self.introduction_offset)
    }
}

impl Dispatcher {
    /// Decides how requests are spread.
    pub(super) fn update_spread(&mut self, now: Time) {
        let Some(sends) = self.rate.in_window(now) else { return };
        let endpoints = self.loads.len() as f64 * self.floor_share;
        self.working_set.spread = match self.working_set.spread {
            Spread::Even if sends < endpoints * ENTER_BELOW_SENDS => Spread::WorkingSet,
            Spread::WorkingSet if sends > self.loads.len() as f64 * LEAVE_ABOVE_SENDS => {
                Spread::Even
            }
            it => it,
        };
        if now.since(self.working_set.refreshed) >= REFRESH {
            self.working_set.refresh(now, &self.loads);
        }
    }

    /// Endpoints to evaluate first for a request; `None` if all are to be evaluated.
    pub(super) fn first_candidates(&mut self, now: Time, ask: &Ask) -> Option<Vec<u32>> {
        let is_queue_empty = self.queue.len() == 0;
        let has_set = self.working_set.spread == Spread::WorkingSet;
        (is_queue_empty && has_set).then(|| self.working_set.candidates(now, ask, &self.loads))
    }
}
