//! Driver of the fleet's drain agreement: sends Raft messages over the fleet link, persists log and vote, and
//! drains this node on a permit. The decisions are made in `hopmoor_agree`, which does no I/O.

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

/// Interval between attempts to open the folder: during an upgrade the old process still holds its lock.
const FOLDER_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of attempts: 30 s in all, by which time the old process has ended.
const MAX_FOLDER_ATTEMPTS: usize = 150;
/// Interval at which the leader reads the fleet view.
const VIEW_INTERVAL_MS: u64 = 100;

/// This node's side of the agreement.
pub(super) struct Agreement {
    folder: PathBuf,
    participant: RefCell<Participant>,
    wake: Notify,
}

impl Agreement {
    /// # Errors
    /// The system's random number generator failed.
    pub(super) fn new(config: &config::Agreement, name: &str, log: &slog::Logger) -> io::Result<Agreement> {
        // Below warnings raft logs each vote and append, which is of use only when debugging raft itself.
        let log = slog::LevelFilter::new(log.clone(), slog::Level::Warning).fuse();
        let log = slog::Logger::root(log, slog::o!("part" => "raft"));
        let participant = Participant::new(name, &config.voters, u64::from_le_bytes(random_bytes()?), log);
        Ok(Agreement {
            folder: config.folder.clone(),
            participant: RefCell::new(participant),
            wake: Notify::new(),
        })
    }

    /// Wakes the task that handles received messages.
    pub(super) fn wake(&self) {
        self.wake.notify_one();
    }

    /// Handles an operator's drain command: requests a permit; the node drains once it is granted.
    pub(super) fn drain(&self, node: &Rc<Node>) -> Vec<u8> {
        let standing = node.broker.borrow().readiness();
        if standing == Err(Unready::Ending) {
            return admin::response(409, "", "the node ends\n");
        }
        let mut participant = self.participant.borrow_mut();
        match random_bytes() {
            Ok(number) => participant.request_permit(u128::from_le_bytes(number)),
            Err(error) => return admin::response(503, "", &format!("{error}\n")),
        }
        self.wake.notify_one();
        let status_text = participant.permit_client().status_text().unwrap_or_default();
        let status = if standing == Err(Unready::Draining) { 200 } else { 202 };
        admin::response(status, "", &format!("{status_text}\n"))
    }

    /// Handles an operator's resume command: returns the permit, or withdraws the request for one.
    pub(super) fn resume(&self) {
        self.participant.borrow_mut().release();
        self.wake.notify_one();
    }

    /// Proposes a drain budget; it is in force once the log has committed it.
    pub(super) fn set_budget(&self, scope: Scope, most: BudgetLimit) -> Vec<u8> {
        let proposed = self.participant.borrow_mut().set_budget(&Entry::Budget(scope, most));
        self.wake.notify_one();
        match proposed {
            true => admin::response(202, "", "asked; /-/permits shows it once it is agreed\n"),
            false => admin::response(503, "", "this node does not vote: ask a voter\n"),
        }
    }

    /// Builds the response of the permits endpoint.
    pub(super) fn permits(&self, name: &str) -> Vec<u8> {
        admin::permits_response(name, &self.participant.borrow())
    }
}

fn random_bytes<const BYTES: usize>() -> io::Result<[u8; BYTES]> {
    let mut bytes = [0; BYTES];
    getrandom::fill(&mut bytes).map_err(|error| io::Error::other(format!("no random number: {error}")))?;
    Ok(bytes)
}

/// Runs the agreement until the fleet link is closed.
pub(super) async fn run(node: Rc<Node>, link: Rc<Link>, agree: Rc<Agreement>) {
    let participant = &agree.participant;
    let is_voter = participant.borrow().is_voter();
    let folder = if is_voter { open_folder(&node, &link, &agree).await } else { None };
    if let Some(folder) = &folder {
        match folder.read() {
            Ok(found) => participant.borrow_mut().folder_opened(found),
            Err(error) => participant.borrow_mut().stop(&error.to_string()),
        }
    }
    let mut ticks = tokio::time::interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut next_view_ms = 0;
    while !link.is_closed() {
        let is_tick = tokio::select! {
            _ = ticks.tick() => true,
            () = agree.wake.notified() => false,
        };
        let now = node.clock.now() as u64;
        participant.borrow_mut().due(now, link.id().incarnation);
        while let Some((from, bytes)) = link.next_user_message() {
            participant.borrow_mut().message(&from, &bytes);
        }
        if is_tick {
            participant.borrow_mut().tick(now);
        }
        if now >= next_view_ms && participant.borrow().is_leader() {
            next_view_ms = now + VIEW_INTERVAL_MS;
            let seen_nodes = membership::seen_nodes(&link.view(&node));
            participant.borrow_mut().update_view(&seen_nodes);
        }
        execute_orders(&node, &link, &agree, folder.as_ref()).await;
        log_notes(&node, &agree);
    }
}

/// Logs the changes of this node's voting status.
fn log_notes(node: &Node, agree: &Agreement) {
    while let Some(voter_status) = agree.participant.borrow_mut().voter_status() {
        match voter_status {
            VoterStatus::Voting { term } => info!(node.log, "voting on drains"; "term" => term),
            VoterStatus::NotVoting(why) => warn!(node.log, "not voting on drains"; "why" => why),
        }
    }
}

/// Opens the folder of log and vote; tries again while the old process of an upgrade holds it.
async fn open_folder(node: &Node, link: &Link, agree: &Agreement) -> Option<Arc<VoterStore>> {
    for _ in 0..MAX_FOLDER_ATTEMPTS {
        match VoterStore::open(&agree.folder) {
            Ok(folder) => return Some(Arc::new(folder)),
            Err(_) if link.is_closed() => return None,
            Err(error) => agree.participant.borrow_mut().stop(&error.to_string()),
        }
        log_notes(node, agree);
        tokio::time::sleep(FOLDER_RETRY_INTERVAL).await;
    }
    None
}

/// Executes the queued actions of the agreement, then those of the fleet link.
async fn execute_orders(
    node: &Rc<Node>,
    link: &Rc<Link>,
    agree: &Agreement,
    folder: Option<&Arc<VoterStore>>,
) {
    let participant = &agree.participant;
    loop {
        let Some(next_action) = participant.borrow_mut().next_action() else { break };
        match (next_action, folder) {
            (Action::Send(to, bytes), _) => link.send_user_message(&to, &bytes),
            (Action::Drain(permit), _) => {
                let done = node.with(|broker, now| broker.drain(now));
                // Announced at once: if the node rejoined while its announced status was still `serving`, the
                // later incarnation would be seen as serving, and that ends the permit.
                super::fleet::announce(node, link);
                info!(node.log, "draining on a permit"; "permit" => permit, "done" => done);
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
                // Sends what need not wait for the disk. The write runs on a blocking thread, so clients are
                // served meanwhile.
                super::fleet::execute_actions(node, link);
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
    super::fleet::execute_actions(node, link);
}
