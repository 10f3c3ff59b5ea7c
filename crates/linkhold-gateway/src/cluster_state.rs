//! State of the cluster as this node knows it: configuration, instances, evidence of
//! their logs.
//!
//! All sessions of the node share it. Locks are held for a few steps and never across
//! an await.

mod eligibility;
mod evidence;
mod primaries;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use linkhold_core::position::{Position, Term};
use linkhold_core::service::configuration::{Configuration, ServiceLimits, ServiceName};
use linkhold_core::service::directory::{Directory, PrimaryChange, Recency};
use linkhold_core::service::eligibility::StatementBinding;
use linkhold_core::service::evacuation::Evacuations;
use linkhold_core::service::evidence::EvidenceLog;
use linkhold_core::service::health::InstanceHealth;
use linkhold_core::service::instance::{Instance, InstanceId};
use linkhold_core::service::placement::{self, Candidate, Distance};
use linkhold_core::service::regions::AllowedRegions;
use linkhold_core::service::store_revision::StoreRevision;
use linkhold_core::service::synchronous_replicas::SynchronousReplicas;
use linkhold_core::service::withholding::Withholdings;
use linkhold_events::Event;
use tokio::sync::{Notify, watch};

use crate::permission::OwnPermission;
use crate::settings::GatewaySettings;
use crate::zone_map::ZoneMap;

/// Part of the drain time in which a leaving instance may get new work, in
/// percent.
const NEW_WORK_PERCENT: u32 = 60;

/// Time after its first start in which a fleet cannot have replaced a primary:
/// instances and nodes start together, and a replacement needs the list of nodes, which
/// takes seconds to become complete.
const FIRST_START_TIME: Duration = Duration::from_secs(15);

/// Instances, their health, and evidence of their logs.
#[derive(Debug, Default)]
struct KnownInstances {
    directory: Directory,
    health: HashMap<InstanceId, InstanceHealth>,
    evidence: HashMap<ServiceName, EvidenceLog>,
    /// The newest position of each service that this node may have acknowledged.
    acknowledged: HashMap<ServiceName, Position>,
    /// The newest term of each service that any message or answer named.
    terms: HashMap<ServiceName, Term>,
    withholdings: Withholdings,
    /// The latest moment as of which the list of instances is known to be complete.
    directory_as_of: Option<Instant>,
    evacuations: Evacuations,
    /// Number of entries whose absence counted at the last check.
    absent: usize,
}

/// State of the cluster as this node knows it.
#[derive(Debug)]
pub struct ClusterState {
    zone_map: ZoneMap,
    drain: Duration,
    /// Time after which nothing may be sent to an evacuated zone any more.
    evacuation_bound: Duration,
    /// When the whole fleet was started for the first time; `None` if it runs already.
    first_started_at: Option<Instant>,
    configuration: Mutex<Option<Arc<Configuration>>>,
    /// Settings of synchronous replicas that are or were in force.
    synchronous_replicas: Mutex<HashMap<ServiceName, SynchronousReplicas>>,
    /// Regions in which the primary of each region-bound service should be.
    primary_regions: Mutex<Arc<HashMap<ServiceName, AllowedRegions>>>,
    directory_read_at: Mutex<Option<Instant>>,
    instances: Mutex<KnownInstances>,
    directory_revision: Mutex<StoreRevision>,
    /// Terms that the store is to keep: for each service, the newest one in which its
    /// log was proved to end after an older term.
    terms_to_store: Mutex<BTreeMap<ServiceName, Term>>,
    /// Notified when a term is added to `terms_to_store`.
    term_to_store_added: Notify,
    /// Services for which the store does not record whether a claimed successor was
    /// promoted.
    unconfirmed_promotions: Mutex<HashSet<ServiceName>>,
    changes: watch::Sender<u64>,
    /// Counts the changes of the configuration and of the list of instances only.
    list_changes: watch::Sender<u64>,
    /// Whether this node may acknowledge writes and serve strict reads.
    pub(crate) permission: OwnPermission,
}

impl ClusterState {
    /// Creates a state in which nothing is known.
    pub fn new(settings: &GatewaySettings) -> Self {
        Self {
            zone_map: settings.zone_map.clone(),
            drain: settings.drain,
            evacuation_bound: settings.evacuation_bound,
            first_started_at: settings.is_first_start.then(Instant::now),
            configuration: Mutex::default(),
            synchronous_replicas: Mutex::default(),
            primary_regions: Mutex::default(),
            directory_read_at: Mutex::default(),
            instances: Mutex::default(),
            directory_revision: Mutex::default(),
            terms_to_store: Mutex::default(),
            term_to_store_added: Notify::new(),
            unconfirmed_promotions: Mutex::default(),
            changes: watch::channel(0).0,
            list_changes: watch::channel(0).0,
            permission: OwnPermission::default(),
        }
    }

    /// Receives changes of the configuration, instances, primaries and evidence.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Receives changes of the configuration and of the list of instances.
    pub fn subscribe_to_lists(&self) -> watch::Receiver<u64> {
        self.list_changes.subscribe()
    }

    /// Number of changes of the configuration and of the list of instances so far.
    pub fn list_change_count(&self) -> u64 {
        *self.list_changes.borrow()
    }

    /// Returns all instances, and whether each is listed.
    pub fn all_instances(&self) -> Vec<(Instance, bool)> {
        lock(&self.instances).directory.all(Instant::now())
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        lock(&self.configuration).clone()
    }

    /// Puts a configuration in force unless it is older than the current one.
    pub fn adopt_configuration(&self, configuration: Configuration) {
        let mut current = lock(&self.configuration);
        if !configuration.supersedes(current.as_deref()) {
            return;
        }
        Event::info("configuration_in_force")
            .field("version", configuration.version)
            .field("previous", current.as_ref().map_or(0, |old| old.version))
            .field("routes", configuration.routes.len())
            .field("services", configuration.services.len())
            .log();
        self.adopt_regions(&configuration);
        self.adopt_synchronous_replicas(&configuration);
        *current = Some(Arc::new(configuration));
        drop(current);
        self.notify_lists_changed();
    }

    fn adopt_synchronous_replicas(&self, configuration: &Configuration) {
        let now = Instant::now();
        let mut known = lock(&self.synchronous_replicas);
        known.retain(|service, _| configuration.services.contains_key(service));
        for (service, limits) in &configuration.services {
            let settings = known.entry(service.clone()).or_default();
            settings.record(limits.synchronous_replicas, now);
        }
    }

    /// The settings of a service's synchronous replicas.
    pub fn synchronous_replicas(&self, service: &str) -> SynchronousReplicas {
        let known = lock(&self.synchronous_replicas);
        known.get(service).cloned().unwrap_or_default()
    }

    /// Replicas that have received each commit of a service which is acknowledged now,
    /// whatever setting it was made under.
    pub fn guaranteed_replicas(&self, service: &str) -> usize {
        self.synchronous_replicas(service)
            .guaranteed(Instant::now())
    }

    /// Whether no acknowledged commit of a service may be lost.
    pub fn forbids_loss(&self, service: &str) -> bool {
        let known = lock(&self.synchronous_replicas);
        known
            .get(service)
            .is_some_and(SynchronousReplicas::forbids_loss)
    }

    /// Services of which no acknowledged commit may be lost.
    pub fn services_that_forbid_loss(&self) -> Vec<ServiceName> {
        let known = lock(&self.synchronous_replicas);
        let services = known.iter().filter(|(_, settings)| settings.forbids_loss());
        services.map(|(service, _)| service.clone()).collect()
    }

    /// Limits of a service; `None` if it is not configured.
    pub fn limits(&self, service: &str) -> Option<ServiceLimits> {
        self.configuration()?.services.get(service).copied()
    }

    /// Whether the node knows enough to serve.
    pub fn can_serve(&self) -> bool {
        self.configuration().is_some() && !lock(&self.instances).directory.is_empty()
    }

    /// Replaces the list of instances by the one read at a revision of the store. Does
    /// nothing if a newer revision is known: the known state never goes back.
    pub fn replace_instances(&self, listed: Vec<Instance>, revision: StoreRevision, now: Instant) {
        let known = self.directory_revision();
        if !self.advance_directory(revision) {
            return;
        }
        for instance in &listed {
            self.log_instance(instance);
        }
        let is_copy = known != StoreRevision::default() && revision.era() > known.era();
        let recency = if is_copy {
            Recency::MayBeOlder
        } else {
            Recency::Current
        };
        let mut instances = lock(&self.instances);
        if is_copy {
            instances.directory.record_read_failure();
        }
        let changes = instances.directory.replace(listed, recency, now);
        if self.is_first_fleet_start(now) {
            instances.directory.mark_all_primaries_verified();
        }
        drop(instances);
        for change in changes {
            log_primary(&change);
        }
        self.notify_lists_changed();
    }

    /// Whether the whole fleet has just been started for the first time: no instance
    /// that announces that it is primary can have been replaced before.
    fn is_first_fleet_start(&self, now: Instant) -> bool {
        let started_at = self.first_started_at;
        started_at.is_some_and(|at| now < at + FIRST_START_TIME)
    }

    /// Advances the store revision up to which instances are known; returns `false` if
    /// a newer one was known.
    pub fn advance_directory(&self, revision: StoreRevision) -> bool {
        let mut known = lock(&self.directory_revision);
        let is_current = revision >= *known;
        if is_current {
            *known = revision;
        }
        is_current
    }

    /// The store revision up to which instances are known.
    pub fn directory_revision(&self) -> StoreRevision {
        *lock(&self.directory_revision)
    }

    /// Takes in a new or changed announcement of an instance.
    pub fn announce_instance(&self, instance: Instance, now: Instant) {
        self.log_instance(&instance);
        let id = instance.id.clone();
        let mut instances = lock(&self.instances);
        let change = instances.directory.announce(instance, now);
        if self.is_first_fleet_start(now) {
            instances.directory.mark_primary_verified(&id);
        }
        drop(instances);
        self.publish_primary_change(change);
        self.notify_lists_changed();
    }

    fn log_instance(&self, instance: &Instance) {
        let known = self.instance(&instance.id);
        if known.as_deref() == Some(instance) {
            return;
        }
        Event::info("instance_announced")
            .field("instance", &instance.id)
            .field("service", &instance.service)
            .field("address", instance.address)
            .field("zone", &instance.zone)
            .field("role", format_args!("{:?}", instance.role))
            .field("warm_up_left_ms", instance.warm_up_left.as_millis())
            .field("lifecycle", format_args!("{:?}", instance.lifecycle))
            .log();
    }

    /// Records that the instance with this name is no longer listed.
    pub fn unlist_instance(&self, name: &str, now: Instant) {
        lock(&self.instances)
            .directory
            .mark_missing_by_name(name, now);
        Event::info("instance_unlisted")
            .field("instance", name)
            .log();
        self.notify_changed();
    }

    /// Records that an incarnation of an instance is no longer listed.
    pub fn unlist_incarnation(&self, id: &InstanceId, now: Instant) {
        lock(&self.instances).directory.mark_missing(id, now);
        self.notify_changed();
    }

    /// Records that the directory could not be read.
    pub fn directory_read_failed(&self) {
        lock(&self.instances).directory.record_read_failure();
    }

    /// Records that the directory was read, by this node or the reader it follows.
    pub fn directory_read_succeeded(&self) {
        let now = Instant::now();
        lock(&self.instances).directory.record_read(now);
        *lock(&self.directory_read_at) = Some(now);
    }

    /// Confirms that the known list of instances was complete at a moment. Ignored
    /// while entries may be missing because they lapsed with the store or a copy of it
    /// lacks them.
    pub fn confirm_directory_as_of(&self, moment: Instant) {
        let mut known = lock(&self.instances);
        if known.directory.is_complete_as_of(moment) {
            known.directory_as_of = known.directory_as_of.max(Some(moment));
        }
    }

    /// The latest moment as of which the list of instances was complete; `None` if
    /// never.
    pub fn directory_as_of(&self) -> Option<Instant> {
        lock(&self.instances).directory_as_of
    }

    /// Time since the directory was last read; [`Duration::MAX`] if it never was.
    pub fn directory_age(&self) -> Duration {
        let read_at = *lock(&self.directory_read_at);
        read_at.map_or(Duration::MAX, |at| at.elapsed())
    }

    /// Removes instances that have been absent for longer than they may drain; returns
    /// their identifiers.
    pub fn expire_instances(&self, now: Instant, drain: Duration) -> Vec<InstanceId> {
        let mut instances = lock(&self.instances);
        let expired = instances.directory.expire(now, drain);
        for id in &expired {
            instances.health.remove(id);
            Event::info("instance_forgotten")
                .field("instance", id)
                .log();
        }
        let absent = instances.directory.count_absent(now);
        let has_changed = std::mem::replace(&mut instances.absent, absent) != absent;
        drop(instances);
        if has_changed {
            self.notify_lists_changed();
        }
        expired
    }

    /// The instance with this identifier, if it is known.
    pub fn instance(&self, id: &InstanceId) -> Option<Arc<Instance>> {
        lock(&self.instances).directory.instance(id).cloned()
    }

    /// The instances of a service.
    pub fn instances(&self, service: &str) -> Vec<Arc<Instance>> {
        lock(&self.instances)
            .directory
            .instances(service)
            .cloned()
            .collect()
    }

    /// The instances of a service that are listed at present.
    pub fn listed_instances(&self, service: &str) -> Vec<Arc<Instance>> {
        let instances = lock(&self.instances);
        let known = instances.directory.instances(service);
        let listed = known.filter(|instance| instances.directory.is_listed(&instance.id));
        listed.cloned().collect()
    }

    /// The addresses of the listed instances of other services.
    pub fn addresses_of_other_services(&self, service: &str) -> HashSet<SocketAddr> {
        let instances = lock(&self.instances);
        let others = instances.directory.listed();
        let others = others.filter(|instance| *instance.service != *service);
        others.map(|instance| instance.address).collect()
    }

    /// Number of instances that may hold commits of a service, listed or not.
    pub fn count_log_holders(&self, service: &str, now: Instant) -> usize {
        lock(&self.instances)
            .directory
            .count_log_holders(service, now)
    }

    /// Services that are configured and have instances. Entries that name other
    /// services are ignored.
    pub fn services(&self) -> Vec<ServiceName> {
        let Some(configuration) = self.configuration() else {
            return Vec::new();
        };
        let mut services = lock(&self.instances).directory.services();
        services.retain(|service| configuration.services.contains_key(service));
        services
    }

    /// Configured services whose primary is leaving or not known.
    pub fn services_without_lasting_primary(&self, now: Instant) -> Vec<ServiceName> {
        let Some(configuration) = self.configuration() else {
            return Vec::new();
        };
        let mut services = lock(&self.instances)
            .directory
            .services_without_lasting_primary(now);
        services.retain(|service| configuration.services.contains_key(service));
        services
    }

    /// Whether an instance is leaving.
    pub fn is_leaving(&self, id: &InstanceId, now: Instant) -> bool {
        lock(&self.instances).directory.is_leaving(id, now)
    }

    /// Whether an instance that the directory does not list can be taken as absent.
    pub fn is_directory_settled(&self, now: Instant) -> bool {
        lock(&self.instances).directory.is_settled(now)
    }

    /// How long an instance has been leaving; `None` if it is not.
    pub fn leaving_for(&self, id: &InstanceId, now: Instant) -> Option<Duration> {
        lock(&self.instances).directory.leaving_for(id, now)
    }

    /// Logs a change of a primary and notifies subscribers.
    fn publish_primary_change(&self, change: Option<PrimaryChange>) {
        if let Some(change) = change {
            log_primary(&change);
            self.notify_changed();
        }
    }

    /// The best instance for a read that requires a position (nearest and least loaded
    /// first), and whether it is the last candidate.
    pub fn choose_for_read(
        &self,
        service: &str,
        required: Position,
        excluded: &[InstanceId],
        regions: &AllowedRegions,
        now: Instant,
    ) -> Option<(Arc<Instance>, bool)> {
        let primary = self.primary(service);
        let has_warm_up = self.limits(service).is_some_and(|it| it.warm_up.is_some());
        let instances = lock(&self.instances);
        let may_run = |instance: &Instance| {
            self.eligibility_in(&instances, instance, regions, StatementBinding::Unbound)
                .is_ok()
        };
        let unknown = InstanceHealth::default();
        let candidates = instances
            .directory
            .instances(service)
            .filter(|instance| !self.is_closed_to_new_work(&instances.directory, &instance.id, now))
            .filter(|instance| may_run(instance))
            .map(|instance| Candidate {
                is_primary: primary.as_ref().is_some_and(|it| it.id == instance.id),
                instance,
                health: instances.health.get(&instance.id).unwrap_or(&unknown),
                distance: self.distance(instance),
                is_cold: has_warm_up && instances.directory.is_cold(&instance.id, now),
            });
        let choice = placement::choose(candidates, required, excluded, now)?;
        let instance = instances.directory.instance(&choice.instance.id)?;
        Some((instance.clone(), choice.is_last))
    }

    /// Whether an instance has been leaving for so long that it gets no new work. The
    /// rest of the drain time is a margin for what this node learnt late.
    fn is_closed_to_new_work(&self, directory: &Directory, id: &InstanceId, now: Instant) -> bool {
        directory
            .leaving_for(id, now)
            .is_some_and(|leaving| leaving > self.drain * NEW_WORK_PERCENT / 100)
    }

    fn distance(&self, instance: &Instance) -> Distance {
        self.zone_map.distance(&instance.zone)
    }

    /// Updates the health of an instance.
    pub fn update_health(&self, id: &InstanceId, update: impl FnOnce(&mut InstanceHealth)) {
        let mut instances = lock(&self.instances);
        update(instances.health.entry(id.clone()).or_default());
    }

    /// Reads the health of an instance; `None` if none is recorded.
    pub fn read_health<T>(
        &self,
        id: &InstanceId,
        read: impl FnOnce(&InstanceHealth) -> T,
    ) -> Option<T> {
        lock(&self.instances).health.get(id).map(read)
    }

    fn notify_lists_changed(&self) {
        self.list_changes.send_modify(|count| *count += 1);
        self.notify_changed();
    }

    fn notify_changed(&self) {
        self.changes.send_modify(|count| *count += 1);
    }
}

fn log_primary(change: &PrimaryChange) {
    Event::info("primary_changed")
        .field("service", &change.service)
        .field(
            "primary",
            change.primary.as_ref().map_or("none", |id| &id.0),
        )
        .field("source", format_args!("{:?}", change.source))
        .log();
}

/// Locks a mutex, also one that a panic has poisoned: the data remains usable.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
