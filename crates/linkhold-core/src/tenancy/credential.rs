//! Secrets that identify callers.
//!
//! # Invariant
//!
//! The secret itself is never stored: an adapter turns it into a digest as it
//! reads it. Even the digest is never printed or logged, and it is sent only in the
//! configuration that nodes pass to each other.

use std::fmt;

use sha2::{Digest, Sha256};

/// Bytes of a digest that are kept: enough that no two secrets collide.
pub const CREDENTIAL_BYTES: usize = 16;

/// A secret's digest. It compares and hashes like the secret and cannot be
/// printed.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Credential([u8; CREDENTIAL_BYTES]);

impl Credential {
    /// The credential of a secret (SHA-256, truncated).
    pub fn of_secret(secret: &[u8]) -> Self {
        let digest = Sha256::digest(secret);
        let mut kept = [0; CREDENTIAL_BYTES];
        kept.copy_from_slice(&digest[..CREDENTIAL_BYTES]);
        Self(kept)
    }

    /// The credential with a digest received from another node.
    pub fn from_digest(digest: [u8; CREDENTIAL_BYTES]) -> Self {
        Self(digest)
    }

    /// The digest, to be sent to other nodes.
    pub fn digest(&self) -> [u8; CREDENTIAL_BYTES] {
        self.0
    }
}

impl fmt::Debug for Credential {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Credential(hidden)")
    }
}
