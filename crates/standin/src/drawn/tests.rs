use super::*;

#[test]
fn a_seed_is_one_schedule_and_a_failing_one_gets_short() {
    let kinds: Vec<String> = KINDS.iter().map(|kind| (*kind).to_owned()).collect();
    let drawn = Schedule::drawn(7, 12, 90.0, &kinds).unwrap();
    assert_eq!(Schedule::drawn(7, 12, 90.0, &kinds), Ok(drawn.clone()));
    assert!(drawn.steps.len() > 8);
    assert_eq!(Schedule::read(&serde_json::to_string(&drawn).unwrap()), Ok(drawn.clone()));
    assert!(Schedule::drawn(7, 12, 90.0, &["flames".into()]).is_err());
    let stops =
        |schedule: &Schedule| schedule.steps.iter().any(|step| matches!(step.fault, Fault::Stop { .. }));
    assert!(stops(&drawn));
    assert_eq!(drawn.shortened(stops).steps.len(), 1);
}
