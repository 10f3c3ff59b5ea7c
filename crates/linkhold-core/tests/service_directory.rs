//! The directory of instances and the known primaries.

use std::time::{Duration, Instant};

use linkhold_core::service::directory::{Directory, PrimarySource, Recency};
use linkhold_core::service::instance::{Instance, InstanceId, Lifecycle, Role};

const DRAIN: Duration = Duration::from_millis(7_000);

fn instance(id: &str, role: Role, lifecycle: Lifecycle) -> Instance {
    Instance {
        id: InstanceId(id.into()),
        service: "ledger".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".into(),
        capacity: 3,
        lifecycle,
        role,
        warm_up_left: Duration::ZERO,
    }
}

fn ready(id: &str, role: Role) -> Instance {
    instance(id, role, Lifecycle::Ready)
}

fn primary(directory: &Directory) -> Option<String> {
    directory
        .primary("ledger")
        .map(|instance| instance.id.to_string())
}

#[test]
fn an_announced_primary_is_known_until_it_denies_or_another_announces() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.announce(ready("one", Role::Primary), now);
    directory.announce(ready("two", Role::Replica), now);
    assert_eq!(primary(&directory).as_deref(), Some("one"));
    directory.mark_not_primary(&InstanceId("one".into()));
    assert_eq!(primary(&directory), None);
    directory.announce(ready("one", Role::Primary), now);
    assert_eq!(
        primary(&directory),
        None,
        "a repeated announcement changes nothing"
    );
    directory.announce(ready("two", Role::Primary), now);
    assert_eq!(primary(&directory).as_deref(), Some("two"));
}

#[test]
fn a_denial_is_forgotten_when_the_instance_is_promoted_again() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.announce(ready("one", Role::Primary), now);
    let one = InstanceId("one".into());
    directory.mark_not_primary(&one);
    directory.announce(ready("one", Role::Replica), now);
    directory.announce(ready("one", Role::Primary), now);
    assert_eq!(primary(&directory).as_deref(), Some("one"));
    directory.mark_not_primary(&one);
    directory.confirm_primary(&one, PrimarySource::Promoted);
    assert_eq!(primary(&directory).as_deref(), Some("one"));
}

#[test]
fn an_absence_while_the_directory_was_unreadable_does_not_count_yet() {
    let start = Instant::now();
    let mut directory = Directory::default();
    directory.announce(ready("one", Role::Replica), start);
    let one = InstanceId("one".into());
    directory.record_read_failure();
    directory.mark_missing(&one, start + Duration::from_millis(100));
    let long_after = start + Duration::from_secs(60);
    assert!(!directory.is_leaving(&one, long_after), "it is not back");
    directory.record_read(long_after);
    let soon = long_after + Directory::SETTLING_TIME - Duration::from_millis(1);
    assert!(!directory.is_leaving(&one, soon));
    let later = long_after + Directory::SETTLING_TIME + Duration::from_millis(1);
    assert!(directory.is_leaving(&one, later));
    directory.announce(ready("one", Role::Replica), later);
    assert!(!directory.is_leaving(&one, later));
}

/// Expired entries are back within about two seconds of the directory's return; an
/// instance that is still missing after that is gone.
#[test]
fn what_is_missing_two_seconds_and_a_half_after_the_return_is_gone() {
    let start = Instant::now();
    let mut directory = Directory::default();
    let both = vec![ready("one", Role::Primary), ready("two", Role::Replica)];
    directory.replace(both, Recency::Current, start);
    directory.record_read_failure();
    let back = start + Duration::from_secs(5);
    directory.replace(Vec::new(), Recency::Current, back);
    let [one, two] = ["one", "two"].map(|name| InstanceId(name.into()));
    let on_time = back + Duration::from_millis(2_000);
    assert!(!directory.is_leaving(&one, on_time));
    directory.announce(ready("one", Role::Primary), on_time);
    let late = back + Duration::from_millis(2_501);
    assert!(!directory.is_leaving(&one, late));
    assert!(directory.is_leaving(&two, late));
    assert_eq!(directory.count_absent(late), 1);
}

/// A reader reports no absence to its followers that it does not count itself.
#[test]
fn an_entry_is_reported_as_listed_until_its_absence_counts() {
    let start = Instant::now();
    let mut directory = Directory::default();
    directory.replace(vec![ready("one", Role::Primary)], Recency::Current, start);
    directory.record_read_failure();
    directory.replace(Vec::new(), Recency::Current, start);
    assert!(directory.all(start + Directory::SETTLING_TIME / 2)[0].1);
    assert!(!directory.all(start + Directory::SETTLING_TIME * 2)[0].1);
}

#[test]
fn a_missing_instance_is_removed_after_its_drain_time_only() {
    let start = Instant::now();
    let mut directory = Directory::default();
    directory.replace(vec![ready("one", Role::Primary)], Recency::Current, start);
    let start = start + Directory::SETTLING_TIME;
    let one = InstanceId("one".into());
    directory.mark_missing(&one, start);
    assert!(directory.expire(start + DRAIN, DRAIN).is_empty());
    let late = start + DRAIN + Duration::from_millis(1);
    assert_eq!(directory.expire(late, DRAIN), vec![one]);
    assert_eq!(primary(&directory), None);
}

#[test]
fn draining_counts_from_its_first_announcement() {
    let start = Instant::now();
    let mut directory = Directory::default();
    let one = InstanceId("one".into());
    let leaving = instance("one", Role::Replica, Lifecycle::Draining);
    directory.announce(ready("one", Role::Replica), start);
    assert_eq!(directory.leaving_for(&one, start), None);
    directory.announce(leaving.clone(), start);
    let later = start + Duration::from_secs(2);
    directory.announce(leaving, later);
    assert_eq!(
        directory.leaving_for(&one, later),
        Some(Duration::from_secs(2))
    );
}

#[test]
fn a_complete_list_marks_other_instances_as_missing() {
    let start = Instant::now();
    let mut directory = Directory::default();
    directory.announce(ready("one", Role::Primary), start);
    directory.announce(ready("two", Role::Replica), start);
    directory.record_read(start);
    let start = start + Directory::SETTLING_TIME;
    directory.replace(vec![ready("two", Role::Replica)], Recency::Current, start);
    let later = start + Duration::from_millis(1);
    assert!(directory.is_leaving(&InstanceId("one".into()), later));
    assert!(!directory.is_leaving(&InstanceId("two".into()), later));
}

#[test]
fn an_instance_first_seen_draining_may_have_drained_for_long() {
    let start = Instant::now();
    let mut directory = Directory::default();
    let one = InstanceId("one".into());
    let leaving = instance("one", Role::Replica, Lifecycle::Draining);
    directory.replace(vec![leaving], Recency::Current, start);
    assert_eq!(directory.leaving_for(&one, start), Some(Duration::MAX));
}

#[test]
fn what_is_not_listed_may_be_there_until_the_directory_has_settled() {
    let start = Instant::now();
    let mut directory = Directory::default();
    assert!(!directory.is_settled(start + Duration::from_secs(60)));
    directory.replace(vec![ready("two", Role::Replica)], Recency::Current, start);
    assert!(!directory.is_settled(start + Directory::SETTLING_TIME));
    let settled_at = start + Directory::SETTLING_TIME + Duration::from_millis(1);
    assert!(directory.is_settled(settled_at));
    directory.record_read_failure();
    assert!(!directory.is_settled(settled_at + Directory::SETTLING_TIME * 2));
    directory.record_read(settled_at);
    assert!(!directory.is_settled(settled_at + Directory::SETTLING_TIME));
}

/// An instance that is cut off from the store loses its entry and goes on receiving
/// commits.
#[test]
fn an_instance_that_is_not_listed_any_more_may_still_hold_commits() {
    let start = Instant::now();
    let mut directory = Directory::default();
    let instances = ["one", "two", "three"].map(|name| ready(name, Role::Replica));
    directory.replace(instances.to_vec(), Recency::Current, start);
    let settled = start + Directory::SETTLING_TIME;
    directory.mark_missing(&InstanceId("two".into()), settled);
    let forgotten_at = settled + DRAIN + Duration::from_millis(1);
    assert_eq!(directory.expire(forgotten_at, DRAIN).len(), 1);
    assert_eq!(directory.count_log_holders("ledger", forgotten_at), 3);
    let much_later = forgotten_at + Duration::from_secs(3_600);
    assert_eq!(directory.count_log_holders("ledger", much_later), 2);
}

/// A new instance has the log of the one that it replaces. While both are known, either
/// may hold commits that the other lacks.
#[test]
fn an_instance_that_takes_the_place_of_another_does_not_count_twice() {
    let start = Instant::now();
    let mut directory = Directory::default();
    let instances = ["one", "two", "three"].map(|name| ready(name, Role::Replica));
    directory.replace(instances.to_vec(), Recency::Current, start);
    let settled = start + Directory::SETTLING_TIME;
    directory.announce(instance("two", Role::Replica, Lifecycle::Draining), settled);
    directory.announce(ready("four", Role::Replica), settled);
    assert_eq!(directory.count_log_holders("ledger", settled), 4);
    directory.mark_missing(&InstanceId("two".into()), settled + DRAIN);
    let forgotten_at = settled + DRAIN * 2 + Duration::from_millis(1);
    assert_eq!(directory.expire(forgotten_at, DRAIN).len(), 1);
    assert_eq!(directory.count_log_holders("ledger", forgotten_at), 3);
}
