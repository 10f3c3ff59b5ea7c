//! Interfaces through which the engine accesses its platform.
//!
//! An adapter translates these typed messages to one platform's protocols. It makes no
//! decisions, retries nothing and keeps no state between calls.

mod authority;
mod backend;
mod caller;
mod store;

pub use authority::{FailoverAuthority, PromoteAnswer, PromoteOrder};
pub use backend::{
    BackendConnection, BackendConnector, BackendErrorKind, BackendOutcome, BackendReply, Command,
    ConnectError, ExchangeError, StatusReader, StatusReply,
};
pub use caller::{
    CallerConnection, CallerError, CallerReply, CallerRequest, Rejection, Startup, Statement,
};
pub use store::{
    DirectoryChange, FleetTable, InstanceDirectory, MetadataStore, OperatorChanges, OperatorSource,
    OperatorState, RowRange, RowWrite, StoreError, StoredRow, StoredRows, WriteResult,
};

/// All interfaces that the engine requires from its platform.
pub trait Platform:
    OperatorSource
    + InstanceDirectory
    + MetadataStore
    + FailoverAuthority
    + BackendConnector
    + StatusReader
{
}

impl<T> Platform for T where
    T: OperatorSource
        + InstanceDirectory
        + MetadataStore
        + FailoverAuthority
        + BackendConnector
        + StatusReader
{
}
