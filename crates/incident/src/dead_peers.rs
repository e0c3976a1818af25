//! Nodes that others held dead: from when until when, and by whom.

use crate::{Incident, IncidentKind};
use hopmoor_record::{Neighbour, NeighbourState};
use std::collections::{BTreeMap, BTreeSet};

/// Spans kept, at most: a link that flaps for days must not fill memory. Those on top are counted.
const MOST: usize = 1_000;

#[derive(Clone, Debug)]
struct Span {
    from: f64,
    until: Option<f64>,
    by: BTreeSet<String>,
    /// Who holds it dead still.
    holds: BTreeSet<String>,
}

/// What nodes recorded of each other.
#[derive(Clone, Debug, Default)]
pub(crate) struct Neighbours {
    spans: BTreeMap<String, Vec<Span>>,
    kept: usize,
    more: u64,
}

impl Neighbours {
    /// Takes what a node recorded of another.
    pub(crate) fn take(&mut self, by: &str, at: f64, neighbour: &Neighbour) {
        let spans = self.spans.entry(neighbour.name.clone()).or_default();
        let open = spans.last_mut().filter(|span| span.until.is_none());
        match (neighbour.state, open) {
            (NeighbourState::Dead, Some(span)) => {
                span.by.insert(by.to_owned());
                span.holds.insert(by.to_owned());
            }
            (NeighbourState::Dead, None) if self.kept < MOST => {
                self.kept += 1;
                let by = BTreeSet::from([by.to_owned()]);
                spans.push(Span { from: at, until: None, holds: by.clone(), by });
            }
            (NeighbourState::Dead, None) => self.more += 1,
            (_, Some(span)) => {
                span.holds.remove(by);
                if span.holds.is_empty() {
                    span.until = Some(at);
                }
            }
            (_, None) => {}
        }
    }

    /// The spans, as incidents without losses: what they cost shows in the clients' own.
    pub(crate) fn incidents(&self) -> impl Iterator<Item = Incident> {
        self.spans.iter().flat_map(|(name, spans)| {
            spans.iter().map(move |span| {
                let by: Vec<&str> = span.by.iter().map(String::as_str).collect();
                let cause = format!("node {name} was held dead by {}", by.join(", "));
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

    /// Spans for which there was no room.
    pub(crate) fn more(&self) -> u64 {
        self.more
    }
}

#[cfg(test)]
mod tests;
