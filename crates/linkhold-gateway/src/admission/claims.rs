//! Claims of coordinators: rows of the platform's store, one a tenant.
//!
//! A claim is taken by a read and a conditional write. What it permits is decided
//! by [`linkhold_core::tenancy::budget`]; time is counted from before the first
//! call.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use linkhold_core::tenancy::TenantName;
use linkhold_core::tenancy::budget::{ClaimExtent, OthersClaim};
use linkhold_events::Event;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::beliefs::lock;
use crate::ports::{StoreError, StoredRows, WriteResult};

use super::{BudgetWorld, coordinator};

/// Pause before the store is asked again for claims after a failure.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

#[derive(Serialize, Deserialize)]
struct ClaimRow {
    /// Name of the node and the number of its life.
    holder: String,
    /// All that is owed may be granted, not only half.
    is_whole: bool,
    /// The store's clock before it was written, in milliseconds.
    written_at: u64,
}

/// A claim as it was found, and its row's version.
struct Found {
    claim: ClaimRow,
    version: u64,
    /// How long ago it was written.
    age: Duration,
}

/// Claims by tenant. Rows that make no sense count as whole claims just written.
fn decode(rows: StoredRows) -> HashMap<String, Found> {
    let now = rows.now;
    let found = rows.rows.into_iter().map(|row| {
        let claim = serde_json::from_slice(&row.value).unwrap_or_else(|_| ClaimRow {
            holder: String::new(),
            is_whole: true,
            written_at: now,
        });
        let age = Duration::from_millis(now.saturating_sub(claim.written_at));
        let found = Found {
            claim,
            version: row.version,
            age,
        };
        (row.key, found)
    });
    found.collect()
}

impl Found {
    /// The claim, unless it is this life's own.
    fn of_others(&self, own: &str) -> Option<OthersClaim> {
        (self.claim.holder != own).then_some(OthersClaim {
            extent: if self.claim.is_whole {
                ClaimExtent::Whole
            } else {
                ClaimExtent::Half
            },
            age: self.age,
        })
    }
}

/// This life of this node.
fn holder<W: BudgetWorld>(world: &Arc<W>) -> String {
    format!("{}/{}", world.node(), world.quotas().life())
}

/// Reads all claims, unless that is under way.
pub(super) fn read_in_background<W: BudgetWorld>(world: &Arc<W>) {
    let is_reading = &world.quotas().coordination.is_reading_claims;
    if is_reading.swap(true, Ordering::Relaxed) {
        return;
    }
    let reader = world.clone();
    world.spawn(async move {
        if let Err(error) = read(&reader).await {
            Event::warn("budget_claims_unread")
                .field("error", error)
                .log();
            sleep(FAILURE_PAUSE).await;
        }
        let is_reading = &reader.quotas().coordination.is_reading_claims;
        is_reading.store(false, Ordering::Relaxed);
    });
}

async fn read<W: BudgetWorld>(world: &Arc<W>) -> Result<(), StoreError> {
    let waiting: Vec<TenantName> = {
        let budgets = lock(&world.quotas().coordination.budgets);
        let waiting = budgets
            .iter()
            .filter(|(_, entry)| entry.budget.needs_reading(entry.standing));
        waiting.map(|(tenant, _)| tenant.clone()).collect()
    };
    let found = decode(world.read_claims(None).await?);
    let own = holder(world);
    let now = Instant::now();
    for tenant in waiting {
        let Some(terms) = coordinator::terms(world, &tenant) else {
            continue;
        };
        let others = found.get(&*tenant).and_then(|it| it.of_others(&own));
        if let Some(entry) = lock(&world.quotas().coordination.budgets).get_mut(&tenant) {
            entry.budget.claims_read(now, others, &terms);
        }
    }
    Ok(())
}

/// Takes or renews a tenant's claim.
pub(super) fn take_in_background<W: BudgetWorld>(
    world: &Arc<W>,
    tenant: &TenantName,
    extent: ClaimExtent,
) {
    let claimer = world.clone();
    let tenant = tenant.clone();
    world.spawn(async move {
        let taken = take(&claimer, &tenant, extent).await;
        log_claim(&tenant, extent, &taken);
        if !matches!(taken, Ok(Claiming::Taken)) {
            sleep(FAILURE_PAUSE).await;
        }
        let mut budgets = lock(&claimer.quotas().coordination.budgets);
        if let Some(entry) = budgets.get_mut(&tenant) {
            entry.is_claiming = false;
        }
    });
}

/// How the taking of a claim ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Claiming {
    Taken,
    /// Another's claim still holds.
    Held,
    /// Another wrote at the same time.
    Raced,
    /// This node's view of the fleet is behind: it may not be the first.
    ViewBehind,
    /// The tenant has no limit any more.
    NotLimited,
}

async fn take<W: BudgetWorld>(
    world: &Arc<W>,
    tenant: &TenantName,
    extent: ClaimExtent,
) -> Result<Claiming, StoreError> {
    let asked_at = Instant::now();
    if extent == ClaimExtent::Whole && !world.knows_all_listed().await? {
        return Ok(Claiming::ViewBehind);
    }
    let rows = world.read_claims(Some(tenant)).await?;
    let store_now = rows.now;
    let found = decode(rows).remove(&**tenant);
    let own = holder(world);
    let others = found.as_ref().and_then(|it| it.of_others(&own));
    if extent == ClaimExtent::Half && others.is_some_and(|claim| claim.holds()) {
        return Ok(Claiming::Held);
    }
    let row = ClaimRow {
        holder: own,
        is_whole: extent == ClaimExtent::Whole,
        written_at: store_now,
    };
    let value = serde_json::to_vec(&row).map_err(|_| StoreError::Malformed)?;
    let version = found.map_or(0, |found| found.version);
    if world.write_claim(tenant, value, version).await? == WriteResult::Conflict {
        forget_claim(world, tenant);
        return Ok(Claiming::Raced);
    }
    let Some(terms) = coordinator::terms(world, tenant) else {
        return Ok(Claiming::NotLimited);
    };
    let mut budgets = lock(&world.quotas().coordination.budgets);
    if let Some(entry) = budgets.get_mut(tenant) {
        entry.budget.claimed(asked_at, extent, others, &terms);
    }
    Ok(Claiming::Taken)
}

fn forget_claim<W: BudgetWorld>(world: &Arc<W>, tenant: &TenantName) {
    let mut budgets = lock(&world.quotas().coordination.budgets);
    if let Some(entry) = budgets.get_mut(tenant) {
        entry.budget.claim_lost();
    }
}

fn log_claim(tenant: &TenantName, extent: ClaimExtent, taken: &Result<Claiming, StoreError>) {
    let event = match taken {
        Ok(ended) => Event::info("budget_claim").field("outcome", format_args!("{ended:?}")),
        Err(error) => Event::warn("budget_claim").field("outcome", error),
    };
    event
        .field("tenant", tenant)
        .field("extent", format_args!("{extent:?}"))
        .log();
}
