//! The platform's store: configuration, instances, the fleet's own rows.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use linkhold_core::service::configuration::Configuration;
use linkhold_core::service::evacuation::{EvacuationChange, ZoneName};
use linkhold_core::service::instance::Instance;
use linkhold_core::service::store_revision::{Era, StoreRevision};
use thiserror::Error;

/// The store could not be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// It refused the call; nothing was done.
    #[error("store refused the call")]
    Refused,
    /// No answer, or a broken one; a write may have been done.
    #[error("store gave no answer")]
    NoAnswer,
    /// Changes since a place are no longer known, or the place is of another era.
    #[error("store has forgotten its history")]
    HistoryGone,
    /// A write rested on what was read in another era. It was done.
    #[error("store has come back from an older copy meanwhile")]
    OtherEra,
    /// The answer made no sense.
    #[error("store gave an answer that makes no sense")]
    Malformed,
}

/// A change to one entry of the instance directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryChange {
    /// The entry is there and reads so.
    Present(Instance),
    /// The entry of the instance with this name is gone.
    Absent(Arc<str>),
}

/// Everything that the operator asks for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorState {
    /// The newest configuration, if there is one.
    pub configuration: Option<Configuration>,
    /// The zones that are evacuated.
    pub evacuated: Vec<ZoneName>,
}

/// What has changed in what the operator asks for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorChanges {
    /// A newer configuration, if there is one.
    pub configuration: Option<Configuration>,
    /// Zones that are evacuated, or no longer, in their order.
    pub evacuations: Vec<EvacuationChange>,
}

/// Where the operator's wishes come from.
pub trait OperatorSource: Send + Sync + 'static {
    /// All of them, and the place from which to follow.
    fn read_operator(
        &self,
    ) -> impl Future<Output = Result<(OperatorState, StoreRevision), StoreError>> + Send;
    /// Changes; returns when there is one or after `wait`.
    fn follow_operator(
        &self,
        from: StoreRevision,
        wait: Duration,
    ) -> impl Future<Output = Result<(OperatorChanges, StoreRevision), StoreError>> + Send;
}

/// Where instances announce themselves.
pub trait InstanceDirectory: Send + Sync + 'static {
    /// Entries that were found so far and name no instance, each version of one once.
    fn unusable_entries(&self) -> u64;
    /// All instances, and the place from which to follow.
    fn read_instances(
        &self,
    ) -> impl Future<Output = Result<(Vec<Instance>, StoreRevision), StoreError>> + Send;
    /// Changes; returns when there is one or after `wait`.
    fn follow_instances(
        &self,
        from: StoreRevision,
        wait: Duration,
    ) -> impl Future<Output = Result<(Vec<DirectoryChange>, StoreRevision), StoreError>> + Send;
}

/// A row of the metadata store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// Version for conditional writes.
    pub version: StoreRevision,
}

/// Which rows of a table are read, in the order of their keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowRange<'a> {
    /// All of them.
    All,
    /// The one with this key.
    Key(&'a str),
}

/// Rows and the store's clock.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredRows {
    /// The rows in the order of their keys.
    pub rows: Vec<StoredRow>,
    /// The store's steady clock, in milliseconds.
    pub now: u64,
    /// The era in which they were read.
    pub era: Era,
}

/// A row to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowWrite<'a> {
    /// Its table.
    pub table: FleetTable,
    /// Its key.
    pub key: &'a str,
    /// Its value.
    pub value: Vec<u8>,
    /// Version that it must have (the default: not there); `None`: any.
    pub expected: Option<StoreRevision>,
}

/// Result of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// Done; the rows have this version, unless others wrote at the same time.
    Written(StoreRevision),
    /// The row had changed; nothing was done.
    Conflict,
}

/// A table of the fleet's own in the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetTable {
    /// Nodes that are in service, and the key between them.
    Nodes,
    /// Failover leases by service.
    Leases,
    /// Those of them that were ever claimed for a successor, as they were claimed last.
    Claims,
}

/// Small rows that outlive every node, with conditional writes.
pub trait MetadataStore: Send + Sync + 'static {
    /// Reads rows of a table.
    fn read_rows(
        &self,
        table: FleetTable,
        range: RowRange<'_>,
    ) -> impl Future<Output = Result<StoredRows, StoreError>> + Send;
    /// Writes rows of any tables, all of them or, if one is not as it is expected to be, none.
    fn write_rows(
        &self,
        rows: &[RowWrite<'_>],
    ) -> impl Future<Output = Result<WriteResult, StoreError>> + Send;
    /// Removes a row if it still has `expected` as version.
    fn remove_row(
        &self,
        table: FleetTable,
        key: &str,
        expected: StoreRevision,
    ) -> impl Future<Output = Result<WriteResult, StoreError>> + Send;
}
