//! What goes wrong between and in the nodes of a fleet, as a schedule: from a file, or drawn from a seed. The same
//! schedule is played in virtual time and on real processes.

use serde::{Deserialize, Serialize};

/// A schedule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// How many nodes there are.
    pub nodes: usize,
    /// Over how many zones they are spread in turn.
    #[serde(default = "one")]
    pub zones: usize,
    /// How many of them, from the first, vote on drains; none: whoever is told to drain drains.
    #[serde(default, skip_serializing_if = "is_none")]
    pub voters: usize,
    /// How long it takes in all.
    pub seconds: f64,
    /// For what is drawn while it is played: losses, delays.
    #[serde(default)]
    pub seed: u64,
    /// What happens, in the order of its times.
    #[serde(default)]
    pub steps: Vec<Step>,
}

fn one() -> usize {
    1
}

fn is_none(voters: &usize) -> bool {
    *voters == 0
}

/// One thing that happens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// When, in seconds from the start.
    pub at: f64,
    /// What.
    #[serde(flatten)]
    pub fault: Fault,
}

/// What can happen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// These start; all others do at the beginning.
    Start {
        /// Which.
        nodes: NodeSet,
    },
    /// SIGKILL.
    Kill {
        /// Which.
        nodes: NodeSet,
    },
    /// SIGTERM.
    Term {
        /// Which.
        nodes: NodeSet,
    },
    /// SIGSTOP, and SIGCONT after so long.
    Stop {
        /// Which.
        nodes: NodeSet,
        /// For how long, in seconds.
        seconds: f64,
    },
    /// What goes from some to others is treated so, for a time.
    Link {
        /// Senders.
        from: NodeSet,
        /// Receivers.
        to: NodeSet,
        /// Whether the way back as well.
        #[serde(default)]
        both: bool,
        /// How.
        how: LinkCondition,
        /// For how long, in seconds.
        seconds: f64,
    },
    /// One is killed and comes back under its name at another address.
    Move {
        /// Which.
        node: usize,
    },
    /// A second process of the same name starts beside the first.
    Twin {
        /// Which.
        node: usize,
    },
    /// Datagrams that nobody sealed come to one node, so many a second.
    Flood {
        /// To whom.
        node: usize,
        /// How many a second.
        rate: f64,
        /// For how long, in seconds.
        seconds: f64,
    },
    /// A node drains, or takes clients again.
    Drain {
        /// Which.
        nodes: NodeSet,
        /// Whether it drains.
        on: bool,
    },
    /// Each node that drains takes clients again; those that wait for a permit go on waiting.
    Back,
    /// A new key: first all get it, then all seal with it, then the old one goes; so long between.
    Rotate {
        /// Between the steps, in seconds.
        pause: f64,
    },
}

impl Step {
    /// When it is over, in seconds from the start.
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

/// Some of the nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeSet {
    /// All of them.
    All,
    /// These.
    Only(Vec<usize>),
    /// All but these.
    But(Vec<usize>),
    /// Those of a zone.
    Zone(usize),
}

impl NodeSet {
    /// Whether one is among them.
    pub fn includes(&self, node: usize, zones: usize) -> bool {
        match self {
            NodeSet::All => true,
            NodeSet::Only(nodes) => nodes.contains(&node),
            NodeSet::But(nodes) => !nodes.contains(&node),
            NodeSet::Zone(zone) => node % zones.max(1) == *zone,
        }
    }
}

/// How a link treats what goes over it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkCondition {
    /// Nothing passes.
    pub cut: bool,
    /// Share of datagrams lost.
    pub loss: f64,
    /// What passes is late by this, in milliseconds.
    pub delay_ms: f64,
    /// And by up to this on top, drawn for each: so datagrams overtake each other.
    pub jitter_ms: f64,
    /// Share of datagrams that pass twice.
    pub twice: f64,
    /// Bytes a second of a connection; 0 for no limit.
    pub bytes_a_second: f64,
    /// A connection is cut after so many bytes; 0 for never.
    pub cut_after: u64,
}

impl LinkCondition {
    /// Both at once.
    pub fn and(self, other: LinkCondition) -> LinkCondition {
        let least = |a: f64, b: f64| if a == 0.0 || (b > 0.0 && b < a) { b } else { a };
        LinkCondition {
            cut: self.cut || other.cut,
            loss: 1.0 - (1.0 - self.loss) * (1.0 - other.loss),
            delay_ms: self.delay_ms + other.delay_ms,
            jitter_ms: self.jitter_ms + other.jitter_ms,
            twice: self.twice.max(other.twice),
            bytes_a_second: least(self.bytes_a_second, other.bytes_a_second),
            cut_after: least(self.cut_after as f64, other.cut_after as f64) as u64,
        }
    }
}

impl Schedule {
    /// Reads a schedule.
    ///
    /// # Errors
    /// One line that names what is wrong.
    pub fn read(json: &str) -> Result<Schedule, String> {
        let schedule: Schedule = serde_json::from_str(json).map_err(|error| error.to_string())?;
        let late = schedule.steps.windows(2).position(|pair| pair[1].at < pair[0].at);
        if let Some(at) = late {
            return Err(format!("steps[{}]: earlier than the one before", at + 1));
        }
        if schedule.nodes == 0 || !(schedule.seconds > 0.0 && schedule.seconds < 1e7) {
            return Err("nodes and seconds: over 0".into());
        }
        Ok(schedule)
    }

    /// How the link from one node to another treats what goes over it at this time.
    pub fn link(&self, at: f64, from: usize, to: usize) -> LinkCondition {
        let mut manner = LinkCondition::default();
        for step in self.steps.iter().take_while(|step| step.at <= at) {
            if let Fault::Link { from: some, to: others, both, how, seconds } = &step.fault
                && at < step.at + seconds
            {
                let there = some.includes(from, self.zones) && others.includes(to, self.zones);
                let back = *both && some.includes(to, self.zones) && others.includes(from, self.zones);
                if there || back {
                    manner = manner.and(*how);
                }
            }
        }
        manner
    }

    /// Whether one starts with the schedule, and not by a step of it.
    pub fn runs_initially(&self, node: usize) -> bool {
        let mut later = self.steps.iter().filter_map(|step| match &step.fault {
            Fault::Start { nodes } => Some(nodes.includes(node, self.zones)),
            Fault::Kill { nodes } | Fault::Term { nodes } if nodes.includes(node, self.zones) => Some(false),
            _ => None,
        });
        later.next() != Some(true)
    }
}
