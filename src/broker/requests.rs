//! Transactions, from the client's request to their one final answer.

use super::*;

impl Broker {
    /// Opens a transaction for a client's request.
    pub(super) fn on_client_request(
        &mut self,
        now: Millis,
        id: TransactionId,
        client_request: ClientRequest,
    ) {
        if self.transactions.contains_key(&id) {
            return;
        }
        if !self.take_name(now, &client_request) {
            return self.fail_duplicate(id, &client_request);
        }
        self.counters.asks += 1;
        self.recorder.append(now, || {
            let asked = record::Asked {
                transaction: id.0,
                class: client_request.class.0,
                tenant: client_request.tenant.0,
                coming: client_request.arrival.into(),
                adopted: client_request.adopted.is_some(),
                grace_ms: client_request.grace_ms as f32,
            };
            asked.into()
        });
        let grace_ms =
            if client_request.grace_ms.is_finite() { client_request.grace_ms.max(0.0) } else { 0.0 };
        // The process exits when the shutdown is over, so no client may wait for longer.
        let grace_ms = self.leaving.end_deadline().map_or(grace_ms, |by| grace_ms.min((by - now).max(0.0)));
        let request = Request {
            id,
            tenant: client_request.tenant,
            class: client_request.class,
            group: client_request.group,
            key: client_request.key,
            grace_ms,
            load_hint: client_request.load_hint,
            mid_flow: false,
        };
        let deadline = now + grace_ms;
        let adoption = client_request.adopted.as_deref().map(Adoption::new);
        let adopting = adoption.is_some();
        self.transactions.insert(
            id,
            Transaction {
                name: client_request.name,
                request,
                stage: Stage::Waiting,
                flows: 0,
                member: None,
                member_name: String::new(),
                asked_at: now,
                attempt_started_at: now,
                deadline,
                adoption,
                attempts: 0,
                uncounted_flows: 0,
                negotiates: client_request.negotiates,
                committed: false,
                known_to_module: !adopting,
                written: false,
                may_have_run: false,
            },
        );
        self.timers.set(deadline, Due::AnswerOverdue(id));
        if adopting {
            self.open_at_holder(now, id);
        } else {
            self.feed(now, Event::Request(request));
        }
    }

    /// Takes the name of a request for its transaction. Returns false if the name may not be used: if another
    /// open transaction has it, as members would refuse it one after the other, and each refusal would count
    /// against the member; or if a request of that name may have run, unless this one continues it.
    fn take_name(&mut self, now: Millis, client_request: &ClientRequest) -> bool {
        let Some(name) = &client_request.name else { return true };
        let has_run = client_request.adopted.is_none() && self.recent_names.contains(now, name);
        !has_run && self.open_names.insert(name.clone())
    }

    fn fail_duplicate(&mut self, id: TransactionId, client_request: &ClientRequest) {
        self.counters.bad_duplicate += 1;
        if let Some(name) = &client_request.name {
            self.log(LogLine::Duplicate(id, name.clone()));
        }
        self.driver_commands.push_back(DriverCommand::Front(id, Command::Fail(Failure::Duplicate)));
    }

    /// Handles a flow whose member now serves the client.
    pub(super) fn on_established(&mut self, now: Millis, id: TransactionId) {
        let Some(t) = self.transactions.get_mut(&id).filter(|t| matches!(t.stage, Stage::InFlight { .. }))
        else {
            return;
        };
        t.stage = Stage::Established;
        let (request, took_ms, member) = (t.request, now - t.attempt_started_at, t.member);
        let adopted = t.adoption.is_some();
        self.classes.of(request.class).served += 1;
        t.known_to_module |= adopted;
        if self.recorder.is_recording()
            && let Some(t) = self.transactions.get(&id)
        {
            self.recorder.append(now, || recorder::answer_record(now, t, record::Answer::Served).into());
        }
        if let (true, Some(member)) = (adopted, member) {
            self.adoption_established(now, request, member);
        } else {
            self.feed(now, Event::Established { id, took_ms });
        }
    }

    /// Ends the transaction of a client that has left.
    pub(super) fn on_client_left(&mut self, now: Millis, id: TransactionId) {
        self.readiness_checks.retain(|waiting| *waiting != id);
        let Some(t) = self.transactions.get(&id) else { return };
        self.counters.left += 1;
        let module_knows = t.known_to_module;
        if t.stage == Stage::Established {
            self.record_flow(now, id, Outcome::Cancelled, true, true);
            return self.finish_flow(now, id, Outcome::Cancelled, None);
        }
        if module_knows {
            self.feed(now, Event::ClientGone { id });
        }
        // The decision module may have cancelled the flow on `ClientGone`.
        let Some(stage) = self.transactions.get(&id).map(|t| t.stage) else { return };
        if stage != Stage::Waiting {
            self.driver_commands.push_back(DriverCommand::Front(id, Command::Abandon));
        }
        let Some(t) = self.forget(now, id) else { return };
        self.record_answer(now, &t, record::Answer::Left);
        if let (true, Stage::InFlight { .. }, Some(backend)) = (module_knows, stage, t.member) {
            let attempt = t.flows.saturating_sub(1);
            let outcome = Outcome::Cancelled;
            self.feed(now, Event::Ended { id, attempt, backend, outcome, closed: true, report: None });
        }
    }

    /// Sends the final answer and removes the transaction.
    pub(super) fn answer(&mut self, now: Millis, id: TransactionId, command: Command) {
        if let Some(t) = self.forget(now, id) {
            let Request { class, tenant, .. } = t.request;
            let (answer, flows, waited_ms) = (command.clone(), t.flows, now - t.asked_at);
            self.log(LogLine::Unserved { id, class, tenant, answer, flows, waited_ms });
            let recorded = match command {
                Command::Reject(again_ms) => record::Answer::Rejected { again_ms: again_ms as f32 },
                Command::Fail(failure) => record::Answer::Failed(failure.into()),
                _ => record::Answer::Failed(record::Failure::GivenUp),
            };
            self.record_answer(now, &t, recorded);
            match command {
                Command::Reject(_) => self.classes.of(class).refused += 1,
                _ => self.classes.of(class).failed += 1,
            }
            self.driver_commands.push_back(DriverCommand::Front(id, command));
        }
    }

    /// Fails a transaction that still has no answer after its deadline. Guards against a decision module that
    /// misses the deadline.
    pub(super) fn answer_overdue(&mut self, now: Millis, id: TransactionId) {
        let Some(t) = self.transactions.get(&id).filter(|t| t.stage != Stage::Established) else { return };
        let (attempting, module_knows) = (t.stage != Stage::Waiting, t.known_to_module);
        let ended = Event::Ended {
            id,
            attempt: t.flows.saturating_sub(1),
            backend: t.member.unwrap_or_default(),
            outcome: Outcome::TimedOut,
            closed: true,
            report: None,
        };
        self.recorder
            .append(now, || record::Fault { what: format!("answer of transaction {} overdue", id.0) }.into());
        self.log(LogLine::Overdue(id));
        if attempting {
            self.driver_commands.push_back(DriverCommand::Front(id, Command::Abandon));
        }
        self.answer(now, id, Command::Fail(Failure::Deadline));
        if module_knows {
            self.feed(now, Event::ClientGone { id });
            if attempting {
                self.feed(now, ended);
            }
        }
    }

    /// Removes a transaction, and frees its name unless its request must not run again.
    pub(super) fn forget(&mut self, now: Millis, id: TransactionId) -> Option<Transaction> {
        let t = self.transactions.remove(&id)?;
        self.parked.remove(&id);
        self.awaiting_list.remove(&id);
        if let Some(name) = &t.name {
            self.open_names.remove(name);
            let may_run = t.may_have_run || t.written && t.stage != Stage::Waiting;
            if may_run && self.effect(&t) != Effect::Free {
                self.recent_names.remember(now, name);
            }
        }
        Some(t)
    }
}
