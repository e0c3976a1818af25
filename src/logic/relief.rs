//! Moves clients off backends that are asked for more than they can do.

use super::budget::{ROOMY, SHORT};
use super::health::NOTE_LASTS_MS;
use crate::api::*;
use crate::state::*;
use std::collections::BTreeMap;

/// Relief goes down to this load: what has piled up must be worked off as well.
const RELIEVED: f64 = 0.75;

impl Balancer {
    /// The paper slows what is open when over budget. A connection here can't be slowed: while a backend
    /// is asked for more than it can do, each gateway moves its part of the excess, the least worth first.
    pub(super) fn relieve(&mut self, now: Millis, out: &mut Out) {
        // With room elsewhere clients move there; in a shortage they leave, and the budget keeps others out.
        let part = if self.calm < SHORT { 1.0 } else { self.calm };
        let mut most: BTreeMap<BackendId, u32> = BTreeMap::new();
        for (&backend, server) in &mut self.servers {
            // A late report would have the same excess moved again and again; a note is of this moment.
            let told = if self.settings.reports_message_delay { server.noted(now) } else { server.told(now) };
            let Some((x0, fresh)) = told else { continue };
            if x0 > 1.0 && fresh > 0.6 && now - server.moved_at > NOTE_LASTS_MS && server.open > 0 {
                let part = (x0 - RELIEVED) / x0 * part * f64::from(server.open);
                most.insert(backend, (part + draw(&mut self.rng)).floor() as u32);
                server.moved_at = now;
            }
        }
        // With room elsewhere those gain most by a move that are worth most, and the heavy ones relieve most.
        let roomy = self.mean_load.is_some_and(|mean| mean < ROOMY);
        let value = |e: &Entry| {
            let (worth, work) = (self.settings.class(e.request.class).worth, e.work.max(1.0));
            if roomy { -worth * work } else { worth / work }
        };
        let mut movable: Vec<_> =
            self.open_on(&most).into_iter().map(|(id, e, b)| (value(e), id, b)).collect();
        movable.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, id, backend) in movable {
            if let Some(left @ 1..) = most.get_mut(&backend) {
                *left -= 1;
                out.push(Action::Move { id });
            }
        }
    }
}
