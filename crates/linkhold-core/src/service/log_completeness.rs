//! Whether the log of an instance that may be promoted lacks commits of the primary that
//! it replaces.
//!
//! # Invariants
//!
//! * A status shows only what an instance had received when it was asked. Commits may
//!   be acknowledged until the nodes have agreed to acknowledge nothing more of the
//!   primary, so only statuses asked for after that count.
//! * A primary that steps down knows the end of its log. Commits before that end may
//!   still be received by replicas, and acknowledged, so that only a log which reaches
//!   the end lacks nothing.
//! * With synchronous replicas, an acknowledged commit is in the logs of the primary
//!   and of that many others. It is therefore in one of any `logs - synchronous` logs,
//!   and whatever reaches the longest of these has all such commits, because the log of
//!   an instance is a prefix of its primary's. A log that its instance has lost since
//!   ([`super::log_group`]) is not one of them, whatever the instance reports.
//! * A log that reaches the position up to which commits may have been acknowledged
//!   lacks none of them, however many instances do not answer.
//! * An instance may start again with an empty log under the same name. What it had
//!   received before the term ended is no proof where no commit may be lost.

use std::time::Instant;

use crate::position::Position;

use super::failover::InstanceStatus;
use super::instance::InstanceId;
use super::log_group::{LogGroup, LogMember, LogState};

/// A status, and when it was asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusReport {
    /// The status.
    pub status: InstanceStatus,
    /// When the instance was asked for it.
    pub asked_at: Instant,
}

/// How the term of a primary ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TermEnd {
    /// The primary stepped down with this position as the end of its log.
    SteppedDown {
        /// When it had stepped down.
        at: Instant,
        /// End of its log.
        log_end: Position,
    },
    /// All nodes agreed to acknowledge none of its commits after this moment, unless an
    /// instance that has them is promoted.
    Agreed {
        /// When the last node had agreed.
        at: Instant,
        /// Position up to which the nodes may have acknowledged commits, if they know
        /// that ([`super::acknowledged`]).
        acknowledged: Option<Position>,
    },
}

/// The logs that may hold commits of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogHolders {
    /// The logs that are known, the primary's included.
    pub group: LogGroup,
    /// Number of instances of which any node knows that they may hold commits.
    pub instances: usize,
    /// Replicas that have received any acknowledged commit; 0 if that is not known.
    pub synchronous: usize,
    /// Whether an instance that may lack acknowledged commits is never promoted.
    pub forbids_loss: bool,
}

impl LogHolders {
    /// Number of logs that may hold commits.
    pub fn logs(&self) -> usize {
        self.instances.max(self.group.members.len())
    }

    /// How many of the logs must have been reported, so that one of them has every
    /// acknowledged commit. Without synchronous replicas no number suffices.
    pub fn reports_needed(&self) -> usize {
        match self.synchronous {
            0 => usize::MAX,
            synchronous => self.logs().saturating_sub(synchronous).max(1),
        }
    }

    /// The log of an instance, if the instance still has what it received.
    fn intact_log(&self, id: &InstanceId) -> Option<&LogMember> {
        let member = self.group.member_of(id)?;
        (member.state == LogState::Intact).then_some(member)
    }
}

/// What is known of the log of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogCompleteness {
    /// It may lack commits that were acknowledged.
    MayLackCommits,
    /// It has all commits that were acknowledged.
    HasAcknowledged,
    /// It has all commits of the primary.
    Whole,
}

/// Statuses of a service's instances, by which its primary is replaced.
#[derive(Clone, Debug, Default)]
pub struct StatusReports {
    reports: Vec<StatusReport>,
    /// Instances that have reported less than before in the same term.
    restarted: Vec<InstanceId>,
}

impl StatusReports {
    /// Records a status. Of two statuses of an instance, the one that was asked for
    /// last counts.
    pub fn record(&mut self, report: StatusReport) {
        let id = &report.status.id;
        match self.reports.iter_mut().find(|it| it.status.id == *id) {
            Some(known) if known.asked_at > report.asked_at => {}
            Some(known) => {
                if has_lost_log(&known.status, &report.status) {
                    self.restarted.push(id.clone());
                }
                *known = report;
            }
            None => self.reports.push(report),
        }
    }

    /// The statuses that were asked for at a moment or after it.
    pub fn since(&self, moment: Instant) -> impl Iterator<Item = &InstanceStatus> {
        self.reports
            .iter()
            .filter(move |report| report.asked_at >= moment)
            .map(|report| &report.status)
    }

    /// The latest status of each instance, whenever it was asked for.
    pub fn latest(&self) -> impl Iterator<Item = &InstanceStatus> {
        self.reports.iter().map(|report| &report.status)
    }

    /// What the statuses show of the log of an instance, once a term has ended.
    pub fn completeness(
        &self,
        id: &InstanceId,
        end: &TermEnd,
        holders: &LogHolders,
    ) -> LogCompleteness {
        let is_complete = match end {
            // An instance that reported before the end may have started again since.
            TermEnd::SteppedDown { at, log_end } => {
                let since = holders.forbids_loss.then_some(*at);
                self.has_reached(id, *log_end, since)
            }
            TermEnd::Agreed { at, acknowledged } => {
                let has_reached = |bound| self.has_reached(id, bound, Some(*at));
                acknowledged.is_some_and(has_reached)
                    || self.reaches_longest_of_enough(id, *at, holders)
            }
        };
        match (is_complete, end) {
            (true, TermEnd::SteppedDown { .. }) => LogCompleteness::Whole,
            (true, TermEnd::Agreed { .. }) => LogCompleteness::HasAcknowledged,
            (false, _) => LogCompleteness::MayLackCommits,
        }
    }

    /// Whether the log of an instance has reached a position, by a status that was asked
    /// for at a moment or after it, if one is given.
    fn has_reached(&self, id: &InstanceId, position: Position, since: Option<Instant>) -> bool {
        let own = self.reports.iter().find(|report| report.status.id == *id);
        own.is_some_and(|own| Some(own.asked_at) >= since && own.status.received >= position)
    }

    /// Number of logs that were reported since a moment and still hold what they
    /// received.
    pub fn count_logs(&self, since: Instant, holders: &LogHolders) -> usize {
        self.intact_logs(since, holders).count()
    }

    /// Whether enough logs have been reported since a moment, and the log of an instance
    /// has reached the longest of them.
    fn reaches_longest_of_enough(
        &self,
        id: &InstanceId,
        since: Instant,
        holders: &LogHolders,
    ) -> bool {
        if self.count_logs(since, holders) < holders.reports_needed() {
            return false;
        }
        let longest = self.intact_logs(since, holders).max();
        longest.is_some_and(|longest| self.has_reached(id, longest, Some(since)))
    }

    /// The position of each log that was reported since a moment and still holds what it
    /// received. Two instances of one member are one log.
    fn intact_logs(&self, since: Instant, holders: &LogHolders) -> impl Iterator<Item = Position> {
        let mut logs: Vec<(&InstanceId, Position)> = Vec::new();
        for status in self.since(since) {
            let is_restarted = self.restarted.contains(&status.id);
            let Some(member) = holders.intact_log(&status.id).filter(|_| !is_restarted) else {
                continue;
            };
            match logs.iter_mut().find(|(id, _)| **id == member.id) {
                Some((_, received)) => *received = status.received.max(*received),
                None => logs.push((&member.id, status.received)),
            }
        }
        logs.into_iter().map(|(_, received)| received)
    }
}

/// Whether an instance has lost its log between two statuses. In a later term it may
/// have dropped commits that its new primary does not have.
fn has_lost_log(earlier: &InstanceStatus, later: &InstanceStatus) -> bool {
    later.received < earlier.received && later.term <= earlier.term
}
