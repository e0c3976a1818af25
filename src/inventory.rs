//! An operator's inventory of members, services, teams and contracts, in YAML or CSV as configuration tools
//! write it. It is decoded into the same values as discovery's list and the settings.
//!
//! In CSV the first column, `kind`, gives a row's type. The other columns have the names of the YAML keys,
//! and lists are separated by spaces.

use crate::api::{Millis, Phase};
use crate::pool::{ListError, Member, PoolList, check_dial, zone_index};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// A decoded inventory.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Inventory {
    /// The pool.
    pub pool: PoolList,
    /// Zone names, in the order in which they first occur among the members.
    pub zones: Vec<String>,
    /// The services that clients may ask for.
    pub services: Vec<Service>,
    /// The teams that clients belong to.
    pub teams: Vec<Team>,
}

/// A service that clients ask for by name.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's domain.
    pub name: String,
    /// Time within which a client must get its final answer.
    pub deadline_ms: Millis,
    /// Worth of one second of a connection.
    #[serde(default = "one")]
    pub worth: f64,
}

/// A team and its contract.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// The team's name.
    pub name: String,
    /// The domains of the team's clients.
    pub domains: Vec<String>,
    /// The team's contract, if it has one.
    pub contract: Option<Contract>,
}

pub use crate::api::Contract;

fn one() -> f64 {
    1.0
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct Raw {
    #[serde(default)]
    members: Vec<RawMember>,
    #[serde(default)]
    services: Vec<Service>,
    #[serde(default)]
    teams: Vec<RawTeam>,
    #[serde(default)]
    contracts: Vec<RawContract>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawMember {
    name: String,
    dial: String,
    #[serde(default)]
    zone: String,
    #[serde(default = "one")]
    weight: f64,
    #[serde(default)]
    state: MemberState,
}

#[derive(Clone, Copy, Deserialize, Default)]
#[serde(rename_all = "lowercase")]
enum MemberState {
    #[default]
    Serving,
    Draining,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawTeam {
    name: String,
    #[serde(default)]
    domains: Vec<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawContract {
    team: String,
    #[serde(default)]
    guarantee: f64,
    maximum: Option<f64>,
    #[serde(default)]
    priority: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Row {
    kind: String,
    name: Option<String>,
    dial: Option<String>,
    zone: Option<String>,
    weight: Option<f64>,
    state: Option<MemberState>,
    deadline_ms: Option<Millis>,
    worth: Option<f64>,
    domains: Option<String>,
    team: Option<String>,
    guarantee: Option<f64>,
    maximum: Option<f64>,
    priority: Option<f64>,
}

/// Reads an inventory file; its extension selects CSV or YAML.
///
/// # Errors
/// The file can't be read or is invalid; the message names the file and the line or field.
pub fn read(path: &Path) -> Result<Inventory, ListError> {
    let about = |error: &dyn std::fmt::Display| ListError(format!("{}: {error}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|error| about(&error))?;
    let decoded = match path.extension().and_then(|suffix| suffix.to_str()) {
        Some("csv") => csv(&text),
        Some("yaml" | "yml") => yaml(&text),
        _ => Err(ListError("file extension is not .csv, .yaml or .yml".into())),
    };
    decoded.map_err(|error| about(&error))
}

/// Decodes YAML.
///
/// # Errors
/// The text is invalid; the message names the line or field.
pub fn yaml(text: &str) -> Result<Inventory, ListError> {
    let raw: Raw = serde_yaml_ng::from_str(text).map_err(|error| ListError(error.to_string()))?;
    raw.inventory()
}

/// Decodes CSV.
///
/// # Errors
/// The text is invalid; the message names the line or field.
pub fn csv(text: &str) -> Result<Inventory, ListError> {
    let mut raw = Raw::default();
    let mut reader =
        csv::ReaderBuilder::new().trim(csv::Trim::All).comment(Some(b'#')).from_reader(text.as_bytes());
    let headers = reader.headers().map_err(|error| ListError(error.to_string()))?.clone();
    for record in reader.records() {
        let record = record.map_err(|error| ListError(error.to_string()))?;
        let line = record.position().map_or(0, csv::Position::line);
        let about = |what: String| ListError(format!("line {line}: {what}"));
        let row: Row = record.deserialize(Some(&headers)).map_err(|error| about(error.to_string()))?;
        let required =
            |value: Option<String>, name: &str| value.ok_or_else(|| about(format!("{name} is missing")));
        match row.kind.as_str() {
            "member" => raw.members.push(RawMember {
                name: required(row.name, "name")?,
                dial: required(row.dial, "dial")?,
                zone: row.zone.unwrap_or_default(),
                weight: row.weight.unwrap_or(1.0),
                state: row.state.unwrap_or_default(),
            }),
            "service" => raw.services.push(Service {
                name: required(row.name, "name")?,
                deadline_ms: row.deadline_ms.ok_or_else(|| about("deadline_ms is missing".into()))?,
                worth: row.worth.unwrap_or(1.0),
            }),
            "team" => raw.teams.push(RawTeam {
                name: required(row.name, "name")?,
                domains: row.domains.unwrap_or_default().split_whitespace().map(str::to_owned).collect(),
            }),
            "contract" => raw.contracts.push(RawContract {
                team: required(row.team, "team")?,
                guarantee: row.guarantee.unwrap_or(0.0),
                maximum: row.maximum,
                priority: row.priority.unwrap_or(0.0),
            }),
            other => return Err(about(format!("kind '{other}' is none of member, service, team, contract"))),
        }
    }
    raw.inventory()
}

impl Raw {
    /// Checks the entries and resolves the names by which they refer to each other.
    fn inventory(self) -> Result<Inventory, ListError> {
        let invalid = |what: String| Err(ListError(what));
        let mut inventory = Inventory { services: self.services, ..Inventory::default() };
        let mut addresses: Vec<SocketAddr> = Vec::new();
        for member in self.members {
            let address = check_dial(&member.dial)
                .map_err(|error| ListError(format!("members: {}: dial: {error}", member.name)))?;
            if inventory.pool.members.iter().any(|known| known.name == member.name) {
                return invalid(format!("members: {} is listed twice", member.name));
            }
            // A member listed under two names would be sent twice its capacity, and new work while it drains under
            // one of them.
            if let Some(index) = addresses.iter().position(|known| *known == address) {
                let known = &inventory.pool.members[index].name;
                return invalid(format!("members: {known} and {} are both at {address}", member.name));
            }
            addresses.push(address);
            if !(member.weight.is_finite() && member.weight > 0.0) {
                return invalid(format!("members: {}: weight must be above 0", member.name));
            }
            if !inventory.zones.contains(&member.zone) {
                inventory.zones.push(member.zone.clone());
            }
            inventory.pool.members.push(Member {
                zone: zone_index(&member.zone, &inventory.zones),
                name: member.name,
                dial: member.dial,
                cell: 0,
                phase: match member.state {
                    MemberState::Serving => Phase::Serving,
                    MemberState::Draining => Phase::Draining,
                },
                weight: member.weight,
                born: None,
            });
        }
        inventory.pool.whole = true;
        for service in &inventory.services {
            if !(service.deadline_ms.is_finite() && service.deadline_ms >= 100.0) {
                return invalid(format!("services: {}: deadline_ms must be at least 100", service.name));
            }
        }
        if inventory.services.is_empty() {
            return invalid("services: at least one is required".into());
        }
        for team in self.teams {
            if inventory.teams.iter().any(|known| known.name == team.name) {
                return invalid(format!("teams: {} is listed twice", team.name));
            }
            inventory.teams.push(Team { name: team.name, domains: team.domains, contract: None });
        }
        for raw in self.contracts {
            let Some(team) = inventory.teams.iter_mut().find(|team| team.name == raw.team) else {
                return invalid(format!("contracts: unknown team {}", raw.team));
            };
            let contract = Contract {
                guarantee: raw.guarantee,
                maximum: raw.maximum.unwrap_or(f64::INFINITY),
                priority: raw.priority,
            };
            if !(contract.guarantee >= 0.0 && contract.maximum >= contract.guarantee) {
                return invalid(format!("contracts: {}: guarantee must be from 0 to maximum", raw.team));
            }
            if team.contract.replace(contract).is_some() {
                return invalid(format!("contracts: {} has more than one", raw.team));
            }
        }
        Ok(inventory)
    }
}

#[cfg(test)]
mod tests;
