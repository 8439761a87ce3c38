//! Links of the nodes: what nodes send each other over TCP shares the sender's link, and the sender's own
//! calls to the platform wait behind it.

use std::collections::VecDeque;
use std::time::Duration;

use policy::Time;

/// Bytes of one connection that wait in front of a full link: a usual TCP window.
const WINDOW: f64 = 64.0 * 1024.0;

/// One transfer from a node to another.
#[derive(Clone, Debug)]
pub(super) struct Transfer {
    pub(super) to: usize,
    /// Bytes that are still to be sent.
    pub(super) left: f64,
    pub(super) since: Time,
}

/// The sending side of one node's link.
#[derive(Clone, Debug)]
pub(super) struct Link {
    bytes_per_s: f64,
    /// Transfers under way; they share the link equally.
    active: Vec<Transfer>,
    /// Askers that wait until fewer are under way.
    waiting: VecDeque<Transfer>,
}

impl Link {
    pub(super) fn new(bytes_per_s: f64) -> Self {
        Self { bytes_per_s, active: Vec::new(), waiting: VecDeque::new() }
    }

    /// Takes on a transfer, of which `at_once` at most are under way.
    pub(super) fn begin(&mut self, transfer: Transfer, at_once: usize) {
        self.waiting.push_back(transfer);
        self.fill(at_once);
    }

    /// Lets time pass; returns the transfers that have ended. Those older than `limit` are given up.
    pub(super) fn turn(
        &mut self,
        now: Time,
        turn: Duration,
        limit: Duration,
        at_once: usize,
    ) -> Vec<Transfer> {
        let is_in_time = |it: &Transfer| now.since(it.since) < limit;
        self.active.retain(is_in_time);
        self.waiting.retain(is_in_time);
        self.fill(at_once);
        let share = self.bytes_per_s * turn.as_secs_f64() / self.active.len().max(1) as f64;
        self.active.iter_mut().for_each(|it| it.left -= share);
        let ended = self.active.extract_if(.., |it| it.left <= 0.0).collect();
        self.fill(at_once);
        ended
    }

    /// How long a call of this node waits before it is on its way.
    pub(super) fn delay(&self) -> Duration {
        Duration::from_secs_f64(self.active.len() as f64 * WINDOW / self.bytes_per_s)
    }

    /// Time that so many bytes take to this node while nothing else is under way to it.
    pub(super) fn time_for(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.bytes_per_s)
    }

    fn fill(&mut self, at_once: usize) {
        while self.active.len() < at_once
            && let Some(it) = self.waiting.pop_front()
        {
            self.active.push(it);
        }
    }
}
