//! Tasks that refresh configuration and instances from the platform's store, expire
//! instances and close unused connections.
//!
//! Each call has its own timeout, since a store that is cut off or silent
//! gives no sign. Changes are requested with a wait; when the store no longer has
//! the history since, or after any failure, everything is read again.

use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::service::store_revision::StoreRevision;
use linkhold_events::Event;
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::ports::{DirectoryChange, Platform, StoreError};
use crate::store_call::{CallReason, READ_TIMEOUT, with_timeout};

/// First pause after a failure; doubles with each further failure.
const MIN_PAUSE: Duration = Duration::from_millis(50);
/// Lower bound on the longest pause while the store throttles or refuses this node.
const REFUSED_PAUSE_LIMIT: Duration = Duration::from_millis(800);
/// Longest further pause before instances are requested after a failure while requests for
/// the configuration are not answered either. The store may be down in part.
const STORE_RETURN_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Changes of instances within this time are read in one answer: many instances announce
/// themselves at the same time.
const CHANGE_BATCH_TIME: Duration = Duration::from_millis(200);
/// How often removed instances and evacuations are checked for expiry.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// Logs lost and regained contact with the store, and paces retries.
struct StoreContact<'a, P: Platform> {
    gateway: &'a Gateway<P>,
    subject: &'static str,
    lost_at: Option<Instant>,
    pause: Duration,
}

impl<'a, P: Platform> StoreContact<'a, P> {
    fn new(gateway: &'a Gateway<P>, subject: &'static str) -> Self {
        Self {
            gateway,
            subject,
            lost_at: None,
            pause: MIN_PAUSE,
        }
    }

    fn record_answer(&mut self) {
        self.pause = MIN_PAUSE;
        if let Some(lost_at) = self.lost_at.take() {
            Event::info("store_regained")
                .field("reading", self.subject)
                .field("lost_for_ms", lost_at.elapsed().as_millis())
                .log();
        }
    }

    async fn back_off(&mut self, error: StoreError) {
        self.gateway.metrics.store_failures.add();
        if self.lost_at.is_none() {
            self.lost_at = Some(Instant::now());
            Event::warn("store_lost")
                .field("reading", self.subject)
                .field("error", error)
                .log();
        }
        let spread = rand::random_range(0.5..1.5);
        sleep(self.pause.mul_f64(spread)).await;
        let longest = self.gateway.longest_store_pause();
        let longest = match error {
            StoreError::Refused => longest.max(REFUSED_PAUSE_LIMIT),
            _ => longest,
        };
        self.pause = (self.pause * 2).min(longest);
    }
}

/// Refreshes what the operator sets: the configuration and evacuations of zones. Runs until
/// the process ends.
pub async fn refresh_configuration<P: Platform>(gateway: Arc<Gateway<P>>) {
    let mut contact = StoreContact::new(&gateway, "configuration");
    let mut revision: Option<StoreRevision> = None;
    loop {
        if gateway.sources.wait_until_reading().await {
            revision = None;
        }
        gateway.metrics.store_calls.count(CallReason::Configuration);
        let answer = match revision {
            Some(from) => follow_operator_changes(&gateway, from).await,
            None => read_operator_state(&gateway).await,
        };
        match answer {
            Ok(next) => {
                contact.record_answer();
                gateway.sources.record_configuration_answer();
                revision = Some(next);
            }
            Err(error) => {
                revision = None;
                contact.back_off(error).await;
            }
        }
    }
}

async fn read_operator_state<P: Platform>(
    gateway: &Gateway<P>,
) -> Result<StoreRevision, StoreError> {
    let asked_at = Instant::now();
    let call = gateway.platform.read_operator_state();
    let (state, next) = with_timeout(call, READ_TIMEOUT).await?;
    gateway.store_era.observe(next.era());
    let cluster = &gateway.cluster;
    // Evacuations come first: a node starts to serve once it has a configuration.
    cluster.replace_evacuations(state.evacuated, next, Instant::now());
    cluster.confirm_evacuations_as_of(asked_at);
    if let Some(configuration) = state.configuration {
        cluster.adopt_configuration(configuration);
    }
    Ok(next)
}

async fn follow_operator_changes<P: Platform>(
    gateway: &Gateway<P>,
    from: StoreRevision,
) -> Result<StoreRevision, StoreError> {
    let asked_at = Instant::now();
    let wait = gateway.store_wait();
    let call = gateway.platform.follow_operator_changes(from, wait);
    let (changes, next) = with_timeout(call, wait + READ_TIMEOUT).await?;
    let cluster = &gateway.cluster;
    cluster.change_evacuations(changes.evacuations, next, Instant::now());
    cluster.confirm_evacuations_as_of(asked_at);
    if let Some(configuration) = changes.configuration {
        cluster.adopt_configuration(configuration);
    }
    Ok(next)
}

/// Refreshes the list of instances. Runs until the process ends.
pub async fn refresh_instances<P: Platform>(gateway: Arc<Gateway<P>>) {
    let mut contact = StoreContact::new(&gateway, "instances");
    let mut revision: Option<StoreRevision> = None;
    loop {
        if gateway.sources.wait_until_reading().await {
            revision = None;
        }
        gateway.metrics.store_calls.count(CallReason::Instances);
        let answer = match revision {
            Some(from) => follow_instances(&gateway, from).await,
            None => read_instances(&gateway).await,
        };
        match answer {
            Ok(next) => {
                contact.record_answer();
                revision = Some(next);
            }
            Err(error) => {
                gateway.cluster.directory_read_failed();
                revision = None;
                contact.back_off(error).await;
                // The task that refreshes the configuration detects that the store
                // answers again.
                gateway.sources.wait_for_store(STORE_RETURN_TIMEOUT).await;
            }
        }
    }
}

async fn read_instances<P: Platform>(gateway: &Gateway<P>) -> Result<StoreRevision, StoreError> {
    let asked_at = Instant::now();
    let call = gateway.platform.read_instances();
    let (listed, next) = with_timeout(call, READ_TIMEOUT).await?;
    gateway.store_era.observe(next.era());
    gateway.sources.record_instances_answer();
    gateway
        .cluster
        .replace_instances(listed, next, Instant::now());
    gateway.cluster.confirm_directory_as_of(asked_at);
    Ok(next)
}

async fn follow_instances<P: Platform>(
    gateway: &Gateway<P>,
    from: StoreRevision,
) -> Result<StoreRevision, StoreError> {
    let asked_at = Instant::now();
    let wait = gateway.store_wait();
    let call = gateway.platform.follow_instances(from, wait);
    let (changes, next) = with_timeout(call, wait + READ_TIMEOUT).await?;
    gateway.sources.record_instances_answer();
    let has_changes = !changes.is_empty();
    for change in changes {
        match change {
            DirectoryChange::Present(instance) => {
                gateway.cluster.announce_instance(instance, Instant::now());
            }
            DirectoryChange::Absent(name) => {
                gateway.cluster.unlist_instance(&name, Instant::now());
            }
        }
    }
    gateway.cluster.advance_directory(next);
    gateway.cluster.directory_read_succeeded();
    // The store held a request without changes for the whole wait.
    let held_until = asked_at + wait;
    let was_held = !has_changes && Instant::now() >= held_until;
    let as_of = if was_held { held_until } else { asked_at };
    gateway.cluster.confirm_directory_as_of(as_of);
    if has_changes {
        sleep(CHANGE_BATCH_TIME).await;
    }
    Ok(next)
}

/// Forgets instances that are gone for good and refreshes shares of connections. Runs until
/// the process ends.
pub async fn expire_instances<P: Platform>(gateway: Arc<Gateway<P>>) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
        let drain = gateway.settings.drain;
        gateway.pools.refresh_shares(&gateway.cluster);
        for id in gateway.cluster.closed_instances() {
            gateway.pools.close_idle(&id);
        }
        gateway.cluster.expire_evacuations(Instant::now());
        for id in gateway.cluster.expire_instances(Instant::now(), drain) {
            gateway.pools.forget(&id);
            gateway.peers.forget(&id);
        }
    }
}

/// How often unused connections are closed where there are too few for all nodes.
const UNUSED_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Closes unused connections where there are too few for all nodes. Runs until
/// the process ends.
pub async fn close_unused_connections<P: Platform>(gateway: Arc<Gateway<P>>) {
    loop {
        if gateway.pools.closes_unused() {
            sleep(UNUSED_CHECK_INTERVAL).await;
            gateway.pools.close_unused();
        } else {
            sleep(EXPIRY_INTERVAL).await;
        }
    }
}
