//! What operators call: one HTTP/1.1 call a connection, as a state machine that is fed bytes (RFC 9112).

use crate::broker::{ClassCounts, Stats};
use hopmoor_agree::{BudgetLimit, Participant, Permit, Scope};
use hopmoor_fleet::{self as fleet, View};
use httparse::Status;
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};
use std::fmt::Write;

/// The longest head that is taken, and the most fields in it.
pub const HEAD: usize = 8 * 1024;
const FIELDS: usize = 64;

/// What an operator wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ask {
    /// Whether this process would serve a new client now.
    Ready,
    /// The figures.
    Metrics,
    /// Take no clients and move those that stand.
    Drain,
    /// Take clients again.
    Resume,
    /// What the node knows of its fleet.
    Fleet,
    /// What the fleet has agreed on.
    Permits,
    /// How many may be out from now on.
    Budget(Scope, BudgetLimit),
}

/// Each place with the one method it takes.
const PLACES: [(&str, &str, Ask); 6] = [
    ("/-/ready", "GET", Ask::Ready),
    ("/-/metrics", "GET", Ask::Metrics),
    ("/-/drain", "PUT", Ask::Drain),
    ("/-/resume", "PUT", Ask::Resume),
    ("/-/fleet", "GET", Ask::Fleet),
    ("/-/permits", "GET", Ask::Permits),
];

/// A call that is refused without asking the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// Not HTTP, or the caller ended before its head was whole.
    Unreadable,
    /// Nothing is at that place.
    Unknown,
    /// What follows the place can't be read.
    Query(&'static str),
    /// The place takes another method.
    Method(&'static str),
    /// The head did not come in time.
    Late,
    /// The head is longer than [`HEAD`], or has too many fields.
    TooLong,
}

/// One call, as far as it has come.
#[derive(Debug, Default)]
pub struct Call {
    head: Vec<u8>,
}

impl Call {
    /// Takes bytes; says what is asked once the head is whole. A body is not looked at: no call here has one.
    pub fn take(&mut self, bytes: &[u8]) -> Option<Result<Ask, Refused>> {
        self.head.extend_from_slice(bytes);
        let mut fields = [httparse::EMPTY_HEADER; FIELDS];
        let mut request = httparse::Request::new(&mut fields);
        match request.parse(&self.head) {
            Ok(Status::Complete(length)) if length > HEAD => Some(Err(Refused::TooLong)),
            Ok(Status::Complete(_)) => {
                Some(ask(request.method.unwrap_or_default(), request.path.unwrap_or_default()))
            }
            Ok(Status::Partial) if self.head.len() > HEAD => Some(Err(Refused::TooLong)),
            Ok(Status::Partial) => None,
            Err(httparse::Error::TooManyHeaders) => Some(Err(Refused::TooLong)),
            Err(_) => Some(Err(Refused::Unreadable)),
        }
    }
}

fn ask(method: &str, path: &str) -> Result<Ask, Refused> {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    if path == BUDGET {
        return if method == "PUT" { budget(query) } else { Err(Refused::Method("PUT")) };
    }
    let (_, takes, ask) = PLACES.iter().find(|(place, ..)| *place == path).ok_or(Refused::Unknown)?;
    if *takes == method { Ok(ask.clone()) } else { Err(Refused::Method(takes)) }
}

/// `PUT /-/budget?most=2`, `?most=25%25`, `?most=1&zone=a`: how many nodes may be out at once.
const BUDGET: &str = "/-/budget";
/// As in the operator's file.
const ZONE_BYTES: usize = 64;

fn budget(query: &str) -> Result<Ask, Refused> {
    let (mut scope, mut most) = (Scope::Fleet, None);
    for (key, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
        let value = percent_decode_str(value).decode_utf8().map_err(|_| Refused::Query("not UTF-8"))?;
        match key {
            "zone" if value.is_empty() || value.len() > ZONE_BYTES => {
                return Err(Refused::Query("a zone has 1 to 64 bytes"));
            }
            "zone" => scope = Scope::Zone(value.into_owned()),
            "most" => {
                let share =
                    value.strip_suffix('%').map(|share| share.parse().ok().filter(|share| *share <= 100));
                most = match share {
                    Some(share) => share.map(BudgetLimit::Percent),
                    None => value.parse().ok().map(BudgetLimit::Number),
                };
            }
            _ => return Err(Refused::Query("known are 'most' and 'zone'")),
        }
    }
    let most = most.ok_or(Refused::Query("'most' is a number, or a share as in 25%"))?;
    Ok(Ask::Budget(scope, most))
}

/// A whole answer in plain text, after which the connection ends.
pub fn answer(status: u16, more: &str, body: &str) -> Vec<u8> {
    answer_in("text/plain; charset=utf-8", status, more, body)
}

fn answer_in(kind: &str, status: u16, more: &str, body: &str) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        202 => "Accepted",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        431 => "Request Header Fields Too Large",
        _ => "Service Unavailable",
    };
    let length = body.len();
    format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: {kind}\r\nContent-Length: {length}\r\n\
         {more}Connection: close\r\n\r\n{body}"
    )
    .into_bytes()
}

/// The answer to a call that is refused.
pub fn refusal(why: Refused) -> Vec<u8> {
    match why {
        Refused::Unreadable => answer(400, "", "not a readable HTTP/1.1 call\n"),
        Refused::Unknown => answer(
            404,
            "",
            "known are /-/ready, /-/metrics, /-/drain, /-/resume; in a fleet /-/fleet, /-/permits, /-/budget\n",
        ),
        Refused::Query(what) => answer(400, "", &format!("{what}\n")),
        Refused::Method(takes) => {
            answer(405, &format!("Allow: {takes}\r\n"), "another method is taken here\n")
        }
        Refused::Late => answer(408, "", "the call did not come in time\n"),
        Refused::TooLong => answer(431, "", "the head of the call is too long\n"),
    }
}

/// What a node knows of what is agreed, as JSON. What stands in the log only a voter knows.
pub fn permits(name: &str, participant: &Participant) -> Vec<u8> {
    let mut body = json!({
        "node": name, "asks": participant.permit_client().status_text(), "permit": participant.permit_client().fence(), "votes": participant.voter().is_some(),
        "silent": participant.not_voting_reason(),
    });
    if let Some(voter) = participant.voter() {
        let state = voter.state();
        let budget = |(scope, most): (&Scope, BudgetLimit)| {
            let most = match most {
                BudgetLimit::Number(number) => number.to_string(),
                BudgetLimit::Percent(share) => format!("{share}%"),
            };
            json!({"scope": scope.to_string(), "most": most})
        };
        let permit = |permit: &Permit| json!({"node": permit.node, "permit": permit.fence, "waits_for": state.reason(permit)});
        body["leader"] = json!(voter.leader());
        body["term"] = json!(voter.term());
        body["index"] = json!(state.index());
        body["budgets"] = state.budgets().map(budget).collect();
        body["permits"] = state.permits().iter().map(permit).collect();
    }
    answer_in("application/json", 200, "", &format!("{body:#}\n"))
}

/// What a node knows of its fleet, as JSON.
pub fn fleet(view: &View) -> Vec<u8> {
    let hex = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    let members: Vec<Value> = view
        .members
        .iter()
        .map(|seen| {
            let mut member = json!({
                "name": &*seen.id.name, "state": seen.state.text(), "incarnation": seen.id.incarnation,
                "advertise": seen.id.address.to_string(), "heard_ms": seen.heard_ms,
            });
            if let Some(info) = &seen.info {
                member["zone"] = json!(info.zone);
                member["clients"] = json!(info.clients);
                member["admin"] = json!(info.admin);
                member["ready"] = json!(info.ready.text());
                member["program"] = json!(hex(&info.program));
                member["config"] = json!(hex(&info.config));
                member["up_ms"] = json!(info.up_ms);
                member["room"] = json!(info.room);
            }
            member
        })
        .collect();
    let whole = json!({
        "node": &*view.id.name, "incarnation": view.id.incarnation, "digest": hex(&view.digest),
        "settled": view.settled, "sharing": view.sharing, "doubts": view.health_score,
        "superseded_by": view.superseded_by.as_ref().map(|id| id.incarnation),
        "members": members,
    });
    answer_in("application/json", 200, "", &(whole.to_string() + "\n"))
}

/// The fleet's figures, in the same form.
pub fn fleet_metrics((alive, suspect, dead): (usize, usize, usize), stats: &fleet::Stats) -> String {
    let fleet::Stats { datagrams_in, datagrams_out, bytes_in, bytes_out, refused, view_changes, .. } = stats;
    let fleet::Stats { exchanges, false_alarms, stalls, .. } = stats;
    format!(
        "fleet.alive={alive}\nfleet.suspect={suspect}\nfleet.dead={dead}\nfleet.datagrams_in={datagrams_in}\n\
         fleet.datagrams_out={datagrams_out}\nfleet.bytes_in={bytes_in}\nfleet.bytes_out={bytes_out}\n\
         fleet.refused={refused}\nfleet.view_changes={view_changes}\nfleet.exchanges={exchanges}\n\
         fleet.false_alarms={false_alarms}\nfleet.stalls={stalls}\n"
    )
}

/// The figures as lines `name=value`; `classes` are the names of the classes in the order of their numbers.
pub fn metrics(classes: &[String], stats: &Stats) -> String {
    let mut text = String::new();
    for (name, counts) in classes.iter().zip(&stats.classes) {
        let ClassCounts { served, refused, failed, attempts } = counts;
        for (what, count) in
            [("served", served), ("refused", refused), ("failed", failed), ("attempts", attempts)]
        {
            let _ = writeln!(text, "node.requests.{name}.{what}={count}");
        }
    }
    let Stats { in_flight, hosts_known, hosts_excluded, .. } = stats;
    let _ = write!(
        text,
        "node.in_flight={in_flight}\nnode.hosts_known={hosts_known}\nnode.hosts_excluded={hosts_excluded}\n"
    );
    text
}

#[cfg(test)]
mod tests;
