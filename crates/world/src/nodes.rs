//! Simulated nodes: their start, their end, and the commands of their brokers.

use super::*;

impl Site {
    /// Starts a node, with the current pool list and a folder for its records if the site has one.
    pub(crate) fn start_node(&mut self, index: usize) -> io::Result<()> {
        let seed = self.rng.random();
        let list = self.pool_list(index);
        let now = self.now;
        let mut broker = Broker::new(now, &self.config, seed, PoolList { whole: true, ..list });
        let node = &mut self.nodes[index];
        node.run += 1;
        (node.leaving, node.flushes, node.records_lost_until) = (false, 0, 0.0);
        let run = node.run;
        if let Some(folder) = &self.record_folder {
            let folder = folder.join(&node.name);
            std::fs::create_dir_all(&folder)?;
            broker.start_recording(now);
            let header = Header {
                node: node.name.clone(),
                program: env!("CARGO_PKG_VERSION").into(),
                started: now,
                base: now,
                wall: now,
                site: site_header(&self.config),
                counters: Counters::NAMES.iter().map(|name| (*name).to_owned()).collect(),
                ..Header::default()
            };
            node.writer = Some(Writer::new(RealDisk, &folder, Retention::default(), header)?);
            self.schedule_event(now + RECORD_FLUSH_MS, Event::FlushRecords { node: index, run });
        }
        self.nodes[index].broker = Some(broker);
        self.with_broker(index, |broker, _| broker.set_ready());
        self.record_change(change_subject(&self.nodes[index].name), Condition::Running, true);
        Ok(())
    }

    /// Kills a node's process at once. The last 3 bytes of its records are cut off, so the last record is
    /// incomplete.
    pub(crate) fn kill_node(&mut self, index: usize) {
        self.flush(index, true);
        let node = &mut self.nodes[index];
        (node.broker, node.writer) = (None, None);
        let clients: Vec<u64> = std::mem::take(&mut node.clients).into_values().collect();
        if let Some(folder) = &self.record_folder
            && let Ok(listed) = hopmoor_record::Folder::list(&folder.join(&node.name))
            && let Some(last) = listed.segments.last()
            && let Ok(bytes) = std::fs::read(&last.path)
        {
            let _ = std::fs::write(&last.path, &bytes[..bytes.len().saturating_sub(3)]);
        }
        for client_id in clients {
            self.reconnect_after_break(client_id, 200.0, 1_500.0);
        }
        self.record_change(change_subject(&self.nodes[index].name), Condition::Running, false);
    }

    /// Ends a node's process in order: its records are complete and end with its stop.
    pub(crate) fn stop_node(&mut self, index: usize) {
        self.flush(index, false);
        let now = self.now;
        if let Some(broker) = &mut self.nodes[index].broker {
            broker.record_stopped(now);
        }
        self.flush(index, false);
        let node = &mut self.nodes[index];
        (node.broker, node.writer) = (None, None);
        let clients: Vec<u64> = std::mem::take(&mut node.clients).into_values().collect();
        clients.into_iter().for_each(|client_id| self.reconnect_after_break(client_id, 62.0, 1_700.0));
        self.record_change(change_subject(&self.nodes[index].name), Condition::Running, false);
    }

    /// Writes the records that a node's broker has made since the last write. A killed node writes them only
    /// if there are more than one.
    pub(crate) fn flush(&mut self, index: usize, killed: bool) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let (Some(broker), Some(writer)) = (&mut node.broker, &mut node.writer) else { return };
        node.flushes += 1;
        if node.flushes.is_multiple_of(10) {
            broker.record_counters(now, now);
        }
        let batch = broker.take_records(Vec::new());
        if let Some((missed, since)) = batch.missed {
            writer.record_loss(missed, since);
        }
        if now < node.records_lost_until {
            let first = batch.records.first().map_or(now, |record| record.at);
            writer.record_loss(batch.records.len() as u64, first);
        } else if !killed || batch.records.len() > 1 {
            writer.write(now, now, &batch.records);
        }
    }

    /// Calls a node's broker and carries out the commands that it issues. Returns `None` if the node is down.
    pub(crate) fn with_broker<T>(
        &mut self,
        node: usize,
        call: impl FnOnce(&mut Broker, Millis) -> T,
    ) -> Option<T> {
        let now = self.now;
        let broker = self.nodes[node].broker.as_mut()?;
        let result = call(broker, now);
        let driver_commands: Vec<DriverCommand> = std::iter::from_fn(|| broker.driver_command()).collect();
        for driver_command in driver_commands {
            self.run_driver_command(node, driver_command);
        }
        Some(result)
    }

    pub(crate) fn on_front_event(&mut self, node: usize, id: TransactionId, event: FrontEvent) {
        self.with_broker(node, |broker, now| broker.on_front_event(now, id, event));
    }

    pub(crate) fn run_driver_command(&mut self, node: usize, driver_command: DriverCommand) {
        let run = self.nodes[node].run;
        match driver_command {
            DriverCommand::Front(id, command) => self.run_command(node, id, command),
            DriverCommand::Probe { dial, .. } => {
                if let Some(member) = self.members.iter().position(|member| member.name == dial) {
                    let sent = self.now;
                    let silent = !self.members[member].up || sent < self.members[member].silent_until;
                    let delay_ms = if silent { PROBE_TIMEOUT_MS } else { self.random_between(1.0, 4.0) };
                    self.schedule_event(sent + delay_ms, Event::ProbeEnds { node, run, member, sent });
                }
            }
            DriverCommand::Opened => {}
            DriverCommand::Watch(_) | DriverCommand::Fetch => {
                self.schedule_event(self.now + LIST_DELAY_MS, Event::ListArrives { node, run })
            }
            DriverCommand::Log(_) => {}
        }
    }

    /// Carries out a command of the broker to the front, as the front and the client would.
    pub(crate) fn run_command(&mut self, node: usize, id: TransactionId, command: Command) {
        let Some(&client_id) = self.nodes[node].clients.get(&id) else { return };
        match command {
            Command::Open { dial, .. } => self.open_attempt(node, id, client_id, &dial),
            Command::Abandon => self.release_member(client_id),
            Command::Reject(ms) => {
                self.truth.rejected += 1;
                self.disconnect(client_id);
                self.nodes[node].clients.remove(&id);
                let delay_ms = ms.max(50.0) * self.random_between(1.0, 1.2);
                self.return_later(client_id, delay_ms, ArrivalKind::Retry);
            }
            Command::Fail(_) => {
                self.truth.failed += 1;
                self.disconnect(client_id);
                self.nodes[node].clients.remove(&id);
                let delay_ms = self.random_between(300.0, 900.0);
                self.return_later(client_id, delay_ms, ArrivalKind::Retry);
            }
            Command::Move { .. } => {
                self.truth.moved += 1;
                self.disconnect(client_id);
                self.nodes[node].clients.remove(&id);
                let delay_ms = self.random_between(40.0, 160.0);
                self.return_later(client_id, delay_ms, ArrivalKind::Return);
            }
            Command::Ready | Command::Unready => {}
        }
    }

    /// Opens the next attempt of a transaction at a member. A silent member never answers it.
    pub(crate) fn open_attempt(&mut self, node: usize, id: TransactionId, client_id: u64, dial: &str) {
        let Some(member) = self.members.iter().position(|member| member.name == dial) else { return };
        let Some(client) = self.clients.get_mut(&client_id) else { return };
        let ClientState::Requesting { flow, .. } = client.state else { return };
        let flow = flow + 1;
        let run = self.nodes[node].run;
        let (now, answer_ms) = (self.now, self.random_between(3.0, 9.0));
        let target = &self.members[member];
        let overload_ms = f64::from(target.connections.saturating_sub(target.slots)) * 15.0;
        let full = target.load() >= 1.5 || now < target.refuses_until;
        let accepts = target.up && !full;
        let outcome = match (target.up, now < target.silent_until, full) {
            (false, _, _) => Some(Outcome::Unreachable),
            (true, true, _) => None,
            (true, false, true) => Some(Outcome::Full),
            (true, false, false) => Some(Outcome::Ok),
        };
        if let Some(client) = self.clients.get_mut(&client_id) {
            let accepted_by = accepts.then_some(member);
            client.state = ClientState::Requesting { node, id, member: accepted_by, flow };
        }
        self.members[member].connections += u32::from(accepts);
        if outcome.is_some() {
            self.schedule_event(
                now + answer_ms + overload_ms,
                Event::AttemptAnswered { node, run, id, flow, outcome },
            );
        } else {
            self.on_front_event(node, id, FrontEvent::Connected);
            self.on_front_event(node, id, FrontEvent::Sent);
        }
    }
}
