use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn each_sequence_number_is_accepted_once(sequences in prop::collection::vec(1u64..400, 1..400)) {
        let mut window = Window::default();
        let mut accepted = std::collections::BTreeSet::new();
        let mut highest = 0;
        for sequence in sequences {
            let is_new = window.accept(sequence);
            if is_new {
                prop_assert!(accepted.insert(sequence));
            } else {
                prop_assert!(accepted.contains(&sequence) || highest - sequence >= WINDOW_SIZE);
            }
            highest = highest.max(sequence);
        }
    }
}
