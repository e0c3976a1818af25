use super::*;

#[test]
fn a_seed_is_one_schedule_and_a_failing_one_gets_short() {
    let kinds: Vec<String> = FAULT_KINDS.iter().map(|kind| (*kind).to_owned()).collect();
    let random = Schedule::random(7, 12, 90.0, &kinds).unwrap();
    assert_eq!(Schedule::random(7, 12, 90.0, &kinds), Ok(random.clone()));
    assert!(random.steps.len() > 8);
    assert_eq!(Schedule::read(&serde_json::to_string(&random).unwrap()), Ok(random.clone()));
    assert!(Schedule::random(7, 12, 90.0, &["flames".into()]).is_err());
    let stops =
        |schedule: &Schedule| schedule.steps.iter().any(|step| matches!(step.fault, Fault::Stop { .. }));
    assert!(stops(&random));
    assert_eq!(random.minimized(stops).steps.len(), 1);
}
