use super::*;

#[test]
fn a_seed_always_yields_the_same_schedule_and_shortening_drops_unneeded_steps() {
    let kinds: Vec<String> = KINDS.iter().map(|kind| (*kind).to_owned()).collect();
    let drawn = Schedule::drawn(7, 12, 90.0, &kinds).unwrap();
    assert_eq!(Schedule::drawn(7, 12, 90.0, &kinds), Ok(drawn.clone()));
    assert!(drawn.steps.len() > 8);
    assert_eq!(Schedule::read(&serde_json::to_string(&drawn).unwrap()), Ok(drawn.clone()));
    assert!(Schedule::drawn(7, 12, 90.0, &["flames".into()]).is_err());
    let has_stop =
        |schedule: &Schedule| schedule.steps.iter().any(|step| matches!(step.fault, Fault::Stop { .. }));
    assert!(has_stop(&drawn));
    assert_eq!(drawn.shortened(has_stop).steps.len(), 1);
}
