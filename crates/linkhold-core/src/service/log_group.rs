//! The logs that may hold acknowledged commits of a service with synchronous replicas.
//!
//! The metadata store keeps this record, since any number of nodes may end at once and
//! nodes keep nothing. A [`LogMember`] is one log: an instance may be replaced by
//! another one that continues its log, and may lose its log without being replaced.
//!
//! # Invariants
//!
//! * No node acknowledges a commit before the stored record contains every instance
//!   that the node knows and promises no more synchronous replicas than are guaranteed
//!   ([`LogGroup::covers`]). A record that is read after all nodes have agreed to
//!   acknowledge nothing more therefore contains every log that their commits count on.
//! * A new instance at the address of a member continues the member's log. An instance
//!   that starts again under its own name has lost it: its position says nothing about
//!   the commits before that, until it has reached one that was proved since.
//! * A member is removed only when it receives nothing more and enough other members
//!   have reached a position that was proved since ([`LogProof`]). That its entry has
//!   lapsed is not enough: it may still receive commits.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::instance::{Instance, InstanceId, Lifecycle};

/// How long an instance that did not announce its end must be unlisted before it counts
/// as gone for good: longer than an instance is usually cut off or down.
pub const LOST_MEMBER_RETENTION: Duration = Duration::from_secs(300);

/// Maximum number of earlier instances kept per member: more than are listed at once at
/// one address.
const MAX_FORMER: usize = 8;

/// Whether the log of a member is still the one that received its commits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogState {
    /// It holds everything that the member has received.
    Intact,
    /// Its instance started again without it, and is not known to have caught up.
    Lost,
}

/// One log of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogMember {
    /// The instance that holds the log.
    pub id: InstanceId,
    /// Earlier instances of the member, the latest last. Their entries may still be
    /// listed.
    pub former: Vec<InstanceId>,
    /// Where a new instance continues the log; `None` once the address belongs to
    /// another service.
    pub address: Option<SocketAddr>,
    /// Whether its log is still the one that received its commits.
    pub state: LogState,
    /// The instance has announced that it is leaving.
    pub is_leaving: bool,
}

impl LogMember {
    fn new(instance: &Instance) -> Self {
        Self {
            id: instance.id.clone(),
            former: Vec::new(),
            address: Some(instance.address),
            state: LogState::Intact,
            is_leaving: is_leaving(instance),
        }
    }

    /// Whether an instance is the present one or an earlier one of the member.
    pub fn includes(&self, id: &InstanceId) -> bool {
        self.id == *id || self.former.contains(id)
    }

    fn includes_name(&self, name: &str) -> bool {
        let mut ids = self.former.iter().chain([&self.id]);
        ids.any(|id| id.name() == name)
    }

    /// Makes another instance the present one.
    fn begin(&mut self, instance: &Instance, state: LogState) {
        let former = std::mem::replace(&mut self.id, instance.id.clone());
        self.former.push(former);
        if self.former.len() > MAX_FORMER {
            self.former.remove(0);
        }
        self.address = Some(instance.address);
        self.state = state;
        self.is_leaving = is_leaving(instance);
    }
}

fn is_leaving(instance: &Instance) -> bool {
    instance.lifecycle == Lifecycle::Draining
}

/// What was proved about the members of a group since a moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogProof {
    /// Instances that have reached a position which covers everything that was
    /// acknowledged before that moment.
    pub reached: Vec<InstanceId>,
    /// Instances that have received nothing since that moment, and never will.
    pub ended: Vec<InstanceId>,
    /// Replicas that received each commit that was acknowledged since that moment.
    pub synchronous: usize,
}

/// The logs of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogGroup {
    /// The logs that may hold acknowledged commits.
    pub members: Vec<LogMember>,
    /// Number of members besides the primary that have received any acknowledged
    /// commit; 0 if that is not known.
    pub synchronous: usize,
}

impl LogGroup {
    /// The member to which an instance belongs.
    pub fn member_of(&self, id: &InstanceId) -> Option<&LogMember> {
        self.members.iter().find(|member| member.includes(id))
    }

    /// Whether commits may be acknowledged under this record: it contains these
    /// instances and promises no more than `guaranteed` synchronous replicas.
    pub fn covers<'a>(
        &self,
        instances: impl IntoIterator<Item = &'a InstanceId>,
        guaranteed: usize,
    ) -> bool {
        let mut instances = instances.into_iter();
        self.synchronous <= guaranteed && instances.all(|id| self.member_of(id).is_some())
    }

    /// Adds what is known of an instance of the service.
    pub fn admit(&mut self, instance: &Instance) {
        let members = &mut self.members;
        if let Some(member) = members.iter_mut().find(|it| it.includes(&instance.id)) {
            if member.id == instance.id {
                member.is_leaving = is_leaving(instance);
            }
        } else if let Some(member) = members
            .iter_mut()
            .find(|it| it.includes_name(instance.id.name()))
        {
            member.begin(instance, LogState::Lost);
        } else if let Some(member) = members
            .iter_mut()
            .find(|it| it.address == Some(instance.address))
        {
            member.begin(instance, member.state);
        } else {
            members.push(LogMember::new(instance));
        }
    }

    /// Takes in that instances of other services listen at these addresses: no new
    /// instance there continues the log of a member that is not listed any more.
    pub fn release_addresses(
        &mut self,
        foreign: &HashSet<SocketAddr>,
        is_listed: impl Fn(&InstanceId) -> bool,
    ) {
        for member in &mut self.members {
            let is_foreign = member.address.is_some_and(|it| foreign.contains(&it));
            if is_foreign && !is_listed(&member.id) {
                member.address = None;
            }
        }
    }

    /// Takes in that commits may have been acknowledged with this number of synchronous
    /// replicas.
    pub fn limit_synchronous(&mut self, replicas: usize) {
        self.synchronous = self.synchronous.min(replicas);
    }

    /// Adds the members of another record of the same group that this one lacks, as the
    /// store may lack them after it was restored from an older copy.
    pub fn merge(&mut self, other: &Self) {
        for theirs in &other.members {
            let is_known = |own: &&mut LogMember| {
                own.includes_name(theirs.id.name())
                    || own.address.is_some() && own.address == theirs.address
            };
            match self.members.iter_mut().find(is_known) {
                // What is known of the later instance counts.
                Some(own) if own.includes(&theirs.id) => {}
                Some(own) => {
                    let mut merged = theirs.clone();
                    if !theirs.includes(&own.id) {
                        merged.former.push(own.id.clone());
                        merged.state = LogState::Lost;
                    }
                    *own = merged;
                }
                None => self.members.push(theirs.clone()),
            }
        }
        self.limit_synchronous(other.synchronous);
    }

    /// Changes the record by what was proved.
    pub fn apply(&mut self, proof: &LogProof) {
        for member in &mut self.members {
            if proof.reached.contains(&member.id) {
                member.state = LogState::Intact;
            }
        }
        self.remove_ended(proof);
        if self.count_reached(proof) > proof.synchronous {
            self.synchronous = self.synchronous.max(proof.synchronous);
        }
    }

    /// Removes members that have ended, if the others hold every commit as often as is
    /// promised, or all of them do. In the latter case the promise becomes smaller.
    fn remove_ended(&mut self, proof: &LogProof) {
        for id in &proof.ended {
            let mut others = self.clone();
            others.members.retain(|member| member.id != *id);
            let reached = others.count_reached(proof);
            let needed = (proof.synchronous + 1).min(others.members.len());
            if reached >= needed.max(1) {
                others.limit_synchronous(reached - 1);
                *self = others;
            }
        }
    }

    fn count_reached(&self, proof: &LogProof) -> usize {
        let members = self.members.iter();
        let reached = members.filter(|member| proof.reached.contains(&member.id));
        reached.count()
    }
}
