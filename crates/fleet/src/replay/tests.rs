use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn each_number_passes_once(numbers in prop::collection::vec(1u64..400, 1..400)) {
        let mut window = Window::default();
        let mut passed = std::collections::BTreeSet::new();
        let mut top = 0;
        for number in numbers {
            let taken = window.take(number);
            if taken {
                prop_assert!(passed.insert(number));
            } else {
                prop_assert!(passed.contains(&number) || top - number >= WIDTH);
            }
            top = top.max(number);
        }
    }
}
