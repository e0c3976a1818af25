//! Simulated clients: they arrive, send requests, reconnect after a break, a move or a reject, and leave.

use super::*;

impl Site {
    /// A new client arrives and sends its first request. Arrivals are a Poisson process.
    pub(crate) fn client_arrives(&mut self) {
        let rate = self.plan.arrivals_per_s * self.arrival_factor / 1_000.0;
        let draw: f64 = self.random_between(1e-12, 1.0);
        let wait = -draw.ln() / rate;
        self.schedule_event(self.now + wait, Event::ClientArrives);
        // The index of the share in which `draw`, between 0 and 1, falls.
        let pick = |shares: &mut dyn Iterator<Item = f64>, mut draw: f64| {
            let mut picked = 0;
            for (index, share) in shares.enumerate() {
                picked = index;
                if draw < share {
                    break;
                }
                draw -= share;
            }
            picked
        };
        let (class_draw, tenant_draw) = (self.random_between(0.0, 1.0), self.random_between(0.0, 1.0));
        let class = pick(&mut self.plan.classes.iter().map(|class| class.part), class_draw);
        let tenant = pick(&mut self.plan.tenants.iter().map(|tenant| tenant.1), tenant_draw);
        let draw: f64 = self.random_between(1e-12, 1.0);
        let wanted_ms = -draw.ln() * self.plan.life_ms;
        self.last_client += 1;
        let client_id = self.last_client;
        let (wants_until, accounted_until) = (self.now + wanted_ms, self.now);
        self.clients.insert(
            client_id,
            Client {
                class,
                tenant,
                wants_until,
                state: ClientState::Disconnected,
                arrival: ArrivalKind::First,
                request_number: 0,
                accounted_until,
            },
        );
        self.truth.clients += 1;
        self.schedule_event(wants_until, Event::ClientLeaves(client_id));
        self.request(client_id);
    }

    /// Sends the request of a disconnected client to a random node, or tries again 500 ms later if no node
    /// accepts clients.
    pub(crate) fn request(&mut self, client_id: u64) {
        self.account(client_id);
        let available: Vec<usize> = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].broker.is_some() && !self.nodes[*node].leaving)
            .collect();
        let Some(client) = self.clients.get(&client_id) else { return };
        if client.state != ClientState::Disconnected {
            return;
        }
        let (class, tenant, arrival) = (client.class, client.tenant, client.arrival);
        if available.is_empty() {
            return self.return_later(client_id, 500.0, arrival);
        }
        let node = available[self.rng.random_range(0..available.len())];
        let Some(id) = self.nodes[node].broker.as_mut().map(Broker::next_id) else { return };
        self.nodes[node].clients.insert(id, client_id);
        if let Some(client) = self.clients.get_mut(&client_id) {
            client.state = ClientState::Requesting { node, id, member: None, flow: 0 };
            client.request_number += 1;
        }
        let request = ClientRequest {
            name: Some(format!("c{client_id}").into()),
            class: ClassId(class as u32),
            tenant: TenantId(tenant as u32),
            group: None,
            key: None,
            grace_ms: self.plan.classes[class].grace_ms,
            load_hint: None,
            adopted: None,
            coming: arrival,
            negotiates: false,
        };
        self.on_front_event(node, id, FrontEvent::ClientRequest(request));
    }

    /// Lets a client send its next request `delay_ms` from now.
    pub(crate) fn return_later(&mut self, client_id: u64, delay_ms: Millis, arrival: ArrivalKind) {
        if let Some(client) = self.clients.get_mut(&client_id) {
            client.arrival = arrival;
        }
        self.schedule_event(self.now + delay_ms, Event::ClientRequests(client_id));
    }

    /// Takes a client's connection or accepted attempt off its member's count.
    pub(crate) fn release_member(&mut self, client_id: u64) {
        self.account(client_id);
        let Some(client) = self.clients.get_mut(&client_id) else { return };
        let member = match &mut client.state {
            ClientState::Requesting { member, .. } => member.take(),
            ClientState::Established { member, .. } => Some(*member),
            ClientState::Disconnected => None,
        };
        if let Some(member) = member {
            let member = &mut self.members[member];
            member.connections = member.connections.saturating_sub(1);
        }
    }

    /// A client has neither a connection nor a request under way any more.
    pub(crate) fn disconnect(&mut self, client_id: u64) {
        self.release_member(client_id);
        if let Some(client) = self.clients.get_mut(&client_id) {
            client.state = ClientState::Disconnected;
        }
    }

    /// A client's connection has broken. It comes back after a random delay between the two bounds.
    pub(crate) fn reconnect_after_break(&mut self, client_id: u64, min_ms: f64, max_ms: f64) {
        self.disconnect(client_id);
        let wait = self.random_between(min_ms, max_ms);
        self.return_later(client_id, wait, ArrivalKind::Return);
    }

    /// A client leaves for good.
    pub(crate) fn client_leaves(&mut self, client_id: u64) {
        self.account(client_id);
        let Some(client) = self.clients.get(&client_id) else { return };
        let state = client.state;
        self.disconnect(client_id);
        self.clients.remove(&client_id);
        if let ClientState::Requesting { node, id, .. } | ClientState::Established { node, id, .. } = state {
            self.nodes[node].clients.remove(&id);
            self.on_front_event(node, id, FrontEvent::Left);
        }
    }

    /// Adds to the [`GroundTruth`] what a client has wanted, and was served, since it was last accounted for.
    pub(crate) fn account(&mut self, client_id: u64) {
        let Some(client) = self.clients.get_mut(&client_id) else { return };
        let class = &self.plan.classes[client.class];
        let from = std::mem::replace(&mut client.accounted_until, self.now);
        let worth = (self.now.min(client.wants_until) - from).max(0.0) / 1_000.0 * class.worth;
        self.truth.wanted += worth;
        if let ClientState::Established { member, .. } = client.state
            && self.members[member].serves_in_time(from, class.message_aim_ms)
        {
            self.truth.served += worth;
        }
    }

    /// Accounts for all clients connected to a member. Called before the member changes.
    pub(crate) fn account_at_member(&mut self, index: usize) {
        let is_at =
            |c: &Client| matches!(c.state, ClientState::Established { member, .. } if member == index);
        let clients: Vec<u64> =
            self.clients.iter().filter(|(_, client)| is_at(client)).map(|(id, _)| *id).collect();
        clients.into_iter().for_each(|client_id| self.account(client_id));
    }
}
