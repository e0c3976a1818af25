//! Schedules drawn from a seed, and a failing one made short.

use crate::faults::{Fault, LinkCondition, NodeSet, Schedule, Step};

/// A small generator (splitmix64): the same schedule from one seed, on every machine and for good.
struct Draws(u64);

/// To three places: a schedule in a file is the schedule that was drawn.
fn thousandths(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}

impl Draws {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    fn below(&mut self, most: usize) -> usize {
        (self.next() % most.max(1) as u64) as usize
    }

    fn between(&mut self, least: f64, most: f64) -> f64 {
        thousandths(least + (most - least) * (self.next() >> 11) as f64 / (1u64 << 53) as f64)
    }

    fn some(&mut self, nodes: usize, most: usize) -> Vec<usize> {
        let mut some: Vec<usize> = (0..=self.below(most)).map(|_| self.below(nodes)).collect();
        some.sort_unstable();
        some.dedup();
        some
    }
}

/// Kinds of faults that can be drawn.
pub const FAULT_KINDS: [&str; 7] = ["kill", "term", "stop", "cut", "loss", "move", "drain"];
/// Between faults, in seconds.
const PAUSE: (f64, f64) = (1.0, 6.0);
/// Nothing begins in this last part of a schedule, so that it can settle.
const QUIET: f64 = 20.0;

impl Schedule {
    /// Draws a schedule of these kinds of faults.
    ///
    /// # Errors
    /// If a kind is not known.
    pub fn random(seed: u64, nodes: usize, seconds: f64, kinds: &[String]) -> Result<Schedule, String> {
        if let Some(other) = kinds.iter().find(|kind| !FAULT_KINDS.contains(&kind.as_str())) {
            return Err(format!("no fault '{other}': known are {}", FAULT_KINDS.join(", ")));
        }
        let mut draws = Draws(seed);
        let mut steps: Vec<Step> = Vec::new();
        let mut at = 5.0;
        while !kinds.is_empty() && at < seconds - QUIET {
            // What lasts ends before the quiet part.
            let lasts = thousandths(draws.between(0.5, 15.0).min(seconds - QUIET - at));
            let kind = &kinds[draws.below(kinds.len())];
            let some = draws.some(nodes, nodes.div_ceil(4));
            let fault = match kind.as_str() {
                "kill" | "term" => {
                    let back = Fault::Start { nodes: NodeSet::Only(some.clone()) };
                    steps.push(Step { at: at + lasts.max(4.0), fault: back });
                    let nodes = NodeSet::Only(some);
                    if kind == "kill" { Fault::Kill { nodes } } else { Fault::Term { nodes } }
                }
                "stop" => Fault::Stop { nodes: NodeSet::Only(some), seconds: lasts },
                "move" => Fault::Move { node: draws.below(nodes) },
                "drain" => {
                    let back = Fault::Drain { nodes: NodeSet::Only(some.clone()), on: false };
                    steps.push(Step { at: at + lasts, fault: back });
                    Fault::Drain { nodes: NodeSet::Only(some), on: true }
                }
                "cut" => Fault::Link {
                    from: NodeSet::Only(some.clone()),
                    to: NodeSet::But(some),
                    both: draws.below(3) > 0,
                    how: LinkCondition { cut: true, ..LinkCondition::default() },
                    seconds: lasts,
                },
                _ => {
                    let how = LinkCondition {
                        loss: draws.between(0.02, 0.25),
                        jitter_ms: draws.between(0.0, 100.0),
                        twice: 0.05,
                        ..LinkCondition::default()
                    };
                    Fault::Link { from: NodeSet::All, to: NodeSet::All, both: false, how, seconds: lasts }
                }
            };
            steps.push(Step { at, fault });
            at = thousandths(at + draws.between(PAUSE.0, PAUSE.1));
        }
        for step in &mut steps {
            step.at = thousandths(step.at);
        }
        steps.sort_by(|a, b| a.at.total_cmp(&b.at));
        Ok(Schedule { nodes, zones: 3, voters: 0, seconds, seed, steps })
    }

    /// A schedule without the steps that a failure does not need: those are left out, one by one, as long as it still
    /// fails.
    pub fn minimized(self, mut fails: impl FnMut(&Schedule) -> bool) -> Schedule {
        let mut short = self;
        let mut at = 0;
        while at < short.steps.len() {
            let mut without = short.clone();
            without.steps.remove(at);
            if fails(&without) {
                short = without;
            } else {
                at += 1;
            }
        }
        short
    }
}

#[cfg(test)]
mod tests;
