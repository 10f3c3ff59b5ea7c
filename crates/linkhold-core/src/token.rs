//! Session tokens: a database and a position, protected by a MAC.
//!
//! A token lets a session carry its freshness requirement from node to node. The MAC
//! (HMAC-SHA-256, RFC 2104, truncated to 128 bits as RFC 2104 section 5 allows) keeps a
//! caller from forging a position, and the database identity keeps a token of one
//! database from being used on another.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use crate::position::Position;

const MAC_LENGTH: usize = 16;
const FIELD_LENGTH: usize = 8;
const PAYLOAD_LENGTH: usize = 3 * FIELD_LENGTH;
const TOKEN_LENGTH: usize = PAYLOAD_LENGTH + MAC_LENGTH;

/// Reason for which a token was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum TokenError {
    /// Not 80 hexadecimal digits.
    #[error("token is not 80 hexadecimal digits")]
    Malformed,
    /// The MAC does not match: forged, damaged, or made with another key.
    #[error("token was not issued by this fleet")]
    Forged,
    /// Issued for another database.
    #[error("token belongs to another database")]
    ForeignDatabase,
}

/// Key shared by the fleet for signing tokens.
#[derive(Clone)]
pub struct TokenKey(Vec<u8>);

impl TokenKey {
    /// Creates a key from its bytes.
    pub fn new(key: impl Into<Vec<u8>>) -> Self {
        Self(key.into())
    }

    /// Issues a token for a position of a database.
    pub fn issue(&self, database: &str, position: Position) -> String {
        let payload = encode_payload(database, position);
        let mac = self.mac(&payload);
        payload
            .iter()
            .chain(&mac)
            .map(|byte| format!("{byte:02x}"))
            .collect()
    }

    /// Verifies a token and returns its position.
    pub fn verify(&self, database: &str, token: &str) -> Result<Position, TokenError> {
        let bytes = decode_hex(token).ok_or(TokenError::Malformed)?;
        let (payload, mac) = bytes.split_at(PAYLOAD_LENGTH);
        let mut verifier = self.verifier();
        verifier.update(payload);
        verifier
            .verify_truncated_left(mac)
            .map_err(|_| TokenError::Forged)?;
        if field(payload, 0) != xxh3_64(database.as_bytes()) {
            return Err(TokenError::ForeignDatabase);
        }
        Ok(Position::new(field(payload, 1), field(payload, 2)))
    }

    fn verifier(&self) -> Hmac<Sha256> {
        <Hmac<Sha256> as Mac>::new_from_slice(&self.0).expect("HMAC takes a key of any length")
    }

    fn mac(&self, payload: &[u8]) -> [u8; MAC_LENGTH] {
        let mut signer = self.verifier();
        signer.update(payload);
        let full = signer.finalize().into_bytes();
        let mut truncated = [0; MAC_LENGTH];
        truncated.copy_from_slice(&full[..MAC_LENGTH]);
        truncated
    }
}

fn encode_payload(database: &str, position: Position) -> [u8; PAYLOAD_LENGTH] {
    let mut payload = [0; PAYLOAD_LENGTH];
    payload[..8].copy_from_slice(&xxh3_64(database.as_bytes()).to_be_bytes());
    payload[8..16].copy_from_slice(&position.term.0.to_be_bytes());
    payload[16..].copy_from_slice(&position.index.to_be_bytes());
    payload
}

fn field(payload: &[u8], number: usize) -> u64 {
    let start = number * FIELD_LENGTH;
    let bytes = payload[start..start + FIELD_LENGTH]
        .try_into()
        .expect("slice has the field's length");
    u64::from_be_bytes(bytes)
}

fn decode_hex(text: &str) -> Option<[u8; TOKEN_LENGTH]> {
    if text.len() != 2 * TOKEN_LENGTH || !text.is_ascii() {
        return None;
    }
    let mut bytes = [0; TOKEN_LENGTH];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(bytes)
}
