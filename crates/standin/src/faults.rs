//! Schedules of faults in the nodes of a fleet and on the links between them, from a file or generated from a
//! seed. The same schedule runs in virtual time and on real processes.

use serde::{Deserialize, Serialize};

/// A schedule of faults for a fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of zones; node `n` is in zone `n % zones`.
    #[serde(default = "default_zones")]
    pub zones: usize,
    /// Number of voters on drains: the nodes with the lowest numbers. With 0, a node drains without a vote.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub voters: usize,
    /// Total length, in seconds.
    pub seconds: f64,
    /// Seed of the random numbers drawn while the schedule runs, such as losses and delays.
    #[serde(default)]
    pub seed: u64,
    /// The steps, in the order of their times.
    #[serde(default)]
    pub steps: Vec<Step>,
}

fn default_zones() -> usize {
    1
}

fn is_zero(voters: &usize) -> bool {
    *voters == 0
}

/// A fault and the time at which it begins.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// When the fault begins, in seconds from the start of the schedule.
    pub at: f64,
    /// The fault.
    #[serde(flatten)]
    pub fault: Fault,
}

/// A fault, or an operator's action during a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// Starts nodes. [`Schedule::runs_initially`] tells which nodes already run from the beginning.
    Start {
        /// Nodes to start.
        nodes: NodeSet,
    },
    /// Sends SIGKILL to nodes.
    Kill {
        /// Nodes to kill.
        nodes: NodeSet,
    },
    /// Sends SIGTERM to nodes.
    Term {
        /// Nodes to terminate.
        nodes: NodeSet,
    },
    /// Sends SIGSTOP to nodes, and SIGCONT after `seconds`.
    Stop {
        /// Nodes to stop.
        nodes: NodeSet,
        /// How long they are stopped.
        seconds: f64,
    },
    /// Degrades or cuts the links from some nodes to others.
    Link {
        /// Sending nodes.
        from: NodeSet,
        /// Receiving nodes.
        to: NodeSet,
        /// Whether the links in the opposite direction are affected as well.
        #[serde(default)]
        both: bool,
        /// Condition of the links.
        how: LinkCondition,
        /// How long the condition lasts.
        seconds: f64,
    },
    /// Kills a node and starts it again under the same name at another address.
    Move {
        /// Node to move.
        node: usize,
    },
    /// Starts a second process under a running node's name.
    Twin {
        /// Node whose name is used twice.
        node: usize,
    },
    /// Sends unsealed datagrams to a node at a constant rate.
    Flood {
        /// Node that receives them.
        node: usize,
        /// Datagrams per second.
        rate: f64,
        /// How long the flood lasts.
        seconds: f64,
    },
    /// Starts or ends the draining of nodes.
    Drain {
        /// Nodes to drain or to resume.
        nodes: NodeSet,
        /// True to drain, false to take clients again.
        on: bool,
    },
    /// Resumes each node that is draining. A node that still waits for its drain permit goes on waiting.
    Back,
    /// Rotates the fleet's key: all nodes get the new key, then all seal with it, then the old key is
    /// removed.
    Rotate {
        /// Time between these three steps, in seconds.
        pause: f64,
    },
}

impl Step {
    /// Returns when the fault is over, in seconds from the start of the schedule.
    pub fn until(&self) -> f64 {
        self.at
            + match &self.fault {
                Fault::Stop { seconds, .. } | Fault::Link { seconds, .. } | Fault::Flood { seconds, .. } => {
                    *seconds
                }
                Fault::Rotate { pause } => 2.0 * pause,
                _ => 0.0,
            }
    }
}

/// A set of nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeSet {
    /// All nodes.
    All,
    /// The listed nodes.
    Only(Vec<usize>),
    /// All nodes except the listed ones.
    But(Vec<usize>),
    /// The nodes in a zone.
    Zone(usize),
}

impl NodeSet {
    /// Returns whether the set includes a node, in a fleet spread over this many zones.
    pub fn includes(&self, node: usize, zones: usize) -> bool {
        match self {
            NodeSet::All => true,
            NodeSet::Only(nodes) => nodes.contains(&node),
            NodeSet::But(nodes) => !nodes.contains(&node),
            NodeSet::Zone(zone) => node % zones.max(1) == *zone,
        }
    }
}

/// Condition of a link between two nodes. The default is a link without faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkCondition {
    /// Whether the link passes nothing.
    pub cut: bool,
    /// Share of datagrams lost, from 0 to 1.
    pub loss: f64,
    /// Delay of all traffic, in milliseconds.
    pub delay_ms: f64,
    /// Upper bound of an additional delay in milliseconds, drawn for each datagram, so that datagrams are
    /// reordered.
    pub jitter_ms: f64,
    /// Share of datagrams that are duplicated, from 0 to 1.
    pub twice: f64,
    /// Bandwidth of a connection in bytes per second; 0 for no limit.
    pub bytes_a_second: f64,
    /// Number of bytes after which a connection is cut; 0 for never.
    pub cut_after: u64,
}

impl LinkCondition {
    /// Returns the condition of a link that is under both conditions at once.
    pub fn combined_with(self, other: LinkCondition) -> LinkCondition {
        // 0 stands for no limit.
        let stricter_limit = |a: f64, b: f64| if a == 0.0 || (b > 0.0 && b < a) { b } else { a };
        LinkCondition {
            cut: self.cut || other.cut,
            loss: 1.0 - (1.0 - self.loss) * (1.0 - other.loss),
            delay_ms: self.delay_ms + other.delay_ms,
            jitter_ms: self.jitter_ms + other.jitter_ms,
            twice: self.twice.max(other.twice),
            bytes_a_second: stricter_limit(self.bytes_a_second, other.bytes_a_second),
            cut_after: stricter_limit(self.cut_after as f64, other.cut_after as f64) as u64,
        }
    }
}

impl Schedule {
    /// Parses and validates a schedule.
    ///
    /// # Errors
    /// One line that names the field and what is wrong with it.
    pub fn read(json: &str) -> Result<Schedule, String> {
        let schedule: Schedule = serde_json::from_str(json).map_err(|error| error.to_string())?;
        let out_of_order = schedule.steps.windows(2).position(|pair| pair[1].at < pair[0].at);
        if let Some(at) = out_of_order {
            return Err(format!("steps[{}]: earlier than the step before it", at + 1));
        }
        if schedule.nodes == 0 || !(schedule.seconds > 0.0 && schedule.seconds < 1e7) {
            return Err("nodes must be at least 1, and seconds over 0 and below 10000000".into());
        }
        Ok(schedule)
    }

    /// Returns the condition of the link from one node to another at a time, with all overlapping faults
    /// combined.
    pub fn link(&self, at: f64, from: usize, to: usize) -> LinkCondition {
        let mut condition = LinkCondition::default();
        for step in self.steps.iter().take_while(|step| step.at <= at) {
            if let Fault::Link { from: senders, to: receivers, both, how, seconds } = &step.fault
                && at < step.at + seconds
            {
                let forward = senders.includes(from, self.zones) && receivers.includes(to, self.zones);
                let backward =
                    *both && senders.includes(to, self.zones) && receivers.includes(from, self.zones);
                if forward || backward {
                    condition = condition.combined_with(*how);
                }
            }
        }
        condition
    }

    /// Returns whether a node runs from the beginning. It does not if the schedule's first `Start` includes
    /// it and no earlier step kills or terminates it.
    pub fn runs_initially(&self, node: usize) -> bool {
        let mut starts_and_ends = self.steps.iter().filter_map(|step| match &step.fault {
            Fault::Start { nodes } => Some(nodes.includes(node, self.zones)),
            Fault::Kill { nodes } | Fault::Term { nodes } if nodes.includes(node, self.zones) => Some(false),
            _ => None,
        });
        starts_and_ends.next() != Some(true)
    }
}
