//! Check of the decision module's state: every number that is kept from one event to the next is finite.
//!
//! A value that is infinite or not a number (NaN) lasts, because the state is smoothed and accumulated: a
//! limit computed from it admits everything, and a timer set from it never fires. Such a value is a defect of
//! this module. It is reported as a fault, and what was learned is reset, so that it does not last.

use crate::api::*;
use crate::state::*;
use std::fmt;

/// A number in the state that is not finite.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InvalidNumber {
    /// Name of the field.
    pub field: &'static str,
    /// The value.
    pub value: f64,
}

impl fmt::Display for InvalidNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is {}", self.field, self.value)
    }
}

impl std::error::Error for InvalidNumber {}

impl Balancer {
    /// Reports a number that is not finite as a fault, and resets everything learned.
    pub(super) fn repair_numbers(&mut self, now: Millis, out: &mut Actions) {
        if let Err(invalid) = self.check_numbers() {
            out.push(Action::Fault(format!("{invalid}, learned numbers reset")));
            self.reset_learned(now);
        }
    }

    /// Resets all learned numbers to those of a new node.
    fn reset_learned(&mut self, now: Millis) {
        (self.usual_hint, self.hint_samples, self.mean_load, self.calm_share) = (0.0, 0.0, None, 1.0);
        (self.capacity_per_weight, self.intake_per_weight, self.place_rate) = (0.0, 0.0, 0.0);
        self.virtual_time = 0.0;
        self.class_work.fill(0.0);
        self.tenants.values_mut().for_each(reset_tenant);
        self.backends.values_mut().for_each(reset_backend);
        self.entries.values_mut().for_each(reset_entry);
        self.update_weights(now);
        self.initialize_capacity(now);
        self.assign_budgets(now);
    }

    /// Checks all numbers of the state.
    ///
    /// # Errors
    /// The first number that is not finite. Deadlines and times "long ago" may be infinite, but must be
    /// numbers.
    pub(crate) fn check_numbers(&self) -> Result<(), InvalidNumber> {
        self.check_own_numbers()?;
        self.tenants.values().try_for_each(check_tenant)?;
        self.backends.values().try_for_each(check_backend)?;
        self.entries.values().try_for_each(check_entry)
    }

    fn check_own_numbers(&self) -> Result<(), InvalidNumber> {
        all_finite([
            ("listed_weight", self.listed_weight),
            ("usual_hint", self.usual_hint),
            ("mean_load", self.mean_load.unwrap_or(0.0)),
            ("calm_share", self.calm_share),
            ("capacity_per_weight", self.capacity_per_weight),
            ("virtual_time", self.virtual_time),
            ("intake_per_weight", self.intake_per_weight),
            ("place_rate", self.place_rate),
            ("discovery_backoff", self.discovery_backoff),
            ("next_discovery_at", self.next_discovery_at),
        ])?;
        self.class_work.iter().try_for_each(|work| finite("class_work", *work))
    }
}

fn check_tenant(account: &TenantAccount) -> Result<(), InvalidNumber> {
    all_finite([
        ("last_demand", account.last_demand),
        ("mean_change", account.mean_change),
        ("mean_rise", account.mean_rise),
        ("forecast", account.forecast),
        ("budget", account.budget),
        ("excess", account.excess),
        ("tenant load", account.load),
        ("refused", account.refused),
        ("least_load", account.least_load),
    ])
}

fn check_backend(record: &BackendRecord) -> Result<(), InvalidNumber> {
    let (report, reported_at) = record.report.unwrap_or_default();
    let (delay, delayed_at) = record.delay.unwrap_or_default();
    all_finite([
        ("next_turn", record.next_turn),
        ("weight", record.weight),
        ("work", record.work),
        ("report", report),
        ("reported_at", reported_at),
        ("connection_load", record.connection_load),
        ("delay", delay),
        ("delayed_at", delayed_at),
        ("peak_load", record.peak_load),
        ("avoid_until", record.avoid_until),
        ("capacity", record.capacity),
    ])
}

fn check_entry(entry: &Entry) -> Result<(), InvalidNumber> {
    number("deadline", entry.deadline)?;
    number("give_up_at", entry.give_up_at)?;
    all_finite([
        ("release_at", entry.release_at.unwrap_or(0.0)),
        ("sent_at", entry.sent_at),
        ("request load", entry.request.load()),
        ("connection work", entry.work),
    ])
}

fn reset_tenant(account: &mut TenantAccount) {
    (account.last_demand, account.mean_change, account.mean_rise) = (0.0, 0.0, 0.0);
    (account.forecast, account.budget, account.excess, account.refused) = (0.0, 0.0, 0.0, 0.0);
    account.least_load = 1.0;
    if !account.load.is_finite() {
        account.load = f64::from(account.open);
    }
}

fn reset_backend(record: &mut BackendRecord) {
    (record.next_turn, record.weight, record.work, record.peak_load) = (0.0, 0.0, 0.0, 0.0);
    (record.report, record.delay) = (None, None);
    if !record.avoid_until.is_finite() {
        record.avoid_until = 0.0;
    }
}

fn reset_entry(entry: &mut Entry) {
    (entry.release_at, entry.work) = (None, 0.0);
}

fn all_finite<const COUNT: usize>(fields: [(&'static str, f64); COUNT]) -> Result<(), InvalidNumber> {
    fields.into_iter().try_for_each(|(field, value)| finite(field, value))
}

fn finite(field: &'static str, value: f64) -> Result<(), InvalidNumber> {
    if value.is_finite() { Ok(()) } else { Err(InvalidNumber { field, value }) }
}

fn number(field: &'static str, value: Millis) -> Result<(), InvalidNumber> {
    if value.is_nan() { Err(InvalidNumber { field, value }) } else { Ok(()) }
}

#[cfg(test)]
mod tests;
