//! Calls to the platform's store: each has a timeout and is counted by its reason
//! ([`crate::metrics::Metrics::store_calls`]).

use std::time::Duration;

use tokio::time::timeout;

use crate::metrics::Label;
use crate::ports::StoreError;

/// How long the store may take for a call that it need not hold, until the
/// beginning of its answer.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a whole answer may take, as long as it arrives: [`CALL_TIMEOUT`], and
/// 3.2 s for two megabytes, the configuration of a fleet of hundreds of services,
/// over a link of 10 Mbit/s that others use as well.
pub(crate) const READ_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Why the store is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallReason {
    /// A node that starts, or has lost its readers, looks at the fleet.
    Look,
    /// The key between nodes is made.
    Key,
    /// A row is written.
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
    /// A row is removed.
    Remove,
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
    ];

    fn index(self) -> usize {
        self as usize
    }
}

/// Makes a call that must be answered within `limit`.
pub(crate) async fn with_timeout<T>(
    call: impl Future<Output = Result<T, StoreError>>,
    limit: Duration,
) -> Result<T, StoreError> {
    timeout(limit, call)
        .await
        .unwrap_or(Err(StoreError::NoAnswer))
}
