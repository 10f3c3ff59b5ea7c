//! Implements what the admission of tenants requires from its node.

use std::net::SocketAddr;
use std::time::Duration;

use linkhold_core::tenancy::{QuotaRules, RateLimit};
use linkhold_peer::{BudgetMessage, encode_budget};

use crate::admission::{BudgetEnvironment, Coordinator, Quotas};
use crate::gateway::Gateway;
use crate::ports::Platform;

impl<P: Platform> BudgetEnvironment for Gateway<P> {
    fn quotas(&self) -> &Quotas {
        &self.quotas
    }

    fn quota_rules(&self) -> Option<QuotaRules> {
        self.settings.quota
    }

    fn limit(&self, tenant: &str) -> Option<RateLimit> {
        let configuration = self.cluster.configuration()?;
        configuration.tenancy.as_ref()?.limit(tenant)
    }

    fn coordinators(&self, tenant: &str) -> Vec<Coordinator> {
        if self.settings.peer_address.is_none() {
            // The node has no peers.
            return vec![Coordinator::Itself];
        }
        self.fleet.coordinators(&self.settings.node, tenant)
    }

    fn view_age(&self) -> Duration {
        // A node that has just started has read the fleet and follows no reader yet.
        let own_reading = self.fleet.last_read_age();
        self.cluster.directory_age().min(own_reading)
    }

    fn uptime(&self) -> Duration {
        self.started_at.elapsed()
    }

    async fn send(&self, to: SocketAddr, message: BudgetMessage) {
        if let Some(key) = self.fleet.key() {
            self.peers.send(to, &encode_budget(&message, &key)).await;
        }
    }

    fn count_refusal(&self) {
        self.metrics.over_quota.add();
    }

    fn count_question(&self) {
        self.metrics.budget_questions.add();
    }
}
