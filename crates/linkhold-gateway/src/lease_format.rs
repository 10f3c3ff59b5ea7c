//! Failover leases as rows, and the last ones this node held.

use std::collections::HashMap;
use std::sync::Mutex;

use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::failover::FailoverLease;
use linkhold_core::service::instance::InstanceId;
use serde::{Deserialize, Serialize};

use crate::beliefs::lock;

#[derive(Serialize, Deserialize)]
struct LeaseRow {
    holder: String,
    token: u64,
    claimed_at: u64,
    successor: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    ordered_at: Option<u64>,
}

/// A lease as a row's value.
pub(crate) fn encode_lease(lease: &FailoverLease) -> Vec<u8> {
    let row = LeaseRow {
        holder: lease.holder.clone(),
        token: lease.token,
        claimed_at: lease.claimed_at,
        successor: lease.successor.as_ref().map(ToString::to_string),
        ordered_at: lease.ordered_at,
    };
    serde_json::to_vec(&row).expect("a lease has nothing that cannot be written")
}

/// Reads a row's value; `None` if it is not a lease.
pub(crate) fn decode_lease(value: &[u8]) -> Option<FailoverLease> {
    let row: LeaseRow = serde_json::from_slice(value).ok()?;
    Some(FailoverLease {
        holder: row.holder,
        token: row.token,
        claimed_at: row.claimed_at,
        successor: row.successor.map(|id| InstanceId(id.into())),
        ordered_at: row.ordered_at,
    })
}

/// Leases this node claimed last.
#[derive(Default)]
pub(crate) struct HeldLeases {
    leases: Mutex<HashMap<ServiceName, FailoverLease>>,
    /// Tokens under which an order was answered, by service: it is not carried out
    /// any more.
    answered: Mutex<HashMap<ServiceName, u64>>,
}

impl HeldLeases {
    /// This node claimed a lease.
    pub fn remember(&self, service: &ServiceName, lease: &FailoverLease) {
        lock(&self.leases).insert(service.clone(), lease.clone());
    }

    /// Whether this node claimed the service's lease last, as far as it knows.
    pub fn holds(&self, service: &str, node: &str) -> bool {
        lock(&self.leases)
            .get(service)
            .is_some_and(|lease| lease.holder == node)
    }

    /// The last order under a token was answered.
    pub fn answered(&self, service: &ServiceName, token: u64) {
        lock(&self.answered).insert(service.clone(), token);
    }

    /// A lease of this node's own as its row has it, with what only this node knows: for
    /// which successor its token was used without the store, and that its order was
    /// answered.
    pub fn completed(&self, service: &str, row: FailoverLease) -> FailoverLease {
        let mut lease = row;
        let held = lock(&self.leases).get(service).cloned();
        if let Some(held) = held.filter(|held| held.token == lease.token) {
            lease.successor = lease.successor.or(held.successor);
        }
        if lock(&self.answered).get(service) == Some(&lease.token) {
            lease.ordered_at = None;
        }
        lease
    }

    /// Another node holds the lease now.
    pub fn lost(&self, service: &str) {
        lock(&self.leases).remove(service);
    }

    /// A lease on which this node may act although the store does not answer:
    /// its own last one, unused or for the same successor, where the authority
    /// itself refuses tokens that are no longer the newest. From then on its
    /// token belongs to this successor.
    pub fn use_without_store(
        &self,
        service: &str,
        successor: &InstanceId,
        authority_checks_tokens: bool,
    ) -> Option<FailoverLease> {
        if !authority_checks_tokens {
            return None;
        }
        let mut leases = lock(&self.leases);
        let lease = leases
            .get_mut(service)
            .filter(|lease| lease.may_promote(successor))?;
        lease.successor = Some(successor.clone());
        Some(lease.clone())
    }
}
