//! Failover leases as rows, claims of them that were read, and the last ones this node held.
//!
//! A row also tells what the store keeps of the service's promotions ([`LeadRecord`]).

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Instant;

use linkhold_core::position::Term;
use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::failover::{FailoverLease, era_of_token};
use linkhold_core::service::instance::InstanceId;
use linkhold_core::service::lead::LeadRecord;
use linkhold_core::service::permission::RecentClaim;
use linkhold_core::service::store_place::Era;
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
    #[serde(default, skip_serializing_if = "Option::is_none")]
    proved_term: Option<u64>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    claimed: Vec<String>,
}

/// A lease as a row's value, with what is kept of the service's promotions.
pub(crate) fn encode_lease(lease: &FailoverLease, record: &LeadRecord) -> Vec<u8> {
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

/// Reads a row's value; `None` if it is not a lease.
pub(crate) fn decode_lease(value: &[u8]) -> Option<(FailoverLease, LeadRecord)> {
    let row: LeaseRow = serde_json::from_slice(value).ok()?;
    let instance = |id: String| InstanceId(id.into());
    let record = LeadRecord {
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

/// Claims of leases as they were read.
#[derive(Clone, Debug)]
pub(crate) struct KnownClaims {
    /// Those under which a promotion may still take effect.
    pub claims: Vec<RecentClaim>,
    /// What is kept of the promotions of each service that ever had one.
    pub records: Vec<(ServiceName, LeadRecord)>,
    /// When they were read; their ages count from no later.
    pub read_at: Instant,
}

impl KnownClaims {
    /// The same with their ages as of now.
    pub fn aged(&self) -> Vec<RecentClaim> {
        let since = self.read_at.elapsed();
        let aged = |claim: &RecentClaim| RecentClaim {
            age: claim.age + since,
            ..claim.clone()
        };
        self.claims.iter().map(aged).collect()
    }
}

/// Leases this node claimed last.
#[derive(Default)]
pub(crate) struct HeldLeases {
    leases: Mutex<HashMap<ServiceName, FailoverLease>>,
    /// Orders under the last token of each service.
    orders: Mutex<HashMap<ServiceName, SentOrders>>,
}

/// Orders that this node sent under a token.
#[derive(Clone, Copy, Debug)]
struct SentOrders {
    token: u64,
    /// Those that were not answered: they may be carried out yet.
    unanswered: usize,
}

impl HeldLeases {
    /// This node claimed a lease.
    pub fn record(&self, service: &ServiceName, lease: &FailoverLease) {
        lock(&self.leases).insert(service.clone(), lease.clone());
    }

    /// Whether this node claimed the service's lease last, as far as it knows, in an era
    /// of the store.
    pub fn holds(&self, service: &str, node: &str, era: Era) -> bool {
        lock(&self.leases)
            .get(service)
            .is_some_and(|lease| lease.holder == node && era_of_token(lease.token) == era)
    }

    /// An order under a token is about to leave.
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

    /// It was answered, or did not leave. Whether no other one under its token is unanswered.
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

    /// A lease of this node's own as its row has it, with what only this node knows: for
    /// which successor its token was used without the store, and that its order was
    /// answered.
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

    /// Another node holds the lease now.
    pub fn forget(&self, service: &str) {
        lock(&self.leases).remove(service);
    }

    /// A lease on which this node may act although the store does not answer:
    /// its own last one, unused or for the same successor, if it was claimed in the store's
    /// era. `may_use`: the authority itself refuses tokens that are no longer the newest,
    /// and this process is certainly listed. From then on its token belongs to this
    /// successor.
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
