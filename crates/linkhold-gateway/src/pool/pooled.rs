//! Connections as a pool keeps them.

use linkhold_core::service::regions::{AllowedRegions, RegionName};
use linkhold_core::service::session::ConnectionState;
use linkhold_core::tenancy::ConnectionHolder;
use tokio::time::Instant;

/// A connection and what it was told.
pub struct PooledConnection<C> {
    /// The connection.
    pub connection: C,
    /// Whose statements it carries.
    pub(super) holder: ConnectionHolder,
    /// Values and prepared statements on it.
    pub state: ConnectionState,
    /// A transaction of the last user is still to be rolled back.
    pub needs_rollback: bool,
    /// Through which region it is relayed, and until when it may be used again;
    /// `None` if it goes straight to the instance.
    pub(super) relayed: Option<Relayed>,
    /// When it was given back last.
    pub(super) given_back_at: Instant,
    /// When it had been opened.
    pub(super) opened_at: Instant,
}

/// What a relayed connection is bound by.
pub(super) struct Relayed {
    /// The region of the peer.
    pub region: RegionName,
    /// Until when it may be used again.
    pub reuse_until: Instant,
}

impl<C> PooledConnection<C> {
    /// Whether it may be used again.
    pub(super) fn may_be_reused(&self) -> bool {
        let relayed = self.relayed.as_ref();
        relayed.is_none_or(|relayed| Instant::now() < relayed.reuse_until)
    }

    /// Whether no node on its way stands outside the regions.
    pub(super) fn is_within(&self, regions: &AllowedRegions) -> bool {
        let relayed = self.relayed.as_ref();
        relayed.is_none_or(|relayed| regions.permits(&relayed.region))
    }

    /// Whether it may carry a principal's statements.
    pub(super) fn suits(&self, holder: &ConnectionHolder, regions: &AllowedRegions) -> bool {
        self.holder == *holder && self.is_within(regions)
    }
}
