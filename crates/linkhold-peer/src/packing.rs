//! Packing of long messages: a byte that tells how, and the body.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

use crate::PeerError;

/// Bodies from this length on are packed, in bytes: shorter ones fit a few packets
/// as they are.
const PACKED_FROM: usize = 2_048;
const PLAIN: u8 = 0;
const DEFLATED: u8 = 1;

/// Packs a body if that is worth while.
pub fn pack(body: &[u8]) -> Vec<u8> {
    if body.len() < PACKED_FROM {
        return prefixed(PLAIN, body);
    }
    let mut encoder = DeflateEncoder::new(vec![DEFLATED], Compression::fast());
    let written = encoder.write_all(body).and_then(|()| encoder.finish());
    // Writing to a vector does not fail; plain is right all the same.
    written.unwrap_or_else(|_| prefixed(PLAIN, body))
}

fn prefixed(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut packed = Vec::with_capacity(1 + body.len());
    packed.push(kind);
    packed.extend_from_slice(body);
    packed
}

/// Undoes [`pack`]; a body longer than `most` bytes is refused.
pub fn unpack(packed: &[u8], most: usize) -> Result<Vec<u8>, PeerError> {
    let (kind, body) = packed.split_first().ok_or(PeerError::Malformed)?;
    match *kind {
        PLAIN => Ok(body.to_vec()),
        DEFLATED => {
            let mut unpacked = Vec::new();
            DeflateDecoder::new(body)
                .take(most as u64 + 1)
                .read_to_end(&mut unpacked)
                .map_err(|_| PeerError::Malformed)?;
            if unpacked.len() > most {
                return Err(PeerError::Length(unpacked.len()));
            }
            Ok(unpacked)
        }
        _ => Err(PeerError::Malformed),
    }
}
