use super::*;

#[test]
fn written_state_is_read_back_and_a_later_log_replaces_the_earlier_from_its_first_index() {
    let directory = tempfile::tempdir().unwrap();
    let folder = Folder::open(directory.path()).unwrap();
    assert!(folder.read().unwrap().is_none());
    folder.found(b"all").unwrap();
    let log = |from: u64, texts: &[&str]| {
        (from..).zip(texts).map(|(n, text)| (n, text.as_bytes().to_vec())).collect()
    };
    folder.keep(&Work { log: log(1, &["a", "b", "c"]), ..Work::default() }).unwrap();
    folder.keep(&Work { log: log(2, &["x"]), vote: Some(b"v".to_vec()), ..Work::default() }).unwrap();
    // Nobody else can open the folder at the same time.
    assert!(Folder::open(directory.path()).is_err());
    drop(folder);
    let (founders, kept) = Folder::open(directory.path()).unwrap().read().unwrap().unwrap();
    assert_eq!((founders, kept.vote), (b"all".to_vec(), Some(b"v".to_vec())));
    assert_eq!(kept.log, [b"a".to_vec(), b"x".to_vec()]);
}

#[test]
fn a_truncated_database_is_refused() {
    let directory = tempfile::tempdir().unwrap();
    Folder::open(directory.path()).unwrap().found(b"all").unwrap();
    let path = directory.path().join("vote.redb");
    let whole = std::fs::read(&path).unwrap();
    std::fs::write(&path, &whole[..whole.len() / 3]).unwrap();
    let result = Folder::open(directory.path()).and_then(|folder| folder.read());
    assert!(result.is_err(), "{:?}", result.is_ok());
}
