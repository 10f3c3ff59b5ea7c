//! Requests that reach an instance which has just started, from all nodes together.

use std::time::{Duration, Instant};

use linkhold_core::service::warm_up::{
    ANSWER_VALIDITY, QUESTION_INTERVAL, RequestWindow, SENDERS, SenderRank, WarmUpLimit,
    WarmUpRules, Warmth, may_send,
};
use proptest::prelude::*;

fn rules(overshoot: f64, slack: f64) -> WarmUpRules {
    WarmUpRules {
        overshoot,
        slack,
        announcement_interval: Duration::from_millis(1_200),
    }
}

fn limit(per_second: f64) -> WarmUpLimit {
    WarmUpLimit {
        per_second,
        length: Duration::from_secs(5),
    }
}

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Highest number of moments that lie in any second.
fn max_per_second(mut moments: Vec<Instant>) -> usize {
    moments.sort();
    let window = |index: usize| {
        let end = moments[index] + Duration::from_secs(1);
        moments[index..].iter().filter(|at| **at < end).count()
    };
    (0..moments.len()).map(window).max().unwrap_or(0)
}

/// A node that always has requests to send, and the events that affect it, by moment.
#[derive(Clone, Debug)]
struct NodeHistory {
    rank: usize,
    /// When it is restarted and loses its count of sent requests.
    restarts: Vec<u64>,
    /// Start and length of the periods in which it is frozen.
    freezes: Vec<(u64, u64)>,
    /// When its view of the fleet stops being updated, if it does.
    cut_off_at: Option<u64>,
}

fn histories(rank: usize) -> impl Strategy<Value = NodeHistory> {
    (
        prop::collection::vec(0_u64..9_000, 0..4),
        prop::collection::vec((0_u64..9_000, 1_u64..3_000), 0..3),
        prop::option::of(0_u64..9_000),
    )
        .prop_map(move |(restarts, freezes, cut_off_at)| NodeHistory {
            rank,
            restarts,
            freezes,
            cut_off_at,
        })
}

/// When a node sends, if asked every few milliseconds. `waits_after_start`: the
/// mechanism that makes up for the lost count.
fn sends(
    start: Instant,
    history: &NodeHistory,
    max_requests: usize,
    waits_after_start: bool,
) -> Vec<Instant> {
    let mut sent = Vec::new();
    let mut count = RequestWindow::default();
    let mut started = None;
    for tick in (0..10_000).step_by(7) {
        let restarted = history.restarts.iter().filter(|at| **at <= tick).max();
        if restarted.copied() != started {
            started = restarted.copied();
            count = RequestWindow::default();
        }
        let is_frozen = |(from, length): &(u64, u64)| (*from..*from + *length).contains(&tick);
        if history.freezes.iter().any(is_frozen) {
            continue;
        }
        let now = start + milliseconds(tick);
        let uptime = started.map_or(Duration::MAX, |at| milliseconds(tick - at));
        let sender = SenderRank {
            rank: Some(history.rank),
            view_age: history
                .cut_off_at
                .map_or(Duration::ZERO, |at| milliseconds(tick.saturating_sub(at))),
            uptime: if waits_after_start {
                uptime
            } else {
                Duration::MAX
            },
            was_listed: true,
        };
        if may_send(sender) && count.try_count(now, max_requests, true).is_ok() {
            sent.push(now);
        }
    }
    sent
}

proptest! {
    /// Whatever the limit: the senders' shares together are within the maximum, and a
    /// share is at least one request wherever the maximum allows two.
    #[test]
    fn shares_are_within_the_maximum(per_second in 0.1_f64..100.0, overshoot in 1.0_f64..3.0, slack in 0.0_f64..20.0) {
        let rules = rules(overshoot, slack);
        let max_requests = rules.max_requests(limit(per_second));
        let share = rules.sender_share(limit(per_second));
        prop_assert!((share * SENDERS) as f64 <= max_requests);
        prop_assert!(share >= 1 || max_requests < 2.0);
    }

    /// The senders are restarted, frozen and cut off at any moment, and send whenever
    /// they may: no second has more requests than the maximum.
    #[test]
    fn no_second_has_more_than_the_maximum(first in histories(0), second in histories(1), share in 1_usize..12) {
        let start = Instant::now();
        let mut sent = sends(start, &first, share, true);
        sent.extend(sends(start, &second, share, true));
        prop_assert!(max_per_second(sent) <= share * SENDERS);
    }

    /// An instance is restarted at any moment. Its entry, which is read within the
    /// settling time, says so, and its connections break. From then on, no node
    /// considers it warm before it is.
    #[test]
    fn a_restart_is_never_missed(
        opened in 0_u64..10_000,
        restarted in 0_u64..10_000,
        noticed_after in 0_u64..1_000,
        reopened_after in 0_u64..3_000,
        entry_after in 0_u64..1_700,
        questions in prop::collection::vec(0_u64..20_000, 0..30),
        asked in 0_u64..20_000,
    ) {
        let start = Instant::now();
        let at = |moment: u64| start + milliseconds(moment);
        let rules = rules(1.5, 5.0);
        let mut warmth = Warmth::default();
        let mut says_cold = false;
        for moment in 0..=asked {
            if moment == opened || moment == restarted + reopened_after {
                warmth.watch_opened(at(moment));
            }
            if moment == restarted + noticed_after.min(reopened_after) {
                warmth.watch_closed();
            }
            // The old connection answers nothing any more.
            let is_answered = moment < restarted || moment >= restarted + reopened_after;
            if is_answered && questions.contains(&moment) {
                warmth.record_answer(at(moment));
            }
            let cold_entry = restarted + entry_after..restarted + 5_000;
            says_cold = cold_entry.contains(&moment);
        }
        let is_cold = (restarted..restarted + 5_000).contains(&asked);
        // A statement that reaches the new incarnation is on a connection opened since.
        let sent_on = at(restarted + 1);
        if is_cold && asked > restarted {
            let is_taken_for_warm = warmth.is_warm(&rules, says_cold, at(asked))
                && warmth.is_answered_since(sent_on);
            prop_assert!(!is_taken_for_warm);
        }
    }
}

/// The property of the maximum with its mechanism switched off: a node that does not
/// wait for the requests that it sent before its restart exceeds the maximum.
#[test]
fn without_a_wait_after_a_start_the_maximum_is_exceeded() {
    let start = Instant::now();
    let restarted = NodeHistory {
        rank: 0,
        restarts: vec![200, 400, 600],
        freezes: Vec::new(),
        cut_off_at: None,
    };
    assert!(max_per_second(sends(start, &restarted, 5, false)) > 5 * SENDERS);
    assert!(max_per_second(sends(start, &restarted, 5, true)) <= 5);
}

/// A connection that was opened just now proves nothing, nor does one that has not
/// answered since another connection broke.
#[test]
fn an_instance_is_warm_after_it_has_settled_and_answered() {
    let start = Instant::now();
    let rules = rules(1.5, 5.0);
    let mut warmth = Warmth::default();
    warmth.watch_opened(start);
    let settled = start + rules.settling_time();
    warmth.record_answer(settled - QUESTION_INTERVAL);
    assert!(!warmth.is_warm(&rules, false, settled - milliseconds(1)));
    assert!(warmth.is_warm(&rules, false, settled));
    assert!(!warmth.is_warm(&rules, false, settled + ANSWER_VALIDITY));
    assert!(warmth.record_doubt(settled));
    assert!(!warmth.record_doubt(settled + milliseconds(1)));
    assert!(!warmth.is_warm(&rules, false, settled + milliseconds(2)));
    warmth.record_answer(settled + milliseconds(3));
    assert!(warmth.is_warm(&rules, false, settled + milliseconds(4)));
}

/// How long an entry that is not rewritten stays, in milliseconds: three intervals.
const ENTRY_VALIDITY: u64 = 3_600;

/// Whether an entry from before a restart is taken for that of the new incarnation. The
/// old incarnation wrote it `written_before` ahead of `restarted`, the new one writes
/// after `cut_for`, and the node opens its connection `opened_after` the restart.
/// `checks_listing`: the mechanism.
fn accepts_an_old_entry(
    restarted: u64,
    written_before: u64,
    cut_for: u64,
    opened_after: u64,
    checks_listing: bool,
) -> bool {
    let start = Instant::now();
    let rules = rules(1.5, 5.0);
    let mut warmth = Warmth::default();
    warmth.watch_opened(start + milliseconds(restarted + opened_after));
    let gone_at = restarted.saturating_sub(written_before) + ENTRY_VALIDITY;
    let first_written = restarted + cut_for;
    for moment in (restarted..first_written).step_by(50) {
        let is_listed = moment < gone_at || !checks_listing;
        warmth.record_listing(&rules, is_listed, Some(start + milliseconds(moment)));
    }
    warmth.is_incarnation_listed()
}

proptest! {
    /// An instance is restarted, and does not reach the store for a while.
    #[test]
    fn an_entry_from_before_a_restart_proves_nothing(
        restarted in 5_000_u64..6_000,
        written_before in 0_u64..1_300,
        cut_for in 0_u64..10_000,
        opened_after in 0_u64..3_000,
    ) {
        let accepts = accepts_an_old_entry(restarted, written_before, cut_for, opened_after, true);
        prop_assert!(!accepts);
    }
}

/// The property with its mechanism switched off.
#[test]
fn without_a_check_of_the_listing_an_old_entry_is_accepted() {
    assert!(accepts_an_old_entry(5_000, 0, 9_000, 100, false));
    assert!(!accepts_an_old_entry(5_000, 0, 9_000, 100, true));
}

#[test]
fn some_requests_are_reserved_for_urgent_ones() {
    let now = Instant::now();
    let mut count = RequestWindow::default();
    let mut counted = 0;
    let wait = loop {
        match count.try_count(now, 9, false) {
            Ok(()) => counted += 1,
            Err(wait) => break wait,
        }
    };
    assert_eq!(counted, 6);
    assert!(
        wait > milliseconds(900) && wait < milliseconds(1_100),
        "{wait:?}"
    );
    for _ in 0..3 {
        count.try_count(now, 9, true).unwrap();
    }
    assert!(count.try_count(now, 9, true).is_err());
    assert!(count.try_count(now + wait, 9, false).is_ok());
}

#[test]
fn a_node_that_is_new_or_has_an_old_view_of_the_fleet_sends_nothing() {
    let well = SenderRank {
        rank: Some(1),
        view_age: milliseconds(500),
        uptime: milliseconds(2_000),
        was_listed: true,
    };
    assert!(may_send(well));
    for sender in [
        SenderRank { rank: None, ..well },
        SenderRank {
            rank: Some(SENDERS),
            ..well
        },
        SenderRank {
            view_age: milliseconds(6_500),
            ..well
        },
        SenderRank {
            uptime: milliseconds(900),
            ..well
        },
        SenderRank {
            was_listed: false,
            ..well
        },
    ] {
        assert!(!may_send(sender), "{sender:?}");
    }
}
