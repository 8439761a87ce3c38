//! Reliable delivery of messages about slots: messages are numbered, sent again until they are
//! acknowledged, and processed once.
//!
//! A full link loses datagrams, and a node reports the end of a request at the moment when the
//! answer fills its link. The report must therefore not depend on a single datagram: a slot whose
//! release is lost stays in use until its permit expires, ten times as long as the request.
//!
//! Messages to one peer that are due at the same moment share a frame, and acknowledgements to one
//! peer are joined for a short time.

use std::collections::VecDeque;
use std::time::Duration;

use policy::{NodeId, Time};
use rustc_hash::{FxHashMap, FxHashSet};

use crate::wire::{Ack, Batch, MAX_BATCH_BYTES, MAX_NUMBER_BYTES, PermitMessage};

/// A message without an acknowledgement is sent again after this time, which is longer than a long
/// answer occupies a slow link.
const RESEND_AFTER: Duration = Duration::from_millis(80);
/// Acknowledgements to one peer are joined for this long. Together with the way there and back it
/// is far below `RESEND_AFTER`, so that no message is sent again because of it.
const ACK_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of message numbers in one acknowledgement, so that it fits into a frame.
const MAX_ACKED_NUMBERS: usize = MAX_BATCH_BYTES / MAX_NUMBER_BYTES;
/// Upper bound of the interval between two sends of a message; the interval doubles up to this
/// bound.
const MAX_RESEND_INTERVAL: Duration = Duration::from_millis(160);
/// A message is given up after this time; permits that were not renewed have expired by then.
const LIFETIME: Duration = Duration::from_secs(3);
/// Maximum number of messages held for one peer; the oldest are given up first.
const MAX_HELD: usize = 512;
/// The message numbers of a peer are forgotten when nothing was received from it for this long, far
/// longer than the lifetime of any message.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// A message is too long for a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a slot message of {bytes} bytes does not fit into a frame: split it into several")]
pub struct MessageTooLong {
    bytes: usize,
}

/// Messages in flight to and from all peers.
#[derive(Debug)]
pub struct Delivery {
    /// Distinguishes the numbers of this process from those of an earlier process at the same
    /// address.
    stream: u32,
    outboxes: FxHashMap<NodeId, Outbox>,
    inboxes: FxHashMap<NodeId, Inbox>,
    /// Peers with messages that were not sent yet.
    new_for: Vec<NodeId>,
    /// Lower bound of the next time at which a message has to be sent again or given up.
    due: Option<Time>,
    /// Acknowledgements that are not sent yet.
    acks: FxHashMap<NodeId, PendingAck>,
    /// Acknowledgements to which no more numbers are added.
    complete_acks: Vec<(NodeId, Ack)>,
    /// Lower bound of the next time at which an acknowledgement has to be sent.
    ack_due: Option<Time>,
    next_forget: Time,
    /// Number of messages sent again.
    pub resent: u64,
    /// Number of messages given up.
    pub given_up: u64,
}

/// An acknowledgement that is joined with later ones to the same peer.
#[derive(Debug)]
struct PendingAck {
    ack: Ack,
    due: Time,
}

/// Messages that one peer has not acknowledged yet.
#[derive(Debug, Default)]
struct Outbox {
    next_number: u64,
    held: VecDeque<PendingMessage>,
}

#[derive(Debug)]
struct PendingMessage {
    number: u64,
    message: PermitMessage,
    /// Encoded length in a frame, with the number.
    bytes: usize,
    /// When the message was first sent.
    first_sent: Time,
    expires: Time,
    due: Time,
    /// Interval between the next send and the one after it.
    resend_interval: Duration,
    was_sent: bool,
}

/// Message numbers received from one peer.
#[derive(Debug)]
struct Inbox {
    stream: u32,
    /// The previous stream, whose frames may still arrive late.
    former_stream: Option<u32>,
    /// All lower numbers were received or given up.
    complete_below: u64,
    received: FxHashSet<u64>,
    last_seen: Time,
}

impl Delivery {
    /// Creates a state without messages. `stream` has to differ from that of every earlier process
    /// at this address.
    pub fn new(stream: u32) -> Self {
        Self {
            stream,
            outboxes: FxHashMap::default(),
            inboxes: FxHashMap::default(),
            new_for: Vec::new(),
            due: None,
            acks: FxHashMap::default(),
            complete_acks: Vec::new(),
            ack_due: None,
            next_forget: Time(0),
            resent: 0,
            given_up: 0,
        }
    }

    /// Starts the delivery of a message, which `tick` or `flush` sends together with others to the
    /// same peer.
    pub fn send(
        &mut self,
        now: Time,
        to: NodeId,
        message: PermitMessage,
    ) -> Result<(), MessageTooLong> {
        let bytes = message.encoded_len() + MAX_NUMBER_BYTES;
        if bytes > MAX_BATCH_BYTES {
            return Err(MessageTooLong { bytes });
        }
        let outbox = self.outboxes.entry(to).or_default();
        let number = outbox.next_number;
        outbox.next_number += 1;
        if outbox.held.len() >= MAX_HELD {
            outbox.held.pop_front();
            self.given_up += 1;
        }
        outbox.held.push_back(PendingMessage {
            number,
            message,
            bytes,
            first_sent: now,
            expires: now + LIFETIME,
            due: now,
            resend_interval: RESEND_AFTER,
            was_sent: false,
        });
        if !self.new_for.contains(&to) {
            self.new_for.push(to);
        }
        Ok(())
    }

    /// Returns the batches to send to one peer now.
    pub fn flush(&mut self, now: Time, to: NodeId) -> Vec<Batch> {
        self.new_for.retain(|it| *it != to);
        let Some(outbox) = self.outboxes.get_mut(&to) else { return Vec::new() };
        let (batches, resent) = outbox.take_due(now, self.stream);
        self.resent += resent;
        let due = now + RESEND_AFTER;
        self.due = Some(self.due.map_or(due, |it| it.min(due)));
        batches
    }

    /// Processes a batch from a peer; returns the messages that were not received before. The
    /// acknowledgement is joined with others to this peer and sent by `take_acks`.
    pub fn receive(&mut self, now: Time, from: NodeId, batch: Batch) -> Vec<PermitMessage> {
        let Batch { stream, oldest, messages } = batch;
        let numbers: Vec<u64> = messages.iter().map(|(number, _)| *number).collect();
        let inbox = self.inboxes.entry(from).or_insert_with(|| Inbox::new(now, stream, None));
        let is_former = inbox.former_stream == Some(stream);
        if !is_former && inbox.stream != stream {
            *inbox = Inbox::new(now, stream, Some(inbox.stream));
        }
        if is_former {
            self.acknowledge(from, now, stream, numbers);
            return Vec::new();
        }
        inbox.last_seen = now;
        let received = messages.len();
        let new = messages.into_iter().filter(|(number, _)| inbox.record(*number));
        let new: Vec<PermitMessage> = new.map(|(_, message)| message).collect();
        inbox.complete(oldest);
        // A message that is sent again has waited long enough, and so has its sender.
        let due = if new.len() < received { now } else { now + ACK_DELAY };
        self.acknowledge(from, due, stream, numbers);
        new
    }

    /// Adds numbers to the acknowledgement to a peer.
    fn acknowledge(&mut self, to: NodeId, due: Time, stream: u32, numbers: Vec<u64>) {
        let new = |due| PendingAck { ack: Ack { stream, numbers: Vec::new() }, due };
        let pending = self.acks.entry(to).or_insert_with(|| new(due));
        let is_full = pending.ack.numbers.len() + numbers.len() > MAX_ACKED_NUMBERS;
        if is_full || pending.ack.stream != stream {
            let complete = std::mem::replace(pending, new(due));
            self.complete_acks.push((to, complete.ack));
            self.ack_due = Some(Time(0));
        }
        pending.ack.numbers.extend(numbers);
        pending.due = pending.due.min(due);
        let due = pending.due;
        self.ack_due = Some(self.ack_due.map_or(due, |it| it.min(due)));
    }

    /// Returns the acknowledgements to send now.
    pub fn take_acks(&mut self, now: Time) -> Vec<(NodeId, Ack)> {
        if self.ack_due.is_none_or(|it| now < it) {
            return Vec::new();
        }
        let mut due = std::mem::take(&mut self.complete_acks);
        self.acks.retain(|to, it| {
            let is_due = it.due <= now;
            if is_due {
                let numbers = std::mem::take(&mut it.ack.numbers);
                due.push((*to, Ack { numbers, ..it.ack }));
            }
            !is_due
        });
        self.ack_due = self.acks.values().map(|it| it.due).min();
        due
    }

    /// Processes an acknowledgement; returns when the acknowledged messages were first sent.
    pub fn acknowledged(&mut self, from: NodeId, ack: &Ack) -> Vec<Time> {
        let Some(outbox) = self.outboxes.get_mut(&from).filter(|_| ack.stream == self.stream)
        else {
            return Vec::new();
        };
        let mut sent = Vec::new();
        outbox.held.retain(|it| {
            let is_acknowledged = ack.numbers.contains(&it.number);
            sent.extend(is_acknowledged.then_some(it.first_sent));
            !is_acknowledged
        });
        if outbox.held.is_empty() && self.outboxes.values().all(|it| it.held.is_empty()) {
            self.due = None;
        }
        sent
    }

    /// The next time at which `tick` or `take_acks` has work to do.
    pub fn due(&self) -> Option<Time> {
        match self.new_for.is_empty() {
            true => [self.due, self.ack_due].into_iter().flatten().min(),
            false => Some(Time(0)),
        }
    }

    /// Returns the batches to send now.
    pub fn tick(&mut self, now: Time) -> Vec<(NodeId, Batch)> {
        let mut batches = Vec::new();
        for to in std::mem::take(&mut self.new_for) {
            batches.extend(self.flush(now, to).into_iter().map(|it| (to, it)));
        }
        if self.due.is_none_or(|it| now < it) {
            return batches;
        }
        for (to, outbox) in &mut self.outboxes {
            self.given_up += outbox.expire(now);
            let (due, resent) = outbox.take_due(now, self.stream);
            self.resent += resent;
            batches.extend(due.into_iter().map(|it| (*to, it)));
        }
        let held = self.outboxes.values().flat_map(|it| &it.held);
        self.due = held.map(|it| it.due.min(it.expires)).min();
        self.forget(now);
        batches
    }

    /// Number of messages that are not acknowledged yet.
    pub fn held(&self) -> usize {
        self.outboxes.values().map(|it| it.held.len()).sum()
    }

    fn forget(&mut self, now: Time) {
        if now >= self.next_forget {
            self.next_forget = now + FORGET_AFTER;
            self.inboxes.retain(|_, it| now.since(it.last_seen) < FORGET_AFTER);
        }
    }
}

impl Outbox {
    /// Lowest number that may still be sent again.
    fn oldest(&self) -> u64 {
        self.held.front().map_or(self.next_number, |it| it.number)
    }

    fn expire(&mut self, now: Time) -> u64 {
        let before = self.held.len();
        self.held.retain(|it| now < it.expires);
        (before - self.held.len()) as u64
    }

    /// Takes the messages to send now, grouped by frame, and the number of those sent again.
    fn take_due(&mut self, now: Time, stream: u32) -> (Vec<Batch>, u64) {
        let oldest = self.oldest();
        let mut batches: Vec<Batch> = Vec::new();
        let (mut space_left, mut resent) = (0, 0);
        for it in self.held.iter_mut().filter(|it| it.due <= now) {
            resent += u64::from(std::mem::replace(&mut it.was_sent, true));
            it.due = now + it.resend_interval;
            it.resend_interval = (it.resend_interval * 2).min(MAX_RESEND_INTERVAL);
            if it.bytes > space_left {
                batches.push(Batch { stream, oldest, messages: Vec::new() });
                space_left = MAX_BATCH_BYTES;
            }
            space_left -= it.bytes;
            let batch = batches.last_mut().expect("a batch was started above");
            batch.messages.push((it.number, it.message.clone()));
        }
        (batches, resent)
    }
}

impl Inbox {
    fn new(now: Time, stream: u32, former_stream: Option<u32>) -> Self {
        Self {
            stream,
            former_stream,
            complete_below: 0,
            received: FxHashSet::default(),
            last_seen: now,
        }
    }

    /// Records a number; returns whether it is new.
    fn record(&mut self, number: u64) -> bool {
        number >= self.complete_below && self.received.insert(number)
    }

    /// Records that numbers below `oldest` do not arrive again.
    fn complete(&mut self, oldest: u64) {
        self.complete_below = self.complete_below.max(oldest);
        while self.received.remove(&self.complete_below) {
            self.complete_below = self.complete_below.saturating_add(1);
        }
        let complete_below = self.complete_below;
        self.received.retain(|it| *it >= complete_below);
    }
}
