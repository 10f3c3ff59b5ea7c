//! Calls to the platform's store. Each has a timeout and is counted by its reason
//! ([`crate::metrics::Metrics::store_calls`]).

use std::time::Duration;

use tokio::time::timeout;

use crate::metrics::Label;
use crate::ports::StoreError;

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
