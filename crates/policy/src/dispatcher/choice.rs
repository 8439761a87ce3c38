//! Which endpoint a request gets: tiers by what is believed of it, then slots in use and distance.

use std::net::SocketAddr;
use std::time::Duration;

use super::Dispatcher;
use super::load::Load;
use super::rest::{Rested, due_after};
use super::working_set::Spread;
use crate::belief::{
    Belief, IDLE_AFTER_FAILURE, Pressure, RETRY_FAILED_AFTER, SILENCE_RATIO, STARVED_AFTER, Use,
};
use crate::permit::{Ask, HealthEstimate, SendKind, Tier};
use crate::rotation::State;
use crate::time::Time;
use crate::topology::Distance;
use resources::Priority;

/// An endpoint is due so much sooner for requests of its own failure domain. They come soon where there are callers, and
/// what passes between failure domains has a price.
const NEAR_FIRST: Duration = Duration::from_millis(100);
/// Part of the objective that a send waits for a good endpoint if another one may follow: so little that a
/// second send still fits.
const FIRST_SEND_PATIENCE: f64 = 0.15;
/// The same for the last send of a request. With all of the time left all requests would wait under load, and all of
/// them would be late.
const LAST_SEND_PATIENCE: f64 = 0.5;

/// Interval at which it is worked out who is due, while the service has slots to spare. In it a few endpoints
/// at most come to be left alone for too long.
const DUE_REFRESH: Duration = Duration::from_millis(50);
/// An endpoint that is not known for longer may still be in trouble: the users count one as sound after eight
/// seconds without any.
const SETTLED_AFTER: Duration = Duration::from_secs(8);
/// The users count an endpoint as sound two seconds after its last failure, and look at two more.
pub(super) const SOUND_AFTER: Duration = Duration::from_secs(4);

/// Steps by which endpoints count as equally likely to be sick.
const DOUBT_STEPS: f64 = 50.0;

/// What an endpoint of another failure domain counts for, in slots in use, when short answers are
/// placed. Traffic between failure domains has a price; a busy slot costs more.
const FAR_SLOTS: u32 = 2;

/// What the way to an endpoint with so many slots counts for, in slots in use. From another region each answer takes tens
/// of milliseconds longer, so that its endpoints are used when all others are full.
fn way(distance: Distance, slots: u32) -> u32 {
    match distance {
        Distance::Near => 0,
        Distance::SameRegion => FAR_SLOTS,
        Distance::OtherRegion => slots * 2,
    }
}

/// One endpoint at the moment of a choice.
#[derive(Clone, Copy)]
struct Look {
    /// Its position.
    i: usize,
    now: Time,
    strain: Pressure,
    spread: Spread,
    addr: SocketAddr,
    state: State,
    /// When it came to stand there.
    since: Time,
    is_missing: bool,
    is_evacuated: bool,
    /// Slots that its state allows.
    slots: u32,
    belief: Belief,
    /// How much more likely the silence of what is open on it is if it is sick.
    silence: f64,
    sick: f64,
    /// Whether it had no work for so long that the next request is to show if it is well, by how far that comes from.
    due: [Due; Distance::ALL.len()],
    /// For how long it had no work.
    alone: Duration,
    /// Slots that its rate limit keeps busy, if it names one.
    paced_slots: Option<f64>,
    /// Its rate limit allows a send now.
    may_send: bool,
}

/// Whether an endpoint is due for the next request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Due {
    /// For none.
    Not,
    /// For one that may be sent again. Rest spares those that may not; the others lose a repeat at most, and a rest
    /// that is bounded by a part of all endpoints may be that of most of the few that the users count.
    ForRepeatable,
    /// For any.
    ForAny,
}

/// All endpoints and the queue at one moment, for all choices that are made then. How likely an endpoint is sick
/// takes most of the time of a choice, and while requests wait there may be a choice for each of them: worked out
/// anew each time, a node on a tenth of a core would fall behind for seconds.
pub(super) struct Survey {
    now: Time,
    looks: Vec<Look>,
    /// Requests that wait, by priority.
    waiting: Vec<(Priority, usize)>,
}

impl Survey {
    /// The moment of the look.
    pub(super) fn now(&self) -> Time {
        self.now
    }

    /// Endpoints that were looked at.
    pub(super) fn len(&self) -> usize {
        self.looks.len()
    }

    /// Slots that may be used now, free or not.
    pub(super) fn capacity(&self) -> f64 {
        self.looks.iter().map(|it| it.paced(it.usable_slots())).sum()
    }

    /// Requests that wait and would be served before one of this priority.
    fn ahead_of(&self, priority: Priority) -> usize {
        self.waiting.iter().filter(|(it, _)| *it <= priority).map(|(_, n)| n).sum()
    }
}

impl Look {
    /// Whether it is due for such a request.
    fn is_due(&self, ask: &Ask, distance: Distance) -> bool {
        match self.due[distance as usize] {
            Due::Not => false,
            Due::ForRepeatable => ask.repeatable,
            Due::ForAny => true,
        }
    }

    /// Whether it is due, and the users may count it as idle. They count the endpoints of all failure domains alike, so that
    /// it goes first wherever it is.
    fn is_missed(&self, ask: &Ask, distance: Distance) -> bool {
        self.alone > STARVED_AFTER && self.is_due(ask, distance)
    }

    fn usage(&self) -> Use {
        if self.silence > SILENCE_RATIO {
            return Use::Last;
        }
        self.belief.usage_at(self.sick, self.now, self.strain)
    }

    /// Whether an endpoint that is out of rotation is tried all the same, one request at a time,
    /// because a part of the requests is not served.
    fn is_needed(&self) -> bool {
        let is_out = matches!(self.state, State::Ejected { .. })
            && !self.is_evacuated
            && self.now.since(self.since) > RETRY_FAILED_AFTER;
        // Sick endpoints fail at once: without a pause they would be tried again and again.
        is_out
            && self.strain == Pressure::Unserved
            && self.belief.failed_before(self.now, RETRY_FAILED_AFTER)
    }

    /// Slots that may be used now: one while nothing proves that the endpoint is well again.
    fn usable_slots(&self) -> u32 {
        if self.is_needed() {
            return 1;
        }
        match self.usage() {
            Use::Singly | Use::Cautiously => self.slots.min(1),
            Use::Freely | Use::Last => self.slots,
        }
    }

    /// What so many slots are worth under its rate limit.
    fn paced(&self, slots: u32) -> f64 {
        let slots = f64::from(slots);
        self.paced_slots.map_or(slots, |it| it.min(slots))
    }

    /// Whether a request may go there beside those that are open on it, whatever their age says: the users miss it, and what
    /// holds its slots may never be answered though it is well. Work that may be sent again loses little by it.
    fn takes_beside(&self, ask: &Ask, distance: Distance) -> bool {
        self.is_missed(ask, distance)
            && self.strain == Pressure::Unserved
            && ask.repeatable
            && self.state.in_rotation()
    }

    /// Slots for a request, free or not.
    fn slots_for(&self, ask: &Ask, tier: Tier, distance: Distance) -> u32 {
        let usable = if tier == Tier::Trial { 1 } else { self.usable_slots() };
        match self.takes_beside(ask, distance) {
            true => self.slots,
            false => usable,
        }
    }

    /// Whether it is used last, and its last failure is so long ago that it may be well by now. One of a working set is
    /// replaced instead.
    fn is_due_for_trial(&self) -> bool {
        if self.spread == Spread::WorkingSet {
            return false;
        }
        let usage = self.belief.usage_at(self.sick, self.now, Pressure::None);
        matches!(usage, Use::Last | Use::Cautiously)
            && self.belief.failed_before(self.now, RETRY_FAILED_AFTER)
            && self.silence <= SILENCE_RATIO
    }

    /// Rank by sickness among endpoints of one tier, before slots and distance. Last choices and further
    /// sends go by how likely it is sick: those that fail do so fast, and by free slots alone would be
    /// chosen first. For all others it only matters whether there is doubt, because finer ranks send more
    /// work to other failure domains than they save. One that is due comes first.
    fn doubt(&self, tier: Tier, ask: &Ask, distance: Distance) -> u32 {
        match tier {
            Tier::Near | Tier::Last => (self.sick * DOUBT_STEPS) as u32,
            // The last chance of its request.
            _ if ask.send == SendKind::Further => (self.sick * DOUBT_STEPS) as u32,
            _ if self.is_due(ask, distance) || self.usage() == Use::Freely => 0,
            // Those of the reserve go before one that has failed.
            _ if self.spread == Spread::WorkingSet => 1 + (self.sick * DOUBT_STEPS) as u32,
            _ => 1,
        }
    }
}

impl Dispatcher {
    /// Looks at all endpoints and at the queue.
    pub(super) fn survey(&self, now: Time) -> Survey {
        self.survey_of(now, 0..self.loads.len())
    }

    /// Looks at these endpoints and at the queue.
    pub(super) fn survey_of(&self, now: Time, endpoints: impl Iterator<Item = usize>) -> Survey {
        let looks = endpoints.map(|i| self.look(now, i)).collect();
        Survey { now, looks, waiting: self.queue.count_by_priority() }
    }

    /// Looks again at one endpoint and at the queue, in which a request less waits.
    pub(super) fn look_again(&self, survey: &mut Survey, i: usize) {
        survey.waiting = self.queue.count_by_priority();
        let now = survey.now;
        if let Some(it) = survey.looks.iter_mut().find(|it| it.i == i) {
            *it = self.look(now, i);
        }
    }

    /// The free endpoint of the best tier with the least cost, then the one that has been without work for longest; in a
    /// working set the one that was used last.
    ///
    /// A worse one is taken only by those that wait, and only if waiting for a
    /// good one would be in vain or take longer than the asker's patience.
    pub(super) fn choose(
        &self,
        survey: &Survey,
        ask: &Ask,
        mut tie: impl FnMut() -> u32,
    ) -> Option<(usize, Tier)> {
        let now = survey.now;
        let is_watched = self.suspects.is_watched(ask.request);
        if is_watched && self.is_open(ask.request) {
            return None;
        }
        let region = self.topology.region_of(ask.reporter.failure_domain);
        let mut best = None;
        let mut good_slots = 0.0;
        for look in &survey.looks {
            let load = &self.loads[look.i];
            let distance = load.distance(ask.reporter.failure_domain, region);
            if is_watched && self.runs_watched(load) {
                continue;
            }
            let is_closed = load.said.is_closed_to(now, ask.reporter.node);
            if is_closed || ask.excludes(load.failure_domain) || ask.closed.contains(&look.addr) {
                continue;
            }
            let Some(tier) = self.tier(look, ask, distance) else { continue };
            let usable = look.slots_for(ask, tier, distance);
            if tier < Tier::Near {
                good_slots += look.paced(usable);
            }
            if !look.may_send {
                continue;
            }
            let tier = match load.in_use() {
                it if it < usable => tier,
                // The other slots of a doubtful endpoint are better than one that is known to fail.
                it if it < look.slots && tier < Tier::Last => Tier::Last,
                _ => continue,
            };
            let way = if look.is_missed(ask, distance) {
                0
            } else {
                way(distance, self.endpoints()[look.i].slots)
            };
            let cost = load.in_use() + way;
            // Among equals the one that has been without work for longest. Drawn by chance, a quarter of the endpoints
            // have nothing for two seconds where 1.2 sends come for each, are then taken for a little doubtful, and
            // go behind the others.
            let idle = load.idle(now).unwrap_or(Duration::MAX);
            let by_idle = match look.spread {
                Spread::Even => Duration::MAX - idle,
                Spread::WorkingSet => idle,
            };
            // One whose answers travel has its link to share.
            let key =
                (tier, look.doubt(tier, ask, distance), cost, load.travelling(), by_idle, tie());
            if best.is_none_or(|(other, _)| key < other) {
                best = Some((key, look.i));
            }
        }
        let ((tier, ..), i) = best?;
        let is_impatient =
            || self.expected_wait(survey.ahead_of(ask.priority), good_slots) > self.patience(ask);
        let take_worse = ask.wait && (good_slots == 0.0 || is_impatient());
        (tier < Tier::Near || take_worse).then_some((i, tier))
    }

    /// How long a good endpoint is waited for. A send that can be followed by another one loses little
    /// on an endpoint that fails; the last one loses all.
    pub(super) fn patience(&self, ask: &Ask) -> Duration {
        let part = if self.is_last_send(ask) { LAST_SEND_PATIENCE } else { FIRST_SEND_PATIENCE };
        ask.objective.mul_f64(part)
    }

    /// Whether no other send will follow, by the route's rules or because the budget is nearly spent.
    fn is_last_send(&self, ask: &Ask) -> bool {
        ask.is_last || self.is_budget_short
    }

    /// Looks at what bears on all choices at this moment.
    pub(super) fn look_around(&mut self, now: Time) {
        self.is_budget_short = self.budget.is_short(now);
        self.strain = self.served.pressure(now);
        self.look_how_to_spread(now);
        self.look_who_is_due(now);
    }

    /// Works out for how long endpoints are left alone: anew a few times a second while nothing presses.
    fn look_who_is_due(&mut self, now: Time) {
        if self.strain != Pressure::None || self.queue.len() > 0 {
            self.due_after = (self.strain.probe_after(), now);
        } else if now.since(self.due_after.1) >= DUE_REFRESH {
            let endpoints = self.endpoints().iter().zip(&self.loads);
            let there = endpoints.filter(|(it, _)| it.is_expected());
            let rested = there.map(|(status, load)| Rested {
                idle: load.idle(now),
                may_be_sound: load.belief.failed_before(now, IDLE_AFTER_FAILURE),
                is_settled: load.age(now) > SETTLED_AFTER,
                is_open: status.state.in_rotation(),
            });
            self.due_after = (due_after(rested, self.floor_share), now);
        }
    }

    /// What is believed of an endpoint now.
    pub(super) fn doubt(&self, now: Time, i: usize) -> HealthEstimate {
        let look = self.look(now, i);
        HealthEstimate {
            unhealthy_permille: (look.sick * 1e3) as u16,
            evidence_ms: look.belief.evidence_age(now).as_millis() as u32,
        }
    }

    fn look(&self, now: Time, i: usize) -> Look {
        let (load, status) = (&self.loads[i], &self.endpoints()[i]);
        let silence = load.silence(now, &self.judge.baseline, &self.signs);
        Look {
            i,
            now,
            strain: self.strain,
            spread: self.working_set.spread,
            addr: status.addr,
            state: status.state,
            since: status.since,
            is_missing: status.is_missing,
            is_evacuated: status.is_evacuated,
            slots: status.usable_slots(now),
            belief: load.belief,
            silence,
            due: Distance::ALL.map(|it| self.due(now, load, it)),
            alone: load.alone(now),
            paced_slots: load.said.pace.slots(now, self.mean_hold),
            may_send: load.said.pace.allows(now, self.sharers(load)),
            sick: load.belief.p_unhealthy_given(now, silence, self.signs.p_unhealthy()),
        }
    }

    /// Whether the next request is to show if it is well: it is left alone for too long, and nobody leaves it out for a young
    /// failure. One that comes from near goes first.
    fn due(&self, now: Time, load: &Load, distance: Distance) -> Due {
        // Another node hands them out, and sees who has had no work.
        if self.is_elsewhere(load) {
            return Due::Not;
        }
        if self.working_set.spread == Spread::WorkingSet {
            return if load.is_due_as_newcomer(now) { Due::ForAny } else { Due::Not };
        }
        let Some(idle) = load.idle(now) else { return Due::ForAny };
        let may_be_well = load.belief.failed_before(now, self.strain.retry_failed_after());
        match if distance == Distance::Near { idle + NEAR_FIRST } else { idle } {
            _ if !may_be_well => Due::Not,
            it if it > self.due_after.0 => Due::ForAny,
            it if it > self.strain.probe_after() => Due::ForRepeatable,
            _ => Due::Not,
        }
    }

    fn tier(&self, look: &Look, ask: &Ask, distance: Distance) -> Option<Tier> {
        let is_near = distance == Distance::Near;
        let (now, load) = (look.now, &self.loads[look.i]);
        if !self.endpoints()[look.i].admits(now, ask.repeatable) {
            return look.is_needed().then_some(if look.is_due(ask, distance) {
                Tier::Good
            } else {
                Tier::Cautious
            });
        }
        // A trial is there to find out whether the failures have ended.
        let is_on_trial = matches!(look.state, State::Trial { .. });
        let usage = if is_on_trial { Use::Freely } else { look.usage() };
        let is_suspect = look.state == State::Suspect && now.since(look.since) < RETRY_FAILED_AFTER;
        let is_out_of_use = look.is_missing
            || now < load.hinted_until
            || now < load.full_until
            || self.judge.avoids(now, look.i, ask.reporter);
        let last = is_suspect || usage == Use::Last || is_out_of_use;
        // Work that can be sent again loses little by finding out if an endpoint is well again, and a
        // recovered one is missed capacity until someone tries it.
        let may_try = !is_out_of_use && !self.is_last_send(ask) && (is_near || !ask.long_answer);
        match usage {
            _ if ask.avoid.contains(&look.addr) => Some(Tier::Avoided),
            _ if is_on_trial && last => None,
            _ if may_try && look.is_due_for_trial() => Some(Tier::Trial),
            _ if is_on_trial && ask.repeatable && !ask.long_answer => Some(Tier::Trial),
            _ if look.takes_beside(ask, distance) && !is_out_of_use => Some(Tier::Good),
            _ if last && ask.long_answer && is_near && !self.is_last_send(ask) => Some(Tier::Near),
            _ if last => Some(Tier::Last),
            _ if look.is_missed(ask, distance) => Some(Tier::Good),
            _ if ask.long_answer && !is_near => Some(Tier::Far),
            Use::Cautiously if !ask.repeatable => Some(Tier::Cautious),
            _ => Some(Tier::Good),
        }
    }

    pub(super) fn has_free_slot(&self, survey: &Survey) -> bool {
        survey.looks.iter().any(|look| {
            let slots = look.slots.max(look.usable_slots());
            look.may_send && self.loads[look.i].in_use() < slots
        })
    }
}
