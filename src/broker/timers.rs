//! Timers: a heap of items by due time.

use crate::api::Millis;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Pending timers, earliest first; equal times in the order in which they were set.
pub(super) struct Timers<T> {
    heap: BinaryHeap<Reverse<Timer<T>>>,
    /// Number of timers set so far; orders those of equal time.
    set: u64,
}

struct Timer<T> {
    at: Millis,
    seq: u64,
    item: T,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers { heap: BinaryHeap::new(), set: 0 }
    }
}

impl<T> Timers<T> {
    /// Sets a timer. A time that is not a number counts as due: it would sort before all others and hold
    /// them back for good.
    pub(super) fn set(&mut self, at: Millis, item: T) {
        let at = if at.is_nan() { Millis::NEG_INFINITY } else { at };
        self.set += 1;
        self.heap.push(Reverse(Timer { at, seq: self.set, item }));
    }

    pub(super) fn next(&self) -> Option<Millis> {
        self.heap.peek().map(|Reverse(timer)| timer.at)
    }

    /// Removes and returns the items due now. Items set while these are handled come with the next call.
    pub(super) fn pop_due(&mut self, now: Millis) -> Vec<T> {
        let mut due = Vec::new();
        while self.next().is_some_and(|at| at <= now) {
            due.extend(self.heap.pop().map(|Reverse(timer)| timer.item));
        }
        due
    }
}

impl<T> Ord for Timer<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.seq.cmp(&other.seq))
    }
}

impl<T> PartialOrd for Timer<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> PartialEq for Timer<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl<T> Eq for Timer<T> {}
