//! A coordinator's side: grants tenants' budgets.

use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use linkhold_core::tenancy::TenantName;
use linkhold_core::tenancy::budget::{CoordinatedBudget, Grant, GrantTerms, Standing};
use linkhold_events::Event;

use crate::beliefs::lock;

use super::{BudgetWorld, Coordinator, claims};

/// When to ask again where the coordinator does not know the tenant yet.
const UNKNOWN_TENANT_RETRY: Duration = Duration::from_millis(150);

/// A tenant's budget at this node, and what is under way for it.
pub(super) struct Coordinated {
    pub budget: CoordinatedBudget,
    pub standing: Standing,
    pub is_claiming: bool,
}

/// Budgets that this node grants from.
#[derive(Default)]
pub(super) struct Coordination {
    pub budgets: Mutex<HashMap<TenantName, Coordinated>>,
    pub is_reading_claims: AtomicBool,
}

/// Grants a budget. Never waits.
pub(crate) fn grant<W: BudgetWorld>(world: &Arc<W>, tenant: &TenantName, wanted: u64) -> Grant {
    let Some(terms) = terms(world, tenant) else {
        return Grant {
            amount: 0,
            lapse: Duration::ZERO,
            retry_after: UNKNOWN_TENANT_RETRY,
        };
    };
    let now = Instant::now();
    let (grant, wanted_claim, needs_reading) = {
        let mut budgets = lock(&world.quotas().coordination.budgets);
        let entry = budgets
            .entry(tenant.clone())
            .or_insert_with(|| Coordinated {
                budget: CoordinatedBudget::default(),
                standing: terms.standing,
                is_claiming: false,
            });
        note_standing(entry, tenant, terms.standing);
        let grant = entry.budget.grant(now, wanted, &terms);
        let wanted_claim = entry
            .budget
            .wanted_claim(now, &terms)
            .filter(|_| !entry.is_claiming);
        entry.is_claiming |= wanted_claim.is_some();
        let needs_reading = entry.budget.needs_reading(terms.standing);
        (grant, wanted_claim, needs_reading)
    };
    if needs_reading {
        claims::read_in_background(world);
    }
    if let Some(extent) = wanted_claim {
        claims::take_in_background(world, tenant, extent);
    }
    grant
}

fn note_standing(entry: &mut Coordinated, tenant: &TenantName, standing: Standing) {
    if entry.standing != standing {
        entry.standing = standing;
        Event::info("budget_standing_changed")
            .field("tenant", tenant)
            .field("standing", format_args!("{standing:?}"))
            .log();
    }
}

/// What decides grants to a tenant now; `None` if it has no limit.
pub(super) fn terms<W: BudgetWorld>(world: &Arc<W>, tenant: &str) -> Option<GrantTerms> {
    let rules = world.quota_rules()?;
    let limit = world.limit(tenant)?;
    let coordinators = world.coordinators(tenant);
    let rank = coordinators
        .iter()
        .position(|node| *node == Coordinator::Itself);
    Some(GrantTerms {
        limit: rules.window_limit(limit),
        window: rules.window,
        standing: Standing::of_rank(rank, world.view_age(), world.is_leaving()),
        settled_at: world.settled_at(),
    })
}
