//! Who is believed to be primary, for what reason, and who is not any more.

use std::sync::Arc;
use std::time::Instant;

use super::Directory;
use crate::service::configuration::ServiceName;
use crate::service::instance::{Instance, InstanceId, Role};

/// Where a belief about a primary comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrimarySource {
    /// The instance announces it.
    Announced,
    /// This node's order to promote it was confirmed.
    Promoted,
    /// It said so when asked.
    Asked,
}

/// A belief that changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrimaryChange {
    /// The service.
    pub service: ServiceName,
    /// Its primary, if any is believed.
    pub primary: Option<InstanceId>,
    /// Why.
    pub source: PrimarySource,
}

#[derive(Debug, Default)]
pub(super) struct KnownPrimary {
    pub current: Option<InstanceId>,
    /// That it leads was seen to begin, or was told when it was asked: an entry that says so
    /// when it is first seen may be that of an instance which was replaced before.
    pub is_proved: bool,
    /// Instances that are not believed for their announcements, the latest last.
    pub denied: Vec<InstanceId>,
}

/// Denied instances that are remembered for a service, at the most: more than follow
/// each other as primaries while one of them may come back.
const MOST_DENIED: usize = 32;

impl KnownPrimary {
    pub fn deny(&mut self, id: &InstanceId) {
        self.denied.retain(|denied| denied != id);
        self.denied.push(id.clone());
        if self.denied.len() > MOST_DENIED {
            self.denied.remove(0);
        }
    }
}

impl Directory {
    /// Services whose primary leaves, or is not known.
    pub fn services_without_lasting_primary(&self, now: Instant) -> Vec<ServiceName> {
        let has_none = |service: &&ServiceName| {
            self.primary_id(service)
                .is_none_or(|primary| self.is_leaving(primary, now))
        };
        self.by_service.keys().filter(has_none).cloned().collect()
    }

    /// The believed primary of a service.
    pub fn primary(&self, service: &str) -> Option<&Arc<Instance>> {
        self.instance(self.primary_id(service)?)
    }

    pub(super) fn primary_id(&self, service: &str) -> Option<&InstanceId> {
        self.primaries.get(service)?.current.as_ref()
    }

    /// An instance denied being primary.
    pub fn mark_not_primary(&mut self, id: &InstanceId) -> Option<PrimaryChange> {
        let service = self.instance(id)?.service.clone();
        let belief = self.primaries.entry(service.clone()).or_default();
        belief.deny(id);
        if belief.current.as_ref() != Some(id) {
            return None;
        }
        let other = self.sole_announced_primary(&service);
        self.set_primary(&service, other, PrimarySource::Announced)
    }

    /// An instance proved to be primary, or was promoted.
    pub fn confirm_primary(
        &mut self,
        id: &InstanceId,
        source: PrimarySource,
    ) -> Option<PrimaryChange> {
        let service = self.instance(id)?.service.clone();
        let change = self.set_primary(&service, Some(id.clone()), source);
        self.mark_primary_verified(id);
        change
    }

    /// Whether an instance is not believed to lead whatever it announces.
    pub fn is_marked_not_primary(&self, id: &InstanceId) -> bool {
        let service = self.instance(id).map(|instance| &instance.service);
        let belief = service.and_then(|service| self.primaries.get(service));
        belief.is_some_and(|belief| belief.denied.contains(id))
    }

    /// Whether an instance is believed to lead for its announcement alone, which does not
    /// tell a term.
    pub fn needs_primary_verification(&self, id: &InstanceId) -> bool {
        let Some(instance) = self.instance(id) else {
            return false;
        };
        let belief = self.primaries.get(&instance.service);
        belief.is_some_and(|belief| belief.current.as_ref() == Some(id) && !belief.is_proved)
    }

    /// Nothing that the other instances know speaks against an instance that is believed to
    /// lead.
    pub fn mark_primary_verified(&mut self, id: &InstanceId) {
        let Some(service) = self.instance(id).map(|instance| instance.service.clone()) else {
            return;
        };
        if let Some(belief) = self.primaries.get_mut(&service)
            && belief.current.as_ref() == Some(id)
        {
            belief.is_proved = true;
        }
    }

    /// Nobody was ever replaced before: who is believed to lead does.
    pub fn mark_all_primaries_verified(&mut self) {
        for belief in self.primaries.values_mut() {
            belief.is_proved = belief.current.is_some();
        }
    }

    /// Instances that announce being primary and were not denied it.
    pub fn announced_primaries(&self, service: &str) -> impl Iterator<Item = &Arc<Instance>> {
        let denied = self
            .primaries
            .get(service)
            .map_or(&[][..], |belief| &belief.denied);
        self.instances(service).filter(move |instance| {
            instance.role == Role::Primary && !denied.contains(&instance.id)
        })
    }

    /// The instance that announces being primary, if it is the only one.
    pub(super) fn sole_announced_primary(&self, service: &str) -> Option<InstanceId> {
        let mut claimants = self.announced_primaries(service);
        let first = claimants.next()?;
        claimants.next().is_none().then(|| first.id.clone())
    }

    pub(super) fn set_primary(
        &mut self,
        service: &ServiceName,
        primary: Option<InstanceId>,
        source: PrimarySource,
    ) -> Option<PrimaryChange> {
        let belief = self.primaries.entry(service.clone()).or_default();
        if let Some(primary) = &primary {
            belief.denied.retain(|denied| denied != primary);
        }
        if belief.current == primary {
            return None;
        }
        if primary.is_some()
            && let Some(replaced) = belief.current.take()
        {
            belief.deny(&replaced);
        }
        belief.current.clone_from(&primary);
        belief.is_proved = source != PrimarySource::Announced;
        Some(PrimaryChange {
            service: service.clone(),
            primary,
            source,
        })
    }
}
