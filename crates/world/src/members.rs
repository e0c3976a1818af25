//! Members, and the list that discovery has of them.

use super::*;

impl Site {
    pub(crate) fn list(&self, node: usize) -> PoolList {
        let members =
            self.members.iter().filter(|member| member.listed != Phase::Gone).map(|member| Listed {
                name: member.name.clone(),
                dial: member.name.clone(),
                zone: 0,
                cell: 0,
                phase: member.listed,
                weight: 1.0,
                born: (member.born > 0.0).then_some(member.born),
            });
        PoolList { seq: self.nodes[node].seq, whole: true, members: members.collect() }
    }

    /// All nodes hear of the list as it stands now, a little later.
    pub(crate) fn relist(&mut self) {
        for node in 0..self.nodes.len() {
            let run = self.nodes[node].run;
            self.nodes[node].seq += 1;
            self.set(self.now + LIST_MS, Due::List { node, run });
        }
    }

    pub(crate) fn member(&self, name: &str) -> Option<usize> {
        self.members.iter().position(|member| member.name == name)
    }

    /// A member's process ends: what it holds breaks.
    pub(crate) fn end_member(&mut self, which: usize) {
        self.settle_at(which);
        self.members[which].up = false;
        let there = |of: &Client| match of.at {
            At::Standing { node, id, member } if member == which => Some((node, id, true)),
            At::Asking { node, id, member: Some(member), .. } if member == which => Some((node, id, false)),
            _ => None,
        };
        let hit: Vec<_> =
            self.clients.iter().filter_map(|(client, of)| Some((*client, there(of)?))).collect();
        for (client, (node, id, stood)) in hit {
            if stood {
                self.broken(client, 62.0, 1_700.0);
                self.nodes[node].clients.remove(&id);
            } else {
                self.release(client);
            }
            self.on_front_event(node, id, FrontEvent::Ended(Outcome::Reset, None));
        }
        self.members[which].held = 0;
        let name = self.members[which].name.clone();
        self.change(name, Condition::Gone, true);
    }

    pub(crate) fn change(&mut self, subject: String, what: Condition, begins: bool) {
        let at_ms = self.now - RUN_START_UNIX_MS;
        self.truth.changes.push(ConditionChange { at_ms, subject, what, begins });
    }
}
