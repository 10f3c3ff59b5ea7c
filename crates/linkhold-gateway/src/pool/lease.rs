//! Connections in use.

use std::sync::Arc;
use std::time::Duration;

use linkhold_core::service::instance::Instance;
use linkhold_core::service::regions::AllowedRegions;
use linkhold_core::tenancy::ConnectionHolder;
use tokio::time::Instant;

use super::{Pool, PooledConnection};
use crate::gate::Gate;
use crate::ports::{BackendConnection, Command};

/// How long a connection that may be silent for good has to answer: six times the
/// way between regions, there and back.
const PROOF_TIMEOUT: Duration = Duration::from_millis(250);

/// A connection in use. Dropped without [`Lease::release`], it is closed.
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

    /// Statements under way at the instance.
    pub(crate) fn gate(&self) -> &Arc<Gate> {
        &self.pool.gate
    }

    /// The instance it leads to.
    pub fn instance(&self) -> &Arc<Instance> {
        &self.pool.instance
    }

    /// Whose statements it carries.
    pub fn holder(&self) -> &ConnectionHolder {
        &self.present().holder
    }

    /// Whether no node on its way stands outside the regions.
    pub fn is_within(&self, regions: &AllowedRegions) -> bool {
        self.present().is_within(regions)
    }

    /// When the connection had been opened.
    pub fn opened_at(&self) -> std::time::Instant {
        self.present().opened_at.into_std()
    }

    fn present(&self) -> &PooledConnection<C> {
        self.pooled
            .as_ref()
            .expect("a lease has its connection until it is released")
    }

    /// The connection. Present until release or drop.
    pub fn pooled(&mut self) -> &mut PooledConnection<C> {
        self.pooled
            .as_mut()
            .expect("a lease has its connection until it is released")
    }

    /// Statements fell silent on another connection: those that are as old are asked
    /// before they are used.
    pub(crate) fn suspect_used_before(&self, sent_at: Instant) {
        self.pool.suspect_used_before(sent_at);
    }

    /// Whether the connection still answers. What is open on it is rolled back.
    pub(super) async fn answers(&mut self) -> bool {
        let pooled = self.pooled();
        let asking = pooled.connection.exchange(&[Command::Rollback]);
        let has_answered = matches!(tokio::time::timeout(PROOF_TIMEOUT, asking).await, Ok(Ok(_)));
        pooled.needs_rollback &= !has_answered;
        has_answered
    }

    /// Gives the connection back for others to use.
    pub fn release(mut self) {
        if let Some(pooled) = self.pooled.take() {
            self.pool.put_back(pooled);
        }
    }
}

impl<C: BackendConnection> Drop for Lease<C> {
    fn drop(&mut self) {
        if self.pooled.take().is_some() {
            self.pool.closed();
        }
    }
}
