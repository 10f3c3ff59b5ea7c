//! Watches the instances of services that bound what cold ones get, each by a
//! connection of its own: a restart breaks it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::service::instance::{Instance, InstanceId};
use linkhold_core::service::warm_up::QUESTION_INTERVAL;
use linkhold_core::tenancy::ConnectionHolder;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::gateway::Gateway;
use crate::ports::{BackendConnection, BackendConnector, Command, Platform};

/// How often it is looked which instances are to be watched.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);
/// How long an instance may take to connect, or to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause before a connection is tried again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(400);

/// A task that ends with this.
struct Watcher(JoinHandle<()>);

impl Drop for Watcher {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Watches those instances whose connections this node owns. Runs until the process
/// ends.
pub(crate) async fn keep_watching<P: Platform>(gateway: Arc<Gateway<P>>) {
    let mut watchers: HashMap<InstanceId, Watcher> = HashMap::new();
    loop {
        sleep(LOOK_INTERVAL).await;
        let bound = bound_instances(&gateway);
        gateway.warm_ups.retain(&bound);
        let wanted: Vec<Arc<Instance>> = bound
            .into_iter()
            .filter(|instance| is_watched_here(&gateway, instance))
            .collect();
        watchers.retain(|id, _| wanted.iter().any(|instance| instance.id == *id));
        for instance in wanted {
            let start = || Watcher(tokio::spawn(watch(gateway.clone(), instance.clone())));
            watchers.entry(instance.id.clone()).or_insert_with(start);
        }
    }
}

/// Instances of services that bound what cold ones get.
fn bound_instances<P: Platform>(gateway: &Gateway<P>) -> Vec<Arc<Instance>> {
    let Some(configuration) = gateway.cluster.configuration() else {
        return Vec::new();
    };
    let services = configuration.services.iter();
    services
        .filter(|(_, limits)| limits.warm_up.is_some())
        .flat_map(|(service, _)| gateway.cluster.instances(service))
        .collect()
}

fn is_watched_here<P: Platform>(gateway: &Gateway<P>, instance: &Instance) -> bool {
    let owners = gateway.pools.owners().of(instance);
    owners.includes_self && !gateway.is_leaving() && !gateway.cluster.is_closed(instance)
}

/// Watches an instance until it is aborted.
async fn watch<P: Platform>(gateway: Arc<Gateway<P>>, instance: Arc<Instance>) {
    let id = &instance.id;
    // Dropped with the task, however it ends.
    let _unwatch = Unwatch {
        gateway: &gateway,
        id,
    };
    loop {
        let connecting = gateway
            .platform
            .connect(&instance, &ConnectionHolder::NoTenant);
        if let Ok(Ok(connection)) = timeout(ANSWER_TIMEOUT, connecting).await {
            let opened_at = Instant::now();
            gateway
                .warm_ups
                .update(id, |known| known.warmth.watched(opened_at));
            ask_until_broken(&gateway, id, connection).await;
            gateway
                .warm_ups
                .update(id, |known| known.warmth.unwatched());
        }
        sleep(RECONNECT_PAUSE.mul_f64(rand::random_range(0.7..1.3))).await;
    }
}

struct Unwatch<'a, P: Platform> {
    gateway: &'a Gateway<P>,
    id: &'a InstanceId,
}

impl<P: Platform> Drop for Unwatch<'_, P> {
    fn drop(&mut self) {
        self.gateway
            .warm_ups
            .update(self.id, |known| known.warmth.unwatched());
    }
}

async fn ask_until_broken<P: Platform>(
    gateway: &Gateway<P>,
    id: &InstanceId,
    mut connection: <P as BackendConnector>::Connection,
) {
    // It takes none of the instance's slots.
    let question = [
        Command::Begin {
            read_only: true,
            fence: None,
        },
        Command::Rollback,
    ];
    let doubt = gateway.warm_ups.update(id, |known| known.doubt.clone());
    loop {
        let sent_at = Instant::now();
        let asking = timeout(ANSWER_TIMEOUT, connection.exchange(&question));
        if !matches!(asking.await, Ok(Ok(_))) {
            return;
        }
        gateway
            .warm_ups
            .update(id, |known| known.warmth.answered(sent_at));
        // A doubt is as good a reason to ask again as time passing.
        let _ = timeout(QUESTION_INTERVAL, doubt.notified()).await;
    }
}
