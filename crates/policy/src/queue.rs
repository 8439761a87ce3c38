//! The short queue of requests that wait for a slot.
//!
//! Ranked (`Contention::Ranked`), the order is by priority, then by the weighted share that the
//! organisation holds and was granted lately (least first), then by the time left. Otherwise it is
//! by priority, then by the weighted service that the organisation has received from the queue, then
//! by age.

use rustc_hash::FxHashMap;

use crate::dispatcher::Holdings;
use crate::time::Time;
use resources::Priority;

/// A waiting request.
#[derive(Clone, Debug)]
pub(crate) struct Waiting<T> {
    /// The request itself.
    pub(crate) item: T,
    /// Priority of the request.
    pub(crate) priority: Priority,
    /// Hash of the organisation.
    pub(crate) organisation: u64,
    /// Weight of the organisation, at least 1.
    pub(crate) weight: u32,
    /// When the request is given up.
    pub(crate) deadline: Time,
    /// Whether the request was refused lately and has come back.
    pub(crate) is_return: bool,
}

/// Largest weight of an organisation in a share. A larger one would leave other organisations with
/// one slot each.
const MAX_WEIGHT: u32 = 1_000;

/// Rank of a waiting request; the least is served first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(crate) struct Rank {
    /// Priority of the request.
    pub(crate) priority: Priority,
    /// Whether the request was refused lately and has come back.
    pub(crate) is_return: bool,
    /// Step of `share`: shares in one step rank equal.
    step: i32,
    /// Slots that past grants of the organisation kept busy, by weight.
    lately: f64,
    deadline: Time,
    /// Slots that the organisation would have, by weight, before this request. Zero for the first
    /// request of an organisation that holds nothing, which is next within its priority.
    pub(crate) share: f64,
}

/// Ratio of two shares that count as different. The slots that equal organisations hold vary by
/// about this much at random; ordered by such differences, requests are overtaken until they are
/// late.
const SHARE_STEP: f64 = 1.25;
/// Slots by which equal organisations differ at random where each holds only a few.
const EQUAL_SLOTS: f64 = 2.0;

impl Rank {
    /// Whether a request of this rank may take the place of a waiting one. The time left alone is
    /// no reason: refusing a request that has waited is worse than refusing a newcomer. Neither is
    /// a share that is hardly larger, because the roles would soon be swapped.
    pub(crate) fn displaces(&self, other: &Rank, weight: u32) -> bool {
        if self.priority != other.priority {
            return self.priority < other.priority;
        }
        match (self.is_return, other.is_return) {
            (false, true) => true,
            (true, false) => false,
            _ => other.share > self.share * SHARE_STEP + EQUAL_SLOTS / bounded_weight(weight),
        }
    }
}

/// The weight of an organisation in a share: 1 if it is zero, and 1000 at most.
pub(crate) fn bounded_weight(weight: u32) -> f64 {
    f64::from(weight.clamp(1, MAX_WEIGHT))
}

/// A queue of requests that is fair among organisations.
#[derive(Debug)]
pub(crate) struct Queue<T> {
    waiting: Vec<Waiting<T>>,
    /// Service received by each waiting organisation, in slots divided by weight.
    service: FxHashMap<u64, f64>,
    /// Service of the organisation that was served last; organisations without recorded service
    /// start from here.
    last_service: f64,
}

/// Sort key of a request: priority, service received by the organisation, position.
type SortKey = (Priority, f64, usize);

fn compare(a: &SortKey, b: &SortKey) -> std::cmp::Ordering {
    a.partial_cmp(b).expect("no NaN")
}

/// Maximum number of organisations whose past service is remembered.
const MAX_ORGANISATIONS: usize = 4_096;

impl<T> Queue<T> {
    pub(crate) fn new() -> Self {
        Self { waiting: Vec::new(), service: FxHashMap::default(), last_service: 0.0 }
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn any(&self, is: impl Fn(&T) -> bool) -> bool {
        self.waiting.iter().any(|it| is(&it.item))
    }

    /// The waiting requests.
    pub(crate) fn items(&self) -> impl Iterator<Item = &T> {
        self.waiting.iter().map(|it| &it.item)
    }

    /// Number of requests that would be served before one of this priority.
    pub(crate) fn ahead_of(&self, priority: Priority) -> usize {
        self.waiting.iter().filter(|it| it.priority <= priority).count()
    }

    /// Waiting requests by priority. There are few priorities.
    pub(crate) fn count_by_priority(&self) -> Vec<(Priority, usize)> {
        let mut counts: Vec<(Priority, usize)> = Vec::new();
        for waiting in &self.waiting {
            match counts.iter_mut().find(|(it, _)| *it == waiting.priority) {
                Some((_, n)) => *n += 1,
                None => counts.push((waiting.priority, 1)),
            }
        }
        counts
    }

    pub(crate) fn push(&mut self, it: Waiting<T>) {
        self.waiting.push(it);
    }

    /// The position of the next request among those for which `fits` holds. `fits` is expensive, so
    /// it is called only for requests ahead of the best match so far; usually the first request
    /// fits.
    pub(crate) fn best<'a>(&'a self, mut fits: impl FnMut(&'a T) -> bool) -> Option<usize> {
        let keys: Vec<_> = (0..self.waiting.len()).map(|i| self.sort_key(i)).collect();
        let first = (0..keys.len()).min_by(|a, b| compare(&keys[*a], &keys[*b]))?;
        if fits(&self.waiting[first].item) {
            return Some(first);
        }
        let mut best: Option<usize> = None;
        for i in 0..keys.len() {
            let is_before = best.is_none_or(|it| compare(&keys[i], &keys[it]).is_lt());
            if i != first && is_before && fits(&self.waiting[i].item) {
                best = Some(i);
            }
        }
        best
    }

    /// Sorts the queue by rank and returns the ranks in that order. The order stays right while
    /// requests are granted from its front: an organisation then holds one slot more and has one
    /// request less before the next one.
    pub(crate) fn sort_by_rank(&mut self, holdings: &Holdings) -> Vec<Rank> {
        let mut ranked: Vec<(Rank, Waiting<T>)> = std::mem::take(&mut self.waiting)
            .into_iter()
            .map(|it| {
                let rank = Rank {
                    priority: it.priority,
                    is_return: it.is_return,
                    step: i32::MIN,
                    lately: 0.0,
                    deadline: it.deadline,
                    share: 0.0,
                };
                (rank, it)
            })
            .collect();
        let compare = |a: &(Rank, _), b: &(Rank, _)| a.0.partial_cmp(&b.0).expect("no NaN");
        // Without shares, the order is that of the requests of each organisation.
        ranked.sort_by(compare);
        let mut before: FxHashMap<u64, u32> = FxHashMap::default();
        for (rank, it) in &mut ranked {
            let holding = holdings.get(&it.organisation).copied().unwrap_or_default();
            let before = before.entry(it.organisation).or_default();
            let slots = holding.held + *before;
            *before += 1;
            rank.lately = holding.lately / bounded_weight(it.weight);
            if slots > 0 {
                rank.share = (f64::from(slots) / bounded_weight(it.weight) + rank.lately) / 2.0;
                rank.step = rank.share.log(SHARE_STEP).floor() as i32;
            }
        }
        ranked.sort_by(compare);
        let (ranks, waiting) = ranked.into_iter().unzip();
        self.waiting = waiting;
        ranks
    }

    /// The waiting requests; in the order of their ranks after [`Self::sort_by_rank`].
    pub(crate) fn iter(&self) -> std::slice::Iter<'_, Waiting<T>> {
        self.waiting.iter()
    }

    /// The first position in the present order for which `fits` holds.
    pub(crate) fn first<'a>(&'a self, mut fits: impl FnMut(&'a T) -> bool) -> Option<usize> {
        self.waiting.iter().position(|it| fits(&it.item))
    }

    /// Removes the request at a position without service to its organisation.
    pub(crate) fn remove(&mut self, i: usize) -> Waiting<T> {
        self.waiting.remove(i)
    }

    /// The request at a position.
    pub(crate) fn get(&self, i: usize) -> &T {
        &self.waiting[i].item
    }

    /// Removes the request at a position and accounts for the service to its organisation.
    pub(crate) fn take(&mut self, i: usize) -> Waiting<T> {
        let it = self.waiting.remove(i);
        self.record_service(&it);
        it
    }

    /// Removes and returns the requests for which `matches` holds.
    pub(crate) fn extract(&mut self, matches: impl Fn(&Waiting<T>) -> bool) -> Vec<Waiting<T>> {
        let (out, kept) = std::mem::take(&mut self.waiting).into_iter().partition(matches);
        self.waiting = kept;
        out
    }

    fn sort_key(&self, i: usize) -> SortKey {
        let it = &self.waiting[i];
        let service = self.service.get(&it.organisation).copied().unwrap_or(0.0);
        (it.priority, service.max(self.last_service), i)
    }

    fn record_service(&mut self, it: &Waiting<T>) {
        if self.service.len() >= MAX_ORGANISATIONS {
            self.service.clear();
        }
        let service = self.service.entry(it.organisation).or_insert(0.0);
        let start = service.max(self.last_service);
        *service = start + 1.0 / f64::from(it.weight.max(1));
        self.last_service = start;
    }
}
