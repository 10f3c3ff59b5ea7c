//! Connections of a pool, with their state.

use linkhold_core::service::regions::{AllowedRegions, RegionName};
use linkhold_core::service::session::ConnectionState;
use linkhold_core::tenancy::ConnectionHolder;
use tokio::time::Instant;

/// A connection and the session state that was applied to it.
pub struct PooledConnection<C> {
    /// The connection.
    pub connection: C,
    /// The holder whose statements it carries.
    pub(super) holder: ConnectionHolder,
    /// Session values and prepared statements on it.
    pub state: ConnectionState,
    /// Whether a transaction of the last user is still to be rolled back.
    pub needs_rollback: bool,
    /// Limits of a relayed connection; `None` for a direct connection to the instance.
    pub(super) relayed: Option<Relayed>,
    /// When it was last given back.
    pub(super) given_back_at: Instant,
    /// When it had been opened.
    pub(super) opened_at: Instant,
}

/// Limits of a relayed connection.
pub(super) struct Relayed {
    /// The region of the peer.
    pub region: RegionName,
    /// Until when the connection may be reused.
    pub reuse_until: Instant,
}

impl<C> PooledConnection<C> {
    /// Whether the connection may be reused.
    pub(super) fn may_be_reused(&self) -> bool {
        let relayed = self.relayed.as_ref();
        relayed.is_none_or(|relayed| Instant::now() < relayed.reuse_until)
    }

    /// Whether every node on the connection's path is in the regions.
    pub(super) fn is_within(&self, regions: &AllowedRegions) -> bool {
        let relayed = self.relayed.as_ref();
        relayed.is_none_or(|relayed| regions.permits(&relayed.region))
    }

    /// Whether the connection may carry statements of a holder in these regions.
    pub(super) fn may_serve(&self, holder: &ConnectionHolder, regions: &AllowedRegions) -> bool {
        self.holder == *holder && self.is_within(regions)
    }
}
