//! The short queue of requests that wait for a slot. The order is by priority, then by the weighted
//! service that the organisation has received (least first), then by age.

use rustc_hash::FxHashMap;

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
