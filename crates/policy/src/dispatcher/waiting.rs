//! Queued requests: order and grants of free slots.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, RngExt};
use resources::Priority;

use super::candidate::Survey;
use super::{Dispatcher, MIN_RETRY_AFTER};
use crate::permit::{Ask, DomainFilter, PermitId, QueuedReply, Reply, SendKind};
use crate::rendezvous::NodeId;
use crate::suspects::RequestKey;
use crate::time::Time;

/// Minimum time between two passes over the queue of a large service. A pass evaluates all
/// endpoints, and slots come free as often as there are requests.
const LARGE_DRAIN_INTERVAL: Duration = Duration::from_millis(5);
/// Number of endpoints from which on a service is large.
const LARGE_SERVICE: usize = 512;
/// How often a queue without free slots is searched for requests that cannot finish. Much shorter
/// than an objective, so that they are told at once.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl Dispatcher {
    /// Grants free slots to queued requests.
    pub(super) fn drain(&mut self, now: Time, rng: &mut impl Rng) -> Vec<QueuedReply> {
        let is_too_soon =
            self.loads.len() >= LARGE_SERVICE && now.since(self.last_drain) < LARGE_DRAIN_INTERVAL;
        let mut settled = self.take_evicted();
        if self.queue.len() == 0 || is_too_soon {
            return settled;
        }
        self.last_drain = now;
        settled.extend(self.turn_away_rejected(now));
        self.refresh_inputs(now);
        let mut survey = self.survey(now);
        let is_check_due = now.since(self.contended.last_check) >= CHECK_INTERVAL;
        if self.is_ranked() && (is_check_due || self.has_free_slot(&survey)) {
            self.contended.last_check = now;
            self.rank_queue(now);
            settled.extend(self.refuse_hopeless(now, survey.capacity(), rng));
        }
        while self.queue.len() > 0 {
            if !self.has_free_slot(&survey) {
                break;
            }
            let mut next = self.next_waiting(&survey);
            if next.is_none() && self.options.near_first && survey.several_domains_wait() {
                survey.is_left_over = true;
                next = self.next_waiting(&survey);
            }
            let Some(next) = next else { break };
            // Choose the endpoint before taking the request off the queue: the choice depends on
            // the length of the queue, and a request that has left the queue must get a reply.
            let ask = self.queue.get(next);
            let Some(choice) = self.choose(&survey, ask, || rng.random()) else { break };
            let ask = self.queue.take(next).item;
            self.release_reserved_repeats(std::iter::once(&ask));
            let reply = Reply::Granted(self.grant(now, &ask, choice));
            self.refresh_candidate(&mut survey, choice.endpoint);
            settled.push(QueuedReply { id: ask.id, reply });
        }
        settled
    }

    /// Position of the next request in queue order that an endpoint can take now. Requests that
    /// agree in everything that affects the choice share one result, and most queued requests do
    /// agree.
    fn next_waiting<'a>(&'a self, survey: &Survey) -> Option<usize> {
        let by_node = self.detector.has_path_faults() || self.has_backoffs(survey.now());
        let may_repeat = self.budget.covers(survey.now());
        let mut known: Vec<(ChoiceKey<'a>, bool)> = Vec::new();
        let fits = |ask: &'a Ask| {
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
        };
        match self.is_ranked() {
            true => self.queue.first(fits),
            false => self.queue.best(fits),
        }
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
