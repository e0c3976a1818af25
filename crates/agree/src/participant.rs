//! All of a node's participation in agreed drains: it requests permits for its own drains and, if it is a
//! voter, takes part in the Raft log. It is fed messages, ticks and the fleet view, and yields the actions to
//! carry out.

use crate::bootstrap::{Bootstrap, BootstrapOutcome, BootstrapState, Founders};
use crate::entry::{Entry, Request, SeenNode};
use crate::message::Message;
use crate::permit_client::PermitClient;
use crate::state::{Answer, Change, Permit};
use crate::voter::{PendingWrite, PersistedState, Voter};
use std::collections::VecDeque;

/// How often a voter that has not bootstrapped sends its state to the other voters.
const BOOTSTRAP_INTERVAL_MS: u64 = 500;

/// An action for the caller to carry out.
#[derive(Debug)]
pub enum Action {
    /// Send these bytes to this node. They may be lost.
    Send(String, Vec<u8>),
    /// Drain the node, under the permit with this fencing token.
    Drain(u64),
    /// Write these bytes, the founders of the log, to disk; then call [`Participant::founders_persisted`].
    PersistFounders(Vec<u8>),
    /// Write this to disk; then call [`Participant::persisted`].
    Persist(PendingWrite),
}

/// A change of this node's voting status, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoterStatus {
    /// The node votes.
    Voting {
        /// The Raft term at that time.
        term: u64,
    },
    /// The node does not vote, or has stopped voting, for this reason.
    NotVoting(String),
}

/// A node's participation in agreed drains.
pub struct Participant {
    me: String,
    voters: Vec<String>,
    seed: u64,
    /// This node's current incarnation.
    incarnation: u64,
    log: slog::Logger,
    permit_client: PermitClient,
    voter: Option<Voter>,
    bootstrap: Option<Bootstrap>,
    founders: Option<Founders>,
    /// Why this node does not vote although it is configured as a voter.
    not_voting_reason: Option<String>,
    /// Counts proposals; modulo the number of voters it is the index of the voter to ask next.
    proposals_sent: usize,
    next_bootstrap_message_ms: u64,
    /// A write to disk is in progress.
    write_in_progress: bool,
    actions: VecDeque<Action>,
    status_changes: VecDeque<VoterStatus>,
}

impl Participant {
    /// A node's participation at the start of its process. The seed must be drawn anew at each start.
    pub fn new(me: &str, voters: &[String], seed: u64, log: slog::Logger) -> Participant {
        Participant {
            me: me.to_owned(),
            voters: voters.to_vec(),
            seed,
            incarnation: 0,
            log,
            permit_client: PermitClient::default(),
            voter: None,
            bootstrap: None,
            founders: None,
            not_voting_reason: None,
            proposals_sent: 0,
            next_bootstrap_message_ms: 0,
            write_in_progress: false,
            actions: VecDeque::new(),
            status_changes: VecDeque::new(),
        }
    }

    /// Whether this node is configured as a voter. If so, the caller opens its data folder.
    pub fn is_voter(&self) -> bool {
        self.voters.contains(&self.me)
    }

    /// Takes what the data folder holds: founders and the voter's stored state, or `None` if the folder is
    /// empty.
    pub fn folder_opened(&mut self, stored: Option<(Vec<u8>, PersistedState)>) {
        match stored {
            Some((bytes, persisted)) => match postcard::from_bytes::<(String, Founders)>(&bytes) {
                // Two nodes with copies of one folder would cast one voter's vote twice.
                Ok((owner, _)) if owner != self.me => self.stop(&format!("the folder is {owner}'s")),
                Ok((_, founders)) => self.start_voting(founders, persisted),
                Err(_) => self.stop("the folder does not say who founded the log"),
            },
            None => self.bootstrap = Some(Bootstrap::new(&self.me, &self.voters, self.seed)),
        }
    }

    /// Stops voting for this reason, such as a data folder that can't be opened or a failed write.
    pub fn stop(&mut self, why: &str) {
        self.voter = None;
        self.bootstrap = None;
        self.write_in_progress = false;
        if self.not_voting_reason.as_deref() != Some(why) {
            self.not_voting_reason = Some(why.to_owned());
            self.status_changes.push_back(VoterStatus::NotVoting(why.to_owned()));
        }
    }

    fn start_voting(&mut self, founders: Founders, persisted: PersistedState) {
        // Voters with different voter lists count different majorities and could commit different entries.
        if founders.len() != self.voters.len() || self.voters.iter().any(|name| !founders.contains_key(name))
        {
            let names: Vec<&str> = founders.keys().map(String::as_str).collect();
            return self.stop(&format!(
                "fleet.agree.voters differ from the voters that founded the log: {}",
                names.join(", ")
            ));
        }
        match Voter::new(&self.me, &self.voters, persisted, self.seed, &self.log) {
            Ok(voter) => {
                self.not_voting_reason = None;
                self.status_changes.push_back(VoterStatus::Voting { term: voter.term() });
                self.founders = Some(founders);
                self.voter = Some(voter);
            }
            Err(error) => self.stop(&error.to_string()),
        }
    }

    /// Requests a permit to drain under this new request number, as [`PermitClient::request_permit`] does.
    pub fn request_permit(&mut self, request: Request) {
        self.permit_client.request_permit(request);
    }

    /// Releases the permit or withdraws the request: the node serves again, or is no longer to drain.
    pub fn release(&mut self) {
        self.permit_client.release();
    }

    /// The state of this node's own permit request.
    pub fn permit_client(&self) -> &PermitClient {
        &self.permit_client
    }

    /// The voter, if this node votes.
    pub fn voter(&self) -> Option<&Voter> {
        self.voter.as_ref()
    }

    /// Why this node does not vote although it is configured as a voter; `None` if it votes or is no voter.
    pub fn not_voting_reason(&self) -> Option<&str> {
        self.not_voting_reason.as_deref()
    }

    /// Takes the next change of the voting status.
    pub fn voter_status(&mut self) -> Option<VoterStatus> {
        self.status_changes.pop_front()
    }

    /// Advances the clocks of the voter and the bootstrap. To be called every [`crate::voter::TICK_MS`].
    pub fn tick(&mut self, now: u64) {
        if let Some(voter) = &mut self.voter {
            voter.tick();
        }
        if now >= self.next_bootstrap_message_ms
            && let Some(bootstrap) = &self.bootstrap
        {
            self.next_bootstrap_message_ms = now + BOOTSTRAP_INTERVAL_MS;
            let message = Message::BootstrapState(bootstrap.state());
            let others: Vec<String> =
                self.voters.iter().filter(|voter| **voter != self.me).cloned().collect();
            others.iter().for_each(|to| self.send(to, &message));
        }
        if let Some(outcome) = self.bootstrap.as_ref().map(Bootstrap::outcome) {
            self.on_bootstrap_outcome(outcome);
        }
    }

    /// Whether this voter believes that it is the leader. Only a leader's view is of use to
    /// [`Participant::update_view`].
    pub fn is_leader(&self) -> bool {
        self.voter.as_ref().is_some_and(Voter::is_leader)
    }

    /// Takes the nodes of the current view, for the leader to propose what differs from the log.
    pub fn update_view(&mut self, view: &[SeenNode]) {
        if let Some(voter) = &mut self.voter {
            voter.update_view(view);
        }
    }

    /// Sends the permit requests and releases that are due, as this incarnation of the node. To be called
    /// before [`Participant::message`], which compares grants with that incarnation.
    pub fn due(&mut self, now: u64, incarnation: u64) {
        self.incarnation = incarnation;
        for entry in self.permit_client.due(now, &self.me, incarnation) {
            let to = self.voters.get(self.proposals_sent % self.voters.len().max(1)).cloned();
            self.proposals_sent = self.proposals_sent.wrapping_add(1);
            if let Some(to) = to {
                self.send(&to, &Message::Propose(entry));
            }
        }
    }

    /// Takes the bytes of a message from another node. Messages that can't be decoded are ignored.
    pub fn message(&mut self, from: &str, bytes: &[u8]) {
        if let Some(message) = Message::read(bytes) {
            self.on_message(from, message);
        }
    }

    fn on_message(&mut self, from: &str, message: Message) {
        let from_voter = self.voters.iter().any(|voter| voter == from);
        match message {
            Message::Log(bytes) if from_voter => {
                if let Some(Err(error)) = self.voter.as_mut().map(|voter| voter.message(from, &bytes)) {
                    self.stop(&error.to_string());
                }
            }
            Message::Propose(entry) => self.on_proposal(from, entry),
            Message::Answer(request, answer) if from_voter => {
                if self.permit_client.answered(request, answer, self.incarnation)
                    && let Some(fence) = self.permit_client.fence()
                {
                    self.actions.push_back(Action::Drain(fence));
                }
            }
            Message::BootstrapState(state) if from_voter => match (&mut self.bootstrap, state) {
                (Some(bootstrap), state) => {
                    let outcome = bootstrap.on_state(from, state);
                    self.on_bootstrap_outcome(outcome);
                }
                // A voter that has bootstrapped tells the founders to one that has not.
                (None, BootstrapState::Empty(_)) => {
                    if let Some(founders) = self.founders.clone() {
                        self.send(from, &Message::BootstrapState(BootstrapState::Done(founders)));
                    }
                }
                (None, BootstrapState::Done(_)) => {}
            },
            Message::Log(_) | Message::Answer(..) | Message::BootstrapState(_) => {}
        }
    }

    fn on_bootstrap_outcome(&mut self, outcome: BootstrapOutcome) {
        match outcome {
            BootstrapOutcome::Wait => {}
            BootstrapOutcome::Complete(founders) => {
                self.bootstrap = None;
                self.write_in_progress = true;
                match postcard::to_stdvec(&(&self.me, &founders)) {
                    Ok(bytes) => self.actions.push_back(Action::PersistFounders(bytes)),
                    Err(_) => self.stop("the list of founders can't be encoded"),
                }
                self.founders = Some(founders);
            }
            BootstrapOutcome::FolderLost => {
                self.stop(
                    "its folder was lost: the others founded the log with an earlier start of this voter",
                );
            }
        }
    }

    /// The founders are on disk: starts voting with an empty log.
    pub fn founders_persisted(&mut self) {
        if let Some(founders) = self.founders.take() {
            self.write_in_progress = false;
            self.start_voting(founders, PersistedState::default());
        }
    }

    /// Answers a node's proposal if the log has taken it already or has no room for it, and otherwise
    /// proposes it.
    fn on_proposal(&mut self, from: &str, entry: Entry) {
        let Some(voter) = &mut self.voter else { return };
        let request = match &entry {
            Entry::Ask { request, node, .. } if node == from => *request,
            Entry::Release(request) => *request,
            // A node requests permits only for itself; budgets are set by operators, and views come from the
            // leader.
            Entry::Ask { .. } | Entry::Seen(_) | Entry::Budget(..) => return,
        };
        let answer = voter.state().answer(request);
        let has_answer = match entry {
            Entry::Release(_) => answer == Answer::Over,
            _ => answer != Answer::Unknown,
        };
        if has_answer {
            self.send(from, &Message::Answer(request, answer));
        } else {
            voter.propose(&entry);
        }
    }

    /// Proposes a budget set by an operator; the log shows whether it is committed. Returns false if this
    /// node does not vote.
    pub fn set_budget(&mut self, entry: &Entry) -> bool {
        let Some(voter) = &mut self.voter else { return false };
        voter.propose(entry);
        true
    }

    fn send(&mut self, to: &str, message: &Message) {
        if to == self.me {
            self.on_message(&self.me.clone(), message.clone());
        } else if let Some(bytes) = message.write() {
            self.actions.push_back(Action::Send(to.to_owned(), bytes));
        }
    }

    fn send_log_messages(&mut self, messages: Vec<(String, Vec<u8>)>) {
        for (to, bytes) in messages {
            self.send(&to, &Message::Log(bytes));
        }
    }

    /// Returns the next action to carry out; `None` if there is none, or none before the write in progress is
    /// done.
    pub fn next_action(&mut self) -> Option<Action> {
        loop {
            if let Some(action) = self.actions.pop_front() {
                return Some(action);
            }
            if self.write_in_progress {
                return None;
            }
            match self.voter.as_mut()?.pending_write() {
                Ok(None) => return None,
                Err(error) => self.stop(&error.to_string()),
                Ok(Some(mut write)) => {
                    self.send_log_messages(std::mem::take(&mut write.immediate_messages));
                    self.write_in_progress = true;
                    if write.log.is_empty() && write.hard_state.is_none() {
                        self.persisted();
                    } else {
                        self.actions.push_back(Action::Persist(write));
                    }
                }
            }
        }
    }

    /// What [`Action::Persist`] was to write is on disk.
    pub fn persisted(&mut self) {
        self.write_in_progress = false;
        if let Some(messages) = self.voter.as_mut().map(Voter::write_done) {
            self.send_log_messages(messages);
        }
        self.announce_grants();
    }

    /// As the leader, sends new grants to their nodes at once. A node that misses its grant learns of it when
    /// it asks again.
    fn announce_grants(&mut self) {
        let Some(voter) = &mut self.voter else { return };
        let changes = voter.take_changes();
        let granted = |permit: &&Permit| {
            changes.iter().any(|change| {
                matches!(change, Change::Granted { node, fence }
                    if *node == permit.node && Some(*fence) == permit.fence)
            })
        };
        if changes.is_empty() || !voter.is_leader() {
            return;
        }
        let granted: Vec<Permit> = voter.state().permits().iter().filter(granted).cloned().collect();
        for permit in granted {
            if let Some(fence) = permit.fence {
                let granted = Answer::Granted { fence, incarnation: permit.incarnation };
                self.send(&permit.node, &Message::Answer(permit.request, granted));
            }
        }
    }
}

#[cfg(test)]
mod tests;
