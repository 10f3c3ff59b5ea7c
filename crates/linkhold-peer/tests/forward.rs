//! Encoding of the messages between nodes and owners of connections.

use linkhold_peer::{
    ForwardErrorKind, ForwardFrame, ForwardMessage, ForwardOutcome, ForwardPosition, ForwardReply,
    ForwardResult, ForwardStatement, ForwardStatus, ForwardWork, PeerError, PeerKey,
    decode_forward, encode_forward,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn key() -> PeerKey {
    PeerKey::new(*b"a key between nodes")
}

fn bytes(text: &str) -> minicbor::bytes::ByteVec {
    text.as_bytes().to_vec().into()
}

const POSITION: ForwardPosition = ForwardPosition { term: 3, index: 7 };

fn statement(work: ForwardWork, frame: ForwardFrame) -> ForwardMessage {
    ForwardMessage::Run(ForwardStatement {
        number: u64::MAX,
        transaction: Some(5),
        instance: "one".to_owned(),
        values: vec![(bytes("mood"), bytes("calm")), (bytes("empty"), bytes(""))],
        work,
        frame,
        is_read: true,
        priority: 2,
        connection_within_ms: 180,
        answer_within_ms: 800,
        tenant: Some("press".to_owned()),
        regions: vec!["north".to_owned()],
    })
}

fn reply(result: ForwardResult) -> ForwardReply {
    ForwardReply {
        rows: vec![bytes("first"), bytes("\0\r\n")],
        result,
        status: ForwardStatus::Open,
        position: Some(POSITION),
    }
}

fn messages() -> Vec<ForwardMessage> {
    let text = ForwardWork::Text {
        id: bytes("q1"),
        text: bytes("STORE a 1"),
        writes: true,
    };
    let prepared = ForwardWork::Prepared {
        id: bytes("q2"),
        shape: bytes("FETCH q1"),
        writes: false,
        arguments: bytes("a"),
    };
    let commit = ForwardWork::Commit {
        id: bytes("q3"),
        text: bytes("COMMIT"),
    };
    let fence = Some(POSITION);
    let opening = ForwardFrame::Opening {
        read_only: true,
        fence,
    };
    let answered = ForwardOutcome::Answered {
        reply: reply(ForwardResult::Completed(bytes("7.1f3"))),
        begin: Some(reply(ForwardResult::Error(
            ForwardErrorKind::Lagging,
            bytes("LAGGING 3.7"),
        ))),
        is_lent: true,
    };
    let outcomes = [
        answered,
        ForwardOutcome::NoConnection,
        ForwardOutcome::Unreachable,
        ForwardOutcome::NotOwner,
        ForwardOutcome::Refused(ForwardErrorKind::Busy),
        ForwardOutcome::Lost,
        ForwardOutcome::TimedOut,
    ];
    let ended = outcomes.map(|outcome| ForwardMessage::Ended { number: 9, outcome });
    let mut messages = vec![
        statement(text, ForwardFrame::Bare { fence: None }),
        statement(prepared, opening),
        statement(commit, ForwardFrame::ProvingPrimary),
        ForwardMessage::Release {
            number: 9,
            close: true,
        },
        ForwardMessage::EvidenceQuestion {
            number: 9,
            service: "ledger".to_owned(),
            max_age_ms: 300,
            instance: Some("one".to_owned()),
        },
        ForwardMessage::EvidenceAnswer {
            number: 9,
            age_ms: 12,
            position: fence,
        },
        ForwardMessage::Ping,
        ForwardMessage::Pong,
    ];
    messages.extend(ended);
    messages
}

#[test]
fn every_message_comes_out_as_it_went_in() {
    for message in messages() {
        let bytes = encode_forward(&message, &key());
        assert_eq!(decode_forward(&bytes, &key()), Ok(message));
    }
}

#[test]
fn a_changed_or_foreign_message_is_refused() {
    for message in messages() {
        let mut bytes = encode_forward(&message, &PeerKey::new(*b"another key"));
        assert_eq!(decode_forward(&bytes, &key()), Err(PeerError::Mac));
        bytes = encode_forward(&message, &key());
        let middle = bytes.len() / 2;
        bytes[middle] ^= 1;
        assert!(decode_forward(&bytes, &key()).is_err());
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(17),
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_bytes_are_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        prop_assert!(decode_forward(&bytes, &key()).is_err());
    }
}
