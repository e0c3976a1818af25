//! What a site is made of and what happens to it. Times are milliseconds from the start.

use serde::{Deserialize, Serialize};

/// A scripted site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// For all random draws.
    pub seed: u64,
    /// Names of the nodes; clients come to them in equal parts.
    pub nodes: Vec<String>,
    /// Members.
    pub members: Vec<Member>,
    /// Classes.
    pub classes: Vec<Class>,
    /// Tenants: names and parts of the traffic.
    pub tenants: Vec<(String, f64)>,
    /// New clients a second.
    pub arrivals_per_s: f64,
    /// Mean time that a client wants its connection for.
    pub life_ms: f64,
    /// How long it goes on.
    pub until_ms: f64,
    /// What goes wrong, in any order.
    pub script: Vec<ScriptEntry>,
}

/// A pool member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Connections that it can serve in time; at 1.5 times as many it turns clients away.
    pub slots: u32,
}

/// A class of clients.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Part of the traffic.
    pub part: f64,
    /// What a second is worth.
    pub worth: f64,
    /// When its answer is wanted.
    pub aim_ms: f64,
    /// When its clients give a try up.
    pub grace_ms: f64,
    /// When messages are wanted.
    pub message_aim_ms: f64,
}

/// Something that is done to the site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScriptEntry {
    /// When.
    pub at_ms: f64,
    /// What.
    #[serde(flatten)]
    pub what: ScriptAction,
}

/// What can be done to a site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum ScriptAction {
    /// A member takes what it is sent and answers nothing.
    Silent {
        /// Which.
        member: String,
        /// For how long.
        for_ms: f64,
    },
    /// Messages at a member take this long.
    Slow {
        /// Which.
        member: String,
        /// How long a message takes.
        message_ms: f64,
        /// For how long.
        for_ms: f64,
    },
    /// A member turns everything new away.
    Refusing {
        /// Which.
        member: String,
        /// For how long.
        for_ms: f64,
    },
    /// A member drains and is gone after this time; what it still holds then breaks.
    Drain {
        /// Which.
        member: String,
        /// How long it drains.
        for_ms: f64,
    },
    /// A member's process ends at once; the list says so some seconds later.
    Kill {
        /// Which.
        member: String,
    },
    /// A member starts, cold.
    Start {
        /// Which.
        member: String,
    },
    /// So many times the usual number of new clients.
    Rush {
        /// How many times.
        factor: f64,
        /// For how long.
        for_ms: f64,
    },
    /// A node's process ends at once, in the middle of a record.
    KillNode {
        /// Which.
        node: String,
    },
    /// A node starts.
    StartNode {
        /// Which.
        node: String,
    },
    /// A node is told to end.
    EndNode {
        /// Which.
        node: String,
    },
    /// A node's records are lost for so long: too many came at once.
    Deafen {
        /// Which.
        node: String,
        /// For how long.
        for_ms: f64,
    },
}

impl Plan {
    /// The ten-minute incident that `hopmoor-ops demo` plays: two nodes, eight members; troubles alone, one after the
    /// other on one member, at once on several, and a node that is killed in the middle of them.
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
                // Three on one member: silent, drained while it is, started cold.
                act(200.0, ScriptAction::Silent { member: member(2), for_ms: 18.0 * s }),
                act(210.0, ScriptAction::Drain { member: member(2), for_ms: 8.0 * s }),
                act(230.0, ScriptAction::Start { member: member(2) }),
                // At once on several.
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

    /// Whether it can be played.
    ///
    /// # Errors
    /// One line that names the field at fault.
    pub fn check(&self) -> Result<(), String> {
        let named = |field: &str, count: usize| match count {
            0 => Err(format!("{field}: none")),
            1..=10_000 => Ok(()),
            _ => Err(format!("{field}: more than 10000")),
        };
        named("nodes", self.nodes.len())?;
        named("members", self.members.len())?;
        named("classes", self.classes.len())?;
        named("tenants", self.tenants.len())?;
        let within = |field: &str, value: f64, least: f64, most: f64| match value >= least && value <= most {
            true => Ok(()),
            false => Err(format!("{field}: {value} is not from {least} to {most}")),
        };
        within("arrivals_per_s", self.arrivals_per_s, 0.001, 100_000.0)?;
        within("life_ms", self.life_ms, 1.0, 86_400_000.0)?;
        within("until_ms", self.until_ms, 1.0, 7.0 * 86_400_000.0)?;
        for class in &self.classes {
            within("classes.part", class.part, 0.0, 1.0)?;
            within("classes.worth", class.worth, 0.0, 1e6)?;
            within("classes.grace_ms", class.grace_ms, 10.0, 3_600_000.0)?;
        }
        for member in &self.members {
            within("members.slots", f64::from(member.slots), 1.0, 1e9)?;
        }
        for act in &self.script {
            within("script.at_ms", act.at_ms, 0.0, self.until_ms)?;
            let (member, node, for_ms) = match &act.what {
                ScriptAction::Silent { member, for_ms }
                | ScriptAction::Slow { member, for_ms, .. }
                | ScriptAction::Refusing { member, for_ms }
                | ScriptAction::Drain { member, for_ms } => (Some(member), None, *for_ms),
                ScriptAction::Kill { member } | ScriptAction::Start { member } => (Some(member), None, 1.0),
                ScriptAction::Rush { factor, for_ms } => {
                    within("script.factor", *factor, 0.001, 1_000.0)?;
                    (None, None, *for_ms)
                }
                ScriptAction::KillNode { node }
                | ScriptAction::StartNode { node }
                | ScriptAction::EndNode { node } => (None, Some(node), 1.0),
                ScriptAction::Deafen { node, for_ms } => (None, Some(node), *for_ms),
            };
            within("script.for_ms", for_ms, 0.0, 7.0 * 86_400_000.0)?;
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

    /// The same site without any trouble, for so long.
    pub fn calm(until_ms: f64) -> Plan {
        Plan { until_ms, script: Vec::new(), ..Plan::ten_minutes() }
    }
}

fn class(name: &str, part: f64, worth: f64, aim_ms: f64, grace_ms: f64, message_aim_ms: f64) -> Class {
    Class { name: name.into(), part, worth, aim_ms, grace_ms, message_aim_ms }
}
