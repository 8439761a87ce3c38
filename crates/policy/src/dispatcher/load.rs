//! Per-endpoint state of a dispatcher: slots in use, health estimate, advertisements, and the age
//! of the open requests.

use std::time::Duration;

use super::advertised::Advertised;
use super::concurrency::Concurrency;
use super::speed::AnswerTime;
use crate::baseline::Baseline;
use crate::belief::{Belief, SILENCE_RATIO};
use crate::likelihoods::Likelihoods;
use crate::permit::{Ask, PermitId};
use crate::rendezvous::{NodeId, stable_hash};
use crate::suspects::RequestKey;
use crate::time::Time;
use crate::topology::Distance;

/// Slow start ends after this time, so that endpoints that get few requests are not held back.
const SLOW_START_LIMIT: Duration = Duration::from_secs(10);

/// State of one endpoint in a dispatcher.
#[derive(Clone, Debug)]
pub(super) struct EndpointLoad {
    /// Hash of its failure domain.
    pub(super) failure_domain: u64,
    /// Hash of its region, if known.
    pub(super) region: Option<u64>,
    /// Treated as full until then, after it shed a request or asked for a back-off.
    pub(super) full_until: Time,
    /// Used only as a last resort until then, as reported by the peer that dispatches the service.
    pub(super) hinted_until: Time,
    pub(super) belief: Belief,
    /// What it can run at the same time, and what it accepts.
    pub(super) concurrency: Concurrency,
    /// How long its answers take.
    pub(super) answer_time: AnswerTime,
    /// Answers since it joined or restarted while its service was in use, until it gives all slots.
    pub(super) slow_start: Option<u32>,
    /// What it has advertised in its answers.
    pub(super) advertised: Advertised,
    /// Remaining warm-up time when the registry last changed it.
    pub(super) registered_warm_up: Duration,
    /// Whether its failure domain was evacuated at the last update from the registry.
    pub(super) was_evacuated: bool,
    open: Vec<OpenSend>,
    /// Time of its last request.
    last_used: Option<Time>,
    /// Since when this dispatcher has known it.
    known_since: Time,
    /// Whether an earlier incarnation of it was known here.
    has_restarted: bool,
    /// Whether it joined while the service was already dispatched here, and has had no request yet.
    pub(super) is_recently_joined: bool,
    /// Position of its first request in the introduction period of recently joined endpoints, from
    /// 0 to 1.
    pub(super) introduction_offset: f64,
}

/// A request that has not ended.
#[derive(Clone, Copy, Debug)]
struct OpenSend {
    id: PermitId,
    since: Time,
    route: u32,
    request: RequestKey,
    /// The node that sent it.
    node: NodeId,
    progress: Progress,
}

/// Progress of a request at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// The answer has not begun.
    Working,
    /// The answer is in transit. The age of the request is no evidence any more.
    InTransit(Slot),
}

/// Whether an answer in transit occupies a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Slot {
    /// The slot may be used again.
    Free,
    /// The endpoint holds the slot until the last byte is sent.
    Held,
}

/// Likelihood ratios, unhealthy against healthy, of an endpoint not having answered its open
/// requests by now.
#[derive(Clone, Copy, Debug)]
pub(super) struct Silence {
    /// Of all open requests.
    pub(super) ratio: f64,
    /// Without the node whose requests are the most silent.
    pub(super) confirmed: f64,
    /// That node; `None` if no request is open.
    pub(super) node: Option<NodeId>,
    /// Number of open requests of that node.
    pub(super) requests: u32,
}

impl Default for Silence {
    fn default() -> Self {
        Self { ratio: 1.0, confirmed: 1.0, node: None, requests: 0 }
    }
}

impl Silence {
    /// Whether only one node hears nothing. Its path to the endpoint, or the way of one answer, may
    /// be broken while the endpoint is healthy.
    pub(super) fn is_unconfirmed(&self) -> bool {
        self.ratio > SILENCE_RATIO && self.confirmed <= SILENCE_RATIO
    }
}

impl OpenSend {
    fn holds_slot(&self) -> bool {
        self.progress != Progress::InTransit(Slot::Free)
    }
}

impl EndpointLoad {
    pub(super) fn new(now: Time, failure_domain: &str) -> Self {
        Self {
            failure_domain: stable_hash(failure_domain.as_bytes()),
            region: None,
            full_until: Time::default(),
            hinted_until: Time::default(),
            belief: Belief::default(),
            concurrency: Concurrency::default(),
            answer_time: AnswerTime::default(),
            slow_start: None,
            advertised: Advertised::default(),
            registered_warm_up: Duration::ZERO,
            was_evacuated: false,
            open: Vec::new(),
            last_used: None,
            known_since: now,
            has_restarted: false,
            is_recently_joined: false,
            introduction_offset: 0.0,
        }
    }

    /// Marks an endpoint that joins while the service is dispatched. The hash of its identity
    /// spreads the first requests of endpoints that join together.
    pub(super) fn recently_joined(self, id: &str) -> Self {
        let introduction_offset = stable_hash(id.as_bytes()) as f64 / u64::MAX as f64;
        Self { is_recently_joined: true, introduction_offset, slow_start: Some(0), ..self }
    }

    /// Creates the state of a restarted endpoint, whose previous incarnation was known here.
    pub(super) fn restarted(now: Time, failure_domain: &str) -> Self {
        Self { has_restarted: true, slow_start: Some(0), ..Self::new(now, failure_domain) }
    }

    /// Whether a request that took `elapsed` until now may have gone to the previous incarnation.
    pub(super) fn predates_restart(&self, now: Time, elapsed: Duration) -> bool {
        self.has_restarted && elapsed > self.age(now)
    }

    /// Distance from a node in this failure domain and region.
    pub(super) fn distance(&self, failure_domain: u64, region: Option<u64>) -> Distance {
        match (self.region, region) {
            _ if self.failure_domain == failure_domain => Distance::Near,
            (Some(own), Some(other)) if own != other => Distance::OtherRegion,
            _ => Distance::SameRegion,
        }
    }

    /// Time since its last request; `None` if it had none.
    pub(super) fn idle(&self, now: Time) -> Option<Duration> {
        self.last_used.map(|it| now.since(it))
    }

    /// Time since its last request, or since it became known here if it had none.
    pub(super) fn idle_or_age(&self, now: Time) -> Duration {
        self.idle(now).unwrap_or(self.age(now))
    }

    /// Time since it became known here.
    pub(super) fn age(&self, now: Time) -> Duration {
        now.since(self.known_since)
    }

    /// Slots in use.
    pub(super) fn in_use(&self) -> u32 {
        self.open.iter().filter(|it| it.holds_slot()).count() as u32
    }

    /// Answers in transit that hold no slot.
    pub(super) fn in_transit(&self) -> u32 {
        self.open.len() as u32 - self.in_use()
    }

    /// Sends that have been open for longer than `failure_time` or whose answers have begun, among
    /// those that hold a slot and were begun less than `within` ago.
    pub(super) fn outlived(&self, now: Time, failure_time: Duration, within: Duration) -> u32 {
        let outlived = |it: &&OpenSend| {
            let age = now.since(it.since);
            it.holds_slot()
                && age < within
                && (it.progress != Progress::Working || age > failure_time)
        };
        self.open.iter().filter(outlived).count() as u32
    }

    /// Slots of those given that slow start allows: one, and one more for each answer. The first
    /// requests to a process that has just started run slowly or fail; time alone, by
    /// which the rotation grows its slots, does not show that it answers.
    pub(super) fn slots_in_slow_start(&self, now: Time, slots: u32) -> u32 {
        match self.slow_start {
            Some(answers) if self.age(now) < SLOW_START_LIMIT => slots.min(1 + answers),
            _ => slots,
        }
    }

    /// Age of the oldest open request on it.
    pub(super) fn oldest_open(&self, now: Time) -> Option<Duration> {
        self.open.iter().map(|it| now.since(it.since)).max()
    }

    /// Adds a request that takes a slot.
    pub(super) fn begin_request(&mut self, now: Time, ask: &Ask) {
        self.last_used = Some(now);
        self.is_recently_joined = false;
        let Ask { id, route, request, reporter, .. } = *ask;
        let progress = Progress::Working;
        self.open.push(OpenSend { id, since: now, route, request, node: reporter.node, progress });
    }

    /// Removes a request; returns whether it still held its slot.
    pub(super) fn end_request(&mut self, id: PermitId) -> bool {
        let held = self.open.iter().any(|it| it.id == id && it.holds_slot());
        self.open.retain(|it| it.id != id);
        held
    }

    /// The open requests on it, including those whose answers are in transit.
    pub(super) fn requests(&self) -> impl Iterator<Item = RequestKey> {
        self.open.iter().map(|it| it.request)
    }

    /// Records that the answer to a request has begun.
    pub(super) fn answer_began(&mut self, id: PermitId, slot: Slot) {
        let open = self.open.iter_mut().find(|it| it.id == id);
        open.into_iter().for_each(|it| it.progress = Progress::InTransit(slot));
    }

    /// The silence of its open requests.
    pub(super) fn silence(
        &self,
        now: Time,
        baseline: &Baseline,
        likelihoods: &Likelihoods,
    ) -> Silence {
        let waiting = self.open.iter().filter(|it| it.progress == Progress::Working);
        let mut by_node: Vec<(NodeId, f64, u32)> = Vec::new();
        for it in waiting {
            let still_open = baseline.still_open(it.route, now.since(it.since));
            let ratio = likelihoods.silence_ratio(still_open);
            match by_node.iter_mut().find(|(node, ..)| *node == it.node) {
                Some((_, product, n)) => (*product, *n) = (*product * ratio, *n + 1),
                None => by_node.push((it.node, ratio, 1)),
            }
        }
        let ratio = by_node.iter().map(|(_, ratio, _)| ratio).product();
        let most = by_node.iter().max_by(|(_, a, _), (_, b, _)| a.total_cmp(b));
        let Some((node, of_node, requests)) = most.copied() else { return Silence::default() };
        Silence { ratio, confirmed: ratio / of_node, node: Some(node), requests }
    }
}
