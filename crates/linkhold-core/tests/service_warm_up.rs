//! What reaches an instance that has just started, from all nodes together.

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

/// Most moments that lie in any second.
fn most_in_a_second(mut moments: Vec<Instant>) -> usize {
    moments.sort();
    let window = |index: usize| {
        let end = moments[index] + Duration::from_secs(1);
        moments[index..].iter().filter(|at| **at < end).count()
    };
    (0..moments.len()).map(window).max().unwrap_or(0)
}

/// A node that wants to send all the time; what happens to it, by the moment.
#[derive(Clone, Debug)]
struct Life {
    rank: usize,
    /// When it is started again, forgetting what it sent.
    restarts: Vec<u64>,
    /// From when to when it is frozen.
    freezes: Vec<(u64, u64)>,
    /// When it last heard of the fleet, if that ends.
    cut_off_at: Option<u64>,
}

fn life(rank: usize) -> impl Strategy<Value = Life> {
    (
        prop::collection::vec(0_u64..9_000, 0..4),
        prop::collection::vec((0_u64..9_000, 1_u64..3_000), 0..3),
        prop::option::of(0_u64..9_000),
    )
        .prop_map(move |(restarts, freezes, cut_off_at)| Life {
            rank,
            restarts,
            freezes,
            cut_off_at,
        })
}

/// When a node sends, asked every few milliseconds. `waits_after_start`: the
/// mechanism that makes up for what it has forgotten.
fn sends(start: Instant, life: &Life, most: usize, waits_after_start: bool) -> Vec<Instant> {
    let mut sent = Vec::new();
    let mut count = RequestWindow::default();
    let mut started = None;
    for tick in (0..10_000).step_by(7) {
        let restarted = life.restarts.iter().filter(|at| **at <= tick).max();
        if restarted.copied() != started {
            started = restarted.copied();
            count = RequestWindow::default();
        }
        let is_frozen = |(from, length): &(u64, u64)| (*from..*from + *length).contains(&tick);
        if life.freezes.iter().any(is_frozen) {
            continue;
        }
        let now = start + milliseconds(tick);
        let life_time = started.map_or(Duration::MAX, |at| milliseconds(tick - at));
        let standing = SenderRank {
            rank: Some(life.rank),
            view_age: life
                .cut_off_at
                .map_or(Duration::ZERO, |at| milliseconds(tick.saturating_sub(at))),
            uptime: if waits_after_start {
                life_time
            } else {
                Duration::MAX
            },
            was_listed: true,
        };
        if may_send(standing) && count.try_count(now, most, true).is_ok() {
            sent.push(now);
        }
    }
    sent
}

proptest! {
    /// Whatever limit: the spenders' parts together are within the bound, and a part
    /// is at least one request wherever the bound allows two.
    #[test]
    fn parts_are_within_the_bound(per_second in 0.1_f64..100.0, overshoot in 1.0_f64..3.0, slack in 0.0_f64..20.0) {
        let rules = rules(overshoot, slack);
        let most = rules.max_requests(limit(per_second));
        let part = rules.sender_share(limit(per_second));
        prop_assert!((part * SENDERS) as f64 <= most);
        prop_assert!(part >= 1 || most < 2.0);
    }

    /// The spenders are started again, frozen and cut off at any moments, and send
    /// whenever they may: no second has more than the bound.
    #[test]
    fn no_second_has_more_than_the_bound(first in life(0), second in life(1), part in 1_usize..12) {
        let start = Instant::now();
        let mut sent = sends(start, &first, part, true);
        sent.extend(sends(start, &second, part, true));
        prop_assert!(most_in_a_second(sent) <= part * SENDERS);
    }

    /// An instance is started again at any moment. It says so in an entry that is
    /// read within the settling time, and its connections break. No node takes it
    /// for warm from then on until it is.
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
            let is_heard = moment < restarted || moment >= restarted + reopened_after;
            if is_heard && questions.contains(&moment) {
                warmth.record_answer(at(moment));
            }
            let told = restarted + entry_after..restarted + 5_000;
            says_cold = told.contains(&moment);
        }
        let is_cold = (restarted..restarted + 5_000).contains(&asked);
        // A statement that reaches the new life is on a connection opened since.
        let sent_on = at(restarted + 1);
        if is_cold && asked > restarted {
            let is_taken_for_warm = warmth.is_warm(&rules, says_cold, at(asked))
                && warmth.is_answered_since(sent_on);
            prop_assert!(!is_taken_for_warm);
        }
    }
}

/// The bound's property with its mechanism switched off: a node that does not wait
/// for what it sent in its last life exceeds it.
#[test]
fn without_a_wait_after_a_start_the_bound_is_exceeded() {
    let start = Instant::now();
    let restarted = Life {
        rank: 0,
        restarts: vec![200, 400, 600],
        freezes: Vec::new(),
        cut_off_at: None,
    };
    assert!(most_in_a_second(sends(start, &restarted, 5, false)) > 5 * SENDERS);
    assert!(most_in_a_second(sends(start, &restarted, 5, true)) <= 5);
}

/// A connection that was opened just now proves nothing, nor does one that has not
/// answered since something broke.
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

/// How long an entry stands that is not written, in milliseconds: three intervals.
const ENTRY_LIFE: u64 = 3_600;

/// Whether an entry from before a restart is taken for that of the new life. The last life
/// wrote it before `restarted`, the new one writes after `cut_for`, and the node opens its
/// connection `opened_after` the restart. `looks_at_listing`: the mechanism.
fn takes_an_old_entry(
    restarted: u64,
    written_before: u64,
    cut_for: u64,
    opened_after: u64,
    looks_at_listing: bool,
) -> bool {
    let start = Instant::now();
    let rules = rules(1.5, 5.0);
    let mut warmth = Warmth::default();
    warmth.watch_opened(start + milliseconds(restarted + opened_after));
    let gone_at = restarted.saturating_sub(written_before) + ENTRY_LIFE;
    let first_written = restarted + cut_for;
    for moment in (restarted..first_written).step_by(50) {
        let is_listed = moment < gone_at || !looks_at_listing;
        warmth.record_listing(&rules, is_listed, Some(start + milliseconds(moment)));
    }
    warmth.is_incarnation_listed()
}

proptest! {
    /// An instance starts again, and does not reach the store for a while.
    #[test]
    fn an_entry_from_before_a_restart_proves_nothing(
        restarted in 5_000_u64..6_000,
        written_before in 0_u64..1_300,
        cut_for in 0_u64..10_000,
        opened_after in 0_u64..3_000,
    ) {
        let takes = takes_an_old_entry(restarted, written_before, cut_for, opened_after, true);
        prop_assert!(!takes);
    }
}

/// The property with its mechanism switched off.
#[test]
fn without_a_look_at_the_listing_an_old_entry_is_taken() {
    assert!(takes_an_old_entry(5_000, 0, 9_000, 100, false));
    assert!(!takes_an_old_entry(5_000, 0, 9_000, 100, true));
}

#[test]
fn some_room_is_kept_for_what_is_urgent() {
    let now = Instant::now();
    let mut count = RequestWindow::default();
    let mut spent = 0;
    let wait = loop {
        match count.try_count(now, 9, false) {
            Ok(()) => spent += 1,
            Err(wait) => break wait,
        }
    };
    assert_eq!(spent, 6);
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
fn a_node_that_is_new_or_has_lost_sight_of_the_fleet_sends_nothing() {
    let well = SenderRank {
        rank: Some(1),
        view_age: milliseconds(500),
        uptime: milliseconds(2_000),
        was_listed: true,
    };
    assert!(may_send(well));
    for standing in [
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
        assert!(!may_send(standing), "{standing:?}");
    }
}
