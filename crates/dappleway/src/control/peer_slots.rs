//! Slots that this node hands out to other nodes.

use std::net::SocketAddr;

use fleet::{PermitMessage, Place};
use policy::{Ask, NodeId, QueuedReply, Reply, Time};
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
                self.asker_addrs.insert(from.0, from.1);
                let id = ask.id;
                let is_from_sender = id.node == from.0 && ask.reporter.node == from.0;
                let reply = match is_from_sender && !self.draining {
                    true => self.answer_ask(now, service, ask),
                    false => Reply::Full,
                };
                self.send_permit_message(now, from.0, PermitMessage::Answer { id, reply });
            }
            PermitMessage::Answer { id, reply } => {
                let directory = ServingNodes::new(now, self.me, &self.topology, &self.exchange);
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
                if let Some(it) = self.services.fleet_dispatcher(now, service) {
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

    fn answer_ask(&mut self, now: Time, service: u64, ask: Ask) -> Reply {
        let Some(dispatcher) = self.services.fleet_dispatcher(now, service) else {
            return Reply::Full;
        };
        let reply = dispatcher.ask(now, ask, &mut self.rng);
        let evicted = dispatcher.take_evicted();
        self.pending_replies.extend(evicted.into_iter().map(|it| (Scope::Fleet, it)));
        reply
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
            if scope == Scope::Fleet {
                settled.extend(f(it, rng).into_iter().map(|it| (scope, it)));
            }
        });
        self.pending_replies.extend(settled);
    }
}
