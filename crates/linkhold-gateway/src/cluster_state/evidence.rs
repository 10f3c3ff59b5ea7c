//! Evidence of the logs of primaries, and the terms and positions that follow from it.

use std::collections::BTreeMap;
use std::time::Instant;

use linkhold_core::position::{Position, Term};
use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::evidence::Sample;
use linkhold_events::Event;

use super::{ClusterState, lock};

impl ClusterState {
    /// Records evidence of a primary's log.
    pub fn record_evidence(&self, service: &ServiceName, sample: Sample) {
        self.observe_term(service, sample.position.term);
        let mut instances = lock(&self.instances);
        let evidence = instances.evidence.entry(service.clone()).or_default();
        let previous = evidence.newest_term();
        evidence.record(sample);
        drop(instances);
        let was_unconfirmed = lock(&self.unconfirmed_promotions).remove(service);
        let is_newer_term = previous.is_some_and(|previous| previous < sample.position.term);
        if is_newer_term || was_unconfirmed {
            self.add_term_to_store(service, sample.position.term);
        }
        if is_newer_term {
            Event::info("term_changed")
                .field("service", service)
                .field("position", sample.position)
                .log();
        }
        self.notify_changed();
    }

    /// Records that the store does not hold whether a claimed successor was promoted:
    /// the term of the next evidence is to be stored.
    pub fn mark_promotion_unconfirmed(&self, service: &ServiceName) {
        lock(&self.unconfirmed_promotions).insert(service.clone());
    }

    /// Takes in a term that the store holds, in which a primary's log was proved to
    /// end.
    pub fn observe_proved_term(&self, service: &ServiceName, term: Term) {
        self.observe_term(service, term);
        let mut instances = lock(&self.instances);
        let evidence = instances.evidence.entry(service.clone()).or_default();
        evidence.record_proved_term(term);
    }

    /// Takes in a term in which another node knows that a primary's log ends. The store
    /// may not hold it yet.
    pub fn observe_reported_term(&self, service: &ServiceName, term: Term) {
        if Some(term) <= self.newest_proved_term(service) {
            return;
        }
        self.observe_proved_term(service, term);
        self.add_term_to_store(service, term);
        Event::info("term_reported")
            .field("service", service)
            .field("term", term)
            .log();
        self.notify_changed();
    }

    fn add_term_to_store(&self, service: &ServiceName, term: Term) {
        lock(&self.terms_to_store).insert(service.clone(), term);
        self.term_to_store_added.notify_one();
    }

    /// Waits until a term is added to those that the store is to keep.
    pub async fn wait_for_term_to_store(&self) {
        self.term_to_store_added.notified().await;
    }

    /// Takes the terms that the store is to keep.
    pub fn take_terms_to_store(&self) -> BTreeMap<ServiceName, Term> {
        std::mem::take(&mut lock(&self.terms_to_store))
    }

    /// The lowest position that covers everything acknowledged before `moment`.
    pub fn fence(&self, service: &str, moment: Instant) -> Option<Position> {
        lock(&self.instances).evidence.get(service)?.fence(moment)
    }

    /// The highest position that a service's log is proved to hold.
    pub fn newest_position(&self, service: &str) -> Option<Position> {
        let instances = lock(&self.instances);
        let newest = instances.evidence.get(service)?.newest()?;
        Some(newest.position)
    }

    /// Records that a commit at a position of a service's log, or before it, is about to
    /// be acknowledged if this node still may.
    pub fn record_acknowledged(&self, service: &ServiceName, position: Position) {
        let mut instances = lock(&self.instances);
        let newest = instances.acknowledged.entry(service.clone()).or_default();
        *newest = position.max(*newest);
    }

    /// The newest position that this node may have acknowledged or has evidence of.
    pub fn newest_acknowledged(&self, service: &str) -> Option<Position> {
        let acknowledged = lock(&self.instances).acknowledged.get(service).copied();
        acknowledged.max(self.newest_position(service))
    }

    /// When the request was sent that yielded the latest evidence.
    pub fn latest_evidence(&self, service: &str) -> Option<Instant> {
        lock(&self.instances)
            .evidence
            .get(service)?
            .latest_sent_at()
    }

    /// The latest evidence of a service's log.
    pub fn latest_sample(&self, service: &str) -> Option<Sample> {
        lock(&self.instances).evidence.get(service)?.latest()
    }
}
