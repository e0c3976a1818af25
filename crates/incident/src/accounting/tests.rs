use super::*;

const NODE: Origin = Origin(0);
const MEMBER: MemberId = MemberId(3);

fn lost(totals: &LedgerTotals) -> f64 {
    totals.lost.values().map(TimeSeries::sum).sum()
}

#[test]
fn waiting_and_absence_count_as_lost_and_connected_time_as_served() {
    let mut ledger = Ledger::new(0.0);
    ledger.set_worths(vec![2.0]);
    ledger.client_asked(NODE, 1, 0.0, 0, 0, ArrivalKind::First);
    ledger.connected(NODE, 1, 1_000.0, MEMBER);
    ledger.went_away(NODE, 1, 5_000.0, Some(Cause::Member(MEMBER, MemberCause::Drained)));
    ledger.client_asked(Origin(1), 7, 5_500.0, 0, 0, ArrivalKind::Return);
    ledger.connected(Origin(1), 7, 5_600.0, MEMBER);
    ledger.ended(Origin(1), 7, 10_000.0);
    let totals = ledger.finish(20_000.0);
    assert!((totals.asked.sum() - 20.0).abs() < 0.01, "{}", totals.asked.sum());
    assert!((lost(&totals) - 3.2).abs() < 0.01);
    let drained = totals.lost.get(&(Cause::Member(MEMBER, MemberCause::Drained), 0)).map(TimeSeries::sum);
    assert!((drained.unwrap() - 1.2).abs() < 0.01, "absence, and the wait after it");
}

#[test]
fn time_after_the_last_record_of_a_node_is_neither_asked_nor_lost() {
    let mut ledger = Ledger::new(0.0);
    ledger.client_asked(NODE, 1, 0.0, 0, 0, ArrivalKind::First);
    ledger.connected(NODE, 1, 0.0, MEMBER);
    ledger.run_ended(NODE, 4_000.0, Cause::NodeCut(NODE));
    let totals = ledger.finish(60_000.0);
    assert!((totals.asked.sum() - 4.0).abs() < 0.01 && lost(&totals) == 0.0);
}

#[test]
fn connected_time_across_a_gap_counts_once_a_later_record_confirms_it() {
    let mut ledger = Ledger::new(0.0);
    for id in [1, 2] {
        ledger.client_asked(NODE, id, 0.0, 0, 0, ArrivalKind::First);
        ledger.connected(NODE, id, 0.0, MEMBER);
    }
    ledger.records_lost(NODE, 3_000.0);
    ledger.ended(NODE, 1, 10_000.0);
    let totals = ledger.finish(20_000.0);
    assert!((totals.asked.sum() - 13.0).abs() < 0.01, "{}", totals.asked.sum());
    let connected: f64 = totals.connected_clients.values().map(TimeSeries::sum).sum();
    assert!((connected - 13.0).abs() < 0.01, "{connected}");
}

#[test]
fn a_client_whose_answer_record_was_lost_does_not_wait_forever() {
    let mut ledger = Ledger::new(0.0);
    ledger.client_asked(NODE, 1, 0.0, 0, 0, ArrivalKind::First);
    ledger.records_lost(NODE, 500.0);
    ledger.run_ended(NODE, 600_000.0, Cause::NodeLeft(NODE));
    let totals = ledger.finish(600_000.0);
    assert!((lost(&totals) - 0.5).abs() < 0.01, "{}", lost(&totals));
}

#[test]
fn each_client_that_never_returns_costs_a_mean_connection_lifetime() {
    let mut ledger = Ledger::new(0.0);
    for id in 0..10 {
        ledger.client_asked(NODE, id, 0.0, 0, 0, ArrivalKind::First);
        ledger.connected(NODE, id, 0.0, MEMBER);
        ledger.ended(NODE, id, 30_000.0);
    }
    ledger.client_asked(NODE, 99, 30_000.0, 0, 0, ArrivalKind::First);
    ledger.went_away(NODE, 99, 30_000.0, None);
    let totals = ledger.finish(200_000.0);
    let lost = lost(&totals);
    assert!((29.0..=30.1).contains(&lost), "{lost}");
}
