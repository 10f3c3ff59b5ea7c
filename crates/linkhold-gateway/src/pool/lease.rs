//! Connections that are checked out of a pool.

use std::sync::Arc;
use std::time::Duration;

use linkhold_core::service::instance::Instance;
use linkhold_core::service::regions::AllowedRegions;
use linkhold_core::tenancy::ConnectionHolder;
use tokio::time::Instant;

use super::{Pool, PooledConnection};
use crate::gate::Gate;
use crate::ports::{BackendConnection, Command};

/// How long a connection that may be silent for good has to answer a check: six times
/// the round trip between regions.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// A connection in use. It is closed if dropped without [`Lease::release`].
pub struct Lease<C: BackendConnection> {
    pool: Arc<Pool<C>>,
    pooled: Option<PooledConnection<C>>,
}

impl<C: BackendConnection> Lease<C> {
    pub(super) fn new(pool: Arc<Pool<C>>, pooled: PooledConnection<C>) -> Self {
        Self {
            pool,
            pooled: Some(pooled),
        }
    }

    /// The gate that limits concurrent statements at the instance.
    pub(crate) fn gate(&self) -> &Arc<Gate> {
        &self.pool.gate
    }

    /// The instance it is connected to.
    pub fn instance(&self) -> &Arc<Instance> {
        &self.pool.instance
    }

    /// The holder whose statements it carries.
    pub fn holder(&self) -> &ConnectionHolder {
        &self.pooled_ref().holder
    }

    /// Whether every node on the connection's path is in the regions.
    pub fn is_within(&self, regions: &AllowedRegions) -> bool {
        self.pooled_ref().is_within(regions)
    }

    /// When the connection had been opened.
    pub fn opened_at(&self) -> std::time::Instant {
        self.pooled_ref().opened_at.into_std()
    }

    fn pooled_ref(&self) -> &PooledConnection<C> {
        self.pooled
            .as_ref()
            .expect("a lease has its connection until it is released")
    }

    /// The connection, which is present until release or drop.
    pub fn pooled(&mut self) -> &mut PooledConnection<C> {
        self.pooled
            .as_mut()
            .expect("a lease has its connection until it is released")
    }

    /// Marks the pool's connections that were last used before `sent_at` to be checked
    /// before they are used again: a statement sent at that time got no answer on this
    /// connection.
    pub(crate) fn suspect_used_before(&self, sent_at: Instant) {
        self.pool.suspect_used_before(sent_at);
    }

    /// Checks whether the connection still answers, by rolling back its open
    /// transaction.
    pub(super) async fn answers(&mut self) -> bool {
        let pooled = self.pooled();
        let checking = pooled.connection.exchange(&[Command::Rollback]);
        let has_answered = matches!(
            tokio::time::timeout(CHECK_TIMEOUT, checking).await,
            Ok(Ok(_))
        );
        pooled.needs_rollback &= !has_answered;
        has_answered
    }

    /// Gives the connection back to the pool.
    pub fn release(mut self) {
        if let Some(pooled) = self.pooled.take() {
            self.pool.put_back(pooled);
        }
    }
}

impl<C: BackendConnection> Drop for Lease<C> {
    fn drop(&mut self) {
        if self.pooled.take().is_some() {
            self.pool.release_permit();
        }
    }
}
