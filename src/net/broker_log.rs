//! Writes the broker's log lines to the node's log.

use super::Node;
use crate::api::Outcome;
use crate::broker::LogLine;
use slog::{debug, info, warn};

impl Node {
    /// Writes one line.
    pub(super) fn log_line(&self, line: LogLine) {
        match line {
            LogLine::Module(what) => info!(self.log, "decision module"; "what" => what),
            LogLine::Fault(what) => slog::error!(self.log, "decision module fault"; "what" => what),
            LogLine::Overdue(id) => {
                slog::error!(self.log, "no final answer by the deadline, transaction failed";
                    "transaction" => id.0)
            }
            LogLine::Members { changed, listed } => {
                info!(self.log, "pool members changed"; "changed" => changed, "listed" => listed)
            }
            LogLine::AdoptionAwaitsList(id) => {
                info!(self.log, "adopted connection waits for a list that names its member";
                    "transaction" => id.0)
            }
            LogLine::AdoptedMemberGone(id) => {
                warn!(self.log, "member of an adopted connection is gone, placing it anew";
                    "transaction" => id.0)
            }
            LogLine::Parked(id) => {
                debug!(self.log, "attempt waits for an answer of discovery"; "transaction" => id.0)
            }
            LogLine::AttemptDenied(id, member) => {
                warn!(self.log, "attempt denied, member may not be sent to";
                    "transaction" => id.0, "member" => member)
            }
            LogLine::Duplicate(id, name) => {
                if self.may_log() {
                    info!(self.log, "name in use"; "transaction" => id.0, "name" => &*name);
                }
            }
            LogLine::Member(member, phase) => {
                info!(self.log, "pool member"; "member" => member, "phase" => ?phase)
            }
            LogLine::SlowMessages(member, ms) => {
                info!(self.log, "message latency at member changed";
                    "member" => member, "took_ms" => ms.round())
            }
            LogLine::List { seq, whole } => {
                debug!(self.log, "member list updated"; "version" => seq, "whole" => whole)
            }
            LogLine::Attempt { id, name, member, attempt, started_ago_ms } => debug!(self.log, "attempt";
                "transaction" => id.0, "id" => name.as_deref().unwrap_or("-"), "member" => member,
                "attempt" => attempt, "started_ago_ms" => started_ago_ms.map(f64::round)),
            LogLine::Moved(id, member, reason) => {
                info!(self.log, "client moved";
                    "transaction" => id.0, "member" => member, "reason" => ?reason)
            }
            LogLine::Unserved { id, class, tenant, answer, flows, waited_ms } => info!(self.log,
                "transaction unserved"; "transaction" => id.0, "class" => class.0, "tenant" => tenant.0,
                "answer" => ?answer, "flows" => flows, "waited_ms" => waited_ms.round()),
            LogLine::Probed(member, Outcome::Ok, load, message) => {
                debug!(self.log, "probe answered";
                    "member" => member, "load" => ?load, "message_ms" => ?message)
            }
            LogLine::Probed(member, outcome, ..) => {
                info!(self.log, "probe failed"; "member" => member, "outcome" => ?outcome)
            }
            LogLine::Flow { id, member, outcome, took_ms, stood } => info!(self.log,
                "server-side flow ended"; "transaction" => id.0, "member" => member,
                "outcome" => ?outcome, "stood" => stood, "took_ms" => took_ms.round()),
        }
    }
}
