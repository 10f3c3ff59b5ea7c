//! One node's engine: what all its sessions and tasks share.

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
use crate::beliefs::{Beliefs, lock};
use crate::feed::frames::FeedFrames;
use crate::followers::Followers;
use crate::lease_format::HeldLeases;
use crate::metrics::Metrics;
use crate::pools::Pools;
use crate::ports::{BackendConnector, Platform};
use crate::settings::GatewaySettings;
use crate::state::{
    Fleet, FleetSource, Forwarding, LeadProofs, LeadRecords, OwnRow, Peers, Questions, ReaderLink,
    Relays, Sources, WarmUps,
};
use crate::store_era::StoreEra;
use crate::watchers::Watchers;

/// The engine.
pub struct Gateway<P: Platform> {
    /// The world around it.
    pub platform: Arc<P>,
    /// What it was told at its start.
    pub settings: GatewaySettings,
    /// How fresh it keeps what it knows of the store.
    pub(crate) freshness: Freshness,
    /// What it believes.
    pub beliefs: Beliefs,
    /// Its connections to instances.
    pub pools: Pools<<P as BackendConnector>::Connection>,
    /// What it counts.
    pub metrics: Metrics,
    /// Asks for evidence or a look at a primary.
    pub(crate) suspected_primaries: SuspectedPrimaries,
    pub(crate) questions: Questions,
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
    pub(crate) lead_proofs: LeadProofs,
    pub(crate) lead_records: LeadRecords,
    pub(crate) store_era: StoreEra,
    pub(crate) quotas: Quotas,
    pub(crate) warm_ups: WarmUps,
    leaving: AtomicBool,
    /// When this life of the node began.
    pub(crate) started_at: Instant,
}

/// Services whose primary needs looking after.
#[derive(Default)]
pub(crate) struct SuspectedPrimaries {
    services: Mutex<BTreeSet<ServiceName>>,
    changed: Notify,
}

impl SuspectedPrimaries {
    /// The primary of a service seems lost.
    pub fn add(&self, service: &ServiceName) {
        if lock(&self.services).insert(service.clone()) {
            self.changed.notify_one();
        }
    }

    /// Waits until a primary seems lost.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Takes the services whose primary seems lost.
    pub fn take(&self) -> BTreeSet<ServiceName> {
        std::mem::take(&mut lock(&self.services))
    }
}

impl<P: Platform> Gateway<P> {
    /// An engine that knows nothing yet.
    pub fn new(platform: Arc<P>, settings: GatewaySettings) -> Arc<Self> {
        Arc::new(Self {
            platform,
            beliefs: Beliefs::new(&settings),
            pools: Pools::new(&settings),
            freshness: Freshness::for_bound(settings.change_bound.min(settings.evacuation_bound)),
            settings,
            metrics: Metrics::default(),
            suspected_primaries: SuspectedPrimaries::default(),
            questions: Questions::default(),
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
            lead_proofs: LeadProofs::default(),
            lead_records: LeadRecords::default(),
            store_era: StoreEra::default(),
            quotas: Quotas::default(),
            warm_ups: WarmUps::default(),
            leaving: AtomicBool::new(false),
            started_at: Instant::now(),
        })
    }

    /// Whether new sessions should come here.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.beliefs.can_serve()
    }

    /// How long the store holds a question for changes.
    pub(crate) fn store_wait(&self) -> Duration {
        let may_be_followed = self.fleet.has_readers() || !self.fleet.is_settled();
        // What was agreed to ends with news of the instances.
        let awaits_news = self.beliefs.withholds_any();
        if may_be_followed || awaits_news || self.followers.served() > 0 {
            self.freshness.wait
        } else {
            self.freshness.wait_alone
        }
    }

    /// Whether this node is to try a service's instances when their reachability is in
    /// question, and to replace its primary.
    pub(crate) fn watches(&self, service: &ServiceName) -> bool {
        let watchers = self.watchers.of(&self.settings.node, service);
        watchers.is_none_or(|watchers| watchers.includes_self)
    }

    /// Where the node gets configuration and instances from.
    pub(crate) fn source(&self) -> FleetSource {
        if self.settings.peer_address.is_none() {
            // It cannot be followed either.
            return FleetSource::Store;
        }
        let own = &self.settings.node;
        self.fleet.source(own, &self.settings.places)
    }

    /// Longest pause between two tries of a store that gives no answer.
    pub(crate) fn longest_store_pause(&self) -> Duration {
        readers::longest_pause(self.fleet.size())
    }

    /// Whether the node is being stopped.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// The node is being stopped.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// An instance could not be reached or fell silent.
    pub(crate) fn record_instance_failure(&self, instance: &Instance, reason: &'static str) {
        let now = Instant::now();
        let was_failing = self
            .beliefs
            .inspect(&instance.id, |health| health.is_failing())
            .unwrap_or(false);
        self.beliefs
            .observe(&instance.id, |health| health.failed(now));
        self.pools.close_idle(&instance.id);
        self.warm_ups.doubted(&instance.id);
        self.metrics.instance_failures.add();
        if !was_failing {
            Event::warn("instance_failed")
                .field("instance", &instance.id)
                .field("service", &instance.service)
                .field("reason", reason)
                .log();
        }
        if self.is_believed_primary(&instance.id, &instance.service) {
            self.suspected_primaries.add(&instance.service);
        }
    }

    /// An instance answered, and told how far its log has come.
    pub(crate) fn record_instance_answer(
        &self,
        id: &InstanceId,
        took: Duration,
        position: Option<Position>,
    ) {
        let now = Instant::now();
        self.beliefs.observe(id, |health| {
            health.succeeded(now, took);
            if let Some(position) = position {
                health.holds(position);
            }
        });
    }

    /// An instance refused work that only a primary takes.
    pub(crate) fn record_primary_denial(&self, instance: &Instance) {
        self.beliefs.deny_primary(&instance.id);
        if self.beliefs.primary(&instance.service).is_none() {
            self.suspected_primaries.add(&instance.service);
        }
    }

    /// An instance replied as a primary to a request. That proves what its log must
    /// hold unless it had been replaced by then: reads on the evidence of a replaced
    /// primary lack what its successor has acknowledged.
    pub(crate) fn record_primary_proof(&self, instance: &Instance, sample: Sample) {
        if self.detect_outdated_primary(instance, Some(sample.position)) {
            return;
        }
        let is_replaced = self.beliefs.is_replaced(instance);
        if !is_replaced && self.beliefs.may_speak_for(instance, sample.sent_at) {
            self.beliefs.record_evidence(&instance.service, sample);
        }
    }

    /// Whether an instance that answered as a primary is known to be replaced: its log
    /// ends in an older term than another primary's did. It is not believed to lead any
    /// more.
    pub(crate) fn detect_outdated_primary(
        &self,
        instance: &Instance,
        position: Option<Position>,
    ) -> bool {
        let newest = self.beliefs.newest_proved_term(&instance.service);
        let is_outdated = position.is_some_and(|position| Some(position.term) < newest);
        if is_outdated {
            self.record_primary_denial(instance);
        }
        is_outdated
    }

    /// Whether an instance that answered as a primary lacks what it was proved to hold
    /// before it was asked: it has started again with nothing. It is not believed to lead
    /// any more. Until its entry told so, 44 reads of what was written found nothing.
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

    fn is_believed_primary(&self, id: &InstanceId, service: &str) -> bool {
        self.beliefs
            .primary(service)
            .is_some_and(|primary| primary.id == *id)
    }

    /// All figures of the node as text.
    pub fn render_metrics(&self) -> String {
        let configuration = self.beliefs.configuration();
        let gauges = [
            ("ready", u64::from(self.is_ready())),
            (
                "configuration_version",
                configuration.map_or(0, |configuration| configuration.version),
            ),
            ("connections_open", self.pools.open_connections() as u64),
            ("connections_opened_total", self.pools.opened() as u64),
            ("sessions_open", self.metrics.sessions_open()),
            ("zones_evacuated", self.beliefs.evacuations().0.len() as u64),
            ("instances_held_off", self.warm_ups.count_cold() as u64),
            ("store_era", u64::from(self.store_era.known().0)),
            ("entries_unusable_total", self.platform.unusable_entries()),
        ];
        // A node that was never listed has no such age.
        let listing_age = self.beliefs.permission.age_ms();
        let listing_age = listing_age.map(|age| ("listing_age_ms", age));
        let gauges: Vec<(&str, u64)> = gauges.into_iter().chain(listing_age).collect();
        self.metrics.render(&gauges)
    }
}
