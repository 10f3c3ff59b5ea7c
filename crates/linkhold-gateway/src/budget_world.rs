//! The node as the admission of tenants sees it.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use linkhold_core::tenancy::budget::VIEW_SETTLE;
use linkhold_core::tenancy::{QuotaRules, RateLimit};
use linkhold_peer::{BudgetMessage, encode_budget};

use crate::admission::{BudgetWorld, Coordinator, Quotas};
use crate::gateway::Gateway;
use crate::ports::{FleetTable, Platform, RowRange, StoreError, StoredRows, WriteResult};
use crate::registration;
use crate::store_call::{CALL_TIMEOUT, CallReason, bounded};

impl<P: Platform> BudgetWorld for Gateway<P> {
    fn quotas(&self) -> &Quotas {
        &self.quotas
    }

    fn quota_rules(&self) -> Option<QuotaRules> {
        self.settings.quota
    }

    fn limit(&self, tenant: &str) -> Option<RateLimit> {
        let configuration = self.beliefs.configuration()?;
        configuration.tenancy.as_ref()?.limit(tenant)
    }

    fn coordinators(&self, tenant: &str) -> Vec<Coordinator> {
        if self.settings.peer_address.is_none() {
            // It is alone.
            return vec![Coordinator::Itself];
        }
        self.fleet.coordinators(&self.settings.node, tenant)
    }

    fn view_age(&self) -> Duration {
        self.beliefs.directory_age()
    }

    fn is_leaving(&self) -> bool {
        Self::is_leaving(self)
    }

    fn settled_at(&self) -> Instant {
        if self.fleet.was_listed_at_start() {
            self.started_at
        } else {
            self.started_at + VIEW_SETTLE
        }
    }

    fn node(&self) -> &str {
        &self.settings.node
    }

    async fn send(&self, to: SocketAddr, message: BudgetMessage) {
        if let Some(key) = self.fleet.key() {
            self.peers.send(to, &encode_budget(&message, &key)).await;
        }
    }

    async fn knows_all_listed(&self) -> Result<bool, StoreError> {
        let listed = registration::list_nodes(self).await?;
        let known: HashSet<SocketAddr> =
            self.fleet.peers(&self.settings.node).into_iter().collect();
        Ok(listed.present.iter().all(|node| known.contains(node)))
    }

    async fn read_claims(&self, tenant: Option<&str>) -> Result<StoredRows, StoreError> {
        let range = tenant.map_or(RowRange::All, RowRange::Key);
        let call = self.platform.read_rows(FleetTable::BudgetClaims, range);
        self.metrics.store_calls.count(CallReason::Claim);
        bounded(call, CALL_TIMEOUT).await
    }

    async fn write_claim(
        &self,
        tenant: &str,
        value: Vec<u8>,
        expected: u64,
    ) -> Result<WriteResult, StoreError> {
        let table = FleetTable::BudgetClaims;
        let call = self
            .platform
            .write_row(table, tenant, value, Some(expected));
        self.metrics.store_calls.count(CallReason::Claim);
        bounded(call, CALL_TIMEOUT).await
    }

    fn count_refusal(&self) {
        self.metrics.over_quota.add();
    }

    fn count_question(&self) {
        self.metrics.budget_questions.add();
    }
}

/// Milliseconds of a duration, for messages.
pub(crate) fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
