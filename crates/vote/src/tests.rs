use super::*;

#[test]
fn what_was_kept_is_there_and_a_later_log_takes_the_place_of_an_earlier() {
    let at = tempfile::tempdir().unwrap();
    let folder = VoterStore::open(at.path()).unwrap();
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
    // Another process can't have it at the same time.
    assert!(VoterStore::open(at.path()).is_err());
    drop(folder);
    let (founders, persisted) = VoterStore::open(at.path()).unwrap().read().unwrap().unwrap();
    assert_eq!((founders, persisted.hard_state), (b"all".to_vec(), Some(b"v".to_vec())));
    assert_eq!(persisted.log, [b"a".to_vec(), b"x".to_vec()]);
}

#[test]
fn a_torn_file_is_refused() {
    let at = tempfile::tempdir().unwrap();
    VoterStore::open(at.path()).unwrap().persist_founders(b"all").unwrap();
    let file = at.path().join("vote.redb");
    let whole = std::fs::read(&file).unwrap();
    std::fs::write(&file, &whole[..whole.len() / 3]).unwrap();
    let read = VoterStore::open(at.path()).and_then(|folder| folder.read());
    assert!(read.is_err(), "{:?}", read.is_ok());
}
