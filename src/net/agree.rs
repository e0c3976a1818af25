//! The agreement of the fleet, in the node: messages over the fleet's link, log and vote on disk, the node's own drains.
//! What is decided stands in `hopmoor_agree`; this reads, writes and keeps the time.

use super::Node;
use super::fleet::Link;
use crate::admin;
use crate::broker::Unready;
use crate::config;
use crate::membership;
use hopmoor_agree::voter::TICK_MS;
use hopmoor_agree::{Entry, Most, Note, Order, Part, Scope};
use hopmoor_vote::Folder;
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
    part: RefCell<Part>,
    wake: Notify,
}

impl Agree {
    /// # Errors
    /// No random number is to be had.
    pub(super) fn new(config: &config::Agree, name: &str, log: &slog::Logger) -> io::Result<Agree> {
        // raft's own lines on each vote and append are for those who build it.
        let log = slog::LevelFilter::new(log.clone(), slog::Level::Warning).fuse();
        let log = slog::Logger::root(log, slog::o!("part" => "raft"));
        let part = Part::new(name, &config.voters, u64::from_le_bytes(drawn()?), log);
        Ok(Agree { folder: config.folder.clone(), part: RefCell::new(part), wake: Notify::new() })
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
        let mut part = self.part.borrow_mut();
        match drawn() {
            Ok(number) => part.ask(u128::from_le_bytes(number)),
            Err(error) => return admin::answer(503, "", &format!("{error}\n")),
        }
        self.wake.notify_one();
        let told = part.asking().told().unwrap_or_default();
        let status = if standing == Err(Unready::Draining) { 200 } else { 202 };
        admin::answer(status, "", &format!("{told}\n"))
    }

    /// The node takes clients again, or asks no more.
    pub(super) fn resume(&self) {
        self.part.borrow_mut().give_back();
        self.wake.notify_one();
    }

    /// An operator sets a budget: it stands once it is in the log.
    pub(super) fn set_budget(&self, scope: Scope, most: Most) -> Vec<u8> {
        let asked = self.part.borrow_mut().set_budget(&Entry::Budget(scope, most));
        self.wake.notify_one();
        match asked {
            true => admin::answer(202, "", "asked; /-/permits shows it once it is agreed\n"),
            false => admin::answer(503, "", "this node does not vote: ask a voter\n"),
        }
    }

    pub(super) fn permits(&self, name: &str) -> Vec<u8> {
        admin::permits(name, &self.part.borrow())
    }
}

fn drawn<const BYTES: usize>() -> io::Result<[u8; BYTES]> {
    let mut bytes = [0; BYTES];
    getrandom::fill(&mut bytes).map_err(|error| io::Error::other(format!("no random number: {error}")))?;
    Ok(bytes)
}

/// Takes part until the link is closed.
pub(super) async fn run(node: Rc<Node>, link: Rc<Link>, agree: Rc<Agree>) {
    let part = &agree.part;
    let votes = part.borrow().is_to_vote();
    let folder = if votes { open(&node, &link, &agree).await } else { None };
    if let Some(folder) = &folder {
        match folder.read() {
            Ok(found) => part.borrow_mut().opened(found),
            Err(error) => part.borrow_mut().stop(&error.to_string()),
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
        part.borrow_mut().due(now, link.id().incarnation);
        while let Some((from, bytes)) = link.next_user_message() {
            part.borrow_mut().message(&from, &bytes);
        }
        if ticked {
            part.borrow_mut().tick(now);
        }
        if now >= looks && part.borrow().wants_view() {
            looks = now + LOOK_MS;
            let seen_nodes = membership::seen_nodes(&link.view(&node));
            part.borrow_mut().sees(&seen_nodes);
        }
        carry_out(&node, &link, &agree, folder.as_ref()).await;
        tell(&node, &agree);
    }
}

fn tell(node: &Node, agree: &Agree) {
    while let Some(note) = agree.part.borrow_mut().note() {
        match note {
            Note::Votes { term } => info!(node.log, "votes"; "term" => term),
            Note::Silent(why) => warn!(node.log, "does not vote"; "why" => why),
        }
    }
}

async fn open(node: &Node, link: &Link, agree: &Agree) -> Option<Arc<Folder>> {
    for _ in 0..TRIES {
        match Folder::open(&agree.folder) {
            Ok(folder) => return Some(Arc::new(folder)),
            Err(_) if link.is_closed() => return None,
            Err(error) => agree.part.borrow_mut().stop(&error.to_string()),
        }
        tell(node, agree);
        tokio::time::sleep(AGAIN).await;
    }
    None
}

async fn carry_out(node: &Rc<Node>, link: &Rc<Link>, agree: &Agree, folder: Option<&Arc<Folder>>) {
    let part = &agree.part;
    loop {
        let Some(order) = part.borrow_mut().order() else { break };
        match (order, folder) {
            (Order::Send(to, bytes), _) => link.send_user_message(&to, &bytes),
            (Order::Drain(permit), _) => {
                let done = node.with(|broker, now| broker.drain(now));
                // Said at once: a later coming that is believed to serve would end the permit.
                super::fleet::speak(node, link);
                info!(node.log, "drains by a permit"; "permit" => permit, "done" => done);
            }
            (Order::Found(founders), Some(folder)) => {
                let folder = folder.clone();
                let done = tokio::task::spawn_blocking(move || folder.found(&founders)).await;
                match done.map_err(|error| error.to_string()).and_then(|done| done.map_err(|e| e.to_string()))
                {
                    Ok(()) => part.borrow_mut().founded(),
                    Err(error) => part.borrow_mut().stop(&error),
                }
            }
            (Order::Keep(work), Some(folder)) => {
                // What need not wait for the disk goes now; clients are served meanwhile.
                super::fleet::carry_out(node, link);
                let folder = folder.clone();
                let done = tokio::task::spawn_blocking(move || folder.keep(&work)).await;
                match done.map_err(|error| error.to_string()).and_then(|done| done.map_err(|e| e.to_string()))
                {
                    Ok(()) => part.borrow_mut().kept(),
                    Err(error) => part.borrow_mut().stop(&error),
                }
            }
            (Order::Found(_) | Order::Keep(_), None) => part.borrow_mut().stop("it has no folder"),
        }
    }
    super::fleet::carry_out(node, link);
}
