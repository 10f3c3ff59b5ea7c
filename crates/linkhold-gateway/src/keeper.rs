//! Follows configuration and instances in the platform's store.
//!
//! Each call has its own time-out, since a store that is cut off or silent
//! gives no sign. Changes are asked for with a wait; when the store has
//! forgotten its history, or after any failure, everything is read again.

use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_events::Event;
use tokio::time::{sleep, timeout};

use crate::gateway::Gateway;
use crate::ports::{Cursor, DirectoryChange, Platform, StoreError};

/// How long an answer may take beyond that.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// First pause after a failure; it doubles.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause when the store throttles or refuses this node, at the least.
const LONGEST_REFUSED_PAUSE: Duration = Duration::from_millis(800);
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

async fn bounded<T>(
    call: impl Future<Output = Result<T, StoreError>>,
    limit: Duration,
) -> Result<T, StoreError> {
    timeout(limit, call)
        .await
        .unwrap_or(Err(StoreError::NoAnswer))
}

/// Keeps the configuration in force. Runs until the process ends.
pub async fn keep_configuration<P: Platform>(gateway: Arc<Gateway<P>>) {
    let mut contact = Contact::new(&gateway, "configuration");
    let mut cursor: Option<Cursor> = None;
    loop {
        if gateway.sources.wait_until_reading().await {
            cursor = None;
        }
        let answer = match cursor {
            Some(from) => {
                let wait = gateway.store_wait();
                let call = gateway.platform.follow_configuration(from, wait);
                bounded(call, wait + ANSWER_TIMEOUT).await
            }
            None => bounded(gateway.platform.read_configuration(), ANSWER_TIMEOUT).await,
        };
        match answer {
            Ok((configuration, next)) => {
                contact.answered();
                gateway.sources.configuration_answered();
                cursor = Some(next);
                if let Some(configuration) = configuration {
                    gateway.beliefs.adopt_configuration(configuration);
                }
            }
            Err(error) => {
                cursor = None;
                contact.failed(error).await;
            }
        }
    }
}

/// Keeps the list of instances. Runs until the process ends.
pub async fn keep_instances<P: Platform>(gateway: Arc<Gateway<P>>) {
    let mut contact = Contact::new(&gateway, "instances");
    let mut cursor: Option<Cursor> = None;
    loop {
        if gateway.sources.wait_until_reading().await {
            cursor = None;
        }
        let answer = match cursor {
            Some(from) => follow_instances(&gateway, from).await,
            None => read_instances(&gateway).await,
        };
        match answer {
            Ok(next) => {
                contact.answered();
                gateway.sources.instances_answered();
                cursor = Some(next);
            }
            Err(error) => {
                gateway.beliefs.directory_disturbed();
                cursor = None;
                contact.failed(error).await;
            }
        }
    }
}

async fn read_instances<P: Platform>(gateway: &Gateway<P>) -> Result<Cursor, StoreError> {
    let (listed, next) = bounded(gateway.platform.read_instances(), ANSWER_TIMEOUT).await?;
    gateway
        .beliefs
        .replace_instances(listed, next, Instant::now());
    Ok(next)
}

async fn follow_instances<P: Platform>(
    gateway: &Gateway<P>,
    from: Cursor,
) -> Result<Cursor, StoreError> {
    let wait = gateway.store_wait();
    let call = gateway.platform.follow_instances(from, wait);
    let (changes, next) = bounded(call, wait + ANSWER_TIMEOUT).await?;
    for change in changes {
        match change {
            DirectoryChange::Present(instance) => {
                gateway.beliefs.announce_instance(instance, Instant::now());
            }
            DirectoryChange::Absent(id) => gateway.beliefs.vanish_instance(&id, Instant::now()),
        }
    }
    gateway.beliefs.advance_directory(next);
    gateway.beliefs.directory_read();
    Ok(next)
}

/// Forgets instances that are gone for good and keeps shares of connections
/// up to date. Runs until the process ends.
pub async fn expire_instances<P: Platform>(gateway: Arc<Gateway<P>>) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
        let drain = gateway.settings.drain;
        gateway.pools.refresh_shares(&gateway.beliefs);
        for id in gateway.beliefs.expire_instances(Instant::now(), drain) {
            gateway.pools.forget(&id);
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
