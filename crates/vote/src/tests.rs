use super::*;

#[test]
fn what_was_kept_is_there_and_a_later_log_takes_the_place_of_an_earlier() {
    let at = tempfile::tempdir().unwrap();
    let folder = Folder::open(at.path()).unwrap();
    assert!(folder.read().unwrap().is_none());
    folder.found(b"all").unwrap();
    let log = |from: u64, texts: &[&str]| {
        (from..).zip(texts).map(|(n, text)| (n, text.as_bytes().to_vec())).collect()
    };
    folder.keep(&Work { log: log(1, &["a", "b", "c"]), ..Work::default() }).unwrap();
    folder.keep(&Work { log: log(2, &["x"]), vote: Some(b"v".to_vec()), ..Work::default() }).unwrap();
    // Another process can't have it at the same time.
    assert!(Folder::open(at.path()).is_err());
    drop(folder);
    let (founders, kept) = Folder::open(at.path()).unwrap().read().unwrap().unwrap();
    assert_eq!((founders, kept.vote), (b"all".to_vec(), Some(b"v".to_vec())));
    assert_eq!(kept.log, [b"a".to_vec(), b"x".to_vec()]);
}

#[test]
fn a_torn_file_is_refused() {
    let at = tempfile::tempdir().unwrap();
    Folder::open(at.path()).unwrap().found(b"all").unwrap();
    let file = at.path().join("vote.redb");
    let whole = std::fs::read(&file).unwrap();
    std::fs::write(&file, &whole[..whole.len() / 3]).unwrap();
    let read = Folder::open(at.path()).and_then(|folder| folder.read());
    assert!(read.is_err(), "{:?}", read.is_ok());
}
