use super::*;

/// Guards against a sum over all streams that grows beyond its limit, or that is not given back.
#[test]
fn streams_share_what_they_hold_beyond_their_own() {
    let budget = BufferBudget::default();
    let mut shares: Vec<Share> = (0..100).map(|_| budget.share()).collect();
    assert!(shares.iter_mut().all(|share| share.set(OWN_BYTES)));
    let each = OWN_BYTES + SHARED_BYTES / 100;
    assert!(shares.iter_mut().all(|share| share.set(each)));
    assert!(!shares[0].set(each + 1_000), "the budget is used up");
    assert!(shares[0].set(each + 500), "a stream that holds less than before may go on");
    assert!(shares[1].set(0) && shares[2].set(each + 1_000));
    drop(shares);
    assert_eq!(budget.used.get(), 0);
}
