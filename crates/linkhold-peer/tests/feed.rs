//! Encoding of the messages of the feed and of questions about reachability.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::position::{Position, Term};
use linkhold_core::service::configuration::{Configuration, Consistency, Route, ServiceLimits};
use linkhold_core::service::instance::{Instance, InstanceId, Lifecycle, Role};
use linkhold_core::service::permission::RecentClaim;
use linkhold_core::service::primary_verification::PromotionRecord;
use linkhold_core::service::regions::AllowedRegions;
use linkhold_core::service::store_revision::{Era, StoreRevision};
use linkhold_core::tenancy::{Credential, RateLimit, Tenancy, Tenant};
use linkhold_peer::{
    AcknowledgedCommits, EvidenceAnswer, EvidenceQuestion, FeedFleet, FeedFleetChanges,
    FeedInstanceChanges, FeedInstances, FeedMessage, FeedNode, PeerError, PeerKey, QuestionPurpose,
    QuestionSubject, Reachability, ReachabilityMessage, RelativeTimestamp, decode_feed,
    decode_reachability, encode_feed, encode_reachability,
};
use proptest::prelude::*;

fn key() -> PeerKey {
    PeerKey::new(*b"a key that both sides have")
}

fn tenancy() -> Tenancy {
    let limited = Tenant {
        name: "press".into(),
        credentials: vec![Credential::of_secret(b"one"), Credential::of_secret(b"two")],
        limit: Some(RateLimit {
            rate_per_second: 6.5,
            burst: 12.0,
        }),
        regions: AllowedRegions::listed(["north", "west"]),
    };
    let unlimited = Tenant {
        name: "radio".into(),
        credentials: vec![Credential::of_secret(b"three")],
        limit: None,
        regions: AllowedRegions::Everywhere,
    };
    Tenancy::new([limited, unlimited]).0
}

fn configuration() -> Configuration {
    let route = Route {
        service: "ledger".into(),
        consistency: Consistency::BoundedStaleness(Duration::from_millis(1_500)),
        statement_timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(400),
        priority: 2,
        is_public: true,
        regions: AllowedRegions::listed(["north"]),
    };
    let limits = ServiceLimits {
        max_connections: 36,
        synchronous_replicas: 1,
        warm_up: None,
    };
    Configuration {
        version: 7,
        routes: HashMap::from([("portal".into(), Arc::new(route))]),
        services: HashMap::from([("ledger".into(), limits)]),
        transaction_idle_timeout: Some(Duration::from_secs(3)),
        tenancy: Some(tenancy()),
    }
}

fn messages() -> Vec<FeedMessage> {
    let instance = Instance {
        id: InstanceId("one".into()),
        service: "ledger".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "a".into(),
        capacity: 3,
        lifecycle: Lifecycle::Draining,
        role: Role::Primary,
        warm_up_left: Duration::ZERO,
    };
    let node = FeedNode {
        name: "node-1".to_owned(),
        zone: "a".to_owned(),
        address: Some("10.0.0.2:7440".parse().unwrap()),
        bandwidth: 20,
    };
    vec![
        FeedMessage::Subscribe,
        FeedMessage::Renewal {
            node: node.clone(),
            number: Some(12),
        },
        FeedMessage::Renewal {
            node: node.clone(),
            number: None,
        },
        FeedMessage::Listed {
            number: 12,
            claims: None,
            records: Vec::new(),
        },
        FeedMessage::Listed {
            number: 13,
            claims: Some(vec![RecentClaim {
                service: "ledger".into(),
                successor: Some(InstanceId("two".into())),
                age: Duration::from_millis(1_200),
            }]),
            records: vec![(
                "ledger".into(),
                PromotionRecord {
                    proved_term: Some(Term(3)),
                    claimed: vec![InstanceId("two@7".into())],
                },
            )],
        },
        FeedMessage::Confirmed {
            number: 14,
            agreed: vec!["instance one".to_owned()],
        },
        FeedMessage::RelayRequest(InstanceId("i-1".into())),
        FeedMessage::RelayAccepted,
        FeedMessage::InstanceChanges(FeedInstanceChanges {
            revision: StoreRevision::new(Era(2), 9),
            changed: vec![(instance.clone(), false)],
            removed: vec![InstanceId("two".into())],
        }),
        FeedMessage::EvidenceQuestion(EvidenceQuestion {
            number: 3,
            service: "ledger".into(),
            max_age: Duration::from_millis(300),
        }),
        FeedMessage::EvidenceAnswer(EvidenceAnswer {
            number: 3,
            age: Duration::from_millis(12),
            position: Some(Position {
                term: Term(2),
                index: 77,
            }),
        }),
        FeedMessage::EvidenceAnswer(EvidenceAnswer {
            number: 4,
            age: Duration::ZERO,
            position: None,
        }),
        FeedMessage::Configuration(configuration()),
        FeedMessage::Instances(FeedInstances {
            revision: StoreRevision::new(Era::default(), 77),
            instances: vec![(instance, false)],
        }),
        FeedMessage::Fleet(FeedFleet {
            size: 300,
            readers: vec![node.clone()],
            nodes: vec![node.clone()],
        }),
        FeedMessage::FleetChanges(FeedFleetChanges {
            size: 301,
            readers: None,
            changed: vec![node.clone()],
            removed: vec!["gone".to_owned()],
        }),
        FeedMessage::FleetChanges(FeedFleetChanges {
            size: 302,
            readers: Some(vec![node]),
            changed: Vec::new(),
            removed: Vec::new(),
        }),
        FeedMessage::Heartbeat {
            age: Duration::from_millis(250),
            list_as_of: Some(RelativeTimestamp {
                renewal: 12,
                offset_ms: -340,
            }),
        },
    ]
}

proptest! {
    /// However long a renewal is in transit, or stays unread, a timestamp relative to
    /// it is resolved to a time that is not later than the original one, and earlier by
    /// no more than that delay and a rounding error.
    #[test]
    fn a_relative_timestamp_is_never_resolved_to_a_later_time(
        sent in 10_000_000_u64..11_000_000,
        delay in 0_u64..9_000_000,
        moment in 0_u64..30_000_000,
    ) {
        let start = Instant::now();
        let at = |microseconds: u64| start + Duration::from_micros(microseconds);
        let timestamp = RelativeTimestamp::new(at(moment), 3, at(sent + delay));
        let resolved = timestamp.resolve(at(sent));
        // A time before the process started cannot be represented.
        if let Some(resolved) = resolved {
            prop_assert!(resolved <= at(moment));
            prop_assert!(resolved + Duration::from_micros(delay + 1_001) >= at(moment));
        }
    }
}

#[test]
fn every_message_comes_out_as_it_went_in() {
    for message in messages() {
        let bytes = encode_feed(&message, &key());
        assert_eq!(decode_feed(&bytes, &key()), Ok(message));
    }
    let question = ReachabilityMessage::Question {
        number: 9,
        subject: QuestionSubject::Instance("one".to_owned()),
        purpose: QuestionPurpose::Replace,
        list_age_ms: Some(2_000),
    };
    let answer = ReachabilityMessage::Answer {
        number: 9,
        found: Reachability::Reached,
        primary: Some("one".to_owned()),
        acknowledged: Some(AcknowledgedCommits {
            running_ms: 90_000,
            evidence_age_ms: Some(12),
            newest: Some((3, 1_209)),
            log_holders: 3,
            proved_term: Some(3),
        }),
        joined: Some(vec!["10.0.0.7:9443".to_owned()]),
    };
    for message in [question, answer] {
        let bytes = encode_reachability(&message, &key());
        assert_eq!(decode_reachability(&bytes, &key()), Ok(message));
    }
}

#[test]
fn a_foreign_key_is_refused() {
    let bytes = encode_feed(&FeedMessage::Subscribe, &PeerKey::new(*b"another key"));
    assert_eq!(decode_feed(&bytes, &key()), Err(PeerError::Mac));
}

proptest! {
    #[test]
    fn any_bytes_are_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(decode_feed(&bytes, &key()).is_err());
        prop_assert!(decode_reachability(&bytes, &key()).is_err());
    }

    #[test]
    fn a_damaged_message_is_refused(which in 0_usize..5, index in 0_usize..400, bit in 0_u8..8) {
        let mut bytes = encode_feed(&messages()[which], &key());
        let index = index % bytes.len();
        bytes[index] ^= 1 << bit;
        prop_assert!(decode_feed(&bytes, &key()).is_err());
    }
}

#[test]
fn a_long_configuration_is_packed_and_comes_back_whole() {
    let mut long = configuration();
    let (_, route) = long.routes.iter().next().unwrap();
    let route = route.clone();
    for number in 0..2_000 {
        let database: Arc<str> = format!("database-{number}").into();
        long.routes.insert(database, route.clone());
    }
    let message = FeedMessage::Configuration(long);
    let bytes = encode_feed(&message, &key());
    assert!(bytes.len() < 30_000, "{}", bytes.len());
    assert_eq!(decode_feed(&bytes, &key()), Ok(message));
}
