//! Requests that wait for a slot.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, RngExt};
use resources::Priority;

use super::choice::Survey;
use super::congestion::Newcomer;
use super::{Dispatcher, MIN_RETRY_AFTER};
use crate::permit::{Ask, DomainFilter, PermitId, QueuedReply, Reply, SendKind};
use crate::queue::Waiting;
use crate::rendezvous::NodeId;
use crate::suspects::RequestKey;
use crate::time::Time;

/// Waiting requests for each slot at most.
const QUEUE_PER_SLOT: f64 = 8.0;
/// Fewest slots that a wait is reckoned with.
const LEAST_SLOTS: f64 = 0.05;
/// Those that wait for a large service are looked at this often at most: a look costs as much as the service has
/// endpoints, and slots come free as often as there are requests.
const DRAIN_EVERY: Duration = Duration::from_millis(5);
/// Endpoints from which on a service is large.
const LARGE: usize = 512;
/// Waiting requests at most, whatever the number of slots, so that a turn of the queue stays short.
const MAX_QUEUE: usize = 512;

impl Dispatcher {
    /// Lets an ask wait for one of `slots` that may be used now, or refuses it.
    pub(super) fn enqueue(&mut self, now: Time, ask: Ask, slots: f64) -> Reply {
        let wait = self.expected_wait(self.queue.ahead_of(ask.priority), slots);
        let most = (slots * QUEUE_PER_SLOT).ceil() as usize;
        let newcomer =
            Newcomer { wait, work: self.mean_hold, objective: ask.objective, left: ask.left };
        let may_wait = self.congestion.admits(now, newcomer);
        if !may_wait || self.queue.len() >= most.min(MAX_QUEUE) {
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

    /// How long a request waits with so many ahead of it.
    pub(super) fn expected_wait(&self, ahead: usize, slots: f64) -> Duration {
        self.mean_hold.mul_f64((ahead + 1) as f64 / slots.max(LEAST_SLOTS))
    }

    /// Gives free slots to those that wait.
    pub(super) fn drain(&mut self, now: Time, rng: &mut impl Rng) -> Vec<QueuedReply> {
        let is_too_soon = self.loads.len() >= LARGE && now.since(self.drained) < DRAIN_EVERY;
        if self.queue.len() == 0 || is_too_soon {
            return Vec::new();
        }
        self.drained = now;
        let mut settled = self.turn_away_rejected(now);
        self.look_around(now);
        let mut survey = self.survey(now);
        while self.queue.len() > 0 {
            if !self.has_free_slot(&survey) {
                break;
            }
            let Some(next) = self.next_waiting(&survey) else { break };
            // The endpoint is chosen while the request still counts as waiting: how urgent it is
            // depends on the queue, and a request that has left it must not be lost.
            let ask = self.queue.get(next);
            let Some(choice) = self.choose(&survey, ask, || rng.random()) else { break };
            let ask = self.queue.take(next).item;
            self.leave_queue(std::iter::once(&ask));
            let reply = Reply::Granted(self.grant(now, &ask, choice));
            self.look_again(&mut survey, choice.0);
            settled.push(QueuedReply { id: ask.id, reply });
        }
        settled
    }

    /// The next request in order for which there is an endpoint now. Requests that differ in nothing that
    /// bears on the choice have the same answer, and most of those that wait do.
    fn next_waiting(&self, survey: &Survey) -> Option<usize> {
        let by_node = self.judge.has_path_faults() || self.has_rests(survey.now());
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

    /// Gives back what is reserved for repeats that do not wait any more; those that are granted a slot
    /// are counted when that happens.
    pub(super) fn leave_queue<'a>(&mut self, asks: impl Iterator<Item = &'a Ask>) {
        asks.filter(|it| it.send == SendKind::Further)
            .for_each(|_| self.budget.cancel_reservation());
    }

    pub(super) fn refusal(&self, id: PermitId) -> QueuedReply {
        let retry_after = self.mean_hold.max(MIN_RETRY_AFTER);
        QueuedReply { id, reply: Reply::Refused { retry_after } }
    }
}

/// All of an ask that bears on whether there is an endpoint for it.
#[derive(PartialEq)]
struct ChoiceKey<'a> {
    failure_domain: u64,
    /// Paths from some nodes may be broken.
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
    /// The request, if an endpoint has ended under it.
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
