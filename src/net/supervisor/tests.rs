use super::*;
use std::cell::{Cell, RefCell};

/// Guards against a panic that ends more than the future in which it happens.
#[tokio::test]
async fn a_panic_is_caught_and_other_results_pass() {
    assert_eq!(catch_panic(async { 7 }).await, Ok(7));
    let panics = async {
        tokio::task::yield_now().await;
        assert!(std::hint::black_box(false), "a panic of the test");
    };
    assert_eq!(catch_panic(panics).await, Err(Panicked));
}

/// Guards against a part that ends by a panic while the process goes on (review case 1: no timer fired any
/// more): it is started again, reported, and reported to work once it lasts.
#[tokio::test(start_paused = true)]
async fn a_part_that_panics_is_started_again_until_it_lasts() {
    let began = tokio::time::Instant::now();
    let (starts, reports) = (Cell::new(0), RefCell::new(Vec::new()));
    let part = || {
        starts.set(starts.get() + 1);
        let panics = starts.get() <= 3;
        async move {
            tokio::task::yield_now().await;
            assert!(!panics, "a panic of the test");
            sleep(Duration::from_secs(60)).await;
        }
    };
    let now = || began.elapsed().as_secs_f64() * 1_000.0;
    supervise(part, now, |report| reports.borrow_mut().push(report)).await;
    let failed = |delay_ms, keeps_failing| Report::Failed(Restart { delay_ms, keeps_failing });
    assert_eq!(starts.get(), 4);
    assert_eq!(
        *reports.borrow(),
        [failed(0.0, false), failed(100.0, false), failed(100.0, true), Report::Works]
    );
}

/// Guards against memory that each client costs twice more: held by value, a session's future stood once as an
/// argument and once pinned, beside itself.
#[test]
fn a_guarded_future_takes_no_room_beside_its_own() {
    let large = async {
        let bytes = std::hint::black_box([0u8; 4 * 1024]);
        tokio::task::yield_now().await;
        std::hint::black_box(bytes);
    };
    assert!(size_of_val(&large) >= 4 * 1024);
    let guarded = catch_panic(large);
    assert!(size_of_val(&guarded) <= 64, "{} bytes", size_of_val(&guarded));
}
