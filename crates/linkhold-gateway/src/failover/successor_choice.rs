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
use tokio::time::{sleep, sleep_until};

use super::FailoverReason;
use super::order::Grounds;
use super::service_survey::{ServiceSurvey, candidates, log_no_successor};
use crate::cluster_state::lock;
use crate::evidence::survey;
use crate::gateway::Gateway;
use crate::log_group;
use crate::ports::Platform;

/// Pause between status requests to an instance that has not answered.
const REPEAT_PAUSE: Duration = Duration::from_millis(15);
/// Time left for the order once the successor is chosen.
const ORDER_RESERVE: Duration = Duration::from_millis(150);
/// How long answers are waited for without which a successor may be promoted as well:
/// they may show an instance that has received more.
const MAX_UNNEEDED_WAIT: Duration = Duration::from_millis(250);

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
    let choice = Choice::new(gateway, surveyed, grounds);
    let reports = choice.ask_again().await;
    choice.choose(&reports)
}

/// The choice of a successor once all nodes have agreed.
struct Choice<'a, P: Platform> {
    gateway: &'a Gateway<P>,
    surveyed: &'a ServiceSurvey,
    grounds: &'a Grounds,
    agreed_at: Instant,
    end: TermEnd,
    forbids_loss: bool,
    /// The logs that may hold commits, once their record has been read.
    holders: Mutex<LogHolders>,
}

impl<'a, P: Platform> Choice<'a, P> {
    fn new(gateway: &'a Gateway<P>, surveyed: &'a ServiceSurvey, grounds: &'a Grounds) -> Self {
        let agreed_at = Instant::now();
        let forbids_loss = gateway.cluster.forbids_loss(&surveyed.service);
        Self {
            gateway,
            surveyed,
            grounds,
            agreed_at,
            end: TermEnd::Agreed {
                at: agreed_at,
                acknowledged: acknowledged_bound(grounds),
            },
            forbids_loss,
            // Until the record has been read, no statuses are a proof.
            holders: Mutex::new(LogHolders {
                forbids_loss,
                ..LogHolders::default()
            }),
        }
    }

    /// Reads which logs may hold commits: after the agreement, so that every commit that
    /// was acknowledged before it counts on logs in the record.
    async fn read_holders(&self) {
        let mut holders = log_group::read_holders(self.gateway, &self.surveyed.service).await;
        if let Some(agreement) = &self.grounds.agreement {
            holders.instances = holders.instances.max(agreement.log_holders);
        }
        // A setting that changed meanwhile counts for the next choice.
        holders.forbids_loss = self.forbids_loss;
        *lock(&self.holders) = holders;
    }

    /// Asks the instances for their statuses until enough have answered, or for as long
    /// as an order may wait.
    async fn ask_again(&self) -> StatusReports {
        // Without a proof to gain, instances that did not answer before are not asked.
        let others = self.surveyed.others.iter();
        let has_answered = |it: &&Arc<Instance>| self.surveyed.status_of(&it.id).is_some();
        let asked = others.filter(|it| self.forbids_loss || has_answered(it));
        let reports = Mutex::new(self.surveyed.reports());
        let mut answers: FuturesUnordered<_> = asked
            .map(|instance| ask_until_answered(self.gateway, instance, &reports))
            .collect();
        let reading = self.read_holders();
        tokio::pin!(reading);
        let mut is_read = !self.forbids_loss;
        loop {
            let has_every_answer = is_read && answers.is_empty();
            if has_every_answer || self.is_enough(&lock(&reports)) {
                break;
            }
            let deadline = self.deadline(&lock(&reports));
            tokio::select! {
                () = &mut reading, if !is_read => is_read = true,
                Some(()) = answers.next() => {}
                () = sleep_until(deadline.into()) => break,
            }
        }
        drop(answers);
        reports.into_inner().unwrap_or_else(PoisonError::into_inner)
    }

    fn deadline(&self, reports: &StatusReports) -> Instant {
        let latest = self.grounds.order_by().checked_sub(ORDER_RESERVE);
        let latest = latest.unwrap_or(self.agreed_at);
        let lacks_proof = self.forbids_loss && !self.is_proved(reports);
        if lacks_proof || self.needs_all_answers() {
            latest
        } else {
            latest.min(self.agreed_at + MAX_UNNEEDED_WAIT)
        }
    }

    /// Whether all instances that answered before have to answer again: where no primary
    /// is known, no node agreed that these are lost.
    fn needs_all_answers(&self) -> bool {
        self.grounds.reason == FailoverReason::Unknown
    }

    fn have_all_answered_again(&self, reports: &StatusReports) -> bool {
        let mut statuses = self.surveyed.statuses.iter();
        statuses.all(|it| reports.since(self.agreed_at).any(|again| again.id == it.id))
    }

    /// Whether the successor can be chosen without further answers.
    fn is_enough(&self, reports: &StatusReports) -> bool {
        let is_proved = !self.forbids_loss || self.is_proved(reports);
        is_proved && self.have_all_answered_again(reports)
    }

    /// Whether some instance is known to lack no acknowledged commit.
    fn is_proved(&self, reports: &StatusReports) -> bool {
        let mut others = self.surveyed.others.iter();
        others.any(|instance| self.lacks_nothing(reports, &instance.id))
    }

    fn lacks_nothing(&self, reports: &StatusReports, id: &InstanceId) -> bool {
        let completeness = reports.completeness(id, &self.end, &lock(&self.holders));
        completeness > LogCompleteness::MayLackCommits
    }

    fn choose(&self, reports: &StatusReports) -> Result<InstanceStatus, Unsuitable> {
        if has_new_primary(self.surveyed, reports) {
            return Err(Unsuitable::OtherPrimary);
        }
        if self.needs_all_answers() && !self.have_all_answered_again(reports) {
            return Err(Unsuitable::InstanceSilent);
        }
        let service = &self.surveyed.service;
        let reason = self.grounds.reason;
        let candidates = candidates(self.gateway, service, reason, reports.latest());
        let chosen = failover::choose_successor(&candidates, self.forbids_loss);
        let chosen = chosen.ok_or(Unsuitable::NoSuccessor)?;
        if self.forbids_loss && !self.lacks_nothing(reports, &chosen.status.id) {
            let holders = lock(&self.holders);
            let logs = reports.count_logs(self.agreed_at, &holders);
            log_no_successor(service, &holders, logs, candidates.len());
            return Err(Unsuitable::NoSuccessor);
        }
        Ok(chosen.status.clone())
    }
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
        let status = surveyed.status_of(id);
        status.is_some_and(|status| status.role == Role::Primary)
    };
    reports
        .latest()
        .any(|it| it.role == Role::Primary && !was_primary(&it.id))
}
