use super::*;

#[test]
fn a_folder_of_another_or_of_other_voters_does_not_vote() {
    let voters: Vec<String> = ["a", "b", "c"].map(str::to_owned).into();
    let opened = |whose: &str, by: [&str; 3]| {
        let quiet = slog::Logger::root(slog::Discard, slog::o!());
        let mut part = Part::new("a", &voters, 1, quiet);
        let founders: Founders = by.map(|name| (name.to_owned(), 1)).into();
        part.opened(Some((postcard::to_stdvec(&(whose, founders)).unwrap(), Kept::default())));
        (part.voter().is_some(), part.silent().map(str::to_owned))
    };
    assert_eq!(opened("a", ["a", "b", "c"]), (true, None));
    assert_eq!(opened("b", ["a", "b", "c"]), (false, Some("the folder is b's".into())));
    let (votes, why) = opened("a", ["a", "b", "d"]);
    assert!(!votes && why.unwrap().contains("a, b, d"));
}
