//! The caller's identity and permissions that go with a statement.

use linkhold_core::service::regions::AllowedRegions;
use linkhold_core::service::session::SessionValues;
use linkhold_core::tenancy::ConnectionHolder;

/// On whose behalf a statement runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Principal<'a> {
    /// Holder of the connections that the statement may use.
    pub holder: &'a ConnectionHolder,
    /// Values of the session.
    pub values: &'a SessionValues,
    /// Regions in which the statement may run, and in which other nodes may see it.
    pub regions: &'a AllowedRegions,
}
