use super::*;
use crate::state::Answer;
use crate::{BudgetLimit, NodeStatus, Scope};

/// A log and a vote.
type Disk = (BTreeMap<u64, Vec<u8>>, Option<Vec<u8>>);

/// Voters with disks that may be lost, and links that may be cut.
struct Three {
    voters: BTreeMap<String, Voter>,
    disks: BTreeMap<String, Disk>,
    cut: Vec<String>,
    stopped: Vec<String>,
    names: Vec<String>,
}

fn quiet() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

impl Three {
    fn new() -> Three {
        let names: Vec<String> = ["a", "b", "c"].map(str::to_owned).into();
        let mut three = Three {
            voters: BTreeMap::new(),
            disks: BTreeMap::new(),
            cut: Vec::new(),
            stopped: Vec::new(),
            names: names.clone(),
        };
        names.iter().for_each(|name| three.start(name));
        three
    }

    fn start(&mut self, name: &str) {
        let (log, hard_state) = self.disks.entry(name.to_owned()).or_default().clone();
        let persisted = PersistedState { hard_state, log: log.into_values().collect() };
        self.voters.insert(
            name.to_owned(),
            Voter::new(name, &self.names, persisted, u64::from(name.as_bytes()[0]), &quiet()).unwrap(),
        );
    }

    fn run(&mut self, ticks: usize) {
        for _ in 0..ticks {
            self.voters.values_mut().for_each(Voter::tick);
            loop {
                let mut sent = Vec::new();
                for (name, voter) in &mut self.voters {
                    while let Some(work) = voter.work().unwrap() {
                        let (log, hard_state) = self.disks.entry(name.clone()).or_default();
                        if let Some((first, _)) = work.log.first() {
                            log.split_off(first);
                        }
                        log.extend(work.log);
                        *hard_state = work.hard_state.or(hard_state.take());
                        let more = work.first.into_iter().chain(voter.done());
                        sent.extend(more.map(|(to, bytes)| (name.clone(), to, bytes)));
                    }
                }
                if sent.is_empty() {
                    break;
                }
                for (from, to, bytes) in sent {
                    if self.cut.contains(&from) == self.cut.contains(&to)
                        && let Some(voter) = self.voters.get_mut(&to)
                        && voter.message(&from, &bytes).is_err()
                    {
                        self.stopped.push(to);
                    }
                }
            }
        }
    }

    fn leader(&self) -> Option<String> {
        let newest = self.voters.iter().filter(|(_, voter)| voter.leads());
        newest.max_by_key(|(_, voter)| voter.term()).map(|(name, _)| name.clone())
    }
}

fn serving(name: &str) -> SeenNode {
    SeenNode { name: name.into(), zone: "z".into(), incarnation: 1, status: NodeStatus::Serving }
}

fn ask(node: &str, request: u128) -> Entry {
    Entry::Ask { request, node: node.into(), incarnation: 1 }
}

#[test]
fn a_grant_outlives_its_leader_and_a_leader_cut_off_grants_nothing() {
    let mut three = Three::new();
    three.run(100);
    let leader = three.leader().expect("a leader");
    let view = [serving("n1"), serving("n2"), serving("n3"), serving("n4")];
    three.voters.get_mut(&leader).unwrap().update_view(&view);
    three.run(3);
    let follower = three.names.iter().find(|name| **name != leader).unwrap().clone();
    three.voters.get_mut(&follower).unwrap().propose(&ask("n1", 1));
    three.run(3);
    assert!(three.voters.values().all(|voter| matches!(voter.state().answer(1), Answer::Granted { .. })));
    // The leader is cut off; what it is asked does not come into the log, whatever it believes.
    three.cut = vec![leader.clone()];
    let alone = three.voters.get_mut(&leader).unwrap();
    alone.propose(&Entry::Budget(Scope::Fleet, BudgetLimit::Number(9)));
    alone.propose(&ask("n2", 2));
    three.run(100);
    assert_eq!(three.voters[&leader].state().answer(2), Answer::Unknown);
    let next = three.leader().expect("another");
    assert_ne!(next, leader);
    three.voters.get_mut(&next).unwrap().propose(&ask("n3", 3));
    three.run(3);
    assert!(matches!(three.voters[&next].state().answer(3), Answer::Waiting(_)));
    // Healed, all say the same; and after a start from disk, too.
    three.cut.clear();
    three.run(100);
    let states: Vec<_> = three.voters.values().map(|voter| voter.state().clone()).collect();
    assert!(states.iter().all(|state| *state == states[0] && state.answer(2) == Answer::Unknown));
    for name in three.names.clone() {
        three.start(&name);
    }
    three.run(100);
    assert!(three.voters.values().all(|voter| *voter.state() == states[0]));
}

#[test]
fn a_torn_log_is_refused() {
    let mut three = Three::new();
    three.run(100);
    let (mut log, hard_state) = three.disks["a"].clone();
    let last = *log.keys().last().unwrap();
    log.remove(&last);
    let persisted = PersistedState { hard_state, log: log.into_values().collect() };
    assert!(Voter::new("a", &three.names, persisted, 1, &quiet()).is_err());
}

/// A folder put back from an older copy: its voter has told more than it has.
#[test]
fn a_voter_whose_folder_went_back_in_time_stops() {
    let mut three = Three::new();
    three.run(100);
    let leader = three.leader().expect("a leader");
    let other = three.names.iter().find(|name| **name != leader).unwrap().clone();
    let old = three.disks[&other].clone();
    three.voters.get_mut(&leader).unwrap().update_view(&[serving("n1")]);
    three.run(3);
    three.voters.get_mut(&leader).unwrap().propose(&ask("n1", 1));
    three.run(3);
    assert!(three.stopped.is_empty());
    three.disks.insert(other.clone(), old);
    three.start(&other);
    three.run(20);
    assert!(three.stopped.contains(&other));
}
