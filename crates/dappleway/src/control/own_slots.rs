//! Slots for the requests of this node. They are acquired from a dispatcher of this node or of another node,
//! used, and released.

use std::time::Duration;

use caller::{RefusalReason, Refused, SlotRequest};
use fleet::{Directory, PermitAction, PermitMessage, PermitOutcome, PermitRequest, Place};
use policy::{
    Ask, DomainFilter, Grant, Kind, NodeId, Notice, Observation, PermitId, QueuedReply, Reply, Time,
};
use rand::rngs::StdRng;
use resources::{Name, Repeat, Route};
use tokio::sync::oneshot;

use super::{
    Control, NOTIFIED_SUCCESSORS, OpenPermit, RENEWAL_INTERVAL, RoutedRequest, ServingNodes,
    UnservedCounts, Waiter,
};
use crate::event::Command;
use crate::services::{EndpointNotice, Scope, name_hash, route_hash};
use crate::settings::Mode;

impl Control {
    pub(super) fn handle_command(&mut self, now: Time, command: Command) {
        match command {
            Command::Acquire(id, slot_request, tx) => self.acquire(now, id, &slot_request, tx),
            Command::Admit(organisation, tx) => self.admit(now, organisation, tx),
            Command::ChooseDetours(request, tx) => {
                // The request may have been cancelled meanwhile.
                let _ = tx.send(self.choose_detours(now, &request));
            }
            Command::DetourFailed(node, error) => self.handle_detour_failure(now, node, &error),
            Command::Withdraw(id) => self.withdraw(now, id),
            Command::Stalled(id, elapsed) => self.handle_stall(now, id, elapsed),
            Command::AnswerBegan(id, elapsed) => self.handle_answer_began(now, id, elapsed),
            Command::Noticed(id, notice) => self.handle_notice(now, id, notice),
            Command::End(id, outcome) => self.end_permit(now, id, outcome),
            Command::Unserved(route, service) => self.count_unserved(&route, &service),
            Command::RefusedBeforeDispatch(route) => self.count_refused(&route),
        }
    }

    pub(super) fn acquire(
        &mut self,
        now: Time,
        id: PermitId,
        slot_request: &SlotRequest,
        tx: oneshot::Sender<Result<(Grant, Place), Refused>>,
    ) {
        let service = name_hash(&slot_request.service);
        let Some(state) = self.services.get(service) else {
            // The request may have been cancelled meanwhile.
            let _ = tx.send(Err(Refused::no_capacity(RENEWAL_INTERVAL)));
            return;
        };
        let rejected = self.exchange.rejected(now, slot_request.request);
        if let Some(retry_after) = rejected.or_else(|| state.rejected(now, slot_request.request)) {
            // The request may have been cancelled meanwhile.
            let _ = tx.send(Err(Refused { retry_after, reason: RefusalReason::CrashesEndpoints }));
            return;
        }
        let ask = Ask {
            id,
            reporter: self.me,
            route: route_hash(&slot_request.route.name),
            request: slot_request.request,
            repeatable: slot_request.route.repeat == Repeat::Anytime,
            priority: slot_request.priority,
            organisation: slot_request.organisation,
            weight: slot_request.weight,
            long_answer: slot_request.route.stream,
            send: slot_request.send,
            brings_share: true,
            avoid: slot_request.avoid.clone(),
            closed: state.closed(now, self.me.node),
            domains: self.domain_filter(slot_request),
            limits: state.direct.received_limits(now),
            left: slot_request.left,
            is_last: slot_request.is_last,
            objective: slot_request.route.objective(),
            wait: slot_request.wait,
        };
        let request =
            RoutedRequest { route: slot_request.route.clone(), key: slot_request.request };
        let failure_domain = self.home_domain(state, self.me, ask.domains.as_deref());
        self.waiting.insert(id, Waiter { tx, service, request });
        if self.mode != Mode::Permits {
            self.ask_own_dispatcher(now, Place::Direct, service, false, ask);
            return;
        }
        let deadline = now + slot_request.left;
        let permit_request = PermitRequest { ask, service, failure_domain, deadline };
        let directory = ServingNodes::new(now, self.me, &self.topology, &self.exchange);
        let action = self.client.request(now, permit_request, &directory);
        self.perform(now, action);
    }

    /// Restrictions on the failure domains that a request may be sent to.
    fn domain_filter(&self, slot_request: &SlotRequest) -> Option<Box<DomainFilter>> {
        let only = slot_request.regions.as_ref().map(|it| self.topology.domains_in(it));
        DomainFilter { evacuated: self.evacuated.clone(), only }.boxed()
    }

    pub(super) fn perform(&mut self, now: Time, action: PermitAction) {
        match action {
            PermitAction::AskHere { place, service, may_redirect, ask } => {
                self.ask_own_dispatcher(now, place, service, may_redirect, ask)
            }
            PermitAction::Send(node, message) => self.send_permit_message(now, node, message),
            PermitAction::Settle(id, PermitOutcome::Granted(grant, place)) => {
                self.handle_grant(now, id, grant, place);
            }
            PermitAction::Settle(id, PermitOutcome::Refused(retry_after)) => {
                if let Some(it) = self.waiting.remove(&id) {
                    let _ = it.tx.send(Err(Refused::no_capacity(retry_after)));
                }
            }
            PermitAction::Settle(id, PermitOutcome::Rejected(retry_after)) => {
                if let Some(it) = self.waiting.remove(&id) {
                    let _ = it.tx.send(Err(Refused {
                        retry_after,
                        reason: RefusalReason::CrashesEndpoints,
                    }));
                }
            }
        }
    }

    pub(super) fn ask_own_dispatcher(
        &mut self,
        now: Time,
        place: Place,
        service: u64,
        may_redirect: bool,
        ask: Ask,
    ) {
        let id = ask.id;
        let dispatcher = match place {
            Place::Own(domain) => self.services.fleet_dispatcher(now, service, domain),
            _ => self.services.get_mut(service).map(|it| &mut it.direct),
        };
        let Some(dispatcher) = dispatcher else {
            if self.services.get(service).is_some() {
                // This node knows no endpoint in the failure domain, as if it were behind in configuration.
                self.handle_own_reply(now, place, id, Reply::Full);
                return;
            }
            // The service was removed after the slot was requested.
            self.perform(now, PermitAction::Settle(id, PermitOutcome::Refused(RENEWAL_INTERVAL)));
            return;
        };
        let reply = match may_redirect {
            true => dispatcher.ask_redirecting(now, ask, &mut self.rng),
            false => dispatcher.ask(now, ask, &mut self.rng),
        };
        let evicted = dispatcher.take_evicted();
        let scope = match place {
            Place::Own(failure_domain) => Scope::Fleet(failure_domain),
            Place::Direct | Place::Peer(_) => Scope::Node,
        };
        self.pending_replies.extend(evicted.into_iter().map(|it| (scope, it)));
        self.handle_own_reply(now, place, id, reply);
    }

    /// Passes a reply of one of this node's own dispatchers to the pending slot request that it answers.
    pub(super) fn handle_own_reply(&mut self, now: Time, place: Place, id: PermitId, reply: Reply) {
        if self.mode != Mode::Permits {
            match reply {
                Reply::Granted(grant) => self.handle_grant(now, id, grant, place),
                Reply::Refused { retry_after } => {
                    let action = PermitAction::Settle(id, PermitOutcome::Refused(retry_after));
                    self.perform(now, action);
                }
                Reply::Rejected { retry_after } => {
                    let action = PermitAction::Settle(id, PermitOutcome::Rejected(retry_after));
                    self.perform(now, action);
                }
                Reply::Full | Reply::Elsewhere { .. } => {
                    self.perform(
                        now,
                        PermitAction::Settle(id, PermitOutcome::Refused(RENEWAL_INTERVAL)),
                    );
                }
                Reply::Queued => {}
            }
            return;
        }
        let directory = ServingNodes::new(now, self.me, &self.topology, &self.exchange);
        let is_grant = matches!(reply, Reply::Granted(_));
        match self.client.reply(now, place, id, reply, &directory) {
            Some(action) => self.perform(now, action),
            // The slot request was withdrawn or has been sent to another node, so the slot is returned.
            None if is_grant => self.return_slot(now, place, id),
            None => {}
        }
    }

    pub(super) fn handle_grant(&mut self, now: Time, id: PermitId, grant: Grant, place: Place) {
        let Some(waiter) = self.waiting.remove(&id) else {
            self.return_slot(now, place, id);
            return;
        };
        let Waiter { tx, service, request } = waiter;
        if self.is_closed(now, service, &grant) {
            self.return_slot(now, place, id);
            // The request may have been cancelled meanwhile.
            let _ = tx.send(Err(Refused::closed()));
            return;
        }
        let endpoint = grant.endpoint.clone();
        if grant.is_rate_limited
            && place != Place::Direct
            && let Some(state) = self.services.get_mut(service)
        {
            state.direct.sent_elsewhere(now, &endpoint);
        }
        if let Some(state) = self.services.get_mut(service) {
            state.count_send(self.me.failure_domain, &endpoint);
        }
        let (started_ms, is_watched) = (grant.started_ms, grant.is_watched);
        let open = OpenPermit {
            place,
            service,
            request,
            endpoint,
            started_ms,
            is_watched,
            stalled: false,
        };
        self.open_permits.insert(id, open);
        if tx.send(Ok((grant, place))).is_err() {
            self.end_permit(now, id, None);
        }
    }

    /// Whether this node must not use a slot. The node that granted it may know less of the endpoint, as after a
    /// pause. An endpoint that is unknown here may be new.
    fn is_closed(&mut self, now: Time, service: u64, grant: &Grant) -> bool {
        let (id, started_ms) = (&grant.endpoint, grant.started_ms);
        let replica = self.exchange.replica();
        let Some(state) = self.services.get_mut(service) else {
            return replica.has_left(now, id, started_ms);
        };
        let is_closed = state.direct.is_closed(now, self.me.node, id, started_ms);
        if !replica.has_left(now, id, started_ms) {
            return is_closed;
        }
        let left = replica.left(now, &state.service.name).into_iter();
        let left = left.map(|it| it.endpoint.addr).filter(|it| !state.is_in_use(*it)).collect();
        state.left.granted(now, grant.addr, left);
        true
    }

    pub(super) fn withdraw(&mut self, now: Time, id: PermitId) {
        let Some(waiter) = self.waiting.remove(&id) else {
            // The slot was granted meanwhile, and nobody receives it.
            self.end_permit(now, id, None);
            return;
        };
        match self.client.withdraw(id).unwrap_or(Place::Direct) {
            Place::Peer(node) => {
                self.send_permit_message(now, node, PermitMessage::Release { id, outcome: None })
            }
            place => self.with_dispatcher(place, waiter.service, |it, rng| it.cancel(now, id, rng)),
        }
    }

    /// Returns a slot that was granted after its request had gone.
    pub(super) fn return_slot(&mut self, now: Time, place: Place, id: PermitId) {
        if let Place::Peer(node) = place {
            self.send_permit_message(now, node, PermitMessage::Release { id, outcome: None });
            return;
        }
        // The service of the permit is not known any more. Permit ids are unique across services, so all
        // dispatchers are asked to cancel the permit.
        let services: Vec<u64> = self.services.hashes().collect();
        for service in services {
            self.with_dispatcher(place, service, |it, rng| it.cancel(now, id, rng));
        }
    }

    pub(super) fn handle_stall(&mut self, now: Time, id: PermitId, elapsed: Duration) {
        let Some(open) = self.open_permits.get_mut(&id) else { return };
        open.stalled = true;
        let open = open.clone();
        self.notify_successors(now, &open, Kind::Stalled, elapsed);
        match open.place {
            Place::Peer(node) => {
                self.send_permit_message(now, node, PermitMessage::Stalled { id, elapsed });
                self.observe_for_direct(now, &open, Kind::Stalled, elapsed);
            }
            place => self.with_dispatcher(place, open.service, |it, _| {
                it.stalled(now, id, elapsed);
                Vec::new()
            }),
        }
    }

    pub(super) fn handle_answer_began(&mut self, now: Time, id: PermitId, elapsed: Duration) {
        let Some(open) = self.open_permits.get(&id) else { return };
        match open.place {
            Place::Peer(node) => {
                self.send_permit_message(now, node, PermitMessage::AnswerBegan { id, elapsed })
            }
            place => self.with_dispatcher(place, open.service, |it, rng| {
                it.answer_began(now, id, elapsed, rng)
            }),
        }
    }

    /// Applies a notice from an endpoint's answer to the dispatchers of this node, and forwards the notice to the
    /// node that handed out the slot.
    fn handle_notice(&mut self, now: Time, id: PermitId, notice: Notice) {
        let Some(open) = self.open_permits.get(&id) else { return };
        let (place, service) = (open.place, open.service);
        let it = EndpointNotice {
            by: self.me.node,
            endpoint: open.endpoint.clone(),
            started_ms: open.started_ms,
            notice,
        };
        self.apply_notice(now, service, &it);
        if let Place::Peer(node) = place {
            let EndpointNotice { endpoint, started_ms, notice, .. } = it;
            let message = PermitMessage::Noticed { service, endpoint, started_ms, notice };
            self.send_permit_message(now, node, message);
        }
    }

    /// Applies a notice from an endpoint and logs it if it changes what this node knows.
    pub(super) fn apply_notice(&mut self, now: Time, service: u64, it: &EndpointNotice) {
        if self.services.apply_notice(now, service, it) {
            self.log_notice(service, it);
        }
    }

    pub(super) fn end_permit(
        &mut self,
        now: Time,
        id: PermitId,
        outcome: Option<(Kind, Duration)>,
    ) {
        let Some(open) = self.open_permits.remove(&id) else { return };
        // The outcome of a request that was open while this process was paused is no evidence about the endpoint.
        let outcome = outcome.filter(|(_, elapsed)| now - *elapsed > self.resumed_at);
        if let Some((kind @ (Kind::Failed | Kind::Crashed | Kind::TimedOut), elapsed)) = outcome
            && !open.stalled
        {
            self.notify_successors(now, &open, kind, elapsed);
        }
        if let Some((kind, elapsed)) = outcome {
            self.report_run_end(now, &open, kind, elapsed);
        }
        match (open.place, outcome) {
            (Place::Peer(node), outcome) => {
                self.send_permit_message(now, node, PermitMessage::Release { id, outcome });
                // A failure after a reported stall is the same evidence, and is not counted twice.
                if let Some((kind, elapsed)) = outcome.filter(|_| !open.stalled) {
                    self.observe_for_direct(now, &open, kind, elapsed);
                }
            }
            (place, Some((kind, elapsed))) => {
                self.with_dispatcher(place, open.service, |it, rng| {
                    it.release(now, id, kind, elapsed, rng)
                })
            }
            (place, None) => {
                self.with_dispatcher(place, open.service, |it, rng| it.cancel(now, id, rng))
            }
        }
    }

    /// Reports a failed request to the nodes that would dispatch the service next, so that they know of the
    /// failure when they take over.
    fn notify_successors(&mut self, now: Time, open: &OpenPermit, kind: Kind, elapsed: Duration) {
        if self.mode != Mode::Permits {
            return;
        }
        let directory = ServingNodes::new(now, self.me, &self.topology, &self.exchange);
        let failure_domain = self.dispatch_domain_of(open.service, &open.endpoint);
        let candidates = directory.candidates(open.service, failure_domain);
        let successors = candidates.into_iter().take(NOTIFIED_SUCCESSORS + 1);
        let is_informed = |it: &NodeId| open.place == Place::Peer(*it) || *it == self.me.node;
        let successors: Vec<NodeId> = successors.filter(|it| !is_informed(it)).collect();
        let observation =
            Observation { reporter: self.me, endpoint: 0, route: open.route(), kind, elapsed };
        let (service, endpoint) = (open.service, &open.endpoint);
        for node in successors {
            let endpoint = endpoint.clone();
            self.send_permit_message(
                now,
                node,
                PermitMessage::Observed { service, endpoint, observation },
            );
        }
    }

    /// Counts an unserved request for the other services of its route.
    fn count_unserved(&mut self, route: &Route, service: &Name) {
        for (other, weight) in route.shares() {
            if other != service && weight > 0 {
                self.unserved.entry(name_hash(other)).or_default().elsewhere += 1;
            }
        }
    }

    /// Counts a request that was refused before any service was asked, for all services of its route. The
    /// availability target counts such a request as not served by each of these services.
    fn count_refused(&mut self, route: &Route) {
        for (service, weight) in route.shares() {
            if weight > 0 {
                self.unserved.entry(name_hash(service)).or_default().refused += 1;
            }
        }
    }

    /// Reports the counted unserved requests to the dispatchers of the services.
    pub(super) fn report_unserved(&mut self, now: Time) {
        for (service, UnservedCounts { elsewhere: requests, refused }) in
            std::mem::take(&mut self.unserved)
        {
            let directory = ServingNodes::new(now, self.me, &self.topology, &self.exchange);
            let state = self.services.get(service);
            let failure_domain = state.and_then(|it| self.home_domain(it, self.me, None));
            match self.client.place(now, service, failure_domain, &directory) {
                Place::Peer(node) => {
                    let message = PermitMessage::UnservedElsewhere { service, requests, refused };
                    self.send_permit_message(now, node, message);
                }
                place => self.with_dispatcher(place, service, |it, _| {
                    it.unserved_elsewhere(now, requests);
                    it.refused_before_dispatch(now, refused);
                    Vec::new()
                }),
            }
        }
    }

    /// Records the outcome of a request whose slot came from another node, for the case that this node has to
    /// pick endpoints itself later.
    pub(super) fn observe_for_direct(
        &mut self,
        now: Time,
        open: &OpenPermit,
        kind: Kind,
        elapsed: Duration,
    ) {
        let Some(state) = self.services.get_mut(open.service) else { return };
        let it = Observation { reporter: self.me, endpoint: 0, route: open.route(), kind, elapsed };
        state.direct.observe(now, &open.endpoint, it);
    }

    /// Runs `f` on a dispatcher of this node and queues the replies that it returns.
    pub(super) fn with_dispatcher(
        &mut self,
        place: Place,
        service: u64,
        f: impl FnOnce(&mut policy::Dispatcher, &mut StdRng) -> Vec<QueuedReply>,
    ) {
        let Some(state) = self.services.get_mut(service) else { return };
        let (scope, dispatcher) = match place {
            Place::Own(domain) => (Scope::Fleet(domain), state.fleet.get_mut(&domain)),
            _ => (Scope::Node, Some(&mut state.direct)),
        };
        let Some(dispatcher) = dispatcher else { return };
        let settled = f(dispatcher, &mut self.rng);
        self.pending_replies.extend(settled.into_iter().map(|it| (scope, it)));
    }

    /// Delivers all queued replies, including those that are queued by a delivery.
    pub(super) fn deliver_replies(&mut self, now: Time) {
        while let Some((scope, it)) = self.pending_replies.pop_front() {
            self.deliver_reply(now, scope, it);
        }
    }

    /// Delivers a dispatcher's reply to the request that waited for it, on this node or on another one.
    pub(super) fn deliver_reply(&mut self, now: Time, scope: Scope, it: QueuedReply) {
        if it.id.node == self.me.node {
            let place = match scope {
                Scope::Node => Place::Direct,
                Scope::Fleet(domain) => Place::Own(domain),
            };
            self.handle_own_reply(now, place, it.id, it.reply);
            return;
        }
        // The asking node has no reason to ask again soon. If the answer were lost, the slot would stay unused.
        self.send_reliably(now, it.id.node, PermitMessage::Answer { id: it.id, reply: it.reply });
        self.flush_to(now, it.id.node);
    }
}
