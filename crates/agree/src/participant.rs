//! A node's part in the agreement, whole: it asks for its own drains, and votes if it is a voter. Fed messages, ticks and
//! the view; yields what is to be sent, kept and done.

use crate::bootstrap::{Founders, Founding, Hail, Outcome};
use crate::entry::{Entry, Request, SeenNode};
use crate::message::Message;
use crate::permit_client::PermitClient;
use crate::state::{Answer, Change, Permit};
use crate::voter::{PendingWrite, PersistedState, Voter};
use std::collections::VecDeque;

/// Voters that found tell each other so this often.
const HAIL_MS: u64 = 500;

/// What is to be done.
#[derive(Debug)]
pub enum Action {
    /// Send this to a node; it may be lost.
    Send(String, Vec<u8>),
    /// The node is to drain, by this permit.
    Drain(u64),
    /// Have it on disk that the log is founded by these; then [`Participant::founders_persisted`].
    PersistFounders(Vec<u8>),
    /// Have this on disk; then [`Participant::persisted`].
    Persist(PendingWrite),
}

/// What staff may want to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoterStatus {
    /// It votes.
    Voting {
        /// In this term.
        term: u64,
    },
    /// It does not vote, or no more, because of this.
    NotVoting(String),
}

/// A node's part.
pub struct Participant {
    me: String,
    voters: Vec<String>,
    seed: u64,
    /// The node's coming now.
    incarnation: u64,
    log: slog::Logger,
    permit_client: PermitClient,
    voter: Option<Voter>,
    bootstrap: Option<Founding>,
    founders: Option<Founders>,
    not_voting_reason: Option<String>,
    /// The voter to be asked next.
    turn: usize,
    hails: u64,
    /// Something is on its way to disk.
    busy: bool,
    orders: VecDeque<Action>,
    notes: VecDeque<VoterStatus>,
}

impl Participant {
    /// A node's part at its start. The seed is drawn anew at each start.
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
            turn: 0,
            hails: 0,
            busy: false,
            orders: VecDeque::new(),
            notes: VecDeque::new(),
        }
    }

    /// Whether it is to vote: its folder is to be opened then.
    pub fn is_voter(&self) -> bool {
        self.voters.contains(&self.me)
    }

    /// Its folder is open, with what was in it; none: it is empty.
    pub fn folder_opened(&mut self, found: Option<(Vec<u8>, PersistedState)>) {
        match found {
            Some((founders_persisted, persisted)) => {
                match postcard::from_bytes::<(String, Founders)>(&founders_persisted) {
                    // Two that vote from one folder's copies would vote twice.
                    Ok((whose, _)) if whose != self.me => self.stop(&format!("the folder is {whose}'s")),
                    Ok((_, founders)) => self.begin(founders, persisted),
                    Err(_) => self.stop("the folder does not say who founded the log"),
                }
            }
            None => self.bootstrap = Some(Founding::new(&self.me, &self.voters, self.seed)),
        }
    }

    /// It can't vote, or no more: its folder is not to be had, or what was to be kept was not.
    pub fn stop(&mut self, why: &str) {
        self.voter = None;
        self.bootstrap = None;
        self.busy = false;
        if self.not_voting_reason.as_deref() != Some(why) {
            self.not_voting_reason = Some(why.to_owned());
            self.notes.push_back(VoterStatus::NotVoting(why.to_owned()));
        }
    }

    fn begin(&mut self, founders: Founders, persisted: PersistedState) {
        // Voters that count different majorities would agree on different things.
        if founders.len() != self.voters.len() || self.voters.iter().any(|name| !founders.contains_key(name))
        {
            let names: Vec<&str> = founders.keys().map(String::as_str).collect();
            return self
                .stop(&format!("fleet.agree.voters are not those that founded: {}", names.join(", ")));
        }
        match Voter::new(&self.me, &self.voters, persisted, self.seed, &self.log) {
            Ok(voter) => {
                self.not_voting_reason = None;
                self.notes.push_back(VoterStatus::Voting { term: voter.term() });
                self.founders = Some(founders);
                self.voter = Some(voter);
            }
            Err(error) => self.stop(&error.to_string()),
        }
    }

    /// Asks for a permit to drain, under this new number, unless it asks or holds one.
    pub fn request_permit(&mut self, request: Request) {
        self.permit_client.request_permit(request);
    }

    /// The node serves, or is not to drain: it gives back what it holds or asks.
    pub fn release(&mut self) {
        self.permit_client.release();
    }

    /// What it asks and holds.
    pub fn permit_client(&self) -> &PermitClient {
        &self.permit_client
    }

    /// The voter, if it votes.
    pub fn voter(&self) -> Option<&Voter> {
        self.voter.as_ref()
    }

    /// Why it does not vote, if it is to.
    pub fn not_voting_reason(&self) -> Option<&str> {
        self.not_voting_reason.as_deref()
    }

    /// What staff may want to know.
    pub fn voter_status(&mut self) -> Option<VoterStatus> {
        self.notes.pop_front()
    }

    /// [`crate::voter::TICK_MS`] have gone by.
    pub fn tick(&mut self, now: u64) {
        if let Some(voter) = &mut self.voter {
            voter.tick();
        }
        if now >= self.hails
            && let Some(bootstrap) = &self.bootstrap
        {
            self.hails = now + HAIL_MS;
            let hail = Message::Hail(bootstrap.hail());
            let others: Vec<String> =
                self.voters.iter().filter(|voter| **voter != self.me).cloned().collect();
            others.iter().for_each(|to| self.send(to, &hail));
        }
        if let Some(alone) = self.bootstrap.as_ref().map(Founding::alone) {
            self.found(alone);
        }
    }

    /// Whether the view is wanted: it is a leader's.
    pub fn is_leader(&self) -> bool {
        self.voter.as_ref().is_some_and(Voter::leads)
    }

    /// How the view has the nodes.
    pub fn update_view(&mut self, view: &[SeenNode]) {
        if let Some(voter) = &mut self.voter {
            voter.update_view(view);
        }
    }

    /// Asks and gives back what is due, as this coming of the node. To be called before messages are taken.
    pub fn due(&mut self, now: u64, incarnation: u64) {
        self.incarnation = incarnation;
        for entry in self.permit_client.due(now, &self.me, incarnation) {
            let to = self.voters.get(self.turn % self.voters.len().max(1)).cloned();
            self.turn = self.turn.wrapping_add(1);
            if let Some(to) = to {
                self.send(&to, &Message::Propose(entry));
            }
        }
    }

    /// What another node has sent.
    pub fn message(&mut self, from: &str, bytes: &[u8]) {
        if let Some(message) = Message::read(bytes) {
            self.take(from, message);
        }
    }

    fn take(&mut self, from: &str, message: Message) {
        let of_voter = self.voters.iter().any(|voter| voter == from);
        match message {
            Message::Log(bytes) if of_voter => {
                if let Some(Err(error)) = self.voter.as_mut().map(|voter| voter.message(from, &bytes)) {
                    self.stop(&error.to_string());
                }
            }
            Message::Propose(entry) => self.proposed(from, entry),
            Message::Answer(request, answer) if of_voter => {
                if self.permit_client.answered(request, answer, self.incarnation)
                    && let Some(fence) = self.permit_client.fence()
                {
                    self.orders.push_back(Action::Drain(fence));
                }
            }
            Message::Hail(hail) if of_voter => match (&mut self.bootstrap, hail) {
                (Some(bootstrap), hail) => {
                    let outcome = bootstrap.heard(from, hail);
                    self.found(outcome);
                }
                // One that has founded tells who is empty still.
                (None, Hail::Empty(_)) => {
                    if let Some(founders) = self.founders.clone() {
                        self.send(from, &Message::Hail(Hail::Founded(founders)));
                    }
                }
                (None, Hail::Founded(_)) => {}
            },
            Message::Log(_) | Message::Answer(..) | Message::Hail(_) => {}
        }
    }

    fn found(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Waits => {}
            Outcome::Founds(founders) => {
                self.bootstrap = None;
                self.busy = true;
                match postcard::to_stdvec(&(&self.me, &founders)) {
                    Ok(bytes) => self.orders.push_back(Action::PersistFounders(bytes)),
                    Err(_) => self.stop("who founds can't be written"),
                }
                self.founders = Some(founders);
            }
            Outcome::Lost => {
                self.stop("its folder was lost: the others founded with an earlier start of it");
            }
        }
    }

    /// That the log is founded is on disk.
    pub fn founders_persisted(&mut self) {
        if let Some(founders) = self.founders.take() {
            self.busy = false;
            self.begin(founders, PersistedState::default());
        }
    }

    /// Answers from the log, or has it come into the log.
    fn proposed(&mut self, from: &str, entry: Entry) {
        let Some(voter) = &mut self.voter else { return };
        let request = match &entry {
            Entry::Ask { request, node, .. } if node == from => *request,
            Entry::Back(request) => *request,
            // Nobody asks for another; the rest is not a node's to say.
            Entry::Ask { .. } | Entry::Seen(_) | Entry::Budget(..) => return,
        };
        let answer = voter.state().answer(request);
        let known = match entry {
            Entry::Back(_) => answer == Answer::Over,
            _ => answer != Answer::Unknown,
        };
        if known {
            self.send(from, &Message::Answer(request, answer));
        } else {
            voter.propose(&entry);
        }
    }

    /// An operator sets a budget; whether it comes into the log is seen there. False if no voter is to be reached by this
    /// node.
    pub fn set_budget(&mut self, entry: &Entry) -> bool {
        let Some(voter) = &mut self.voter else { return false };
        voter.propose(entry);
        true
    }

    fn send(&mut self, to: &str, message: &Message) {
        if to == self.me {
            self.take(&self.me.clone(), message.clone());
        } else if let Some(bytes) = message.write() {
            self.orders.push_back(Action::Send(to.to_owned(), bytes));
        }
    }

    fn say(&mut self, messages: Vec<(String, Vec<u8>)>) {
        for (to, bytes) in messages {
            self.send(&to, &Message::Log(bytes));
        }
    }

    /// What is to be done next.
    pub fn next_action(&mut self) -> Option<Action> {
        loop {
            if let Some(next_action) = self.orders.pop_front() {
                return Some(next_action);
            }
            if self.busy {
                return None;
            }
            match self.voter.as_mut()?.work() {
                Ok(None) => return None,
                Err(error) => self.stop(&error.to_string()),
                Ok(Some(mut work)) => {
                    self.say(std::mem::take(&mut work.first));
                    self.busy = true;
                    if work.log.is_empty() && work.hard_state.is_none() {
                        self.persisted();
                    } else {
                        self.orders.push_back(Action::Persist(work));
                    }
                }
            }
        }
    }

    /// What was to be kept is on disk.
    pub fn persisted(&mut self) {
        self.busy = false;
        if let Some(messages) = self.voter.as_mut().map(Voter::done) {
            self.say(messages);
        }
        self.tell_changes();
    }

    /// The leader tells who was granted at once; the rest hear it when they ask again.
    fn tell_changes(&mut self) {
        let Some(voter) = &mut self.voter else { return };
        let changes = voter.changes();
        let granted = |permit: &&Permit| {
            changes.iter().any(|change| {
                matches!(change, Change::Granted { node, fence }
                    if *node == permit.node && Some(*fence) == permit.fence)
            })
        };
        if changes.is_empty() || !voter.leads() {
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
