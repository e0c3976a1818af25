use super::*;

#[test]
fn a_node_does_not_vote_with_the_folder_of_another_or_of_other_voters() {
    let voters: Vec<String> = ["a", "b", "c"].map(str::to_owned).into();
    let open = |owner: &str, founder_names: [&str; 3]| {
        let quiet = slog::Logger::root(slog::Discard, slog::o!());
        let mut participant = Participant::new("a", &voters, 1, quiet);
        let founders: Founders = founder_names.map(|name| (name.to_owned(), 1)).into();
        participant.folder_opened(Some((
            postcard::to_stdvec(&(owner, founders)).unwrap(),
            PersistedState::default(),
        )));
        (participant.voter().is_some(), participant.not_voting_reason().map(str::to_owned))
    };
    assert_eq!(open("a", ["a", "b", "c"]), (true, None));
    assert_eq!(open("b", ["a", "b", "c"]), (false, Some("the folder is b's".into())));
    let (votes, why) = open("a", ["a", "b", "d"]);
    assert!(!votes && why.unwrap().contains("a, b, d"));
}
