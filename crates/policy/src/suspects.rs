//! Detection of requests that crash the endpoints that process them.
//!
//! A single crash proves little: the endpoint may have crashed for its own reasons or because of
//! another request that was open at the same time. Three consecutive crashes, without an answer in
//! between, are attributed to the request. Crashes are consecutive if each send began after the
//! previous crash was known; copies of a frequent request that end together when a rack fails
//! therefore count once. A complete answer clears the request, because a request that crashes
//! endpoints gets none.

use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};

use crate::time::Time;

/// Consecutive crashes after which a request is rejected.
const MAX_CRASHES: u32 = 3;
/// How long a request is rejected the first time. After that one send is allowed, because a new
/// release of the service may handle the request; each further crash doubles the time.
const FIRST_REJECTION: Duration = Duration::from_secs(120);
/// Maximum number of doublings, which limits the rejection to about an hour.
const MAX_DOUBLINGS: u32 = 5;
/// Crashes further apart than this are unrelated.
const SUSPICION_LIFETIME: Duration = Duration::from_secs(600);
/// Maximum number of suspect requests. Those with the fewest crashes are dropped first, among them
/// those with the oldest last crash.
const MAX_SUSPECTS: usize = 1024;
/// How long an answered request is exempt: a frequent request meets crashes that it did not cause.
const EXEMPTION: Duration = Duration::from_secs(10);
/// Answered requests that are remembered, at most twice this number. Beyond that, some requests
/// lose the exemption until they are answered again.
const MAX_ANSWERED: usize = 4096;

/// Identifies identical requests: a hash of method, host, path, caller and body that is equal on
/// every node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestKey(pub u64);

/// How a send ended, as evidence for or against its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// With a complete answer.
    Answered,
    /// The endpoint's process ended.
    Crashed,
}

/// A request that crashes endpoints, and how long it is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The request.
    pub request: RequestKey,
    /// Time left, in milliseconds.
    pub valid_ms: u32,
}

/// The crashes attributed to one request.
#[derive(Clone, Copy, Debug)]
struct Suspect {
    /// Consecutive crashes.
    crashes: u32,
    /// When the last crash became known.
    known_at: Time,
    rejected_until: Time,
    /// How often the request was rejected.
    rejections: u32,
}

/// The suspect requests known to one dispatcher.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspects {
    by_key: FxHashMap<RequestKey, Suspect>,
    answered: Answered,
    /// Rejections since the last call of `take_rejections`.
    new_rejections: Vec<Rejection>,
}

impl Suspects {
    /// Records that an endpoint's process ended under a request that was sent at `sent`.
    pub(crate) fn crashed(&mut self, now: Time, request: RequestKey, sent: Time) {
        if self.answered.contains(now, request) {
            return;
        }
        let it = self.entry(now, request);
        let is_consecutive = it.crashes == 0 || sent >= it.known_at;
        if now < it.rejected_until || !is_consecutive {
            return;
        }
        it.crashes += 1;
        it.known_at = now;
        if it.crashes < MAX_CRASHES {
            return;
        }
        let length = FIRST_REJECTION * 2_u32.pow(it.rejections.min(MAX_DOUBLINGS));
        it.rejections += 1;
        it.reject(now + length);
        self.new_rejections.push(Rejection { request, valid_ms: length.as_millis() as u32 });
    }

    /// Records a complete answer.
    pub(crate) fn answered(&mut self, now: Time, request: RequestKey) {
        self.by_key.remove(&request);
        self.answered.record(now, request);
    }

    /// Applies a rejection by another node; returns whether the rejection was unknown here.
    pub(crate) fn reject(&mut self, now: Time, it: Rejection) -> bool {
        let until = now + Duration::from_millis(it.valid_ms.into());
        let suspect = self.entry(now, it.request);
        let is_unknown = now >= suspect.rejected_until;
        suspect.rejections = suspect.rejections.max(1);
        suspect.reject(until.max(suspect.rejected_until));
        is_unknown
    }

    /// For how much longer a request is rejected.
    pub(crate) fn rejected(&self, now: Time, request: RequestKey) -> Option<Duration> {
        let until = self.by_key.get(&request)?.rejected_until;
        (now < until).then(|| until.since(now))
    }

    /// Whether an endpoint has crashed under a request, which may still be sent.
    pub(crate) fn is_watched(&self, request: RequestKey) -> bool {
        self.by_key.contains_key(&request)
    }

    /// Number of suspect requests.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Returns the rejections by this dispatcher since the last call.
    pub(crate) fn take_rejections(&mut self) -> Vec<Rejection> {
        std::mem::take(&mut self.new_rejections)
    }

    /// Drops requests whose last crash is long ago.
    pub(crate) fn tick(&mut self, now: Time) {
        self.by_key
            .retain(|_, it| now.since(it.known_at.max(it.rejected_until)) < SUSPICION_LIFETIME);
    }

    /// The entry of a request, created if missing.
    fn entry(&mut self, now: Time, request: RequestKey) -> &mut Suspect {
        if self.by_key.len() >= MAX_SUSPECTS && !self.by_key.contains_key(&request) {
            let least_suspect = self.by_key.iter().min_by_key(|(_, it)| (it.crashes, it.known_at));
            if let Some(key) = least_suspect.map(|(key, _)| *key) {
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
    /// Rejects the request until `until`. One further crash after that rejects it again.
    fn reject(&mut self, until: Time) {
        self.rejected_until = until;
        self.crashes = MAX_CRASHES - 1;
        self.known_at = self.known_at.max(until);
    }
}

/// Recently answered requests: those of the current period and of the previous one.
#[derive(Clone, Debug, Default)]
struct Answered {
    since: Time,
    current: FxHashSet<RequestKey>,
    previous: FxHashSet<RequestKey>,
}

impl Answered {
    /// Records an answered request.
    fn record(&mut self, now: Time, request: RequestKey) {
        if now.since(self.since) >= EXEMPTION || self.current.len() >= MAX_ANSWERED {
            self.previous = std::mem::take(&mut self.current);
            self.since = now;
        }
        self.current.insert(request);
    }

    /// Whether a request was answered recently.
    fn contains(&self, now: Time, request: RequestKey) -> bool {
        let is_old = now.since(self.since) >= EXEMPTION * 2;
        !is_old && (self.current.contains(&request) || self.previous.contains(&request))
    }
}
