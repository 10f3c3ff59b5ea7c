//! Tasks that refresh configuration and instances from the platform's store, expire
//! instances and close unused connections.
//!
//! Each call has its own timeout, since a store that is cut off or silent
//! gives no sign. Changes are requested with a wait; when the store no longer has
//! the history since, or after any failure, everything is read again.

use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::service::store_place::StorePlace;
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
    let mut revision: Option<StorePlace> = None;
    loop {
        if gateway.sources.wait_until_reading().await {
            revision = None;
        }
        gateway.metrics.store_calls.count(CallReason::Configuration);
        let answer = match revision {
            Some(from) => follow_operator(&gateway, from).await,
            None => read_operator(&gateway).await,
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

async fn read_operator<P: Platform>(gateway: &Gateway<P>) -> Result<StorePlace, StoreError> {
    let asked_at = Instant::now();
    let call = gateway.platform.read_operator();
    let (state, next) = with_timeout(call, READ_TIMEOUT).await?;
    gateway.store_era.observe(next.era());
    let beliefs = &gateway.beliefs;
    // Evacuations come first: a node starts to serve once it has a configuration.
    beliefs.replace_evacuations(state.evacuated, next, Instant::now());
    beliefs.evacuations_vouched(asked_at);
    if let Some(configuration) = state.configuration {
        beliefs.adopt_configuration(configuration);
    }
    Ok(next)
}

async fn follow_operator<P: Platform>(
    gateway: &Gateway<P>,
    from: StorePlace,
) -> Result<StorePlace, StoreError> {
    let asked_at = Instant::now();
    let wait = gateway.store_wait();
    let call = gateway.platform.follow_operator(from, wait);
    let (changes, next) = with_timeout(call, wait + READ_TIMEOUT).await?;
    let beliefs = &gateway.beliefs;
    beliefs.change_evacuations(changes.evacuations, next, Instant::now());
    beliefs.evacuations_vouched(asked_at);
    if let Some(configuration) = changes.configuration {
        beliefs.adopt_configuration(configuration);
    }
    Ok(next)
}

/// Refreshes the list of instances. Runs until the process ends.
pub async fn refresh_instances<P: Platform>(gateway: Arc<Gateway<P>>) {
    let mut contact = StoreContact::new(&gateway, "instances");
    let mut revision: Option<StorePlace> = None;
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
                gateway.beliefs.directory_disturbed();
                revision = None;
                contact.back_off(error).await;
                // The task that refreshes the configuration detects that the store is back.
                gateway.sources.wait_for_store(STORE_RETURN_TIMEOUT).await;
            }
        }
    }
}

async fn read_instances<P: Platform>(gateway: &Gateway<P>) -> Result<StorePlace, StoreError> {
    let asked_at = Instant::now();
    let call = gateway.platform.read_instances();
    let (listed, next) = with_timeout(call, READ_TIMEOUT).await?;
    gateway.store_era.observe(next.era());
    gateway.sources.record_instances_answer();
    gateway
        .beliefs
        .replace_instances(listed, next, Instant::now());
    gateway.beliefs.directory_vouched(asked_at);
    Ok(next)
}

async fn follow_instances<P: Platform>(
    gateway: &Gateway<P>,
    from: StorePlace,
) -> Result<StorePlace, StoreError> {
    let asked_at = Instant::now();
    let wait = gateway.store_wait();
    let call = gateway.platform.follow_instances(from, wait);
    let (changes, next) = with_timeout(call, wait + READ_TIMEOUT).await?;
    gateway.sources.record_instances_answer();
    let has_changes = !changes.is_empty();
    for change in changes {
        match change {
            DirectoryChange::Present(instance) => {
                gateway.beliefs.announce_instance(instance, Instant::now());
            }
            DirectoryChange::Absent(name) => {
                gateway.beliefs.vanish_instance(&name, Instant::now());
            }
        }
    }
    gateway.beliefs.advance_directory(next);
    gateway.beliefs.directory_read();
    // The store held a request without changes for the whole wait.
    let held_until = asked_at + wait;
    let was_held = !has_changes && Instant::now() >= held_until;
    let as_of = if was_held { held_until } else { asked_at };
    gateway.beliefs.directory_vouched(as_of);
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
        gateway.pools.refresh_shares(&gateway.beliefs);
        for id in gateway.beliefs.closed_instances() {
            gateway.pools.close_idle(&id);
        }
        gateway.beliefs.expire_evacuations(Instant::now());
        for id in gateway.beliefs.expire_instances(Instant::now(), drain) {
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
        if gateway.pools.is_crowded() {
            sleep(UNUSED_CHECK_INTERVAL).await;
            gateway.pools.close_unused();
        } else {
            sleep(EXPIRY_INTERVAL).await;
        }
    }
}
