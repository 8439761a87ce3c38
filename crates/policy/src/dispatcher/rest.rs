//! For how long endpoints without work are left alone.
//!
//! The load this answers: a service with slots to spare, a part of whose endpoints fails for seconds now and then,
//! and whose work must not be repeated. Each time such an endpoint is tried, a caller may lose its request; as
//! long as the slots are not missed, nobody gains by it. What binds is the users' floor: while a tenth to a half of
//! a service's requests go unserved during two seconds, most of its sound endpoints must get work in these. An
//! endpoint that failed by itself counts as sound again after two seconds, so that one left alone for longer than
//! [`IDLE_AFTER_FAILURE`] may count as missing.
//!
//! What binds the floor may come after the seconds that are looked at, as the loss of all nodes with what is under way. So
//! the bound holds at each moment, in calm too, for the fewest endpoints that the users may count: of those that
//! have work they leave out the ones in trouble, and this node sees only a part of that trouble. Those that have been alone
//! the longest are the most likely to have recovered; they go first as soon as there are more than may rest. Whatever
//! speaks of need, a queue or a growing part unserved, ends the rest of all of them.

use std::time::Duration;

use crate::belief::PROBE_AFTER;

/// Part of the endpoints at work that the users count for sure. The others may be slow, cut off from the platform, or behind
/// troubled links, which shows in no failure; users have left out eight of 19.
const SURELY_SOUND: f64 = 0.55;

/// One endpoint that may take work, as this decision sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rested {
    /// Time without work; nothing for one that has had none.
    pub(crate) idle: Option<Duration>,
    /// Whether the users may count it as sound: its last failure is old.
    pub(crate) may_be_sound: bool,
    /// Whether it has been there for long enough to be sound.
    pub(crate) is_settled: bool,
    /// Whether it could be tried.
    pub(crate) is_open: bool,
}

/// The time without work after which an endpoint is due for the next request, where the service has slots to spare
/// and the floor wants the share `floor` of its sound endpoints to get work.
pub(crate) fn due_after(endpoints: impl Iterator<Item = Rested>, floor: f64) -> Duration {
    let mut alone = Vec::new();
    let mut out = 0;
    let mut at_work = 0;
    for it in endpoints.filter(|it| it.may_be_sound) {
        match it.idle {
            Some(idle) if idle > PROBE_AFTER && it.is_open => alone.push(idle),
            Some(idle) if idle > PROBE_AFTER => out += 1,
            Some(_) => at_work += usize::from(it.is_settled),
            None => {}
        }
    }
    // Of those at work and those alone together, the floor wants its share at work.
    let allowed = (SURELY_SOUND * at_work as f64 * (1.0 - floor) / floor) as usize;
    let may_rest = allowed.saturating_sub(out);
    // All that have been alone for longer than the last of those that may rest are due.
    alone.sort_unstable();
    match may_rest.checked_sub(1) {
        Some(last) => alone.get(last).copied().unwrap_or(Duration::MAX),
        None => PROBE_AFTER,
    }
}
