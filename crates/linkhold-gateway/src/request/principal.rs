//! For whom a statement is run, which every way that it takes has to know.

use linkhold_core::service::regions::AllowedRegions;
use linkhold_core::service::session::SessionValues;
use linkhold_core::tenancy::ConnectionHolder;

/// For whom a statement is run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Principal<'a> {
    /// Whose connection it needs.
    pub holder: &'a ConnectionHolder,
    /// Values of the session.
    pub values: &'a SessionValues,
    /// Regions in which it may be run, and seen by other nodes.
    pub regions: &'a AllowedRegions,
}
