//! Slots that this node hands out to other nodes.

use std::net::SocketAddr;

use fleet::{PermitMessage, Place};
use policy::{Ask, NodeId, PermitId, QueuedReply, Reply, Time};
use rand::rngs::StdRng;

use super::{Control, ServingNodes};
use crate::services::{EndpointNotice, RunReport, Scope};

impl Control {
    pub(super) fn handle_permit_message(
        &mut self,
        now: Time,
        from: (NodeId, SocketAddr),
        message: PermitMessage,
    ) {
        match message {
            PermitMessage::Ask { service, ask } => {
                self.handle_ask(now, from, (service, None), false, ask);
            }
            PermitMessage::DomainAsk { service, failure_domain, may_redirect, ask } => {
                let failure_domain = Some(failure_domain);
                self.handle_ask(now, from, (service, failure_domain), may_redirect, ask);
            }
            PermitMessage::DomainLoads { service, loads } => {
                self.handle_domain_loads(now, from.0, service, &loads);
            }
            PermitMessage::Answer { id, reply } => {
                let directory = ServingNodes::new(now, self.me, &self.topology, &self.exchange)
                    .with_services(&self.services);
                let place = Place::Peer(from.0);
                if let Some(action) = self.client.reply(now, place, id, reply, &directory) {
                    self.perform(now, action);
                }
            }
            PermitMessage::Release { id, outcome } => {
                let settle = |it: &mut policy::Dispatcher, rng: &mut StdRng| match outcome {
                    Some((kind, elapsed)) => it.release(now, id, kind, elapsed, rng),
                    None => it.cancel(now, id, rng),
                };
                self.for_each_fleet_dispatcher(settle);
            }
            PermitMessage::Stalled { id, elapsed } => self.for_each_fleet_dispatcher(|it, _| {
                it.stalled(now, id, elapsed);
                Vec::new()
            }),
            PermitMessage::AnswerBegan { id, elapsed } => {
                self.for_each_fleet_dispatcher(|it, rng| it.answer_began(now, id, elapsed, rng));
            }
            PermitMessage::Observed { service, endpoint, observation } => {
                self.services.observe(now, service, &endpoint, observation);
            }
            PermitMessage::Noticed { service, endpoint, started_ms, notice } => {
                self.apply_notice(
                    now,
                    service,
                    &EndpointNotice { by: from.0, endpoint, started_ms, notice },
                );
            }
            PermitMessage::RunEnded { service, request, end, elapsed } => {
                self.services.record_run(now, service, RunReport { request, end, elapsed });
            }
            PermitMessage::UnservedElsewhere { service, requests, refused } => {
                let failure_domain = self.home_domain_of_peer(service, from.0);
                if let Some(it) = self.services.fleet_dispatcher(now, service, failure_domain) {
                    it.unserved_elsewhere(now, requests);
                    it.refused_before_dispatch(now, refused);
                }
            }
            PermitMessage::Renew { ids } => self.for_each_fleet_dispatcher(|it, _| {
                ids.iter().for_each(|id| it.renew(now, *id));
                Vec::new()
            }),
        }
    }

    /// Answers an ask for a slot of a service, in one failure domain if one is given.
    fn handle_ask(
        &mut self,
        now: Time,
        from: (NodeId, SocketAddr),
        (service, failure_domain): (u64, Option<u64>),
        may_redirect: bool,
        ask: Ask,
    ) {
        self.asker_addrs.insert(from.0, from.1);
        let id = ask.id;
        let is_from_sender = id.node == from.0 && ask.reporter.node == from.0;
        if failure_domain.is_some() && !may_redirect && is_from_sender {
            self.cancel_in_other_domains(now, service, failure_domain, id);
        }
        let dispatcher = match is_from_sender && !self.draining {
            true => self.services.fleet_dispatcher(now, service, failure_domain),
            false => None,
        };
        // An asker passes over a node that does not know the endpoints, and asks the next one.
        let reply = match dispatcher {
            Some(it) => {
                let reply = match may_redirect {
                    true => it.ask_redirecting(now, ask, &mut self.rng),
                    false => it.ask(now, ask, &mut self.rng),
                };
                let evicted = it.take_evicted().into_iter();
                let scope = Scope::Fleet(failure_domain);
                self.pending_replies.extend(evicted.map(|it| (scope, it)));
                reply
            }
            None => Reply::Full,
        };
        self.send_permit_message(now, from.0, PermitMessage::Answer { id, reply });
    }

    /// Withdraws a redirected request from the failure domains that it has left. If this node grants for several
    /// failure domains, a late copy of the first ask may have taken a slot or a place in a queue there.
    fn cancel_in_other_domains(
        &mut self,
        now: Time,
        service: u64,
        failure_domain: Option<u64>,
        id: PermitId,
    ) {
        let Some(state) = self.services.get_mut(service) else { return };
        let others = state.fleet.iter_mut().filter(|(domain, _)| **domain != failure_domain);
        for (domain, it) in others {
            let settled = it.cancel(now, id, &mut self.rng);
            let scope = Scope::Fleet(*domain);
            self.pending_replies.extend(settled.into_iter().map(|it| (scope, it)));
        }
    }

    /// Runs `f` on every fleet dispatcher and queues the replies. A message about a permit names no service; the
    /// dispatcher that granted the permit recognizes its id, and the others ignore it.
    pub(super) fn for_each_fleet_dispatcher(
        &mut self,
        f: impl Fn(&mut policy::Dispatcher, &mut StdRng) -> Vec<QueuedReply>,
    ) {
        let rng = &mut self.rng;
        let mut settled = Vec::new();
        self.services.for_each(|_, scope, it| {
            if scope.is_fleet() {
                settled.extend(f(it, rng).into_iter().map(|it| (scope, it)));
            }
        });
        self.pending_replies.extend(settled);
    }
}
