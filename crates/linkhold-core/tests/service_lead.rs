//! Whether an instance that says it leads was replaced: its own word, that of the others and
//! what the store keeps.

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
fn an_instance_that_is_alone_leads_if_nobody_was_ever_promoted() {
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

/// Both other instances were away: the first read of a node that started told old data.
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
    let told = [alone[0].clone(), status("two", Role::Replica, 1)];
    assert_eq!(
        verify_primary(&id("one"), &told, &claimed),
        PrimaryVerdict::Leads
    );
}

/// The successor started again with nothing: its word is that of another life.
#[test]
fn another_life_of_a_claimed_successor_does_not_speak_for_it() {
    let told = [
        status("one", Role::Primary, 1),
        status("two@9", Role::Replica, 1),
    ];
    let claimed = record(&["two@7"], None);
    assert_eq!(
        verify_primary(&id("one"), &told, &claimed),
        PrimaryVerdict::Unknown
    );
}

#[test]
fn a_proof_is_news_once_and_ends_claims_that_take_no_effect_any_more() {
    let mut known = record(&["two", "three"], None);
    assert!(known.record_proved_term(Term(2), Some(&id("three"))));
    assert_eq!(known, record(&["three"], Some(2)));
    assert!(!known.record_proved_term(Term(2), Some(&id("three"))));
    assert!(!known.record_proved_term(Term(1), None));
    assert!(known.record_proved_term(Term(2), None));
    assert_eq!(known, record(&[], Some(2)));
}

/// A service's history: who was claimed for, promoted and proved, and who answers now.
#[derive(Clone, Debug)]
struct History {
    /// Each claim's successor, whether it was promoted, and whether its lead was proved.
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

/// What the instances and the store hold after a history, and who leads. A replaced primary
/// keeps its role and term, as one that is cut off does.
fn played(history: &History) -> (Vec<InstanceStatus>, PromotionRecord, usize) {
    let mut terms = [1_u64; 3];
    let mut says_it_leads = [true, false, false];
    let mut leader = 0;
    let mut known = record(&[], None);
    for (successor, is_promoted, is_proved) in &history.claims {
        known.record_claim(&id(NAMES[*successor]));
        if !is_promoted || *successor == leader {
            continue;
        }
        leader = *successor;
        terms[leader] = terms.iter().max().unwrap() + 1;
        says_it_leads[leader] = true;
        if *is_proved {
            known.record_proved_term(Term(terms[leader]), Some(&id(NAMES[leader])));
        }
    }
    let role = |index: usize| match says_it_leads[index] {
        true => Role::Primary,
        false => Role::Replica,
    };
    let answering = (0..NAMES.len()).filter(|index| history.answers[*index]);
    let statuses = answering.map(|index| status(NAMES[index], role(index), terms[index]));
    (statuses.collect(), known, leader)
}

/// Whether an instance other than the leader is taken for the leader.
fn believes_a_replaced_primary(history: &History, looks_at_record: bool) -> bool {
    let (statuses, known, leader) = played(history);
    let known = if looks_at_record {
        known
    } else {
        PromotionRecord::default()
    };
    let replaced = (0..NAMES.len()).filter(|index| *index != leader);
    replaced
        .map(|index| verify_primary(&id(NAMES[index]), &statuses, &known))
        .any(|verdict| verdict == PrimaryVerdict::Leads)
}

proptest! {
    /// Whoever answers, no replaced primary is taken for the leader.
    #[test]
    fn a_replaced_primary_is_never_taken_for_the_leader(history in histories()) {
        prop_assert!(!believes_a_replaced_primary(&history, true));
    }

    /// The leader is taken for it when all answer.
    #[test]
    fn the_leader_is_believed_when_all_answer(history in histories()) {
        let history = History { answers: [true; 3], ..history };
        let (statuses, known, leader) = played(&history);
        prop_assert_eq!(verify_primary(&id(NAMES[leader]), &statuses, &known), PrimaryVerdict::Leads);
    }
}

/// Without what the store keeps, the property above does not hold.
#[test]
fn answers_alone_do_not_tell_a_replaced_primary() {
    let history = History {
        claims: vec![(1, true, true)],
        answers: [true, false, false],
    };
    assert!(believes_a_replaced_primary(&history, false));
    assert!(!believes_a_replaced_primary(&history, true));
}
