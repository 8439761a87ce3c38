//! Queued requests: admission, order and grants of free slots.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, RngExt};
use resources::Priority;

use super::choice::Survey;
use super::congestion::Arrival;
use super::{Dispatcher, MIN_RETRY_AFTER};
use crate::permit::{Ask, DomainFilter, PermitId, QueuedReply, Reply, SendKind};
use crate::queue::Waiting;
use crate::rendezvous::NodeId;
use crate::suspects::RequestKey;
use crate::time::Time;

/// Maximum number of queued requests per slot.
const QUEUE_PER_SLOT: f64 = 8.0;
/// Lower bound for the number of slots in an estimate of the wait.
const MIN_SLOTS: f64 = 0.05;
/// Minimum time between two passes over the queue of a large service. A pass evaluates all
/// endpoints, and slots come free as often as there are requests.
const LARGE_DRAIN_INTERVAL: Duration = Duration::from_millis(5);
/// Number of endpoints from which on a service is large.
const LARGE_SERVICE: usize = 512;
/// Maximum number of queued requests, whatever the number of slots, which bounds the cost of a pass
/// over the queue.
const MAX_QUEUE: usize = 512;

impl Dispatcher {
    /// Queues an ask or refuses it. `slots` is the number of slots that may be used now.
    pub(super) fn enqueue(&mut self, now: Time, ask: Ask, slots: f64) -> Reply {
        let wait = self.expected_wait(self.queue.ahead_of(ask.priority), slots);
        let max_length = (slots * QUEUE_PER_SLOT).ceil() as usize;
        let arrival =
            Arrival { wait, work: self.mean_hold, objective: ask.objective, left: ask.left };
        let may_wait = self.congestion.admits(now, arrival);
        if !may_wait || self.queue.len() >= max_length.min(MAX_QUEUE) {
            self.counts.queue_refused += 1;
            self.note_unserved(now, 1);
            return Reply::Refused { retry_after: wait.max(MIN_RETRY_AFTER) };
        }
        if ask.send == SendKind::Further {
            self.budget.reserve();
        }
        self.queue.push(Waiting {
            priority: ask.priority,
            organisation: ask.organisation,
            weight: ask.weight,
            deadline: now + ask.left,
            item: ask,
        });
        Reply::Queued
    }

    /// Expected wait of a request behind `ahead` others.
    pub(super) fn expected_wait(&self, ahead: usize, slots: f64) -> Duration {
        self.mean_hold.mul_f64((ahead + 1) as f64 / slots.max(MIN_SLOTS))
    }

    /// Grants free slots to queued requests.
    pub(super) fn drain(&mut self, now: Time, rng: &mut impl Rng) -> Vec<QueuedReply> {
        let is_too_soon =
            self.loads.len() >= LARGE_SERVICE && now.since(self.last_drain) < LARGE_DRAIN_INTERVAL;
        if self.queue.len() == 0 || is_too_soon {
            return Vec::new();
        }
        self.last_drain = now;
        let mut settled = self.turn_away_rejected(now);
        self.refresh_inputs(now);
        let mut survey = self.survey(now);
        while self.queue.len() > 0 {
            if !self.has_free_slot(&survey) {
                break;
            }
            let Some(next) = self.next_waiting(&survey) else { break };
            // Choose the endpoint before taking the request off the queue: the choice depends on
            // the length of the queue, and a request that has left the queue must get a reply.
            let ask = self.queue.get(next);
            let Some(choice) = self.choose(&survey, ask, || rng.random()) else { break };
            let ask = self.queue.take(next).item;
            self.release_reserved_repeats(std::iter::once(&ask));
            let reply = Reply::Granted(self.grant(now, &ask, choice));
            self.refresh_candidate(&mut survey, choice.0);
            settled.push(QueuedReply { id: ask.id, reply });
        }
        settled
    }

    /// Position of the next request in queue order that an endpoint can take now. Requests that
    /// agree in everything that affects the choice share one result, and most queued requests do
    /// agree.
    fn next_waiting(&self, survey: &Survey) -> Option<usize> {
        let by_node = self.detector.has_path_faults() || self.has_backoffs(survey.now());
        let may_repeat = self.budget.covers(survey.now());
        let mut known: Vec<(ChoiceKey<'_>, bool)> = Vec::new();
        self.queue.best(|ask| {
            if ask.send == SendKind::Further && !may_repeat {
                return false;
            }
            let key = ChoiceKey { watched: self.watched(ask), ..ChoiceKey::of(ask, by_node) };
            if let Some((_, fits)) = known.iter().find(|(it, _)| *it == key) {
                return *fits;
            }
            let fits = self.choose(survey, ask, || 0).is_some();
            known.push((key, fits));
            fits
        })
    }

    /// Gives back the repeat budget reserved for asks that leave the queue. Granted asks spend
    /// their budget when the slot is granted.
    pub(super) fn release_reserved_repeats<'a>(&mut self, asks: impl Iterator<Item = &'a Ask>) {
        asks.filter(|it| it.send == SendKind::Further)
            .for_each(|_| self.budget.cancel_reservation());
    }

    /// Refuses a request that has waited until its deadline.
    pub(super) fn refusal(&self, id: PermitId) -> QueuedReply {
        let retry_after = self.mean_hold.max(MIN_RETRY_AFTER);
        QueuedReply { id, reply: Reply::Refused { retry_after } }
    }
}

/// All properties of an ask that affect whether an endpoint can take it.
#[derive(PartialEq)]
struct ChoiceKey<'a> {
    failure_domain: u64,
    /// The asking node, where paths from some nodes may be broken or endpoints have asked nodes to
    /// back off.
    node: Option<NodeId>,
    repeatable: bool,
    is_last: bool,
    long_answer: bool,
    send: SendKind,
    priority: Priority,
    objective: Duration,
    avoid: &'a [SocketAddr],
    closed: &'a [SocketAddr],
    places: Option<&'a DomainFilter>,
    /// The request, if an endpoint has crashed during it.
    watched: Option<RequestKey>,
}

impl<'a> ChoiceKey<'a> {
    fn of(ask: &'a Ask, by_node: bool) -> Self {
        Self {
            failure_domain: ask.reporter.failure_domain,
            node: by_node.then_some(ask.reporter.node),
            repeatable: ask.repeatable,
            is_last: ask.is_last,
            long_answer: ask.long_answer,
            send: ask.send,
            priority: ask.priority,
            objective: ask.objective,
            avoid: &ask.avoid,
            closed: &ask.closed,
            places: ask.domains.as_deref(),
            watched: None,
        }
    }
}
