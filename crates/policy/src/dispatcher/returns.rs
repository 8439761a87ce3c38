//! Refused requests: when they may come back, and which requests have come back.
//!
//! Each refused request is given a time of its own, at the pace at which the share of its
//! organisation serves requests. An organisation that is refused often is soon told a time that is
//! longer than its callers wait before they come back, while others are told when there is room.

use std::time::Duration;

use resources::Priority;
use rustc_hash::FxHashMap;

use super::MIN_RETRY_AFTER;
use crate::suspects::RequestKey;
use crate::time::Time;

/// Refusals are remembered for this long to twice as long: about the length of a burst, and longer
/// than most callers wait before they come back.
const REMEMBERED: Duration = Duration::from_secs(5);
/// Longest time after which a refused request is asked to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Maximum number of refusals remembered in each of two periods. Beyond that, requests that come
/// back count as first attempts.
const MAX_REFUSED: usize = 4_096;
/// Maximum number of organisations and priorities whose refused requests are spread in time.
const MAX_LINES: usize = 4_096;

/// A request that has come back after a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Return {
    /// It waited as long as it was told to.
    WhenTold,
    /// It came back earlier.
    Early,
}

/// The refused requests of one dispatcher.
#[derive(Debug, Default)]
pub(super) struct Returns {
    /// When each request may come back: refusals of the current period and of the previous one.
    current: FxHashMap<RequestKey, Time>,
    previous: FxHashMap<RequestKey, Time>,
    since: Time,
    /// By priority and organisation: the time given to the last refused request.
    lines: FxHashMap<(Priority, u64), Time>,
}

impl Returns {
    /// Whether a request was refused lately. A key of zero identifies no request.
    pub(super) fn find(&self, now: Time, request: RequestKey) -> Option<Return> {
        if request == RequestKey::default() || now.since(self.since) >= REMEMBERED * 2 {
            return None;
        }
        let may_return = self.current.get(&request).or_else(|| self.previous.get(&request))?;
        Some(if now < *may_return { Return::Early } else { Return::WhenTold })
    }

    /// Records a refusal; returns when the request may come back. There is room for it after
    /// `room`, and for one more of its kind each `pace`.
    pub(super) fn refuse(
        &mut self,
        now: Time,
        request: RequestKey,
        kind: (Priority, u64),
        room: Duration,
        pace: Duration,
    ) -> Duration {
        if self.lines.len() >= MAX_LINES && !self.lines.contains_key(&kind) {
            self.lines.retain(|_, it| *it > now);
        }
        let first = now + room.max(MIN_RETRY_AFTER);
        let latest = now + MAX_RETRY_AFTER;
        let end = match self.lines.get(&kind) {
            Some(it) => (*it + pace.min(MAX_RETRY_AFTER)).max(first),
            None => first,
        };
        let end = end.min(latest);
        if self.lines.len() < MAX_LINES || self.lines.contains_key(&kind) {
            self.lines.insert(kind, end);
        }
        if now.since(self.since) >= REMEMBERED || self.current.len() >= MAX_REFUSED {
            self.previous = std::mem::take(&mut self.current);
            self.since = now;
        }
        self.current.insert(request, end);
        end.since(now)
    }
}
