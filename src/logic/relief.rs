//! Moves clients off backends that are asked for more than they can do.

use super::budget::{SEVERE_SHORTAGE_CALM_SHARE, SPARE_CAPACITY_LOAD};
use super::health::DELAY_NOTE_VALID_MS;
use crate::api::*;
use crate::state::*;
use std::collections::BTreeMap;

/// Relief goes down to this load: what has piled up must be worked off as well.
const RELIEF_TARGET_LOAD: f64 = 0.75;

impl Balancer {
    /// The paper slows what is open when over budget. A connection here can't be slowed: while a backend
    /// is asked for more than it can do, each gateway moves its part of the excess, the least worth first.
    pub(super) fn relieve_overload(&mut self, now: Millis, out: &mut Actions) {
        // With room elsewhere clients move there; in a shortage they leave, and the budget keeps others out.
        let part = if self.calm_share < SEVERE_SHORTAGE_CALM_SHARE { 1.0 } else { self.calm_share };
        let mut moves_left: BTreeMap<BackendId, u32> = BTreeMap::new();
        for (&backend, record) in &mut self.backends {
            // A late report would have the same excess moved again and again; a note is of this moment.
            let estimate =
                if self.settings.tells_delay { record.delay_note(now) } else { record.load_estimate(now) };
            let Some((x0, fresh)) = estimate else { continue };
            if x0 > 1.0 && fresh > 0.6 && now - record.relieved_at > DELAY_NOTE_VALID_MS && record.open > 0 {
                let part = (x0 - RELIEF_TARGET_LOAD) / x0 * part * f64::from(record.open);
                moves_left.insert(backend, (part + draw(&mut self.rng)).floor() as u32);
                record.relieved_at = now;
            }
        }
        // With room elsewhere those gain most by a move that are worth most, and the heavy ones relieve most.
        let roomy = self.mean_load.is_some_and(|mean| mean < SPARE_CAPACITY_LOAD);
        let value = |e: &Entry| {
            let (worth, work) = (self.settings.class(e.request.class).worth, e.work.max(1.0));
            if roomy { -worth * work } else { worth / work }
        };
        let mut movable: Vec<_> =
            self.open_on(&moves_left).into_iter().map(|(id, e, b)| (value(e), id, b)).collect();
        movable.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, id, backend) in movable {
            if let Some(left @ 1..) = moves_left.get_mut(&backend) {
                *left -= 1;
                out.push(Action::Move { id });
            }
        }
    }
}
