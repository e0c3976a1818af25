//! Timers: a heap of times and what falls due then.

use crate::api::Millis;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Set timers, earliest first; equal times in the order in which they were set.
pub(super) struct Timers<T> {
    heap: BinaryHeap<Reverse<Timer<T>>>,
    set: u64,
}

struct Timer<T> {
    at: Millis,
    order: u64,
    what: T,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers { heap: BinaryHeap::new(), set: 0 }
    }
}

impl<T> Timers<T> {
    pub(super) fn set(&mut self, at: Millis, what: T) {
        self.set += 1;
        self.heap.push(Reverse(Timer { at, order: self.set, what }));
    }

    pub(super) fn next(&self) -> Option<Millis> {
        self.heap.peek().map(|Reverse(timer)| timer.at)
    }

    /// Takes what is due now; what is set while that is dealt with comes with the next call.
    pub(super) fn due(&mut self, now: Millis) -> Vec<T> {
        let mut due = Vec::new();
        while self.next().is_some_and(|at| at <= now) {
            due.extend(self.heap.pop().map(|Reverse(timer)| timer.what));
        }
        due
    }
}

impl<T> Ord for Timer<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.order.cmp(&other.order))
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
