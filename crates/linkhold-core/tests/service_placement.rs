//! Placement of reads, health of instances, shares of connections, session
//! state on connections.

use std::time::{Duration, Instant};

use bytes::Bytes;
use linkhold_core::position::{Position, Term};
use linkhold_core::service::connection_share;
use linkhold_core::service::health::InstanceHealth;
use linkhold_core::service::instance::{Instance, InstanceId, Lifecycle, Role};
use linkhold_core::service::placement::{Candidate, Distance, choose};
use linkhold_core::service::session::{Access, ConnectionState, Prepared, SessionValues};
use linkhold_core::service::waiting;
use proptest::prelude::*;

fn instance(name: &str) -> Instance {
    Instance {
        id: InstanceId(name.into()),
        service: "ledger".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".into(),
        capacity: 3,
        lifecycle: Lifecycle::Ready,
        role: Role::Replica,
        warm_up_left: Duration::ZERO,
    }
}

fn chosen(
    candidates: [(&Instance, &InstanceHealth, Distance); 2],
    now: Instant,
) -> Option<InstanceId> {
    let candidates = candidates
        .into_iter()
        .map(|(instance, health, distance)| Candidate {
            is_primary: instance.role == Role::Primary,
            instance,
            health,
            distance,
            is_cold: false,
        });
    choose(candidates, REQUIRED, &[], now).map(|choice| choice.instance.id.clone())
}

/// The position that reads require here.
const REQUIRED: Position = Position {
    term: Term(2),
    index: 10,
};

#[test]
fn the_nearest_serves_until_it_is_slow_busy_behind_or_failing() {
    let now = Instant::now();
    let (near, far) = (instance("near"), instance("far"));
    let healthy = InstanceHealth::default();
    let pick = |health: &InstanceHealth| {
        chosen(
            [
                (&near, health, Distance::Zone),
                (&far, &healthy, Distance::Remote),
            ],
            now,
        )
        .unwrap()
        .0
        .to_string()
    };
    assert_eq!(pick(&healthy), "near");
    let mut slow = InstanceHealth::default();
    slow.record_success(now, Duration::from_millis(900));
    assert_eq!(pick(&slow), "far");
    let mut busy = InstanceHealth::default();
    busy.record_busy(now, Duration::from_millis(40));
    assert_eq!(pick(&busy), "far");
    let mut behind = InstanceHealth::default();
    behind.record_lag(now);
    assert_eq!(pick(&behind), "far");
    let mut failing = InstanceHealth::default();
    failing.record_failure(now);
    assert_eq!(pick(&failing), "far");
}

#[test]
fn a_failing_instance_is_tried_by_one_request_at_a_time() {
    let now = Instant::now();
    let (one, two) = (instance("one"), instance("two"));
    let mut health = InstanceHealth::default();
    health.record_failure(now);
    let both = |health: &InstanceHealth, at| {
        chosen(
            [
                (&one, health, Distance::Zone),
                (&two, health, Distance::Zone),
            ],
            at,
        )
    };
    assert_eq!(both(&health, now), None);
    let later = now + Duration::from_secs(3);
    assert!(both(&health, later).is_some());
    health.begin_trial(later);
    assert_eq!(both(&health, later), None);
    health.record_success(later, Duration::from_millis(5));
    assert!(both(&health, later).is_some());
}

#[test]
fn shares_never_exceed_the_limit_unless_there_are_more_nodes_than_connections() {
    for limit in 1..200 {
        for nodes in 1..=limit * 60 / 100 {
            assert!(connection_share::of_node(limit, nodes) * nodes <= limit);
            let restarted = connection_share::of_starting_node(limit, nodes);
            let steady = connection_share::of_node(limit, nodes);
            assert!(restarted >= 1 && restarted <= steady);
            if nodes * 2 <= limit {
                assert!((restarted + steady) * nodes <= limit, "{limit} {nodes}");
            }
        }
        assert_eq!(connection_share::of_node(limit, 10_000), 1);
    }
}

#[test]
fn connections_are_held_ready_only_while_every_node_gets_a_useful_share() {
    assert!(!connection_share::needs_owners(36, 7));
    assert!(!connection_share::needs_owners(50, 15));
    assert!(connection_share::needs_owners(50, 16));
    assert!(connection_share::needs_owners(36, 300));
    let steady = connection_share::equal(36, 7, false);
    assert_eq!((steady.limit, steady.idle_for), (3, None));
    assert_eq!(connection_share::equal(36, 7, true).limit, 2);
    let others = connection_share::of_non_owner(36);
    assert_eq!(others.limit, 3);
    let owner = connection_share::of_owner(36, 4);
    assert!(owner.limit > others.limit && owner.idle_for > others.idle_for);
    // Connections that owners keep open leave room for restarts of all of them.
    assert!(owner.kept > 0 && owner.kept * 2 < owner.limit);
    assert_eq!(others.kept, 0);
    assert_eq!(connection_share::of_non_owner(1).limit, 1);
}

/// A replica that is behind is not asked again before it may have caught up, the later
/// the longer it has been behind; one that is known to hold the required position is
/// asked.
#[test]
fn a_replica_that_lacks_a_position_is_left_alone_until_it_may_have_it() {
    let now = Instant::now();
    let older = Position {
        index: REQUIRED.index - 1,
        ..REQUIRED
    };
    let mut behind = InstanceHealth::default();
    assert!(!behind.lacks(REQUIRED, now));
    behind.record_lag(now);
    behind.record_position(older);
    assert!(behind.lacks(REQUIRED, now));
    assert!(!behind.lacks(older, now), "it has that position");
    let soon = now + Duration::from_millis(100);
    assert!(!behind.lacks(REQUIRED, soon), "it is tried again");
    let late = now + Duration::from_secs(1);
    behind.record_lag(late);
    assert!(behind.lacks(REQUIRED, late + Duration::from_millis(100)));
    assert!(!behind.lacks(REQUIRED, late + Duration::from_millis(500)));
    behind.record_position(REQUIRED);
    assert!(!behind.lacks(REQUIRED, late));
    behind.record_lag(late);
    assert!(
        behind.lacks(REQUIRED, late),
        "the known position was rolled back"
    );
    behind.record_fresh_read();
    assert!(!behind.lacks(REQUIRED, late));
}

#[test]
fn the_last_candidate_is_marked_as_the_last() {
    let now = Instant::now();
    let (primary, replica) = (instance("primary"), instance("replica"));
    let healthy = InstanceHealth::default();
    let mut behind = InstanceHealth::default();
    behind.record_lag(now);
    let is_last = |health: &InstanceHealth| {
        let candidates = [(&primary, &healthy, true), (&replica, health, false)];
        let candidates = candidates
            .into_iter()
            .map(|(instance, health, is_primary)| Candidate {
                instance,
                health,
                is_primary,
                distance: Distance::Zone,
                is_cold: false,
            });
        choose(candidates, REQUIRED, &[], now).unwrap().is_last
    };
    assert!(!is_last(&healthy));
    assert!(is_last(&behind));
}

/// Reads leave a primary's slots to the writes that only it can serve, unless
/// the replicas are much slower.
#[test]
fn a_read_prefers_a_replica_to_a_primary_that_is_as_near() {
    let now = Instant::now();
    let replica = instance("replica");
    let primary = Instance {
        role: Role::Primary,
        ..instance("primary")
    };
    let healthy = InstanceHealth::default();
    let mut slow = InstanceHealth::default();
    slow.record_success(now, Duration::from_millis(900));
    let pick = |health: &InstanceHealth| {
        let candidates = [
            (&primary, &healthy, Distance::Zone),
            (&replica, health, Distance::Zone),
        ];
        chosen(candidates, now).unwrap().0.to_string()
    };
    assert_eq!(pick(&healthy), "replica");
    assert_eq!(pick(&slow), "primary");
}

#[test]
fn a_request_waits_for_less_than_a_quarter_of_its_objective() {
    let objective = Duration::from_millis(400);
    assert!(waiting::max_wait(objective) < objective / 4);
}

fn values() -> impl Strategy<Value = SessionValues> {
    prop::collection::btree_map(0_u8..5, 0_u8..3, 0..5).prop_map(|map| {
        map.into_iter()
            .map(|(name, value)| (Bytes::from(vec![name]), Bytes::from(vec![value])))
            .collect()
    })
}

/// An instance's session state, as the steps for a connection change it.
#[derive(Default)]
struct InstanceSession {
    values: SessionValues,
    prepared: Vec<Prepared>,
}

proptest! {
    /// Whatever sessions use a connection in turn, the instance has exactly the values
    /// of the session that uses it, and its prepared statements.
    #[test]
    fn a_connection_has_exactly_its_present_session_state(
        users in prop::collection::vec((values(), 0_u8..4), 1..40),
    ) {
        let mut recorded = ConnectionState::default();
        let mut actual = InstanceSession::default();
        for (wanted, shape) in users {
            let changes = recorded.adopt_values(&wanted);
            if changes.discard {
                actual = InstanceSession::default();
            }
            for (name, value) in changes.set {
                actual.values.insert(name, value);
            }
            prop_assert_eq!(&actual.values, &wanted);
            let prepared = Prepared { access: Access::Read, shape: Bytes::from(vec![shape]) };
            let (number, is_new) = recorded.adopt_prepared(&prepared);
            if is_new {
                prop_assert_eq!(actual.prepared.len(), number);
                actual.prepared.push(prepared.clone());
            }
            prop_assert_eq!(&actual.prepared[number], &prepared);
        }
    }
}

#[test]
fn a_cold_instance_serves_only_where_no_warm_one_does() {
    let now = Instant::now();
    let (near, far) = (instance("near"), instance("far"));
    let healthy = InstanceHealth::default();
    let mut failing = InstanceHealth::default();
    failing.record_failure(now);
    let pick = |far_health: &InstanceHealth, now: Instant| {
        let candidates = [(&near, &healthy, true), (&far, far_health, false)];
        let candidates = candidates.map(|(instance, health, is_cold)| Candidate {
            instance,
            health,
            is_primary: false,
            distance: Distance::Zone,
            is_cold,
        });
        choose(candidates.into_iter(), REQUIRED, &[], now).map(|it| it.instance.id.to_string())
    };
    assert_eq!(pick(&healthy, now).as_deref(), Some("far"));
    assert_eq!(pick(&failing, now).as_deref(), Some("near"));
}
