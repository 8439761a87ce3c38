//! Which endpoints of a service are in rotation, and the floor below which ejections never reduce
//! them.
//!
//! The floor is split over the failure domains by the configuration alone, and each failure domain
//! keeps its own share. Nodes with different views therefore never eject more endpoints together
//! than the floor permits, without coordination (escrow: O'Neil, 1986).

mod floor;

use std::net::SocketAddr;
use std::time::Duration;

use resources::{Endpoint, Name, Service, Standing};
use rustc_hash::FxHashMap;

use crate::time::Time;

use floor::DomainFloor;
pub(crate) use floor::FLOOR_SETTLE_TIME;
pub use floor::domain_floors;

/// A good answer counts as evidence of health for this long.
const GOOD_ANSWER_LIFETIME: Duration = Duration::from_secs(10);
/// Time that an ejected endpoint spends out of rotation. Together with [`TRIAL_PATIENCE`] it stays
/// below the four seconds after which the availability target counts a recovered endpoint as idle.
/// A time that doubled up to 8 s for flapping endpoints left some idle for 5 s.
const EJECTION_TIME: Duration = Duration::from_secs(2);
/// Good answers on trial before an endpoint is readmitted.
const TRIAL_GOOD_ANSWERS: u32 = 2;
/// An endpoint on trial takes only repeatable requests for this long, then others too. Otherwise a
/// service without repeatable requests would never readmit the endpoint.
const TRIAL_PATIENCE: Duration = Duration::from_secs(1);
/// Time over which a cold or readmitted endpoint regains all of its slots.
const RAMP: Duration = Duration::from_secs(2);
/// The state of an endpoint in the rotation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// No outcome is known yet. Takes work.
    Unknown,
    /// Takes work.
    Healthy,
    /// Detected as unhealthy, but kept in rotation by the floor. Takes work only when no other
    /// endpoint is free.
    Suspect,
    /// Takes work on a growing share of its slots.
    Ramping {
        /// When the ramp began.
        since: Time,
    },
    /// Takes no work.
    Ejected {
        /// When the trial begins.
        until: Time,
    },
    /// Takes one repeatable request at a time.
    Trial {
        /// When the trial began.
        since: Time,
        /// Good answers so far.
        good: u32,
    },
    /// Leaves the service and takes no new work.
    Leaving,
}

impl State {
    /// Every value that [`Self::name`] returns.
    pub const NAMES: [&'static str; 7] =
        ["unknown", "healthy", "suspect", "ramping", "ejected", "trial", "leaving"];

    /// Name used in reports and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Healthy => "healthy",
            Self::Suspect => "suspect",
            Self::Ramping { .. } => "ramping",
            Self::Ejected { .. } => "ejected",
            Self::Trial { .. } => "trial",
            Self::Leaving => "leaving",
        }
    }

    /// Whether the endpoint takes ordinary work.
    pub fn in_rotation(self) -> bool {
        matches!(self, Self::Unknown | Self::Healthy | Self::Suspect | Self::Ramping { .. })
    }
}

/// A change of an endpoint's state, for the audit log and the report.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Identity of the endpoint.
    pub id: Name,
    /// Address of the endpoint.
    pub addr: SocketAddr,
    /// The state before the change.
    pub from: State,
    /// The state after the change.
    pub to: State,
    /// The reason, in one line.
    pub reason: &'static str,
}

/// The state of one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointStatus {
    /// Identity of the endpoint.
    pub id: Name,
    /// Start of this incarnation, in Unix milliseconds; 0 if unknown.
    pub started_ms: u64,
    /// IP address and port.
    pub addr: SocketAddr,
    /// Failure domain of the endpoint.
    pub failure_domain: Name,
    /// Number of requests that the endpoint processes at once.
    pub slots: u32,
    /// The endpoint's registry entry is missing, perhaps only temporarily.
    pub is_missing: bool,
    /// The failure domain is evacuated, so the endpoint gets no work.
    pub is_evacuated: bool,
    /// Remaining warm-up time when the registry entry was written.
    pub warm_up: Duration,
    /// Current state.
    pub state: State,
    /// When the current state was entered.
    pub since: Time,
    /// When the last good answer arrived.
    pub last_good: Option<Time>,
}

/// Positions of endpoint incarnations in a rotation. Evidence about one incarnation does not apply
/// to the next one.
///
/// The map is keyed by identity because the endpoint list changes several times a second during a
/// rollout. Searching the list for each of 720 endpoints stalled nodes with a tenth of a core for
/// 0.45 s.
#[derive(Debug)]
pub(crate) struct Incarnations(FxHashMap<Name, (u64, usize)>);

impl Incarnations {
    pub(crate) fn of(endpoints: &[EndpointStatus]) -> Self {
        let all = endpoints.iter().enumerate();
        Self(all.map(|(i, it)| (it.id.clone(), (it.started_ms, i))).collect())
    }

    /// The position of this incarnation.
    pub(crate) fn position(&self, it: &EndpointStatus) -> Option<usize> {
        let (started_ms, i) = *self.0.get(&it.id)?;
        (started_ms == it.started_ms).then_some(i)
    }

    /// All incarnations: identity, start, position.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Name, u64, usize)> {
        self.0.iter().map(|(id, (started_ms, i))| (id, *started_ms, *i))
    }

    /// Whether any incarnation of this endpoint is included.
    pub(crate) fn knows(&self, id: &Name) -> bool {
        self.0.contains_key(id)
    }
}

/// Slots of an endpoint. Each request takes a connection, so that more slots than connections are a claim that cannot
/// be true, and would count as capacity.
fn slots_of(service: &Service, it: &Endpoint) -> u32 {
    let claimed = if it.slots == 0 { service.slots } else { it.slots };
    claimed.min(service.connections).max(1)
}

impl EndpointStatus {
    fn new(now: Time, service: &Service, it: &Endpoint) -> Self {
        let is_leaving = it.standing == Standing::Leaving;
        Self {
            id: it.id.clone(),
            started_ms: it.started_ms,
            addr: it.addr,
            failure_domain: it.failure_domain.clone(),
            slots: slots_of(service, it),
            is_missing: it.standing == Standing::Missing,
            is_evacuated: it.standing == Standing::Evacuated,
            warm_up: Duration::from_millis(it.warm_up_ms.into()),
            state: if is_leaving { State::Leaving } else { State::Unknown },
            since: now,
            last_good: None,
        }
    }

    /// Whether the endpoint should be present and serving. An endpoint that is leaving or has lost
    /// its registry entry may stop at any time.
    pub fn is_expected(&self) -> bool {
        !self.is_missing && !self.is_evacuated && self.state != State::Leaving
    }

    /// Whether the endpoint is healthy and has given a recent good answer.
    pub fn is_recently_healthy(&self, now: Time) -> bool {
        let has_recent_answer =
            self.last_good.is_some_and(|it| now.since(it) <= GOOD_ANSWER_LIFETIME);
        self.state == State::Healthy && has_recent_answer
    }

    /// Number of slots that the endpoint's state allows now.
    pub fn usable_slots(&self, now: Time) -> u32 {
        let slots = self.slots;
        if self.is_evacuated {
            return 0;
        }
        match self.state {
            State::Ejected { .. } | State::Leaving => 0,
            State::Trial { .. } => 1,
            State::Ramping { since } => {
                let fraction = now.since(since).as_secs_f64() / RAMP.as_secs_f64();
                ((f64::from(slots) * fraction) as u32).clamp(1, slots)
            }
            State::Unknown | State::Healthy | State::Suspect => slots,
        }
    }

    /// Whether the endpoint's state allows a request, which may be `repeatable`.
    pub fn admits(&self, now: Time, repeatable: bool) -> bool {
        match self.state {
            _ if self.is_evacuated => false,
            State::Trial { since, .. } => repeatable || now.since(since) > TRIAL_PATIENCE,
            it => it.in_rotation(),
        }
    }
}

/// The endpoints of one service, as seen by one node.
#[derive(Clone, Debug)]
pub struct Rotation {
    endpoints: Vec<EndpointStatus>,
    positions: FxHashMap<Name, usize>,
    floors: Vec<DomainFloor>,
    changes: Vec<Change>,
    /// No state changes with time alone, so that `tick` has nothing to do.
    is_steady: bool,
}

impl Rotation {
    /// A rotation in which all endpoints are in their initial state.
    pub fn new(now: Time, service: &Service) -> Self {
        let endpoints: Vec<_> =
            service.endpoints.iter().map(|it| EndpointStatus::new(now, service, it)).collect();
        let positions = endpoints.iter().enumerate().map(|(i, it)| (it.id.clone(), i)).collect();
        let floors = domain_floors(service)
            .into_iter()
            .map(|(name, floor)| DomainFloor { name, floor, stricter_until: None })
            .collect();
        Self { endpoints, positions, floors, changes: Vec::new(), is_steady: false }
    }

    /// The endpoints in the order of the configuration.
    pub fn endpoints(&self) -> &[EndpointStatus] {
        &self.endpoints
    }

    /// The position of an endpoint.
    pub fn position(&self, id: &str) -> Option<usize> {
        self.positions.get(id).copied()
    }

    /// Number of healthy endpoints that have given a recent good answer.
    pub fn recently_healthy(&self, now: Time) -> usize {
        self.endpoints.iter().filter(|it| it.is_recently_healthy(now)).count()
    }

    /// Reports an event of an endpoint that does not change its state.
    pub fn note_event(&mut self, i: usize, reason: &'static str) {
        let it = &self.endpoints[i];
        let (id, addr, state) = (it.id.clone(), it.addr, it.state);
        self.changes.push(Change { id, addr, from: state, to: state, reason });
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Applies a new configuration. Endpoints that remain keep their state; new and restarted ones
    /// are cold.
    pub fn reconfigure(&mut self, now: Time, service: &Service) {
        let old = std::mem::replace(self, Self::new(now, service));
        self.changes = old.changes;
        let incarnations = Incarnations::of(&old.endpoints);
        for it in &mut self.endpoints {
            let kept = incarnations.position(it).map(|i| &old.endpoints[i]);
            match kept {
                Some(kept) if it.state != State::Leaving || kept.state == State::Leaving => {
                    it.state = kept.state;
                    it.since = kept.since;
                    it.last_good = kept.last_good;
                }
                // The endpoints of the first configuration have not necessarily just started.
                None if old.endpoints.is_empty() => {}
                None if it.state != State::Leaving => it.state = State::Ramping { since: now },
                _ => {}
            }
        }
        for it in &mut self.floors {
            let Some(before) = old.floors.iter().find(|f| f.name == it.name) else { continue };
            let stricter = before.current(now).max(it.floor);
            it.stricter_until =
                (stricter > it.floor).then_some((stricter, now + FLOOR_SETTLE_TIME));
        }
        self.restore_floor(now);
    }

    /// Records a good answer, which may complete a trial.
    pub fn record_good(&mut self, now: Time, i: usize) {
        let it = &mut self.endpoints[i];
        it.last_good = Some(now);
        match it.state {
            State::Unknown => self.set(now, i, State::Healthy, "first good answer"),
            State::Trial { good, .. } if good + 1 >= TRIAL_GOOD_ANSWERS => {
                self.set(now, i, State::Ramping { since: now }, "trial passed");
            }
            State::Trial { since, good } => it.state = State::Trial { since, good: good + 1 },
            _ => {}
        }
    }

    /// Ends the suspicion against an endpoint whose outcomes have improved.
    pub fn clear_suspicion(&mut self, now: Time, i: usize) {
        if self.endpoints[i].state == State::Suspect {
            self.set(now, i, State::Healthy, "outcomes have improved");
        }
    }

    /// Ejects an endpoint that was detected as unhealthy, if the floor allows it. Otherwise the
    /// endpoint stays in rotation as a suspect.
    pub fn eject(&mut self, now: Time, i: usize, reason: &'static str) {
        match self.endpoints[i].state {
            State::Ejected { .. } | State::Leaving => {}
            State::Trial { .. } => self.set_ejected(now, i, "trial failed"),
            _ if self.floor_allows(now, i) => self.set_ejected(now, i, reason),
            State::Suspect => {}
            _ => self.set(now, i, State::Suspect, "unhealthy, but kept by the floor"),
        }
    }

    /// Marks an endpoint as leaving, whatever the registry states. The state lasts for the rest of
    /// the incarnation.
    pub(crate) fn mark_leaving(&mut self, now: Time, i: usize) {
        if self.endpoints[i].state == State::Leaving {
            return;
        }
        self.set(now, i, State::Leaving, "leaving");
        self.restore_floor(now);
    }

    /// Whether no state changes with time alone, so that no tick is needed.
    pub fn is_steady(&self) -> bool {
        self.is_steady
    }

    /// Applies the state changes that depend on time alone.
    pub fn tick(&mut self, now: Time) {
        if self.is_steady {
            return;
        }
        for i in 0..self.endpoints.len() {
            let it = &mut self.endpoints[i];
            match it.state {
                State::Ejected { until } if now >= until => {
                    self.set(now, i, State::Trial { since: now, good: 0 }, "ejection time is over");
                }
                State::Ramping { since } if now.since(since) >= RAMP => {
                    self.set(now, i, State::Healthy, "ramp is over");
                }
                _ => {}
            }
        }
        self.restore_floor(now);
        let is_steady = |it: &EndpointStatus| matches!(it.state, State::Unknown | State::Healthy);
        self.is_steady = self.endpoints.iter().all(is_steady)
            && self.floors.iter().all(|it| it.stricter_until.is_none_or(|(_, until)| now >= until));
    }

    #[cfg(test)]
    pub(crate) fn readmit_for_test(&mut self, now: Time, i: usize) {
        self.set(now, i, State::Healthy, "test");
    }

    fn set_ejected(&mut self, now: Time, i: usize, reason: &'static str) {
        self.set(now, i, State::Ejected { until: now + EJECTION_TIME }, reason);
    }

    fn set(&mut self, now: Time, i: usize, to: State, reason: &'static str) {
        let it = &mut self.endpoints[i];
        let from = std::mem::replace(&mut it.state, to);
        it.since = now;
        self.is_steady = false;
        self.changes.push(Change { id: it.id.clone(), addr: it.addr, from, to, reason });
    }
}
