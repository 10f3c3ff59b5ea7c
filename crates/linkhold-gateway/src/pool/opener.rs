//! What opens a pool's connections.

use std::time::Duration;

use linkhold_core::service::instance::Instance;
use linkhold_core::service::regions::{AllowedRegions, RegionName};
use linkhold_core::tenancy::ConnectionHolder;

use crate::ports::ConnectError;

/// Age up to which a relayed connection is used for other requests.
pub(crate) const LONGEST_REUSE: Duration = Duration::from_millis(1_000);

/// A connection to an instance.
pub(crate) struct Connected<C> {
    /// The connection.
    pub connection: C,
    /// The region of the peer through which it goes, if it does.
    pub relayed_through: Option<RegionName>,
}

/// Opens the connections of a pool.
pub(crate) trait Opener<C>: Send + Sync + 'static {
    /// Connects to an instance for a holder, through no node outside the regions.
    fn open(
        &self,
        instance: &Instance,
        holder: &ConnectionHolder,
        regions: &AllowedRegions,
    ) -> impl Future<Output = Result<Connected<C>, ConnectError>> + Send;

    /// A connection could not be made, or not in time.
    fn open_failed(&self, instance: &Instance, error: ConnectError);
}
