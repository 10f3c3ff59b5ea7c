//! Compression of long messages: a byte that gives the method, and the body.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

use crate::PeerError;

/// Shortest body that is compressed, in bytes: shorter ones fit a few packets
/// uncompressed.
const MIN_PACKED_LENGTH: usize = 2_048;
const PLAIN: u8 = 0;
const DEFLATED: u8 = 1;

/// Compresses a body if it is long enough, and prefixes the method.
pub fn pack(body: &[u8]) -> Vec<u8> {
    if body.len() < MIN_PACKED_LENGTH {
        return prefixed(PLAIN, body);
    }
    let mut encoder = DeflateEncoder::new(vec![DEFLATED], Compression::fast());
    let written = encoder.write_all(body).and_then(|()| encoder.finish());
    // Writing to a vector does not fail; an uncompressed body would be valid as well.
    written.unwrap_or_else(|_| prefixed(PLAIN, body))
}

fn prefixed(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut packed = Vec::with_capacity(1 + body.len());
    packed.push(kind);
    packed.extend_from_slice(body);
    packed
}

/// Undoes [`pack`]; a body longer than `max_length` bytes is an error.
pub fn unpack(packed: &[u8], max_length: usize) -> Result<Vec<u8>, PeerError> {
    let (kind, body) = packed.split_first().ok_or(PeerError::Malformed)?;
    match *kind {
        PLAIN => Ok(body.to_vec()),
        DEFLATED => {
            let mut unpacked = Vec::new();
            DeflateDecoder::new(body)
                .take(max_length as u64 + 1)
                .read_to_end(&mut unpacked)
                .map_err(|_| PeerError::Malformed)?;
            if unpacked.len() > max_length {
                return Err(PeerError::Length(unpacked.len()));
            }
            Ok(unpacked)
        }
        _ => Err(PeerError::Malformed),
    }
}
