use super::*;

#[test]
fn all_voters_bootstrap_together_and_one_that_lost_its_folder_does_not_vote() {
    let voters: Vec<String> = ["a", "b", "c"].map(str::to_owned).into();
    let mut a = Bootstrap::new("a", &voters, 1);
    let mut b = Bootstrap::new("b", &voters, 2);
    let c = Bootstrap::new("c", &voters, 3);
    assert_eq!(a.on_state("b", b.state()), BootstrapOutcome::Wait);
    assert_eq!(a.on_state("stranger", BootstrapState::Empty(9)), BootstrapOutcome::Wait);
    let BootstrapOutcome::Complete(founders) = a.on_state("c", c.state()) else { panic!("waits") };
    assert_eq!(founders.len(), 3);
    // b has not heard from all voters, but bootstraps with a, which has.
    assert_eq!(
        b.on_state("a", BootstrapState::Done(founders.clone())),
        BootstrapOutcome::Complete(founders.clone())
    );
    // b restarts with an empty folder: it may have voted before.
    let mut again = Bootstrap::new("b", &voters, 4);
    assert_eq!(again.on_state("a", BootstrapState::Done(founders)), BootstrapOutcome::FolderLost);
}
