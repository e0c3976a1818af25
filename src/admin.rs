//! The admin endpoint's protocol: one HTTP/1.1 request per connection (RFC 9112), as a parser that is fed
//! bytes, and the responses.

use crate::broker::{ClassCounts, Stats};
use hopmoor_agree::{BudgetLimit, Participant, Permit, Scope};
use hopmoor_fleet::{self as fleet, View};
use httparse::Status;
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};
use std::fmt::Write;

/// Maximum size of a request head in bytes.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum number of header fields in a request head.
const MAX_HEADER_FIELDS: usize = 64;

/// An operation that an operator requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Reports whether this process would serve a new client now.
    Ready,
    /// Reports the metrics.
    Metrics,
    /// Stops taking clients and moves the connected ones away.
    Drain,
    /// Takes clients again.
    Resume,
    /// Reports the node's view of its fleet.
    Fleet,
    /// Reports the drain permits and budgets that the fleet has agreed on.
    Permits,
    /// Sets how many nodes of a scope may be out at once.
    Budget(Scope, BudgetLimit),
}

/// Each path without parameters, the only method it accepts and its operation.
const ENDPOINTS: [(&str, &str, Operation); 6] = [
    ("/-/ready", "GET", Operation::Ready),
    ("/-/metrics", "GET", Operation::Metrics),
    ("/-/drain", "PUT", Operation::Drain),
    ("/-/resume", "PUT", Operation::Resume),
    ("/-/fleet", "GET", Operation::Fleet),
    ("/-/permits", "GET", Operation::Permits),
];

/// Why a request is answered with an error without involving the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The request is not HTTP, or the connection ended within its head.
    Malformed,
    /// The path does not exist.
    NotFound,
    /// The query string is invalid, for this reason.
    InvalidQuery(&'static str),
    /// The path accepts only this method.
    MethodNotAllowed(&'static str),
    /// The head was not complete in time.
    Timeout,
    /// The head is longer than [`MAX_HEAD_BYTES`], or has too many fields.
    HeadTooLong,
}

/// Incremental parser of one request.
#[derive(Debug, Default)]
pub struct RequestParser {
    head: Vec<u8>,
}

impl RequestParser {
    /// Adds received bytes; returns the requested operation or the error once the head is complete. A body is
    /// ignored, as no operation has one.
    pub fn take(&mut self, bytes: &[u8]) -> Option<Result<Operation, RequestError>> {
        self.head.extend_from_slice(bytes);
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
        let mut request = httparse::Request::new(&mut fields);
        match request.parse(&self.head) {
            Ok(Status::Complete(length)) if length > MAX_HEAD_BYTES => Some(Err(RequestError::HeadTooLong)),
            Ok(Status::Complete(_)) => {
                Some(route(request.method.unwrap_or_default(), request.path.unwrap_or_default()))
            }
            Ok(Status::Partial) if self.head.len() > MAX_HEAD_BYTES => Some(Err(RequestError::HeadTooLong)),
            Ok(Status::Partial) => None,
            Err(httparse::Error::TooManyHeaders) => Some(Err(RequestError::HeadTooLong)),
            Err(_) => Some(Err(RequestError::Malformed)),
        }
    }
}

fn route(method: &str, path: &str) -> Result<Operation, RequestError> {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    if path == BUDGET_PATH {
        return if method == "PUT" {
            parse_budget(query)
        } else {
            Err(RequestError::MethodNotAllowed("PUT"))
        };
    }
    let (_, allowed, operation) =
        ENDPOINTS.iter().find(|(known, ..)| *known == path).ok_or(RequestError::NotFound)?;
    if *allowed == method { Ok(operation.clone()) } else { Err(RequestError::MethodNotAllowed(allowed)) }
}

/// Path that sets how many nodes may be out at once: `PUT /-/budget?most=2`, `?most=25%25`, `?most=1&zone=a`.
const BUDGET_PATH: &str = "/-/budget";
/// Maximum length of a zone's name; the same limit as in the operator file.
const MAX_ZONE_BYTES: usize = 64;

fn parse_budget(query: &str) -> Result<Operation, RequestError> {
    let (mut scope, mut most) = (Scope::Fleet, None);
    for (key, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
        let value =
            percent_decode_str(value).decode_utf8().map_err(|_| RequestError::InvalidQuery("not UTF-8"))?;
        match key {
            "zone" if value.is_empty() || value.len() > MAX_ZONE_BYTES => {
                return Err(RequestError::InvalidQuery("a zone has 1 to 64 bytes"));
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
            _ => return Err(RequestError::InvalidQuery("known are 'most' and 'zone'")),
        }
    }
    let most = most.ok_or(RequestError::InvalidQuery("'most' is a number, or a share as in 25%"))?;
    Ok(Operation::Budget(scope, most))
}

/// Builds a complete plain-text response, after which the connection is closed; `more` holds additional
/// header lines.
pub fn response(status: u16, more: &str, body: &str) -> Vec<u8> {
    response_with_type("text/plain; charset=utf-8", status, more, body)
}

fn response_with_type(kind: &str, status: u16, more: &str, body: &str) -> Vec<u8> {
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

/// Builds the response to an invalid request.
pub fn error_response(why: RequestError) -> Vec<u8> {
    match why {
        RequestError::Malformed => response(400, "", "not a readable HTTP/1.1 call\n"),
        RequestError::NotFound => response(
            404,
            "",
            "known are /-/ready, /-/metrics, /-/drain, /-/resume; in a fleet /-/fleet, /-/permits, /-/budget\n",
        ),
        RequestError::InvalidQuery(what) => response(400, "", &format!("{what}\n")),
        RequestError::MethodNotAllowed(allowed) => {
            response(405, &format!("Allow: {allowed}\r\n"), "another method is taken here\n")
        }
        RequestError::Timeout => response(408, "", "the call did not come in time\n"),
        RequestError::HeadTooLong => response(431, "", "the head of the call is too long\n"),
    }
}

/// Builds the JSON response that shows the node's drain request and permit. A voter adds what its Raft log
/// holds: leader, term, index, budgets and all permits.
pub fn permits_response(name: &str, participant: &Participant) -> Vec<u8> {
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
    response_with_type("application/json", 200, "", &format!("{body:#}\n"))
}

/// Builds the JSON response that shows a node's view of its fleet.
pub fn fleet_response(view: &View) -> Vec<u8> {
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
    response_with_type("application/json", 200, "", &(whole.to_string() + "\n"))
}

/// Formats the fleet metrics as lines `name=value`; the tuple counts nodes by state.
pub fn format_fleet_metrics((alive, suspect, dead): (usize, usize, usize), stats: &fleet::Stats) -> String {
    let fleet::Stats { datagrams_in, datagrams_out, bytes_in, bytes_out, refused, view_changes, .. } = stats;
    let fleet::Stats { exchanges, false_alarms, stalls, .. } = stats;
    format!(
        "fleet.alive={alive}\nfleet.suspect={suspect}\nfleet.dead={dead}\nfleet.datagrams_in={datagrams_in}\n\
         fleet.datagrams_out={datagrams_out}\nfleet.bytes_in={bytes_in}\nfleet.bytes_out={bytes_out}\n\
         fleet.refused={refused}\nfleet.view_changes={view_changes}\nfleet.exchanges={exchanges}\n\
         fleet.false_alarms={false_alarms}\nfleet.stalls={stalls}\n"
    )
}

/// Formats the node's metrics as lines `name=value`; `classes` holds the class names, indexed by class
/// number.
pub fn format_metrics(classes: &[String], stats: &Stats) -> String {
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
