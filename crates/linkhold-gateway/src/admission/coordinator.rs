//! A coordinator's side: grants tenants' budgets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use linkhold_core::tenancy::TenantName;
use linkhold_core::tenancy::budget::{
    CoordinatedBudget, ELSEWHERE_FOR, Grant, GrantTerms, Standing,
};
use linkhold_core::tenancy::parts::{AskerParts, HeldBack};
use linkhold_events::Event;

use crate::beliefs::lock;
use crate::liveness::Life;

use super::quotas::{self, BudgetRequest, THOUSANDTHS};
use super::{BudgetEnvironment, Coordinator};

/// When to ask again where the coordinator does not know the tenant yet.
const UNKNOWN_TENANT_RETRY: Duration = Duration::from_millis(150);
/// How often a node looks whether those before it live, while it is asked in
/// their place, and tells those after it that it is first, while it is new.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);
/// How long a node stays first in others' eyes after it has joined: they learn the
/// fleet from their readers in this time.
const JOINING_TIME: Duration = Duration::from_millis(16_000);

/// A coordinator's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BudgetAnswer {
    /// What it grants.
    Granted(Grant),
    /// Another node is the tenant's coordinator now.
    Elsewhere(SocketAddr),
}

/// Who asks for a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Requester {
    /// This node.
    Itself,
    /// Another one.
    Peer(SocketAddr),
}

/// A tenant's budget at this node.
struct Coordinated {
    budget: CoordinatedBudget,
    standing: Standing,
    /// When it was last looked whether those before this node live.
    looked_at: Option<Instant>,
    /// They gave no answer.
    others_lost: bool,
    /// What the nodes that ask were granted.
    parts: AskerParts<Requester>,
}

/// Another node that is a tenant's coordinator.
#[derive(Clone, Copy)]
struct Successor {
    address: SocketAddr,
    until: Instant,
}

/// Budgets that this node grants from.
#[derive(Default)]
pub(super) struct Coordination {
    budgets: Mutex<HashMap<TenantName, Coordinated>>,
    successors: Mutex<HashMap<TenantName, Successor>>,
}

/// Grants a budget, or tells who does. Never waits.
pub(crate) fn answer_request<E: BudgetEnvironment>(
    environment: &Arc<E>,
    request: BudgetRequest<'_>,
    requester: Requester,
) -> BudgetAnswer {
    if let Some(address) = successor(environment, request.tenant) {
        return BudgetAnswer::Elsewhere(address);
    }
    BudgetAnswer::Granted(grant(environment, request, requester))
}

fn successor<E: BudgetEnvironment>(
    environment: &Arc<E>,
    tenant: &TenantName,
) -> Option<SocketAddr> {
    let now = Instant::now();
    let successors = lock(&environment.quotas().coordination.successors);
    let successor = successors.get(tenant).filter(|it| now < it.until)?;
    Some(successor.address)
}

/// Another node tells that it is a tenant's coordinator.
pub(crate) fn record_displacement<E: BudgetEnvironment>(
    environment: &Arc<E>,
    tenant: TenantName,
    by: SocketAddr,
) {
    let successor = Successor {
        address: by,
        until: Instant::now() + ELSEWHERE_FOR,
    };
    let known =
        lock(&environment.quotas().coordination.successors).insert(tenant.clone(), successor);
    if known.is_none_or(|known| known.address != by) {
        Event::info("budget_coordinator_displaced")
            .field("tenant", tenant)
            .field("by", by)
            .log();
    }
}

/// Grants a budget as whatever this node takes itself for.
fn grant<E: BudgetEnvironment>(
    environment: &Arc<E>,
    request: BudgetRequest<'_>,
    requester: Requester,
) -> Grant {
    let tenant = request.tenant;
    let coordinators = environment.coordinators(tenant);
    let rank = coordinators
        .iter()
        .position(|node| *node == Coordinator::Itself);
    let now = Instant::now();
    let mut budgets = lock(&environment.quotas().coordination.budgets);
    let others_lost = budgets.get(tenant).is_some_and(|it| it.others_lost);
    // A node that had turned from the first coordinator before this one was the first.
    let is_first = rank == Some(0);
    let inherited = request.inherited.filter(|_| !is_first);
    let inherited = inherited.map(|part| part as f64 / THOUSANDTHS);
    let known = budgets.get_mut(tenant);
    let mut parts = known.map_or_else(AskerParts::default, |it| std::mem::take(&mut it.parts));
    parts.asked(requester, inherited, now);
    let held_back = held_back(environment, &mut parts, now);
    let Some(terms) = terms(environment, tenant, rank, others_lost, held_back) else {
        return Grant {
            amount: 0,
            retry_after: UNKNOWN_TENANT_RETRY,
        };
    };
    let entry = budgets
        .entry(tenant.clone())
        .or_insert_with(|| Coordinated {
            budget: CoordinatedBudget::new(now, &terms),
            standing: terms.standing,
            looked_at: None,
            others_lost: false,
            parts: AskerParts::default(),
        });
    if entry.standing != terms.standing {
        entry.budget = CoordinatedBudget::new(now, &terms);
        entry.standing = terms.standing;
        log_standing(tenant, terms.standing, rank);
    }
    entry.budget.give_back(request.unused, &terms);
    let wanted = request.wanted;
    let grant = entry.budget.grant(now, wanted, &terms);
    parts.granted(requester, wanted, grant.amount, now);
    entry.parts = parts;
    let is_due = entry.looked_at.is_none_or(|at| now >= at + LOOK_INTERVAL);
    if is_due {
        entry.looked_at = Some(now);
        drop(budgets);
        look_around(environment, tenant, rank, &coordinators);
    }
    grant
}

fn terms<E: BudgetEnvironment>(
    environment: &Arc<E>,
    tenant: &str,
    rank: Option<usize>,
    others_lost: bool,
    held_back: HeldBack,
) -> Option<GrantTerms> {
    let rules = environment.quota_rules()?;
    let limit = environment.limit(tenant)?;
    Some(GrantTerms {
        limit,
        in_window: rules.window_limit(limit),
        window: rules.window,
        standing: Standing::of_rank(rank, environment.view_age(), others_lost),
        held_back: held_back.of(limit),
    })
}

/// What is kept for nodes which may ask another coordinator.
fn held_back<E: BudgetEnvironment>(
    environment: &Arc<E>,
    parts: &mut AskerParts<Requester>,
    now: Instant,
) -> HeldBack {
    HeldBack {
        cut_off: parts.held_back(now, |requester| may_ask_another(environment, requester)),
        inherited: parts.inherited(),
    }
}

/// Whether a node that asks no more may ask another coordinator, since it is cut off: with
/// both granting the whole rate, a tenant had 3,118 operations in a window of which 2,983
/// are allowed. One that is reached has callers that pause; held back as well, their parts
/// had 800 of 60,000 operations of other tenants refused.
fn may_ask_another<E: BudgetEnvironment>(environment: &Arc<E>, requester: &Requester) -> bool {
    match requester {
        Requester::Itself => false,
        Requester::Peer(address) => match environment.quotas().liveness.of(*address) {
            Some(Life::Reached | Life::Ended) => false,
            Some(Life::Silent) | None => true,
        },
    }
}

fn log_standing(tenant: &TenantName, standing: Standing, rank: Option<usize>) {
    Event::info("budget_standing_changed")
        .field("tenant", tenant)
        .field("standing", format_args!("{standing:?}"))
        .field("rank", format_args!("{rank:?}"))
        .log();
}

/// Looks whether those before this node live, or tells those after it that it has
/// joined before them.
fn look_around<E: BudgetEnvironment>(
    environment: &Arc<E>,
    tenant: &TenantName,
    rank: Option<usize>,
    coordinators: &[Coordinator],
) {
    match rank {
        Some(0) if environment.life_time() < JOINING_TIME => {
            let after: Vec<SocketAddr> = peers(&coordinators[1..]);
            let teller = environment.clone();
            let tenant = tenant.clone();
            tokio::spawn(async move { quotas::tell_displaced(&teller, &tenant, &after).await });
        }
        Some(rank) if rank > 0 => {
            let before: Vec<SocketAddr> = peers(&coordinators[..rank]);
            let looker = environment.clone();
            let tenant = tenant.clone();
            tokio::spawn(async move { look_before(&looker, &tenant, &before).await });
        }
        Some(_) | None => {}
    }
}

fn peers(nodes: &[Coordinator]) -> Vec<SocketAddr> {
    let address = |node: &Coordinator| match node {
        Coordinator::Itself => None,
        Coordinator::Peer(address) => Some(*address),
    };
    nodes.iter().filter_map(address).collect()
}

async fn look_before<E: BudgetEnvironment>(
    environment: &Arc<E>,
    tenant: &TenantName,
    before: &[SocketAddr],
) {
    let mut others_lost = true;
    for address in before {
        let deadline = Instant::now() + quotas::ANSWER_TIMEOUT;
        let request = BudgetRequest {
            tenant,
            wanted: 0,
            unused: 0,
            inherited: None,
        };
        let answer = quotas::question(environment, *address, request, deadline).await;
        others_lost &= answer.is_none();
    }
    let mut budgets = lock(&environment.quotas().coordination.budgets);
    if let Some(entry) = budgets.get_mut(tenant) {
        entry.others_lost = others_lost;
    }
}
