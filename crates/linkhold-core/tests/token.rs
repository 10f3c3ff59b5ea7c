//! Session tokens. Guards against forged, damaged or foreign tokens that are accepted:
//! only tokens that the fleet issued for the same database are.

use linkhold_core::position::Position;
use linkhold_core::token::{TokenError, TokenKey};

fn key() -> TokenKey {
    TokenKey::new("an-example-token-key")
}

#[test]
fn a_token_gives_its_position_back() {
    let position = Position::new(7, 123_456);
    let token = key().issue("catalog", position);
    assert_eq!(key().verify("catalog", &token), Ok(position));
}

#[test]
fn every_changed_digit_is_noticed() {
    let token = key().issue("catalog", Position::new(7, 1));
    for index in 0..token.len() {
        let mut bytes = token.clone().into_bytes();
        bytes[index] = if bytes[index] == b'0' { b'1' } else { b'0' };
        let changed = String::from_utf8(bytes).expect("is ASCII");
        assert_eq!(key().verify("catalog", &changed), Err(TokenError::Forged));
    }
}

#[test]
fn foreign_and_malformed_tokens_are_told_apart() {
    let token = key().issue("catalog", Position::new(7, 1));
    assert_eq!(
        key().verify("ledger", &token),
        Err(TokenError::ForeignDatabase)
    );
    assert_eq!(
        TokenKey::new("another-key").verify("catalog", &token),
        Err(TokenError::Forged)
    );
    for text in [
        "",
        "zz",
        &token[1..],
        &format!("{token}00"),
        &"g".repeat(80),
    ] {
        assert_eq!(
            key().verify("catalog", text),
            Err(TokenError::Malformed),
            "{text}"
        );
    }
}
