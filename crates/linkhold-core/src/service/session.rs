//! State of one caller's session: values, prepared statements, transaction.

use std::collections::BTreeMap;
use std::time::Instant;

use bytes::Bytes;

/// Whether a statement changes data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Access {
    /// It only reads data.
    Read,
    /// It may change data.
    Write,
}

/// A prepared statement.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Prepared {
    /// Whether executing it changes data.
    pub access: Access,
    /// The statement's shape, which the proxy does not interpret.
    pub shape: Bytes,
}

/// Values set in a session, by name.
pub type SessionValues = BTreeMap<Bytes, Bytes>;

/// Session state that outlives a transaction.
#[derive(Debug, Default)]
pub struct SessionState {
    /// Values the caller has set.
    pub values: SessionValues,
    /// Statements the caller has prepared.
    pub prepared: BTreeMap<Bytes, Prepared>,
}

/// Status of a transaction as the caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionStatus {
    /// None is open.
    Idle,
    /// One is open.
    Open,
    /// One is open and has failed; only its end is accepted.
    Failed,
}

/// How a transaction was begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransactionStart {
    /// Whether it only reads.
    pub read_only: bool,
    /// When its first byte was known to have arrived.
    pub received_at: Instant,
}

/// Session state of a connection to an instance.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ConnectionState {
    /// Values set on the connection.
    pub values: SessionValues,
    /// Statements prepared on it.
    pub prepared: Vec<Prepared>,
}

/// Steps that bring a connection to a session's values.
#[derive(Debug, PartialEq, Eq)]
pub struct ValueChanges {
    /// Whether to discard everything on the connection first.
    pub discard: bool,
    /// Values to set, in this order.
    pub set: Vec<(Bytes, Bytes)>,
}

impl ConnectionState {
    /// Records that the connection gets the `wanted` values; returns the steps for
    /// that. A value can be replaced but not removed, so a surplus one requires a
    /// discard.
    pub fn adopt_values(&mut self, wanted: &SessionValues) -> ValueChanges {
        let discard = self.values.keys().any(|name| !wanted.contains_key(name));
        if discard {
            self.values.clear();
            self.prepared.clear();
        }
        let set = wanted
            .iter()
            .filter(|(name, value)| self.values.get(*name) != Some(value))
            .map(|(name, value)| (name.clone(), value.clone()))
            .collect();
        self.values.clone_from(wanted);
        ValueChanges { discard, set }
    }

    /// Number of a prepared statement on the connection, and whether it has to be
    /// prepared first.
    pub fn adopt_prepared(&mut self, wanted: &Prepared) -> (usize, bool) {
        if let Some(index) = self.prepared.iter().position(|known| known == wanted) {
            return (index, false);
        }
        self.prepared.push(wanted.clone());
        (self.prepared.len() - 1, true)
    }
}
