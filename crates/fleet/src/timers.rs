//! A timer queue that can be put off as a whole: see [`Timers::shift`].

use crate::identity::Millis;
use std::collections::BTreeMap;

/// Items ordered by due time, and by insertion among those due at the same time.
#[derive(Debug)]
pub(crate) struct Timers<T> {
    due: BTreeMap<(Millis, u64), T>,
    next_id: u64,
}

impl<T> Timers<T> {
    pub(crate) fn new() -> Self {
        Timers { due: BTreeMap::new(), next_id: 0 }
    }

    pub(crate) fn set(&mut self, at: Millis, item: T) {
        self.next_id += 1;
        self.due.insert((at, self.next_id), item);
    }

    pub(crate) fn next(&self) -> Option<Millis> {
        self.due.keys().next().map(|(at, _)| *at)
    }

    pub(crate) fn pop(&mut self, now: Millis) -> Option<T> {
        let first = self.due.first_entry()?;
        (first.key().0 <= now).then(|| first.remove())
    }

    pub(crate) fn retain(&mut self, keep: impl Fn(&T) -> bool) {
        self.due.retain(|_, item| keep(item));
    }

    /// Puts off all timers by `by`. A process that was stopped finds everything overdue at once. Without the
    /// shift, probes would fail and suspects would die in a time in which no answer could be received.
    pub(crate) fn shift(&mut self, by: Millis) {
        self.due =
            std::mem::take(&mut self.due).into_iter().map(|((at, id), item)| ((at + by, id), item)).collect();
    }
}
