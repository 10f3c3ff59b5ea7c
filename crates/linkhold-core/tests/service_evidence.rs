//! Evidence of freshness: a fence covers everything that was acknowledged before.

use std::time::{Duration, Instant};

use linkhold_core::position::Position;
use linkhold_core::service::evidence::{EvidenceLog, Sample, session_fence};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    /// Time passes.
    Pass(u64),
    /// The primary acknowledges a commit.
    Commit,
    /// A question is sent, and answered after some time and some commits.
    Observe { answered_after: u64, commits: u64 },
    /// The primary is replaced; the new one lacks this many commits.
    Replace { undone: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (1_u64..200).prop_map(Step::Pass),
        Just(Step::Commit),
        (0_u64..50, 0_u64..4).prop_map(|(answered_after, commits)| Step::Observe {
            answered_after,
            commits
        }),
        (0_u64..4).prop_map(|undone| Step::Replace { undone }),
    ];
    prop::collection::vec(step, 1..120)
}

/// A service with its log and the time at which each commit was acknowledged.
struct Model {
    start: Instant,
    now: Duration,
    term: u64,
    log: Vec<(Position, Duration)>,
}

impl Model {
    fn position(&self) -> Position {
        self.log
            .last()
            .map_or(Position::new(self.term, 0), |(position, _)| *position)
    }

    fn commit(&mut self) {
        let position = Position::new(self.term, self.log.len() as u64 + 1);
        self.log.push((position, self.now));
    }

    fn observe(&mut self, evidence: &mut EvidenceLog, answered_after: u64, commits: u64) {
        let sent_at = self.start + self.now;
        self.now += Duration::from_millis(answered_after);
        for _ in 0..commits {
            self.commit();
        }
        let position = self.position();
        evidence.record(Sample { sent_at, position });
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn a_fence_covers_every_commit_that_stands_and_was_acknowledged_before(
        steps in steps(),
        staleness in 0_u64..2_000,
    ) {
        let start = Instant::now() + Duration::from_secs(3_600);
        let mut model = Model { start, now: Duration::ZERO, term: 1, log: Vec::new() };
        let mut evidence = EvidenceLog::default();
        for step in steps {
            match step {
                Step::Pass(milliseconds) => model.now += Duration::from_millis(milliseconds),
                Step::Commit => model.commit(),
                Step::Observe { answered_after, commits } => {
                    model.observe(&mut evidence, answered_after, commits);
                }
                Step::Replace { undone } => {
                    let kept = model.log.len().saturating_sub(undone as usize);
                    model.log.truncate(kept);
                    model.term += 1;
                    // A new primary writes an entry at the start of its term.
                    model.commit();
                }
            }
            let staleness = Duration::from_millis(staleness);
            let Some(oldest) = model.now.checked_sub(staleness) else { continue };
            if let Some(fence) = evidence.fence(start + oldest) {
                let missed = model
                    .log
                    .iter()
                    .find(|(position, at)| *at < oldest && *position > fence);
                prop_assert_eq!(missed, None, "fence {} at {:?}", fence, model.now);
            }
        }
    }
}

#[test]
fn evidence_sent_before_the_moment_is_not_used() {
    let now = Instant::now();
    let mut evidence = EvidenceLog::default();
    evidence.record(Sample {
        sent_at: now,
        position: Position::new(1, 5),
    });
    assert_eq!(evidence.fence(now), Some(Position::new(1, 5)));
    assert_eq!(evidence.fence(now + Duration::from_millis(1)), None);
}

#[test]
fn the_lowest_sufficient_position_is_required_so_that_replicas_may_lag() {
    let now = Instant::now();
    let mut evidence = EvidenceLog::default();
    for step in 0..10 {
        evidence.record(Sample {
            sent_at: now + Duration::from_millis(step * 100),
            position: Position::new(1, step),
        });
    }
    let fence = evidence.fence(now + Duration::from_millis(450));
    assert_eq!(fence, Some(Position::new(1, 5)));
}

#[test]
fn a_session_requirement_of_an_undone_term_gives_way_to_a_newer_term() {
    let undone = Position::new(3, 1_300);
    let newer = Position::new(4, 1_210);
    assert_eq!(session_fence(newer, Some(undone)), newer);
    let own = Position::new(4, 1_250);
    assert_eq!(session_fence(newer, Some(own)), own);
}
