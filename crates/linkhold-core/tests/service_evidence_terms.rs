//! Evidence of two terms, as it comes while a primary that was replaced goes on
//! leading where it is cut off.
//!
//! Evidence of an older term is not used once a newer one is known, but the log
//! forgets the newer one: a sample that lies less than 40 ms behind the one before it
//! gives way to the next, of whatever term, and of 128 samples the oldest goes. After
//! places 5 of term 1, 6 of term 2 and 9 of term 1, 10 ms apart, the log held
//!
//! ```text
//! [(0 ms, Position { term: Term(1), index: 5 }), (20 ms, Position { term: Term(1), index: 9 })]
//! ```
//!
//! and gave place 9 of term 1 as what a read has to wait for.

use std::time::{Duration, Instant};

use linkhold_core::position::Position;
use linkhold_core::service::evidence::{EvidenceLog, Sample};

fn sample(start: Instant, after_ms: u64, term: u64, index: u64) -> Sample {
    Sample {
        sent_at: start + Duration::from_millis(after_ms),
        position: Position::new(term, index),
    }
}

/// A replaced primary that leads on where it is cut off answers right after the
/// new one.
#[test]
fn an_answer_of_an_older_term_takes_no_newer_ones_place() {
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

/// The same where it goes on to answer for longer than samples are kept.
#[test]
fn many_answers_of_an_older_term_take_no_newer_ones_place() {
    let start = Instant::now();
    let mut evidence = EvidenceLog::default();
    evidence.record(sample(start, 0, 2, 6));
    for round in 1..200 {
        evidence.record(sample(start, round * 50, 1, round));
    }
    assert_eq!(evidence.fence(start + Duration::from_secs(9)), None);
}
