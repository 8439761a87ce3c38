//! Frames from other nodes and what follows from them.

use std::net::SocketAddr;
use std::time::Duration;

use fleet::{Effect, Frame, Gossip, Message, PermitMessage, Place, Verdict};
use policy::{NodeId, PermitId, Time};

use super::{BATCH, Control, EJECTED_VALID, LEAVING_VALID, OpenPermit};
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
            if self.exchange.admits(now, frame.from) {
                self.permit_message(now, (frame.from, from), message);
            }
            return;
        }
        self.exchange.spend(n);
        let effects = self.exchange.receive(now, from, frame);
        self.apply(now, effects);
    }

    pub(super) fn apply(&mut self, now: Time, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(to, message) => {
                    let frame = self.exchange.frame(message);
                    let n = self.edge.send(to, &frame);
                    self.exchange.spend(n);
                }
                Effect::Fetch(addr, held) => {
                    let (reader, keys) = (self.reader.clone(), self.keys.clone());
                    tokio::spawn(reader.fetch_from_peer(addr, held, keys));
                }
                Effect::InForce(revision) => self.put_in_force(now, revision),
                Effect::Verdict(it) => self.verdict(now, it),
            }
        }
    }

    pub(super) fn verdict(&mut self, now: Time, it: Verdict) {
        if it.leaving {
            self.services.leave(now, it.endpoint);
        } else if self.mode != Mode::Local {
            let valid = Duration::from_millis(it.valid_ms.into()).min(EJECTED_VALID);
            self.services.hint(now + valid, it.endpoint);
        }
    }

    pub(super) fn leaving(&mut self, now: Time, id: PermitId, addr: SocketAddr) {
        self.services.leave(now, addr);
        let valid_ms = LEAVING_VALID.as_millis() as u32;
        let verdict = Verdict { endpoint: addr, leaving: true, valid_ms };
        self.exchange.tell(now, verdict);
        // Who hands out the endpoint's slots must not wait for the exchange.
        let Some(OpenPermit { place: Place::Peer(node), .. }) = self.open.get(&id) else { return };
        let Some(member) = self.exchange.members().get(*node) else { return };
        let gossip = Gossip { nodes: Vec::new(), verdicts: vec![verdict] };
        let effect = Effect::Send(member.info.addr, Message::Gossip(gossip));
        self.apply(now, vec![effect]);
    }

    pub(super) fn send_to(&mut self, node: NodeId, message: PermitMessage) {
        let member = self.exchange.members().get(node).map(|it| it.info.addr);
        let Some(addr) = member.or_else(|| self.askers.get(&node).copied()) else { return };
        let frame = self.exchange.frame(Message::Permit(message));
        self.edge.send(addr, &frame);
    }
}
