use super::*;
use crate::state::Answer;
use crate::{BudgetLimit, NodeStatus, Scope};

/// The log entries by index, and the hard state.
type Disk = (BTreeMap<u64, Vec<u8>>, Option<Vec<u8>>);

/// Three voters, with disks that can be lost or restored and links that can be cut.
struct Cluster {
    voters: BTreeMap<String, Voter>,
    disks: BTreeMap<String, Disk>,
    /// The voters on one side of a partition; the others are on its other side.
    cut_off: Vec<String>,
    /// Voters that refused a message and would have stopped.
    stopped: Vec<String>,
    names: Vec<String>,
}

fn quiet() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

impl Cluster {
    fn new() -> Cluster {
        let names: Vec<String> = ["a", "b", "c"].map(str::to_owned).into();
        let mut cluster = Cluster {
            voters: BTreeMap::new(),
            disks: BTreeMap::new(),
            cut_off: Vec::new(),
            stopped: Vec::new(),
            names: names.clone(),
        };
        names.iter().for_each(|name| cluster.start(name));
        cluster
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
                    while let Some(write) = voter.pending_write().unwrap() {
                        let (log, hard_state) = self.disks.entry(name.clone()).or_default();
                        if let Some((first, _)) = write.log.first() {
                            log.split_off(first);
                        }
                        log.extend(write.log);
                        *hard_state = write.hard_state.or(hard_state.take());
                        let messages = write.immediate_messages.into_iter().chain(voter.write_done());
                        sent.extend(messages.map(|(to, bytes)| (name.clone(), to, bytes)));
                    }
                }
                if sent.is_empty() {
                    break;
                }
                for (from, to, bytes) in sent {
                    if self.cut_off.contains(&from) == self.cut_off.contains(&to)
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
        let leaders = self.voters.iter().filter(|(_, voter)| voter.is_leader());
        leaders.max_by_key(|(_, voter)| voter.term()).map(|(name, _)| name.clone())
    }
}

fn serving(name: &str) -> SeenNode {
    SeenNode { name: name.into(), zone: "z".into(), incarnation: 1, status: NodeStatus::Serving }
}

fn ask(node: &str, request: u128) -> Entry {
    Entry::Ask { request, node: node.into(), incarnation: 1 }
}

#[test]
fn a_grant_outlives_its_leader_and_a_partitioned_leader_grants_nothing() {
    let mut cluster = Cluster::new();
    cluster.run(100);
    let leader = cluster.leader().expect("a leader");
    let view = [serving("n1"), serving("n2"), serving("n3"), serving("n4")];
    cluster.voters.get_mut(&leader).unwrap().update_view(&view);
    cluster.run(3);
    let follower = cluster.names.iter().find(|name| **name != leader).unwrap().clone();
    cluster.voters.get_mut(&follower).unwrap().propose(&ask("n1", 1));
    cluster.run(3);
    assert!(cluster.voters.values().all(|voter| matches!(voter.state().answer(1), Answer::Granted { .. })));
    // The leader is cut off. Its proposals are not committed, whether or not it still believes that it leads.
    cluster.cut_off = vec![leader.clone()];
    let old_leader = cluster.voters.get_mut(&leader).unwrap();
    old_leader.propose(&Entry::Budget(Scope::Fleet, BudgetLimit::Number(9)));
    old_leader.propose(&ask("n2", 2));
    cluster.run(100);
    assert_eq!(cluster.voters[&leader].state().answer(2), Answer::Unknown);
    let next = cluster.leader().expect("another leader");
    assert_ne!(next, leader);
    cluster.voters.get_mut(&next).unwrap().propose(&ask("n3", 3));
    cluster.run(3);
    assert!(matches!(cluster.voters[&next].state().answer(3), Answer::Waiting(_)));
    // After the partition heals all voters have the same state, and again after they restart from disk.
    cluster.cut_off.clear();
    cluster.run(100);
    let states: Vec<_> = cluster.voters.values().map(|voter| voter.state().clone()).collect();
    assert!(states.iter().all(|state| *state == states[0] && state.answer(2) == Answer::Unknown));
    for name in cluster.names.clone() {
        cluster.start(&name);
    }
    cluster.run(100);
    assert!(cluster.voters.values().all(|voter| *voter.state() == states[0]));
}

#[test]
fn a_log_that_ends_before_its_commit_index_is_refused() {
    let mut cluster = Cluster::new();
    cluster.run(100);
    let (mut log, hard_state) = cluster.disks["a"].clone();
    let last = *log.keys().last().unwrap();
    log.remove(&last);
    let persisted = PersistedState { hard_state, log: log.into_values().collect() };
    assert!(Voter::new("a", &cluster.names, persisted, 1, &quiet()).is_err());
}

/// The folder was restored from an older copy: its voter has acknowledged entries that it no longer has.
#[test]
fn a_voter_whose_folder_was_restored_from_an_older_copy_stops() {
    let mut cluster = Cluster::new();
    cluster.run(100);
    let leader = cluster.leader().expect("a leader");
    let other = cluster.names.iter().find(|name| **name != leader).unwrap().clone();
    let old_disk = cluster.disks[&other].clone();
    cluster.voters.get_mut(&leader).unwrap().update_view(&[serving("n1")]);
    cluster.run(3);
    cluster.voters.get_mut(&leader).unwrap().propose(&ask("n1", 1));
    cluster.run(3);
    assert!(cluster.stopped.is_empty());
    cluster.disks.insert(other.clone(), old_disk);
    cluster.start(&other);
    cluster.run(20);
    assert!(cluster.stopped.contains(&other));
}
