//! The demo's checker reports each kind of violation when a history contains it, and
//! none in a valid history. Guards against a demo that passes because its checker is
//! blind to a violation.

use std::time::{Duration, Instant};

use linkhold::demo::checker::{
    DatabaseTruth, ExecutedStatement, LEAVING_GRACE, ViolationKind, check,
};
use linkhold::demo::history::{
    Events, LeavingEvent, ReadEvent, ReadOutcome, VersionEvent, WriteEvent, WriteOutcome,
};

const CALLER: u32 = 1;

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn write(sequence: u64, outcome: WriteOutcome) -> WriteEvent {
    WriteEvent {
        caller: CALLER,
        database: 0,
        ids: vec![format!("1-{sequence}")],
        sequence,
        started: milliseconds(sequence * 10),
        finished: milliseconds(sequence * 10 + 5),
        outcome,
    }
}

fn read(at: u64, sequence: u64) -> ReadEvent {
    ReadEvent {
        caller: CALLER,
        database: 0,
        started: milliseconds(at),
        finished: milliseconds(at + 2),
        nonce: "n".to_owned(),
        expected_rows: 1,
        outcome: ReadOutcome::Answered {
            nonce: "n".to_owned(),
            sequence,
            rows: 1,
        },
    }
}

fn statement(connection: u64, transaction: u64, text: &str) -> ExecutedStatement {
    ExecutedStatement {
        instance: 0,
        connection,
        transaction,
        text: text.to_owned(),
        at: Instant::now(),
    }
}

/// Returns a valid history: two acknowledged writes, one refused, one unknown, and a
/// read.
fn valid_history() -> (Events, Vec<DatabaseTruth>) {
    let events = Events {
        writes: vec![
            write(1, WriteOutcome::Acknowledged),
            write(2, WriteOutcome::NotRun),
            write(3, WriteOutcome::Acknowledged),
            write(4, WriteOutcome::Unknown),
        ],
        reads: vec![read(50, 3)],
        versions: vec![
            VersionEvent {
                node: 0,
                version: 1,
            },
            VersionEvent {
                node: 0,
                version: 2,
            },
        ],
        final_versions: vec![VersionEvent {
            node: 0,
            version: 2,
        }],
        accepted_edits: vec![2],
        ..Events::default()
    };
    let truth = DatabaseTruth {
        ids: vec!["1-1".to_owned(), "1-3".to_owned(), "1-4".to_owned()],
        statements: vec![
            statement(1, 1, "INSERT /* transaction=1-1 */"),
            statement(1, 1, "INSERT /* transaction=1-1 */"),
            statement(2, 2, "SELECT 1"),
        ],
        most_connections: 40,
        connection_limit: 40,
        ..DatabaseTruth::default()
    };
    (events, vec![truth])
}

fn violation_kinds(change: impl FnOnce(&mut Events, &mut DatabaseTruth)) -> Vec<ViolationKind> {
    let (mut events, mut truth) = valid_history();
    change(&mut events, &mut truth[0]);
    let mut violation_kinds: Vec<ViolationKind> = check(&events, &truth)
        .iter()
        .map(|violation| violation.kind)
        .collect();
    violation_kinds.sort();
    violation_kinds.dedup();
    violation_kinds
}

#[test]
fn a_valid_history_has_no_violation() {
    assert_eq!(violation_kinds(|_, _| {}), []);
}

#[test]
fn a_lost_write_is_found() {
    let found = violation_kinds(|_, truth| truth.ids.retain(|id| id != "1-3"));
    assert_eq!(found, [ViolationKind::LostWrite]);
}

#[test]
fn a_stale_read_is_found() {
    let found = violation_kinds(|events, _| events.reads.push(read(60, 1)));
    assert_eq!(found, [ViolationKind::StaleRead]);
}

#[test]
fn a_read_that_started_before_the_acknowledgement_is_not_stale() {
    assert_eq!(
        violation_kinds(|events, _| events.reads.push(read(34, 1))),
        []
    );
}

#[test]
fn a_write_run_twice_is_found() {
    let found = violation_kinds(|_, truth| truth.ids.push("1-1".to_owned()));
    assert_eq!(found, [ViolationKind::DoubleRun]);
}

#[test]
fn a_refused_write_that_ran_is_found() {
    let found = violation_kinds(|_, truth| truth.ids.push("1-2".to_owned()));
    assert_eq!(found, [ViolationKind::FalseNotRun]);
}

#[test]
fn a_completion_that_is_not_there_is_found() {
    let found =
        violation_kinds(|events, _| events.writes.push(write(9, WriteOutcome::AlreadyCompleted)));
    assert_eq!(
        found,
        [ViolationKind::FalseCompleted, ViolationKind::StaleRead][..1]
    );
}

#[test]
fn half_a_transaction_is_found() {
    let found = violation_kinds(|events, _| {
        events.writes[3].ids.push("1-4-b".to_owned());
    });
    assert_eq!(found, [ViolationKind::PartialTransaction]);
}

#[test]
fn mixed_and_split_transactions_are_found() {
    let mixed = violation_kinds(|_, truth| {
        truth
            .statements
            .push(statement(1, 1, "INSERT /* transaction=2-1 */"));
    });
    assert_eq!(mixed, [ViolationKind::MixedTransactions]);
    let split = violation_kinds(|_, truth| {
        truth
            .statements
            .push(statement(7, 9, "INSERT /* transaction=1-1 */"));
    });
    assert_eq!(split, [ViolationKind::SplitTransaction]);
}

#[test]
fn wrong_and_partial_answers_are_found() {
    let wrong = violation_kinds(|events, _| {
        events.reads[0].nonce = "other".to_owned();
    });
    assert_eq!(wrong, [ViolationKind::WrongAnswer]);
    let partial = violation_kinds(|events, _| events.reads[0].expected_rows = 2);
    assert_eq!(partial, [ViolationKind::PartialAnswer]);
}

#[test]
fn version_reversals_and_edits_not_in_force_are_found() {
    let reversed = violation_kinds(|events, _| {
        events.versions.push(VersionEvent {
            node: 0,
            version: 1,
        });
    });
    assert_eq!(reversed, [ViolationKind::VersionReversal]);
    let missing = violation_kinds(|events, _| events.accepted_edits.push(3));
    assert_eq!(missing, [ViolationKind::EditNotInForce]);
    let lost = violation_kinds(|events, _| events.lost_edits.push("weight".to_owned()));
    assert_eq!(lost, [ViolationKind::LostEdit]);
}

#[test]
fn work_at_a_back_end_that_left_is_found() {
    let left_long_ago = Instant::now()
        .checked_sub(LEAVING_GRACE * 2)
        .expect("is after the start");
    let leaving = LeavingEvent {
        at: left_long_ago,
        until: None,
        database: 0,
        instance: 0,
    };
    let found = violation_kinds(|events, _| events.leaving.push(leaving));
    assert_eq!(found, [ViolationKind::WorkAfterLeaving]);
}

#[test]
fn cut_requests_count_only_where_none_is_allowed() {
    let cut = |allowed: bool| {
        violation_kinds(|events, _| {
            events.writes.push(write(8, WriteOutcome::Cut));
            events.cuts_forbidden = !allowed;
        })
    };
    assert_eq!(cut(true), []);
    assert_eq!(cut(false), [ViolationKind::CutRequest]);
}

#[test]
fn too_many_connections_are_found() {
    let found = violation_kinds(|_, truth| truth.most_connections = 41);
    assert_eq!(found, [ViolationKind::ConnectionOverrun]);
}
