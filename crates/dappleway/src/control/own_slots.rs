//! Slots for the requests of this node: asked for here or at other nodes, used, given back.

use std::time::Duration;

use caller::{Refused, Want, Why};
use fleet::{Action, Directory, PermitMessage, Place, Settlement, Wish};
use policy::{
    Ask, DomainFilter, Grant, Kind, NodeId, Notice, Observation, PermitId, QueuedReply, Reply, Time,
};
use rand::rngs::StdRng;
use resources::{Name, Repeat, Route};
use tokio::sync::oneshot;

use super::{Control, Nodes, OpenPermit, RENEW, SUCCESSORS, SentRequest, Untold, Waiter};
use crate::event::Command;
use crate::services::{Noticed, Scope, name_hash, route_hash};
use crate::settings::Mode;

impl Control {
    pub(super) fn command(&mut self, now: Time, command: Command) {
        match command {
            Command::Acquire(id, want, tx) => self.acquire(now, id, &want, tx),
            Command::Admit(organisation, tx) => self.admit(now, organisation, tx),
            Command::Withdraw(id) => self.withdraw(now, id),
            Command::Stalled(id, elapsed) => self.stalled(now, id, elapsed),
            Command::AnswerBegan(id, elapsed) => self.answer_began(now, id, elapsed),
            Command::Noticed(id, notice) => self.noticed(now, id, notice),
            Command::End(id, outcome) => self.end(now, id, outcome),
            Command::Unserved(route, service) => self.unserved(&route, &service),
            Command::RefusedOnRoute(route) => self.refused(&route),
        }
    }

    pub(super) fn acquire(
        &mut self,
        now: Time,
        id: PermitId,
        want: &Want,
        tx: oneshot::Sender<Result<(Grant, Place), Refused>>,
    ) {
        let service = name_hash(&want.service);
        let Some(state) = self.services.get(service) else {
            // The request may have been cancelled meanwhile.
            let _ = tx.send(Err(Refused::no_capacity(RENEW)));
            return;
        };
        let rejected = self.exchange.rejected(now, want.request);
        if let Some(retry_after) =
            rejected.or_else(|| state.dispatcher().rejected(now, want.request))
        {
            // The caller may have left.
            let _ = tx.send(Err(Refused { retry_after, why: Why::CrashesEndpoints }));
            return;
        }
        let ask = Ask {
            id,
            reporter: self.me,
            route: route_hash(&want.route.name),
            request: want.request,
            repeatable: want.route.repeat == Repeat::Anytime,
            priority: want.priority,
            organisation: want.organisation,
            weight: want.weight,
            long_answer: want.route.stream,
            send: want.send,
            brings_share: true,
            avoid: want.avoid.clone(),
            closed: state.direct.closed(now, self.me.node),
            domains: self.places_of(want),
            limits: state.direct.heard_limits(now),
            left: want.left,
            is_last: want.is_last,
            objective: want.route.objective(),
            wait: want.wait,
        };
        let sent = SentRequest { route: want.route.clone(), request: want.request };
        self.waiting.insert(id, Waiter { tx, service, sent });
        if self.mode != Mode::Permits {
            self.ask_here(now, Place::Direct, service, ask);
            return;
        }
        let wish = Wish { ask, service, deadline: now + want.left };
        let directory = Nodes::new(now, self.me, &self.topology, &self.exchange);
        let action = self.client.wish(now, wish, &directory);
        self.act(now, action);
    }

    /// Where a request may go.
    fn places_of(&self, want: &Want) -> Option<Box<DomainFilter>> {
        let only = want.regions.as_ref().map(|it| self.topology.domains_in(it));
        DomainFilter { evacuated: self.evacuated.clone(), only }.boxed()
    }

    pub(super) fn act(&mut self, now: Time, action: Action) {
        match action {
            Action::AskHere(place, service, ask) => self.ask_here(now, place, service, ask),
            Action::Send(node, message) => self.send_to(now, node, message),
            Action::Settle(id, Settlement::Granted(grant, place)) => {
                self.granted(now, id, grant, place);
            }
            Action::Settle(id, Settlement::Refused(retry_after)) => {
                if let Some(it) = self.waiting.remove(&id) {
                    let _ = it.tx.send(Err(Refused::no_capacity(retry_after)));
                }
            }
            Action::Settle(id, Settlement::Rejected(retry_after)) => {
                if let Some(it) = self.waiting.remove(&id) {
                    let _ = it.tx.send(Err(Refused { retry_after, why: Why::CrashesEndpoints }));
                }
            }
        }
    }

    pub(super) fn ask_here(&mut self, now: Time, place: Place, service: u64, ask: Ask) {
        let id = ask.id;
        let dispatcher = match place {
            Place::Own => self.services.own(now, service),
            _ => self.services.get_mut(service).map(|it| &mut it.direct),
        };
        let Some(dispatcher) = dispatcher else {
            // The service has gone since it was asked for.
            self.act(now, Action::Settle(id, Settlement::Refused(RENEW)));
            return;
        };
        let reply = dispatcher.ask(now, ask, &mut self.rng);
        self.reply_here(now, place, id, reply);
    }

    /// Passes a reply of one of this node's own dispatchers to the wish of this node.
    pub(super) fn reply_here(&mut self, now: Time, place: Place, id: PermitId, reply: Reply) {
        if self.mode != Mode::Permits {
            match reply {
                Reply::Granted(grant) => self.granted(now, id, grant, place),
                Reply::Refused { retry_after } => {
                    let action = Action::Settle(id, Settlement::Refused(retry_after));
                    self.act(now, action);
                }
                Reply::Rejected { retry_after } => {
                    let action = Action::Settle(id, Settlement::Rejected(retry_after));
                    self.act(now, action);
                }
                Reply::Full => {
                    self.act(now, Action::Settle(id, Settlement::Refused(RENEW)));
                }
                Reply::Queued => {}
            }
            return;
        }
        let directory = Nodes::new(now, self.me, &self.topology, &self.exchange);
        let is_grant = matches!(reply, Reply::Granted(_));
        match self.client.reply(now, place, id, reply, &directory) {
            Some(action) => self.act(now, action),
            // The wish has moved on or was withdrawn: its slot goes back.
            None if is_grant => self.give_back(now, place, id),
            None => {}
        }
    }

    pub(super) fn granted(&mut self, now: Time, id: PermitId, grant: Grant, place: Place) {
        let Some(waiter) = self.waiting.remove(&id) else {
            self.give_back(now, place, id);
            return;
        };
        let Waiter { tx, service, sent } = waiter;
        let direct = self.services.get(service).map(|it| &it.direct);
        if direct
            .is_some_and(|it| it.is_closed(now, self.me.node, &grant.endpoint, grant.started_ms))
        {
            self.give_back(now, place, id);
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
        let (started_ms, is_watched) = (grant.started_ms, grant.is_watched);
        let open =
            OpenPermit { place, service, sent, endpoint, started_ms, is_watched, stalled: false };
        self.open.insert(id, open);
        if tx.send(Ok((grant, place))).is_err() {
            self.end(now, id, None);
        }
    }

    pub(super) fn withdraw(&mut self, now: Time, id: PermitId) {
        let Some(waiter) = self.waiting.remove(&id) else {
            // Granted meanwhile, and the slot's receiver is gone.
            self.end(now, id, None);
            return;
        };
        match self.client.withdraw(id).unwrap_or(Place::Direct) {
            Place::Peer(node) => {
                self.send_to(now, node, PermitMessage::Release { id, outcome: None })
            }
            place => self.here(place, waiter.service, |it, rng| it.cancel(now, id, rng)),
        }
    }

    /// Gives back a slot that arrived after its wish was gone.
    pub(super) fn give_back(&mut self, now: Time, place: Place, id: PermitId) {
        if let Place::Peer(node) = place {
            self.send_to(now, node, PermitMessage::Release { id, outcome: None });
            return;
        }
        // The service is not known any more; a permit's identity is unique among them.
        let services: Vec<u64> = self.services.hashes().collect();
        for service in services {
            self.here(place, service, |it, rng| it.cancel(now, id, rng));
        }
    }

    pub(super) fn stalled(&mut self, now: Time, id: PermitId, elapsed: Duration) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.stalled = true;
        let open = open.clone();
        self.tell_successors(now, &open, Kind::Stalled, elapsed);
        match open.place {
            Place::Peer(node) => {
                self.send_to(now, node, PermitMessage::Stalled { id, elapsed });
                self.observe(now, &open, Kind::Stalled, elapsed);
            }
            place => self.here(place, open.service, |it, _| {
                it.stalled(now, id, elapsed);
                Vec::new()
            }),
        }
    }

    pub(super) fn answer_began(&mut self, now: Time, id: PermitId, elapsed: Duration) {
        let Some(open) = self.open.get(&id) else { return };
        match open.place {
            Place::Peer(node) => {
                self.send_to(now, node, PermitMessage::AnswerBegan { id, elapsed })
            }
            place => {
                self.here(place, open.service, |it, rng| it.answer_began(now, id, elapsed, rng))
            }
        }
    }

    /// Learns what an endpoint says of itself, for when this node picks for itself too, and tells whoever handed out the slot.
    fn noticed(&mut self, now: Time, id: PermitId, notice: Notice) {
        let Some(open) = self.open.get(&id) else { return };
        let (place, service) = (open.place, open.service);
        let it = Noticed {
            by: self.me.node,
            endpoint: open.endpoint.clone(),
            started_ms: open.started_ms,
            notice,
        };
        self.take_notice(now, service, &it);
        if let Place::Peer(node) = place {
            let Noticed { endpoint, started_ms, notice, .. } = it;
            let message = PermitMessage::Noticed { service, endpoint, started_ms, notice };
            self.send_to(now, node, message);
        }
    }

    /// Takes in what an endpoint says of itself, and logs what is news.
    pub(super) fn take_notice(&mut self, now: Time, service: u64, it: &Noticed) {
        if self.services.noticed(now, service, it) {
            self.log_notice(service, it);
        }
    }

    pub(super) fn end(&mut self, now: Time, id: PermitId, outcome: Option<(Kind, Duration)>) {
        let Some(open) = self.open.remove(&id) else { return };
        // What was open while this process was paused says nothing about the endpoint.
        let outcome = outcome.filter(|(_, elapsed)| now - *elapsed > self.woke);
        if let Some((kind @ (Kind::Failed | Kind::Crashed | Kind::TimedOut), elapsed)) = outcome
            && !open.stalled
        {
            self.tell_successors(now, &open, kind, elapsed);
        }
        if let Some((kind, elapsed)) = outcome {
            self.tell_run(now, &open, kind, elapsed);
        }
        match (open.place, outcome) {
            (Place::Peer(node), outcome) => {
                self.send_to(now, node, PermitMessage::Release { id, outcome });
                // What follows a stall is the same evidence again.
                if let Some((kind, elapsed)) = outcome.filter(|_| !open.stalled) {
                    self.observe(now, &open, kind, elapsed);
                }
            }
            (place, Some((kind, elapsed))) => {
                self.here(place, open.service, |it, rng| it.release(now, id, kind, elapsed, rng))
            }
            (place, None) => self.here(place, open.service, |it, rng| it.cancel(now, id, rng)),
        }
    }

    /// Tells the nodes that would dispatch the service next of a request that went wrong, so that
    /// they need not find out anew.
    fn tell_successors(&mut self, now: Time, open: &OpenPermit, kind: Kind, elapsed: Duration) {
        if self.mode != Mode::Permits {
            return;
        }
        let directory = Nodes::new(now, self.me, &self.topology, &self.exchange);
        let next = directory.candidates(open.service).into_iter().take(SUCCESSORS + 1);
        let knows = |it: &NodeId| open.place == Place::Peer(*it) || *it == self.me.node;
        let next: Vec<NodeId> = next.filter(|it| !knows(it)).collect();
        let observation =
            Observation { reporter: self.me, endpoint: 0, route: open.route(), kind, elapsed };
        let (service, endpoint) = (open.service, &open.endpoint);
        for node in next {
            let endpoint = endpoint.clone();
            self.send_to(now, node, PermitMessage::Observed { service, endpoint, observation });
        }
    }

    /// Counts a request for the other services that it might have gone to.
    fn unserved(&mut self, route: &Route, service: &Name) {
        for (other, weight) in route.shares() {
            if other != service && weight > 0 {
                self.untold.entry(name_hash(other)).or_default().elsewhere += 1;
            }
        }
    }

    /// Counts a request for all services that it might have gone to. None of them was asked, and the users count it as not
    /// served by each.
    fn refused(&mut self, route: &Route) {
        for (service, weight) in route.shares() {
            if weight > 0 {
                self.untold.entry(name_hash(service)).or_default().refused += 1;
            }
        }
    }

    /// Tells those that hand out the slots of the other services.
    pub(super) fn tell_unserved(&mut self, now: Time) {
        for (service, Untold { elsewhere: requests, refused }) in std::mem::take(&mut self.untold) {
            let directory = Nodes::new(now, self.me, &self.topology, &self.exchange);
            match self.client.place(now, service, &directory) {
                Place::Peer(node) => {
                    let message = PermitMessage::UnservedElsewhere { service, requests, refused };
                    self.send_to(now, node, message);
                }
                place => self.here(place, service, |it, _| {
                    it.unserved_elsewhere(now, requests);
                    it.refused_before(now, refused);
                    Vec::new()
                }),
            }
        }
    }

    /// Learns, for the time when this node must pick for itself, from a request whose slot came
    /// from another node.
    pub(super) fn observe(&mut self, now: Time, open: &OpenPermit, kind: Kind, elapsed: Duration) {
        let Some(state) = self.services.get_mut(open.service) else { return };
        let it = Observation { reporter: self.me, endpoint: 0, route: open.route(), kind, elapsed };
        state.direct.observe(now, &open.endpoint, it);
    }

    /// Runs `f` on a dispatcher of this node and delivers the replies that follow.
    pub(super) fn here(
        &mut self,
        place: Place,
        service: u64,
        f: impl FnOnce(&mut policy::Dispatcher, &mut StdRng) -> Vec<QueuedReply>,
    ) {
        let Some(state) = self.services.get_mut(service) else { return };
        let (scope, dispatcher) = match place {
            Place::Own => (Scope::Fleet, state.own.as_mut()),
            _ => (Scope::Alone, Some(&mut state.direct)),
        };
        let Some(dispatcher) = dispatcher else { return };
        let settled = f(dispatcher, &mut self.rng);
        self.undelivered.extend(settled.into_iter().map(|it| (scope, it)));
    }

    /// Delivers the replies that wait, those that follow from a delivery included.
    pub(super) fn deliver_all(&mut self, now: Time) {
        while let Some((scope, it)) = self.undelivered.pop_front() {
            self.deliver(now, scope, it);
        }
    }

    /// Delivers a reply to one that waited at a dispatcher of this node.
    pub(super) fn deliver(&mut self, now: Time, scope: Scope, it: QueuedReply) {
        if it.id.node == self.me.node {
            let place = match scope {
                Scope::Alone => Place::Direct,
                Scope::Fleet => Place::Own,
            };
            self.reply_here(now, place, it.id, it.reply);
            return;
        }
        // Nobody asks again for a while: a slot that was waited for would stay unused.
        self.send_reliably(now, it.id.node, PermitMessage::Answer { id: it.id, reply: it.reply });
    }
}
