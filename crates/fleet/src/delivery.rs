//! Reliable delivery of messages about slots: numbered, sent again until they are acknowledged, taken in once.
//!
//! Datagrams are lost when a link is full, and a node tells that a request has ended at the moment at which the
//! answer fills its link. What is true must not rest on one datagram then: a slot whose release is lost is held for as
//! long as its permit lives, ten times as long as the request.

use std::collections::VecDeque;
use std::time::Duration;

use policy::{NodeId, Time};
use rustc_hash::{FxHashMap, FxHashSet};

use crate::wire::{Ack, Batch, MAX_BATCH_BYTES, MAX_NUMBER_BYTES, PermitMessage};

/// A message without an acknowledgement is sent again after this. It is longer than a long answer fills a weak link.
const RESEND_AFTER: Duration = Duration::from_millis(80);
/// Longest pause between two sends of a message; the pauses double until then.
const MAX_RESEND_AFTER: Duration = Duration::from_millis(160);
/// A message is given up after this: permits that nothing is heard of have expired by then.
const LIFETIME: Duration = Duration::from_secs(3);
/// Messages held for one peer at most; the oldest are given up first.
const MAX_HELD: usize = 512;
/// What is known of a peer's numbers is forgotten when nothing was heard of it for so long: far longer than any message
/// lives.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// A message that no frame can carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a message about slots of {bytes} bytes fits no frame: split it into several")]
pub struct MessageTooLong {
    bytes: usize,
}

/// Messages under way to and from all peers.
#[derive(Debug)]
pub struct Delivery {
    /// Tells the numbers of this process from those of one before it at the same address.
    stream: u32,
    outboxes: FxHashMap<NodeId, Outbox>,
    inboxes: FxHashMap<NodeId, Inbox>,
    /// No later than the first moment at which something is to be sent again or given up.
    due: Option<Time>,
    next_forget: Time,
    /// Messages that were sent again.
    pub resent: u64,
    /// Messages that were given up.
    pub given_up: u64,
}

/// What one peer has not acknowledged yet.
#[derive(Debug, Default)]
struct Outbox {
    next_number: u64,
    held: VecDeque<Held>,
}

#[derive(Debug)]
struct Held {
    number: u64,
    message: PermitMessage,
    /// Bytes that it takes in a frame, with its number.
    bytes: usize,
    /// When it was first sent.
    sent: Time,
    expires: Time,
    due: Time,
    /// Pause before the next send.
    pause: Duration,
}

/// Which numbers of one peer were taken in.
#[derive(Debug)]
struct Inbox {
    stream: u32,
    /// The stream before this one: its frames may still be on their way.
    former: Option<u32>,
    /// All numbers below were taken in or given up.
    complete_to: u64,
    taken: FxHashSet<u64>,
    heard: Time,
}

impl Delivery {
    /// Nothing under way yet. `stream` differs from that of any process before at this address.
    pub fn new(stream: u32) -> Self {
        Self {
            stream,
            outboxes: FxHashMap::default(),
            inboxes: FxHashMap::default(),
            due: None,
            next_forget: Time(0),
            resent: 0,
            given_up: 0,
        }
    }

    /// Takes charge of a message; returns what to send now.
    pub fn send(
        &mut self,
        now: Time,
        to: NodeId,
        message: PermitMessage,
    ) -> Result<Batch, MessageTooLong> {
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
        let due = now + RESEND_AFTER;
        outbox.held.push_back(Held {
            number,
            message: message.clone(),
            bytes,
            sent: now,
            expires: now + LIFETIME,
            due,
            pause: RESEND_AFTER * 2,
        });
        self.due = Some(self.due.map_or(due, |it| it.min(due)));
        let oldest = outbox.oldest();
        Ok(Batch { stream: self.stream, oldest, messages: vec![(number, message)] })
    }

    /// Takes in what a peer has sent; returns the messages that were not taken in before, and the acknowledgement to
    /// send.
    pub fn receive(&mut self, now: Time, from: NodeId, batch: Batch) -> (Vec<PermitMessage>, Ack) {
        let Batch { stream, oldest, messages } = batch;
        let numbers = messages.iter().map(|(number, _)| *number).collect();
        let ack = Ack { stream, numbers };
        let inbox = self.inboxes.entry(from).or_insert_with(|| Inbox::new(now, stream, None));
        if inbox.former == Some(stream) {
            return (Vec::new(), ack);
        }
        if inbox.stream != stream {
            *inbox = Inbox::new(now, stream, Some(inbox.stream));
        }
        inbox.heard = now;
        let new = messages.into_iter().filter(|(number, _)| inbox.take(*number));
        let new = new.map(|(_, message)| message).collect();
        inbox.complete(oldest);
        (new, ack)
    }

    /// Takes in an acknowledgement. Returns when the messages that it concerns were first sent.
    pub fn acknowledged(&mut self, from: NodeId, ack: &Ack) -> Vec<Time> {
        let Some(outbox) = self.outboxes.get_mut(&from).filter(|_| ack.stream == self.stream)
        else {
            return Vec::new();
        };
        let mut sent = Vec::new();
        outbox.held.retain(|it| {
            let is_concerned = ack.numbers.contains(&it.number);
            sent.extend(is_concerned.then_some(it.sent));
            !is_concerned
        });
        if outbox.held.is_empty() && self.outboxes.values().all(|it| it.held.is_empty()) {
            self.due = None;
        }
        sent
    }

    /// The next moment at which `tick` has something to do.
    pub fn due(&self) -> Option<Time> {
        self.due
    }

    /// What is to be sent again now.
    pub fn tick(&mut self, now: Time) -> Vec<(NodeId, Batch)> {
        if self.due.is_none_or(|it| now < it) {
            return Vec::new();
        }
        let mut batches = Vec::new();
        for (to, outbox) in &mut self.outboxes {
            self.given_up += outbox.expire(now);
            for messages in outbox.take_due(now) {
                self.resent += messages.len() as u64;
                let oldest = outbox.oldest();
                batches.push((*to, Batch { stream: self.stream, oldest, messages }));
            }
        }
        let held = self.outboxes.values().flat_map(|it| &it.held);
        self.due = held.map(|it| it.due.min(it.expires)).min();
        self.forget(now);
        batches
    }

    /// Messages that are not acknowledged yet.
    pub fn held(&self) -> usize {
        self.outboxes.values().map(|it| it.held.len()).sum()
    }

    fn forget(&mut self, now: Time) {
        if now >= self.next_forget {
            self.next_forget = now + FORGET_AFTER;
            self.inboxes.retain(|_, it| now.since(it.heard) < FORGET_AFTER);
        }
    }
}

impl Outbox {
    /// No number below it is sent again.
    fn oldest(&self) -> u64 {
        self.held.front().map_or(self.next_number, |it| it.number)
    }

    fn expire(&mut self, now: Time) -> u64 {
        let before = self.held.len();
        self.held.retain(|it| now < it.expires);
        (before - self.held.len()) as u64
    }

    /// The messages to be sent again, by frame.
    fn take_due(&mut self, now: Time) -> Vec<Vec<(u64, PermitMessage)>> {
        let mut frames: Vec<Vec<_>> = Vec::new();
        let mut room = 0;
        for it in self.held.iter_mut().filter(|it| it.due <= now) {
            it.due = now + it.pause;
            it.pause = (it.pause * 2).min(MAX_RESEND_AFTER);
            if it.bytes > room {
                frames.push(Vec::new());
                room = MAX_BATCH_BYTES;
            }
            room -= it.bytes;
            frames.last_mut().expect("one was begun").push((it.number, it.message.clone()));
        }
        frames
    }
}

impl Inbox {
    fn new(now: Time, stream: u32, former: Option<u32>) -> Self {
        Self { stream, former, complete_to: 0, taken: FxHashSet::default(), heard: now }
    }

    /// Whether the message of this number is new.
    fn take(&mut self, number: u64) -> bool {
        number >= self.complete_to && self.taken.insert(number)
    }

    /// Numbers below `oldest` do not come again.
    fn complete(&mut self, oldest: u64) {
        self.complete_to = self.complete_to.max(oldest);
        while self.taken.remove(&self.complete_to) {
            self.complete_to = self.complete_to.saturating_add(1);
        }
        let complete_to = self.complete_to;
        self.taken.retain(|it| *it >= complete_to);
    }
}
