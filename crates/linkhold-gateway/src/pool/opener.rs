//! Opening of a pool's connections.

use std::time::Duration;

use linkhold_core::service::instance::Instance;
use linkhold_core::service::regions::{AllowedRegions, RegionName};
use linkhold_core::tenancy::ConnectionHolder;

use crate::ports::ConnectError;

/// Age up to which a relayed connection is reused for other requests.
pub(crate) const MAX_RELAYED_AGE: Duration = Duration::from_millis(1_000);

/// A newly opened connection to an instance.
pub(crate) struct Connected<C> {
    /// The connection.
    pub connection: C,
    /// Region of the peer that relays the connection; `None` if it is direct.
    pub relayed_through: Option<RegionName>,
}

/// Opens the connections of a pool.
pub(crate) trait Opener<C>: Send + Sync + 'static {
    /// Connects to an instance for a holder, directly or through a node in the allowed
    /// regions.
    fn open(
        &self,
        instance: &Instance,
        holder: &ConnectionHolder,
        regions: &AllowedRegions,
    ) -> impl Future<Output = Result<Connected<C>, ConnectError>> + Send;

    /// Handles a connection that could not be opened, or not in time.
    fn open_failed(&self, instance: &Instance, error: ConnectError);
}
