//! The agreement on drains in a virtual fleet: the real part of each node, with a disk that outlives processes.

use super::{Due, Run, Watch};
use hopmoor::membership;
use hopmoor_agree::voter::TICK_MS;
use hopmoor_agree::{Action, BudgetLimit, Entry, Participant, PendingWrite, PersistedState, Scope};
use hopmoor_fleet::identity::Millis;
use hopmoor_fleet::{NodeInfo, Readiness};
use hopmoor_standin::faults::Schedule;
use hopmoor_standin::history::ProcessState;
use rand::Rng;
use std::collections::BTreeMap;

/// What a write that is synced takes, at least and at most.
const DISK_MS: std::ops::RangeInclusive<Millis> = 1..=8;
/// One that is dead for so long was known to be so when a drain was granted, in seconds: a grant may be heard late.
const LONG_S: f64 = 20.0;
/// A leader looks at its view this often, in ticks.
const LOOK: u64 = 2;

/// By then the voters of a schedule have founded, in seconds.
const FOUNDED_S: f64 = 4.0;
/// By then some voters are down; one of them loses its folder.
const LOST_S: f64 = 25.0;

/// What a schedule of drains showed.
#[derive(Clone, Copy, Debug)]
pub struct Drains {
    /// How many may be out.
    pub budget: usize,
    /// The most nodes that drained at once by plan.
    pub drained: usize,
    /// The most that were out as one of them began: those that drained, and those that had been dead for long.
    pub out: usize,
    /// Permits used.
    pub used: u64,
}

impl Drains {
    /// Whether more were out than may be.
    pub fn is_over(&self) -> bool {
        self.drained.max(self.out) > self.budget
    }
}

/// Plays a schedule whose nodes ask to drain, with a budget of so many nodes; every third seed loses a voter's folder.
pub fn drains(schedule: &Schedule, budget: u32) -> Drains {
    let mut run = Run::new(schedule.clone(), Watch { every_ms: 0, seeds: 4 });
    run.until(FOUNDED_S);
    // Without a leader yet the first budget stands: one.
    let budget = if run.set_budget(budget) { budget as usize } else { 1 };
    run.until(LOST_S);
    if schedule.seed.is_multiple_of(3) && schedule.voters > 0 {
        run.disks.remove(&(schedule.seed as usize / 3 % schedule.voters));
    }
    run.until(schedule.seconds);
    Drains { budget, drained: run.max_concurrent_drains, out: run.most_out, used: run.drains }
}

/// A voter's folder.
#[derive(Clone, Debug, Default)]
pub(super) struct Disk {
    founders: Option<Vec<u8>>,
    hard_state: Option<Vec<u8>>,
    log: BTreeMap<u64, Vec<u8>>,
}

/// What is on its way to a disk.
#[derive(Debug)]
pub(super) enum Write {
    PersistFounders(Vec<u8>),
    Persist(PendingWrite),
}

/// A process's part.
pub(super) struct Agreeing {
    participant: Participant,
    ticks: u64,
}

impl Run {
    /// The part of a process that starts.
    pub(super) fn agreeing(&mut self, node: usize) -> Option<Agreeing> {
        let voters: Vec<String> = (0..self.schedule.voters).map(super::name).collect();
        if voters.is_empty() {
            return None;
        }
        let quiet = slog::Logger::root(slog::Discard, slog::o!());
        let mut participant = Participant::new(&super::name(node), &voters, self.rng.random(), quiet);
        // A folder is one process's at a time.
        if participant.is_voter() && self.of[node].is_empty() {
            let disk = self.disks.entry(node).or_default().clone();
            let persisted =
                PersistedState { hard_state: disk.hard_state, log: disk.log.into_values().collect() };
            participant.folder_opened(disk.founders.map(|founders| (founders, persisted)));
        }
        Some(Agreeing { participant, ticks: 0 })
    }

    /// An operator sets the fleet's budget, through whoever leads; false if nobody does.
    fn set_budget(&mut self, most: u32) -> bool {
        let entry = Entry::Budget(Scope::Fleet, BudgetLimit::Number(most));
        let leads = |of: &super::Process| of.agreeing.as_ref().is_some_and(|a| a.participant.is_leader());
        let leader = self.processes.iter().position(|of| of.as_ref().is_some_and(leads));
        let Some(leader) = leader else { return false };
        if let Some(Some(of)) = self.processes.get_mut(leader)
            && let Some(agreeing) = &mut of.agreeing
        {
            agreeing.participant.set_budget(&entry);
        }
        self.carry_out(leader);
        true
    }

    fn long_dead(&self) -> usize {
        let now = self.seconds();
        let dead = |node: &usize| {
            let (process_state, since) = self.history.process_state(*node, now);
            process_state == ProcessState::Down && now - since > LONG_S
        };
        (0..self.schedule.nodes).filter(|node| self.schedule.runs_initially(*node)).filter(dead).count()
    }

    /// A node is told to drain, or to take clients again.
    pub(super) fn asked(&mut self, process: usize, on: bool) {
        let request = self.rng.random();
        let Some(Some(of)) = self.processes.get_mut(process) else { return };
        let Some(agreeing) = &mut of.agreeing else { return };
        if on {
            agreeing.participant.request_permit(request);
        } else {
            agreeing.participant.release();
            self.speak(process, Readiness::Serving);
        }
    }

    /// A process says how it stands.
    pub(super) fn speak(&mut self, process: usize, ready: Readiness) {
        let zones = self.schedule.zones.max(1);
        let Some(Some(of)) = self.processes.get_mut(process) else { return };
        of.ready = ready;
        of.fleet.set_info(NodeInfo {
            zone: format!("z-{}", of.node % zones),
            clients: of.address.to_string(),
            ready,
            room: 100,
            ..NodeInfo::default()
        });
    }

    pub(super) fn agree_ticks(&mut self, process: usize) {
        let Some(Some(of)) = self.processes.get_mut(process) else { return };
        let Some(agreeing) = &mut of.agreeing else { return };
        if !of.stopped {
            agreeing.ticks += 1;
            agreeing.participant.tick(self.now);
            if agreeing.ticks.is_multiple_of(LOOK) && agreeing.participant.is_leader() {
                let seen_nodes = membership::seen_nodes(&of.fleet.view(self.now));
                agreeing.participant.update_view(&seen_nodes);
            }
            self.carry_out(process);
        }
        self.due(self.now + TICK_MS, Due::Agree(process));
    }

    /// A write is on disk, if its process still runs.
    pub(super) fn written(&mut self, process: usize, write: Write) {
        let Some(Some(of)) = self.processes.get_mut(process) else { return };
        let Some(agreeing) = &mut of.agreeing else { return };
        let disk = self.disks.entry(of.node).or_default();
        match write {
            Write::PersistFounders(founders) => {
                disk.founders = Some(founders);
                agreeing.participant.founders_persisted();
            }
            Write::Persist(work) => {
                if let Some((from, _)) = work.log.first() {
                    disk.log.split_off(from);
                }
                disk.log.extend(work.log);
                disk.hard_state = work.hard_state.or(disk.hard_state.take());
                agreeing.participant.persisted();
            }
        }
        self.carry_out(process);
    }

    /// Does what a process's part wants done; messages go out with the fleet's orders.
    pub(super) fn take_part(&mut self, process: usize) {
        loop {
            let Some(Some(of)) = self.processes.get_mut(process) else { return };
            let Some(agreeing) = &mut of.agreeing else { return };
            agreeing.participant.due(self.now, of.fleet.id().incarnation);
            while let Some((from, bytes)) = of.fleet.next_user_message() {
                agreeing.participant.message(&from, &bytes);
            }
            let Some(next_action) = agreeing.participant.next_action() else { return };
            match next_action {
                Action::Send(to, bytes) => drop(of.fleet.send_user_message(&to, &bytes)),
                Action::Drain(_) => {
                    self.speak(process, Readiness::Draining);
                    self.drains += 1;
                    let out =
                        self.processes.iter().flatten().filter(|of| of.ready == Readiness::Draining).count();
                    self.max_concurrent_drains = self.max_concurrent_drains.max(out);
                    self.most_out = self.most_out.max(out + self.long_dead());
                }
                Action::PersistFounders(founders) => self.write(process, Write::PersistFounders(founders)),
                Action::Persist(work) => self.write(process, Write::Persist(work)),
            }
        }
    }

    fn write(&mut self, process: usize, write: Write) {
        let takes = self.rng.random_range(DISK_MS);
        self.due(self.now + takes, Due::Written(process, write));
    }
}
