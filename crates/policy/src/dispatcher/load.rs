//! What a dispatcher knows of one endpoint: its slots in use, its latest failures, and for how long the
//! requests on it have been open.

use std::time::Duration;

use super::said::Said;
use crate::baseline::Baseline;
use crate::belief::Belief;
use crate::likelihoods::Likelihoods;
use crate::permit::{Ask, PermitId};
use crate::rendezvous::stable_hash;
use crate::suspects::RequestKey;
use crate::time::Time;
use crate::topology::Distance;

/// One endpoint, as far as a dispatcher knows it.
#[derive(Clone, Debug)]
pub(super) struct Load {
    /// Hash of its failure domain.
    pub(super) failure_domain: u64,
    /// Hash of its region, if that is known.
    pub(super) region: Option<u64>,
    pub(super) full_until: Time,
    /// Used last until then, on the word of the peer that dispatches the endpoint.
    pub(super) hinted_until: Time,
    pub(super) belief: Belief,
    /// What it has said of itself.
    pub(super) said: Said,
    /// For how much longer the registry called it cold when that last changed.
    pub(super) told_warm_up: Duration,
    /// Its failure domain was evacuated when that was last looked at.
    pub(super) was_evacuated: bool,
    open: Vec<OpenSend>,
    /// When it last got a request.
    used_at: Option<Time>,
    /// Since when it is known here.
    known_since: Time,
    /// An earlier life of it was known here.
    began_again: bool,
    /// It has joined a service that was handed out here, and had no work yet.
    pub(super) is_newcomer: bool,
    /// Its place among those that join at the same time, from 0 to 1.
    pub(super) turn: f64,
}

/// A request that is not over.
#[derive(Clone, Copy, Debug)]
struct OpenSend {
    id: PermitId,
    since: Time,
    route: u32,
    request: RequestKey,
    progress: Progress,
}

/// How far a request has come at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// The endpoint works on it.
    AtWork,
    /// Its answer travels, and its age says nothing any more.
    Travels(Slot),
}

/// What becomes of a slot while an answer travels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Slot {
    /// It may be used again.
    Free,
    /// The endpoint holds it until the last byte has gone.
    Held,
}

impl OpenSend {
    fn holds_slot(&self) -> bool {
        self.progress != Progress::Travels(Slot::Free)
    }
}

impl Load {
    pub(super) fn new(now: Time, failure_domain: &str) -> Self {
        Self {
            failure_domain: stable_hash(failure_domain.as_bytes()),
            region: None,
            full_until: Time::default(),
            hinted_until: Time::default(),
            belief: Belief::default(),
            said: Said::default(),
            told_warm_up: Duration::ZERO,
            was_evacuated: false,
            open: Vec::new(),
            used_at: None,
            known_since: now,
            began_again: false,
            is_newcomer: false,
            turn: 0.0,
        }
    }

    /// One that joins while the service is handed out. Their identities spread the turns of those that join together.
    pub(super) fn joining(self, id: &str) -> Self {
        let turn = stable_hash(id.as_bytes()) as f64 / u64::MAX as f64;
        Self { is_newcomer: true, turn, ..self }
    }

    /// An endpoint that has started again: its life before was known.
    pub(super) fn again(now: Time, failure_domain: &str) -> Self {
        Self { began_again: true, ..Self::new(now, failure_domain) }
    }

    /// Whether a request that took `elapsed` until now may have gone to the life before.
    pub(super) fn is_older(&self, now: Time, elapsed: Duration) -> bool {
        self.began_again && elapsed > self.age(now)
    }

    /// How far it is from a node in this failure domain and region.
    pub(super) fn distance(&self, failure_domain: u64, region: Option<u64>) -> Distance {
        match (self.region, region) {
            _ if self.failure_domain == failure_domain => Distance::Near,
            (Some(own), Some(other)) if own != other => Distance::OtherRegion,
            _ => Distance::SameRegion,
        }
    }

    /// Time without work; nothing if it has had none.
    pub(super) fn idle(&self, now: Time) -> Option<Duration> {
        self.used_at.map(|it| now.since(it))
    }

    /// Time without work, since it was first known here if it has had none.
    pub(super) fn alone(&self, now: Time) -> Duration {
        self.idle(now).unwrap_or(self.age(now))
    }

    /// Time since it was first known here.
    pub(super) fn age(&self, now: Time) -> Duration {
        now.since(self.known_since)
    }

    /// Slots in use.
    pub(super) fn in_use(&self) -> u32 {
        self.open.iter().filter(|it| it.holds_slot()).count() as u32
    }

    /// Answers that travel from it and hold no slot.
    pub(super) fn travelling(&self) -> u32 {
        self.open.len() as u32 - self.in_use()
    }

    /// For how long the oldest request on it has been open.
    pub(super) fn oldest_open(&self, now: Time) -> Option<Duration> {
        self.open.iter().map(|it| now.since(it.since)).max()
    }

    /// Takes a slot.
    pub(super) fn take(&mut self, now: Time, ask: &Ask) {
        self.used_at = Some(now);
        self.is_newcomer = false;
        let Ask { id, route, request, .. } = *ask;
        self.open.push(OpenSend { id, since: now, route, request, progress: Progress::AtWork });
    }

    /// Ends a request; returns whether it still held its slot.
    pub(super) fn give_back(&mut self, id: PermitId) -> bool {
        let held = self.open.iter().any(|it| it.id == id && it.holds_slot());
        self.open.retain(|it| it.id != id);
        held
    }

    /// The requests on it, those whose answers travel included.
    pub(super) fn requests(&self) -> impl Iterator<Item = RequestKey> {
        self.open.iter().map(|it| it.request)
    }

    /// The answer to a request has begun.
    pub(super) fn answer_began(&mut self, id: PermitId, slot: Slot) {
        let open = self.open.iter_mut().find(|it| it.id == id);
        open.into_iter().for_each(|it| it.progress = Progress::Travels(slot));
    }

    /// How much more likely it is that no request on it has been answered by now if it is sick.
    pub(super) fn silence(&self, now: Time, baseline: &Baseline, signs: &Likelihoods) -> f64 {
        let waiting = self.open.iter().filter(|it| it.progress == Progress::AtWork);
        let ratio =
            |it: &OpenSend| signs.silence_ratio(baseline.still_open(it.route, now.since(it.since)));
        waiting.map(ratio).product()
    }
}
