use super::*;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    /// However a member's bytes are cut: the client gets a prefix of them, all of it up to the last line end,
    /// and what is held back is bounded in bytes.
    #[test]
    fn bytes_are_relayed_unchanged_and_whole_lines_at_once(
        parts in prop::collection::vec((0usize..900, any::<bool>(), 0usize..900), 0..12),
        releases in prop::collection::vec(any::<bool>(), 12),
    ) {
        let (mut framer, mut sent, mut received) = (LineFramer::default(), Vec::new(), Vec::new());
        for ((before, has_end, after), is_released) in parts.into_iter().zip(releases) {
            let part = [vec![b'a'; before], vec![b'\n'; usize::from(has_end)], vec![b'b'; after]].concat();
            received.extend_from_slice(&part);
            framer.take(&part, &mut sent);
            if is_released {
                framer.release(&mut sent);
            }
            let whole = received.iter().rposition(|byte| *byte == b'\n').map_or(0, |end| end + 1);
            prop_assert!(received.starts_with(&sent) && sent.len() >= whole);
            prop_assert_eq!(framer.is_between_lines(), sent.last().is_none_or(|byte| *byte == b'\n'));
            prop_assert_eq!(framer.is_line_complete(), whole == received.len());
            prop_assert!(received.len() - sent.len() <= MAX_LINE_BYTES);
        }
    }
}

/// Guards against a line without an end that is held without bound, and against a `MOVE` within one that was too
/// long to be held.
#[test]
fn a_line_that_is_too_long_to_be_held_is_relayed_in_parts() {
    let (mut framer, mut sent) = (LineFramer::default(), Vec::new());
    for _ in 0..5 {
        framer.take(&[b'x'; 1_000], &mut sent);
    }
    assert_eq!((sent.len(), framer.is_between_lines()), (5_000, false));
    framer.take(b"end\nne", &mut sent);
    assert!(sent.ends_with(b"xend\n") && framer.is_between_lines() && !framer.is_line_complete());
    framer.discard();
    assert!(framer.is_line_complete());
}
