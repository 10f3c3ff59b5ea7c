//! A node's side of tenants' budgets: spends them and requests new ones.
//!
//! # Invariants
//!
//! * No operation of a limited tenant runs without taking one from its budget.
//! * At most one question per tenant is in flight; operations that arrive meanwhile
//!   wait for its answer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use linkhold_core::outcome::NotRun;
use linkhold_core::tenancy::budget::{Grant, NodeBudget, SpendDecision};
use linkhold_core::tenancy::shares::InheritedShare;
use linkhold_core::tenancy::{ConnectionHolder, TenantName};
use linkhold_events::Event;
use linkhold_peer::BudgetMessage;
use tokio::sync::{Mutex as TurnMutex, oneshot};
use tokio::time::{sleep, timeout, timeout_at};

use crate::cluster_state::lock;
use crate::liveness::{Liveness, ProcessState};

use super::coordinator::{self, BudgetAnswer, Coordination, Requester};
use super::{BudgetEnvironment, Coordinator};

/// Time after which a question is sent again, since datagrams may be lost. The round
/// trip between nodes of different regions takes up to 40 ms.
const RETRANSMIT_AFTER: Duration = Duration::from_millis(70);
/// How long a coordinator may take to answer.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_millis(160);
/// How long a coordinator that gave no answer counts as unreached.
const UNREACHED_PERIOD: Duration = Duration::from_millis(1_000);
/// Pause before the fleet is checked again while it is not known.
const FLEET_RETRY_PAUSE: Duration = Duration::from_millis(40);

/// Unit of the shares in questions: thousandths of operations per second.
pub(super) const THOUSANDTHS: f64 = 1_000.0;

/// The budget of one tenant at this node.
#[derive(Default)]
struct TenantBudget {
    budget: Mutex<NodeBudget>,
    /// Operations that wait for a budget.
    waiting: AtomicU64,
    /// Held by the operation that requests the next grant.
    request_turn: TurnMutex<()>,
    /// The share that the node may spend while the first coordinator is unreached.
    inherited: Mutex<Option<InheritedShare>>,
}

impl TenantBudget {
    /// The share of the rate that this node had from the first coordinator when that became
    /// unreached.
    fn inherited_share(&self) -> InheritedShare {
        let now = Instant::now();
        let (rate, is_saturated) = {
            let mut budget = lock(&self.budget);
            (budget.recent_rate(now), budget.is_saturated(now))
        };
        *lock(&self.inherited).get_or_insert_with(|| InheritedShare::new(rate, is_saturated, now))
    }
}

/// A request to a coordinator.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BudgetRequest<'a> {
    pub tenant: &'a TenantName,
    /// Number of operations that the node asks for.
    pub wanted: u64,
    /// Number of operations of earlier grants that certainly did not run.
    pub unused: u64,
    /// The share that the node had from the first coordinator, which it does not reach, in
    /// thousandths of operations per second; `None` if it asks the first coordinator, or
    /// knows that the process of the first coordinator has ended.
    pub inherited: Option<u64>,
}

/// The budgets that a node spends and grants.
#[derive(Default)]
pub(crate) struct Quotas {
    held: Mutex<HashMap<TenantName, Arc<TenantBudget>>>,
    pending: Mutex<HashMap<u64, oneshot::Sender<BudgetAnswer>>>,
    unreached_until: Mutex<HashMap<SocketAddr, Instant>>,
    /// Budgets that this node grants from.
    pub(super) coordination: Coordination,
    /// Which silent nodes have ended.
    pub(super) liveness: Liveness,
}

impl Quotas {
    fn held(&self, tenant: &TenantName) -> Arc<TenantBudget> {
        lock(&self.held).entry(tenant.clone()).or_default().clone()
    }

    /// Completes the request with this number by its answer.
    pub fn complete_request(&self, number: u64, answer: BudgetAnswer) {
        if let Some(sender) = lock(&self.pending).remove(&number) {
            // The requesting task may have stopped waiting.
            let _ = sender.send(answer);
        }
    }

    fn is_reached(&self, node: Coordinator) -> bool {
        let Coordinator::Peer(address) = node else {
            return true;
        };
        let unreached = lock(&self.unreached_until);
        unreached
            .get(&address)
            .is_none_or(|until| Instant::now() >= *until)
    }

    fn mark_unreached(&self, address: SocketAddr) {
        let until = Instant::now() + UNREACHED_PERIOD;
        lock(&self.unreached_until).insert(address, until);
    }
}

/// Returns the budget of an admitted operation that certainly did not run.
pub(crate) fn return_operation<E: BudgetEnvironment>(
    environment: &Arc<E>,
    holder: &ConnectionHolder,
) {
    if let Some(tenant) = holder.tenant() {
        let held = lock(&environment.quotas().held).get(tenant).cloned();
        if let Some(held) = held {
            lock(&held.budget).record_not_run();
        }
    }
}

/// Waits until a holder may run one more operation, but not beyond `deadline`.
pub(crate) async fn admit<E: BudgetEnvironment>(
    environment: &Arc<E>,
    holder: &ConnectionHolder,
    deadline: Instant,
) -> Result<(), NotRun> {
    let is_limited = |tenant: &&TenantName| environment.limit(tenant).is_some();
    let limited = holder.tenant().filter(is_limited);
    let (Some(tenant), Some(_)) = (limited, environment.quota_rules()) else {
        return Ok(());
    };
    let admitted = spend(environment, tenant, deadline).await;
    if admitted.is_err() {
        environment.count_refusal();
    }
    admitted
}

async fn spend<E: BudgetEnvironment>(
    environment: &Arc<E>,
    tenant: &TenantName,
    deadline: Instant,
) -> Result<(), NotRun> {
    let held = environment.quotas().held(tenant);
    if let Some(decided) = try_spend(&held) {
        return decided;
    }
    held.waiting.fetch_add(1, Ordering::Relaxed);
    let decided = wait_for_budget(environment, &held, tenant, deadline).await;
    held.waiting.fetch_sub(1, Ordering::Relaxed);
    decided
}

async fn wait_for_budget<E: BudgetEnvironment>(
    environment: &Arc<E>,
    held: &TenantBudget,
    tenant: &TenantName,
    deadline: Instant,
) -> Result<(), NotRun> {
    let Ok(_turn) = timeout_at(deadline.into(), held.request_turn.lock()).await else {
        return Err(NotRun::NoBudget);
    };
    loop {
        // Another operation may have received a grant or a refusal meanwhile.
        if let Some(decided) = try_spend(held) {
            return decided;
        }
        let asked_at = Instant::now();
        let waiting = held.waiting.load(Ordering::Relaxed);
        let request = {
            let mut budget = lock(&held.budget);
            BudgetRequest {
                tenant,
                wanted: budget.operations_to_request(asked_at, waiting),
                unused: budget.take_unused(),
                inherited: None,
            }
        };
        let grant = request_grant(environment, held, request, deadline).await?;
        lock(&held.budget).record_grant(asked_at, grant);
    }
}

fn try_spend(held: &TenantBudget) -> Option<Result<(), NotRun>> {
    match lock(&held.budget).spend(Instant::now()) {
        SpendDecision::Granted => Some(Ok(())),
        SpendDecision::Refused(retry_after) => Some(Err(NotRun::OverQuota { retry_after })),
        SpendDecision::NeedsGrant => None,
    }
}

/// Asks the coordinators in order until one answers.
async fn request_grant<E: BudgetEnvironment>(
    environment: &Arc<E>,
    held: &TenantBudget,
    request: BudgetRequest<'_>,
    deadline: Instant,
) -> Result<Grant, NotRun> {
    loop {
        let mut pause = FLEET_RETRY_PAUSE;
        // Whether a coordinator before the current one may run and grant budgets to
        // other nodes.
        let mut predecessor_may_run = false;
        for node in environment.coordinators(request.tenant) {
            if !environment.quotas().is_reached(node) {
                predecessor_may_run |= !has_ended(environment, node);
                continue;
            }
            let share = predecessor_may_run.then(|| held.inherited_share());
            if let Some(begins_at) = share.and_then(|share| share.begins_at(Instant::now())) {
                pause = begins_at.saturating_duration_since(Instant::now());
                break;
            }
            let inherited = share.map(|share| (share.rate * THOUSANDTHS) as u64);
            let request = BudgetRequest {
                inherited,
                ..request
            };
            if let Some(grant) = request_grant_from(environment, node, request, deadline).await {
                if !predecessor_may_run {
                    lock(&held.inherited).take();
                }
                return Ok(grant);
            }
            predecessor_may_run |= !has_ended(environment, node);
        }
        if Instant::now() + pause >= deadline {
            return Err(NotRun::NoBudget);
        }
        sleep(pause).await;
    }
}

/// Whether the process of a coordinator that gave no answer is known to have ended.
fn has_ended<E: BudgetEnvironment>(environment: &Arc<E>, node: Coordinator) -> bool {
    match node {
        Coordinator::Itself => false,
        Coordinator::Peer(address) => {
            environment.quotas().liveness.last_state(address) == Some(ProcessState::Ended)
        }
    }
}

async fn request_grant_from<E: BudgetEnvironment>(
    environment: &Arc<E>,
    node: Coordinator,
    request: BudgetRequest<'_>,
    deadline: Instant,
) -> Option<Grant> {
    let address = match node {
        Coordinator::Itself => {
            match coordinator::answer_request(environment, request, Requester::Itself) {
                BudgetAnswer::Granted(grant) => return Some(grant),
                BudgetAnswer::Redirect(address) => address,
            }
        }
        Coordinator::Peer(address) => address,
    };
    let answer = send_question(environment, address, request, deadline).await?;
    let redirected_to = match answer {
        BudgetAnswer::Granted(grant) => return Some(grant),
        BudgetAnswer::Redirect(address) => address,
    };
    match send_question(environment, redirected_to, request, deadline).await? {
        BudgetAnswer::Granted(grant) => Some(grant),
        BudgetAnswer::Redirect(_) => None,
    }
}

/// Asks a node, and once more if no answer arrives. A node that gives no answer is passed
/// over for [`UNREACHED_PERIOD`].
pub(super) async fn send_question<E: BudgetEnvironment>(
    environment: &Arc<E>,
    address: SocketAddr,
    request: BudgetRequest<'_>,
    deadline: Instant,
) -> Option<BudgetAnswer> {
    let (sender, mut receiver) = oneshot::channel();
    let number = rand::random();
    lock(&environment.quotas().pending).insert(number, sender);
    let message = |unused| BudgetMessage::Question {
        number,
        tenant: request.tenant.to_string(),
        wanted: request.wanted,
        unused,
        inherited: request.inherited,
    };
    environment.count_question();
    environment.send(address, message(request.unused)).await;
    let mut answer = timeout(RETRANSMIT_AFTER, &mut receiver).await;
    if answer.is_err() && Instant::now() < deadline {
        // Unused operations are returned only once, even if the first question arrived.
        environment.send(address, message(0)).await;
        answer = timeout(ANSWER_TIMEOUT - RETRANSMIT_AFTER, &mut receiver).await;
    }
    lock(&environment.quotas().pending).remove(&number);
    let answer = answer.ok().and_then(Result::ok);
    if answer.is_none() {
        environment.quotas().mark_unreached(address);
        Event::info("budget_coordinator_unreached")
            .field("tenant", request.tenant)
            .field("node", address)
            .field("for_ms", UNREACHED_PERIOD.as_millis())
            .log();
    }
    answer
}

/// Announces to nodes that this node is now the tenant's coordinator.
pub(super) async fn announce_coordinator<E: BudgetEnvironment>(
    environment: &Arc<E>,
    tenant: &TenantName,
    nodes: &[SocketAddr],
) {
    for node in nodes {
        let tenant = tenant.to_string();
        environment
            .send(*node, BudgetMessage::Displaced { tenant })
            .await;
    }
}
