//! Handling of frames from other nodes, and sending of frames to other nodes.

use std::net::SocketAddr;
use std::time::Duration;

use fleet::{Batch, Effect, Frame, Message, PermitMessage, Verdict, node_id};
use policy::{NodeId, Time};
use slog::warn;

use super::{Control, EJECTION_VALIDITY, MAX_BATCH};
use crate::reader::fetch_from_peer;
use crate::settings::Mode;

/// If the socket was last seen empty longer ago than this, twice the tick of an idle node, this process was paused or
/// overloaded, and frames have waited.
const MAX_FRAME_DELAY: Duration = Duration::from_millis(200);

/// Frames sent to nodes of other failure domains. Traffic between failure domains costs money.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FarTraffic {
    /// Frames and bytes about slots and allowances, whose number depends on the number of requests.
    pub(super) slots: FarCount,
    /// All other frames and bytes.
    pub(super) control: FarCount,
}

/// Numbers of frames and bytes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FarCount {
    pub(super) frames: u64,
    pub(super) bytes: u64,
}

impl Control {
    pub(super) fn receive_frames(&mut self, now: Time) {
        let is_delayed = now.since(self.socket_drained_at) > MAX_FRAME_DELAY;
        self.exchange.set_delayed_since(is_delayed.then_some(self.socket_drained_at));
        for _ in 0..MAX_BATCH {
            let Some((from, frame, bytes)) = self.transport.receive() else {
                self.socket_drained_at = now;
                return;
            };
            self.receive_frame(now, from, frame, bytes);
            self.deliver_replies(now);
        }
    }

    pub(super) fn receive_frame(
        &mut self,
        now: Time,
        from: SocketAddr,
        frame: Frame,
        bytes: usize,
    ) {
        match frame.message {
            Message::Permit(message) => {
                self.handle_permit_message(now, (frame.from, from), message);
                return;
            }
            Message::Reliable(batch) => {
                self.receive_batch(now, (frame.from, from), batch);
                return;
            }
            Message::Ack(ack) => {
                for sent in self.delivery.acknowledged(frame.from, &ack) {
                    self.record_ack_time(now.since(sent));
                }
                return;
            }
            Message::Allowance(message) => {
                self.asker_addrs.insert(frame.from, from);
                self.handle_allowance_message(now, frame.from, message);
                return;
            }
            Message::Gossip(_) => self.exchange.spend(bytes),
            Message::PlatformUpdate(_) => {}
        }
        let effects = self.exchange.receive(now, from, frame, &mut self.rng);
        self.apply_effects(now, effects);
    }

    pub(super) fn apply_effects(&mut self, now: Time, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(to, message) => {
                    let is_round = matches!(message, Message::Gossip(_));
                    let bytes = self.transport.send(to, &self.exchange.frame(message));
                    self.count_far(node_id(to), bytes, false);
                    if is_round {
                        self.exchange.spend(bytes);
                    }
                }
                Effect::Fetch(addr) => {
                    let me = self.exchange.info();
                    let (keys, urgent) = (self.keys.clone(), self.urgent.clone());
                    tokio::spawn(fetch_from_peer(addr, keys, me, urgent, self.log.clone()));
                }
                Effect::EndpointsChanged => self.apply_registry(now),
                Effect::Verdict(it) => self.apply_verdict(now, it),
                Effect::Rejection(it) => self.services.reject(now, it),
            }
        }
    }

    pub(super) fn apply_verdict(&mut self, now: Time, it: Verdict) {
        if self.mode != Mode::Local {
            let valid = Duration::from_millis(it.valid_ms.into()).min(EJECTION_VALIDITY);
            self.services.apply_peer_ejection(now + valid, it.endpoint);
        }
    }

    /// Handles a batch of permit messages. The acknowledgement is sent later, joined with others.
    fn receive_batch(&mut self, now: Time, from: (NodeId, SocketAddr), batch: Batch) {
        self.asker_addrs.insert(from.0, from.1);
        for it in self.delivery.receive(now, from.0, batch) {
            self.handle_permit_message(now, from, it);
        }
    }

    /// Sends the messages and acknowledgements that are due: new messages, joined by peer, and messages that were not
    /// acknowledged in time.
    pub(super) fn send_due(&mut self, now: Time) {
        for (node, ack) in self.delivery.take_acks(now) {
            self.send_frame(node, Message::Ack(ack));
        }
        for (node, batch) in self.delivery.tick(now) {
            self.send_frame(node, Message::Reliable(batch));
        }
    }

    /// Sends a permit message; messages of a reliable kind are resent until they are acknowledged.
    pub(super) fn send_permit_message(&mut self, now: Time, node: NodeId, message: PermitMessage) {
        match message.is_reliable() {
            true => self.send_reliably(now, node, message),
            false => self.send_frame(node, Message::Permit(message)),
        }
    }

    /// Sends a permit message, joined with others that are due to the same peer at the end of this iteration of the
    /// control loop, and resends it until it is acknowledged.
    pub(super) fn send_reliably(&mut self, now: Time, node: NodeId, message: PermitMessage) {
        if let Err(e) = self.delivery.send(now, node, message) {
            warn!(self.log, "message to a peer dropped"; "error" => %e);
        }
    }

    /// Sends the messages that are due to a peer now: a request there waits for one of them.
    pub(super) fn flush_to(&mut self, now: Time, node: NodeId) {
        for batch in self.delivery.flush(now, node) {
            self.send_frame(node, Message::Reliable(batch));
        }
    }

    pub(super) fn send_frame(&mut self, node: NodeId, message: Message) {
        let member = self.exchange.members().get(node).map(|it| it.info.addr);
        let Some(addr) = member.or_else(|| self.asker_addrs.get(&node).copied()) else { return };
        let is_about_requests = message.is_about_requests();
        let bytes = self.transport.send(addr, &self.exchange.frame(message));
        self.count_far(node, bytes, is_about_requests);
    }

    /// Counts a frame that was sent, if its receiver is known to be in another failure domain.
    fn count_far(&mut self, to: NodeId, bytes: usize, is_about_requests: bool) {
        let member = self.exchange.members().get(to);
        let is_far = member.is_some_and(|it| it.info.failure_domain != self.me.failure_domain);
        if is_far && bytes > 0 {
            let count = match is_about_requests {
                true => &mut self.far_traffic.slots,
                false => &mut self.far_traffic.control,
            };
            count.frames += 1;
            count.bytes += bytes as u64;
        }
    }
}
