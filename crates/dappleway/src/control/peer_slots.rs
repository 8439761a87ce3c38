//! Slots that this node hands out to other nodes.

use std::net::SocketAddr;

use fleet::{PermitMessage, Place};
use policy::{Ask, NodeId, Reply, Reporter, Settled, Time};
use rand::rngs::StdRng;

use super::{Control, Nodes};

impl Control {
    pub(super) fn permit_message(
        &mut self,
        now: Time,
        from: (NodeId, SocketAddr),
        message: PermitMessage,
    ) {
        match message {
            PermitMessage::Ask { id, service, failure_domain, .. } => {
                self.askers.insert(from.0, from.1);
                let reply = match self.ask_of(from.0, &message) {
                    Some(ask) => self.answer_ask(now, service, failure_domain, ask),
                    None => Reply::Full,
                };
                self.send_to(from.0, PermitMessage::Answer { id, reply });
            }
            PermitMessage::Answer { id, reply } => {
                let directory = Nodes { now, me: self.me, exchange: &self.exchange };
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
            PermitMessage::Renew { ids } => self.each_own(|it, _| {
                ids.iter().for_each(|id| it.renew(now, *id));
                Vec::new()
            }),
        }
    }

    pub(super) fn ask_of(&self, from: NodeId, message: &PermitMessage) -> Option<Ask> {
        let PermitMessage::Ask {
            id,
            route,
            from: failure_domain,
            repeatable,
            priority,
            organisation,
            weight,
            exclude,
            left,
            wait,
            ..
        } = message
        else {
            return None;
        };
        if id.node != from || self.draining {
            return None;
        }
        Some(Ask {
            id: *id,
            reporter: Reporter { node: from, failure_domain: *failure_domain },
            route: *route,
            repeatable: *repeatable,
            priority: *priority,
            organisation: *organisation,
            weight: *weight,
            exclude: *exclude,
            left: *left,
            wait: *wait,
        })
    }

    pub(super) fn answer_ask(&mut self, now: Time, service: u64, domain: u64, ask: Ask) -> Reply {
        let Some(state) = self.services.get_mut(service) else { return Reply::Full };
        let Some(dispatcher) = state.own(now, domain) else { return Reply::Full };
        dispatcher.ask(now, ask, &mut self.rng)
    }

    /// Runs `f` on every dispatcher for others; permits are found by their identity.
    pub(super) fn each_own(
        &mut self,
        f: impl Fn(&mut policy::Dispatcher, &mut StdRng) -> Vec<Settled>,
    ) {
        let rng = &mut self.rng;
        let mut settled = Vec::new();
        self.services.for_each(|_, domain, it| {
            if domain.is_some() {
                settled.extend(f(it, rng).into_iter().map(|it| (domain, it)));
            }
        });
        self.undelivered.extend(settled);
    }
}
