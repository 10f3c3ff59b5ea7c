//! Whether the log of an instance that may be promoted lacks commits of the primary that
//! it replaces.
//!
//! # Invariants
//!
//! * A status shows only what an instance had received when it was asked. Commits may
//!   be acknowledged until the [`TermEnd`] of the primary, so only statuses asked for
//!   after that count.
//! * With synchronous replicas, an acknowledged commit is in the logs of the primary
//!   and of that many others. It is therefore in one of any `instances - synchronous`
//!   logs, and the longest of these has all such commits, because the log of an
//!   instance is a prefix of its primary's.

use std::time::Instant;

use crate::position::Position;

use super::failover::InstanceStatus;
use super::instance::InstanceId;

/// A status, and when it was asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusReport {
    /// The status.
    pub status: InstanceStatus,
    /// When the instance was asked for it.
    pub asked_at: Instant,
}

/// From when on no commit of a primary is acknowledged any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TermEnd {
    /// No node acknowledges a commit of the primary after this moment, unless the
    /// instance that is promoted has the commit.
    pub at: Instant,
    /// End of the primary's log, if the primary itself has ended its term.
    pub log_end: Option<Position>,
}

/// The instances that may hold commits of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogHolders {
    /// Number of instances, the primary included.
    pub instances: usize,
    /// Replicas that must have received a commit before it is acknowledged.
    pub synchronous: usize,
}

impl LogHolders {
    /// How many of the instances must have reported their positions, so that one of
    /// them has every acknowledged commit. Without synchronous replicas no number
    /// suffices.
    pub fn reports_needed(&self) -> usize {
        match self.synchronous {
            0 => usize::MAX,
            synchronous => self.instances.saturating_sub(synchronous).max(1),
        }
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
}

impl StatusReports {
    /// Records a status. Of two statuses of an instance, the one that was asked for
    /// last counts.
    pub fn record(&mut self, report: StatusReport) {
        let id = &report.status.id;
        match self.reports.iter_mut().find(|it| it.status.id == *id) {
            Some(known) if known.asked_at > report.asked_at => {}
            Some(known) => *known = report,
            None => self.reports.push(report),
        }
    }

    /// The statuses that were asked for after the end of a term.
    pub fn since<'a>(&'a self, end: &TermEnd) -> impl Iterator<Item = &'a InstanceStatus> {
        let asked_from = end.at;
        self.reports
            .iter()
            .filter(move |report| report.asked_at >= asked_from)
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
        let Some(own) = self.latest().find(|status| status.id == *id) else {
            return LogCompleteness::MayLackCommits;
        };
        // A log that has once reached the end still has it.
        if end.log_end.is_some_and(|log_end| own.received >= log_end) {
            return LogCompleteness::Whole;
        }
        let reports = self.since(end).count();
        let longest = self.since(end).max_by_key(|status| status.received);
        let is_longest = longest.is_some_and(|longest| longest.received == own.received);
        let is_current = self.since(end).any(|status| status.id == *id);
        if is_current && is_longest && reports >= holders.reports_needed() {
            LogCompleteness::HasAcknowledged
        } else {
            LogCompleteness::MayLackCommits
        }
    }
}
