use super::*;

#[test]
fn it_drains_only_on_a_grant_of_what_it_still_asks() {
    let mut permit_client = PermitClient::default();
    permit_client.request_permit(1);
    assert_eq!(
        permit_client.due(1_000, "n", 5),
        [Entry::Ask { request: 1, node: "n".into(), incarnation: 5 }]
    );
    assert!(permit_client.due(1_010, "n", 5).is_empty());
    assert!(!permit_client.answered(1, Answer::Waiting("full".into()), 5));
    assert_eq!(permit_client.status_text().unwrap(), "waiting: full");
    // Withdrawn; the grant comes late, and doubled.
    permit_client.release();
    assert!(!permit_client.answered(1, Answer::Granted { fence: 7, incarnation: 5 }, 5));
    assert_eq!(permit_client.due(2_000, "n", 5), [Entry::Back(1)]);
    permit_client.request_permit(2);
    assert!(!permit_client.answered(1, Answer::Granted { fence: 7, incarnation: 5 }, 5));
    assert!(!permit_client.answered(1, Answer::Over, 5));
    assert!(permit_client.answered(2, Answer::Granted { fence: 9, incarnation: 5 }, 5));
    assert!(!permit_client.answered(2, Answer::Granted { fence: 9, incarnation: 5 }, 5));
    assert_eq!((permit_client.fence(), permit_client.due(3_000, "n", 5)), (Some(9), vec![]));
}

#[test]
fn a_grant_to_an_earlier_coming_is_none() {
    let mut permit_client = PermitClient::default();
    permit_client.request_permit(1);
    assert!(!permit_client.answered(1, Answer::Granted { fence: 7, incarnation: 5 }, 6));
    // That one is over, and it asks anew.
    assert!(!permit_client.answered(1, Answer::Over, 6));
    assert_eq!(
        permit_client.due(1_000, "n", 6),
        [Entry::Ask { request: 2, node: "n".into(), incarnation: 6 }]
    );
    assert!(permit_client.answered(2, Answer::Granted { fence: 8, incarnation: 6 }, 6));
}
