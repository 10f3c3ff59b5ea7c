//! The known primary of each service, and whether this node may acknowledge for it:
//! pass its answers on as those of the primary.

use std::sync::Arc;
use std::time::Instant;

use linkhold_core::position::Term;
use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::directory::PrimarySource;
use linkhold_core::service::instance::{Instance, InstanceId, Role};
use linkhold_core::service::withholding::WITHHOLDING_PERIOD;
use linkhold_events::Event;

use super::{ClusterState, KnownInstances, lock};

impl ClusterState {
    /// The known primary of a service.
    pub fn primary(&self, service: &str) -> Option<Arc<Instance>> {
        lock(&self.instances).directory.primary(service).cloned()
    }

    /// The known primary, unless it failed a moment ago, is being replaced, or may be
    /// replaced without this node's consent.
    pub fn usable_primary(&self, service: &str, now: Instant) -> Option<Arc<Instance>> {
        let instances = lock(&self.instances);
        let primary = instances.directory.primary(service)?;
        let avoided = instances
            .health
            .get(&primary.id)
            .is_some_and(|health| health.is_avoided(now));
        let has_left = self.is_closed_to_new_work(&instances.directory, &primary.id, now);
        let may_use = self.may_use_primary(&instances, primary, now);
        (!avoided && !has_left && may_use).then(|| primary.clone())
    }

    /// Whether an instance is known as a replica: it announces that role and is not the
    /// known primary.
    pub fn is_replica(&self, instance: &Instance) -> bool {
        let known = lock(&self.instances);
        let is_primary = known
            .directory
            .primary(&instance.service)
            .is_some_and(|primary| primary.id == instance.id);
        let announced = known.directory.instance(&instance.id);
        !is_primary && announced.is_some_and(|announced| announced.role == Role::Replica)
    }

    /// Whether another instance is the known primary of an instance's service.
    pub fn is_replaced(&self, instance: &Instance) -> bool {
        let primary = self.primary(&instance.service);
        primary.is_some_and(|primary| primary.id != instance.id)
    }

    /// Whether this node may acknowledge for an instance as a primary at a moment: the
    /// node has not agreed to its replacement, and it cannot be replaced without the
    /// node's consent.
    pub fn may_acknowledge_for(&self, instance: &Instance, moment: Instant) -> bool {
        self.may_use_primary(&lock(&self.instances), instance, moment)
    }

    /// Instances that announce that they are primary of a service; at most one of them
    /// is.
    pub fn claimants(&self, service: &str) -> Vec<InstanceId> {
        let known = lock(&self.instances);
        let claimants = known.directory.announced_primaries(service);
        claimants.map(|instance| instance.id.clone()).collect()
    }

    /// Records that an instance of a service follows a term, or answered in it as a
    /// primary.
    pub fn observe_term(&self, service: &ServiceName, term: Term) {
        let mut known = lock(&self.instances);
        let newest = known.terms.entry(service.clone()).or_insert(term);
        *newest = term.max(*newest);
    }

    /// The newest term in which a primary's log was proved to end. A primary that was
    /// just promoted may not have written in its own term yet.
    pub fn newest_proved_term(&self, service: &str) -> Option<Term> {
        lock(&self.instances).evidence.get(service)?.newest_term()
    }

    /// The newest term of a service that this node knows. The primary of an older term
    /// has been replaced.
    pub fn newest_term(&self, service: &str) -> Option<Term> {
        lock(&self.instances).terms.get(service).copied()
    }

    fn may_use_primary(&self, known: &KnownInstances, primary: &Instance, now: Instant) -> bool {
        let is_withheld = known
            .withholdings
            .is_withheld(&primary.id, now, known.directory_as_of);
        !is_withheld
            && self
                .permission
                .may_acknowledge_for(primary, now, known.directory_as_of)
    }

    /// Withholds acknowledgements for an instance for a while, since this node agreed
    /// that it may be replaced.
    pub fn withhold(&self, id: &InstanceId, question: u64) {
        let now = Instant::now();
        lock(&self.instances).withholdings.agree(id, question, now);
        Event::info("instance_withheld")
            .field("instance", id)
            .field("at_least_ms", WITHHOLDING_PERIOD.as_millis())
            .log();
        self.notify_changed();
    }

    /// Ends what was agreed to for a question: the node that asked orders nothing.
    pub fn release(&self, question: u64) {
        self.permission.release(question);
        if lock(&self.instances).withholdings.release(question) {
            self.notify_changed();
        }
    }

    /// Whether acknowledgements are withheld for any instance.
    pub fn withholds_any(&self) -> bool {
        let known = lock(&self.instances);
        known
            .withholdings
            .withholds_any(Instant::now(), known.directory_as_of)
    }

    /// Whether acknowledgements are withheld for an instance.
    pub fn is_withheld(&self, id: &InstanceId) -> bool {
        let known = lock(&self.instances);
        known
            .withholdings
            .is_withheld(id, Instant::now(), known.directory_as_of)
    }

    /// Whether an instance's announcement that it is primary is to be ignored.
    pub fn is_denied(&self, id: &InstanceId) -> bool {
        lock(&self.instances).directory.is_marked_not_primary(id)
    }

    /// Whether an instance is considered primary only because it announces that role.
    pub fn needs_verification(&self, id: &InstanceId) -> bool {
        lock(&self.instances)
            .directory
            .needs_primary_verification(id)
    }

    /// Marks the known primary as verified: nothing that the other instances know
    /// contradicts its role.
    pub fn mark_verified(&self, id: &InstanceId) {
        lock(&self.instances).directory.mark_primary_verified(id);
    }

    /// Records that an instance denied being primary.
    pub fn deny_primary(&self, id: &InstanceId) {
        let change = lock(&self.instances).directory.mark_not_primary(id);
        self.publish_primary_change(change);
    }

    /// Records that an instance proved to be primary, or was promoted.
    pub fn confirm_primary(&self, id: &InstanceId, source: PrimarySource) {
        let change = lock(&self.instances).directory.confirm_primary(id, source);
        self.publish_primary_change(change);
    }
}
