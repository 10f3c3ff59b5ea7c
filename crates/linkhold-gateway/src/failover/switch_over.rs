//! Hands a primary's role over to a successor while the primary still serves.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use linkhold_core::position::{Position, Term};
use linkhold_core::service::failover::{self, FailoverLease, InstanceStatus, Successor};
use linkhold_core::service::instance::{Instance, InstanceId, Role};
use linkhold_core::service::log_completeness::{
    LogCompleteness, LogHolders, StatusReports, TermEnd,
};
use linkhold_events::Event;
use tokio::time::{sleep, timeout_at};

use super::lease::claim;
use super::order::{Grounds, OrderOutcome, order};
use super::service_survey::{ServiceSurvey, candidates};
use super::{FailoverReason, is_diagnosis_current};
use crate::cluster_state::lock;
use crate::evidence::survey;
use crate::gateway::Gateway;
use crate::ports::Platform;

/// Time that a successor may take to receive the log of a primary that stepped down.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(600);
/// The same where the old primary is not leaving: none of its commits may be undone.
const MISPLACED_CATCH_UP_TIMEOUT: Duration = Duration::from_millis(3_000);
/// How long the successor that was chosen first is preferred to others that have received
/// as much.
const PREFERENCE_TIME: Duration = Duration::from_millis(150);
/// Pause between status requests to an instance that catches up.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(15);

/// Ends the term of a primary that still serves and promotes an instance that has
/// received its log, or restores the old primary if there is none or it cannot be
/// promoted.
pub(super) async fn switch_over<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    surveyed: &ServiceSurvey,
    successor: &InstanceStatus,
    grounds: Grounds,
) {
    let Some(old) = &surveyed.old else {
        return;
    };
    let reason = grounds.reason;
    let Some(ended) = end_term(gateway, surveyed, old, successor, reason).await else {
        return;
    };
    let service = &surveyed.service;
    let chosen = choose_caught_up(gateway, surveyed, &successor.id, &ended, reason).await;
    if !is_diagnosis_current(gateway, service, Some(&old.id)) {
        return grounds.give_up(gateway, service, "primary_changed").await;
    }
    let mut handed_over = grounds.claim.lease.clone();
    let mut outcome = OrderOutcome::NotCarriedOut;
    if let Some(chosen) = chosen
        && let Some(grounds) = grounds.claim_for(gateway, service, &chosen.id).await
    {
        handed_over = grounds.claim.lease.clone();
        outcome = order(gateway, service, &chosen, grounds).await;
    }
    if outcome == OrderOutcome::NotCarriedOut {
        restore_old_primary(gateway, old, &ended, &handed_over, reason).await;
    }
}

/// Promotes an old primary again that stepped down for a successor which was not
/// promoted, unless another node may have ordered a promotion since `handed_over` was
/// claimed. Without this, a service whose successor failed at that point had no primary
/// for 2.5 s, until the nodes had agreed that there is none.
async fn restore_old_primary<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    old: &Arc<Instance>,
    ended: &InstanceStatus,
    handed_over: &FailoverLease,
    reason: FailoverReason,
) {
    let Some(present) = survey::status(gateway, old).await else {
        return;
    };
    // Its term is newer if another node has ordered a promotion since.
    if present.role == Role::Primary || present.term != ended.term {
        return;
    }
    let service = &old.service;
    let Some(claim) = claim(gateway, service, &old.id).await else {
        return;
    };
    // An instance that is cut off does not learn of a promotion, so its term is not
    // enough.
    let may_restore = claim.lease.directly_follows(handed_over);
    Event::info("hand_over_undone")
        .field("service", service)
        .field("old", &old.id)
        .field("term", present.term)
        .field("token", claim.lease.token)
        .field("handed_over_under", handed_over.token)
        .field("leads_again", may_restore)
        .log();
    if !may_restore {
        return;
    }
    let grounds = Grounds {
        reason,
        claim,
        agreement: None,
    };
    if !is_diagnosis_current(gateway, service, None) {
        return grounds.give_up(gateway, service, "primary_changed").await;
    }
    order(gateway, service, &present, grounds).await;
}

/// Whether an instance reports being primary, and no newer term is known.
fn is_primary_of_newest_term<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Instance,
    status: &InstanceStatus,
) -> bool {
    let newest = gateway.cluster.newest_term(&instance.service);
    status.role == Role::Primary && Some(status.term) >= newest
}

/// Ends the term of a primary that is leaving or misplaced; returns its status
/// afterwards, or `None` if its term cannot be ended yet.
async fn end_term<P: Platform>(
    gateway: &Gateway<P>,
    surveyed: &ServiceSurvey,
    old: &Arc<Instance>,
    successor: &InstanceStatus,
    reason: FailoverReason,
) -> Option<InstanceStatus> {
    let present = survey::status(gateway, old).await?;
    // A node that was paused during another node's hand-over repeated it on resuming,
    // from the old primary's log: 3 to 5 commits of the new primary were undone.
    if !gateway.cluster.permission.is_held() {
        return None;
    }
    if !is_primary_of_newest_term(gateway, old, &present) {
        gateway.record_primary_denial(old);
        return None;
    }
    // A misplaced primary does not leave by itself: it waits for its successor.
    let leaving_for = match reason {
        FailoverReason::Leaving => gateway.cluster.leaving_for(&old.id, Instant::now())?,
        FailoverReason::Unknown | FailoverReason::Lost | FailoverReason::Misplaced => {
            Duration::ZERO
        }
    };
    let drain = gateway.settings.drain;
    // With synchronous replicas, a successor that lacks commits is not promoted however
    // long the primary has been leaving.
    let leaving_for = match gateway.cluster.forbids_loss(&surveyed.service) {
        false => leaving_for,
        true => Duration::ZERO,
    };
    if !failover::may_hand_over(present.received, successor.received, leaving_for, drain) {
        Event::info("hand_over_postponed")
            .field("service", &surveyed.service)
            .field("position", present.received)
            .field("successor_position", successor.received)
            .log();
        return None;
    }
    let term = Term(successor.term.max(present.term).0 + 1);
    let ended = survey::step_down(gateway, old, term).await?;
    gateway.cluster.deny_primary(&old.id);
    Some(ended)
}

/// The log of a primary that stepped down.
struct EndedLog {
    end: Position,
    /// When the primary had stepped down.
    ended_at: Instant,
    /// Whether no acknowledged commit may be lost.
    forbids_loss: bool,
}

impl EndedLog {
    fn completeness(&self, id: &InstanceId, reports: &StatusReports) -> LogCompleteness {
        let end = TermEnd::SteppedDown {
            at: self.ended_at,
            log_end: self.end,
        };
        let holders = LogHolders {
            forbids_loss: self.forbids_loss,
            ..LogHolders::default()
        };
        reports.completeness(id, &end, &holders)
    }

    fn is_reached_by(&self, id: &InstanceId, reports: &StatusReports) -> bool {
        self.completeness(id, reports) == LogCompleteness::Whole
    }
}

/// Waits until an instance has received the whole log of a primary that stepped down,
/// and returns its status. Any candidate may take over: the one that was ahead before
/// may have stopped receiving since. `None` if the old primary is to be restored.
async fn choose_caught_up<P: Platform>(
    gateway: &Gateway<P>,
    surveyed: &ServiceSurvey,
    preferred: &InstanceId,
    ended: &InstanceStatus,
    reason: FailoverReason,
) -> Option<InstanceStatus> {
    let log = EndedLog {
        end: ended.received,
        ended_at: Instant::now(),
        forbids_loss: gateway.cluster.forbids_loss(&surveyed.service),
    };
    let reports = wait_for_whole_log(gateway, surveyed, preferred, &log, reason).await;
    let candidates = candidates(gateway, &surveyed.service, reason, reports.latest());
    let chosen = choose(&candidates, preferred, &reports, &log);
    let completeness = chosen.map_or(LogCompleteness::MayLackCommits, |it| {
        log.completeness(&it.status.id, &reports)
    });
    let may_promote = may_promote(gateway, ended, reason, log.forbids_loss, completeness);
    let position = chosen.map_or_else(|| "-".to_owned(), |it| it.status.received.to_string());
    Event::info("primary_stepped_down")
        .field("service", &surveyed.service)
        .field("old", &ended.id)
        .field("position", log.end)
        .field("successor", chosen.map_or(preferred, |it| &it.status.id))
        .field("successor_position", position)
        .field("log", format_args!("{completeness:?}"))
        .field("may_promote", may_promote)
        .log();
    let chosen = chosen.filter(|_| may_promote)?;
    Some(chosen.status.clone())
}

/// The preferred candidate if it has reached the end of the log, or else the best of those
/// that have; the best of all if none has.
fn choose<'a>(
    candidates: &'a [Successor],
    preferred: &InstanceId,
    reports: &StatusReports,
    log: &EndedLog,
) -> Option<&'a Successor> {
    let is_whole = |it: &&Successor| log.is_reached_by(&it.status.id, reports);
    let whole: Vec<&Successor> = candidates.iter().filter(is_whole).collect();
    let is_preferred = |it: &&&Successor| it.status.id == *preferred;
    if let Some(preferred) = whole.iter().find(is_preferred) {
        return Some(preferred);
    }
    if whole.is_empty() {
        failover::choose_successor(candidates, log.forbids_loss)
    } else {
        failover::choose_successor(whole, log.forbids_loss)
    }
}

/// Whether an instance of which this is known may replace a primary that stepped down,
/// or the old primary is rather restored.
fn may_promote<P: Platform>(
    gateway: &Gateway<P>,
    ended: &InstanceStatus,
    reason: FailoverReason,
    forbids_loss: bool,
    completeness: LogCompleteness,
) -> bool {
    if completeness != LogCompleteness::MayLackCommits {
        return true;
    }
    // A misplaced primary would stay, so nothing is given up for its successor.
    if reason == FailoverReason::Misplaced || forbids_loss {
        return false;
    }
    // Without synchronous replicas, callers may lose commits with a primary that is gone
    // before a better successor is there.
    let leaving_for = gateway.cluster.leaving_for(&ended.id, Instant::now());
    let leaving_for = leaving_for.unwrap_or(Duration::MAX);
    failover::must_hand_over(leaving_for, gateway.settings.drain)
}

/// Asks the instances of a service for their statuses until one that may be promoted
/// has received the whole log of a primary that stepped down, or for as long as callers
/// may wait. For [`PREFERENCE_TIME`] only the preferred one ends the wait.
async fn wait_for_whole_log<P: Platform>(
    gateway: &Gateway<P>,
    surveyed: &ServiceSurvey,
    preferred: &InstanceId,
    log: &EndedLog,
    reason: FailoverReason,
) -> StatusReports {
    let limit = match reason {
        FailoverReason::Misplaced => MISPLACED_CATCH_UP_TIMEOUT,
        FailoverReason::Unknown | FailoverReason::Lost | FailoverReason::Leaving => {
            CATCH_UP_TIMEOUT
        }
    };
    let earlier = surveyed.reports();
    if log.is_reached_by(preferred, &earlier) {
        return earlier;
    }
    let started_at = Instant::now();
    let deadline = started_at + limit;
    let prefers_until = started_at + PREFERENCE_TIME;
    let reports = Mutex::new(earlier);
    let polls = surveyed.others.iter();
    let mut polls: FuturesUnordered<_> = polls
        .map(|instance| poll_until_whole(gateway, instance, log.end, &reports))
        .collect();
    let may_follow = |status: &InstanceStatus| {
        !candidates(gateway, &surveyed.service, reason, [status]).is_empty()
    };
    let mut has_whole = false;
    loop {
        let wake_at = if Instant::now() < prefers_until {
            prefers_until
        } else {
            deadline
        };
        match timeout_at(wake_at.into(), polls.next()).await {
            Ok(Some(status)) => {
                let may_follow = may_follow(&status);
                has_whole |= may_follow;
                let is_preferred = status.id == *preferred;
                if may_follow && (is_preferred || Instant::now() >= prefers_until) {
                    break;
                }
            }
            Ok(None) => break,
            Err(_) if has_whole || Instant::now() >= deadline => break,
            Err(_) => {}
        }
    }
    drop(polls);
    reports.into_inner().unwrap_or_else(PoisonError::into_inner)
}

/// Asks an instance for its status until it has received the whole log of a primary
/// that stepped down; returns that status.
async fn poll_until_whole<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Arc<Instance>,
    log_end: Position,
    reports: &Mutex<StatusReports>,
) -> InstanceStatus {
    loop {
        if let Some(report) = survey::report(gateway, instance).await {
            let status = report.status.clone();
            lock(reports).record(report);
            if status.received >= log_end {
                return status;
            }
        }
        sleep(CATCH_UP_PAUSE).await;
    }
}
