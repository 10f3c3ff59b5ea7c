//! Withholding acknowledgements of a primary that is about to be replaced.

use std::time::{Duration, Instant};

use linkhold_core::service::instance::InstanceId;
use linkhold_core::service::withholding::{
    FAILURE_REUSE_PERIOD, ORDER_WINDOW, WITHHOLDING_PERIOD, Withholdings,
};

/// When the list of instances is known again: so late that a successor would be in it.
const KNOWN_LATER: Duration = WITHHOLDING_PERIOD.saturating_mul(2);

#[test]
fn an_agreement_holds_for_its_time_and_its_instance() {
    let now = Instant::now();
    let [one, two] = ["one", "two"].map(|name| InstanceId(name.into()));
    let mut withholdings = Withholdings::default();
    let is_withheld = |withholdings: &Withholdings, id: &InstanceId, moment: Instant| {
        withholdings.is_withheld(id, moment, Some(now + KNOWN_LATER))
    };
    assert!(!is_withheld(&withholdings, &one, now));
    withholdings.agree(&one, 1, now);
    let last = now + WITHHOLDING_PERIOD - Duration::from_millis(1);
    assert!(is_withheld(&withholdings, &one, last));
    assert!(!is_withheld(&withholdings, &two, last));
    assert!(!is_withheld(&withholdings, &one, now + WITHHOLDING_PERIOD));
}

#[test]
fn a_later_agreement_prolongs_an_earlier_one() {
    let now = Instant::now();
    let one = InstanceId("one".into());
    let mut withholdings = Withholdings::default();
    withholdings.agree(&one, 1, now);
    let later = now + WITHHOLDING_PERIOD / 2;
    withholdings.agree(&one, 2, later);
    let known = Some(now + KNOWN_LATER);
    assert!(withholdings.is_withheld(&one, now + WITHHOLDING_PERIOD, known));
    assert!(!withholdings.is_withheld(&one, later + WITHHOLDING_PERIOD, known));
}

/// Elapsed time alone does not show whether the promotion took effect.
#[test]
fn an_agreement_holds_until_a_successor_would_be_known() {
    let now = Instant::now();
    let one = InstanceId("one".into());
    let mut withholdings = Withholdings::default();
    withholdings.agree(&one, 1, now);
    let later = now + WITHHOLDING_PERIOD * 10;
    assert!(withholdings.is_withheld(&one, later, None));
    assert!(withholdings.is_withheld(&one, later, Some(now + WITHHOLDING_PERIOD)));
    assert!(!withholdings.is_withheld(&one, later, Some(now + KNOWN_LATER)));
}

/// An agreeing node counts from a later moment than the asking node: an order within
/// its window takes effect while all of them still withhold.
#[test]
fn an_order_has_time_to_take_effect_before_the_first_agreement_ends() {
    let longest_promotion = Duration::from_millis(1_500);
    assert!(ORDER_WINDOW + longest_promotion <= WITHHOLDING_PERIOD);
    assert!(FAILURE_REUSE_PERIOD < WITHHOLDING_PERIOD);
}

/// Releasing a question ends the agreement to it, and no agreement to other questions.
#[test]
fn an_agreement_ends_when_all_its_questions_are_released() {
    let now = Instant::now();
    let one = InstanceId("one".into());
    let mut withholdings = Withholdings::default();
    withholdings.agree(&one, 1, now);
    withholdings.agree(&one, 2, now);
    assert!(withholdings.release(1));
    assert!(withholdings.is_withheld(&one, now, None));
    assert!(!withholdings.release(1));
    assert!(withholdings.release(2));
    assert!(!withholdings.is_withheld(&one, now, None));
}

/// A node that takes long to answer agrees after the question was released.
#[test]
fn a_released_question_is_not_agreed_to_any_more() {
    let now = Instant::now();
    let one = InstanceId("one".into());
    let mut withholdings = Withholdings::default();
    withholdings.release(1);
    withholdings.agree(&one, 1, now);
    assert!(!withholdings.is_withheld(&one, now, None));
}
