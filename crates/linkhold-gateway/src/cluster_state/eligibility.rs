//! Which instances may run a statement and where primaries should be, by the
//! configured regions, evacuations and cold instances that this node knows of.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Instant;

use linkhold_core::service::configuration::{Configuration, ServiceName};
use linkhold_core::service::eligibility::{self, EligibilityFacts, Ineligible, StatementBinding};
use linkhold_core::service::evacuation::{EvacuationChange, ZoneName};
use linkhold_core::service::instance::{Instance, InstanceId};
use linkhold_core::service::primary_placement;
use linkhold_core::service::regions::{AllowedRegions, RegionName};
use linkhold_core::service::store_revision::StoreRevision;
use linkhold_events::Event;

use super::{ClusterState, KnownInstances, lock};

impl ClusterState {
    /// Takes in the regions that a configuration binds primaries to.
    pub(super) fn adopt_regions(&self, configuration: &Configuration) {
        self.log_unknown_regions(configuration);
        *lock(&self.primary_regions) = Arc::new(bound_primaries(configuration));
    }

    /// Logs each region that a route or tenant is bound to and in which no configured
    /// zone lies.
    fn log_unknown_regions(&self, configuration: &Configuration) {
        let known: HashSet<&RegionName> = self.zone_map.regions.values().collect();
        let routes = configuration.routes.iter();
        let of_routes = routes.map(|(database, route)| ("route", database, &route.regions));
        let tenants = configuration.tenancy.iter().flat_map(|it| it.tenants());
        let of_tenants = tenants.map(|tenant| ("tenant", &tenant.name, &tenant.regions));
        for (kind, name, regions) in of_routes.chain(of_tenants) {
            for region in regions.names().filter(|region| !known.contains(region)) {
                Event::warn("region_unknown")
                    .field("version", configuration.version)
                    .field(kind, name)
                    .field("region", region)
                    .log();
            }
        }
    }

    /// Replaces the set of evacuated zones by the one read at a revision of the store.
    pub fn replace_evacuations(&self, zones: Vec<ZoneName>, as_of: StoreRevision, now: Instant) {
        let bound = self.evacuation_bound;
        let changes = lock(&self.instances)
            .evacuations
            .replace(as_of, zones, bound, now);
        self.publish_evacuation_changes(&changes, as_of);
    }

    /// Applies changes of the evacuated zones up to a revision of the store.
    pub fn change_evacuations(
        &self,
        changes: Vec<EvacuationChange>,
        as_of: StoreRevision,
        now: Instant,
    ) {
        let bound = self.evacuation_bound;
        let changes = lock(&self.instances)
            .evacuations
            .apply(as_of, changes, bound, now);
        self.publish_evacuation_changes(&changes, as_of);
    }

    /// Ends evacuations that the store has lost and that were not requested again.
    pub fn expire_evacuations(&self, now: Instant) {
        let mut instances = lock(&self.instances);
        let changes = instances.evacuations.expire_lost(now);
        let as_of = instances.evacuations.as_of();
        drop(instances);
        self.publish_evacuation_changes(&changes, as_of);
    }

    fn publish_evacuation_changes(&self, changes: &[EvacuationChange], as_of: StoreRevision) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            self.log_evacuation(change, as_of);
        }
        self.notify_lists_changed();
    }

    fn log_evacuation(&self, change: &EvacuationChange, as_of: StoreRevision) {
        let (event, zone) = match change {
            EvacuationChange::Evacuated(zone) => (Event::warn("zone_evacuated"), zone),
            EvacuationChange::TakenBack(zone) => (Event::info("evacuation_taken_back"), zone),
        };
        event
            .field("zone", zone)
            .field("is_known", self.zone_map.regions.contains_key(zone))
            .field("instances", self.instances_in(zone))
            .field("as_of", as_of)
            .log();
    }

    fn instances_in(&self, zone: &str) -> usize {
        let instances = lock(&self.instances).directory.all(Instant::now());
        let in_zone = instances.iter().filter(|(it, _)| &*it.zone == zone);
        in_zone.count()
    }

    /// Instances to which nothing is sent any more because their zone is evacuated.
    pub fn closed_instances(&self) -> Vec<InstanceId> {
        let now = Instant::now();
        let instances = lock(&self.instances);
        if instances.evacuations.is_empty() {
            return Vec::new();
        }
        let all = instances.directory.all(now).into_iter();
        all.filter(|(instance, _)| instances.evacuations.is_closed(&instance.zone, now))
            .map(|(instance, _)| instance.id)
            .collect()
    }

    /// Whether an instance is listed.
    pub fn is_listed(&self, id: &InstanceId) -> bool {
        lock(&self.instances).directory.is_listed(id)
    }

    /// Whether an instance announces that it is warming up after a start.
    pub fn is_cold(&self, id: &InstanceId) -> bool {
        lock(&self.instances).directory.is_cold(id, Instant::now())
    }

    /// Whether nothing is sent to an instance any more because its zone is evacuated.
    pub fn is_closed(&self, instance: &Instance) -> bool {
        let instances = lock(&self.instances);
        instances
            .evacuations
            .is_closed(&instance.zone, Instant::now())
    }

    /// Confirms that the known evacuations were current at a moment.
    pub fn confirm_evacuations_as_of(&self, moment: Instant) {
        lock(&self.instances).evacuations.confirm_as_of(moment);
    }

    /// The evacuated zones, and the store revision up to which they are known.
    pub fn evacuations(&self) -> (Vec<ZoneName>, StoreRevision) {
        let instances = lock(&self.instances);
        let zones = instances.evacuations.zones().map(|(zone, _)| zone.clone());
        (zones.collect(), instances.evacuations.as_of())
    }

    /// Whether a statement may be sent to an instance.
    pub fn eligibility(
        &self,
        instance: &Instance,
        regions: &AllowedRegions,
        binding: StatementBinding,
    ) -> Result<(), Ineligible> {
        let instances = lock(&self.instances);
        self.eligibility_in(&instances, instance, regions, binding)
    }

    pub(super) fn eligibility_in(
        &self,
        instances: &KnownInstances,
        instance: &Instance,
        regions: &AllowedRegions,
        binding: StatementBinding,
    ) -> Result<(), Ineligible> {
        let zone = instances.evacuations.state(&instance.zone, Instant::now());
        let facts = EligibilityFacts {
            is_in_regions: !regions.is_restricted()
                || regions.permits(&self.zone_map.region(&instance.zone)),
            zone,
        };
        eligibility::check(facts, binding)
    }

    /// Why no instance of a service may run a request that is bound to these regions,
    /// until the state changes; `None` if an instance may, or if none is known.
    pub fn ineligible_reason(&self, service: &str, regions: &AllowedRegions) -> Option<Ineligible> {
        let instances = lock(&self.instances);
        if !regions.is_restricted() && instances.evacuations.is_empty() {
            return None;
        }
        let mut found = None;
        for instance in instances.directory.instances(service) {
            match self.eligibility_in(&instances, instance, regions, StatementBinding::Unbound) {
                Ok(()) => return None,
                // An evacuated instance is in the regions, so evacuation is the
                // reason to report.
                Err(Ineligible::Evacuated) => found = Some(Ineligible::Evacuated),
                Err(Ineligible::OutsideRegions) => {
                    found.get_or_insert(Ineligible::OutsideRegions);
                }
            }
        }
        found
    }

    /// The regions in which the primary of a service should be.
    pub fn primary_regions(&self, service: &str) -> AllowedRegions {
        let bound = lock(&self.primary_regions).clone();
        bound.get(service).cloned().unwrap_or_default()
    }

    /// Whether an instance is where a primary of its service should be: in an allowed
    /// region, and in a zone that is not evacuated.
    pub fn is_well_placed(&self, instance: &Instance) -> bool {
        let regions = self.primary_regions(&instance.service);
        self.eligibility(instance, &regions, StatementBinding::Unbound)
            .is_ok()
    }

    /// Whether the primary of a service is not well placed while an instance that is not
    /// leaving is.
    pub fn is_primary_misplaced(&self, service: &str) -> bool {
        let Some(primary) = self.primary(service) else {
            return false;
        };
        !self.is_well_placed(&primary) && self.has_well_placed_instance(service)
    }

    /// Whether a service has a well-placed instance that is not leaving.
    pub fn has_well_placed_instance(&self, service: &str) -> bool {
        let now = Instant::now();
        let instances = self.instances(service);
        instances
            .iter()
            .any(|instance| self.is_well_placed(instance) && !self.is_leaving(&instance.id, now))
    }
}

/// The regions for the primary of each service that is bound to regions.
fn bound_primaries(configuration: &Configuration) -> HashMap<ServiceName, AllowedRegions> {
    let services = configuration.services.keys();
    let regions = services.map(|service| {
        let regions = primary_placement::primary_regions(configuration, service);
        (service.clone(), regions)
    });
    regions
        .filter(|(_, regions)| regions.is_restricted())
        .collect()
}
