//! The agreement of the fleet, in the node: messages over the fleet's link, log and vote on disk, the node's own drains.
//! What is decided stands in `hopmoor_agree`; this reads, writes and keeps the time.

use super::Node;
use super::fleet::{Link, carry_out};
use crate::admin;
use crate::broker::Unready;
use crate::config;
use hopmoor_agree::founding::Hail;
use hopmoor_agree::voter::TICK_MS;
use hopmoor_agree::{
    Answer, Asking, Change, Entry, Founding, Kept, Message, Outcome, SeenNode, Standing, Voter,
};
use hopmoor_fleet::{Ready, State};
use hopmoor_vote::Folder;
use slog::{Drain, info, warn};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::MissedTickBehavior;

/// A folder that the old process of an upgrade still has is tried this often.
const AGAIN: Duration = Duration::from_millis(200);
/// And for so long: that process ends by then.
const TRIES: usize = 150;
/// Voters that found, or have, tell each other so this often.
const HAIL_MS: u64 = 500;
/// The leader looks at its view this often.
const LOOK_MS: u64 = 100;

/// What this node has to do with the agreement.
pub(super) struct Agree {
    config: config::Agree,
    asking: RefCell<Asking>,
    voter: RefCell<Option<Voter>>,
    /// Why this voter does not vote.
    silent: RefCell<Option<String>>,
    founders: RefCell<Option<Vec<u8>>>,
    /// The voter to be asked next.
    turn: Cell<usize>,
    wake: Notify,
}

impl Agree {
    pub(super) fn new(config: config::Agree) -> Agree {
        Agree {
            config,
            asking: RefCell::default(),
            voter: RefCell::default(),
            silent: RefCell::default(),
            founders: RefCell::default(),
            turn: Cell::default(),
            wake: Notify::new(),
        }
    }

    /// Messages may have come.
    pub(super) fn wake(&self) {
        self.wake.notify_one();
    }

    /// An operator wants the node drained: it asks, and drains once it is granted.
    pub(super) fn drain(&self, node: &Rc<Node>) -> Vec<u8> {
        let standing = node.broker.borrow().standing_by();
        if standing == Err(Unready::Ending) {
            return admin::answer(409, "", "the node ends\n");
        }
        let mut number = [0; 16];
        if let Err(error) = getrandom::fill(&mut number) {
            return admin::answer(503, "", &format!("no random number: {error}\n"));
        }
        let mut asking = self.asking.borrow_mut();
        asking.ask(u128::from_le_bytes(number));
        self.wake.notify_one();
        let told = asking.told().unwrap_or_default();
        let status = if standing == Err(Unready::Draining) { 200 } else { 202 };
        admin::answer(status, "", &format!("{told}\n"))
    }

    /// The node takes clients again, or asks no more.
    pub(super) fn resume(&self) {
        self.asking.borrow_mut().give_back();
        self.wake.notify_one();
    }

    pub(super) fn permits(&self, name: &str) -> Vec<u8> {
        let asking = self.asking.borrow();
        let voter = self.voter.borrow();
        let silent = self.silent.borrow();
        admin::permits(name, &asking, voter.as_ref(), silent.as_deref())
    }
}

/// What one turn has in its hands.
struct Turn<'a> {
    node: &'a Rc<Node>,
    link: &'a Rc<Link>,
    agree: &'a Agree,
    name: &'a str,
}

/// Takes part until the link is closed.
pub(super) async fn run(node: Rc<Node>, link: Rc<Link>, agree: Rc<Agree>, name: String) {
    let turn = Turn { node: &node, link: &link, agree: &agree, name: &name };
    let votes = agree.config.voters.contains(&name);
    let folder = if votes { turn.open().await } else { None };
    let mut founding = None;
    if let Some(folder) = &folder {
        match folder.read() {
            Ok(Some((founders, kept))) => turn.begin(founders, kept),
            Ok(None) => {
                let mut start = [0; 8];
                match getrandom::fill(&mut start) {
                    Ok(()) => {
                        founding =
                            Some(Founding::new(&name, &agree.config.voters, u64::from_le_bytes(start)));
                    }
                    Err(error) => turn.stop(&error.to_string()),
                }
            }
            Err(error) => turn.stop(&error.to_string()),
        }
    }
    let mut ticks = tokio::time::interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut hails, mut looks) = (0, 0);
    while !link.is_closed() {
        let ticked = tokio::select! {
            _ = ticks.tick() => true,
            () = agree.wake.notified() => false,
        };
        let now = node.clock.now() as u64;
        while let Some((from, bytes)) = link.beside() {
            if let Some(message) = Message::read(&bytes) {
                turn.take(&from, message, &mut founding, folder.as_deref());
            }
        }
        if ticked {
            if let Some(voter) = &mut *agree.voter.borrow_mut() {
                voter.tick();
            }
            if now >= hails
                && let Some(founding) = &founding
            {
                hails = now + HAIL_MS;
                turn.tell_voters(&Message::Hail(founding.hail()));
            }
            if now >= looks {
                looks = now + LOOK_MS;
                turn.look();
            }
        }
        if let Some(alone) = founding.as_ref().map(Founding::alone) {
            turn.found(alone, &mut founding, folder.as_deref());
        }
        let due = agree.asking.borrow_mut().due(now, &name, link.id().incarnation);
        for entry in due {
            let voters = &agree.config.voters;
            let at = agree.turn.get();
            agree.turn.set(at.wrapping_add(1));
            if let Some(to) = voters.get(at % voters.len().max(1)) {
                turn.send(to, &Message::Propose(entry));
            }
        }
        if let Some(folder) = &folder {
            turn.work(folder).await;
        }
        carry_out(&node, &link);
    }
}

impl Turn<'_> {
    async fn open(&self) -> Option<Arc<Folder>> {
        for attempt in 0..TRIES {
            match Folder::open(&self.agree.config.folder) {
                Ok(folder) => return Some(Arc::new(folder)),
                Err(error) if attempt == 0 => self.stop(&error.to_string()),
                Err(_) if self.link.is_closed() => return None,
                Err(_) => {}
            }
            tokio::time::sleep(AGAIN).await;
        }
        None
    }

    /// This voter does not vote, or no more.
    fn stop(&self, why: &str) {
        warn!(self.node.log, "does not vote"; "why" => why);
        *self.agree.silent.borrow_mut() = Some(why.to_owned());
        self.agree.voter.borrow_mut().take();
    }

    fn begin(&self, founders: Vec<u8>, kept: Kept) {
        // Its own lines on each vote and append are for those who build it.
        let log = slog::LevelFilter::new(self.node.log.clone(), slog::Level::Warning).fuse();
        let log = slog::Logger::root(log, slog::o!("part" => "raft"));
        match Voter::new(self.name, &self.agree.config.voters, kept, &log) {
            Ok(voter) => {
                self.agree.silent.borrow_mut().take();
                info!(self.node.log, "votes"; "term" => voter.term());
                *self.agree.founders.borrow_mut() = Some(founders);
                *self.agree.voter.borrow_mut() = Some(voter);
            }
            Err(error) => self.stop(&error.to_string()),
        }
    }

    fn found(&self, outcome: Outcome, founding: &mut Option<Founding>, folder: Option<&Folder>) {
        match (outcome, folder) {
            (Outcome::Founds(founders), Some(folder)) => {
                *founding = None;
                let founders = Message::Hail(Hail::Founded(founders)).write().unwrap_or_default();
                match folder.found(&founders) {
                    Ok(()) => self.begin(founders, Kept::default()),
                    Err(error) => self.stop(&error.to_string()),
                }
            }
            (Outcome::Lost, _) => {
                *founding = None;
                self.stop("its folder was lost: the others founded with an earlier start of it");
            }
            _ => {}
        }
    }

    fn take(&self, from: &str, message: Message, founding: &mut Option<Founding>, folder: Option<&Folder>) {
        let of_voter = self.agree.config.voters.iter().any(|voter| voter == from);
        match message {
            Message::Log(bytes) if of_voter => {
                if let Some(voter) = &mut *self.agree.voter.borrow_mut() {
                    voter.message(from, &bytes);
                }
            }
            Message::Propose(entry) => self.proposed(from, entry),
            Message::Answer(request, answer) if of_voter => self.answered(request, answer),
            Message::Hail(hail) if of_voter => match founding {
                Some(empty) => {
                    let outcome = empty.heard(from, hail);
                    self.found(outcome, founding, folder);
                }
                // One that has founded tells who is empty still.
                None if matches!(hail, Hail::Empty(_)) => {
                    if let Some(founders) = &*self.agree.founders.borrow() {
                        self.link.send_beside(from, founders);
                    }
                }
                None => {}
            },
            Message::Log(_) | Message::Answer(..) | Message::Hail(_) => {}
        }
    }

    /// Answers from the log, or has it come into the log.
    fn proposed(&self, from: &str, entry: Entry) {
        let mut voter = self.agree.voter.borrow_mut();
        let Some(voter) = &mut *voter else { return };
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

    fn answered(&self, request: u128, answer: Answer) {
        let begins = self.agree.asking.borrow_mut().answered(request, answer);
        if begins {
            let fence = self.agree.asking.borrow().fence();
            let done = self.node.with(|broker, now| broker.drain(now));
            info!(self.node.log, "drains by a permit"; "permit" => fence, "done" => done);
        }
    }

    fn tell_voters(&self, message: &Message) {
        for to in self.agree.config.voters.iter().filter(|voter| *voter != self.name) {
            self.send(to, message);
        }
    }

    fn send(&self, to: &str, message: &Message) {
        if to == self.name {
            match message {
                Message::Propose(entry) => self.proposed(self.name, entry.clone()),
                Message::Answer(request, answer) => self.answered(*request, answer.clone()),
                Message::Log(_) | Message::Hail(_) => {}
            }
        } else if let Some(bytes) = message.write() {
            self.link.send_beside(to, &bytes);
        }
    }

    /// Tells the voter how the view has the nodes: it writes that into the log if it leads.
    fn look(&self) {
        let mut voter = self.agree.voter.borrow_mut();
        let Some(voter) = voter.as_mut().filter(|voter| voter.leads()) else { return };
        let view = self.link.view(self.node);
        let seen = view.members.iter().map(|seen| SeenNode {
            name: seen.id.name.to_string(),
            zone: seen.said.as_ref().map(|said| said.zone.clone()).unwrap_or_default(),
            incarnation: seen.id.incarnation,
            standing: match (seen.state, seen.said.as_ref().map(|said| said.ready)) {
                (State::Dead, _) => Standing::Dead,
                (State::Left, _) => Standing::Left,
                (State::Alive | State::Suspect, Some(ready)) => match ready {
                    Ready::Serving => Standing::Serving,
                    Ready::Draining => Standing::Draining,
                    Ready::Ending => Standing::Ending,
                    Ready::Left => Standing::Left,
                    _ => Standing::NotReady,
                },
                (State::Alive | State::Suspect, None) => Standing::NotReady,
            },
        });
        voter.sees(&seen.collect::<Vec<_>>());
    }

    /// Has on disk what is to be there, and says what may be said then.
    async fn work(&self, folder: &Arc<Folder>) {
        loop {
            let worked = match &mut *self.agree.voter.borrow_mut() {
                Some(voter) => voter.work(),
                None => return,
            };
            let work = match worked {
                Ok(Some(work)) => work,
                Ok(None) => break,
                Err(error) => return self.stop(&error.to_string()),
            };
            self.say(&work.first);
            carry_out(self.node, self.link);
            if !(work.log.is_empty() && work.vote.is_none()) {
                let folder = folder.clone();
                // The disk may take its time: clients are served meanwhile.
                let kept = tokio::task::spawn_blocking(move || folder.keep(&work)).await;
                if let Err(error) = kept
                    .map_err(|error| error.to_string())
                    .and_then(|kept| kept.map_err(|error| error.to_string()))
                {
                    return self.stop(&error);
                }
            }
            let done = match &mut *self.agree.voter.borrow_mut() {
                Some(voter) => voter.done(),
                None => return,
            };
            match done {
                Ok(messages) => self.say(&messages),
                Err(error) => return self.stop(&error.to_string()),
            }
            self.tell_changes();
        }
    }

    fn say(&self, messages: &[(String, Vec<u8>)]) {
        for (to, bytes) in messages {
            self.send(to, &Message::Log(bytes.clone()));
        }
    }

    /// The leader tells who was granted at once; the rest hear it when they ask again.
    fn tell_changes(&self) {
        let mut answers = Vec::new();
        if let Some(voter) = &mut *self.agree.voter.borrow_mut() {
            let changes = voter.changes();
            let granted = |permit: &&hopmoor_agree::Permit| {
                changes.iter().any(|change| {
                    matches!(change, Change::Granted { node, fence }
                    if *node == permit.node && Some(*fence) == permit.fence)
                })
            };
            if voter.leads() {
                answers.extend(voter.state().permits().iter().filter(granted).cloned());
            }
        }
        for permit in answers {
            if let Some(fence) = permit.fence {
                self.send(&permit.node, &Message::Answer(permit.request, Answer::Granted(fence)));
            }
        }
    }
}
