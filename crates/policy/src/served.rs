//! The share of a service's work that is not served, over the last seconds and over the last moments.
//!
//! The users judge a service by all requests of the routes that lead to it. Where a route is split over several services,
//! most of these never come here; what the others do not serve is told by the nodes that asked, and how many there were
//! follows from the weights. Seen by its own part alone, a service of 57 endpoints whose route lost 154 of 623 requests in
//! two seconds had nothing unserved, and left sound endpoints without work.

use std::time::Duration;

use crate::belief::Strain;
use crate::time::Time;

/// Time after which an outcome counts for a third. The users look at stretches of two seconds.
const MEMORY: Duration = Duration::from_secs(2);
/// Share of failures from which on endpoints are tried again sooner. The users' floor binds from a
/// tenth of the requests on.
const STRAINED: f64 = 0.09;
/// Share of failures from which on nobody is left alone for long. Where three endpoints of ten are sick at any time
/// and nobody is tried, one request of forty fails.
const GROWING: f64 = 0.06;
/// Time after which an outcome counts for a third in the latest share, which shows a sudden change before the
/// other one does.
const LATEST: Duration = Duration::from_millis(400);
/// Share of the latest failures from which on nobody is left alone for long: of few outcomes more fail by chance.
const LATEST_GROWING: f64 = 0.12;
/// Outcomes below which a share says little.
const MIN_OUTCOMES: f64 = 5.0;

/// How a piece of work ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    Served,
    Unserved,
}

/// Counts of endings that lose weight with a time constant.
#[derive(Clone, Copy, Debug)]
struct Decayed {
    memory: Duration,
    served: f64,
    unserved: f64,
    at: Time,
}

/// Endings over the last seconds and over the last moments.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Served {
    lately: Decayed,
    latest: Decayed,
}

impl Default for Served {
    fn default() -> Self {
        Self { lately: Decayed::over(MEMORY), latest: Decayed::over(LATEST) }
    }
}

impl Served {
    /// Takes in one ending.
    pub(crate) fn note(&mut self, now: Time, ending: Ending) {
        let (served, unserved) = match ending {
            Ending::Served => (1.0, 0.0),
            Ending::Unserved => (0.0, 1.0),
        };
        self.add(now, served, unserved);
    }

    /// Takes in requests that went to other services, and are served there as far as is known.
    pub(crate) fn note_elsewhere(&mut self, now: Time, requests: f64) {
        self.add(now, requests, 0.0);
    }

    /// Takes in that some of these were not served.
    pub(crate) fn note_unserved_elsewhere(&mut self, now: Time, requests: u32) {
        let requests = f64::from(requests);
        self.add(now, -requests, requests);
    }

    fn add(&mut self, now: Time, served: f64, unserved: f64) {
        self.lately.add(now, served, unserved);
        self.latest.add(now, served, unserved);
    }

    /// Whether so much fails that endpoints must be tried again sooner.
    pub(crate) fn strain(&self, now: Time) -> Strain {
        let lately = self.lately.unserved_share(now);
        match lately {
            it if it > STRAINED => Strain::Unserved,
            it if it > GROWING => Strain::Growing,
            _ if self.latest.unserved_share(now) > LATEST_GROWING => Strain::Growing,
            _ => Strain::None,
        }
    }
}

impl Decayed {
    fn over(memory: Duration) -> Self {
        Self { memory, served: 0.0, unserved: 0.0, at: Time(0) }
    }

    fn add(&mut self, now: Time, served: f64, unserved: f64) {
        let keep = (-now.since(self.at).as_secs_f64() / self.memory.as_secs_f64()).exp();
        self.served = (self.served * keep + served).max(0.0);
        self.unserved = self.unserved * keep + unserved;
        self.at = now;
    }

    /// The share that is not served; zero where too little was heard of to say so.
    fn unserved_share(&self, now: Time) -> f64 {
        let all = self.served + self.unserved;
        let is_old = now.since(self.at) > self.memory;
        if is_old || all <= MIN_OUTCOMES { 0.0 } else { self.unserved / all }
    }
}
