//! Encoding of messages between nodes: what was encoded is decoded unchanged, and any
//! other bytes are refused.

use std::net::SocketAddr;

use linkhold_core::membership::{Announcement, MemberState, Message, NodeId, Payload, Statement};
use linkhold_core::table::Delta;
use linkhold_core::table_spread::{TableRequest, TableResponse};
use linkhold_peer::{
    MAX_DATAGRAM, PeerError, PeerKey, TableMessage, decode_message, decode_table, encode_message,
    encode_table,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn key() -> PeerKey {
    PeerKey::new("an-example-peer-key")
}

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(13),
        ..ProptestConfig::default()
    }
}

fn address() -> impl Strategy<Value = SocketAddr> {
    prop_oneof![
        (any::<[u8; 4]>(), any::<u16>()).prop_map(SocketAddr::from),
        (any::<[u8; 16]>(), any::<u16>()).prop_map(SocketAddr::from),
    ]
}

fn statement() -> impl Strategy<Value = Statement> {
    let state = prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Leaving),
        Just(MemberState::Suspect),
        Just(MemberState::Dead),
    ];
    (
        any::<u64>(),
        address(),
        address(),
        any::<u32>(),
        any::<u64>(),
        state,
    )
        .prop_map(
            |(node, address, client_address, zone, incarnation, state)| Statement {
                node: NodeId(node),
                address,
                client_address,
                zone,
                incarnation,
                state,
            },
        )
}

fn payload() -> impl Strategy<Value = Payload> {
    prop_oneof![
        any::<u64>().prop_map(|number| Payload::Ping { number }),
        any::<u64>().prop_map(|number| Payload::Ack { number }),
        (any::<u64>(), any::<u64>()).prop_map(|(number, target)| Payload::PingRequest {
            number,
            target: NodeId(target),
        }),
        Just(Payload::Gossip),
        (any::<u64>(), any::<u32>(), any::<bool>()).prop_map(|(digest, known, is_answer)| {
            Payload::Exchange {
                digest,
                known,
                is_answer,
            }
        }),
    ]
}

fn message() -> impl Strategy<Value = Message> {
    let statements = proptest::collection::vec(statement(), 0..=13);
    (
        statement(),
        payload(),
        any::<u64>(),
        any::<u64>(),
        statements,
    )
        .prop_map(
            |(from, payload, table_version, table_digest, statements)| Message {
                from,
                payload,
                announcement: Announcement {
                    table_version,
                    table_digest,
                },
                statements,
            },
        )
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_message_comes_back_and_fits_a_datagram(message in message()) {
        let bytes = encode_message(&message, &key());
        prop_assert!(bytes.len() <= MAX_DATAGRAM, "{} bytes", bytes.len());
        prop_assert_eq!(decode_message(&bytes, &key()), Ok(message));
    }

    #[test]
    fn a_changed_byte_or_another_key_is_noticed(message in message(), index in any::<prop::sample::Index>()) {
        let mut bytes = encode_message(&message, &key());
        prop_assert_eq!(decode_message(&bytes, &PeerKey::new("some-other-peer-key")), Err(PeerError::Mac));
        let index = index.index(bytes.len());
        bytes[index] ^= 1;
        prop_assert_eq!(decode_message(&bytes, &key()), Err(PeerError::Mac));
    }

    #[test]
    fn any_bytes_are_taken_or_refused_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(decode_message(&bytes, &key()).is_err());
        prop_assert!(decode_table(&bytes, &key()).is_err());
    }
}

#[test]
fn table_messages_come_back() {
    let delta = Delta {
        removed: vec![("d".to_owned(), "i".to_owned(), "*".to_owned())],
        changed: vec![vec!["cell".to_owned(); 12]],
    };
    let messages = [
        TableMessage::Request(TableRequest { have: 7 }),
        TableMessage::Response(TableResponse::NothingNewer),
        TableMessage::Response(TableResponse::Deltas {
            from: 7,
            deltas: vec![delta],
            digest: 42,
        }),
        TableMessage::Response(TableResponse::Whole {
            version: 8,
            rows: vec![vec!["cell".to_owned(); 12]],
            digest: 43,
        }),
    ];
    for message in messages {
        let bytes = encode_table(message.clone(), &key());
        assert_eq!(decode_table(&bytes, &key()), Ok(message));
    }
}
