//! What is due when. The time of the view stands still while its node does: see [`Timers::shift`].

use crate::identity::Millis;
use std::collections::BTreeMap;

/// Things due, in the order of their times and then of their setting.
#[derive(Debug)]
pub(crate) struct Timers<T> {
    due: BTreeMap<(Millis, u64), T>,
    set: u64,
}

impl<T> Timers<T> {
    pub(crate) fn new() -> Self {
        Timers { due: BTreeMap::new(), set: 0 }
    }

    pub(crate) fn set(&mut self, at: Millis, what: T) {
        self.set += 1;
        self.due.insert((at, self.set), what);
    }

    pub(crate) fn next(&self) -> Option<Millis> {
        self.due.keys().next().map(|(at, _)| *at)
    }

    pub(crate) fn pop(&mut self, now: Millis) -> Option<T> {
        let first = self.due.first_entry()?;
        (first.key().0 <= now).then(|| first.remove())
    }

    pub(crate) fn retain(&mut self, keeps: impl Fn(&T) -> bool) {
        self.due.retain(|_, what| keeps(what));
    }

    /// All comes so much later. A process that was stopped finds everything overdue at once: probes would have failed and
    /// suspects died in a time in which nobody could be heard.
    pub(crate) fn shift(&mut self, by: Millis) {
        self.due =
            std::mem::take(&mut self.due).into_iter().map(|((at, n), what)| ((at + by, n), what)).collect();
    }
}
