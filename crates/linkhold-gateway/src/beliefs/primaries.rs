//! Who is believed to lead a service, and whether this node may speak for it: tell what
//! it answers as the primary's word.

use std::sync::Arc;
use std::time::Instant;

use linkhold_core::position::Term;
use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::directory::PrimarySource;
use linkhold_core::service::instance::{Instance, InstanceId, Role};
use linkhold_core::service::withholding::WITHHOLDING;
use linkhold_events::Event;

use super::{Beliefs, InstanceBeliefs, lock};

impl Beliefs {
    /// The believed primary.
    pub fn primary(&self, service: &str) -> Option<Arc<Instance>> {
        lock(&self.instances).directory.primary(service).cloned()
    }

    /// The believed primary, unless it failed a moment ago, is being replaced, or may
    /// be without this node's consent.
    pub fn usable_primary(&self, service: &str, now: Instant) -> Option<Arc<Instance>> {
        let instances = lock(&self.instances);
        let primary = instances.directory.primary(service)?;
        let avoided = instances
            .health
            .get(&primary.id)
            .is_some_and(|health| health.is_avoided(now));
        let left = self.has_left(&instances.directory, &primary.id, now);
        let may_use = self.may_use_primary(&instances, primary, now);
        (!avoided && !left && may_use).then(|| primary.clone())
    }

    /// Whether an instance is known as a replica: it announces so, and is not believed
    /// to lead.
    pub fn is_replica(&self, instance: &Instance) -> bool {
        let known = lock(&self.instances);
        let leads = known
            .directory
            .primary(&instance.service)
            .is_some_and(|primary| primary.id == instance.id);
        let announced = known.directory.instance(&instance.id);
        !leads && announced.is_some_and(|announced| announced.role == Role::Replica)
    }

    /// Whether another instance is believed to lead an instance's service.
    pub fn is_replaced(&self, instance: &Instance) -> bool {
        let primary = self.primary(&instance.service);
        primary.is_some_and(|primary| primary.id != instance.id)
    }

    /// Whether this node may speak at a moment for an instance as a primary: it has not
    /// agreed that it is replaced, and nobody replaces it without its consent.
    pub fn may_speak_for(&self, instance: &Instance, moment: Instant) -> bool {
        self.may_use_primary(&lock(&self.instances), instance, moment)
    }

    /// Instances that announce being primary of a service, of which at most one is.
    pub fn claimants(&self, service: &str) -> Vec<InstanceId> {
        let known = lock(&self.instances);
        let claimants = known.directory.claimants(service);
        claimants.map(|instance| instance.id.clone()).collect()
    }

    /// An instance of a service follows a term, or answered in it as a primary.
    pub fn term_seen(&self, service: &ServiceName, term: Term) {
        let mut known = lock(&self.instances);
        let newest = known.terms.entry(service.clone()).or_insert(term);
        *newest = term.max(*newest);
    }

    /// The newest term in which a primary's log was proved to end. One that was just
    /// promoted may not have written in its own term yet.
    pub fn newest_proved_term(&self, service: &str) -> Option<Term> {
        lock(&self.instances).evidence.get(service)?.newest_term()
    }

    /// The newest term of a service of which this node knows. An instance that leads an
    /// older one has been replaced.
    pub fn newest_term(&self, service: &str) -> Option<Term> {
        lock(&self.instances).terms.get(service).copied()
    }

    fn may_use_primary(&self, known: &InstanceBeliefs, primary: &Instance, now: Instant) -> bool {
        let is_withheld = known
            .withholdings
            .holds(&primary.id, now, known.directory_as_of);
        !is_withheld
            && self
                .permission
                .may_acknowledge_for(primary, now, known.directory_as_of)
    }

    /// This node agrees to acknowledge nothing of an instance for a while, since
    /// it may be replaced.
    pub fn withhold(&self, id: &InstanceId, question: u64) {
        let now = Instant::now();
        lock(&self.instances).withholdings.agree(id, question, now);
        Event::info("instance_withheld")
            .field("instance", id)
            .field("at_least_ms", WITHHOLDING.as_millis())
            .log();
        self.announce_change();
    }

    /// Whoever asked this node to agree orders nothing.
    pub fn release(&self, question: u64) {
        self.permission.release(question);
        if lock(&self.instances).withholdings.release(question) {
            self.announce_change();
        }
    }

    /// Whether nothing of some instance may be acknowledged.
    pub fn withholds_any(&self) -> bool {
        let known = lock(&self.instances);
        known
            .withholdings
            .holds_any(Instant::now(), known.directory_as_of)
    }

    /// Whether nothing of an instance may be acknowledged.
    pub fn is_withheld(&self, id: &InstanceId) -> bool {
        let known = lock(&self.instances);
        known
            .withholdings
            .holds(id, Instant::now(), known.directory_as_of)
    }

    /// Whether an instance is not believed to lead whatever it announces.
    pub fn is_denied(&self, id: &InstanceId) -> bool {
        lock(&self.instances).directory.is_denied(id)
    }

    /// Whether an instance is believed to lead for its announcement alone.
    pub fn needs_lead_proof(&self, id: &InstanceId) -> bool {
        lock(&self.instances).directory.needs_lead_proof(id)
    }

    /// Nothing that the other instances know speaks against an instance that is believed to
    /// lead.
    pub fn prove_lead(&self, id: &InstanceId) {
        lock(&self.instances).directory.prove_lead(id);
    }

    /// An instance denied being primary.
    pub fn deny_primary(&self, id: &InstanceId) {
        let change = lock(&self.instances).directory.deny_primary(id);
        self.after(change);
    }

    /// An instance proved to be primary, or was promoted.
    pub fn confirm_primary(&self, id: &InstanceId, source: PrimarySource) {
        let change = lock(&self.instances).directory.confirm_primary(id, source);
        self.after(change);
    }
}
