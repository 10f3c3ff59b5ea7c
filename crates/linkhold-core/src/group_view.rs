//! A node's view of one replicated database, and the decisions taken from it.
//!
//! A node probes every instance of the database for its term, role and applied
//! position. Each probe carries a [`ProbeTag`] drawn from a counter when the
//! probe is *sent*. An answer whose tag is greater than the counter's value at
//! some time therefore belongs to a probe sent after that time; the rules below
//! need no other notion of time.
//!
//! # Invariants
//!
//! * A **majority fence** ([`GroupView::fence`]) is at least as high as the
//!   position of every write acknowledged before the fence was requested,
//!   because the majority that answered intersects the majority that confirmed
//!   the write.
//! * A write is **confirmed** ([`GroupView::confirm`]) only when a majority,
//!   probed after the commit returned, still follows the term the write ran in
//!   and holds its position. A later primary is elected by a majority, which
//!   intersects this one, so it holds the write.

use crate::position::{Position, Term};

/// Sequence number of a probe, drawn when the probe is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProbeTag(pub u64);

/// Index of an instance within its database, in table order.
pub type InstanceIndex = usize;

/// Role an instance reports for itself. A replaced primary may still report
/// [`Role::Primary`]; the term distinguishes the two.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Applies the primary's log.
    Replica,
}

/// Answer of an instance to the status query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceStatus {
    /// Newest term the instance has promised to follow.
    pub current_term: Term,
    /// Last entry the instance has applied.
    pub position: Position,
    /// Role the instance reports.
    pub role: Role,
}

/// A status and the tag of the probe that it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Tag drawn when the probe was sent.
    pub tag: ProbeTag,
    /// What the instance reported.
    pub status: InstanceStatus,
}

/// A primary that a majority of instances follows, as last seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfirmedPrimary {
    /// Index of the instance.
    pub instance: InstanceIndex,
    /// Term in which it is primary.
    pub term: Term,
}

/// Durability that the database group itself guarantees when a commit returns.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CommitPromise {
    /// The primary answers as soon as it has the entry: the node itself waits
    /// until a majority holds the position. The safe default.
    #[default]
    PrimaryOnly,
    /// The primary answers only once a majority holds the entry: the node
    /// checks that a majority still follows the term.
    Majority,
}

/// Whether a returned commit is confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// A majority follows the term and holds the position.
    Confirmed(Position),
    /// Not enough answers yet.
    Pending,
    /// The primary has been replaced, so the write may or may not survive.
    Replaced,
}

/// A change of the view to report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewChange {
    /// The confirmed primary has changed; `None` if there is none now.
    Primary(Option<ConfirmedPrimary>),
    /// The highest term seen has increased.
    Term(Term),
    /// An instance started or stopped answering.
    Reachable(InstanceIndex, bool),
}

/// A commit whose acknowledgement waits for confirmation.
#[derive(Clone, Copy, Debug)]
pub struct PendingCommit {
    /// Instance the commit ran on.
    pub instance: InstanceIndex,
    /// Term in which that instance was the confirmed primary when the statement was
    /// sent.
    pub term: Term,
    /// Probe counter when the commit returned.
    pub returned_at: ProbeTag,
    /// Upper bound of the commit's position, once its primary has reported one.
    pub target: Option<Position>,
}

/// Latest answers of all instances of one database.
#[derive(Clone, Debug)]
pub struct GroupView {
    answers: Vec<Option<Answer>>,
    reachable: Vec<bool>,
    primary: Option<ConfirmedPrimary>,
    highest_term: Term,
}

impl GroupView {
    /// A view of `instances` instances, none of which has answered.
    pub fn new(instances: usize) -> Self {
        Self {
            answers: vec![None; instances],
            reachable: vec![false; instances],
            primary: None,
            highest_term: Term(0),
        }
    }

    /// Number of instances that make a majority.
    pub fn majority(&self) -> usize {
        self.answers.len() / 2 + 1
    }

    /// Number of instances.
    pub fn instances(&self) -> usize {
        self.answers.len()
    }

    /// Records an answer. Answers older than the recorded one are ignored,
    /// so that late answers never revert the view.
    pub fn record(
        &mut self,
        instance: InstanceIndex,
        tag: ProbeTag,
        status: InstanceStatus,
    ) -> Vec<ViewChange> {
        let newer = self.answers[instance].is_none_or(|known| known.tag < tag);
        if !newer {
            return Vec::new();
        }
        self.answers[instance] = Some(Answer { tag, status });
        let mut changes = self.set_reachable(instance, true);
        if status.current_term > self.highest_term {
            self.highest_term = status.current_term;
            changes.push(ViewChange::Term(status.current_term));
        }
        changes.extend(self.refresh_primary());
        changes
    }

    /// Records that an instance did not answer a probe or dropped a connection.
    pub fn record_failure(&mut self, instance: InstanceIndex) -> Vec<ViewChange> {
        let mut changes = self.set_reachable(instance, false);
        changes.extend(self.refresh_primary());
        changes
    }

    /// Latest answer of an instance.
    pub fn answer(&self, instance: InstanceIndex) -> Option<Answer> {
        self.answers[instance]
    }

    /// Whether the instance answered its latest probe.
    pub fn is_reachable(&self, instance: InstanceIndex) -> bool {
        self.reachable[instance]
    }

    /// The primary that a majority follows; `None` if none is reachable.
    pub fn primary(&self) -> Option<ConfirmedPrimary> {
        self.primary
    }

    /// Highest term any instance has reported.
    pub fn highest_term(&self) -> Term {
        self.highest_term
    }

    /// Whether the instance is known to have applied `position`.
    pub fn has_reached(&self, instance: InstanceIndex, position: Position) -> bool {
        self.answers[instance].is_some_and(|answer| answer.status.position >= position)
    }

    /// Majority fence from the answers to probes sent after `after`, or `None` until
    /// a majority has answered.
    ///
    /// Uses the majority whose highest position is lowest, since each majority that
    /// answered intersects every write's majority.
    pub fn fence(&self, after: ProbeTag) -> Option<Position> {
        let mut positions: Vec<Position> = self
            .answers_after(after)
            .map(|answer| answer.status.position)
            .collect();
        positions.sort_unstable();
        positions.get(self.majority() - 1).copied()
    }

    /// Checks whether a returned commit is confirmed. Sets the commit's target
    /// position the first time its primary reports one.
    pub fn confirm(&self, commit: &mut PendingCommit, promise: CommitPromise) -> Confirmation {
        let newer_term_count = self
            .answers_after(commit.returned_at)
            .filter(|answer| answer.status.current_term > commit.term)
            .count();
        if newer_term_count >= self.majority() {
            return Confirmation::Replaced;
        }
        if commit.target.is_none() {
            match self.reported_target(commit) {
                Ok(target) => commit.target = target,
                Err(verdict) => return verdict,
            }
        }
        let Some(target) = commit.target else {
            return Confirmation::Pending;
        };
        let holders = self
            .answers_after(commit.returned_at)
            .filter(|answer| answer.status.current_term == commit.term)
            .filter(|answer| promise == CommitPromise::Majority || answer.status.position >= target)
            .count();
        if holders >= self.majority() {
            Confirmation::Confirmed(target)
        } else {
            Confirmation::Pending
        }
    }

    /// Position that the commit's primary reported after the commit returned; `None`
    /// if it has not answered since, `Err` if it is no longer primary of the term.
    fn reported_target(&self, commit: &PendingCommit) -> Result<Option<Position>, Confirmation> {
        let Some(answer) = self.answers[commit.instance] else {
            return Ok(None);
        };
        if answer.tag <= commit.returned_at {
            return Ok(None);
        }
        let still_primary =
            answer.status.role == Role::Primary && answer.status.current_term == commit.term;
        if still_primary {
            Ok(Some(answer.status.position))
        } else {
            Err(Confirmation::Replaced)
        }
    }

    fn answers_after(&self, after: ProbeTag) -> impl Iterator<Item = &Answer> {
        self.answers
            .iter()
            .flatten()
            .filter(move |answer| answer.tag > after)
    }

    fn set_reachable(&mut self, instance: InstanceIndex, reachable: bool) -> Vec<ViewChange> {
        if self.reachable[instance] == reachable {
            return Vec::new();
        }
        self.reachable[instance] = reachable;
        vec![ViewChange::Reachable(instance, reachable)]
    }

    fn refresh_primary(&mut self) -> Option<ViewChange> {
        let primary = self.find_primary();
        if primary == self.primary {
            return None;
        }
        self.primary = primary;
        Some(ViewChange::Primary(primary))
    }

    /// The reachable instance that reports itself as primary in the highest term
    /// that a majority follows.
    fn find_primary(&self) -> Option<ConfirmedPrimary> {
        let candidates = self
            .answers
            .iter()
            .enumerate()
            .filter_map(|(instance, answer)| {
                let status = answer.as_ref()?.status;
                let eligible = status.role == Role::Primary && self.reachable[instance];
                eligible.then_some(ConfirmedPrimary {
                    instance,
                    term: status.current_term,
                })
            });
        candidates
            .filter(|candidate| self.followers(candidate.term) >= self.majority())
            .max_by_key(|candidate| candidate.term)
    }

    fn followers(&self, term: Term) -> usize {
        self.answers
            .iter()
            .flatten()
            .filter(|answer| answer.status.current_term == term)
            .count()
    }
}
