//! First sends and repeats in the current window, at one granting node.

use std::time::Duration;

use crate::time::Time;

/// Number of slices of the window that are counted separately.
const SLICES: usize = 20;

/// Counts of one slice of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: u64,
    first: u32,
    repeats: u32,
}

/// Counts of a sliding window.
#[derive(Clone, Debug)]
pub(super) struct Window {
    length: Duration,
    /// Slices, indexed by their number modulo the length of the array. There is one more than in a
    /// window because the current slice is not complete.
    slices: [Slice; SLICES + 1],
}

impl Window {
    pub(super) fn new(length: Duration) -> Self {
        Self { length, slices: Default::default() }
    }

    pub(super) fn note_first(&mut self, now: Time) {
        self.slice(now).first += 1;
    }

    pub(super) fn note_repeat(&mut self, now: Time) {
        self.slice(now).repeats += 1;
    }

    /// First sends and repeats in the window that ends now.
    pub(super) fn counts(&self, now: Time) -> (u32, u32) {
        let number = self.number(now);
        let in_window = |it: &&Slice| it.number + SLICES as u64 >= number;
        let sum =
            |(first, repeats): (u32, u32), it: &Slice| (first + it.first, repeats + it.repeats);
        self.slices.iter().filter(in_window).fold((0, 0), sum)
    }

    fn slice(&mut self, now: Time) -> &mut Slice {
        let number = self.number(now);
        let it = &mut self.slices[(number % (SLICES as u64 + 1)) as usize];
        if it.number != number {
            *it = Slice { number, ..Slice::default() };
        }
        it
    }

    /// The number of the slice that contains `now`.
    fn number(&self, now: Time) -> u64 {
        slice_number(now, self.length, SLICES)
    }
}

/// The number of the slice that contains `now` when `length` is divided into `slices`. Zero marks
/// an unused slice.
pub(super) fn slice_number(now: Time, length: Duration, slices: usize) -> u64 {
    let slice = (length.as_micros() as u64 / slices as u64).max(1);
    now.0 / slice + 1
}
