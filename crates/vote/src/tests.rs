use super::*;

#[test]
fn written_state_is_read_back_and_a_later_log_replaces_the_earlier_from_its_first_index() {
    let directory = tempfile::tempdir().unwrap();
    let folder = VoterStore::open(directory.path()).unwrap();
    assert!(folder.read().unwrap().is_none());
    folder.persist_founders(b"all").unwrap();
    let log = |from: u64, texts: &[&str]| {
        (from..).zip(texts).map(|(n, text)| (n, text.as_bytes().to_vec())).collect()
    };
    folder.persist(&PendingWrite { log: log(1, &["a", "b", "c"]), ..PendingWrite::default() }).unwrap();
    folder
        .persist(&PendingWrite {
            log: log(2, &["x"]),
            hard_state: Some(b"v".to_vec()),
            ..PendingWrite::default()
        })
        .unwrap();
    // Nobody else can open the folder at the same time.
    assert!(VoterStore::open(directory.path()).is_err());
    drop(folder);
    let (founders, persisted) = VoterStore::open(directory.path()).unwrap().read().unwrap().unwrap();
    assert_eq!((founders, persisted.hard_state), (b"all".to_vec(), Some(b"v".to_vec())));
    assert_eq!(persisted.log, [b"a".to_vec(), b"x".to_vec()]);
}

#[test]
fn a_truncated_database_is_refused() {
    let directory = tempfile::tempdir().unwrap();
    VoterStore::open(directory.path()).unwrap().persist_founders(b"all").unwrap();
    let path = directory.path().join("vote.redb");
    let whole = std::fs::read(&path).unwrap();
    std::fs::write(&path, &whole[..whole.len() / 3]).unwrap();
    let result = VoterStore::open(directory.path()).and_then(|folder| folder.read());
    assert!(result.is_err(), "{:?}", result.is_ok());
}
