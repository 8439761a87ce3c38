//! The share of a service's requests that is not served, over the last seconds and over a shorter
//! window.
//!
//! The availability target counts all requests of the routes that lead to a service. When a route
//! is split over several services, most of its requests never reach this dispatcher: the weights of
//! the split give the number of requests sent to other services, and the asking nodes report how
//! many of those were not served. Without this, a service with 57 endpoints whose route lost 154 of
//! 623 requests in two seconds counted no unserved request and left healthy endpoints without work.

use std::time::Duration;

use crate::belief::Pressure;
use crate::domain_load::MAX_LOAD_AGE;
use crate::time::Time;

/// Time constant with which outcomes decay. The availability target uses windows of two seconds.
const TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Share of unserved requests above which failed endpoints are tried again sooner. The availability
/// target takes effect at a tenth of the requests.
const UNSERVED_ABOVE: f64 = 0.09;
/// Share of unserved requests above which no endpoint stays idle for long. When three endpoints of
/// ten are unhealthy at any time and none of them is tried, one request of forty fails.
const GROWING_ABOVE: f64 = 0.06;
/// Time constant of the shorter window, which shows a sudden change earlier.
const RECENT_TIME_CONSTANT: Duration = Duration::from_millis(400);
/// Share of unserved requests in the shorter window above which no endpoint stays idle for long. It
/// is higher because the share varies more in a smaller sample.
const RECENT_GROWING_ABOVE: f64 = 0.12;
/// Number of outcomes up to which the share is taken as zero.
const MIN_OUTCOMES: f64 = 5.0;

/// Whether a request was served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Completion {
    Served,
    Unserved,
}

/// Exponentially decaying counts.
#[derive(Clone, Copy, Debug)]
struct Decayed {
    time_constant: Duration,
    served: f64,
    unserved: f64,
    at: Time,
}

/// Counts of served and unserved requests over both windows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnservedShare {
    window: Decayed,
    recent: Decayed,
    /// Requests of other failure domains, as their dispatchers counted them.
    remote: Remote,
}

/// Served and unserved requests in other failure domains.
#[derive(Clone, Copy, Debug, Default)]
struct Remote {
    served: f64,
    unserved: f64,
    /// When they were received; `None` if never.
    at: Option<Time>,
}

impl Default for UnservedShare {
    fn default() -> Self {
        let (window, recent) = (Decayed::over(TIME_CONSTANT), Decayed::over(RECENT_TIME_CONSTANT));
        Self { window, recent, remote: Remote::default() }
    }
}

impl UnservedShare {
    /// Records one request.
    pub(crate) fn note(&mut self, now: Time, completion: Completion) {
        let (served, unserved) = match completion {
            Completion::Served => (1.0, 0.0),
            Completion::Unserved => (0.0, 1.0),
        };
        self.add(now, served, unserved);
    }

    /// Records that a request counted as not served was served after all.
    pub(crate) fn revise_to_served(&mut self, now: Time) {
        self.add(now, 1.0, -1.0);
    }

    /// Records requests sent to other services. They count as served until reported otherwise.
    pub(crate) fn note_elsewhere(&mut self, now: Time, requests: f64) {
        self.add(now, requests, 0.0);
    }

    /// Records that some of the requests sent to other services were not served.
    pub(crate) fn note_unserved_elsewhere(&mut self, now: Time, requests: u32) {
        let requests = f64::from(requests);
        self.add(now, -requests, requests);
    }

    fn add(&mut self, now: Time, served: f64, unserved: f64) {
        self.window.add(now, served, unserved);
        self.recent.add(now, served, unserved);
    }

    /// Sets the numbers of requests served and not served in other failure domains, which this
    /// dispatcher does not see.
    pub(crate) fn set_remote(&mut self, now: Time, served: f64, unserved: f64) {
        self.remote = Remote { served, unserved, at: Some(now) };
    }

    /// Requests served and not served that this dispatcher has counted.
    pub(crate) fn own_counts(&self, now: Time) -> (f64, f64) {
        self.window.counts(now)
    }

    /// The share of unserved requests in all failure domains.
    fn share_of_service(&self, now: Time) -> f64 {
        match self.remote.at {
            Some(at) if now.since(at) <= MAX_LOAD_AGE => {
                let (served, unserved) = self.window.counts(now);
                share(served + self.remote.served, unserved + self.remote.unserved)
            }
            _ => self.window.unserved_share(now),
        }
    }

    /// The pressure that follows from the share of unserved requests.
    pub(crate) fn pressure(&self, now: Time) -> Pressure {
        let share = self.share_of_service(now);
        match share {
            it if it > UNSERVED_ABOVE => Pressure::Unserved,
            it if it > GROWING_ABOVE => Pressure::Growing,
            _ if self.recent.unserved_share(now) > RECENT_GROWING_ABOVE => Pressure::Growing,
            _ => Pressure::None,
        }
    }
}

impl Decayed {
    fn over(time_constant: Duration) -> Self {
        Self { time_constant, served: 0.0, unserved: 0.0, at: Time(0) }
    }

    fn add(&mut self, now: Time, served: f64, unserved: f64) {
        let (served_before, unserved_before) = self.counts(now);
        self.served = (served_before + served).max(0.0);
        self.unserved = (unserved_before + unserved).max(0.0);
        self.at = now;
    }

    /// The share of unserved requests; zero when there are too few or no recent ones.
    fn unserved_share(&self, now: Time) -> f64 {
        let is_old = now.since(self.at) > self.time_constant;
        if is_old { 0.0 } else { share(self.served, self.unserved) }
    }

    /// The counts, decayed until now.
    fn counts(&self, now: Time) -> (f64, f64) {
        let keep = (-now.since(self.at).as_secs_f64() / self.time_constant.as_secs_f64()).exp();
        (self.served * keep, self.unserved * keep)
    }
}

/// The share of unserved requests; zero when there are too few.
fn share(served: f64, unserved: f64) -> f64 {
    let all = served + unserved;
    if all <= MIN_OUTCOMES { 0.0 } else { unserved / all }
}
