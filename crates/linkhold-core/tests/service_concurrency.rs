//! How many statements a node may have in flight at an instance.

use std::time::{Duration, Instant};

use linkhold_core::service::concurrency::ConcurrencyLimit;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[test]
fn the_limit_starts_at_twice_what_the_instance_runs_at_once() {
    assert_eq!(ConcurrencyLimit::new(3, 40).get(), 6);
    assert_eq!(
        ConcurrencyLimit::new(3, 4).get(),
        4,
        "no more than connections"
    );
    assert_eq!(
        ConcurrencyLimit::new(0, 40).get(),
        2,
        "no capacity is announced"
    );
}

#[test]
fn refusals_lower_it_once_for_each_moment_and_answers_raise_it_slowly() {
    let now = Instant::now();
    let mut limit = ConcurrencyLimit::new(5, 40);
    limit.record_refusal(now);
    let lowered = limit.get();
    assert!((5..10).contains(&lowered), "{lowered}");
    limit.record_refusal(now + Duration::from_millis(10));
    assert_eq!(limit.get(), lowered);
    limit.record_refusal(now + Duration::from_millis(200));
    assert!(limit.get() < lowered);
    let low = limit.get();
    for _ in 0..low {
        limit.record_answer_under_load();
    }
    assert!(limit.get() <= low + 1);
    for _ in 0..low * 8 {
        limit.record_answer_under_load();
    }
    assert!(limit.get() > low + 1);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(17),
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_limit_stays_between_one_and_the_connections(
        capacity in 0_usize..50,
        connections in 0_usize..50,
        events in prop::collection::vec(any::<bool>(), 0..300),
    ) {
        let mut now = Instant::now();
        let mut limit = ConcurrencyLimit::new(capacity, connections);
        for is_refused in events {
            now += Duration::from_millis(60);
            if is_refused {
                limit.record_refusal(now);
            } else {
                limit.record_answer_under_load();
            }
            prop_assert!(limit.get() >= 1);
            prop_assert!(limit.get() <= connections.max(1));
        }
    }
}
