//! One node's engine: the state that all its sessions and tasks share.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use linkhold_core::position::Position;
use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::evidence::Sample;
use linkhold_core::service::instance::{Instance, InstanceId};
use linkhold_core::service::readers::{self, Freshness};
use linkhold_events::Event;
use tokio::sync::Notify;

use crate::admission::Quotas;
use crate::cluster_state::{ClusterState, lock};
use crate::feed::frames::FeedFrames;
use crate::followers::Followers;
use crate::lease_format::HeldLeases;
use crate::metrics::Metrics;
use crate::pools::Pools;
use crate::ports::{BackendConnector, Platform};
use crate::settings::GatewaySettings;
use crate::state::{
    EvidenceQuestions, Fleet, FleetSource, Forwarding, LogGroups, OwnRow, Peers,
    PrimaryVerifications, PromotionRecords, ReaderLink, Relays, Sources, WarmUps,
};
use crate::store_era::StoreEra;
use crate::watchers::Watchers;

/// The engine.
pub struct Gateway<P: Platform> {
    /// The adapter of the platform.
    pub platform: Arc<P>,
    /// Settings of the engine.
    pub settings: GatewaySettings,
    /// Time limits for the freshness of data from the store.
    pub(crate) freshness: Freshness,
    /// Known state of the cluster.
    pub cluster: ClusterState,
    /// Connections to instances.
    pub pools: Pools<<P as BackendConnector>::Connection>,
    /// Counters and latencies.
    pub metrics: Metrics,
    /// Services whose primary must be checked.
    pub(crate) suspected_primaries: SuspectedPrimaries,
    pub(crate) evidence_questions: EvidenceQuestions,
    pub(crate) fleet: Fleet,
    pub(crate) own_row: OwnRow,
    pub(crate) followers: Followers,
    pub(crate) peers: Peers,
    pub(crate) relays: Relays,
    pub(crate) forwarding: Forwarding,
    pub(crate) reader_link: ReaderLink,
    pub(crate) sources: Sources,
    pub(crate) feed_frames: FeedFrames,
    pub(crate) leases: HeldLeases,
    pub(crate) watchers: Watchers,
    pub(crate) primary_verifications: PrimaryVerifications,
    pub(crate) promotion_records: PromotionRecords,
    pub(crate) log_groups: LogGroups,
    pub(crate) store_era: StoreEra,
    pub(crate) quotas: Quotas,
    pub(crate) warm_ups: WarmUps,
    leaving: AtomicBool,
    /// When this process began.
    pub(crate) started_at: Instant,
}

/// Services whose primary seems lost and must be checked.
#[derive(Default)]
pub(crate) struct SuspectedPrimaries {
    services: Mutex<BTreeSet<ServiceName>>,
    changed: Notify,
}

impl SuspectedPrimaries {
    /// Adds a service whose primary seems lost.
    pub fn add(&self, service: &ServiceName) {
        if lock(&self.services).insert(service.clone()) {
            self.changed.notify_one();
        }
    }

    /// Waits until a service is added.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Removes and returns all services.
    pub fn take(&self) -> BTreeSet<ServiceName> {
        std::mem::take(&mut lock(&self.services))
    }
}

impl<P: Platform> Gateway<P> {
    /// Creates an engine that does not know the cluster yet.
    pub fn new(platform: Arc<P>, settings: GatewaySettings) -> Arc<Self> {
        Arc::new(Self {
            platform,
            cluster: ClusterState::new(&settings),
            pools: Pools::new(&settings),
            freshness: Freshness::for_bound(settings.change_bound.min(settings.evacuation_bound)),
            settings,
            metrics: Metrics::default(),
            suspected_primaries: SuspectedPrimaries::default(),
            evidence_questions: EvidenceQuestions::default(),
            fleet: Fleet::default(),
            own_row: OwnRow::default(),
            followers: Followers::default(),
            peers: Peers::default(),
            relays: Relays::default(),
            forwarding: Forwarding::default(),
            reader_link: ReaderLink::default(),
            sources: Sources::default(),
            feed_frames: FeedFrames::default(),
            leases: HeldLeases::default(),
            watchers: Watchers::default(),
            primary_verifications: PrimaryVerifications::default(),
            promotion_records: PromotionRecords::default(),
            log_groups: LogGroups::default(),
            store_era: StoreEra::default(),
            quotas: Quotas::default(),
            warm_ups: WarmUps::default(),
            leaving: AtomicBool::new(false),
            started_at: Instant::now(),
        })
    }

    /// Whether the node accepts new sessions and can serve them.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.cluster.can_serve()
    }

    /// How long the store may hold a request for changes before it answers.
    pub(crate) fn store_wait(&self) -> Duration {
        let may_be_followed = self.fleet.has_readers() || !self.fleet.is_settled();
        // Withheld acknowledgements end with a change of the instances.
        let awaits_change = self.cluster.withholds_any();
        if may_be_followed || awaits_change || self.followers.open_streams() > 0 {
            self.freshness.long_poll
        } else {
            self.freshness.long_poll_alone
        }
    }

    /// Whether this node probes a service's instances when their reachability is in
    /// question, and replaces the service's primary.
    pub(crate) fn watches(&self, service: &ServiceName) -> bool {
        let watchers = self.watchers.of(&self.settings.node, service);
        watchers.is_none_or(|watchers| watchers.includes_self)
    }

    /// The source from which the node gets configuration and instances.
    pub(crate) fn source(&self) -> FleetSource {
        if self.settings.peer_address.is_none() {
            // A node without a peer address can neither follow nor be followed.
            return FleetSource::Store;
        }
        let own = &self.settings.node;
        self.fleet.source(own, &self.settings.zone_map)
    }

    /// Longest pause between two calls to a store that gives no answer.
    pub(crate) fn longest_store_pause(&self) -> Duration {
        readers::max_retry_pause(self.fleet.size())
    }

    /// Whether the node is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Marks the node as shutting down.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Records that an instance could not be reached or became silent.
    pub(crate) fn record_instance_failure(&self, instance: &Instance, reason: &'static str) {
        let now = Instant::now();
        let was_failing = self
            .cluster
            .read_health(&instance.id, |health| health.is_failing())
            .unwrap_or(false);
        self.cluster
            .update_health(&instance.id, |health| health.record_failure(now));
        self.pools.close_idle(&instance.id);
        self.warm_ups.suspect_restart(&instance.id);
        self.metrics.instance_failures.add();
        if !was_failing {
            Event::warn("instance_failed")
                .field("instance", &instance.id)
                .field("service", &instance.service)
                .field("reason", reason)
                .log();
        }
        if self.is_known_primary(&instance.id, &instance.service) {
            self.suspected_primaries.add(&instance.service);
        }
    }

    /// Records an instance's answer and the position of its log.
    pub(crate) fn record_instance_answer(
        &self,
        id: &InstanceId,
        took: Duration,
        position: Option<Position>,
    ) {
        let now = Instant::now();
        self.cluster.update_health(id, |health| {
            health.record_success(now, took);
            if let Some(position) = position {
                health.record_position(position);
            }
        });
    }

    /// Records that an instance is no longer considered primary, for example since it
    /// refused a write.
    pub(crate) fn record_primary_denial(&self, instance: &Instance) {
        self.cluster.deny_primary(&instance.id);
        if self.cluster.primary(&instance.service).is_none() {
            self.suspected_primaries.add(&instance.service);
        }
    }

    /// Records evidence from an instance's reply as a primary, unless the instance may
    /// have been replaced by then: reads on the evidence of a replaced primary miss
    /// writes that its successor has acknowledged.
    pub(crate) fn record_primary_proof(&self, instance: &Instance, sample: Sample) {
        if self.detect_outdated_primary(instance, Some(sample.position)) {
            return;
        }
        let is_replaced = self.cluster.is_replaced(instance);
        if !is_replaced && self.cluster.may_acknowledge_for(instance, sample.sent_at) {
            self.cluster.record_evidence(&instance.service, sample);
        }
    }

    /// Whether an instance that answered as a primary is known to be replaced: its log
    /// ends in an older term than another primary's log did. Such an instance is no
    /// longer considered primary.
    pub(crate) fn detect_outdated_primary(
        &self,
        instance: &Instance,
        position: Option<Position>,
    ) -> bool {
        let newest = self.cluster.newest_proved_term(&instance.service);
        let is_outdated = position.is_some_and(|position| Some(position.term) < newest);
        if is_outdated {
            self.record_primary_denial(instance);
        }
        is_outdated
    }

    /// Whether an instance that answered as a primary has lost log entries that it was
    /// proved to have before it was asked, since it restarted with an empty log. Such an
    /// instance is no longer considered primary. Without this check, 44 reads of written
    /// data found nothing until the instance's directory entry showed the restart.
    pub(crate) fn detect_lost_log(
        &self,
        instance: &Instance,
        position: Option<Position>,
        proved: Option<Position>,
    ) -> bool {
        let has_lost = position.is_some_and(|position| Some(position) < proved);
        if has_lost {
            Event::warn("primary_log_lost")
                .field("service", &instance.service)
                .field("instance", &instance.id)
                .field("position", position.unwrap_or_default())
                .field("proved", proved.unwrap_or_default())
                .log();
            self.record_primary_denial(instance);
        }
        has_lost
    }

    fn is_known_primary(&self, id: &InstanceId, service: &str) -> bool {
        self.cluster
            .primary(service)
            .is_some_and(|primary| primary.id == *id)
    }

    /// All metrics of the node as text.
    pub fn render_metrics(&self) -> String {
        let configuration = self.cluster.configuration();
        let gauges = [
            ("ready", u64::from(self.is_ready())),
            (
                "configuration_version",
                configuration.map_or(0, |configuration| configuration.version),
            ),
            ("connections_open", self.pools.open_connections() as u64),
            ("connections_opened_total", self.pools.opened() as u64),
            ("sessions_open", self.metrics.sessions_open()),
            ("zones_evacuated", self.cluster.evacuations().0.len() as u64),
            ("instances_held_off", self.warm_ups.count_held_off() as u64),
            ("store_era", u64::from(self.store_era.latest().0)),
            ("entries_unusable_total", self.platform.unusable_entries()),
        ];
        // A node that was never listed has no listing age.
        let listing_age = self.cluster.permission.age_ms();
        let listing_age = listing_age.map(|age| ("listing_age_ms", age));
        let gauges: Vec<(&str, u64)> = gauges.into_iter().chain(listing_age).collect();
        self.metrics.render(&gauges)
    }
}
