//! A slot in use, watched from the send to the end of the answer.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use clock::{Moment, sleep_until, timeout_at};
use http_body::Body;
use policy::{Grant, Kind, Notice};

use crate::Slot;
use crate::body::{Reading, Start};

/// A timer that fires this late means that this process was paused: it blames no endpoint.
const PAUSE: Duration = Duration::from_millis(100);

/// An answer that is not whole this long after its head frees its endpoint's slot by a message of its own. Most answers
/// are whole by then, and their end says the same.
const BEGAN_AFTER: Duration = Duration::from_millis(5);
/// A body that does not move for this long while it is waited for is stalled.
pub(crate) const STALL_AFTER: Duration = Duration::from_secs(1);

/// A slot in use. Dropping it says for how long nothing came from the endpoint, so that a request that was
/// abandoned late still counts against it.
pub(crate) struct Open<S: Slot> {
    slot: Option<S>,
    grant: Grant,
    started: Moment,
    /// When something last came from the endpoint; at first, when the request was sent.
    heard: Moment,
    answered_after: Option<Duration>,
    is_beginning_told: bool,
    is_stall_told: bool,
    was_paused: bool,
    race: Race,
}

/// What is told of an answer that is not whole yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Word {
    Began,
    Stalled,
}

/// Tells a send that a hedge beside it was answered first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Race(Arc<AtomicBool>);

impl Race {
    /// The send beside which the hedge ran is given up now.
    pub(crate) fn is_lost(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn ending(&self) -> Kind {
        if self.0.load(Ordering::Relaxed) { Kind::LostToHedge } else { Kind::Abandoned }
    }
}

impl<S: Slot> Open<S> {
    pub(crate) fn new(slot: S) -> Self {
        Self::in_race(slot, Race::default())
    }

    /// The same for a send beside which a hedge may run.
    pub(crate) fn in_race(slot: S, race: Race) -> Self {
        let grant = slot.grant().clone();
        let started = Moment::now();
        Self {
            slot: Some(slot),
            grant,
            started,
            heard: started,
            answered_after: None,
            is_beginning_told: false,
            is_stall_told: false,
            was_paused: false,
            race,
        }
    }

    pub(crate) fn grant(&self) -> &Grant {
        &self.grant
    }

    pub(crate) fn granted_by(&self) -> &'static str {
        self.slot.as_ref().map_or("", Slot::granted_by)
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.grant().addr
    }

    /// The head of an answer has come: fixes the time that counts as latency.
    pub(crate) fn answered(&mut self) {
        self.answered_after = Some(self.started.elapsed());
        self.heard();
    }

    /// Tells that the answer has begun and lasts on.
    pub(crate) fn tell_beginning(&mut self) {
        let Some(elapsed) = self.answered_after.filter(|_| !self.is_beginning_told) else { return };
        self.is_beginning_told = true;
        if let Some(slot) = &mut self.slot {
            slot.answer_began(elapsed);
        }
    }

    /// The endpoint says something of itself. That it names no rate limit is news only where one was known.
    pub(crate) fn noticed(&mut self, notice: Notice) {
        let is_news = self.grant.is_rate_limited || notice != Notice::RateLimit(None);
        if let Some(slot) = self.slot.as_mut().filter(|_| is_news) {
            slot.noticed(notice);
        }
    }

    /// Something came from the endpoint, or nothing was waited for until now.
    pub(crate) fn heard(&mut self) {
        self.heard = Moment::now();
    }

    /// Tells that nothing comes any more.
    pub(crate) fn stalled(&mut self) {
        self.is_stall_told = true;
        let elapsed = self.heard.elapsed();
        if let Some(slot) = &mut self.slot {
            slot.stalled(elapsed);
        }
    }

    pub(crate) fn end(mut self, kind: Kind) {
        self.give_back(kind);
    }

    /// Gives the slot back while what was granted is still needed.
    pub(crate) fn give_back(&mut self, kind: Kind) {
        let elapsed = match kind {
            Kind::Answered => self.answered_after.unwrap_or_else(|| self.started.elapsed()),
            it if it.is_silence() => self.heard.elapsed(),
            _ => self.started.elapsed(),
        };
        if let Some(slot) = self.slot.take()
            && !self.was_paused
        {
            slot.end(kind, elapsed);
        }
    }

    /// Reads an answer whose head has come until it is whole, too long to hold, or past the deadline, which is said by
    /// nothing. Tells on the way that it has begun, and that it has stopped moving.
    pub(crate) async fn receive<B>(
        &mut self,
        body: B,
        deadline: Moment,
    ) -> Option<Result<Start<B>, B::Error>>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let mut reading = Reading::new(body);
        loop {
            let next_word = self.next_word();
            let until = next_word.map_or(deadline, |(at, _)| at.min(deadline));
            match timeout_at(until, reading.step()).await {
                Some(Ok(Some(start))) => return Some(Ok(start)),
                Some(Ok(None)) => self.heard(),
                Some(Err(error)) => return Some(Err(error)),
                None if deadline.left().is_zero() => return None,
                None => match next_word {
                    Some((_, Word::Began)) => self.tell_beginning(),
                    Some((at, Word::Stalled)) if at.elapsed() < PAUSE => self.stalled(),
                    Some((_, Word::Stalled)) => self.was_paused = true,
                    None => {}
                },
            }
        }
    }

    /// What is to be told next of an answer that is being received, and when.
    fn next_word(&self) -> Option<(Moment, Word)> {
        match self.answered_after {
            Some(after) if !self.is_beginning_told => {
                Some((self.started + after + BEGAN_AFTER, Word::Began))
            }
            _ if self.is_stall_told || self.was_paused => None,
            _ => Some((self.heard + STALL_AFTER, Word::Stalled)),
        }
    }

    /// Waits until the deadline and reports a stall on the way. Nothing means that it passed.
    pub(crate) async fn watch<F: Future>(&mut self, fut: F, deadline: Moment) -> Option<F::Output> {
        let mut fut = pin!(fut);
        let stall_at = (self.started + self.grant.stall_after).min(deadline);
        tokio::select! {
            biased;
            out = &mut fut => return Some(out),
            () = sleep_until(stall_at) => {}
        }
        if stall_at.elapsed() < PAUSE {
            self.stalled();
        } else if stall_at > self.started {
            self.was_paused = true;
        }
        tokio::select! {
            biased;
            out = &mut fut => Some(out),
            () = sleep_until(deadline) => None,
        }
    }
}

impl<S: Slot> Drop for Open<S> {
    fn drop(&mut self) {
        if let Some(slot) = self.slot.take()
            && !self.was_paused
        {
            slot.end(self.race.ending(), self.heard.elapsed());
        }
    }
}
