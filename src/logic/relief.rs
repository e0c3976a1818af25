//! Overload relief: moves clients off backends whose load exceeds their capacity.

use super::budget::{SEVERE_SHORTAGE_CALM_SHARE, SPARE_CAPACITY_LOAD};
use super::health::DELAY_NOTE_VALID_MS;
use crate::api::*;
use crate::state::*;
use std::collections::BTreeMap;

/// Load over capacity that relief aims at; well below 1, because the backlog must be worked off as well.
const RELIEF_TARGET_LOAD: f64 = 0.75;

impl Balancer {
    /// Moves this node's part of the excess connections off each overloaded backend.
    ///
    /// The paper (see the crate documentation) slows open connections that are over budget. Connections here
    /// can't be slowed, so they are moved. In a shortage the connections with the least worth for their work
    /// go first.
    pub(super) fn relieve_overload(&mut self, now: Millis, out: &mut Actions) {
        // With room elsewhere clients move there. In a severe shortage they leave, and the budgets keep
        // others out.
        let part = if self.calm_share < SEVERE_SHORTAGE_CALM_SHARE { 1.0 } else { self.calm_share };
        let mut moves_left: BTreeMap<BackendId, u32> = BTreeMap::new();
        for (&backend, record) in &mut self.backends {
            // An outdated report would move the same excess repeatedly; message delays are current.
            let estimate = if self.settings.reports_message_delay {
                record.delay_note(now)
            } else {
                record.load_estimate(now)
            };
            let Some((x0, fresh)) = estimate else { continue };
            if x0 > 1.0 && fresh > 0.6 && now - record.relieved_at > DELAY_NOTE_VALID_MS && record.open > 0 {
                let part = (x0 - RELIEF_TARGET_LOAD) / x0 * part * f64::from(record.open);
                moves_left.insert(backend, (part + draw(&mut self.rng)).floor() as u32);
                record.relieved_at = now;
            }
        }
        // With room elsewhere, the most valuable connections gain most by a move, and the heaviest ones
        // relieve the backend most.
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
