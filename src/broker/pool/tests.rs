use super::*;

fn list(seq: u64, whole: bool, names: &[&str]) -> PoolList {
    let member = |name: &&str| Member {
        name: (*name).into(),
        dial: "127.0.0.1:9".into(),
        zone: 0,
        cell: 0,
        phase: Phase::Serving,
        weight: 1.0,
        born: None,
    };
    PoolList { seq, whole, members: names.iter().map(member).collect() }
}

fn take(pool: &mut Pool, list: PoolList) -> Result<(), ListError> {
    pool.fits(&list)?;
    let whole = list.whole;
    pool.merge(list, whole);
    Ok(())
}

#[test]
fn an_empty_or_older_list_leaves_the_last_good_one() {
    let mut pool = Pool::default();
    assert_eq!(take(&mut pool, list(0, true, &[])), Ok(()), "nobody is known yet");
    take(&mut pool, list(41, true, &["a", "b"])).unwrap();
    assert_eq!(take(&mut pool, list(42, true, &[])), Err(ListError::Empty));
    let older = |seq| Err(ListError::Older { seq, at_hand: 41 });
    assert_eq!(take(&mut pool, list(40, true, &["a"])), older(40));
    assert_eq!(take(&mut pool, list(40, false, &["c"])), older(40));
    assert_eq!((pool.members().count(), pool.seq), (2, 41));
    take(&mut pool, list(41, false, &[])).unwrap();
    take(&mut pool, list(43, false, &["c"])).unwrap();
    assert_eq!((pool.members().count(), pool.seq), (3, 43));
}

#[test]
fn a_discovery_that_counts_anew_is_believed_when_it_says_so_again() {
    let mut pool = Pool::default();
    take(&mut pool, list(41, true, &["a", "b"])).unwrap();
    assert!(take(&mut pool, list(2, false, &["c"])).is_err());
    assert!(take(&mut pool, list(2, true, &["c"])).is_err());
    assert!(take(&mut pool, list(2, false, &["c"])).is_err(), "changes alone don't make a list");
    take(&mut pool, list(2, true, &["c"])).unwrap();
    assert_eq!((pool.members().count(), pool.seq), (1, 2));
    // Another discovery is believed at once, and only then.
    pool.refresh();
    take(&mut pool, list(1, true, &["d"])).unwrap();
    assert!(take(&mut pool, list(0, true, &["a"])).is_err());
}
