//! What this node believes about configuration, instances and freshness,
//! shared by all its sessions. Locks are held for a few steps and never across
//! a wait.

mod eligibility;
mod primaries;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use linkhold_core::position::{Position, Term};
use linkhold_core::service::configuration::{Configuration, ServiceLimits, ServiceName};
use linkhold_core::service::directory::{Directory, PrimaryChange, Recency};
use linkhold_core::service::eligibility::StatementBinding;
use linkhold_core::service::evacuation::Evacuations;
use linkhold_core::service::evidence::{EvidenceLog, Sample};
use linkhold_core::service::health::InstanceHealth;
use linkhold_core::service::instance::{Instance, InstanceId};
use linkhold_core::service::placement::{self, Candidate, Distance};
use linkhold_core::service::regions::AllowedRegions;
use linkhold_core::service::store_revision::StoreRevision;
use linkhold_core::service::withholding::Withholdings;
use linkhold_events::Event;
use tokio::sync::{Notify, watch};

use crate::permission::OwnPermission;
use crate::places::Places;
use crate::settings::GatewaySettings;

/// Part of the drain time in which a leaving instance may get new work, in
/// percent.
const WORK_PERCENT: u32 = 60;

/// How long after its first start a fleet has certainly replaced nobody: instances and nodes
/// start together, and a replacement takes the list of nodes, which is whole after seconds.
const FIRST_START_TIME: Duration = Duration::from_secs(15);

/// Beliefs about instances and their logs.
#[derive(Debug, Default)]
struct InstanceBeliefs {
    directory: Directory,
    health: HashMap<InstanceId, InstanceHealth>,
    evidence: HashMap<ServiceName, EvidenceLog>,
    /// The newest term of each service of which anything told.
    terms: HashMap<ServiceName, Term>,
    withholdings: Withholdings,
    /// The last moment as of which the list of instances is known.
    directory_as_of: Option<Instant>,
    evacuations: Evacuations,
    /// Entries whose absence counted when that was looked at last.
    absent: usize,
}

/// Everything a node believes.
#[derive(Debug)]
pub struct Beliefs {
    places: Places,
    drain: Duration,
    /// How soon nothing may be sent to an evacuated zone any more.
    evacuation_bound: Duration,
    /// When the whole fleet was started for the first time; `None` if it runs already.
    first_started_at: Option<Instant>,
    configuration: Mutex<Option<Arc<Configuration>>>,
    /// Where the primaries of services should stand that are bound to regions.
    primary_regions: Mutex<Arc<HashMap<ServiceName, AllowedRegions>>>,
    directory_read_at: Mutex<Option<Instant>>,
    instances: Mutex<InstanceBeliefs>,
    directory_place: Mutex<StoreRevision>,
    /// Terms in which logs were proved to end after another one, newest of each service; the
    /// store is to keep them.
    risen_terms: Mutex<BTreeMap<ServiceName, Term>>,
    /// A term was added to them.
    term_risen: Notify,
    /// Services of which the store does not keep whether a claimed successor was promoted.
    unsettled: Mutex<HashSet<ServiceName>>,
    changes: watch::Sender<u64>,
    /// Counts changes of the configuration and of the list of instances alone.
    told: watch::Sender<u64>,
    /// Whether this node may speak for primaries.
    pub(crate) permission: OwnPermission,
}

impl Beliefs {
    /// Nothing is known.
    pub fn new(settings: &GatewaySettings) -> Self {
        Self {
            places: settings.places.clone(),
            drain: settings.drain,
            evacuation_bound: settings.evacuation_bound,
            first_started_at: settings.is_first_start.then(Instant::now),
            configuration: Mutex::default(),
            primary_regions: Mutex::default(),
            directory_read_at: Mutex::default(),
            instances: Mutex::default(),
            directory_place: Mutex::default(),
            risen_terms: Mutex::default(),
            term_risen: Notify::new(),
            unsettled: Mutex::default(),
            changes: watch::channel(0).0,
            told: watch::channel(0).0,
            permission: OwnPermission::default(),
        }
    }

    /// Wakes when configuration, instances, a primary or evidence change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Wakes when the configuration or the list of instances changes.
    pub fn subscribe_to_lists(&self) -> watch::Receiver<u64> {
        self.told.subscribe()
    }

    /// Rises with every change of the configuration or the list of instances.
    pub fn lists_revision(&self) -> u64 {
        *self.told.borrow()
    }

    /// All instances, and whether each is listed.
    pub fn all_instances(&self) -> Vec<(Instance, bool)> {
        lock(&self.instances).directory.all(Instant::now())
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        lock(&self.configuration).clone()
    }

    /// Puts a configuration in force unless it is older than the present one.
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
        *current = Some(Arc::new(configuration));
        drop(current);
        self.lists_changed();
    }

    /// Limits of a service, if it is configured.
    pub fn limits(&self, service: &str) -> Option<ServiceLimits> {
        self.configuration()?.services.get(service).copied()
    }

    /// Whether the node knows enough to serve.
    pub fn can_serve(&self) -> bool {
        self.configuration().is_some() && !lock(&self.instances).directory.is_empty()
    }

    /// Takes in everything that is listed as of a place in the store's changes,
    /// unless more is known already: what is known never goes back.
    pub fn replace_instances(&self, listed: Vec<Instance>, place: StoreRevision, now: Instant) {
        let known = self.directory_place();
        if !self.advance_directory(place) {
            return;
        }
        for instance in &listed {
            self.log_instance(instance);
        }
        let is_copy = known != StoreRevision::default() && place.era() > known.era();
        let currency = if is_copy {
            Recency::MayBeOlder
        } else {
            Recency::Current
        };
        let mut instances = lock(&self.instances);
        if is_copy {
            instances.directory.record_read_failure();
        }
        let changes = instances.directory.replace(listed, currency, now);
        if self.has_replaced_nobody(now) {
            instances.directory.mark_all_primaries_verified();
        }
        drop(instances);
        for change in changes {
            log_primary(&change);
        }
        self.lists_changed();
    }

    /// Whether the fleet has just been started for the first time: whoever says then that it
    /// leads was not replaced before.
    fn has_replaced_nobody(&self, now: Instant) -> bool {
        let started_at = self.first_started_at;
        started_at.is_some_and(|at| now < at + FIRST_START_TIME)
    }

    /// The list of instances is known up to a place in the store's changes;
    /// `false` if it was known further already.
    pub fn advance_directory(&self, place: StoreRevision) -> bool {
        let mut known = lock(&self.directory_place);
        let is_news = place >= *known;
        if is_news {
            *known = place;
        }
        is_news
    }

    /// The place in the store's changes up to which instances are known.
    pub fn directory_place(&self) -> StoreRevision {
        *lock(&self.directory_place)
    }

    /// An instance is announced or changed its announcement.
    pub fn announce_instance(&self, instance: Instance, now: Instant) {
        self.log_instance(&instance);
        let id = instance.id.clone();
        let mut instances = lock(&self.instances);
        let change = instances.directory.announce(instance, now);
        if self.has_replaced_nobody(now) {
            instances.directory.mark_primary_verified(&id);
        }
        drop(instances);
        self.after(change);
        self.lists_changed();
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

    /// The instance with a name is no longer listed.
    pub fn vanish_instance(&self, name: &str, now: Instant) {
        lock(&self.instances)
            .directory
            .mark_missing_by_name(name, now);
        Event::info("instance_unlisted")
            .field("instance", name)
            .log();
        self.announce_change();
    }

    /// A life of an instance is no longer known to whoever lists them.
    pub fn vanish_life(&self, id: &InstanceId, now: Instant) {
        lock(&self.instances).directory.mark_missing(id, now);
        self.announce_change();
    }

    /// The directory could not be read.
    pub fn directory_disturbed(&self) {
        lock(&self.instances).directory.record_read_failure();
    }

    /// The directory was read, by this node or the reader it follows.
    pub fn directory_read(&self) {
        let now = Instant::now();
        lock(&self.instances).directory.record_read(now);
        *lock(&self.directory_read_at) = Some(now);
    }

    /// What is known of the list of instances was true at a moment. As long as entries may
    /// be missing that lapsed with the store, or that a copy lacks, that tells nothing.
    pub fn directory_vouched(&self, moment: Instant) {
        let mut known = lock(&self.instances);
        if known.directory.is_complete_as_of(moment) {
            known.directory_as_of = known.directory_as_of.max(Some(moment));
        }
    }

    /// The last moment as of which the list of instances is known; `None` if never.
    pub fn directory_as_of(&self) -> Option<Instant> {
        lock(&self.instances).directory_as_of
    }

    /// How long ago the directory was read last; without end if never.
    pub fn directory_age(&self) -> Duration {
        let read_at = *lock(&self.directory_read_at);
        read_at.map_or(Duration::MAX, |at| at.elapsed())
    }

    /// Forgets instances that are gone for good; returns them.
    pub fn expire_instances(&self, now: Instant, drain: Duration) -> Vec<InstanceId> {
        let mut instances = lock(&self.instances);
        let gone = instances.directory.expire(now, drain);
        for id in &gone {
            instances.health.remove(id);
            Event::info("instance_forgotten")
                .field("instance", id)
                .log();
        }
        let absent = instances.directory.count_absent(now);
        let is_news = std::mem::replace(&mut instances.absent, absent) != absent;
        drop(instances);
        if is_news {
            self.lists_changed();
        }
        gone
    }

    /// An instance.
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

    /// Services of the configuration that have instances. An entry may name another.
    pub fn services(&self) -> Vec<ServiceName> {
        let Some(configuration) = self.configuration() else {
            return Vec::new();
        };
        let mut services = lock(&self.instances).directory.services();
        services.retain(|service| configuration.services.contains_key(service));
        services
    }

    /// Services of the configuration whose primary leaves, or is not known.
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

    /// Whether what the directory does not list is not there.
    pub fn is_directory_settled(&self, now: Instant) -> bool {
        lock(&self.instances).directory.is_settled(now)
    }

    /// How long an instance has been leaving, if it is.
    pub fn leaving_for(&self, id: &InstanceId, now: Instant) -> Option<Duration> {
        lock(&self.instances).directory.leaving_for(id, now)
    }

    fn after(&self, change: Option<PrimaryChange>) {
        if let Some(change) = change {
            log_primary(&change);
            self.announce_change();
        }
    }

    /// The best instance for a read that requires a position, nearest and least
    /// loaded first, and whether no other is left.
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
            .filter(|instance| !self.has_left(&instances.directory, &instance.id, now))
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

    /// Whether an instance has been leaving for so long that it gets no new
    /// work. The margin is for what this node learnt late.
    fn has_left(&self, directory: &Directory, id: &InstanceId, now: Instant) -> bool {
        directory
            .leaving_for(id, now)
            .is_some_and(|leaving| leaving > self.drain * WORK_PERCENT / 100)
    }

    fn distance(&self, instance: &Instance) -> Distance {
        self.places.distance(&instance.zone)
    }

    /// Updates what traffic tells of an instance.
    pub fn observe(&self, id: &InstanceId, update: impl FnOnce(&mut InstanceHealth)) {
        let mut instances = lock(&self.instances);
        update(instances.health.entry(id.clone()).or_default());
    }

    /// Reads what traffic tells of an instance.
    pub fn inspect<T>(
        &self,
        id: &InstanceId,
        read: impl FnOnce(&InstanceHealth) -> T,
    ) -> Option<T> {
        lock(&self.instances).health.get(id).map(read)
    }

    /// Records evidence of a primary's log.
    pub fn record_evidence(&self, service: &ServiceName, sample: Sample) {
        self.term_seen(service, sample.position.term);
        let mut instances = lock(&self.instances);
        let evidence = instances.evidence.entry(service.clone()).or_default();
        let previous = evidence.newest_term();
        evidence.record(sample);
        drop(instances);
        let is_settled_now = lock(&self.unsettled).remove(service);
        let has_risen = previous.is_some_and(|previous| previous < sample.position.term);
        if has_risen || is_settled_now {
            lock(&self.risen_terms).insert(service.clone(), sample.position.term);
            self.term_risen.notify_one();
        }
        if has_risen {
            Event::info("term_changed")
                .field("service", service)
                .field("position", sample.position)
                .log();
        }
        self.announce_change();
    }

    /// The store does not keep whether a claimed successor was promoted: the next proof of who
    /// leads is to be kept.
    pub fn lead_unsettled(&self, service: &ServiceName) {
        lock(&self.unsettled).insert(service.clone());
    }

    /// A primary's log was proved to end in a term, as the store keeps.
    pub fn term_proved(&self, service: &ServiceName, term: Term) {
        self.term_seen(service, term);
        let mut instances = lock(&self.instances);
        let evidence = instances.evidence.entry(service.clone()).or_default();
        evidence.record_proved_term(term);
    }

    /// Waits until there are terms that the store is to keep.
    pub async fn term_risen(&self) {
        self.term_risen.notified().await;
    }

    /// Takes the terms that the store is to keep.
    pub fn take_risen_terms(&self) -> BTreeMap<ServiceName, Term> {
        std::mem::take(&mut lock(&self.risen_terms))
    }

    /// The lowest position that covers everything acknowledged before `moment`.
    pub fn fence(&self, service: &str, moment: Instant) -> Option<Position> {
        lock(&self.instances).evidence.get(service)?.fence(moment)
    }

    /// The highest position that was proved.
    pub fn newest_position(&self, service: &str) -> Option<Position> {
        let instances = lock(&self.instances);
        let newest = instances.evidence.get(service)?.newest()?;
        Some(newest.position)
    }

    /// When the latest evidence was sent.
    pub fn latest_evidence(&self, service: &str) -> Option<Instant> {
        lock(&self.instances)
            .evidence
            .get(service)?
            .latest_sent_at()
    }

    /// The latest observation of a service's primary.
    pub fn latest_sample(&self, service: &str) -> Option<Sample> {
        lock(&self.instances).evidence.get(service)?.latest()
    }

    fn lists_changed(&self) {
        self.told.send_modify(|count| *count += 1);
        self.announce_change();
    }

    fn announce_change(&self) {
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

/// Locks; a panic elsewhere does not make the data unusable.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
