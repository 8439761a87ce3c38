//! Requests that may be what ends the endpoints which run them.
//!
//! One crash under a request proves little: the endpoint may have ended for a reason of its own, or under another
//! request that was open beside. Three in a row with nothing else in between are the request's doing. In a row means
//! that each send began after the crash before it was known, so that the many copies of an often asked request that a
//! failing rack ends in one moment count once. A whole answer clears the request, since one that crashes endpoints
//! gets none.

use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};

use crate::time::Time;

/// Crashes in a row after which a request is rejected.
const CRASHES: u32 = 3;
/// How long a request is rejected the first time. Then one send tries it, because a new release of the service may
/// bear it; each time that fails the time doubles.
const REJECTED_FOR: Duration = Duration::from_secs(120);
/// Longest such time, as doublings of the first: about an hour.
const MAX_DOUBLINGS: u32 = 5;
/// Crashes further apart than this have nothing to do with each other.
const SUSPECTED_FOR: Duration = Duration::from_secs(600);
/// Requests that are remembered. Those with the fewest crashes are forgotten first, then those whose last crash is
/// longest ago.
const MAX_SUSPECTS: usize = 1024;
/// How long a request that was answered is above suspicion: what an often asked one met is not its doing.
const ANSWERED_FOR: Duration = Duration::from_secs(10);
/// Answered requests that are remembered, twice at most; of more some come under suspicion without need, until they
/// are answered again.
const MAX_ANSWERED: usize = 4096;

/// What makes two requests the same one for an endpoint: a hash of method, host, path, caller and body that is equal
/// on every node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestKey(pub u64);

/// How a send ended, as far as it speaks for or against its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// With a whole answer.
    Answered,
    /// The endpoint's process ended.
    Crashed,
}

/// A request that crashes endpoints, and for how long nobody sends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The request.
    pub request: RequestKey,
    /// Milliseconds left.
    pub valid_ms: u32,
}

/// What crashes say against one request.
#[derive(Clone, Copy, Debug)]
struct Suspect {
    /// In a row.
    crashes: u32,
    /// When the last of them was known.
    known_at: Time,
    rejected_until: Time,
    /// Times that it was rejected.
    rejections: u32,
}

/// The suspects that one dispatcher knows.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspects {
    by_key: FxHashMap<RequestKey, Suspect>,
    answered: Answered,
    /// Rejections since they were last taken.
    news: Vec<Rejection>,
}

impl Suspects {
    /// Records that the process of an endpoint ended under a request that was sent at `sent`.
    pub(crate) fn crashed(&mut self, now: Time, request: RequestKey, sent: Time) {
        if self.answered.has(now, request) {
            return;
        }
        let it = self.entry(now, request);
        let is_next = it.crashes == 0 || sent >= it.known_at;
        if now < it.rejected_until || !is_next {
            return;
        }
        it.crashes += 1;
        it.known_at = now;
        if it.crashes < CRASHES {
            return;
        }
        let length = REJECTED_FOR * 2_u32.pow(it.rejections.min(MAX_DOUBLINGS));
        it.rejections += 1;
        it.reject(now + length);
        self.news.push(Rejection { request, valid_ms: length.as_millis() as u32 });
    }

    /// Records a whole answer.
    pub(crate) fn answered(&mut self, now: Time, request: RequestKey) {
        self.by_key.remove(&request);
        self.answered.note(now, request);
    }

    /// Takes in a rejection by another node; returns whether it was not known.
    pub(crate) fn reject(&mut self, now: Time, it: Rejection) -> bool {
        let until = now + Duration::from_millis(it.valid_ms.into());
        let suspect = self.entry(now, it.request);
        let is_news = now >= suspect.rejected_until;
        suspect.rejections = suspect.rejections.max(1);
        suspect.reject(until.max(suspect.rejected_until));
        is_news
    }

    /// For how much longer a request is rejected.
    pub(crate) fn rejected(&self, now: Time, request: RequestKey) -> Option<Duration> {
        let until = self.by_key.get(&request)?.rejected_until;
        (now < until).then(|| until.since(now))
    }

    /// Whether an endpoint has ended under a request that may be sent.
    pub(crate) fn is_watched(&self, request: RequestKey) -> bool {
        self.by_key.contains_key(&request)
    }

    /// Requests that are remembered.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Rejections by this dispatcher since the last call.
    pub(crate) fn take_news(&mut self) -> Vec<Rejection> {
        std::mem::take(&mut self.news)
    }

    /// Forgets crashes that nothing has followed.
    pub(crate) fn tick(&mut self, now: Time) {
        self.by_key.retain(|_, it| now.since(it.known_at.max(it.rejected_until)) < SUSPECTED_FOR);
    }

    fn entry(&mut self, now: Time, request: RequestKey) -> &mut Suspect {
        if self.by_key.len() >= MAX_SUSPECTS && !self.by_key.contains_key(&request) {
            let least = self.by_key.iter().min_by_key(|(_, it)| (it.crashes, it.known_at));
            if let Some(key) = least.map(|(key, _)| *key) {
                self.by_key.remove(&key);
            }
        }
        self.by_key.entry(request).or_insert(Suspect {
            crashes: 0,
            known_at: now,
            rejected_until: Time::default(),
            rejections: 0,
        })
    }
}

impl Suspect {
    /// After `until` one more crash rejects it again.
    fn reject(&mut self, until: Time) {
        self.rejected_until = until;
        self.crashes = CRASHES - 1;
        self.known_at = self.known_at.max(until);
    }
}

/// Requests that were answered lately: those of the last period, and those of the one before.
#[derive(Clone, Debug, Default)]
struct Answered {
    since: Time,
    last: FxHashSet<RequestKey>,
    before: FxHashSet<RequestKey>,
}

impl Answered {
    fn note(&mut self, now: Time, request: RequestKey) {
        if now.since(self.since) >= ANSWERED_FOR || self.last.len() >= MAX_ANSWERED {
            self.before = std::mem::take(&mut self.last);
            self.since = now;
        }
        self.last.insert(request);
    }

    fn has(&self, now: Time, request: RequestKey) -> bool {
        let is_old = now.since(self.since) >= ANSWERED_FOR * 2;
        !is_old && (self.last.contains(&request) || self.before.contains(&request))
    }
}
