//! Instances that start again under their names: what was known of one life does not hold
//! for the next.

use std::time::{Duration, Instant};

use linkhold_core::service::directory::{Directory, PrimarySource, Recency};
use linkhold_core::service::instance::{Instance, InstanceId, Lifecycle, Role};
use proptest::prelude::*;

const DRAIN: Duration = Duration::from_millis(7_000);

fn life(name: &str, born: u64, role: Role) -> Instance {
    Instance {
        id: InstanceId::of_incarnation(name, Some(born)),
        service: "ledger".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".into(),
        capacity: 3,
        lifecycle: Lifecycle::Ready,
        role,
        warm_up_left: Duration::ZERO,
    }
}

fn primary(directory: &Directory) -> Option<String> {
    let primary = directory.primary("ledger");
    primary.map(|instance| instance.id.to_string())
}

#[test]
fn a_primary_that_starts_again_is_not_believed_for_saying_that_it_leads() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.announce(life("one", 7, Role::Primary), now);
    directory.announce(life("two", 7, Role::Replica), now);
    assert_eq!(primary(&directory).as_deref(), Some("one@7"));
    directory.announce(life("one", 9, Role::Primary), now);
    assert_eq!(primary(&directory), None);
    let names: Vec<&str> = directory
        .instances("ledger")
        .map(|it| it.id.name())
        .collect();
    assert_eq!(names, ["one", "two"]);
    // It was asked, and holds what was acknowledged after all.
    let one = InstanceId::of_incarnation("one", Some(9));
    directory.confirm_primary(&one, PrimarySource::Asked);
    assert_eq!(primary(&directory).as_deref(), Some("one@9"));
}

#[test]
fn a_life_that_has_ended_is_forgotten_at_once() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.announce(life("one", 7, Role::Replica), now);
    directory.announce(life("one", 9, Role::Replica), now);
    let ended = InstanceId::of_incarnation("one", Some(7));
    assert!(directory.instance(&ended).is_none());
    assert_eq!(directory.expire(now, DRAIN), [ended]);
    assert_eq!(directory.expire(now, DRAIN), []);
}

/// A clock that was set back gives a later life an earlier birth.
#[test]
fn which_life_is_there_does_not_depend_on_clocks() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.announce(life("one", 9, Role::Replica), now);
    directory.announce(life("one", 7, Role::Replica), now);
    let later = InstanceId::of_incarnation("one", Some(7));
    assert!(directory.instance(&later).is_some());
}

#[test]
fn a_copy_of_the_list_brings_no_earlier_life_back() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.announce(life("one", 7, Role::Primary), now);
    directory.announce(life("one", 9, Role::Replica), now);
    directory.announce(life("two", 7, Role::Primary), now);
    let copy = vec![life("one", 7, Role::Primary), life("two", 7, Role::Replica)];
    directory.replace(copy, Recency::MayBeOlder, now);
    assert!(
        directory
            .instance(&InstanceId::of_incarnation("one", Some(7)))
            .is_none()
    );
    assert_ne!(primary(&directory).as_deref(), Some("one@7"));
}

/// A copy from before a promotion says that the replaced primary leads.
#[test]
fn a_copy_of_the_list_makes_no_replaced_primary_lead() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.announce(life("one", 7, Role::Replica), now);
    directory.announce(life("two", 7, Role::Primary), now);
    let copy = || vec![life("one", 7, Role::Primary), life("two", 7, Role::Replica)];
    directory.replace(copy(), Recency::MayBeOlder, now);
    assert_ne!(primary(&directory).as_deref(), Some("one@7"));
    // The same list, if it is that of the present, does.
    let mut present = Directory::default();
    present.announce(life("one", 7, Role::Replica), now);
    present.announce(life("two", 7, Role::Primary), now);
    present.replace(copy(), Recency::Current, now);
    assert_eq!(primary(&present).as_deref(), Some("one@7"));
}

#[test]
fn a_copy_of_the_list_takes_back_nobody_who_leaves() {
    let now = Instant::now();
    let mut directory = Directory::default();
    let leaving = Instance {
        lifecycle: Lifecycle::Draining,
        ..life("one", 7, Role::Replica)
    };
    directory.announce(leaving, now);
    let copy = vec![life("one", 7, Role::Replica)];
    directory.replace(copy, Recency::MayBeOlder, now);
    let one = InstanceId::of_incarnation("one", Some(7));
    assert!(directory.is_leaving(&one, now));
}

/// A copy from before an instance told that it is cold; it has written that since.
#[test]
fn a_copy_of_the_list_makes_no_cold_instance_warm() {
    let now = Instant::now();
    let mut directory = Directory::default();
    let cold = Instance {
        warm_up_left: Duration::from_millis(3_000),
        ..life("one", 7, Role::Replica)
    };
    directory.announce(cold, now);
    let copy = vec![life("one", 7, Role::Replica)];
    directory.replace(copy, Recency::MayBeOlder, now);
    let one = InstanceId::of_incarnation("one", Some(7));
    assert!(directory.is_cold(&one, now + Duration::from_millis(2_900)));
    assert!(!directory.is_cold(&one, now + Duration::from_millis(3_000)));
    // The present list tells otherwise.
    directory.announce(life("one", 7, Role::Replica), now);
    assert!(!directory.is_cold(&one, now));
}

/// Entries that lapsed with the directory, or that a copy lacks, are back after a while.
#[test]
fn a_list_is_whole_once_the_directory_was_readable_for_long_enough() {
    let start = Instant::now();
    let mut directory = Directory::default();
    assert!(!directory.is_complete_as_of(start));
    directory.record_read(start);
    assert!(
        !directory.is_complete_as_of(start + Directory::SETTLING_TIME - Duration::from_millis(1))
    );
    assert!(directory.is_complete_as_of(start + Directory::SETTLING_TIME));
    directory.record_read_failure();
    assert!(!directory.is_complete_as_of(start + Directory::SETTLING_TIME));
    directory.record_read(start + Directory::SETTLING_TIME);
    assert!(!directory.is_complete_as_of(start + Directory::SETTLING_TIME));
    assert!(directory.is_complete_as_of(start + Directory::SETTLING_TIME * 2));
}

/// Whether, at some time, an instance is believed to lead that took the place of an earlier
/// life of its name, and has announced nothing but that it leads. `births_tell`: the
/// mechanism, by which an identity is that of one life.
fn believes_a_later_life_at_once(told: &[(usize, u64, bool)], births_tell: bool) -> bool {
    const NAMES: [&str; 3] = ["one", "two", "three"];
    let now = Instant::now();
    let mut directory = Directory::default();
    let mut present = [None; 3];
    let mut former: Vec<(usize, u64)> = Vec::new();
    let mut is_unproved = [false; 3];
    for (name, born, leads) in told {
        let role = if *leads { Role::Primary } else { Role::Replica };
        let identity = if births_tell { *born } else { 0 };
        directory.announce(life(NAMES[*name], identity, role), now);
        if former.contains(&(*name, *born)) {
            continue;
        }
        if let Some(before) = present[*name].replace(*born).filter(|it| it != born) {
            former.push((*name, before));
            is_unproved[*name] = true;
        }
        is_unproved[*name] &= *leads;
        let believed = directory.primary("ledger").map(|it| it.id.name());
        let index = believed.and_then(|id| NAMES.iter().position(|it| *it == id));
        if index.is_some_and(|index| is_unproved[index]) {
            return true;
        }
    }
    false
}

/// The property below with its mechanism switched off.
#[test]
fn without_births_a_later_life_is_believed_at_once() {
    let told = [(0, 7, true), (0, 9, true)];
    assert!(believes_a_later_life_at_once(&told, false));
    assert!(!believes_a_later_life_at_once(&told, true));
}

proptest! {
    /// A later life holds nothing of what the earlier one acknowledged: that it leads is not
    /// believed before it has been a replica.
    #[test]
    fn a_later_life_is_not_believed_at_once(
        told in prop::collection::vec((0_usize..3, 0_u64..5, any::<bool>()), 1..60),
    ) {
        prop_assert!(!believes_a_later_life_at_once(&told, true));
    }

    /// Lives that are announced in any order, and again, leave one of each name, the one
    /// that came last as news; whoever was replaced by a later life never leads.
    #[test]
    fn one_life_of_each_name_is_there(
        told in prop::collection::vec((0_usize..3, 0_u64..5, any::<bool>()), 1..60),
    ) {
        let now = Instant::now();
        let mut directory = Directory::default();
        let mut present = [None; 3];
        let mut former: Vec<(usize, u64)> = Vec::new();
        for (name, born, leads) in told {
            let role = if leads { Role::Primary } else { Role::Replica };
            directory.announce(life(["one", "two", "three"][name], born, role), now);
            if former.contains(&(name, born)) {
                continue;
            }
            if let Some(before) = present[name].replace(born).filter(|it| *it != born) {
                former.push((name, before));
            }
            let there = directory.instances("ledger").count();
            prop_assert_eq!(there, present.iter().flatten().count());
            for (name, born) in &former {
                let id = InstanceId::of_incarnation(["one", "two", "three"][*name], Some(*born));
                prop_assert!(directory.instance(&id).is_none());
            }
        }
    }
}
