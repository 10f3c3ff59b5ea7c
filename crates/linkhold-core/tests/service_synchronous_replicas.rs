//! The number of synchronous replicas across changes of the configuration.

use std::time::{Duration, Instant};

use linkhold_core::service::synchronous_replicas::SynchronousReplicas;

/// A commit that one replica had to receive is not in two logs once the setting is two.
#[test]
fn a_commit_of_a_lower_setting_is_not_taken_for_one_of_the_present() {
    let start = Instant::now();
    let mut settings = SynchronousReplicas::default();
    settings.record(1, start);
    assert_eq!(settings.guaranteed(start), 1);
    settings.record(2, start);
    assert_eq!(settings.guaranteed(start), 1);
    let caught_up = start + Duration::from_secs(61);
    assert_eq!(settings.guaranteed(caught_up), 2);
    settings.record(1, caught_up);
    assert_eq!(
        settings.guaranteed(caught_up),
        1,
        "a lower one counts at once"
    );
}

/// Commits from before the first synchronous replica may be on the primary alone.
#[test]
fn no_number_of_replicas_is_a_proof_right_after_the_first_is_required() {
    let start = Instant::now();
    let mut settings = SynchronousReplicas::default();
    assert!(!settings.forbids_loss());
    settings.record(0, start);
    assert!(!settings.forbids_loss());
    settings.record(1, start);
    assert!(settings.forbids_loss());
    assert_eq!(settings.guaranteed(start), 0);
    settings.record(0, start);
    assert!(!settings.forbids_loss(), "operators may give up commits");
}
