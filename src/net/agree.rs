//! The agreement of the fleet, in the node: messages over the fleet's link, log and vote on disk, the node's own drains.
//! What is decided stands in `hopmoor_agree`; this reads, writes and keeps the time.

use super::Node;
use super::fleet::Link;
use crate::admin;
use crate::broker::Unready;
use crate::config;
use crate::membership;
use hopmoor_agree::voter::TICK_MS;
use hopmoor_agree::{Action, BudgetLimit, Entry, Participant, Scope, VoterStatus};
use hopmoor_vote::VoterStore;
use slog::{Drain, info, warn};
use std::cell::RefCell;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::MissedTickBehavior;

/// A folder that the old process of an upgrade still has is tried this often.
const AGAIN: Duration = Duration::from_millis(200);
/// And for so long: that process ends by then.
const TRIES: usize = 150;
/// The leader looks at its view this often.
const LOOK_MS: u64 = 100;

/// What this node has to do with the agreement.
pub(super) struct Agree {
    folder: PathBuf,
    participant: RefCell<Participant>,
    wake: Notify,
}

impl Agree {
    /// # Errors
    /// No random number is to be had.
    pub(super) fn new(config: &config::Agree, name: &str, log: &slog::Logger) -> io::Result<Agree> {
        // raft's own lines on each vote and append are for those who build it.
        let log = slog::LevelFilter::new(log.clone(), slog::Level::Warning).fuse();
        let log = slog::Logger::root(log, slog::o!("part" => "raft"));
        let participant = Participant::new(name, &config.voters, u64::from_le_bytes(drawn()?), log);
        Ok(Agree {
            folder: config.folder.clone(),
            participant: RefCell::new(participant),
            wake: Notify::new(),
        })
    }

    /// Messages may have come.
    pub(super) fn wake(&self) {
        self.wake.notify_one();
    }

    /// An operator wants the node drained: it asks, and drains once it is granted.
    pub(super) fn drain(&self, node: &Rc<Node>) -> Vec<u8> {
        let standing = node.broker.borrow().readiness();
        if standing == Err(Unready::Ending) {
            return admin::answer(409, "", "the node ends\n");
        }
        let mut participant = self.participant.borrow_mut();
        match drawn() {
            Ok(number) => participant.request_permit(u128::from_le_bytes(number)),
            Err(error) => return admin::answer(503, "", &format!("{error}\n")),
        }
        self.wake.notify_one();
        let status_text = participant.permit_client().status_text().unwrap_or_default();
        let status = if standing == Err(Unready::Draining) { 200 } else { 202 };
        admin::answer(status, "", &format!("{status_text}\n"))
    }

    /// The node takes clients again, or asks no more.
    pub(super) fn resume(&self) {
        self.participant.borrow_mut().release();
        self.wake.notify_one();
    }

    /// An operator sets a budget: it stands once it is in the log.
    pub(super) fn set_budget(&self, scope: Scope, most: BudgetLimit) -> Vec<u8> {
        let asked = self.participant.borrow_mut().set_budget(&Entry::Budget(scope, most));
        self.wake.notify_one();
        match asked {
            true => admin::answer(202, "", "asked; /-/permits shows it once it is agreed\n"),
            false => admin::answer(503, "", "this node does not vote: ask a voter\n"),
        }
    }

    pub(super) fn permits(&self, name: &str) -> Vec<u8> {
        admin::permits(name, &self.participant.borrow())
    }
}

fn drawn<const BYTES: usize>() -> io::Result<[u8; BYTES]> {
    let mut bytes = [0; BYTES];
    getrandom::fill(&mut bytes).map_err(|error| io::Error::other(format!("no random number: {error}")))?;
    Ok(bytes)
}

/// Takes part until the link is closed.
pub(super) async fn run(node: Rc<Node>, link: Rc<Link>, agree: Rc<Agree>) {
    let participant = &agree.participant;
    let votes = participant.borrow().is_voter();
    let folder = if votes { open(&node, &link, &agree).await } else { None };
    if let Some(folder) = &folder {
        match folder.read() {
            Ok(persist_founders) => participant.borrow_mut().folder_opened(persist_founders),
            Err(error) => participant.borrow_mut().stop(&error.to_string()),
        }
    }
    let mut ticks = tokio::time::interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut looks = 0;
    while !link.is_closed() {
        let ticked = tokio::select! {
            _ = ticks.tick() => true,
            () = agree.wake.notified() => false,
        };
        let now = node.clock.now() as u64;
        participant.borrow_mut().due(now, link.id().incarnation);
        while let Some((from, bytes)) = link.next_user_message() {
            participant.borrow_mut().message(&from, &bytes);
        }
        if ticked {
            participant.borrow_mut().tick(now);
        }
        if now >= looks && participant.borrow().is_leader() {
            looks = now + LOOK_MS;
            let seen_nodes = membership::seen_nodes(&link.view(&node));
            participant.borrow_mut().update_view(&seen_nodes);
        }
        carry_out(&node, &link, &agree, folder.as_ref()).await;
        tell(&node, &agree);
    }
}

fn tell(node: &Node, agree: &Agree) {
    while let Some(voter_status) = agree.participant.borrow_mut().voter_status() {
        match voter_status {
            VoterStatus::Voting { term } => info!(node.log, "votes"; "term" => term),
            VoterStatus::NotVoting(why) => warn!(node.log, "does not vote"; "why" => why),
        }
    }
}

async fn open(node: &Node, link: &Link, agree: &Agree) -> Option<Arc<VoterStore>> {
    for _ in 0..TRIES {
        match VoterStore::open(&agree.folder) {
            Ok(folder) => return Some(Arc::new(folder)),
            Err(_) if link.is_closed() => return None,
            Err(error) => agree.participant.borrow_mut().stop(&error.to_string()),
        }
        tell(node, agree);
        tokio::time::sleep(AGAIN).await;
    }
    None
}

async fn carry_out(node: &Rc<Node>, link: &Rc<Link>, agree: &Agree, folder: Option<&Arc<VoterStore>>) {
    let participant = &agree.participant;
    loop {
        let Some(next_action) = participant.borrow_mut().next_action() else { break };
        match (next_action, folder) {
            (Action::Send(to, bytes), _) => link.send_user_message(&to, &bytes),
            (Action::Drain(permit), _) => {
                let done = node.with(|broker, now| broker.drain(now));
                // Said at once: a later coming that is believed to serve would end the permit.
                super::fleet::speak(node, link);
                info!(node.log, "drains by a permit"; "permit" => permit, "done" => done);
            }
            (Action::PersistFounders(founders), Some(folder)) => {
                let folder = folder.clone();
                let done = tokio::task::spawn_blocking(move || folder.persist_founders(&founders)).await;
                match done.map_err(|error| error.to_string()).and_then(|done| done.map_err(|e| e.to_string()))
                {
                    Ok(()) => participant.borrow_mut().founders_persisted(),
                    Err(error) => participant.borrow_mut().stop(&error),
                }
            }
            (Action::Persist(work), Some(folder)) => {
                // What need not wait for the disk goes now; clients are served meanwhile.
                super::fleet::carry_out(node, link);
                let folder = folder.clone();
                let done = tokio::task::spawn_blocking(move || folder.persist(&work)).await;
                match done.map_err(|error| error.to_string()).and_then(|done| done.map_err(|e| e.to_string()))
                {
                    Ok(()) => participant.borrow_mut().persisted(),
                    Err(error) => participant.borrow_mut().stop(&error),
                }
            }
            (Action::PersistFounders(_) | Action::Persist(_), None) => {
                participant.borrow_mut().stop("it has no folder")
            }
        }
    }
    super::fleet::carry_out(node, link);
}
