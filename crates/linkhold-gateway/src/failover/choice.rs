//! Chooses the successor of a primary that cannot be asked to step down.
//!
//! The positions that were surveyed before the nodes agreed are too old for that: until
//! then any node may have acknowledged commits which only some instances have received.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use linkhold_core::position::Position;
use linkhold_core::service::failover::{self, InstanceStatus};
use linkhold_core::service::instance::{Instance, InstanceId, Role};
use linkhold_core::service::log_completeness::{
    LogCompleteness, LogHolders, StatusReports, TermEnd,
};
use linkhold_events::Event;
use tokio::time::{sleep, timeout_at};

use super::FailoverReason;
use super::order::Grounds;
use super::service_survey::{ServiceSurvey, candidates, log_holders, required_statuses};
use crate::cluster_state::lock;
use crate::evidence::survey;
use crate::gateway::Gateway;
use crate::ports::Platform;

/// Pause between status requests to an instance that has not answered.
const REPEAT_PAUSE: Duration = Duration::from_millis(15);
/// Time left for the order once the successor is chosen.
const ORDER_RESERVE: Duration = Duration::from_millis(150);
/// How long a service without synchronous replicas waits for positions: no position
/// proves that a commit was not lost with the primary.
const MAX_UNPROVED_WAIT: Duration = Duration::from_millis(250);

/// Why no instance may be promoted although the nodes agreed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unsuitable {
    /// Too few instances report their positions, or none of them may be promoted.
    NoSuccessor,
    /// An instance reports that it has become primary.
    OtherPrimary,
    /// An instance that answered before does not answer any more: it may be primary.
    InstanceSilent,
}

impl Unsuitable {
    /// The name in the log.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::NoSuccessor => "no_successor",
            Self::OtherPrimary => "other_primary",
            Self::InstanceSilent => "instance_silent",
        }
    }
}

/// Chooses the successor by statuses that were asked for after all nodes had agreed to
/// acknowledge nothing more of the old primary.
pub(super) async fn choose_after_agreement<P: Platform>(
    gateway: &Gateway<P>,
    surveyed: &ServiceSurvey,
    grounds: &Grounds,
) -> Result<InstanceStatus, Unsuitable> {
    let agreed_at = Instant::now();
    let end = TermEnd::Agreed {
        at: agreed_at,
        acknowledged: acknowledged_bound(grounds),
    };
    let mut holders = log_holders(gateway, surveyed);
    if let Some(agreement) = &grounds.agreement {
        holders.instances = holders.instances.max(agreement.log_holders);
    }
    let reports = ask_again(gateway, surveyed, agreed_at, &holders, grounds).await;
    if has_new_primary(surveyed, &reports) {
        return Err(Unsuitable::OtherPrimary);
    }
    let is_silent =
        |status: &InstanceStatus| !reports.since(agreed_at).any(|it| it.id == status.id);
    // Nobody agreed that an instance which had answered is lost.
    if grounds.reason == FailoverReason::Unknown && surveyed.statuses.iter().any(is_silent) {
        return Err(Unsuitable::InstanceSilent);
    }
    let service = &surveyed.service;
    let candidates = candidates(gateway, service, grounds.reason, reports.latest());
    let chosen = failover::choose_successor(&candidates, holders.synchronous);
    let chosen = chosen.ok_or(Unsuitable::NoSuccessor)?;
    let completeness = reports.completeness(&chosen.status.id, &end, &holders);
    if holders.synchronous > 0 && completeness == LogCompleteness::MayLackCommits {
        Event::warn("no_successor")
            .field("service", service)
            .field("log_holders", holders.instances)
            .field("statuses", reports.since(agreed_at).count())
            .field("candidates", candidates.len())
            .field("required", required_statuses(&holders))
            .log();
        return Err(Unsuitable::NoSuccessor);
    }
    Ok(chosen.status.clone())
}

/// Position up to which the old primary's commits may have been acknowledged. While no
/// primary is known, a node may learn of one later than it reports.
fn acknowledged_bound(grounds: &Grounds) -> Option<Position> {
    let agreement = grounds.agreement.as_ref()?;
    match grounds.reason {
        FailoverReason::Lost => agreement.acknowledged,
        FailoverReason::Unknown | FailoverReason::Leaving | FailoverReason::Misplaced => None,
    }
}

/// Asks the instances of a service for their statuses until enough have answered, or for
/// as long as an order may wait.
async fn ask_again<P: Platform>(
    gateway: &Gateway<P>,
    surveyed: &ServiceSurvey,
    agreed_at: Instant,
    holders: &LogHolders,
    grounds: &Grounds,
) -> StatusReports {
    let latest = grounds.order_by().checked_sub(ORDER_RESERVE);
    let latest = latest.unwrap_or(agreed_at);
    let is_proof_possible = holders.synchronous > 0;
    let needs_known = grounds.reason == FailoverReason::Unknown || !is_proof_possible;
    let deadline = match grounds.reason {
        FailoverReason::Lost if !is_proof_possible => latest.min(agreed_at + MAX_UNPROVED_WAIT),
        _ => latest,
    };
    let has_answered_before =
        |id: &InstanceId| surveyed.statuses.iter().any(|status| status.id == *id);
    // Without a proof to gain, instances that did not answer before are not waited for.
    let asked = surveyed
        .others
        .iter()
        .filter(|it| is_proof_possible || has_answered_before(&it.id));
    let reports = Mutex::new(surveyed.reports());
    let mut answers: FuturesUnordered<_> = asked
        .map(|instance| ask_until_answered(gateway, instance, &reports))
        .collect();
    let is_enough = || {
        let reports = lock(&reports);
        let is_known =
            |status: &InstanceStatus| reports.since(agreed_at).any(|it| it.id == status.id);
        let known = !needs_known || surveyed.statuses.iter().all(is_known);
        let proved =
            !is_proof_possible || reports.since(agreed_at).count() >= holders.reports_needed();
        known && proved
    };
    while !is_enough() {
        // Both the deadline and the last answer end the wait.
        let Ok(Some(())) = timeout_at(deadline.into(), answers.next()).await else {
            break;
        };
    }
    drop(answers);
    reports.into_inner().unwrap_or_else(PoisonError::into_inner)
}

async fn ask_until_answered<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Arc<Instance>,
    reports: &Mutex<StatusReports>,
) {
    loop {
        if let Some(report) = survey::report(gateway, instance).await {
            lock(reports).record(report);
            return;
        }
        sleep(REPEAT_PAUSE).await;
    }
}

/// Whether an instance that did not report being primary before does so now.
fn has_new_primary(surveyed: &ServiceSurvey, reports: &StatusReports) -> bool {
    let was_primary = |id: &InstanceId| {
        let mut statuses = surveyed.statuses.iter();
        statuses.any(|it| it.id == *id && it.role == Role::Primary)
    };
    reports
        .latest()
        .any(|it| it.role == Role::Primary && !was_primary(&it.id))
}
