//! The script: what goes wrong when, and when that is over.

use super::*;

impl Site {
    pub(crate) fn act(&mut self, at: usize) {
        let ScriptEntry { what, .. } = self.plan.script[at].clone();
        match what {
            ScriptAction::Silent { member, for_ms } => {
                let Some(which) = self.member(&member) else { return };
                self.settle_at(which);
                self.members[which].silent_until = self.now + for_ms;
                self.change(member, Condition::Silent, true);
                self.set(self.now, Due::Silence(which));
                self.set(self.now + for_ms, Due::Over(at));
            }
            ScriptAction::Slow { member, message_ms, for_ms } => {
                let Some(which) = self.member(&member) else { return };
                self.settle_at(which);
                (self.members[which].slow_until, self.members[which].slow_ms) =
                    (self.now + for_ms, message_ms);
                self.change(member, Condition::Slow, true);
                self.set(self.now + for_ms, Due::Over(at));
            }
            ScriptAction::Refusing { member, for_ms } => {
                let Some(which) = self.member(&member) else { return };
                self.members[which].refuses_until = self.now + for_ms;
                self.change(member, Condition::Refusing, true);
                self.set(self.now + for_ms, Due::Over(at));
            }
            ScriptAction::Drain { member, for_ms } => {
                let Some(which) = self.member(&member) else { return };
                self.members[which].draining = true;
                self.members[which].listed = Phase::Draining;
                self.relist();
                self.change(member, Condition::Draining, true);
                self.set(self.now + for_ms, Due::Over(at));
            }
            ScriptAction::Kill { member } => {
                let Some(which) = self.member(&member) else { return };
                self.end_member(which);
                let start = self.members[which].start;
                self.set(self.now + DEAD_LISTED_MS, Due::Gone(which, start));
            }
            ScriptAction::Start { member } => {
                let Some(which) = self.member(&member) else { return };
                let now = self.now;
                let there = &mut self.members[which];
                (there.up, there.draining, there.listed) = (true, false, Phase::Serving);
                (there.born, there.held, there.silent_until) = (now, 0, 0.0);
                (there.refuses_until, there.slow_until) = (0.0, 0.0);
                there.start += 1;
                self.relist();
                self.change(member.clone(), Condition::Gone, false);
                self.change(member, Condition::Cold, true);
                self.set(now + COLD_MS, Due::Over(at));
            }
            ScriptAction::Rush { factor, for_ms } => {
                self.rush = factor;
                self.set(self.now + for_ms, Due::Over(at));
            }
            ScriptAction::KillNode { node } => {
                if let Some(node) = self.node(&node) {
                    self.kill_node(node);
                }
            }
            ScriptAction::StartNode { node } => {
                if let Some(node) = self.node(&node)
                    && self.nodes[node].broker.is_none()
                {
                    // A folder that can't be written to ends the recording, not the site.
                    let _ = self.start_node(node);
                }
            }
            ScriptAction::EndNode { node } => {
                let Some(node) = self.node(&node) else { return };
                self.nodes[node].leaving = true;
                self.with(node, |broker, now| broker.leave(now));
                self.set(self.now + LEAVE_MS + 100.0, Due::Stop(node));
            }
            ScriptAction::Deafen { node, for_ms } => {
                let Some(at) = self.node(&node) else { return };
                self.nodes[at].deaf_until = self.now + for_ms;
                self.change(node, Condition::Deaf, true);
            }
        }
    }

    pub(crate) fn act_over(&mut self, at: usize) {
        match self.plan.script[at].what.clone() {
            ScriptAction::Silent { member, .. } => {
                if let Some(which) = self.member(&member).filter(|which| self.members[*which].up) {
                    // What stood there is served again from now on; before it was not.
                    let until = std::mem::replace(&mut self.members[which].silent_until, f64::INFINITY);
                    self.settle_at(which);
                    self.members[which].silent_until = until;
                    self.change(member, Condition::Silent, false);
                }
            }
            ScriptAction::Slow { member, .. } => {
                if let Some(which) = self.member(&member).filter(|which| self.members[*which].up) {
                    self.settle_at(which);
                    self.change(member, Condition::Slow, false);
                }
            }
            ScriptAction::Refusing { member, .. } => self.change(member, Condition::Refusing, false),
            ScriptAction::Drain { member, .. } => {
                if let Some(which) = self.member(&member) {
                    self.change(member, Condition::Draining, false);
                    self.end_member(which);
                    self.members[which].listed = Phase::Gone;
                    self.relist();
                }
            }
            ScriptAction::Start { member } => self.change(member, Condition::Cold, false),
            ScriptAction::Rush { .. } => self.rush = 1.0,
            ScriptAction::Kill { .. }
            | ScriptAction::KillNode { .. }
            | ScriptAction::StartNode { .. }
            | ScriptAction::EndNode { .. }
            | ScriptAction::Deafen { .. } => {}
        }
    }

    pub(crate) fn node(&self, name: &str) -> Option<usize> {
        self.nodes.iter().position(|node| node.name == name)
    }
}
