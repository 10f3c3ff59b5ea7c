//! A node's side of tenants' budgets: spends them, asks for new ones.
//!
//! # Invariants
//!
//! * No operation of a limited tenant runs without one of its budget's.
//! * One question a tenant is under way at a time; what comes meanwhile waits for
//!   its answer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use linkhold_core::outcome::NotRun;
use linkhold_core::tenancy::budget::{Grant, HeldBudget, Spending};
use linkhold_core::tenancy::parts::InheritedPart;
use linkhold_core::tenancy::{ConnectionHolder, TenantName};
use linkhold_events::Event;
use linkhold_peer::BudgetMessage;
use tokio::sync::{Mutex as TurnMutex, oneshot};
use tokio::time::{sleep, timeout, timeout_at};

use crate::beliefs::lock;
use crate::liveness::{Life, Liveness};

use super::coordinator::{self, BudgetAnswer, Coordination, Requester};
use super::{BudgetEnvironment, Coordinator};

/// A question is asked once more after this: datagrams may be lost. Nodes of
/// different regions are up to 40 ms away, there and back.
const REPEAT_AFTER: Duration = Duration::from_millis(70);
/// How long a coordinator may take to answer.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_millis(160);
/// How long a coordinator that gave no answer is passed over.
const PASS_OVER: Duration = Duration::from_millis(1_000);
/// Pause before the fleet is looked at again while it is not known.
const FLEET_PAUSE: Duration = Duration::from_millis(40);

/// Parts are told in thousandths of operations a second.
pub(super) const THOUSANDTHS: f64 = 1_000.0;

/// One tenant's budget here.
#[derive(Default)]
struct HeldTenant {
    budget: Mutex<HeldBudget>,
    /// Operations that wait for a budget.
    waiting: AtomicU64,
    /// Held by whoever asks for more.
    turn: TurnMutex<()>,
    /// What it may spend while it does not reach the first coordinator.
    inherited: Mutex<Option<InheritedPart>>,
}

impl HeldTenant {
    /// What this node had of the first coordinator until it did not reach it.
    fn inherit(&self) -> InheritedPart {
        let now = Instant::now();
        let (rate, presses) = {
            let mut budget = lock(&self.budget);
            (budget.recent_rate(now), budget.presses(now))
        };
        *lock(&self.inherited).get_or_insert_with(|| InheritedPart::new(rate, presses, now))
    }
}

/// What a coordinator is asked.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BudgetRequest<'a> {
    /// The tenant.
    pub tenant: &'a TenantName,
    /// Operations that are wanted.
    pub wanted: u64,
    /// Operations of earlier grants that certainly did not run.
    pub unused: u64,
    /// What the node had of the first coordinator, which it does not reach, in thousandths of
    /// operations a second; `None` if it asks the first, or knows that its process has ended.
    pub inherited: Option<u64>,
}

/// What a node keeps of budgets.
#[derive(Default)]
pub(crate) struct Quotas {
    held: Mutex<HashMap<TenantName, Arc<HeldTenant>>>,
    asked: Mutex<HashMap<u64, oneshot::Sender<BudgetAnswer>>>,
    unreached_until: Mutex<HashMap<SocketAddr, Instant>>,
    /// Budgets that this node grants from.
    pub(super) coordination: Coordination,
    /// Which of the nodes that are silent have ended.
    pub(super) liveness: Liveness,
}

impl Quotas {
    fn held(&self, tenant: &TenantName) -> Arc<HeldTenant> {
        lock(&self.held).entry(tenant.clone()).or_default().clone()
    }

    /// An answer came.
    pub fn complete_request(&self, number: u64, answer: BudgetAnswer) {
        if let Some(sender) = lock(&self.asked).remove(&number) {
            // Whoever asked may have stopped waiting.
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

    fn pass_over(&self, address: SocketAddr) {
        let until = Instant::now() + PASS_OVER;
        lock(&self.unreached_until).insert(address, until);
    }
}

/// An operation that was admitted did certainly not run.
pub(crate) fn return_operation<E: BudgetEnvironment>(
    environment: &Arc<E>,
    holder: &ConnectionHolder,
) {
    if let Some(tenant) = holder.tenant() {
        let held = lock(&environment.quotas().held).get(tenant).cloned();
        if let Some(held) = held {
            lock(&held.budget).not_run();
        }
    }
}

/// Waits until a holder may have one more operation run, until `deadline` at the
/// longest.
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
    held: &HeldTenant,
    tenant: &TenantName,
    deadline: Instant,
) -> Result<(), NotRun> {
    let Ok(_turn) = timeout_at(deadline.into(), held.turn.lock()).await else {
        return Err(NotRun::NoBudget);
    };
    loop {
        // Somebody else may have brought a budget, or a refusal.
        if let Some(decided) = try_spend(held) {
            return decided;
        }
        let asked_at = Instant::now();
        let waiting = held.waiting.load(Ordering::Relaxed);
        let request = {
            let mut budget = lock(&held.budget);
            BudgetRequest {
                tenant,
                wanted: budget.need(asked_at, waiting),
                unused: budget.take_unused(),
                inherited: None,
            }
        };
        let grant = ask(environment, held, request, deadline).await?;
        lock(&held.budget).granted(asked_at, grant);
    }
}

fn try_spend(held: &HeldTenant) -> Option<Result<(), NotRun>> {
    match lock(&held.budget).spend(Instant::now()) {
        Spending::Granted => Some(Ok(())),
        Spending::Refused(retry_after) => Some(Err(NotRun::OverQuota { retry_after })),
        Spending::Ask => None,
    }
}

/// Asks the first coordinator that answers.
async fn ask<E: BudgetEnvironment>(
    environment: &Arc<E>,
    held: &HeldTenant,
    request: BudgetRequest<'_>,
    deadline: Instant,
) -> Result<Grant, NotRun> {
    loop {
        let mut pause = FLEET_PAUSE;
        // Whether a coordinator before may live, and grant other nodes.
        let mut may_live_before = false;
        for node in environment.coordinators(request.tenant) {
            if !environment.quotas().is_reached(node) {
                may_live_before |= !has_ended(environment, node);
                continue;
            }
            let part = may_live_before.then(|| held.inherit());
            if let Some(begins_at) = part.and_then(|part| part.begins_at(Instant::now())) {
                pause = begins_at.saturating_duration_since(Instant::now());
                break;
            }
            let inherited = part.map(|part| (part.rate * THOUSANDTHS) as u64);
            let request = BudgetRequest {
                inherited,
                ..request
            };
            if let Some(grant) = ask_node(environment, node, request, deadline).await {
                if !may_live_before {
                    lock(&held.inherited).take();
                }
                return Ok(grant);
            }
            may_live_before |= !has_ended(environment, node);
        }
        if Instant::now() + pause >= deadline {
            return Err(NotRun::NoBudget);
        }
        sleep(pause).await;
    }
}

/// Whether a coordinator that gave no answer runs no more.
fn has_ended<E: BudgetEnvironment>(environment: &Arc<E>, node: Coordinator) -> bool {
    match node {
        Coordinator::Itself => false,
        Coordinator::Peer(address) => {
            environment.quotas().liveness.of(address) == Some(Life::Ended)
        }
    }
}

async fn ask_node<E: BudgetEnvironment>(
    environment: &Arc<E>,
    node: Coordinator,
    request: BudgetRequest<'_>,
    deadline: Instant,
) -> Option<Grant> {
    let address = match node {
        Coordinator::Itself => {
            match coordinator::answer_request(environment, request, Requester::Itself) {
                BudgetAnswer::Granted(grant) => return Some(grant),
                BudgetAnswer::Elsewhere(address) => address,
            }
        }
        Coordinator::Peer(address) => address,
    };
    let answer = question(environment, address, request, deadline).await?;
    let elsewhere = match answer {
        BudgetAnswer::Granted(grant) => return Some(grant),
        BudgetAnswer::Elsewhere(address) => address,
    };
    match question(environment, elsewhere, request, deadline).await? {
        BudgetAnswer::Granted(grant) => Some(grant),
        BudgetAnswer::Elsewhere(_) => None,
    }
}

/// Asks a node once, and once more if no answer comes. One that gives none is
/// passed over for a while.
pub(super) async fn question<E: BudgetEnvironment>(
    environment: &Arc<E>,
    address: SocketAddr,
    request: BudgetRequest<'_>,
    deadline: Instant,
) -> Option<BudgetAnswer> {
    let (sender, mut receiver) = oneshot::channel();
    let number = rand::random();
    lock(&environment.quotas().asked).insert(number, sender);
    let question = |unused| BudgetMessage::Question {
        number,
        tenant: request.tenant.to_string(),
        wanted: request.wanted,
        unused,
        inherited: request.inherited,
    };
    environment.count_question();
    environment.send(address, question(request.unused)).await;
    let mut answer = timeout(REPEAT_AFTER, &mut receiver).await;
    if answer.is_err() && Instant::now() < deadline {
        // What is given back counts once, even if the first question arrived.
        environment.send(address, question(0)).await;
        answer = timeout(ANSWER_TIMEOUT - REPEAT_AFTER, &mut receiver).await;
    }
    lock(&environment.quotas().asked).remove(&number);
    let answer = answer.ok().and_then(Result::ok);
    if answer.is_none() {
        environment.quotas().pass_over(address);
        Event::info("budget_coordinator_unreached")
            .field("tenant", request.tenant)
            .field("node", address)
            .field("for_ms", PASS_OVER.as_millis())
            .log();
    }
    answer
}

/// Tells nodes that this one is a tenant's coordinator now.
pub(super) async fn tell_displaced<E: BudgetEnvironment>(
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
