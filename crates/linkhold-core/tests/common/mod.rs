//! Runs properties with their rules switched off.

use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

/// Whether one of a number of values, the same in each run, breaks a property.
pub fn is_broken<S: Strategy>(cases: u32, values: &S, holds: impl Fn(S::Value) -> bool) -> bool {
    let config = ProptestConfig {
        cases,
        max_shrink_iters: 0,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(values, |value| {
        prop_assert!(holds(value));
        Ok(())
    });
    result.is_err()
}
