//! Frames from other nodes and what follows from them.

use std::net::SocketAddr;
use std::time::Duration;

use fleet::{Effect, Frame, Message, PermitMessage, Verdict};
use policy::{NodeId, Time};

use super::{BATCH, Control, EJECTED_VALID};
use crate::reader::fetch_from_peer;
use crate::settings::Mode;

impl Control {
    pub(super) fn receive_frames(&mut self, now: Time) {
        for _ in 0..BATCH {
            let Some((from, frame, n)) = self.edge.receive() else { return };
            self.receive(now, from, frame, n);
            self.deliver_all(now);
        }
    }

    pub(super) fn receive(&mut self, now: Time, from: SocketAddr, frame: Frame, n: usize) {
        if let Message::Permit(message) = frame.message {
            self.permit_message(now, (frame.from, from), message);
            return;
        }
        if matches!(frame.message, Message::Gossip(_)) {
            self.exchange.spend(n);
        }
        let effects = self.exchange.receive(now, from, frame, &mut self.rng);
        self.apply(now, effects);
    }

    pub(super) fn apply(&mut self, now: Time, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(to, message) => {
                    let is_round = matches!(message, Message::Gossip(_));
                    let n = self.edge.send(to, &self.exchange.frame(message));
                    if is_round {
                        self.exchange.spend(n);
                    }
                }
                Effect::Fetch(addr) => {
                    let me = self.exchange.info();
                    let (keys, urgent) = (self.keys.clone(), self.urgent.clone());
                    tokio::spawn(fetch_from_peer(addr, keys, me, urgent, self.log.clone()));
                }
                Effect::Endpoints => self.follow_endpoints(now),
                Effect::Verdict(it) => self.verdict(now, it),
                Effect::Rejection(it) => self.services.reject(now, it),
            }
        }
    }

    pub(super) fn verdict(&mut self, now: Time, it: Verdict) {
        if self.mode != Mode::Local {
            let valid = Duration::from_millis(it.valid_ms.into()).min(EJECTED_VALID);
            self.services.hint(now + valid, it.endpoint);
        }
    }

    pub(super) fn send_to(&mut self, node: NodeId, message: PermitMessage) {
        let member = self.exchange.members().get(node).map(|it| it.info.addr);
        let Some(addr) = member.or_else(|| self.askers.get(&node).copied()) else { return };
        let frame = self.exchange.frame(Message::Permit(message));
        self.edge.send(addr, &frame);
    }
}
