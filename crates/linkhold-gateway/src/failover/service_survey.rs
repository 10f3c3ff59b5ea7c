//! Surveys the instances of a service, and chooses a primary or a successor among them.

use std::sync::Arc;
use std::time::Instant;

use linkhold_core::position::Position;
use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::directory::PrimarySource;
use linkhold_core::service::failover::{self, InstanceStatus, Successor};
use linkhold_core::service::instance::{Instance, InstanceId, Role};
use linkhold_core::service::log_completeness::{LogHolders, StatusReport, StatusReports};
use linkhold_core::service::primary_verification::PrimaryVerdict;
use linkhold_events::Event;

use super::FailoverReason;
use super::diagnosis::learn_primary;
use crate::evidence::{primary_verification, survey};
use crate::gateway::Gateway;
use crate::log_group;
use crate::ports::Platform;

/// Instances of a service and their statuses, as surveyed before its primary is
/// replaced.
pub(super) struct ServiceSurvey {
    pub(super) service: ServiceName,
    /// All instances except the old primary.
    pub(super) others: Vec<Arc<Instance>>,
    /// When the instances were asked.
    asked_at: Instant,
    /// Statuses of those of `others` that answered.
    pub(super) statuses: Vec<InstanceStatus>,
    /// The logs that may hold commits, as read while the instances were asked.
    holders: LogHolders,
    pub(super) old: Option<Arc<Instance>>,
}

impl ServiceSurvey {
    /// The status of an instance; `None` if it did not answer.
    pub(super) fn status_of(&self, id: &InstanceId) -> Option<&InstanceStatus> {
        self.statuses.iter().find(|status| status.id == *id)
    }

    /// Number of logs of which the statuses tell, or of statuses where they prove nothing.
    fn count_logs(&self) -> usize {
        match self.holders.forbids_loss {
            true => self.reports().count_logs(self.asked_at, &self.holders),
            false => self.statuses.len(),
        }
    }

    /// The statuses with the time of the question.
    pub(super) fn reports(&self) -> StatusReports {
        let mut reports = StatusReports::default();
        for status in &self.statuses {
            reports.record(StatusReport {
                status: status.clone(),
                asked_at: self.asked_at,
            });
        }
        reports
    }
}

/// Asks all instances of a service but its primary for their statuses.
pub(super) async fn survey_service<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
) -> ServiceSurvey {
    let old = gateway.cluster.primary(service);
    let others: Vec<Arc<Instance>> = gateway
        .cluster
        .instances(service)
        .into_iter()
        .filter(|instance| old.as_ref().is_none_or(|old| old.id != instance.id))
        .collect();
    let asked_at = Instant::now();
    let (statuses, holders) = tokio::join!(
        survey::statuses(gateway, &others),
        log_group::read_holders(gateway, service),
    );
    for status in &statuses {
        gateway.cluster.observe_term(service, status.term);
    }
    ServiceSurvey {
        service: service.clone(),
        others,
        asked_at,
        statuses,
        holders,
        old,
    }
}

/// Looks for an instance that reports being primary and was not replaced, as far as
/// this node can verify, or else for one that other nodes name. Returns whether a
/// primary is known now.
pub(super) async fn find_primary<P: Platform>(
    gateway: &Gateway<P>,
    surveyed: &ServiceSurvey,
) -> bool {
    let service = &surveyed.service;
    let Some(claimant) = newest_claimant(gateway, service, &surveyed.statuses) else {
        return false;
    };
    let Some(instance) = gateway.cluster.instance(&claimant.id) else {
        return false;
    };
    let verdict =
        primary_verification::determine_verdict(gateway, &instance, &surveyed.statuses).await;
    if verdict == PrimaryVerdict::Leads {
        gateway
            .cluster
            .confirm_primary(&claimant.id, PrimarySource::Asked);
        return true;
    }
    learn_primary(gateway, service).await
}

/// An instance that reports being primary in the newest known term. Where several
/// announce the role, all of them have to report their terms: one that does not answer
/// may be the newest.
fn newest_claimant<'a, P: Platform>(
    gateway: &Gateway<P>,
    service: &str,
    statuses: &'a [InstanceStatus],
) -> Option<&'a InstanceStatus> {
    let has_answered = |id: &InstanceId| statuses.iter().any(|status| status.id == *id);
    let claimants = gateway.cluster.claimants(service);
    if claimants.len() > 1 && !claimants.iter().all(has_answered) {
        return None;
    }
    let newest = gateway.cluster.newest_term(service)?;
    // An instance that has restarted holds nothing, but may still report being primary.
    let proved = gateway.cluster.newest_position(service);
    let holds_proved = |status: &&InstanceStatus| Some(status.received) >= proved;
    statuses
        .iter()
        .filter(holds_proved)
        .find(|status| status.role == Role::Primary && status.term >= newest)
}

/// The instances with these statuses that may be promoted.
pub(super) fn candidates<'a, P: Platform>(
    gateway: &Gateway<P>,
    service: &str,
    reason: FailoverReason,
    statuses: impl IntoIterator<Item = &'a InstanceStatus>,
) -> Vec<Successor> {
    let now = Instant::now();
    statuses
        .into_iter()
        // An order names an instance without its incarnation: one that has ended would
        // promote the one that has begun.
        .filter(|status| gateway.cluster.instance(&status.id).is_some())
        .filter(|status| has_current_term(gateway, service, status))
        .map(|status| Successor {
            status: status.clone(),
            is_leaving: gateway.cluster.is_leaving(&status.id, now),
            is_in_primary_region: is_well_placed(gateway, &status.id),
            is_warm: !gateway.cluster.is_cold(&status.id),
        })
        // A misplaced primary still serves: its successor must be well placed and not
        // leaving.
        .filter(|it| {
            reason != FailoverReason::Misplaced || it.is_in_primary_region && !it.is_leaving
        })
        .collect()
}

/// The instance to promote; `None` if too few statuses are known to choose one.
pub(super) fn select_successor<P: Platform>(
    gateway: &Gateway<P>,
    service: &str,
    reason: FailoverReason,
    surveyed: &ServiceSurvey,
) -> Option<Successor> {
    let holders = &surveyed.holders;
    let candidates = candidates(gateway, service, reason, &surveyed.statuses);
    let candidates = match reason {
        FailoverReason::Leaving | FailoverReason::Misplaced => {
            failover::switchover_candidates(candidates, holders.forbids_loss)
        }
        FailoverReason::Unknown | FailoverReason::Lost => candidates,
    };
    let chosen = failover::choose_successor(&candidates, holders.forbids_loss);
    let may_be_proved =
        chosen.is_some_and(|chosen| may_be_proved(gateway, reason, surveyed, &chosen.status));
    if !may_be_proved {
        log_no_successor(service, holders, surveyed.count_logs(), candidates.len());
        return None;
    }
    chosen.cloned()
}

/// Logs that no instance may be promoted, and of how many which were required.
pub(super) fn log_no_successor(
    service: &str,
    holders: &LogHolders,
    statuses: usize,
    candidates: usize,
) {
    Event::warn("no_successor")
        .field("service", service)
        .field("log_holders", holders.logs())
        .field("statuses", statuses)
        .field("candidates", candidates)
        .field("required", required_statuses(holders))
        .log();
}

/// Statuses without which no lost primary is replaced.
fn required_statuses(holders: &LogHolders) -> usize {
    match holders.forbids_loss {
        false => 1,
        true => holders.reports_needed(),
    }
}

/// Whether it may turn out that the most advanced instance has all acknowledged commits.
/// A primary that steps down knows the end of its log.
fn may_be_proved<P: Platform>(
    gateway: &Gateway<P>,
    reason: FailoverReason,
    surveyed: &ServiceSurvey,
    most_advanced: &InstanceStatus,
) -> bool {
    match reason {
        FailoverReason::Leaving | FailoverReason::Misplaced => true,
        FailoverReason::Lost | FailoverReason::Unknown => {
            let known = gateway.cluster.newest_acknowledged(&surveyed.service);
            let has_known = reason == FailoverReason::Lost && Some(most_advanced.received) >= known;
            has_known || surveyed.count_logs() >= required_statuses(&surveyed.holders)
        }
    }
}

/// Whether the log of an instance ends in the newest proved term.
pub(super) fn has_current_term<P: Platform>(
    gateway: &Gateway<P>,
    service: &str,
    status: &InstanceStatus,
) -> bool {
    failover::has_current_term(status, newest_evidence(gateway, service))
}

/// The lowest position at which a log lacks nothing that is proved, nor the newest
/// proved term.
fn newest_evidence<P: Platform>(gateway: &Gateway<P>, service: &str) -> Option<Position> {
    let proved_term = gateway.cluster.newest_proved_term(service);
    let start_of_term = proved_term.map(|term| Position { term, index: 0 });
    start_of_term.max(gateway.cluster.newest_position(service))
}

fn is_well_placed<P: Platform>(gateway: &Gateway<P>, id: &InstanceId) -> bool {
    let instance = gateway.cluster.instance(id);
    instance.is_some_and(|instance| gateway.cluster.is_well_placed(&instance))
}
