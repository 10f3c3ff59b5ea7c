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
//!   and of that many others. It is therefore in one of any `instances - synchronous`
//!   logs, and the longest of these has all such commits, because the log of an
//!   instance is a prefix of its primary's.
//! * A log that reaches the position up to which commits may have been acknowledged
//!   lacks none of them, however many instances do not answer.

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

/// How the term of a primary ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TermEnd {
    /// The primary stepped down with this position as the end of its log.
    SteppedDown {
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

/// The instances that may hold commits of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogHolders {
    /// Number of instances, the primary included.
    pub instances: usize,
    /// Replicas that have received any acknowledged commit.
    pub synchronous: usize,
    /// Whether an instance that may lack acknowledged commits is never promoted.
    pub forbids_loss: bool,
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
            TermEnd::SteppedDown { log_end } => self.has_reached(id, *log_end),
            TermEnd::Agreed { at, acknowledged } => {
                let has_reached = |bound: Position| self.has_reached(id, bound);
                acknowledged.is_some_and(has_reached) || self.is_longest_of_enough(id, *at, holders)
            }
        };
        match (is_complete, end) {
            (true, TermEnd::SteppedDown { .. }) => LogCompleteness::Whole,
            (true, TermEnd::Agreed { .. }) => LogCompleteness::HasAcknowledged,
            (false, _) => LogCompleteness::MayLackCommits,
        }
    }

    /// Whether the log of an instance has reached a position. It then still has it.
    pub fn has_reached(&self, id: &InstanceId, position: Position) -> bool {
        let own = self.latest().find(|status| status.id == *id);
        own.is_some_and(|own| own.received >= position)
    }

    /// Whether enough instances have been asked since a moment, and none of them has
    /// received more than this one.
    fn is_longest_of_enough(&self, id: &InstanceId, since: Instant, holders: &LogHolders) -> bool {
        let longest = self.since(since).map(|status| status.received).max();
        let own = self.since(since).find(|status| status.id == *id);
        let is_longest = own.is_some_and(|own| Some(own.received) == longest);
        is_longest && self.since(since).count() >= holders.reports_needed()
    }
}
