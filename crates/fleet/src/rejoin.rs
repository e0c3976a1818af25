//! Coming again after being held dead, and two processes of one name.

use crate::identity::{Id, Millis};
use crate::{Due, Event, Fleet, Message, Wants};

/// Between two comings: a fleet that takes a while to hear of one must not make a node come again and again.
const AGAIN_MS: Millis = 300;
/// One that stepped back asks this often whether the other is still there.
const ASK_MS: Millis = 1_000;
/// Pauses from which on it is worth a line in the log.
pub(crate) const LONG_MS: Millis = 500;

/// How this node came, and whether it may stay.
#[derive(Debug, Default)]
pub(crate) struct Coming {
    /// A later process of the same name.
    by: Option<Id>,
    /// Whether it is to come again soon.
    due: bool,
    last: Option<Millis>,
    /// Nobody has answered a probe of this coming yet: that others are dead is not this node's to say. Guards against one
    /// that hears others and is not heard: it would find all of them dead, and be believed as soon as it is heard.
    unproven: bool,
}

impl Coming {
    pub(crate) fn stepped_back(&self) -> bool {
        self.by.is_some()
    }

    pub(crate) fn is_proven(&self) -> bool {
        !self.unproven
    }

    /// A probe was answered: this coming is heard.
    pub(crate) fn prove(&mut self) {
        self.unproven = false;
    }
}

impl Fleet {
    /// The later process of this node's name, if this one stepped back from it.
    pub fn superseded_by(&self) -> Option<&Id> {
        self.rejoin.by.as_ref()
    }

    /// Others hold this coming of the node dead: that can't be refuted, so it comes again, soon.
    pub(crate) fn held_dead(&mut self, now: Millis) {
        if self.leaving || self.rejoin.stepped_back() || std::mem::replace(&mut self.rejoin.due, true) {
            return;
        }
        let at = self.rejoin.last.map_or(now, |last| now.max(last + AGAIN_MS));
        self.timers.set(at, Due::Rejoin);
    }

    pub(crate) fn come_again(&mut self, now: Millis) {
        if self.leaving || self.rejoin.stepped_back() || !std::mem::take(&mut self.rejoin.due) {
            return;
        }
        self.come_as(now, self.id.incarnation + 1);
        self.events.push_back(Event::Rejoined(self.id.clone()));
    }

    /// As another incarnation, and with none of the news that waited to be told: a node that was cut off has whole lists of
    /// dead ones there, which the others would believe.
    fn come_as(&mut self, now: Millis, incarnation: u64) {
        self.rejoin.last = Some(now);
        self.rejoin.unproven = true;
        self.id = self.id.come_again(incarnation);
        let known: Vec<foca::Member<Id>> = self.foca.iter_membership_state().cloned().collect();
        self.foca = crate::library(&self.id, &mut self.rng, &self.words);
        self.timers.retain(|due| match due {
            Due::Foca(timer) => matches!(timer, foca::Timer::RemoveDown(_)),
            Due::Tell(..) => false,
            Due::Exchange(_) | Due::Seed | Due::Ask | Due::Rejoin => true,
        });
        let mut wants = Wants::default();
        let _ = self.foca.apply_many(known.into_iter(), false, &mut wants);
        // They were known before.
        wants.up.clear();
        wants.down.clear();
        self.changes += 1;
        self.carry_out(now, wants);
        self.version = 0;
        self.speak();
        self.unsettled(now);
        let mut wants = Wants::default();
        let _ = self.foca.gossip(&mut wants);
        self.carry_out(now, wants);
    }

    /// Without a word: said dead by itself, the earlier coming would be news to those who know the later one not yet.
    fn go_quiet(&mut self, now: Millis) {
        let dead = foca::Member::new(self.id.clone(), 0, foca::State::Down);
        let mut wants = Wants::default();
        let _ = self.foca.apply_many(std::iter::once(dead), false, &mut wants);
        wants.defunct = false;
        self.carry_out(now, wants);
    }

    /// Whether what this one sends is to be passed over: it is an earlier coming of a node that is known by a later one,
    /// and told so; or it has this node's own name.
    pub(crate) fn earlier(&mut self, now: Millis, id: &Id) -> bool {
        let (by, alive) = if id.name == self.id.name {
            if !self.id.is_later(id) {
                self.superseded(now, id.clone(), true);
                return true;
            }
            (self.rejoin.by.clone().unwrap_or_else(|| self.id.clone()), true)
        } else {
            match self.known(id) {
                Some((known, _, state)) if known.is_later(id) => (known, state != foca::State::Down),
                _ => return false,
            }
        };
        let message = Message::Superseded { from: self.id.clone(), by, alive };
        self.send(id.address, &message);
        true
    }

    /// Asks anybody how the later process is, while this one has stepped back.
    pub(crate) fn ask(&mut self, now: Millis) {
        if self.rejoin.stepped_back() {
            self.call_anybody();
            self.timers.set(now + ASK_MS, Due::Ask);
        }
    }

    /// A later process of this node's name is known, or was.
    pub(crate) fn superseded(&mut self, now: Millis, by: Id, alive: bool) {
        if by.name != self.id.name || by == self.id || !by.is_later(&self.id) || self.leaving {
            return;
        }
        if !alive {
            let resumes = self.rejoin.by.take().is_some();
            self.come_as(now, by.incarnation + 1);
            if resumes {
                self.events.push_back(Event::NameRegained(self.id.clone()));
            }
            return;
        }
        if !self.rejoin.stepped_back() {
            self.go_quiet(now);
            self.events.push_back(Event::NameTaken(by.clone()));
            self.timers.set(now + ASK_MS, Due::Ask);
        }
        self.rejoin.by = Some(by);
    }
}
