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

fn apply(pool: &mut Pool, list: PoolList) -> Result<(), ListError> {
    pool.check(&list)?;
    let whole = list.whole;
    pool.merge(list, whole);
    Ok(())
}

#[test]
fn an_empty_or_older_list_is_rejected() {
    let mut pool = Pool::default();
    assert_eq!(apply(&mut pool, list(0, true, &[])), Ok(()), "no member is known yet");
    apply(&mut pool, list(41, true, &["a", "b"])).unwrap();
    assert_eq!(apply(&mut pool, list(42, true, &[])), Err(ListError::Empty));
    let older = |seq| Err(ListError::Older { seq, current: 41 });
    assert_eq!(apply(&mut pool, list(40, true, &["a"])), older(40));
    assert_eq!(apply(&mut pool, list(40, false, &["c"])), older(40));
    assert_eq!((pool.members().count(), pool.seq), (2, 41));
    apply(&mut pool, list(41, false, &[])).unwrap();
    apply(&mut pool, list(43, false, &["c"])).unwrap();
    assert_eq!((pool.members().count(), pool.seq), (3, 43));
}

#[test]
fn an_older_complete_list_is_accepted_after_several_in_a_row() {
    let mut pool = Pool::default();
    apply(&mut pool, list(41, true, &["a", "b"])).unwrap();
    assert!(apply(&mut pool, list(2, false, &["c"])).is_err());
    assert!(apply(&mut pool, list(2, true, &["c"])).is_err());
    assert!(apply(&mut pool, list(2, false, &["c"])).is_err(), "a patch does not replace the list");
    apply(&mut pool, list(2, true, &["c"])).unwrap();
    assert_eq!((pool.members().count(), pool.seq), (1, 2));
    // Another discovery service is accepted at once, but only for its first list.
    pool.reset_numbering();
    apply(&mut pool, list(1, true, &["d"])).unwrap();
    assert!(apply(&mut pool, list(0, true, &["a"])).is_err());
}

/// Guards against a draining or removed member that comes back by the older list of a replica that runs behind,
/// after SIGHUP has named its address (review case 8).
#[test]
fn an_older_list_does_not_bring_back_a_withdrawn_member() {
    let with = |seq, whole, phase, born| {
        let mut list = list(seq, whole, &["a", "b"]);
        (list.members[0].phase, list.members[0].born) = (phase, born);
        list
    };
    let a = BackendId(name_hash("a"));
    for withdrawn in [Phase::Draining, Phase::Gone] {
        let mut pool = Pool::default();
        apply(&mut pool, with(44, true, Phase::Serving, Some(7.0))).unwrap();
        apply(&mut pool, with(45, false, withdrawn, Some(7.0))).unwrap();
        pool.reset_numbering();
        for seq in [43, 44] {
            apply(&mut pool, with(seq, true, Phase::Serving, Some(7.0))).unwrap();
            assert!(!pool.serving(a) && pool.serving(BackendId(name_hash("b"))), "version {seq}");
        }
        apply(&mut pool, with(45, true, withdrawn, Some(7.0))).unwrap();
        apply(&mut pool, with(46, false, Phase::Serving, Some(7.0))).unwrap();
        assert!(pool.serving(a), "a later version counts");
        apply(&mut pool, with(47, false, withdrawn, Some(7.0))).unwrap();
        pool.reset_numbering();
        apply(&mut pool, with(1, true, Phase::Serving, Some(9.0))).unwrap();
        assert!(pool.serving(a), "a member that has been started again counts");
    }
    // A member that an older complete list doesn't name is gone, and known as such.
    let mut pool = Pool::default();
    apply(&mut pool, with(44, true, Phase::Serving, None)).unwrap();
    apply(&mut pool, list(45, true, &["b"])).unwrap();
    pool.reset_numbering();
    apply(&mut pool, with(44, true, Phase::Serving, None)).unwrap();
    assert!(!pool.listed(a));
}

/// Guards against memory that grows with the members that come and go.
#[test]
fn the_number_of_remembered_withdrawals_is_bounded() {
    let mut pool = Pool::default();
    for seq in 1..=5_000 {
        apply(&mut pool, list(seq, true, &[&format!("member {seq}")])).unwrap();
    }
    assert_eq!(pool.withdrawn.len(), MAX_WITHDRAWN);
}
