//! Distribution of request rejections: every node knows the requests that crash endpoints, so that
//! a rejection holds whichever node hands out slots next.

use std::time::Duration;

use policy::{Rejection, RequestKey, Time};
use rand::Rng;
use rand::seq::IteratorRandom;
use rustc_hash::FxHashMap;

use super::{Effect, Exchange};
use crate::wire::{Gossip, Message};

/// Maximum number of rejections in one gossip message.
pub(crate) const REJECTIONS_PER_FRAME: usize = 4;
/// Maximum number of rejections that a node passes on; beyond it the one that expires first is
/// dropped. The node that issued a rejection still applies it.
const MAX_REJECTIONS: usize = 256;
/// A rejection is new if it is valid for this much longer than the known one; a smaller difference
/// is only transmission delay.
const SLACK: Duration = Duration::from_secs(5);

/// The rejections that a node passes on, with their expiry times.
#[derive(Debug, Default)]
pub(super) struct Rejections(FxHashMap<RequestKey, Time>);

impl Rejections {
    /// Records a rejection; returns whether it is new.
    fn record(&mut self, now: Time, it: Rejection) -> bool {
        let until = now + Duration::from_millis(it.valid_ms.into());
        let is_new = self.0.get(&it.request).is_none_or(|known| until > *known + SLACK);
        if !is_new {
            return false;
        }
        self.0.insert(it.request, until);
        if self.0.len() > MAX_REJECTIONS
            && let Some(first) = self.0.iter().min_by_key(|(_, until)| **until).map(|(key, _)| *key)
        {
            self.0.remove(&first);
        }
        true
    }

    fn time_left(&self, now: Time, request: RequestKey) -> Option<Duration> {
        let until = *self.0.get(&request)?;
        (now < until).then(|| until.since(now))
    }

    pub(super) fn expire(&mut self, now: Time) {
        self.0.retain(|_, until| now < *until);
    }

    pub(super) fn sample(&self, now: Time, rng: &mut impl Rng) -> Vec<Rejection> {
        let valid_ms = |until: &Time| until.since(now).as_millis() as u32;
        let all = self.0.iter().filter(|(_, until)| now < **until);
        let all = all.map(|(key, until)| Rejection { request: *key, valid_ms: valid_ms(until) });
        all.sample(rng, REJECTIONS_PER_FRAME)
    }
}

impl Exchange {
    /// Sends new rejections of this node to all peers at once: by gossip rounds alone some nodes
    /// would go on forwarding the requests for seconds. Nodes that miss the message or start later
    /// receive the rejections in rounds.
    pub fn announce_rejections(&mut self, now: Time, mut all: Vec<Rejection>) -> Vec<Effect> {
        all.retain(|it| self.rejections.record(now, *it));
        let mut effects = Vec::new();
        for rejections in all.chunks(REJECTIONS_PER_FRAME) {
            let gossip = Gossip { rejections: rejections.to_vec(), ..Gossip::default() };
            let send = |addr| Effect::Send(addr, Message::Gossip(gossip.clone()));
            effects.extend(self.members.iter().map(|(_, it)| send(it.info.addr)));
        }
        effects
    }

    /// For how much longer a request is rejected. The answer holds for every service, because a
    /// route may be moved to a service that is new here.
    pub fn rejected(&self, now: Time, request: RequestKey) -> Option<Duration> {
        self.rejections.time_left(now, request)
    }

    pub(super) fn receive_rejections(&mut self, now: Time, all: &[Rejection]) -> Vec<Effect> {
        let new = all.iter().filter(|it| self.rejections.record(now, **it));
        new.map(|it| Effect::Rejection(*it)).collect()
    }
}
