use super::*;

#[test]
fn a_name_is_remembered_for_a_time() {
    let mut names = RecentNames::default();
    names.remember(0.0, "a");
    names.remember(1_000.0, "b");
    assert!(names.contains(REMEMBERED_MS - 1.0, "a") && !names.contains(0.0, "c"));
    assert!(!names.contains(REMEMBERED_MS, "a") && names.contains(REMEMBERED_MS, "b"));
}

/// Guards against memory that grows with the names that clients make up.
#[test]
fn the_number_of_remembered_names_is_bounded() {
    let mut names = RecentNames::default();
    for number in 0..3 * MAX_NAMES {
        names.remember(number as Millis, &format!("name {number}"));
    }
    assert_eq!((names.oldest_first.len(), names.hashes.len()), (MAX_NAMES, MAX_NAMES));
    let now = 3.0 * MAX_NAMES as Millis;
    assert!(names.contains(now, &format!("name {}", 3 * MAX_NAMES - 1)) && !names.contains(now, "name 0"));
}
