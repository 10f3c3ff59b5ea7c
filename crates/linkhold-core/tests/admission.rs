//! Admission control. Guards against a burst of reads that takes the slots reserved for
//! writes, and against requests that are lost or admitted beyond a limit in some order
//! of events.

use std::collections::BTreeMap;

use linkhold_core::admission::{Admission, SlotLimits, SlotQueue, Ticket};
use linkhold_core::classify::Access;
use linkhold_core::retry_budget::RetryBudget;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const LIMITS: SlotLimits = SlotLimits {
    capacity: 5,
    write_reserve: 2,
    queue_bound: 4,
};

#[test]
fn a_burst_of_reads_leaves_the_reserve_to_writes() {
    let mut queue = SlotQueue::new(LIMITS);
    let answers: Vec<Admission> = (0..10)
        .map(|number| queue.request(Access::Read, Ticket(number)))
        .collect();
    let count = |wanted| answers.iter().filter(|answer| **answer == wanted).count();
    assert_eq!(count(Admission::Granted), 3);
    assert_eq!(count(Admission::Queued), 4);
    assert_eq!(count(Admission::Refused), 3);
    assert_eq!(queue.request(Access::Write, Ticket(10)), Admission::Granted);
    assert_eq!(queue.request(Access::Write, Ticket(11)), Admission::Granted);
    assert_eq!(queue.request(Access::Write, Ticket(12)), Admission::Queued);
    // The waiting write is granted before the waiting reads.
    assert_eq!(queue.release(Access::Read), [Ticket(12)]);
}

#[test]
fn retries_stay_a_small_fraction_of_requests() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.earn();
        if budget.try_spend() {
            retries += 1;
        }
    }
    assert!((100..=110).contains(&retries), "{retries}");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(3), ..ProptestConfig::default() })]

    #[test]
    fn limits_hold_and_no_request_is_lost(events in proptest::collection::vec((0..3_u8, any::<bool>()), 0..200)) {
        let mut queue = SlotQueue::new(LIMITS);
        let mut waiting: BTreeMap<Ticket, Access> = BTreeMap::new();
        let mut running: Vec<Access> = Vec::new();
        for (number, (kind, write)) in events.into_iter().enumerate() {
            let class = if write { Access::Write } else { Access::Read };
            let ticket = Ticket(number as u64);
            let granted = match kind {
                0 => {
                    match queue.request(class, ticket) {
                        Admission::Granted => running.push(class),
                        Admission::Queued => { waiting.insert(ticket, class); }
                        Admission::Refused => {
                            let same_class = waiting.values().filter(|other| **other == class).count();
                            prop_assert_eq!(same_class, LIMITS.queue_bound);
                        }
                    }
                    Vec::new()
                }
                1 => match running.iter().position(|other| *other == class) {
                    Some(index) => {
                        running.remove(index);
                        queue.release(class)
                    }
                    None => Vec::new(),
                },
                _ => {
                    let oldest = waiting.iter().find(|(_, other)| **other == class).map(|(ticket, _)| *ticket);
                    if let Some(ticket) = oldest {
                        prop_assert!(queue.abandon(class, ticket));
                        waiting.remove(&ticket);
                    }
                    Vec::new()
                }
            };
            for ticket in granted {
                running.push(waiting.remove(&ticket).expect("was waiting"));
            }
            let reads = running.iter().filter(|class| **class == Access::Read).count();
            prop_assert_eq!(queue.in_use(), running.len());
            prop_assert_eq!(queue.waiting(), waiting.len());
            prop_assert!(running.len() <= LIMITS.capacity);
            prop_assert!(reads <= LIMITS.capacity - LIMITS.write_reserve);
            let writes_wait = waiting.values().any(|class| *class == Access::Write);
            prop_assert!(!writes_wait || running.len() == LIMITS.capacity);
        }
    }
}
