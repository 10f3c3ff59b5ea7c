//! Calls to the platform's store. Each has a timeout and is counted by its reason
//! ([`crate::metrics::Metrics::store_calls`]).

use std::time::Duration;

use linkhold_core::service::store_revision::{Era, StoreRevision};
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::metrics::Label;
use crate::ports::{FleetTable, Platform, RowRange, StoreError};

/// How long the store may take until the beginning of its answer to a call that it need
/// not hold.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a whole answer may take: [`CALL_TIMEOUT`] and 3.2 s for two megabytes, the
/// configuration of a fleet of hundreds of services, over a shared link of 10 Mbit/s.
pub(crate) const READ_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Why the store is called; a label of the metric that counts its calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallReason {
    /// A node that starts, or has lost its readers, reads the fleet.
    Look,
    /// A row shared by all nodes is written: the key between them, or the store's era.
    Key,
    /// A node's row is written.
    Register,
    /// A reader reads the fleet.
    Fleet,
    /// The configuration is read or followed.
    Configuration,
    /// Instances are read or followed.
    Instances,
    /// A lease is read or written.
    Lease,
    /// All nodes are listed before a primary is replaced.
    List,
    /// A node's row is removed.
    Remove,
    /// The logs of a service are read or written.
    LogGroup,
}

impl Label for CallReason {
    const NAMES: &'static [&'static str] = &[
        "look",
        "key",
        "register",
        "fleet",
        "configuration",
        "instances",
        "lease",
        "list",
        "remove",
        "log_group",
    ];

    fn index(self) -> usize {
        self as usize
    }
}

/// Makes a call to the store; fails with `NoAnswer` after `limit`.
pub(crate) async fn with_timeout<T>(
    call: impl Future<Output = Result<T, StoreError>>,
    limit: Duration,
) -> Result<T, StoreError> {
    timeout(limit, call)
        .await
        .unwrap_or(Err(StoreError::NoAnswer))
}

/// A row as it was read.
pub(crate) struct RowRead<T> {
    /// `None` if the store has none.
    pub value: Option<T>,
    /// The version under which the row may be written.
    pub version: StoreRevision,
    /// The store's clock, in Unix milliseconds, when the row was read.
    pub now: u64,
    /// The store's era when the row was read.
    pub era: Era,
}

/// Reads one row. One that cannot be decoded is an error, so that nothing is decided by
/// it and nothing is written over it.
pub(crate) async fn read_row<P: Platform, T>(
    gateway: &Gateway<P>,
    table: FleetTable,
    key: &str,
    reason: CallReason,
    decode: impl FnOnce(&[u8]) -> Option<T>,
) -> Result<RowRead<T>, StoreError> {
    gateway.metrics.store_calls.count(reason);
    let call = gateway.platform.read_rows(table, RowRange::Key(key));
    let rows = call.await?;
    let row = rows.rows.first();
    let value = row
        .map(|row| decode(&row.value).ok_or(StoreError::Malformed))
        .transpose()?;
    Ok(RowRead {
        value,
        version: row.map_or_else(StoreRevision::default, |row| row.version),
        now: rows.now,
        era: rows.era,
    })
}
