//! Simulated members, and the pool list that nodes receive.

use super::*;

impl Site {
    /// The pool list as a node receives it now.
    pub(crate) fn pool_list(&self, node: usize) -> PoolList {
        let members = self.members.iter().filter(|member| member.listed_phase != Phase::Gone).map(|member| {
            PoolMember {
                name: member.name.clone(),
                dial: member.name.clone(),
                zone: 0,
                cell: 0,
                phase: member.listed_phase,
                weight: 1.0,
                born: (member.started_at > 0.0).then_some(member.started_at),
            }
        });
        PoolList { seq: self.nodes[node].list_seq, whole: true, members: members.collect() }
    }

    /// Sends the changed pool list to all nodes, which receive it [`LIST_DELAY_MS`] later.
    pub(crate) fn publish_list(&mut self) {
        for node in 0..self.nodes.len() {
            let run = self.nodes[node].run;
            self.nodes[node].list_seq += 1;
            self.schedule_event(self.now + LIST_DELAY_MS, Event::ListArrives { node, run });
        }
    }

    pub(crate) fn member_index(&self, name: &str) -> Option<usize> {
        self.members.iter().position(|member| member.name == name)
    }

    /// Ends a member's process. Its connections and attempts break.
    pub(crate) fn stop_member(&mut self, index: usize) {
        self.account_at_member(index);
        self.members[index].up = false;
        let held_by_member = |client: &Client| match client.state {
            ClientState::Established { node, id, member } if member == index => Some((node, id, true)),
            ClientState::Requesting { node, id, member: Some(member), .. } if member == index => {
                Some((node, id, false))
            }
            _ => None,
        };
        let affected: Vec<_> = self
            .clients
            .iter()
            .filter_map(|(client_id, client)| Some((*client_id, held_by_member(client)?)))
            .collect();
        for (client_id, (node, id, established)) in affected {
            if established {
                self.reconnect_after_break(client_id, 62.0, 1_700.0);
                self.nodes[node].clients.remove(&id);
            } else {
                self.release_member(client_id);
            }
            self.on_front_event(node, id, FrontEvent::Ended(Outcome::Reset, None));
        }
        self.members[index].connections = 0;
        let name = self.members[index].name.clone();
        self.record_change(name, Condition::Gone, true);
    }

    /// Records in the [`GroundTruth`] that something about a member or node begins or ends.
    pub(crate) fn record_change(&mut self, subject: String, what: Condition, begins: bool) {
        let at_ms = self.now - RUN_START_UNIX_MS;
        self.truth.changes.push(ConditionChange { at_ms, subject, what, begins });
    }
}
