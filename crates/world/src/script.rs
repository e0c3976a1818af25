//! Carries out a plan's script: faults, starts, drains and surges of arrivals, and their ends.

use super::*;

impl Site {
    /// Starts the script's act with this index, and schedules its end if it has one.
    pub(crate) fn begin_act(&mut self, act: usize) {
        let ScriptEntry { what, .. } = self.plan.script[act].clone();
        match what {
            ScriptAction::Silent { member, for_ms } => {
                let Some(index) = self.member_index(&member) else { return };
                self.account_at_member(index);
                self.members[index].silent_until = self.now + for_ms;
                self.record_change(member, Condition::Silent, true);
                self.schedule_event(self.now, Event::MemberSilent(index));
                self.schedule_event(self.now + for_ms, Event::ActEnds(act));
            }
            ScriptAction::Slow { member, message_ms, for_ms } => {
                let Some(index) = self.member_index(&member) else { return };
                self.account_at_member(index);
                (self.members[index].slow_until, self.members[index].slow_message_ms) =
                    (self.now + for_ms, message_ms);
                self.record_change(member, Condition::Slow, true);
                self.schedule_event(self.now + for_ms, Event::ActEnds(act));
            }
            ScriptAction::Refusing { member, for_ms } => {
                let Some(index) = self.member_index(&member) else { return };
                self.members[index].refuses_until = self.now + for_ms;
                self.record_change(member, Condition::Refusing, true);
                self.schedule_event(self.now + for_ms, Event::ActEnds(act));
            }
            ScriptAction::Drain { member, for_ms } => {
                let Some(index) = self.member_index(&member) else { return };
                self.members[index].draining = true;
                self.members[index].listed_phase = Phase::Draining;
                self.publish_list();
                self.record_change(member, Condition::Draining, true);
                self.schedule_event(self.now + for_ms, Event::ActEnds(act));
            }
            ScriptAction::Kill { member } => {
                let Some(index) = self.member_index(&member) else { return };
                self.stop_member(index);
                let starts = self.members[index].starts;
                self.schedule_event(self.now + DEAD_LISTED_MS, Event::DeadMemberDelisted(index, starts));
            }
            ScriptAction::Start { member } => {
                let Some(index) = self.member_index(&member) else { return };
                let now = self.now;
                let target = &mut self.members[index];
                (target.up, target.draining, target.listed_phase) = (true, false, Phase::Serving);
                (target.started_at, target.connections, target.silent_until) = (now, 0, 0.0);
                (target.refuses_until, target.slow_until) = (0.0, 0.0);
                target.starts += 1;
                self.publish_list();
                self.record_change(member.clone(), Condition::Gone, false);
                self.record_change(member, Condition::Cold, true);
                self.schedule_event(now + WARM_UP_MS, Event::ActEnds(act));
            }
            ScriptAction::Rush { factor, for_ms } => {
                self.arrival_factor = factor;
                self.schedule_event(self.now + for_ms, Event::ActEnds(act));
            }
            ScriptAction::KillNode { node } => {
                if let Some(node) = self.node_index(&node) {
                    self.kill_node(node);
                }
            }
            ScriptAction::StartNode { node } => {
                if let Some(node) = self.node_index(&node)
                    && self.nodes[node].broker.is_none()
                {
                    // If its folder cannot be written to, the node stays down and the run goes on.
                    let _ = self.start_node(node);
                }
            }
            ScriptAction::EndNode { node } => {
                let Some(node) = self.node_index(&node) else { return };
                self.nodes[node].leaving = true;
                self.with_broker(node, |broker, now| broker.leave(now));
                self.schedule_event(self.now + GRACEFUL_SHUTDOWN_MS + 100.0, Event::StopNode(node));
            }
            ScriptAction::Deafen { node, for_ms } => {
                let Some(index) = self.node_index(&node) else { return };
                self.nodes[index].records_lost_until = self.now + for_ms;
                self.record_change(node, Condition::Deaf, true);
            }
        }
    }

    /// Ends the script's act with this index.
    pub(crate) fn end_act(&mut self, act: usize) {
        match self.plan.script[act].what.clone() {
            ScriptAction::Silent { member, .. } => {
                if let Some(index) = self.member_index(&member).filter(|index| self.members[*index].up) {
                    // Clients connected there were not served up to now, and are from now on: with an
                    // infinite end of the silence, `account` counts the time up to now as not served.
                    let until = std::mem::replace(&mut self.members[index].silent_until, f64::INFINITY);
                    self.account_at_member(index);
                    self.members[index].silent_until = until;
                    self.record_change(member, Condition::Silent, false);
                }
            }
            ScriptAction::Slow { member, .. } => {
                if let Some(index) = self.member_index(&member).filter(|index| self.members[*index].up) {
                    self.account_at_member(index);
                    self.record_change(member, Condition::Slow, false);
                }
            }
            ScriptAction::Refusing { member, .. } => self.record_change(member, Condition::Refusing, false),
            ScriptAction::Drain { member, .. } => {
                if let Some(index) = self.member_index(&member) {
                    self.record_change(member, Condition::Draining, false);
                    self.stop_member(index);
                    self.members[index].listed_phase = Phase::Gone;
                    self.publish_list();
                }
            }
            ScriptAction::Start { member } => self.record_change(member, Condition::Cold, false),
            ScriptAction::Rush { .. } => self.arrival_factor = 1.0,
            ScriptAction::Kill { .. }
            | ScriptAction::KillNode { .. }
            | ScriptAction::StartNode { .. }
            | ScriptAction::EndNode { .. }
            | ScriptAction::Deafen { .. } => {}
        }
    }

    pub(crate) fn node_index(&self, name: &str) -> Option<usize> {
        self.nodes.iter().position(|node| node.name == name)
    }
}
