//! Failover leases as rows, the claims of leases that were read, and the leases this node
//! held last.
//!
//! A row also holds the store's record of the service's promotions ([`PromotionRecord`]).

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Instant;

use linkhold_core::position::Term;
use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::failover::{FailoverLease, era_of_token};
use linkhold_core::service::instance::InstanceId;
use linkhold_core::service::permission::RecentClaim;
use linkhold_core::service::primary_verification::PromotionRecord;
use linkhold_core::service::store_revision::Era;
use serde::{Deserialize, Serialize};

use crate::cluster_state::lock;

#[derive(Serialize, Deserialize)]
struct LeaseRow {
    holder: String,
    token: u64,
    claimed_at: u64,
    successor: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    ordered_at: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    proved_term: Option<u64>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    claimed: Vec<String>,
}

/// Encodes a lease and the record of the service's promotions as a row's value.
pub(crate) fn encode_lease(lease: &FailoverLease, record: &PromotionRecord) -> Vec<u8> {
    let row = LeaseRow {
        holder: lease.holder.clone(),
        token: lease.token,
        claimed_at: lease.claimed_at,
        successor: lease.successor.as_ref().map(ToString::to_string),
        ordered_at: lease.ordered_at,
        proved_term: record.proved_term.map(|term| term.0),
        claimed: record.claimed.iter().map(ToString::to_string).collect(),
    };
    serde_json::to_vec(&row).expect("a lease has nothing that cannot be written")
}

/// Decodes a row's value; `None` if it is not a lease.
pub(crate) fn decode_lease(value: &[u8]) -> Option<(FailoverLease, PromotionRecord)> {
    let row: LeaseRow = serde_json::from_slice(value).ok()?;
    let instance = |id: String| InstanceId(id.into());
    let record = PromotionRecord {
        proved_term: row.proved_term.map(Term),
        claimed: row.claimed.into_iter().map(instance).collect(),
    };
    let lease = FailoverLease {
        holder: row.holder,
        token: row.token,
        claimed_at: row.claimed_at,
        successor: row.successor.map(instance),
        ordered_at: row.ordered_at,
    };
    Some((lease, record))
}

/// Claims of leases as read from the store.
#[derive(Clone, Debug)]
pub(crate) struct KnownClaims {
    /// Claims under which a promotion may still take effect.
    pub claims: Vec<RecentClaim>,
    /// The record of promotions of each service that ever had one.
    pub records: Vec<(ServiceName, PromotionRecord)>,
    /// When they were read; the ages were taken no later than that.
    pub read_at: Instant,
}

impl KnownClaims {
    /// The claims with their present ages.
    pub fn aged(&self) -> Vec<RecentClaim> {
        let since = self.read_at.elapsed();
        let aged = |claim: &RecentClaim| RecentClaim {
            age: claim.age + since,
            ..claim.clone()
        };
        self.claims.iter().map(aged).collect()
    }
}

/// The leases this node claimed last.
#[derive(Default)]
pub(crate) struct HeldLeases {
    leases: Mutex<HashMap<ServiceName, FailoverLease>>,
    /// Promotion orders sent under the last token of each service.
    orders: Mutex<HashMap<ServiceName, SentOrders>>,
}

/// Promotion orders that this node sent under a token.
#[derive(Clone, Copy, Debug)]
struct SentOrders {
    token: u64,
    /// Number of orders without an answer: they may still be carried out.
    unanswered: usize,
}

impl HeldLeases {
    /// Records a lease that this node claimed.
    pub fn record(&self, service: &ServiceName, lease: &FailoverLease) {
        lock(&self.leases).insert(service.clone(), lease.clone());
    }

    /// Whether this node, as far as it knows, was the last to claim the service's
    /// lease, and did so in this era of the store.
    pub fn holds(&self, service: &str, node: &str, era: Era) -> bool {
        lock(&self.leases)
            .get(service)
            .is_some_and(|lease| lease.holder == node && era_of_token(lease.token) == era)
    }

    /// Records that an order under a token is about to be sent.
    pub fn record_order(&self, service: &ServiceName, token: u64) {
        let mut orders = lock(&self.orders);
        let sent = orders
            .entry(service.clone())
            .and_modify(|sent| sent.unanswered *= usize::from(sent.token == token))
            .or_insert(SentOrders {
                token,
                unanswered: 0,
            });
        sent.token = token;
        sent.unanswered += 1;
    }

    /// Records that an order was answered or not sent. Returns whether no order under its
    /// token is unanswered any more; false if the token is not the last one.
    pub fn record_order_answer(&self, service: &str, token: u64) -> bool {
        let mut orders = lock(&self.orders);
        let Some(sent) = orders.get_mut(service).filter(|sent| sent.token == token) else {
            return false;
        };
        sent.unanswered = sent.unanswered.saturating_sub(1);
        sent.unanswered == 0
    }

    /// Whether all orders that this node sent under a token were answered.
    fn all_answered(&self, service: &str, token: u64) -> bool {
        let orders = lock(&self.orders);
        let sent = orders.get(service);
        sent.is_some_and(|sent| sent.token == token && sent.unanswered == 0)
    }

    /// Completes a row of this node's own lease with what only this node knows: the
    /// successor for which its token was used without the store, and that all orders under
    /// it were answered.
    pub fn with_local_state(&self, service: &str, row: FailoverLease) -> FailoverLease {
        let mut lease = row;
        let held = lock(&self.leases).get(service).cloned();
        if let Some(held) = held.filter(|held| held.token == lease.token) {
            lease.successor = lease.successor.or(held.successor);
        }
        if self.all_answered(service, lease.token) {
            lease.ordered_at = None;
        }
        lease
    }

    /// Forgets a lease that another node holds now.
    pub fn forget(&self, service: &str) {
        lock(&self.leases).remove(service);
    }

    /// Returns a lease on which this node may act while the store does not answer: its own
    /// last one, unused or used for the same successor, if it was claimed in the store's
    /// present era. `may_use` states that the authority itself refuses tokens that are not
    /// the newest, and that this process is certainly listed. The lease's token then
    /// belongs to this successor.
    pub fn use_without_store(
        &self,
        service: &str,
        successor: &InstanceId,
        may_use: bool,
        era: Era,
    ) -> Option<FailoverLease> {
        if !may_use {
            return None;
        }
        let mut leases = lock(&self.leases);
        let lease = leases
            .get_mut(service)
            .filter(|lease| lease.may_promote(successor) && era_of_token(lease.token) == era)?;
        lease.successor = Some(successor.clone());
        Some(lease.clone())
    }
}
