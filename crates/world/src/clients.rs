//! Clients: they arrive, ask, are moved or turned away, come again and leave.

use super::*;

impl Site {
    pub(crate) fn arrive(&mut self) {
        let rate = self.plan.arrivals_per_s * self.rush / 1_000.0;
        let draw: f64 = self.between(1e-12, 1.0);
        let wait = -draw.ln() / rate;
        self.set(self.now + wait, Due::Arrive);
        let pick = |parts: &mut dyn Iterator<Item = f64>, mut draw: f64| {
            let mut last = 0;
            for (at, part) in parts.enumerate() {
                last = at;
                if draw < part {
                    break;
                }
                draw -= part;
            }
            last
        };
        let (a, b) = (self.between(0.0, 1.0), self.between(0.0, 1.0));
        let class = pick(&mut self.plan.classes.iter().map(|class| class.part), a);
        let tenant = pick(&mut self.plan.tenants.iter().map(|tenant| tenant.1), b);
        let draw: f64 = self.between(1e-12, 1.0);
        let life = -draw.ln() * self.plan.life_ms;
        self.next_client += 1;
        let client = self.next_client;
        let (until, settled) = (self.now + life, self.now);
        self.clients.insert(
            client,
            Client { class, tenant, until, at: At::Away, coming: ArrivalKind::First, epoch: 0, settled },
        );
        self.truth.clients += 1;
        self.set(until, Due::Leave(client));
        self.ask(client);
    }

    pub(crate) fn ask(&mut self, client: u64) {
        self.settle(client);
        let up: Vec<usize> = (0..self.nodes.len())
            .filter(|at| self.nodes[*at].broker.is_some() && !self.nodes[*at].leaving)
            .collect();
        let Some(of) = self.clients.get(&client) else { return };
        if of.at != At::Away {
            return;
        }
        let (class, tenant, coming) = (of.class, of.tenant, of.coming);
        if up.is_empty() {
            return self.come_again(client, 500.0, coming);
        }
        let node = up[self.rng.random_range(0..up.len())];
        let Some(id) = self.nodes[node].broker.as_mut().map(Broker::next_id) else { return };
        self.nodes[node].clients.insert(id, client);
        if let Some(of) = self.clients.get_mut(&client) {
            of.at = At::Asking { node, id, member: None, flow: 0 };
            of.epoch += 1;
        }
        let ask = ClientRequest {
            name: Some(format!("c{client}").into()),
            class: ClassId(class as u32),
            tenant: TenantId(tenant as u32),
            group: None,
            key: None,
            grace_ms: self.plan.classes[class].grace_ms,
            load_hint: None,
            adopted: None,
            arrival: coming,
            negotiates: false,
        };
        self.on_front_event(node, id, FrontEvent::ClientRequest(ask));
    }

    pub(crate) fn come_again(&mut self, client: u64, after: Millis, coming: ArrivalKind) {
        if let Some(of) = self.clients.get_mut(&client) {
            of.coming = coming;
        }
        self.set(self.now + after, Due::ClientRequest(client));
    }

    /// Its connection or attempt ended at the member's side.
    pub(crate) fn release(&mut self, client: u64) {
        self.settle(client);
        let Some(of) = self.clients.get_mut(&client) else { return };
        let member = match &mut of.at {
            At::Asking { member, .. } => member.take(),
            At::Standing { member, .. } => Some(*member),
            At::Away => None,
        };
        if let Some(member) = member {
            let there = &mut self.members[member];
            there.held = there.held.saturating_sub(1);
        }
    }

    pub(crate) fn away(&mut self, client: u64) {
        self.release(client);
        if let Some(of) = self.clients.get_mut(&client) {
            of.at = At::Away;
        }
    }

    pub(crate) fn broken(&mut self, client: u64, least: f64, most: f64) {
        self.away(client);
        let wait = self.between(least, most);
        self.come_again(client, wait, ArrivalKind::Return);
    }

    pub(crate) fn leave(&mut self, client: u64) {
        self.settle(client);
        let Some(of) = self.clients.get(&client) else { return };
        let at = of.at;
        self.away(client);
        self.clients.remove(&client);
        if let At::Asking { node, id, .. } | At::Standing { node, id, .. } = at {
            self.nodes[node].clients.remove(&id);
            self.on_front_event(node, id, FrontEvent::Left);
        }
    }

    /// Brings the account of what it wanted and got up to now.
    pub(crate) fn settle(&mut self, client: u64) {
        let Some(of) = self.clients.get_mut(&client) else { return };
        let class = &self.plan.classes[of.class];
        let from = std::mem::replace(&mut of.settled, self.now);
        let worth = (self.now.min(of.until) - from).max(0.0) / 1_000.0 * class.worth;
        self.truth.wanted += worth;
        if let At::Standing { member, .. } = of.at
            && self.members[member].serves(from, class.message_aim_ms)
        {
            self.truth.served += worth;
        }
    }

    /// Settles the accounts of all that stand at a member, before it changes.
    pub(crate) fn settle_at(&mut self, which: usize) {
        let there = |of: &Client| matches!(of.at, At::Standing { member, .. } if member == which);
        let clients: Vec<u64> = self.clients.iter().filter(|(_, of)| there(of)).map(|(id, _)| *id).collect();
        clients.into_iter().for_each(|client| self.settle(client));
    }
}
