//! Looks after primaries: finds out who is primary, and replaces one that is
//! lost or leaving.
//!
//! Every node looks at a primary when its own traffic makes it suspect, or when
//! another node asks. Which of them acts is settled by a lease in the metadata
//! store; the rendezvous rank of a node only spreads their tries.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::position::{Position, Term};
use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::directory::PrimarySource;
use linkhold_core::service::failover::{
    self, ClaimDecision, FailoverLease, InstanceStatus, ReachabilityTally, Successor,
};
use linkhold_core::service::instance::{Instance, InstanceId, Role};
use linkhold_events::Event;
use linkhold_peer::Reachability;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, timeout_at};

use crate::gateway::Gateway;
use crate::lease_format::{decode_lease, encode_lease};
use crate::peers;
use crate::ports::{
    FleetTable, Platform, PromoteAnswer, PromoteOrder, RowRange, StoreError, WriteResult,
};
use crate::survey;

/// How often primaries that leave are looked for.
const LOOK_INTERVAL: Duration = Duration::from_millis(400);
/// Time between the tries of nodes of consecutive rank.
const RANK_INTERVAL: Duration = Duration::from_millis(90);
/// Longest delay that a rank causes.
const LONGEST_RANK_DELAY: Duration = Duration::from_millis(700);
/// Pause before a primary that turned out reachable is looked at again.
const CALM_PAUSE: Duration = Duration::from_millis(250);
/// Pause after a try that led to nothing.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// How long a claim, a read and a write, may take.
const STORE_TIMEOUT: Duration = Duration::from_millis(900);
/// Claims tried in a row when the store gives no answer.
const CLAIM_TRIES: u32 = 2;
/// How often a node looks for leases that it is to hold ready.
const READY_INTERVAL: Duration = Duration::from_millis(3_000);
/// How long an order to promote may take to be answered.
const ORDER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a successor may take to lead after the order was accepted.
const LEAD_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How often a successor is asked whether it leads, when nothing announces it.
const LEAD_QUESTION_INTERVAL: Duration = Duration::from_millis(400);
/// How long replicas may take to receive what a primary that stepped down had.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause between questions whether they have.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(15);

/// Starts a look at each service that needs one; one at a time for a service.
/// Runs until the process ends.
pub(crate) async fn watch_primaries<P: Platform>(gateway: Arc<Gateway<P>>) {
    let mut busy: HashSet<ServiceName> = HashSet::new();
    let (finished, mut finishes) = mpsc::unbounded_channel();
    loop {
        tokio::select! {
            () = gateway.attention.raised() => {}
            () = sleep(LOOK_INTERVAL) => {}
            Some(service) = finishes.recv() => {
                busy.remove(&service);
            }
        }
        let mut services = gateway.attention.take();
        services.extend(services_with_leaving_primary(&gateway));
        for service in services {
            if !busy.insert(service.clone()) {
                continue;
            }
            let gateway = gateway.clone();
            let finished = finished.clone();
            tokio::spawn(async move {
                look_after(&gateway, &service).await;
                // The receiver lives as long as the process.
                let _ = finished.send(service);
            });
        }
    }
}

fn services_with_leaving_primary<P: Platform>(gateway: &Gateway<P>) -> Vec<ServiceName> {
    let now = Instant::now();
    let mut services = gateway.beliefs.services();
    services.retain(|service| match gateway.beliefs.primary(service) {
        Some(primary) => gateway.beliefs.is_leaving(&primary.id, now),
        None => true,
    });
    services
}

/// What is wrong with a service's primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// Nobody is known to be primary.
    Unknown,
    /// It is not reached by most nodes.
    Lost,
    /// It is leaving and still serves.
    Leaving,
}

/// Looks at a service's primary and replaces it if that is needed.
async fn look_after<P: Platform>(gateway: &Arc<Gateway<P>>, service: &ServiceName) {
    loop {
        if gateway.is_leaving() {
            return;
        }
        let subject = primary_id(gateway, service);
        let Some(trouble) = diagnose(gateway, service).await else {
            sleep(CALM_PAUSE).await;
            return;
        };
        sleep(rank_delay(gateway, service)).await;
        replace(gateway, service, trouble, subject.as_ref()).await;
        if !needs_care(gateway, service) {
            return;
        }
        sleep(RETRY_PAUSE).await;
    }
}

fn primary_id<P: Platform>(gateway: &Gateway<P>, service: &str) -> Option<InstanceId> {
    gateway
        .beliefs
        .primary(service)
        .map(|primary| primary.id.clone())
}

/// Whether the primary that was diagnosed is still the one believed in, or is
/// no longer believed in and nobody else is. A diagnosis says nothing about
/// another primary.
fn is_still_subject<P: Platform>(
    gateway: &Gateway<P>,
    service: &str,
    subject: Option<&InstanceId>,
) -> bool {
    let present = primary_id(gateway, service);
    present.is_none() || present.as_ref() == subject
}

fn rank_delay<P: Platform>(gateway: &Gateway<P>, service: &str) -> Duration {
    let rank = gateway.fleet.rank(&gateway.settings.node, service);
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    RANK_INTERVAL.saturating_mul(rank).min(LONGEST_RANK_DELAY)
}

fn needs_care<P: Platform>(gateway: &Gateway<P>, service: &str) -> bool {
    let now = Instant::now();
    match gateway.beliefs.primary(service) {
        None => true,
        Some(primary) => {
            gateway.beliefs.is_leaving(&primary.id, now)
                || gateway
                    .beliefs
                    .inspect(&primary.id, |health| health.is_failing())
                    .unwrap_or(false)
        }
    }
}

/// What is wrong with the primary; `None` if nothing is, or if it cannot be
/// told yet.
async fn diagnose<P: Platform>(gateway: &Gateway<P>, service: &str) -> Option<Trouble> {
    let Some(primary) = gateway.beliefs.primary(service) else {
        return Some(Trouble::Unknown);
    };
    let peers = peers::ask(gateway, &primary.id);
    tokio::pin!(peers);
    let own = survey::reach_primary(gateway, &primary);
    tokio::pin!(own);
    // Both run at once; the own finding decides alone unless it is a failure.
    let (own, early) = tokio::select! {
        own = &mut own => (own, None),
        tally = &mut peers => (own.await, Some(tally)),
    };
    match own {
        Reachability::Reached => {
            gateway.instance_answered(&primary.id, Duration::ZERO);
            let leaves = gateway.beliefs.is_leaving(&primary.id, Instant::now());
            leaves.then_some(Trouble::Leaving)
        }
        Reachability::NotPrimary => {
            gateway.beliefs.deny_primary(&primary.id);
            Some(Trouble::Unknown)
        }
        Reachability::Unreached => {
            gateway.instance_failed(&primary, "unreachable");
            let tally = match early {
                Some(tally) => tally,
                None => peers.await,
            };
            judge_unreached(&primary, tally)
        }
    }
}

/// Judges a primary that this node does not reach by what others found.
fn judge_unreached(primary: &Instance, mut tally: ReachabilityTally) -> Option<Trouble> {
    tally.unreached += 1;
    log_tally(primary, tally);
    if tally.reached > 0 {
        return None;
    }
    if tally.not_primary > 0 {
        return Some(Trouble::Unknown);
    }
    tally.is_lost().then_some(Trouble::Lost)
}

fn log_tally(instance: &Instance, tally: ReachabilityTally) {
    Event::info("primary_questioned")
        .field("service", &instance.service)
        .field("instance", &instance.id)
        .field("nodes", tally.nodes)
        .field("reached", tally.reached)
        .field("unreached", tally.unreached)
        .field("not_primary", tally.not_primary)
        .log();
}

/// Whether an instance that this node does not see as primary may be one: it is
/// not listed for now, or it told this node nothing and may serve others.
async fn someone_may_lead<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
    situation: &Situation,
) -> bool {
    if !gateway.beliefs.is_directory_settled(Instant::now()) {
        Event::info("promotion_withheld")
            .field("service", service)
            .field("reason", "directory_not_settled")
            .log();
        return true;
    }
    for instance in &situation.others {
        let answered = situation
            .statuses
            .iter()
            .any(|status| status.id == instance.id);
        if answered {
            continue;
        }
        let mut tally = peers::ask(gateway, &instance.id).await;
        tally.unreached += 1;
        log_tally(instance, tally);
        if !tally.is_lost() {
            return true;
        }
    }
    false
}

/// What was found out before a primary is replaced.
struct Situation {
    /// All instances but the old primary.
    others: Vec<Arc<Instance>>,
    statuses: Vec<InstanceStatus>,
    old: Option<Arc<Instance>>,
}

async fn replace<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    service: &ServiceName,
    trouble: Trouble,
    subject: Option<&InstanceId>,
) {
    if !is_still_subject(gateway, service, subject) {
        return;
    }
    let situation = survey_service(gateway, service).await;
    if let Some(primary) = find_primary(&situation.statuses)
        && trouble == Trouble::Unknown
    {
        gateway
            .beliefs
            .confirm_primary(&primary.id, PrimarySource::Asked);
        return;
    }
    let Some(successor) = successor(gateway, service, &situation) else {
        return;
    };
    if trouble == Trouble::Unknown && someone_may_lead(gateway, service, &situation).await {
        return;
    }
    let Some(lease) = claim(gateway, service, &successor.status.id).await else {
        return;
    };
    if !is_still_subject(gateway, service, subject) {
        return;
    }
    let mut chosen = successor.status;
    if trouble == Trouble::Leaving {
        match hand_over(gateway, &situation, &chosen).await {
            Some(caught_up) => chosen = caught_up,
            None => return,
        }
    }
    order(gateway, service, &lease, &chosen, trouble).await;
}

async fn survey_service<P: Platform>(gateway: &Gateway<P>, service: &str) -> Situation {
    let old = gateway.beliefs.primary(service);
    let others: Vec<Arc<Instance>> = gateway
        .beliefs
        .instances(service)
        .into_iter()
        .filter(|instance| old.as_ref().is_none_or(|old| old.id != instance.id))
        .collect();
    let statuses = survey::statuses(gateway, &others).await;
    Situation {
        others,
        statuses,
        old,
    }
}

/// An instance that says it is primary in the newest term that any follows.
fn find_primary(statuses: &[InstanceStatus]) -> Option<&InstanceStatus> {
    let newest = statuses.iter().map(|status| status.term).max()?;
    statuses
        .iter()
        .find(|status| status.role == Role::Primary && status.term == newest)
}

/// The instance to promote, if enough is known to choose one.
fn successor<P: Platform>(
    gateway: &Gateway<P>,
    service: &str,
    situation: &Situation,
) -> Option<Successor> {
    let now = Instant::now();
    let synchronous = gateway
        .beliefs
        .limits(service)
        .map_or(0, |limits| limits.synchronous_replicas);
    let required = failover::statuses_required(situation.others.len(), synchronous);
    let evidence = gateway.beliefs.newest_position(service);
    let candidates: Vec<Successor> = situation
        .statuses
        .iter()
        .filter(|status| failover::is_current(status, evidence))
        .map(|status| Successor {
            status: status.clone(),
            is_leaving: gateway.beliefs.is_leaving(&status.id, now),
        })
        .collect();
    let chosen = failover::choose_successor(&candidates, synchronous);
    if chosen.is_none() || situation.statuses.len() < required {
        Event::warn("no_successor")
            .field("service", service)
            .field("replicas", situation.others.len())
            .field("statuses", situation.statuses.len())
            .field("candidates", candidates.len())
            .field("required", required)
            .log();
        return None;
    }
    chosen.cloned()
}

/// Claims the lease of a service for a successor; `None` if another node holds
/// it or the store cannot be used. An answer that is lost or late is no reason
/// to find out everything anew: the row tells whether the claim was taken.
async fn claim<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
    successor: &InstanceId,
) -> Option<FailoverLease> {
    for _ in 0..CLAIM_TRIES {
        let claiming = timeout(STORE_TIMEOUT, try_claim(gateway, service, successor));
        if let Ok(Ok(lease)) = claiming.await {
            match &lease {
                Some(lease) => gateway.leases.remember(service, lease),
                None => gateway.leases.lost(service),
            }
            return lease;
        }
    }
    let checks_tokens = gateway.platform.checks_tokens();
    let held = gateway
        .leases
        .use_without_store(service, successor, checks_tokens);
    Event::warn("lease_unconfirmed")
        .field("service", service)
        .field("acts_on_old_lease", held.is_some())
        .log();
    held
}

/// Holds the leases ready whose first node this is. Runs until the process
/// ends.
pub(crate) async fn hold_leases_ready<P: Platform>(gateway: Arc<Gateway<P>>) {
    loop {
        sleep(READY_INTERVAL.mul_f64(rand::random_range(0.8..1.2))).await;
        for service in gateway.beliefs.services() {
            let node = &gateway.settings.node;
            let is_first = gateway.fleet.rank(node, &service) == 0;
            if is_first && !gateway.leases.holds(&service, node) && !gateway.is_leaving() {
                // Without the store there is nothing to hold; the next round tries again.
                let _ = timeout(STORE_TIMEOUT, hold_ready(&gateway, &service)).await;
            }
        }
    }
}

async fn hold_ready<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
) -> Result<(), StoreError> {
    let (current, version, now) = read_lease(gateway, service).await?;
    let is_in_fleet = |holder: &str| gateway.fleet.knows(holder);
    let node = &gateway.settings.node;
    let Some(lease) = failover::hold_ready(current.as_ref(), node, is_in_fleet, now) else {
        return Ok(());
    };
    if write_lease(gateway, service, &lease, version).await? {
        gateway.leases.remember(service, &lease);
        Event::info("lease_held_ready")
            .field("service", service)
            .field("token", lease.token)
            .log();
    }
    Ok(())
}

/// The lease's row as it is, its version, and the store's clock.
async fn read_lease<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
) -> Result<(Option<FailoverLease>, u64, u64), StoreError> {
    let rows = gateway
        .platform
        .read_rows(FleetTable::Leases, RowRange::Key(service))
        .await?;
    let row = rows.rows.first();
    // A row that cannot be read may hold any token: none is handed out over it.
    let current = row
        .map(|row| decode_lease(&row.value).ok_or(StoreError::Malformed))
        .transpose()?;
    Ok((current, row.map_or(0, |row| row.version), rows.now))
}

/// Writes a lease if its row still has `version`; whether it was written.
async fn write_lease<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
    lease: &FailoverLease,
    version: u64,
) -> Result<bool, StoreError> {
    let written = gateway
        .platform
        .write_row(
            FleetTable::Leases,
            service,
            encode_lease(lease),
            Some(version),
        )
        .await?;
    Ok(written == WriteResult::Written)
}

async fn try_claim<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
    successor: &InstanceId,
) -> Result<Option<FailoverLease>, StoreError> {
    let (current, version, now) = read_lease(gateway, service).await?;
    let node = &gateway.settings.node;
    let lease = match failover::claim(current.as_ref(), node, successor, now) {
        ClaimDecision::Write(lease) => lease,
        ClaimDecision::HeldElsewhere(left) => {
            Event::info("lease_held_elsewhere")
                .field("service", service)
                .field("holder", current.map_or_else(String::new, |it| it.holder))
                .field("left_ms", left.as_millis())
                .log();
            return Ok(None);
        }
    };
    let written = write_lease(gateway, service, &lease, version).await?;
    Ok(written.then_some(lease))
}

/// Ends the term of a primary that leaves and waits until the successor has
/// everything that it had, so that no commit is rolled back. `None` if that is
/// not possible yet.
async fn hand_over<P: Platform>(
    gateway: &Gateway<P>,
    situation: &Situation,
    successor: &InstanceStatus,
) -> Option<InstanceStatus> {
    let old = situation.old.as_ref()?;
    let instance = gateway.beliefs.instance(&successor.id)?;
    let present = survey::status(gateway, old).await?;
    let now = Instant::now();
    let leaving_for = gateway.beliefs.leaving_for(&old.id, now)?;
    let drain = gateway.settings.drain;
    if !failover::may_hand_over(present.received, successor.received, leaving_for, drain) {
        Event::info("hand_over_postponed")
            .field("service", &old.service)
            .field("position", present.received)
            .field("successor_position", successor.received)
            .log();
        return None;
    }
    let term = Term(successor.term.max(present.term).0 + 1);
    let last = survey::step_down(gateway, old, term).await?;
    gateway.beliefs.deny_primary(&old.id);
    let deadline = Instant::now() + CATCH_UP_TIMEOUT;
    let mut latest = successor.clone();
    while latest.received < last.received && Instant::now() < deadline {
        sleep(CATCH_UP_PAUSE).await;
        latest = survey::status(gateway, &instance).await.unwrap_or(latest);
    }
    Event::info("primary_stepped_down")
        .field("service", &old.service)
        .field("old", &old.id)
        .field("position", last.received)
        .field("successor", &successor.id)
        .field("successor_position", latest.received)
        .log();
    Some(latest)
}

async fn order<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    service: &ServiceName,
    lease: &FailoverLease,
    successor: &InstanceStatus,
    trouble: Trouble,
) {
    let order = PromoteOrder {
        service: service.to_string(),
        successor: successor.id.clone(),
        holder: lease.holder.clone(),
        token: lease.token,
    };
    gateway.metrics.promotions.add();
    let started = Instant::now();
    let answer = timeout(ORDER_TIMEOUT, gateway.platform.promote(&order))
        .await
        .unwrap_or(PromoteAnswer::Unknown);
    log_order(&order, successor.received, trouble, answer, started);
    if matches!(answer, PromoteAnswer::Accepted | PromoteAnswer::Unknown) {
        await_lead(gateway, service, &successor.id).await;
    }
}

fn log_order(
    order: &PromoteOrder,
    received: Position,
    trouble: Trouble,
    answer: PromoteAnswer,
    started: Instant,
) {
    Event::info("promotion_ordered")
        .field("service", &order.service)
        .field("successor", &order.successor)
        .field("token", order.token)
        .field("received", received)
        .field("because", format_args!("{trouble:?}"))
        .field("answer", format_args!("{answer:?}"))
        .field("took_ms", started.elapsed().as_millis())
        .log();
}

/// Waits until the successor leads: it announces that, or says so when asked.
async fn await_lead<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    service: &ServiceName,
    successor: &InstanceId,
) {
    let deadline = Instant::now() + LEAD_TIMEOUT;
    let mut changes = gateway.beliefs.subscribe();
    let mut ask_at = Instant::now() + LEAD_QUESTION_INTERVAL;
    while Instant::now() < deadline {
        changes.mark_unchanged();
        if gateway
            .beliefs
            .primary(service)
            .is_some_and(|primary| primary.id == *successor)
        {
            return;
        }
        if Instant::now() >= ask_at {
            ask_at = Instant::now() + LEAD_QUESTION_INTERVAL;
            let Some(instance) = gateway.beliefs.instance(successor) else {
                return;
            };
            let status = survey::status(gateway, &instance).await;
            if status.is_some_and(|status| status.role == Role::Primary) {
                gateway
                    .beliefs
                    .confirm_primary(successor, PrimarySource::Promoted);
                return;
            }
        }
        // Time passing is as good a reason to look again as a change.
        let _ = timeout_at(ask_at.min(deadline).into(), changes.changed()).await;
    }
}
