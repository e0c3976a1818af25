use super::*;

#[test]
fn a_folder_of_another_or_of_other_voters_does_not_vote() {
    let voters: Vec<String> = ["a", "b", "c"].map(str::to_owned).into();
    let folder_opened = |whose: &str, by: [&str; 3]| {
        let quiet = slog::Logger::root(slog::Discard, slog::o!());
        let mut participant = Participant::new("a", &voters, 1, quiet);
        let founders: Founders = by.map(|name| (name.to_owned(), 1)).into();
        participant.folder_opened(Some((
            postcard::to_stdvec(&(whose, founders)).unwrap(),
            PersistedState::default(),
        )));
        (participant.voter().is_some(), participant.not_voting_reason().map(str::to_owned))
    };
    assert_eq!(folder_opened("a", ["a", "b", "c"]), (true, None));
    assert_eq!(folder_opened("b", ["a", "b", "c"]), (false, Some("the folder is b's".into())));
    let (votes, why) = folder_opened("a", ["a", "b", "d"]);
    assert!(!votes && why.unwrap().contains("a, b, d"));
}
