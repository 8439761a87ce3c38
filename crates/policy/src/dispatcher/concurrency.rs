//! The learned concurrency limit of an endpoint, and the share of its recent sends that it accepted.
//!
//! The limit follows AIMD (additive increase, multiplicative decrease). It falls when the endpoint
//! sheds a request that ran beside others, or when a higher number of requests in progress slows
//! answers down so much that nothing is gained by it. It recovers while sends at the limit are
//! accepted. An endpoint that also sheds requests that run alone does not shed because of their
//! number; this shows in the accepted share, and the limit stays.

use std::time::Duration;

use crate::time::Time;

/// Factor of a decrease. Half, as for a link, would leave an endpoint of three slots with one.
const DECREASE: f64 = 0.75;
/// Time after a decrease in which sheds lower the limit no further: the sends that they refuse were
/// granted before the decrease.
const DECREASE_INTERVAL: Duration = Duration::from_millis(200);
/// Increase of the limit, in slots a second, while sends at the limit are accepted. A limit of half
/// of six slots lasts for six seconds; episodes of overload last several seconds.
const INCREASE_PER_S: f64 = 0.5;
/// A limit that has caused no shed for this long is dropped.
const LIMIT_RETENTION: Duration = Duration::from_secs(10);
/// Time constant of the decay of the outcomes behind the accepted share, in seconds. An endpoint
/// that is avoided because it shed is tried again after about this time.
const ACCEPTANCE_MEMORY_S: f64 = 2.0;
/// Weight of the assumption that an endpoint accepts, in sends.
const ACCEPTANCE_PRIOR: f64 = 1.0;
/// Accepted share from which an endpoint accepts. Healthy endpoints near their limit shed a few
/// requests; one that sheds a third costs more repeats than the budget holds (0.2 of the requests).
pub(super) const ACCEPTS_FROM: f64 = 0.75;
/// Sends without company needed before their outcomes tell whether the limit is the reason of sheds.
const MIN_ALONE: f64 = 3.0;
/// Share of shed requests among those that ran alone above which the number of requests in progress
/// is not the reason.
const MAX_SHED_ALONE: f64 = 0.3;
/// Time constant of the decay of answer times, in seconds.
const SLOWDOWN_MEMORY_S: f64 = 10.0;
/// Answers at the limit and below it needed before they are compared.
const MIN_ANSWERS: f64 = 6.0;
/// The limit falls if answers at the limit take longer by this factor than in proportion to
/// the concurrency. Below, more requests in progress still mean more answers a second.
const MIN_EXCESS_SLOWDOWN: f64 = 1.25;

/// What an endpoint can run at the same time, as learned from its outcomes.
#[derive(Clone, Debug, Default)]
pub(super) struct Concurrency {
    /// Learned limit; `None` while nothing suggests one below the configured slots.
    limit: Option<f64>,
    /// Time of the last decrease.
    decreased: Time,
    /// Time up to which the limit has increased.
    increased: Time,
    /// All recent sends.
    sends: Accepted,
    /// Recent sends to the endpoint while it ran no other request.
    alone: Accepted,
    /// Answers to requests that ran below the limit, and at it.
    answers: [AnswerTimes; 2],
}

/// Decaying counts of accepted and of shed sends.
#[derive(Clone, Copy, Debug, Default)]
struct Accepted {
    accepted: f64,
    shed: f64,
    at: Time,
}

/// Decaying sums over answers.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerTimes {
    count: f64,
    /// Sum of the times, in multiples of the objective.
    took: f64,
    /// Sum of the numbers of requests in progress.
    concurrency: f64,
    at: Time,
}

impl Concurrency {
    /// Slots that the endpoint can use of those configured, at least one.
    pub(super) fn slots(&self, now: Time, configured: u32) -> u32 {
        match self.limit {
            Some(limit) if now.since(self.decreased) < LIMIT_RETENTION => {
                configured.min(limit.max(1.0) as u32)
            }
            _ => configured,
        }
    }

    /// Share of the recent sends that the endpoint accepted. Without recent sends it counts as
    /// accepting.
    pub(super) fn acceptance(&self, now: Time) -> f64 {
        let Accepted { accepted, shed, .. } = self.sends.decayed(now);
        (accepted + ACCEPTANCE_PRIOR) / (accepted + shed + ACCEPTANCE_PRIOR)
    }

    /// Records a send that the endpoint accepted. `concurrency` is the number of requests in
    /// progress there when it was sent, itself included.
    pub(super) fn note_accepted(&mut self, now: Time, concurrency: u32) {
        self.sends.add(now, 1.0, 0.0);
        if concurrency <= 1 {
            self.alone.add(now, 1.0, 0.0);
        }
        let Some(limit) = self.limit else { return };
        let passed = now.seconds_since(self.increased.max(self.decreased));
        if f64::from(concurrency) >= limit.floor() {
            self.limit = Some(limit + (INCREASE_PER_S * passed).min(1.0 / limit));
        }
        self.increased = now;
    }

    /// Records a send that the endpoint shed. `concurrency` is `None` if it is unknown how many
    /// requests occupied the endpoint. Returns whether this lowered the limit.
    pub(super) fn note_shed(
        &mut self,
        now: Time,
        concurrency: Option<u32>,
        configured: u32,
    ) -> bool {
        self.sends.add(now, 0.0, 1.0);
        let Some(concurrency) = concurrency else { return false };
        if concurrency <= 1 {
            self.alone.add(now, 0.0, 1.0);
            return false;
        }
        let before = self.slots(now, configured);
        let is_stale = concurrency > before || now.since(self.decreased) < DECREASE_INTERVAL;
        if concurrency > configured || is_stale || self.sheds_alone(now) {
            return false;
        }
        self.lower(now, f64::from(concurrency));
        self.slots(now, configured) < before
    }

    /// Records the time until an answer, in multiples of the objective. Returns whether this
    /// lowered the limit.
    pub(super) fn note_answer(
        &mut self,
        now: Time,
        concurrency: u32,
        configured: u32,
        took: f64,
    ) -> bool {
        let before = self.slots(now, configured);
        let is_high = concurrency >= before;
        self.answers[usize::from(is_high)].add(now, took, concurrency);
        let [low, high] = self.answers.map(|it| it.decayed(now));
        if !is_high || low.count < MIN_ANSWERS || high.count < MIN_ANSWERS {
            return false;
        }
        let slowdown = (high.took / high.count) / (low.took / low.count).max(1e-6);
        let in_proportion = (high.concurrency / high.count) / (low.concurrency / low.count);
        if slowdown < MIN_EXCESS_SLOWDOWN * in_proportion {
            return false;
        }
        self.answers[1] = AnswerTimes::default();
        self.lower(now, f64::from(before));
        self.slots(now, configured) < before
    }

    fn lower(&mut self, now: Time, from: f64) {
        self.limit = Some((from * DECREASE).max(1.0));
        self.decreased = now;
    }

    fn sheds_alone(&self, now: Time) -> bool {
        let Accepted { accepted, shed, .. } = self.alone.decayed(now);
        accepted + shed >= MIN_ALONE && shed > MAX_SHED_ALONE * (accepted + shed)
    }
}

impl Accepted {
    fn decayed(self, now: Time) -> Self {
        let kept = (-now.seconds_since(self.at) / ACCEPTANCE_MEMORY_S).exp();
        Self { accepted: self.accepted * kept, shed: self.shed * kept, at: now }
    }

    fn add(&mut self, now: Time, accepted: f64, shed: f64) {
        *self = self.decayed(now);
        self.accepted += accepted;
        self.shed += shed;
    }
}

impl AnswerTimes {
    fn decayed(self, now: Time) -> Self {
        let kept = (-now.seconds_since(self.at) / SLOWDOWN_MEMORY_S).exp();
        Self {
            count: self.count * kept,
            took: self.took * kept,
            concurrency: self.concurrency * kept,
            at: now,
        }
    }

    fn add(&mut self, now: Time, took: f64, concurrency: u32) {
        *self = self.decayed(now);
        self.count += 1.0;
        self.took += took;
        self.concurrency += f64::from(concurrency);
    }
}
