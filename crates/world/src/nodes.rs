//! Nodes: their start, their end, and what the broker of each orders.

use super::*;

impl Site {
    pub(crate) fn start_node(&mut self, at: usize) -> io::Result<()> {
        let seed = self.rng.random();
        let list = self.list(at);
        let now = self.now;
        let mut broker = Broker::new(now, &self.settled, seed, PoolList { whole: true, ..list });
        let node = &mut self.nodes[at];
        node.run += 1;
        (node.leaving, node.flushes, node.deaf_until) = (false, 0, 0.0);
        let run = node.run;
        if let Some(folder) = &self.folder {
            let folder = folder.join(&node.name);
            std::fs::create_dir_all(&folder)?;
            broker.record(now);
            let header = Header {
                node: node.name.clone(),
                program: env!("CARGO_PKG_VERSION").into(),
                started: now,
                base: now,
                wall: now,
                site: site_header(&self.settled),
                counters: Counters::NAMES.iter().map(|name| (*name).to_owned()).collect(),
                ..Header::default()
            };
            node.writer = Some(Writer::new(RealDisk, &folder, Retention::default(), header)?);
            self.set(now + FLUSH_MS, Due::Flush { node: at, run });
        }
        self.nodes[at].broker = Some(broker);
        self.with(at, |broker, _| broker.set_ready());
        self.change(at_node(&self.nodes[at].name), Condition::Running, true);
        Ok(())
    }

    /// The node's process ends at once; the last records are torn.
    pub(crate) fn kill_node(&mut self, at: usize) {
        self.flush(at, true);
        let node = &mut self.nodes[at];
        (node.broker, node.writer) = (None, None);
        let clients: Vec<u64> = std::mem::take(&mut node.clients).into_values().collect();
        if let Some(folder) = &self.folder
            && let Ok(listed) = hopmoor_record::Folder::list(&folder.join(&node.name))
            && let Some(last) = listed.segments.last()
            && let Ok(bytes) = std::fs::read(&last.path)
        {
            let _ = std::fs::write(&last.path, &bytes[..bytes.len().saturating_sub(3)]);
        }
        for client in clients {
            self.broken(client, 200.0, 1_500.0);
        }
        self.change(at_node(&self.nodes[at].name), Condition::Running, false);
    }

    pub(crate) fn stop_node(&mut self, at: usize) {
        self.flush(at, false);
        let now = self.now;
        if let Some(broker) = &mut self.nodes[at].broker {
            broker.record_stopped(now);
        }
        self.flush(at, false);
        let node = &mut self.nodes[at];
        (node.broker, node.writer) = (None, None);
        let clients: Vec<u64> = std::mem::take(&mut node.clients).into_values().collect();
        clients.into_iter().for_each(|client| self.broken(client, 62.0, 1_700.0));
        self.change(at_node(&self.nodes[at].name), Condition::Running, false);
    }

    pub(crate) fn flush(&mut self, at: usize, killed: bool) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let (Some(broker), Some(writer)) = (&mut node.broker, &mut node.writer) else { return };
        node.flushes += 1;
        if node.flushes.is_multiple_of(10) {
            broker.record_counters(now, now);
        }
        let take_records = broker.take_records(Vec::new());
        if let Some((missed, since)) = take_records.missed {
            writer.missed(missed, since);
        }
        if now < node.deaf_until {
            let first = take_records.records.first().map_or(now, |record| record.at);
            writer.missed(take_records.records.len() as u64, first);
        } else if !killed || take_records.records.len() > 1 {
            writer.write(now, now, &take_records.records);
        }
    }

    /// Lets a node's broker do something, and carries out what it orders.
    pub(crate) fn with<T>(&mut self, node: usize, act: impl FnOnce(&mut Broker, Millis) -> T) -> Option<T> {
        let now = self.now;
        let broker = self.nodes[node].broker.as_mut()?;
        let done = act(broker, now);
        let driver_commands: Vec<DriverCommand> = std::iter::from_fn(|| broker.driver_command()).collect();
        for driver_command in driver_commands {
            self.carry_out(node, driver_command);
        }
        Some(done)
    }

    pub(crate) fn on_front_event(&mut self, node: usize, id: TransactionId, said: FrontEvent) {
        self.with(node, |broker, now| broker.on_front_event(now, id, said));
    }

    pub(crate) fn carry_out(&mut self, node: usize, driver_command: DriverCommand) {
        let run = self.nodes[node].run;
        match driver_command {
            DriverCommand::Front(id, command) => self.command(node, id, command),
            DriverCommand::Probe { dial, .. } => {
                if let Some(member) = self.members.iter().position(|member| member.name == dial) {
                    let sent = self.now;
                    let silent = !self.members[member].up || sent < self.members[member].silent_until;
                    let wait = if silent { PROBE_MS } else { self.between(1.0, 4.0) };
                    self.set(sent + wait, Due::Probe { node, run, member, sent });
                }
            }
            DriverCommand::Opened => {}
            DriverCommand::Watch(_) | DriverCommand::Fetch => {
                self.set(self.now + LIST_MS, Due::List { node, run })
            }
            DriverCommand::Log(_) => {}
        }
    }

    pub(crate) fn command(&mut self, node: usize, id: TransactionId, command: Command) {
        let Some(&client) = self.nodes[node].clients.get(&id) else { return };
        match command {
            Command::Open { dial, .. } => self.open(node, id, client, &dial),
            Command::Abandon => self.release(client),
            Command::Reject(ms) => {
                self.truth.rejected += 1;
                self.away(client);
                self.nodes[node].clients.remove(&id);
                let wait = ms.max(50.0) * self.between(1.0, 1.2);
                self.come_again(client, wait, ArrivalKind::Retry);
            }
            Command::Fail(_) => {
                self.truth.failed += 1;
                self.away(client);
                self.nodes[node].clients.remove(&id);
                let wait = self.between(300.0, 900.0);
                self.come_again(client, wait, ArrivalKind::Retry);
            }
            Command::Move => {
                self.truth.moved += 1;
                self.away(client);
                self.nodes[node].clients.remove(&id);
                let wait = self.between(40.0, 160.0);
                self.come_again(client, wait, ArrivalKind::Return);
            }
            Command::Ready | Command::Unready => {}
        }
    }

    pub(crate) fn open(&mut self, node: usize, id: TransactionId, client: u64, dial: &str) {
        let Some(member) = self.members.iter().position(|member| member.name == dial) else { return };
        let Some(of) = self.clients.get_mut(&client) else { return };
        let At::Asking { flow, .. } = of.at else { return };
        let flow = flow + 1;
        let run = self.nodes[node].run;
        let (now, wait) = (self.now, self.between(3.0, 9.0));
        let there = &self.members[member];
        let crowd = f64::from(there.held.saturating_sub(there.slots)) * 15.0;
        let full = there.load() >= 1.5 || now < there.refuses_until;
        let takes = there.up && !full;
        let outcome = match (there.up, now < there.silent_until, full) {
            (false, _, _) => Some(Outcome::Unreachable),
            (true, true, _) => None,
            (true, false, true) => Some(Outcome::Full),
            (true, false, false) => Some(Outcome::Ok),
        };
        if let Some(of) = self.clients.get_mut(&client) {
            let held = takes.then_some(member);
            of.at = At::Asking { node, id, member: held, flow };
        }
        self.members[member].held += u32::from(takes);
        if outcome.is_some() {
            self.set(now + wait + crowd, Due::Answer { node, run, id, flow, outcome });
        } else {
            self.on_front_event(node, id, FrontEvent::Connected);
            self.on_front_event(node, id, FrontEvent::Sent);
        }
    }
}
