//! The known primary of each service, how it became known, and which instances are
//! known not to be primary.

use std::sync::Arc;
use std::time::Instant;

use super::Directory;
use crate::service::configuration::ServiceName;
use crate::service::instance::{Instance, InstanceId, Role};

/// How a primary became known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrimarySource {
    /// The instance announces the role.
    Announced,
    /// This node's order to promote it was confirmed.
    Promoted,
    /// It reported the role when asked.
    Asked,
}

/// A change of a known primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrimaryChange {
    /// The service.
    pub service: ServiceName,
    /// Its primary, if one is known.
    pub primary: Option<InstanceId>,
    /// How it became known.
    pub source: PrimarySource,
}

#[derive(Debug, Default)]
pub(super) struct KnownPrimary {
    pub current: Option<InstanceId>,
    /// The promotion was observed, or the instance reported the role when asked. An
    /// entry that states the role when it is first seen may be that of an instance
    /// which was replaced before.
    pub is_verified: bool,
    /// Instances whose announcements of the role are ignored, the latest last.
    pub not_primary: Vec<InstanceId>,
}

/// Maximum number of instances marked as not primary per service: more than succeed
/// each other as primaries while one of them may still return.
const MAX_NOT_PRIMARY: usize = 32;

impl KnownPrimary {
    pub fn mark_not_primary(&mut self, id: &InstanceId) {
        self.not_primary.retain(|marked| marked != id);
        self.not_primary.push(id.clone());
        if self.not_primary.len() > MAX_NOT_PRIMARY {
            self.not_primary.remove(0);
        }
    }
}

impl Directory {
    /// Services whose primary is leaving or unknown.
    pub fn services_without_lasting_primary(&self, now: Instant) -> Vec<ServiceName> {
        let has_none = |service: &&ServiceName| {
            self.primary_id(service)
                .is_none_or(|primary| self.is_leaving(primary, now))
        };
        self.by_service.keys().filter(has_none).cloned().collect()
    }

    /// The known primary of a service.
    pub fn primary(&self, service: &str) -> Option<&Arc<Instance>> {
        self.instance(self.primary_id(service)?)
    }

    pub(super) fn primary_id(&self, service: &str) -> Option<&InstanceId> {
        self.primaries.get(service)?.current.as_ref()
    }

    /// Marks an instance that denied being primary; returns the change of the known
    /// primary, if any.
    pub fn mark_not_primary(&mut self, id: &InstanceId) -> Option<PrimaryChange> {
        let service = self.instance(id)?.service.clone();
        let known = self.primaries.entry(service.clone()).or_default();
        known.mark_not_primary(id);
        if known.current.as_ref() != Some(id) {
            return None;
        }
        let other = self.sole_announced_primary(&service);
        self.set_primary(&service, other, PrimarySource::Announced)
    }

    /// Sets as primary an instance that proved to be primary or was promoted; returns
    /// the change, if any.
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

    /// Whether an instance's announcements of the primary role are ignored.
    pub fn is_marked_not_primary(&self, id: &InstanceId) -> bool {
        let service = self.instance(id).map(|instance| &instance.service);
        let known = service.and_then(|service| self.primaries.get(service));
        known.is_some_and(|known| known.not_primary.contains(id))
    }

    /// Whether an instance is considered primary for its announcement alone, which
    /// states no term.
    pub fn needs_primary_verification(&self, id: &InstanceId) -> bool {
        let Some(instance) = self.instance(id) else {
            return false;
        };
        let known = self.primaries.get(&instance.service);
        known.is_some_and(|known| known.current.as_ref() == Some(id) && !known.is_verified)
    }

    /// Marks an instance that is considered primary as verified: nothing that the other
    /// instances report contradicts it.
    pub fn mark_primary_verified(&mut self, id: &InstanceId) {
        let Some(service) = self.instance(id).map(|instance| instance.service.clone()) else {
            return;
        };
        if let Some(known) = self.primaries.get_mut(&service)
            && known.current.as_ref() == Some(id)
        {
            known.is_verified = true;
        }
    }

    /// Marks all known primaries as verified, because no primary was ever replaced.
    pub fn mark_all_primaries_verified(&mut self) {
        for known in self.primaries.values_mut() {
            known.is_verified = known.current.is_some();
        }
    }

    /// Instances that announce the primary role and are not marked as not primary.
    pub fn announced_primaries(&self, service: &str) -> impl Iterator<Item = &Arc<Instance>> {
        let not_primary = self
            .primaries
            .get(service)
            .map_or(&[][..], |known| &known.not_primary);
        self.instances(service).filter(move |instance| {
            instance.role == Role::Primary && !not_primary.contains(&instance.id)
        })
    }

    /// The instance that announces the primary role, if there is only one.
    pub(super) fn sole_announced_primary(&self, service: &str) -> Option<InstanceId> {
        let mut announced = self.announced_primaries(service);
        let first = announced.next()?;
        announced.next().is_none().then(|| first.id.clone())
    }

    pub(super) fn set_primary(
        &mut self,
        service: &ServiceName,
        primary: Option<InstanceId>,
        source: PrimarySource,
    ) -> Option<PrimaryChange> {
        let known = self.primaries.entry(service.clone()).or_default();
        if let Some(primary) = &primary {
            known.not_primary.retain(|marked| marked != primary);
        }
        if known.current == primary {
            return None;
        }
        if primary.is_some()
            && let Some(replaced) = known.current.take()
        {
            known.mark_not_primary(&replaced);
        }
        known.current.clone_from(&primary);
        known.is_verified = source != PrimarySource::Announced;
        Some(PrimaryChange {
            service: service.clone(),
            primary,
            source,
        })
    }
}
