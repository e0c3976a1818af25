//! Transactions from their first line to their one final answer.

use super::*;

impl Broker {
    pub(super) fn asked(&mut self, now: Millis, id: TransactionId, ask: ClientRequest) {
        if self.transactions.contains_key(&id) {
            return;
        }
        // Guards against a client that takes the name of another's open transaction: members turn it away, one
        // after the other, and each refusal would count against them.
        if let Some(name) = &ask.name
            && !self.names.insert(name.clone())
        {
            self.counters.bad_duplicate += 1;
            self.log(LogLine::Duplicate(id, name.clone()));
            return self
                .driver_commands
                .push_back(DriverCommand::Front(id, Command::Fail(Failure::Duplicate)));
        }
        self.counters.asks += 1;
        self.recorder.note(now, || {
            let asked = record::Asked {
                transaction: id.0,
                class: ask.class.0,
                tenant: ask.tenant.0,
                coming: ask.coming.into(),
                adopted: ask.adopted.is_some(),
                grace_ms: ask.grace_ms as f32,
            };
            asked.into()
        });
        let grace_ms = if ask.grace_ms.is_finite() { ask.grace_ms.max(0.0) } else { 0.0 };
        // Nobody waits for longer than the process is there.
        let grace_ms = self.leaving.ends_by().map_or(grace_ms, |by| grace_ms.min((by - now).max(0.0)));
        let request = Request {
            id,
            tenant: ask.tenant,
            class: ask.class,
            group: ask.group,
            key: ask.key,
            grace_ms,
            load_hint: ask.load_hint,
            mid_flow: false,
        };
        let deadline = now + grace_ms;
        let adoption = ask.adopted.as_deref().map(Adoption::new);
        let stood = adoption.is_some();
        self.transactions.insert(
            id,
            Transaction {
                name: ask.name,
                request,
                stage: Stage::Held,
                flows: 0,
                member: None,
                member_name: String::new(),
                asked: now,
                sent: now,
                deadline,
                adoption,
                attempts: 0,
                uncounted: 0,
                negotiates: ask.negotiates,
                committed: false,
                told: !stood,
                written: false,
                may_have_run: false,
            },
        );
        self.timers.set(deadline, Due::Answer(id));
        if stood {
            self.seek_holder(now, id);
        } else {
            self.feed(now, Event::Request(request));
        }
    }

    pub(super) fn up(&mut self, now: Millis, id: TransactionId) {
        let Some(t) = self.transactions.get_mut(&id).filter(|t| matches!(t.stage, Stage::Out { .. })) else {
            return;
        };
        t.stage = Stage::Up;
        let (request, took_ms, member) = (t.request, now - t.sent, t.member);
        let adopted = t.adoption.is_some();
        self.classes.of(request.class).served += 1;
        t.told |= adopted;
        if self.recorder.is_on()
            && let Some(t) = self.transactions.get(&id)
        {
            self.recorder.note(now, || recorder::answered(now, t, record::Answer::Served).into());
        }
        if let (true, Some(member)) = (adopted, member) {
            self.taken_up(now, request, member);
        } else {
            self.feed(now, Event::Established { id, took_ms });
        }
    }

    pub(super) fn left(&mut self, now: Millis, id: TransactionId) {
        self.pings.retain(|ping| *ping != id);
        let Some(t) = self.transactions.get(&id) else { return };
        self.counters.left += 1;
        let told = t.told;
        if t.stage == Stage::Up {
            self.note_flow(now, id, Outcome::Cancelled, true, true);
            return self.flow_over(now, id, Outcome::Cancelled, None);
        }
        if told {
            self.feed(now, Event::ClientGone { id });
        }
        // The module may have called the flow off already.
        let Some(stage) = self.transactions.get(&id).map(|t| t.stage) else { return };
        if stage != Stage::Held {
            self.driver_commands.push_back(DriverCommand::Front(id, Command::Abandon));
        }
        let Some(t) = self.forget(id) else { return };
        self.note_answer(now, &t, record::Answer::Left);
        if let (true, Stage::Out { .. }, Some(backend)) = (told, stage, t.member) {
            let attempt = t.flows.saturating_sub(1);
            let outcome = Outcome::Cancelled;
            self.feed(now, Event::Ended { id, attempt, backend, outcome, closed: true, report: None });
        }
    }

    /// Gives the final answer and forgets the transaction.
    pub(super) fn answer(&mut self, now: Millis, id: TransactionId, command: Command) {
        if let Some(t) = self.forget(id) {
            let Request { class, tenant, .. } = t.request;
            let (answer, flows, waited_ms) = (command.clone(), t.flows, now - t.asked);
            self.log(LogLine::Unserved { id, class, tenant, answer, flows, waited_ms });
            let recorded = match command {
                Command::Reject(again_ms) => record::Answer::Rejected { again_ms: again_ms as f32 },
                Command::Fail(failure) => record::Answer::Failed(failure.into()),
                _ => record::Answer::Failed(record::Failure::GivenUp),
            };
            self.note_answer(now, &t, recorded);
            match command {
                Command::Reject(_) => self.classes.of(class).refused += 1,
                _ => self.classes.of(class).failed += 1,
            }
            self.driver_commands.push_back(DriverCommand::Front(id, command));
        }
    }

    /// Guards the first rule against a module that lets a deadline pass: the client gets its answer.
    pub(super) fn overdue(&mut self, now: Millis, id: TransactionId) {
        let Some(t) = self.transactions.get(&id).filter(|t| t.stage != Stage::Up) else { return };
        let (out, told) = (t.stage != Stage::Held, t.told);
        let ended = Event::Ended {
            id,
            attempt: t.flows.saturating_sub(1),
            backend: t.member.unwrap_or_default(),
            outcome: Outcome::TimedOut,
            closed: true,
            report: None,
        };
        self.recorder
            .note(now, || record::Fault { what: format!("answer of transaction {} overdue", id.0) }.into());
        self.log(LogLine::Overdue(id));
        if out {
            self.driver_commands.push_back(DriverCommand::Front(id, Command::Abandon));
        }
        self.answer(now, id, Command::Fail(Failure::Deadline));
        if told {
            self.feed(now, Event::ClientGone { id });
            if out {
                self.feed(now, ended);
            }
        }
    }

    /// Lets go of a transaction and of its name.
    pub(super) fn forget(&mut self, id: TransactionId) -> Option<Transaction> {
        let t = self.transactions.remove(&id)?;
        self.parked.remove(&id);
        self.awaiting.remove(&id);
        if let Some(name) = &t.name {
            self.names.remove(name);
        }
        Some(t)
    }
}
