//! The agreement on drains in a simulated fleet. Each process runs the real `hopmoor-agree`; a voter's disk
//! is simulated and outlives its processes.

use super::{Event, FleetSimulation, Options};
use hopmoor::membership;
use hopmoor_agree::voter::TICK_MS;
use hopmoor_agree::{Action, BudgetLimit, Entry, Participant, PendingWrite, PersistedState, Scope};
use hopmoor_fleet::identity::Millis;
use hopmoor_fleet::{NodeInfo, Readiness};
use hopmoor_standin::faults::Schedule;
use hopmoor_standin::history::ProcessState;
use rand::Rng;
use std::collections::BTreeMap;

/// Range of the time from the start of a write until it is synced to disk.
const DISK_SYNC_MS: std::ops::RangeInclusive<Millis> = 1..=8;
/// A node counts as out of service once it has been dead for this long. A node can receive its grant late, so
/// one that died more recently may still have been alive in the view when the drain was granted.
const DEAD_KNOWN_AFTER_S: f64 = 20.0;
/// Interval, in ticks, at which the leader takes over its node's view of the fleet.
const VIEW_UPDATE_TICKS: u64 = 2;

/// When the budget is set; by then the voters of a schedule have bootstrapped the log.
const BUDGET_SET_AT_S: f64 = 4.0;
/// When one voter's stored state is deleted, in every third seed. Some voters are down by then.
const FOLDER_LOST_AT_S: f64 = 25.0;

/// Result of running a schedule with agreed drains.
#[derive(Clone, Copy, Debug)]
pub struct Drains {
    /// The most nodes that may be out of service at once.
    pub budget: usize,
    /// The most processes that drained at once.
    pub drained: usize,
    /// The most that were out of service when a drain began: draining processes, and nodes dead for more
    /// than 20 s.
    pub out: usize,
    /// Number of permits under which a drain began.
    pub used: u64,
}

impl Drains {
    /// Whether more were draining or out of service at once than the budget allows.
    pub fn exceeds_budget(&self) -> bool {
        self.drained.max(self.out) > self.budget
    }
}

/// Runs a schedule whose nodes request drains, with a fleet-wide budget of `budget` nodes. In every third
/// seed one voter's stored state is deleted.
pub fn run_drains(schedule: &Schedule, budget: u32) -> Drains {
    let mut simulation =
        FleetSimulation::new(schedule.clone(), Options { sample_interval_ms: 0, seed_nodes: 4 });
    simulation.run_until(BUDGET_SET_AT_S);
    // Without a leader the budget stays at its initial value of one.
    let budget = if simulation.set_budget(budget) { budget as usize } else { 1 };
    simulation.run_until(FOLDER_LOST_AT_S);
    if schedule.seed.is_multiple_of(3) && schedule.voters > 0 {
        simulation.disks.remove(&(schedule.seed as usize / 3 % schedule.voters));
    }
    simulation.run_until(schedule.seconds);
    Drains {
        budget,
        drained: simulation.max_draining,
        out: simulation.max_out,
        used: simulation.drains_started,
    }
}

/// A voter's stored state.
#[derive(Clone, Debug, Default)]
pub(super) struct VoterDisk {
    founders: Option<Vec<u8>>,
    hard_state: Option<Vec<u8>>,
    log: BTreeMap<u64, Vec<u8>>,
}

/// A write that has not been synced yet.
#[derive(Debug)]
pub(super) enum DiskWrite {
    Founders(Vec<u8>),
    State(PendingWrite),
}

/// The part of a process in the agreement on drains.
pub(super) struct DrainAgreement {
    participant: Participant,
    ticks: u64,
}

impl FleetSimulation {
    /// The part of a process that starts, with the node's stored state; `None` if the schedule has no voters.
    pub(super) fn start_agreement(&mut self, node: usize) -> Option<DrainAgreement> {
        let voters: Vec<String> = (0..self.schedule.voters).map(super::name).collect();
        if voters.is_empty() {
            return None;
        }
        let discard_log = slog::Logger::root(slog::Discard, slog::o!());
        let mut participant = Participant::new(&super::name(node), &voters, self.rng.random(), discard_log);
        // Only one process at a time can have the folder open: a second process of the node does not vote.
        if participant.is_voter() && self.pids_by_node[node].is_empty() {
            let disk = self.disks.entry(node).or_default().clone();
            let persisted =
                PersistedState { hard_state: disk.hard_state, log: disk.log.into_values().collect() };
            participant.folder_opened(disk.founders.map(|founders| (founders, persisted)));
        }
        Some(DrainAgreement { participant, ticks: 0 })
    }

    /// Sets the fleet's budget through the current leader. Returns false if there is none.
    fn set_budget(&mut self, limit: u32) -> bool {
        let entry = Entry::Budget(Scope::Fleet, BudgetLimit::Number(limit));
        let is_leader =
            |process: &super::Process| process.agreement.as_ref().is_some_and(|a| a.participant.is_leader());
        let leader = self.processes.iter().position(|process| process.as_ref().is_some_and(is_leader));
        let Some(leader) = leader else { return false };
        if let Some(Some(process)) = self.processes.get_mut(leader)
            && let Some(agreement) = &mut process.agreement
        {
            agreement.participant.set_budget(&entry);
        }
        self.run_actions(leader);
        true
    }

    /// Number of nodes, of those that start with the schedule, dead for more than [`DEAD_KNOWN_AFTER_S`].
    fn known_dead(&self) -> usize {
        let now = self.seconds();
        let dead = |node: &usize| {
            let (process_state, since) = self.history.process_state(*node, now);
            process_state == ProcessState::Down && now - since > DEAD_KNOWN_AFTER_S
        };
        (0..self.schedule.nodes).filter(|node| self.schedule.runs_initially(*node)).filter(dead).count()
    }

    /// Asks for a permit to drain, or with `on` false returns it and serves again.
    pub(super) fn request_drain(&mut self, pid: usize, on: bool) {
        let request = self.rng.random();
        let Some(Some(process)) = self.processes.get_mut(pid) else { return };
        let Some(agreement) = &mut process.agreement else { return };
        if on {
            agreement.participant.request_permit(request);
        } else {
            agreement.participant.release();
            self.set_readiness(pid, Readiness::Serving);
        }
    }

    /// Sets the readiness that a process announces to the fleet.
    pub(super) fn set_readiness(&mut self, pid: usize, ready: Readiness) {
        let zones = self.schedule.zones.max(1);
        let Some(Some(process)) = self.processes.get_mut(pid) else { return };
        process.ready = ready;
        process.fleet.set_info(NodeInfo {
            zone: format!("z-{}", process.node % zones),
            clients: process.address.to_string(),
            ready,
            room: 100,
            ..NodeInfo::default()
        });
    }

    pub(super) fn agreement_tick(&mut self, pid: usize) {
        let Some(Some(process)) = self.processes.get_mut(pid) else { return };
        let Some(agreement) = &mut process.agreement else { return };
        if !process.stopped {
            agreement.ticks += 1;
            agreement.participant.tick(self.now);
            if agreement.ticks.is_multiple_of(VIEW_UPDATE_TICKS) && agreement.participant.is_leader() {
                let seen_nodes = membership::seen_nodes(&process.fleet.view(self.now));
                agreement.participant.update_view(&seen_nodes);
            }
            self.run_actions(pid);
        }
        self.schedule_event(self.now + TICK_MS, Event::AgreementTick(pid));
    }

    /// Applies a write to its voter's disk and reports it synced. The write is lost if its process has ended.
    pub(super) fn write_synced(&mut self, pid: usize, write: DiskWrite) {
        let Some(Some(process)) = self.processes.get_mut(pid) else { return };
        let Some(agreement) = &mut process.agreement else { return };
        let disk = self.disks.entry(process.node).or_default();
        match write {
            DiskWrite::Founders(founders) => {
                disk.founders = Some(founders);
                agreement.participant.founders_persisted();
            }
            DiskWrite::State(state) => {
                if let Some((from, _)) = state.log.first() {
                    disk.log.split_off(from);
                }
                disk.log.extend(state.log);
                disk.hard_state = state.hard_state.or(disk.hard_state.take());
                agreement.participant.persisted();
            }
        }
        self.run_actions(pid);
    }

    /// Carries out the pending actions of a process's part in the agreement. Messages are queued in its fleet
    /// instance and sent with that one's actions.
    pub(super) fn run_agreement_actions(&mut self, pid: usize) {
        loop {
            let Some(Some(process)) = self.processes.get_mut(pid) else { return };
            let Some(agreement) = &mut process.agreement else { return };
            agreement.participant.due(self.now, process.fleet.id().incarnation);
            while let Some((from, bytes)) = process.fleet.next_user_message() {
                agreement.participant.message(&from, &bytes);
            }
            let Some(action) = agreement.participant.next_action() else { return };
            match action {
                Action::Send(to, bytes) => drop(process.fleet.send_user_message(&to, &bytes)),
                Action::Drain(_) => {
                    self.set_readiness(pid, Readiness::Draining);
                    self.drains_started += 1;
                    let draining = self
                        .processes
                        .iter()
                        .flatten()
                        .filter(|process| process.ready == Readiness::Draining)
                        .count();
                    self.max_draining = self.max_draining.max(draining);
                    self.max_out = self.max_out.max(draining + self.known_dead());
                }
                Action::PersistFounders(founders) => self.start_write(pid, DiskWrite::Founders(founders)),
                Action::Persist(state) => self.start_write(pid, DiskWrite::State(state)),
            }
        }
    }

    /// Starts a write, which is synced after a random delay.
    fn start_write(&mut self, pid: usize, write: DiskWrite) {
        let delay_ms = self.rng.random_range(DISK_SYNC_MS);
        self.schedule_event(self.now + delay_ms, Event::WriteSynced(pid, write));
    }
}
