//! Generates random schedules of faults from a seed, and minimizes a schedule that makes a check fail.

use crate::faults::{Fault, LinkCondition, NodeSet, Schedule, Step};

/// A small pseudo-random generator (SplitMix64). It is written out here so that a seed yields the same
/// schedule on every machine and with every version of the dependencies.
struct SplitMix64(u64);

/// Rounds to three decimal places, so that a schedule read back from a file equals the generated one.
fn round_to_thousandths(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}

impl SplitMix64 {
    fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a number from 0 up to, but not including, `bound`; 0 where the bound is 0.
    fn below(&mut self, bound: usize) -> usize {
        (self.next_u64() % bound.max(1) as u64) as usize
    }

    fn uniform(&mut self, least: f64, most: f64) -> f64 {
        round_to_thousandths(least + (most - least) * (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64)
    }

    /// Returns at least one and at most `max_count` of the nodes, in ascending order.
    fn node_subset(&mut self, nodes: usize, max_count: usize) -> Vec<usize> {
        let mut node_subset: Vec<usize> = (0..=self.below(max_count)).map(|_| self.below(nodes)).collect();
        node_subset.sort_unstable();
        node_subset.dedup();
        node_subset
    }
}

/// Kinds of faults that a generated schedule can have.
pub const FAULT_KINDS: [&str; 7] = ["kill", "term", "stop", "cut", "loss", "move", "drain"];
/// Shortest and longest time from the start of one fault to the start of the next.
const FAULT_INTERVAL_SECONDS: (f64, f64) = (1.0, 6.0);
/// Length of the last part of a schedule, in which no fault begins, so that the views can converge.
const RECOVERY_SECONDS: f64 = 20.0;

impl Schedule {
    /// Generates a schedule with these kinds of faults.
    ///
    /// # Errors
    /// If a kind is not one of [`FAULT_KINDS`].
    pub fn random(seed: u64, nodes: usize, seconds: f64, kinds: &[String]) -> Result<Schedule, String> {
        if let Some(other) = kinds.iter().find(|kind| !FAULT_KINDS.contains(&kind.as_str())) {
            return Err(format!("unknown kind of fault '{other}'; known kinds: {}", FAULT_KINDS.join(", ")));
        }
        let mut rng = SplitMix64(seed);
        let mut steps: Vec<Step> = Vec::new();
        let mut at = 5.0;
        while !kinds.is_empty() && at < seconds - RECOVERY_SECONDS {
            // A fault with a duration ends before the last part of the schedule.
            let duration = round_to_thousandths(rng.uniform(0.5, 15.0).min(seconds - RECOVERY_SECONDS - at));
            let kind = &kinds[rng.below(kinds.len())];
            let node_subset = rng.node_subset(nodes, nodes.div_ceil(4));
            let fault = match kind.as_str() {
                "kill" | "term" => {
                    let recovery = Fault::Start { nodes: NodeSet::Only(node_subset.clone()) };
                    steps.push(Step { at: at + duration.max(4.0), fault: recovery });
                    let nodes = NodeSet::Only(node_subset);
                    if kind == "kill" { Fault::Kill { nodes } } else { Fault::Term { nodes } }
                }
                "stop" => Fault::Stop { nodes: NodeSet::Only(node_subset), seconds: duration },
                "move" => Fault::Move { node: rng.below(nodes) },
                "drain" => {
                    let recovery = Fault::Drain { nodes: NodeSet::Only(node_subset.clone()), on: false };
                    steps.push(Step { at: at + duration, fault: recovery });
                    Fault::Drain { nodes: NodeSet::Only(node_subset), on: true }
                }
                "cut" => Fault::Link {
                    from: NodeSet::Only(node_subset.clone()),
                    to: NodeSet::But(node_subset),
                    both: rng.below(3) > 0,
                    how: LinkCondition { cut: true, ..LinkCondition::default() },
                    seconds: duration,
                },
                _ => {
                    let how = LinkCondition {
                        loss: rng.uniform(0.02, 0.25),
                        jitter_ms: rng.uniform(0.0, 100.0),
                        twice: 0.05,
                        ..LinkCondition::default()
                    };
                    Fault::Link { from: NodeSet::All, to: NodeSet::All, both: false, how, seconds: duration }
                }
            };
            steps.push(Step { at, fault });
            at = round_to_thousandths(at + rng.uniform(FAULT_INTERVAL_SECONDS.0, FAULT_INTERVAL_SECONDS.1));
        }
        for step in &mut steps {
            step.at = round_to_thousandths(step.at);
        }
        steps.sort_by(|a, b| a.at.total_cmp(&b.at));
        Ok(Schedule { nodes, zones: 3, voters: 0, seconds, seed, steps })
    }

    /// Returns the schedule without the steps that the failure does not need. Steps are removed one by one,
    /// and each stays removed if the shorter schedule still `fails`.
    pub fn minimized(self, mut fails: impl FnMut(&Schedule) -> bool) -> Schedule {
        let mut shortest = self;
        let mut at = 0;
        while at < shortest.steps.len() {
            let mut candidate = shortest.clone();
            candidate.steps.remove(at);
            if fails(&candidate) {
                shortest = candidate;
            } else {
                at += 1;
            }
        }
        shortest
    }
}

#[cfg(test)]
mod tests;
