use super::*;

#[test]
fn a_seed_always_yields_the_same_schedule_and_minimizing_drops_unneeded_steps() {
    let kinds: Vec<String> = FAULT_KINDS.iter().map(|kind| (*kind).to_owned()).collect();
    let schedule = Schedule::random(7, 12, 90.0, &kinds).unwrap();
    assert_eq!(Schedule::random(7, 12, 90.0, &kinds), Ok(schedule.clone()));
    assert!(schedule.steps.len() > 8);
    assert_eq!(Schedule::read(&serde_json::to_string(&schedule).unwrap()), Ok(schedule.clone()));
    assert!(Schedule::random(7, 12, 90.0, &["flames".into()]).is_err());
    let has_stop =
        |schedule: &Schedule| schedule.steps.iter().any(|step| matches!(step.fault, Fault::Stop { .. }));
    assert!(has_stop(&schedule));
    assert_eq!(schedule.minimized(has_stop).steps.len(), 1);
}
