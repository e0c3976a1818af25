//! Periods in which a node was held dead by other nodes of its fleet.

use crate::{Incident, IncidentKind};
use hopmoor_record::{Neighbour, NeighbourState};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of spans kept over all nodes, so that a link that flaps for days does not fill memory.
/// Further ones are only counted.
const MAX_SPANS: usize = 1_000;

/// A period in which at least one node held another dead.
#[derive(Clone, Debug)]
struct DeadSpan {
    from: f64,
    until: Option<f64>,
    /// Nodes that held it dead at any time in the span.
    held_by: BTreeSet<String>,
    /// Nodes that still hold it dead.
    still_held_by: BTreeSet<String>,
}

/// Periods in which nodes were held dead, by the name of the node.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerDeaths {
    spans: BTreeMap<String, Vec<DeadSpan>>,
    /// Spans kept, over all nodes.
    span_count: usize,
    /// Spans beyond [`MAX_SPANS`].
    unlisted: u64,
}

impl PeerDeaths {
    /// Processes a state of `neighbour` as recorded by the node `observer`.
    ///
    /// A span lasts until no node holds the neighbour dead any more.
    pub(crate) fn record(&mut self, observer: &str, at: f64, neighbour: &Neighbour) {
        let spans = self.spans.entry(neighbour.name.clone()).or_default();
        let open = spans.last_mut().filter(|span| span.until.is_none());
        match (neighbour.state, open) {
            (NeighbourState::Dead, Some(span)) => {
                span.held_by.insert(observer.to_owned());
                span.still_held_by.insert(observer.to_owned());
            }
            (NeighbourState::Dead, None) if self.span_count < MAX_SPANS => {
                self.span_count += 1;
                let held_by = BTreeSet::from([observer.to_owned()]);
                spans.push(DeadSpan { from: at, until: None, still_held_by: held_by.clone(), held_by });
            }
            (NeighbourState::Dead, None) => self.unlisted += 1,
            (_, Some(span)) => {
                span.still_held_by.remove(observer);
                if span.still_held_by.is_empty() {
                    span.until = Some(at);
                }
            }
            (_, None) => {}
        }
    }

    /// The spans as incidents. They carry no losses: lost service is attributed by what happened to the
    /// clients.
    pub(crate) fn incidents(&self) -> impl Iterator<Item = Incident> {
        self.spans.iter().flat_map(|(name, spans)| {
            spans.iter().map(move |span| {
                let held_by: Vec<&str> = span.held_by.iter().map(String::as_str).collect();
                let cause = format!("node {name} was held dead by {}", held_by.join(", "));
                Incident {
                    number: 0,
                    kind: IncidentKind::HeldDead,
                    subject: name.clone(),
                    from: span.from,
                    until: span.until,
                    cause,
                    lost: 0.0,
                    share: 0.0,
                    by_class: Vec::new(),
                }
            })
        })
    }

    /// Number of spans that were not kept because of [`MAX_SPANS`].
    pub(crate) fn unlisted(&self) -> u64 {
        self.unlisted
    }
}

#[cfg(test)]
mod tests;
