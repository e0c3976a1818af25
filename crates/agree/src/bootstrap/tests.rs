use super::*;

#[test]
fn all_found_together_and_a_lost_folder_does_not_vote() {
    let voters: Vec<String> = ["a", "b", "c"].map(str::to_owned).into();
    let mut a = Founding::new("a", &voters, 1);
    let mut b = Founding::new("b", &voters, 2);
    let c = Founding::new("c", &voters, 3);
    assert_eq!(a.heard("b", b.hail()), Outcome::Waits);
    assert_eq!(a.heard("stranger", Hail::Empty(9)), Outcome::Waits);
    let Outcome::Founds(founders) = a.heard("c", c.hail()) else { panic!("waits") };
    assert_eq!(founders.len(), 3);
    // One that has not heard all founds with one that has.
    assert_eq!(b.heard("a", Hail::Founded(founders.clone())), Outcome::Founds(founders.clone()));
    // Started again with nothing: it may have voted.
    let mut again = Founding::new("b", &voters, 4);
    assert_eq!(again.heard("a", Hail::Founded(founders)), Outcome::Lost);
}
