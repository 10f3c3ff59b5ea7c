//! The coordinator's side of tenants' budgets: grants them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use linkhold_core::tenancy::TenantName;
use linkhold_core::tenancy::budget::{Grant, GrantPolicy, GrantRole, REDIRECT_PERIOD, TokenBucket};
use linkhold_core::tenancy::shares::{RequesterShares, ReservedRate};
use linkhold_events::Event;

use crate::cluster_state::lock;
use crate::liveness::ProcessState;

use super::quotas::{self, BudgetRequest, THOUSANDTHS};
use super::{BudgetEnvironment, Coordinator};

/// Pause before the next request if the coordinator does not know the tenant yet.
const UNKNOWN_TENANT_RETRY: Duration = Duration::from_millis(150);
/// How often a node that is asked in place of its predecessors probes them, and how often
/// a new first coordinator announces itself to the nodes after it.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How long a new first coordinator announces itself. Within this time all other nodes
/// have learned the fleet from their readers.
const JOINING_PERIOD: Duration = Duration::from_millis(16_000);

/// A coordinator's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BudgetAnswer {
    /// The granted budget.
    Granted(Grant),
    /// Another node is the tenant's coordinator now.
    Redirect(SocketAddr),
}

/// The node that requests a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Requester {
    /// This node.
    Itself,
    /// Another node.
    Peer(SocketAddr),
}

/// The budget that this node grants from for a tenant.
struct CoordinatedTenant {
    budget: TokenBucket,
    role: GrantRole,
    /// When the other coordinators were last checked.
    checked_at: Option<Instant>,
    /// Whether the coordinators before this node gave no answer.
    predecessors_lost: bool,
    /// Parts of the rate that the requesting nodes were granted.
    shares: RequesterShares<Requester>,
}

/// Another node that has become a tenant's coordinator.
#[derive(Clone, Copy)]
struct Displacement {
    address: SocketAddr,
    until: Instant,
}

/// Budgets that this node grants from.
#[derive(Default)]
pub(super) struct Coordination {
    budgets: Mutex<HashMap<TenantName, CoordinatedTenant>>,
    displacements: Mutex<HashMap<TenantName, Displacement>>,
}

/// Grants a budget or names the node that does. Never waits.
pub(crate) fn answer_request<E: BudgetEnvironment>(
    environment: &Arc<E>,
    request: BudgetRequest<'_>,
    requester: Requester,
) -> BudgetAnswer {
    if let Some(address) = displacing_node(environment, request.tenant) {
        return BudgetAnswer::Redirect(address);
    }
    BudgetAnswer::Granted(grant(environment, request, requester))
}

/// The node that has recently announced itself as the tenant's coordinator.
fn displacing_node<E: BudgetEnvironment>(
    environment: &Arc<E>,
    tenant: &TenantName,
) -> Option<SocketAddr> {
    let now = Instant::now();
    let displacements = lock(&environment.quotas().coordination.displacements);
    let displacement = displacements.get(tenant).filter(|it| now < it.until)?;
    Some(displacement.address)
}

/// Records that another node has announced itself as a tenant's coordinator.
pub(crate) fn record_displacement<E: BudgetEnvironment>(
    environment: &Arc<E>,
    tenant: TenantName,
    by: SocketAddr,
) {
    let displacement = Displacement {
        address: by,
        until: Instant::now() + REDIRECT_PERIOD,
    };
    let known =
        lock(&environment.quotas().coordination.displacements).insert(tenant.clone(), displacement);
    if known.is_none_or(|known| known.address != by) {
        Event::info("budget_coordinator_displaced")
            .field("tenant", tenant)
            .field("by", by)
            .log();
    }
}

/// Grants a budget according to this node's rank among the coordinators.
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
    let predecessors_lost = budgets.get(tenant).is_some_and(|it| it.predecessors_lost);
    // If this node is the first coordinator, the requester turned away from the first
    // one before this node became it, and its inherited share does not apply.
    let is_first = rank == Some(0);
    let inherited = request.inherited.filter(|_| !is_first);
    let inherited = inherited.map(|share| share as f64 / THOUSANDTHS);
    let known = budgets.get_mut(tenant);
    let mut shares = known.map_or_else(RequesterShares::default, |it| {
        std::mem::take(&mut it.shares)
    });
    shares.record_request(requester, inherited, now);
    let reserved_rate = reserved_rate(environment, &mut shares, now);
    let Some(policy) = policy(environment, tenant, rank, predecessors_lost, reserved_rate) else {
        return Grant {
            amount: 0,
            retry_after: UNKNOWN_TENANT_RETRY,
        };
    };
    let entry = budgets
        .entry(tenant.clone())
        .or_insert_with(|| CoordinatedTenant {
            budget: TokenBucket::new(now, &policy),
            role: policy.role,
            checked_at: None,
            predecessors_lost: false,
            shares: RequesterShares::default(),
        });
    if entry.role != policy.role {
        entry.budget = TokenBucket::new(now, &policy);
        entry.role = policy.role;
        log_role(tenant, policy.role, rank);
    }
    entry.budget.return_unused(request.unused, &policy);
    let wanted = request.wanted;
    let grant = entry.budget.grant(now, wanted, &policy);
    shares.record_grant(requester, wanted, grant.amount, now);
    entry.shares = shares;
    let is_due = entry.checked_at.is_none_or(|at| now >= at + CHECK_INTERVAL);
    if is_due {
        entry.checked_at = Some(now);
        drop(budgets);
        check_other_coordinators(environment, tenant, rank, &coordinators);
    }
    grant
}

fn policy<E: BudgetEnvironment>(
    environment: &Arc<E>,
    tenant: &str,
    rank: Option<usize>,
    predecessors_lost: bool,
    reserved_rate: ReservedRate,
) -> Option<GrantPolicy> {
    let rules = environment.quota_rules()?;
    let limit = environment.limit(tenant)?;
    Some(GrantPolicy {
        limit,
        in_window: rules.window_limit(limit),
        window: rules.window,
        role: GrantRole::of_rank(rank, environment.view_age(), predecessors_lost),
        reserved_rate: reserved_rate.of(limit),
    })
}

/// The rate that is reserved for nodes which may ask another coordinator.
fn reserved_rate<E: BudgetEnvironment>(
    environment: &Arc<E>,
    shares: &mut RequesterShares<Requester>,
    now: Instant,
) -> ReservedRate {
    ReservedRate {
        cut_off: shares.reserved_rate(now, |requester| may_ask_another(environment, requester)),
        inherited: shares.inherited_rate(),
    }
}

/// Whether a node that sends no more requests may be cut off and ask another coordinator.
/// With both coordinators granting the whole rate, a tenant had 3,118 operations in a
/// window in which 2,983 are allowed. A node that is reached only has callers that pause:
/// when the shares of such nodes were held back as well, 800 of 60,000 operations of other
/// tenants were refused.
fn may_ask_another<E: BudgetEnvironment>(environment: &Arc<E>, requester: &Requester) -> bool {
    match requester {
        Requester::Itself => false,
        Requester::Peer(address) => match environment.quotas().liveness.last_state(*address) {
            Some(ProcessState::Reached | ProcessState::Ended) => false,
            Some(ProcessState::Silent) | None => true,
        },
    }
}

fn log_role(tenant: &TenantName, role: GrantRole, rank: Option<usize>) {
    Event::info("budget_standing_changed")
        .field("tenant", tenant)
        .field("standing", format_args!("{role:?}"))
        .field("rank", format_args!("{rank:?}"))
        .log();
}

/// Probes the coordinators before this node or, if this node is new and the first one,
/// announces it to the coordinators after it.
fn check_other_coordinators<E: BudgetEnvironment>(
    environment: &Arc<E>,
    tenant: &TenantName,
    rank: Option<usize>,
    coordinators: &[Coordinator],
) {
    match rank {
        Some(0) if environment.uptime() < JOINING_PERIOD => {
            let after: Vec<SocketAddr> = peers(&coordinators[1..]);
            let environment = environment.clone();
            let tenant = tenant.clone();
            tokio::spawn(async move {
                quotas::announce_coordinator(&environment, &tenant, &after).await
            });
        }
        Some(rank) if rank > 0 => {
            let before: Vec<SocketAddr> = peers(&coordinators[..rank]);
            let environment = environment.clone();
            let tenant = tenant.clone();
            tokio::spawn(async move { probe_predecessors(&environment, &tenant, &before).await });
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

/// Asks the coordinators before this node for nothing and records whether all are silent.
async fn probe_predecessors<E: BudgetEnvironment>(
    environment: &Arc<E>,
    tenant: &TenantName,
    before: &[SocketAddr],
) {
    let mut predecessors_lost = true;
    for address in before {
        let deadline = Instant::now() + quotas::ANSWER_TIMEOUT;
        let request = BudgetRequest {
            tenant,
            wanted: 0,
            unused: 0,
            inherited: None,
        };
        let answer = quotas::send_question(environment, *address, request, deadline).await;
        predecessors_lost &= answer.is_none();
    }
    let mut budgets = lock(&environment.quotas().coordination.budgets);
    if let Some(entry) = budgets.get_mut(tenant) {
        entry.predecessors_lost = predecessors_lost;
    }
}
