//! Slots that this node hands out to other nodes.

use std::net::SocketAddr;

use fleet::{PermitMessage, Place};
use policy::{Ask, NodeId, QueuedReply, Reply, Time};
use rand::rngs::StdRng;

use super::{Control, Nodes};
use crate::services::{Noticed, Ran, Scope};

impl Control {
    pub(super) fn permit_message(
        &mut self,
        now: Time,
        from: (NodeId, SocketAddr),
        message: PermitMessage,
    ) {
        match message {
            PermitMessage::Ask { service, ask } => {
                self.askers.insert(from.0, from.1);
                let id = ask.id;
                let is_own = id.node == from.0 && ask.reporter.node == from.0;
                let reply = match is_own && !self.draining {
                    true => self.answer_ask(now, service, ask),
                    false => Reply::Full,
                };
                self.send_to(now, from.0, PermitMessage::Answer { id, reply });
            }
            PermitMessage::Answer { id, reply } => {
                let directory = Nodes::new(now, self.me, &self.topology, &self.exchange);
                let place = Place::Peer(from.0);
                if let Some(action) = self.client.reply(now, place, id, reply, &directory) {
                    self.act(now, action);
                }
            }
            PermitMessage::Release { id, outcome } => {
                let settle = |it: &mut policy::Dispatcher, rng: &mut StdRng| match outcome {
                    Some((kind, elapsed)) => it.release(now, id, kind, elapsed, rng),
                    None => it.cancel(now, id, rng),
                };
                self.each_own(settle);
            }
            PermitMessage::Stalled { id, elapsed } => self.each_own(|it, _| {
                it.stalled(now, id, elapsed);
                Vec::new()
            }),
            PermitMessage::AnswerBegan { id, elapsed } => {
                self.each_own(|it, rng| it.answer_began(now, id, elapsed, rng));
            }
            PermitMessage::Observed { service, endpoint, observation } => {
                self.services.observe(now, service, &endpoint, observation);
            }
            PermitMessage::Noticed { service, endpoint, started_ms, notice } => {
                self.take_notice(
                    now,
                    service,
                    &Noticed { by: from.0, endpoint, started_ms, notice },
                );
            }
            PermitMessage::Ran { service, request, end, elapsed } => {
                self.services.ran(now, service, Ran { request, end, elapsed });
            }
            PermitMessage::UnservedElsewhere { service, requests, refused } => {
                if let Some(it) = self.services.own(now, service) {
                    it.unserved_elsewhere(now, requests);
                    it.refused_before(now, refused);
                }
            }
            PermitMessage::Renew { ids } => self.each_own(|it, _| {
                ids.iter().for_each(|id| it.renew(now, *id));
                Vec::new()
            }),
        }
    }

    fn answer_ask(&mut self, now: Time, service: u64, ask: Ask) -> Reply {
        match self.services.own(now, service) {
            Some(dispatcher) => dispatcher.ask(now, ask, &mut self.rng),
            None => Reply::Full,
        }
    }

    /// Runs `f` on every dispatcher for others; permits are found by their identity.
    pub(super) fn each_own(
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
        self.undelivered.extend(settled);
    }
}
