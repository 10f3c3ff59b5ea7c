//! Whether an instance that announces the primary role was replaced, by its own status,
//! those of the others and the store's record.

use linkhold_core::position::{Position, Term};
use linkhold_core::service::failover::InstanceStatus;
use linkhold_core::service::instance::{InstanceId, Role};
use linkhold_core::service::primary_verification::{
    PrimaryVerdict, PromotionRecord, verify_primary,
};
use proptest::prelude::*;

const NAMES: [&str; 3] = ["one", "two", "three"];

fn id(name: &str) -> InstanceId {
    InstanceId(name.into())
}

fn status(name: &str, role: Role, term: u64) -> InstanceStatus {
    InstanceStatus {
        id: id(name),
        role,
        term: Term(term),
        received: Position::new(term, 1),
    }
}

fn record(claimed: &[&str], proved_term: Option<u64>) -> PromotionRecord {
    PromotionRecord {
        proved_term: proved_term.map(Term),
        claimed: claimed.iter().map(|name| id(name)).collect(),
    }
}

#[test]
fn an_instance_that_is_alone_is_primary_if_none_was_ever_promoted() {
    let alone = [status("one", Role::Primary, 1)];
    let verdict = verify_primary(&id("one"), &alone, &record(&[], None));
    assert_eq!(verdict, PrimaryVerdict::Leads);
}

#[test]
fn an_instance_that_does_not_answer_proves_nothing() {
    let others = [status("two", Role::Replica, 1)];
    let verdict = verify_primary(&id("one"), &others, &record(&[], None));
    assert_eq!(verdict, PrimaryVerdict::Silent);
}

/// Both other instances were unavailable: the first read through a node that had just
/// started returned old data.
#[test]
fn a_newer_term_that_was_proved_counts_while_all_others_are_away() {
    let alone = [status("one", Role::Primary, 1)];
    let verdict = verify_primary(&id("one"), &alone, &record(&[], Some(2)));
    assert_eq!(verdict, PrimaryVerdict::Replaced(Term(2)));
}

#[test]
fn a_claimed_successor_that_is_away_may_have_been_promoted() {
    let alone = [status("one", Role::Primary, 1)];
    let claimed = record(&["two"], None);
    assert_eq!(
        verify_primary(&id("one"), &alone, &claimed),
        PrimaryVerdict::Unknown
    );
    let reported = [alone[0].clone(), status("two", Role::Replica, 1)];
    assert_eq!(
        verify_primary(&id("one"), &reported, &claimed),
        PrimaryVerdict::Leads
    );
}

/// The successor restarted without its data: its status is that of another incarnation.
#[test]
fn another_incarnation_of_a_claimed_successor_does_not_count_for_it() {
    let reported = [
        status("one", Role::Primary, 1),
        status("two@9", Role::Replica, 1),
    ];
    let claimed = record(&["two@7"], None);
    assert_eq!(
        verify_primary(&id("one"), &reported, &claimed),
        PrimaryVerdict::Unknown
    );
}

#[test]
fn a_proved_term_changes_the_record_once_and_ends_claims_without_effect() {
    let mut known = record(&["two", "three"], None);
    assert!(known.record_proved_term(Term(2), Some(&id("three"))));
    assert_eq!(known, record(&["three"], Some(2)));
    assert!(!known.record_proved_term(Term(2), Some(&id("three"))));
    assert!(!known.record_proved_term(Term(1), None));
    assert!(known.record_proved_term(Term(2), None));
    assert_eq!(known, record(&[], Some(2)));
}

/// A service's history: the claims, and which instances answer in the end.
#[derive(Clone, Debug)]
struct History {
    /// Each claim's successor, whether it was promoted, and whether its term was
    /// proved.
    claims: Vec<(usize, bool, bool)>,
    /// Which instances answer in the end.
    answers: [bool; 3],
}

prop_compose! {
    fn histories()(
        claims in prop::collection::vec((0_usize..3, any::<bool>(), any::<bool>()), 0..6),
        answers in any::<[bool; 3]>(),
    ) -> History {
        History { claims, answers }
    }
}

/// The statuses and the store's record after a history, and the primary. A replaced
/// primary keeps its role and term, as one that is cut off does.
fn replay(history: &History) -> (Vec<InstanceStatus>, PromotionRecord, usize) {
    let mut terms = [1_u64; 3];
    let mut announces_primary = [true, false, false];
    let mut primary = 0;
    let mut known = record(&[], None);
    for (successor, is_promoted, is_proved) in &history.claims {
        known.record_claim(&id(NAMES[*successor]));
        if !is_promoted || *successor == primary {
            continue;
        }
        primary = *successor;
        terms[primary] = terms.iter().max().unwrap() + 1;
        announces_primary[primary] = true;
        if *is_proved {
            known.record_proved_term(Term(terms[primary]), Some(&id(NAMES[primary])));
        }
    }
    let role = |index: usize| match announces_primary[index] {
        true => Role::Primary,
        false => Role::Replica,
    };
    let answering = (0..NAMES.len()).filter(|index| history.answers[*index]);
    let statuses = answering.map(|index| status(NAMES[index], role(index), terms[index]));
    (statuses.collect(), known, primary)
}

/// Whether an instance other than the primary is accepted as primary.
fn accepts_a_replaced_primary(history: &History, uses_record: bool) -> bool {
    let (statuses, known, primary) = replay(history);
    let known = if uses_record {
        known
    } else {
        PromotionRecord::default()
    };
    let replaced = (0..NAMES.len()).filter(|index| *index != primary);
    replaced
        .map(|index| verify_primary(&id(NAMES[index]), &statuses, &known))
        .any(|verdict| verdict == PrimaryVerdict::Leads)
}

proptest! {
    /// Whichever instances answer, no replaced primary is accepted.
    #[test]
    fn a_replaced_primary_is_never_accepted(history in histories()) {
        prop_assert!(!accepts_a_replaced_primary(&history, true));
    }

    /// The primary is verified when all answer.
    #[test]
    fn the_primary_is_verified_when_all_answer(history in histories()) {
        let history = History { answers: [true; 3], ..history };
        let (statuses, known, primary) = replay(&history);
        prop_assert_eq!(verify_primary(&id(NAMES[primary]), &statuses, &known), PrimaryVerdict::Leads);
    }
}

/// Without the store's record, the property above does not hold.
#[test]
fn answers_alone_do_not_reveal_a_replaced_primary() {
    let history = History {
        claims: vec![(1, true, true)],
        answers: [true, false, false],
    };
    assert!(accepts_a_replaced_primary(&history, false));
    assert!(!accepts_a_replaced_primary(&history, true));
}
