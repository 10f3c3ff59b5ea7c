//! Connections that are held for a session.

use std::sync::Arc;

use linkhold_core::service::instance::Instance;
use linkhold_core::service::regions::AllowedRegions;
use linkhold_core::service::session::TransactionStatus;

use crate::forward::LentConnection;
use crate::gateway::Gateway;
use crate::pool::Lease;
use crate::ports::{BackendConnection, BackendConnector, Platform};
use crate::request::batch;

/// The connection type of a platform.
pub(crate) type ConnectionOf<P> = <P as BackendConnector>::Connection;

/// A connection that is held for a session.
pub(crate) enum HeldConnection<P: Platform> {
    /// A connection of this node.
    Own(Lease<ConnectionOf<P>>),
    /// A connection that an owner holds for this node.
    Lent(LentConnection),
}

impl<P: Platform> HeldConnection<P> {
    /// The instance at the other end.
    pub fn instance(&self) -> &Arc<Instance> {
        match self {
            Self::Own(lease) => lease.instance(),
            Self::Lent(lent) => lent.instance(),
        }
    }

    /// Whether the instance and every node on the path to it are in the allowed regions.
    pub fn is_within(&self, gateway: &Gateway<P>, regions: &AllowedRegions) -> bool {
        let permits_zone = |zone: &str| regions.permits(&gateway.settings.zone_map.region(zone));
        match self {
            Self::Own(lease) => lease.is_within(regions) && permits_zone(&lease.instance().zone),
            Self::Lent(lent) => {
                let owner = gateway
                    .fleet
                    .region_of(lent.owner(), &gateway.settings.zone_map);
                let sees = owner.is_some_and(|region| regions.permits(&region));
                (!regions.is_restricted() || sees) && permits_zone(&lent.instance().zone)
            }
        }
    }

    /// Gives the connection back. A transaction that `status` says is still open is
    /// rolled back before the next use.
    pub fn finish(self, status: TransactionStatus) {
        match self {
            Self::Own(lease) => finish_lease(lease, status),
            Self::Lent(lent) => lent.release(),
        }
    }
}

/// Gives a connection of this node back and marks it for rollback before its next use
/// unless it is idle. Closes it if it has too many prepared statements.
pub(crate) fn finish_lease<C: BackendConnection>(mut lease: Lease<C>, status: TransactionStatus) {
    if batch::has_too_many_prepared(lease.pooled()) {
        return;
    }
    lease.pooled().needs_rollback = status != TransactionStatus::Idle;
    lease.release();
}
