//! Plans of scripted sites: nodes, pool members, client classes, and the faults that happen. Times are
//! milliseconds from the start.

use serde::{Deserialize, Serialize};

/// A scripted site: what it consists of, its traffic and its faults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Seed of all random draws.
    pub seed: u64,
    /// Names of the nodes; the clients are spread evenly over them.
    pub nodes: Vec<String>,
    /// Pool members.
    pub members: Vec<Member>,
    /// Classes of clients.
    pub classes: Vec<Class>,
    /// Tenants: names and shares of the traffic.
    pub tenants: Vec<(String, f64)>,
    /// Arrival rate of new clients, per second.
    pub arrivals_per_s: f64,
    /// Mean time for which a client wants its connection.
    pub life_ms: f64,
    /// When the run ends.
    pub until_ms: f64,
    /// Faults and other actions, in any order.
    pub script: Vec<ScriptEntry>,
}

/// A pool member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the member.
    pub name: String,
    /// Number of connections that the member can serve in time. At 1.5 times this number it rejects clients.
    pub slots: u32,
}

/// A class of clients.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Share of the traffic, from 0 to 1.
    pub part: f64,
    /// Value of one second of a served connection.
    pub worth: f64,
    /// Target for the time until a set-up is answered.
    pub aim_ms: f64,
    /// Time after which a client gives up a set-up that is not answered.
    pub grace_ms: f64,
    /// Target for the time that a message takes.
    pub message_aim_ms: f64,
}

/// A scripted action and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScriptEntry {
    /// Time of the action.
    pub at_ms: f64,
    /// The action.
    #[serde(flatten)]
    pub what: ScriptAction,
}

/// A fault or another action on the site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum ScriptAction {
    /// A member reads what it is sent and answers nothing.
    Silent {
        /// Affected member.
        member: String,
        /// Duration of the fault.
        for_ms: f64,
    },
    /// A member is slow to handle messages.
    Slow {
        /// Affected member.
        member: String,
        /// Time that a message takes meanwhile.
        message_ms: f64,
        /// Duration of the fault.
        for_ms: f64,
    },
    /// A member rejects all new connections.
    Refusing {
        /// Affected member.
        member: String,
        /// Duration of the fault.
        for_ms: f64,
    },
    /// A member drains and then ends; the connections that it still holds then break.
    Drain {
        /// Affected member.
        member: String,
        /// How long the member drains.
        for_ms: f64,
    },
    /// A member's process is killed; discovery lists the member as gone some seconds later.
    Kill {
        /// Affected member.
        member: String,
    },
    /// A member starts, cold.
    Start {
        /// Affected member.
        member: String,
    },
    /// The arrival rate of new clients is multiplied by a factor.
    Rush {
        /// Factor of the arrival rate.
        factor: f64,
        /// Duration of the surge.
        for_ms: f64,
    },
    /// A node's process is killed in the middle of writing a record.
    KillNode {
        /// Affected node.
        node: String,
    },
    /// A node starts.
    StartNode {
        /// Affected node.
        node: String,
    },
    /// A node is told to shut down.
    EndNode {
        /// Affected node.
        node: String,
    },
    /// A node loses its records, as if too many came at once to be written.
    Deafen {
        /// Affected node.
        node: String,
        /// Duration of the loss.
        for_ms: f64,
    },
}

impl Plan {
    /// Returns the ten-minute incident that `hopmoor-ops demo` plays, with two nodes and eight members. It
    /// has single faults, consecutive faults of one member, simultaneous faults of several members, and a
    /// node that is killed while a member is silent.
    pub fn ten_minutes() -> Plan {
        let act = |at_s: f64, what| ScriptEntry { at_ms: at_s * 1_000.0, what };
        let member = |n: u32| format!("s-{n}");
        let s = 1_000.0;
        Plan {
            seed: 7,
            nodes: vec!["n-1".into(), "n-2".into()],
            members: (1..=8).map(|n| Member { name: member(n), slots: 90 }).collect(),
            classes: vec![
                class("slot-watch", 0.4, 1.0, 300.0, 1_800.0, 50.0),
                class("firing-status", 0.26, 1.0, 500.0, 3_000.0, 60.0),
                class("shelf-hold", 0.21, 2.0, 300.0, 1_800.0, 250.0),
                class("booking-set", 0.13, 5.0, 300.0, 1_800.0, 250.0),
            ],
            tenants: vec![
                ("red-clay-guild".into(), 0.52),
                ("piedmont-potters".into(), 0.26),
                ("lanier-studio".into(), 0.22),
            ],
            arrivals_per_s: 16.0,
            life_ms: 30_000.0,
            until_ms: 600.0 * s,
            script: vec![
                act(60.0, ScriptAction::Silent { member: member(3), for_ms: 20.0 * s }),
                act(120.0, ScriptAction::Drain { member: member(5), for_ms: 12.0 * s }),
                act(140.0, ScriptAction::Start { member: member(5) }),
                // Three actions on one member: it is silent, is drained while silent, and starts cold.
                act(200.0, ScriptAction::Silent { member: member(2), for_ms: 18.0 * s }),
                act(210.0, ScriptAction::Drain { member: member(2), for_ms: 8.0 * s }),
                act(230.0, ScriptAction::Start { member: member(2) }),
                // Simultaneous faults of several members.
                act(300.0, ScriptAction::Slow { member: member(1), message_ms: 180.0, for_ms: 30.0 * s }),
                act(305.0, ScriptAction::Kill { member: member(7) }),
                act(310.0, ScriptAction::Silent { member: member(4), for_ms: 15.0 * s }),
                act(312.0, ScriptAction::Rush { factor: 2.0, for_ms: 8.0 * s }),
                act(330.0, ScriptAction::Start { member: member(7) }),
                act(380.0, ScriptAction::Refusing { member: member(6), for_ms: 10.0 * s }),
                act(420.0, ScriptAction::Deafen { node: "n-2".into(), for_ms: 6.0 * s }),
                act(460.0, ScriptAction::Silent { member: member(8), for_ms: 25.0 * s }),
                act(470.0, ScriptAction::KillNode { node: "n-1".into() }),
                act(500.0, ScriptAction::StartNode { node: "n-1".into() }),
                act(560.0, ScriptAction::EndNode { node: "n-2".into() }),
            ],
        }
    }

    /// Validates the plan.
    ///
    /// # Errors
    /// One line that names the invalid field and its bounds.
    pub fn check(&self) -> Result<(), String> {
        let check_count = |field: &str, count: usize| match count {
            0 => Err(format!("{field}: none")),
            1..=10_000 => Ok(()),
            _ => Err(format!("{field}: more than 10000")),
        };
        check_count("nodes", self.nodes.len())?;
        check_count("members", self.members.len())?;
        check_count("classes", self.classes.len())?;
        check_count("tenants", self.tenants.len())?;
        let check_range =
            |field: &str, value: f64, least: f64, most: f64| match value >= least && value <= most {
                true => Ok(()),
                false => Err(format!("{field}: {value} is not from {least} to {most}")),
            };
        check_range("arrivals_per_s", self.arrivals_per_s, 0.001, 100_000.0)?;
        check_range("life_ms", self.life_ms, 1.0, 86_400_000.0)?;
        check_range("until_ms", self.until_ms, 1.0, 7.0 * 86_400_000.0)?;
        for class in &self.classes {
            check_range("classes.part", class.part, 0.0, 1.0)?;
            check_range("classes.worth", class.worth, 0.0, 1e6)?;
            check_range("classes.grace_ms", class.grace_ms, 10.0, 3_600_000.0)?;
        }
        for member in &self.members {
            check_range("members.slots", f64::from(member.slots), 1.0, 1e9)?;
        }
        for act in &self.script {
            check_range("script.at_ms", act.at_ms, 0.0, self.until_ms)?;
            let (member, node, for_ms) = match &act.what {
                ScriptAction::Silent { member, for_ms }
                | ScriptAction::Slow { member, for_ms, .. }
                | ScriptAction::Refusing { member, for_ms }
                | ScriptAction::Drain { member, for_ms } => (Some(member), None, *for_ms),
                ScriptAction::Kill { member } | ScriptAction::Start { member } => (Some(member), None, 1.0),
                ScriptAction::Rush { factor, for_ms } => {
                    check_range("script.factor", *factor, 0.001, 1_000.0)?;
                    (None, None, *for_ms)
                }
                ScriptAction::KillNode { node }
                | ScriptAction::StartNode { node }
                | ScriptAction::EndNode { node } => (None, Some(node), 1.0),
                ScriptAction::Deafen { node, for_ms } => (None, Some(node), *for_ms),
            };
            check_range("script.for_ms", for_ms, 0.0, 7.0 * 86_400_000.0)?;
            if let Some(name) = member.filter(|name| !self.members.iter().any(|member| member.name == **name))
            {
                return Err(format!("script: no member {name}"));
            }
            if let Some(name) = node.filter(|name| !self.nodes.contains(name)) {
                return Err(format!("script: no node {name}"));
            }
        }
        Ok(())
    }

    /// Returns the site of [`Plan::ten_minutes`] without any faults, with this end.
    pub fn calm(until_ms: f64) -> Plan {
        Plan { until_ms, script: Vec::new(), ..Plan::ten_minutes() }
    }
}

fn class(name: &str, part: f64, worth: f64, aim_ms: f64, grace_ms: f64, message_aim_ms: f64) -> Class {
    Class { name: name.into(), part, worth, aim_ms, grace_ms, message_aim_ms }
}
