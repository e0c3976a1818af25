//! Rejoining under a new incarnation after other nodes declared this one dead, and yielding the name to a
//! later process that has the same name.

use crate::identity::{Id, Millis};
use crate::{Due, Event, Fleet, FocaOutput, Message};

/// Least time between two rejoins. News of an incarnation takes a while to spread; without this bound nodes
/// that still hold the earlier one dead would make this node rejoin over and over.
const MIN_REJOIN_INTERVAL_MS: Millis = 300;
/// How often a superseded node asks whether the later process of its name is still up.
const CHECK_SUPERSEDER_MS: Millis = 1_000;
/// Stalls shorter than this are counted but not logged.
pub(crate) const MIN_LOGGED_STALL_MS: Millis = 500;

/// Whether this node has to rejoin, and whether it has lost its name to a later process.
#[derive(Debug, Default)]
pub(crate) struct RejoinState {
    /// The later process of this node's name, while that process is believed to be up.
    superseded_by: Option<Id>,
    /// A rejoin is scheduled.
    rejoin_pending: bool,
    last_rejoin: Option<Millis>,
    /// No probe has been acknowledged since the last rejoin, so it must not declare others dead. Guards
    /// against a node that receives but can't be heard: it would find all others dead, and they would believe
    /// it as soon as the network lets its messages through.
    unconfirmed: bool,
}

impl RejoinState {
    pub(crate) fn is_superseded(&self) -> bool {
        self.superseded_by.is_some()
    }

    pub(crate) fn is_confirmed(&self) -> bool {
        !self.unconfirmed
    }

    /// Records that a probe was acknowledged: others hear this incarnation.
    pub(crate) fn confirm(&mut self) {
        self.unconfirmed = false;
    }
}

impl Fleet {
    /// The later process of this node's name that this node has yielded to, if any.
    pub fn superseded_by(&self) -> Option<&Id> {
        self.rejoin_state.superseded_by.as_ref()
    }

    /// Schedules a rejoin because another node holds this incarnation dead. Death can't be refuted by the
    /// same incarnation.
    pub(crate) fn handle_declared_dead(&mut self, now: Millis) {
        if self.leaving
            || self.rejoin_state.is_superseded()
            || std::mem::replace(&mut self.rejoin_state.rejoin_pending, true)
        {
            return;
        }
        let at = self.rejoin_state.last_rejoin.map_or(now, |last| now.max(last + MIN_REJOIN_INTERVAL_MS));
        self.timers.set(at, Due::Rejoin);
    }

    pub(crate) fn rejoin_due(&mut self, now: Millis) {
        if self.leaving
            || self.rejoin_state.is_superseded()
            || !std::mem::take(&mut self.rejoin_state.rejoin_pending)
        {
            return;
        }
        self.restart_as(now, self.id.incarnation + 1);
        self.events.push_back(Event::Rejoined(self.id.clone()));
    }

    /// Starts over under `incarnation` with the members known so far, but without the gossip still queued.
    /// After a partition that queue lists many nodes as dead, and the others would believe it.
    fn restart_as(&mut self, now: Millis, incarnation: u64) {
        self.rejoin_state.last_rejoin = Some(now);
        self.rejoin_state.unconfirmed = true;
        self.id = self.id.with_incarnation(incarnation);
        let known: Vec<foca::Member<Id>> = self.foca.iter_membership_state().cloned().collect();
        self.foca = crate::new_foca(&self.id, &mut self.rng, &self.info_table);
        self.timers.retain(|due| match due {
            Due::Foca(timer) => matches!(timer, foca::Timer::RemoveDown(_)),
            Due::NotifySuspect(..) => false,
            Due::Exchange(_) | Due::Seed | Due::CheckSuperseder | Due::Rejoin => true,
        });
        let mut output = FocaOutput::default();
        let _ = self.foca.apply_many(known.into_iter(), false, &mut output);
        // Members known before the restart are no news.
        output.up.clear();
        output.down.clear();
        self.changes += 1;
        self.apply_output(now, output);
        self.info_version = 0;
        self.broadcast_info();
        self.mark_unsettled(now);
        let mut output = FocaOutput::default();
        let _ = self.foca.gossip(&mut output);
        self.apply_output(now, output);
    }

    /// Ends this incarnation's part in SWIM without telling the others. If it announced its own death, nodes
    /// that don't know the later process yet would report the node as down.
    fn leave_silently(&mut self, now: Millis) {
        let dead = foca::Member::new(self.id.clone(), 0, foca::State::Down);
        let mut output = FocaOutput::default();
        let _ = self.foca.apply_many(std::iter::once(dead), false, &mut output);
        output.defunct = false;
        self.apply_output(now, output);
    }

    /// Returns whether messages from `id` must be ignored: it is an earlier incarnation of a node that is
    /// known under a later one, or it bears this node's own name. An earlier incarnation is told so. A later
    /// one of this node's name supersedes this node.
    pub(crate) fn reject_stale_sender(&mut self, now: Millis, id: &Id) -> bool {
        let (by, alive) = if id.name == self.id.name {
            if !self.id.is_later(id) {
                self.handle_superseded(now, id.clone(), true);
                return true;
            }
            (self.rejoin_state.superseded_by.clone().unwrap_or_else(|| self.id.clone()), true)
        } else {
            match self.lookup(id) {
                Some((known, _, state)) if known.is_later(id) => (known, state != foca::State::Down),
                _ => return false,
            }
        };
        let message = Message::Superseded { from: self.id.clone(), by, alive };
        self.send(id.address, &message);
        true
    }

    /// While superseded, starts an exchange with any node to learn whether the later process is still up.
    pub(crate) fn check_superseder(&mut self, now: Millis) {
        if self.rejoin_state.is_superseded() {
            self.exchange_with_anyone();
            self.timers.set(now + CHECK_SUPERSEDER_MS, Due::CheckSuperseder);
        }
    }

    /// Handles news of a later process of this node's name. If that process is up, this node yields the name
    /// to it; if it is dead, this node takes the name back under a still later incarnation.
    pub(crate) fn handle_superseded(&mut self, now: Millis, by: Id, alive: bool) {
        if by.name != self.id.name || by == self.id || !by.is_later(&self.id) || self.leaving {
            return;
        }
        if !alive {
            let was_superseded = self.rejoin_state.superseded_by.take().is_some();
            self.restart_as(now, by.incarnation + 1);
            if was_superseded {
                self.events.push_back(Event::NameRegained(self.id.clone()));
            }
            return;
        }
        if !self.rejoin_state.is_superseded() {
            self.leave_silently(now);
            self.events.push_back(Event::NameTaken(by.clone()));
            self.timers.set(now + CHECK_SUPERSEDER_MS, Due::CheckSuperseder);
        }
        self.rejoin_state.superseded_by = Some(by);
    }
}
