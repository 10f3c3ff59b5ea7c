//! Follows configuration and instances in the platform's store.
//!
//! Each call has its own time-out, since a store that is cut off or silent
//! gives no sign. Changes are asked for with a wait; when the store has
//! forgotten its history, or after any failure, everything is read again.

use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::service::store_place::StorePlace;
use linkhold_events::Event;
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::ports::{DirectoryChange, Platform, StoreError};
use crate::store_call::{CallReason, READ_TIMEOUT, with_timeout};

/// First pause after a failure; it doubles.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause when the store throttles or refuses this node, at the least.
const LONGEST_REFUSED_PAUSE: Duration = Duration::from_millis(800);
/// How long instances are not asked for after a failure while the configuration
/// is not answered either. The store may be down in part.
const STORE_RETURN_TIME: Duration = Duration::from_millis(1_500);
/// Changes of instances that come closer together are taken in one answer:
/// many announce themselves at the same time.
const GATHER_TIME: Duration = Duration::from_millis(200);
/// How often entries that vanished are looked at.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// Tells lost and regained contact with the store, and paces attempts.
struct Contact<'a, P: Platform> {
    gateway: &'a Gateway<P>,
    what: &'static str,
    lost_at: Option<Instant>,
    pause: Duration,
}

impl<'a, P: Platform> Contact<'a, P> {
    fn new(gateway: &'a Gateway<P>, what: &'static str) -> Self {
        Self {
            gateway,
            what,
            lost_at: None,
            pause: FIRST_PAUSE,
        }
    }

    fn answered(&mut self) {
        self.pause = FIRST_PAUSE;
        if let Some(lost_at) = self.lost_at.take() {
            Event::info("store_regained")
                .field("reading", self.what)
                .field("lost_for_ms", lost_at.elapsed().as_millis())
                .log();
        }
    }

    async fn failed(&mut self, error: StoreError) {
        self.gateway.metrics.store_failures.add();
        if self.lost_at.is_none() {
            self.lost_at = Some(Instant::now());
            Event::warn("store_lost")
                .field("reading", self.what)
                .field("error", error)
                .log();
        }
        let spread = rand::random_range(0.5..1.5);
        sleep(self.pause.mul_f64(spread)).await;
        let longest = self.gateway.longest_store_pause();
        let longest = match error {
            StoreError::Refused => longest.max(LONGEST_REFUSED_PAUSE),
            _ => longest,
        };
        self.pause = (self.pause * 2).min(longest);
    }
}

/// Keeps in force what the operator asks for: the configuration, and evacuations of
/// zones. Runs until the process ends.
pub async fn refresh_configuration<P: Platform>(gateway: Arc<Gateway<P>>) {
    let mut contact = Contact::new(&gateway, "configuration");
    let mut place: Option<StorePlace> = None;
    loop {
        if gateway.sources.wait_until_reading().await {
            place = None;
        }
        gateway.metrics.store_calls.count(CallReason::Configuration);
        let answer = match place {
            Some(from) => follow_operator(&gateway, from).await,
            None => read_operator(&gateway).await,
        };
        match answer {
            Ok(next) => {
                contact.answered();
                gateway.sources.configuration_answered();
                place = Some(next);
            }
            Err(error) => {
                place = None;
                contact.failed(error).await;
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
    // Before the configuration, with which a node begins to serve.
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

/// Keeps the list of instances. Runs until the process ends.
pub async fn refresh_instances<P: Platform>(gateway: Arc<Gateway<P>>) {
    let mut contact = Contact::new(&gateway, "instances");
    let mut place: Option<StorePlace> = None;
    loop {
        if gateway.sources.wait_until_reading().await {
            place = None;
        }
        gateway.metrics.store_calls.count(CallReason::Instances);
        let answer = match place {
            Some(from) => follow_instances(&gateway, from).await,
            None => read_instances(&gateway).await,
        };
        match answer {
            Ok(next) => {
                contact.answered();
                place = Some(next);
            }
            Err(error) => {
                gateway.beliefs.directory_disturbed();
                place = None;
                contact.failed(error).await;
                // One of this node's tasks finds out that the store is back.
                gateway.sources.wait_for_store(STORE_RETURN_TIME).await;
            }
        }
    }
}

async fn read_instances<P: Platform>(gateway: &Gateway<P>) -> Result<StorePlace, StoreError> {
    let asked_at = Instant::now();
    let call = gateway.platform.read_instances();
    let (listed, next) = with_timeout(call, READ_TIMEOUT).await?;
    gateway.store_era.observe(next.era());
    gateway.sources.instances_answered();
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
    gateway.sources.instances_answered();
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
    // A question without news was held for the whole time.
    let held_until = asked_at + wait;
    let was_held = !has_changes && Instant::now() >= held_until;
    let as_of = if was_held { held_until } else { asked_at };
    gateway.beliefs.directory_vouched(as_of);
    if has_changes {
        sleep(GATHER_TIME).await;
    }
    Ok(next)
}

/// Forgets instances that are gone for good and keeps shares of connections
/// up to date. Runs until the process ends.
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

/// How often unused connections are looked for where nodes are many.
const UNUSED_INTERVAL: Duration = Duration::from_millis(100);

/// Closes unused connections where there are too few for all nodes. Runs until
/// the process ends.
pub async fn close_unused_connections<P: Platform>(gateway: Arc<Gateway<P>>) {
    loop {
        if gateway.pools.is_crowded() {
            sleep(UNUSED_INTERVAL).await;
            gateway.pools.close_unused();
        } else {
            sleep(EXPIRY_INTERVAL).await;
        }
    }
}
