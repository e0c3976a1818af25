use super::*;

const HERE: Origin = Origin(0);
const S: MemberId = MemberId(3);

fn lost(account: &ServiceTotals) -> f64 {
    account.lost.values().map(Curve::sum).sum()
}

#[test]
fn waiting_and_absence_are_lost_and_standing_is_served() {
    let mut ledger = Ledger::new(0.0);
    ledger.worths(vec![2.0]);
    ledger.asked(HERE, 1, 0.0, 0, 0, ArrivalKind::First);
    ledger.stands(HERE, 1, 1_000.0, S);
    ledger.went(HERE, 1, 5_000.0, Some(Cause::Member(S, Why::Drained)));
    ledger.asked(Origin(1), 7, 5_500.0, 0, 0, ArrivalKind::Return);
    ledger.stands(Origin(1), 7, 5_600.0, S);
    ledger.ended(Origin(1), 7, 10_000.0);
    let account = ledger.finish(20_000.0);
    assert!((account.asked.sum() - 20.0).abs() < 0.01, "{}", account.asked.sum());
    assert!((lost(&account) - 3.2).abs() < 0.01);
    let drained = account.lost.get(&(Cause::Member(S, Why::Drained), 0)).map(Curve::sum);
    assert!((drained.unwrap() - 1.2).abs() < 0.01, "absence, and the wait after it");
}

#[test]
fn records_that_end_are_no_recovery_and_no_loss() {
    let mut ledger = Ledger::new(0.0);
    ledger.asked(HERE, 1, 0.0, 0, 0, ArrivalKind::First);
    ledger.stands(HERE, 1, 0.0, S);
    ledger.run_over(HERE, 4_000.0, Cause::NodeCut(HERE));
    let account = ledger.finish(60_000.0);
    assert!((account.asked.sum() - 4.0).abs() < 0.01 && lost(&account) == 0.0);
}

#[test]
fn what_stood_over_a_gap_counts_once_it_is_heard_of_again() {
    let mut ledger = Ledger::new(0.0);
    for id in [1, 2] {
        ledger.asked(HERE, id, 0.0, 0, 0, ArrivalKind::First);
        ledger.stands(HERE, id, 0.0, S);
    }
    ledger.doubt(HERE, 3_000.0);
    ledger.ended(HERE, 1, 10_000.0);
    let account = ledger.finish(20_000.0);
    assert!((account.asked.sum() - 13.0).abs() < 0.01, "{}", account.asked.sum());
    let stood: f64 = account.standing.values().map(Curve::sum).sum();
    assert!((stood - 13.0).abs() < 0.01, "{stood}");
}

#[test]
fn a_client_whose_answer_was_lost_does_not_wait_for_ever() {
    let mut ledger = Ledger::new(0.0);
    ledger.asked(HERE, 1, 0.0, 0, 0, ArrivalKind::First);
    ledger.doubt(HERE, 500.0);
    ledger.run_over(HERE, 600_000.0, Cause::NodeLeft(HERE));
    let account = ledger.finish(600_000.0);
    assert!((lost(&account) - 0.5).abs() < 0.01, "{}", lost(&account));
}

#[test]
fn those_turned_away_for_good_cost_a_usual_life_each() {
    let mut ledger = Ledger::new(0.0);
    for id in 0..10 {
        ledger.asked(HERE, id, 0.0, 0, 0, ArrivalKind::First);
        ledger.stands(HERE, id, 0.0, S);
        ledger.ended(HERE, id, 30_000.0);
    }
    ledger.asked(HERE, 99, 30_000.0, 0, 0, ArrivalKind::First);
    ledger.went(HERE, 99, 30_000.0, None);
    let account = ledger.finish(200_000.0);
    let lost = lost(&account);
    assert!((29.0..=30.1).contains(&lost), "{lost}");
}
