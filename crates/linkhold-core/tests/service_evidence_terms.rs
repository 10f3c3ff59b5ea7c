//! Evidence of two terms, as collected while a replaced primary still acts as primary
//! where it is cut off.
//!
//! Guards against a log that forgets the newer term: samples less than 40 ms apart
//! replaced one another whatever their terms, and the oldest of 128 samples was
//! dropped. After positions 5 of term 1, 6 of term 2 and 9 of term 1, 10 ms apart, the
//! log held
//!
//! ```text
//! [(0 ms, Position { term: Term(1), index: 5 }), (20 ms, Position { term: Term(1), index: 9 })]
//! ```
//!
//! and required reads to wait for position 9 of term 1.

use std::time::{Duration, Instant};

use linkhold_core::position::Position;
use linkhold_core::service::evidence::{EvidenceLog, Sample};

fn sample(start: Instant, after_ms: u64, term: u64, index: u64) -> Sample {
    Sample {
        sent_at: start + Duration::from_millis(after_ms),
        position: Position::new(term, index),
    }
}

/// A replaced primary that still acts as primary where it is cut off answers right
/// after the new one.
#[test]
fn an_answer_of_an_older_term_does_not_replace_a_newer_one() {
    let start = Instant::now();
    let mut evidence = EvidenceLog::default();
    evidence.record(sample(start, 0, 1, 5));
    evidence.record(sample(start, 10, 2, 6));
    evidence.record(sample(start, 20, 1, 9));
    let moment = start + Duration::from_millis(15);
    assert_eq!(evidence.fence(moment), None, "{evidence:?}");
    let newest = evidence.newest().map(|it| it.position);
    assert_eq!(newest, Some(Position::new(2, 6)));
}

/// Like the test before, where the old primary answers for longer than samples are kept.
#[test]
fn many_answers_of_an_older_term_do_not_replace_a_newer_one() {
    let start = Instant::now();
    let mut evidence = EvidenceLog::default();
    evidence.record(sample(start, 0, 2, 6));
    for round in 1..200 {
        evidence.record(sample(start, round * 50, 1, round));
    }
    assert_eq!(evidence.fence(start + Duration::from_secs(9)), None);
}
