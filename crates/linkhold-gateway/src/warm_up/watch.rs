//! Watches the instances of services that limit the load on cold instances, each over a
//! connection of its own, which a restart breaks.

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

/// How often the set of watched instances is updated.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long an instance may take to accept a connection or to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);
/// Mean pause before a reconnect.
const RECONNECT_PAUSE: Duration = Duration::from_millis(400);

/// A task that is aborted when this is dropped.
struct Watcher(JoinHandle<()>);

impl Drop for Watcher {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Watches the instances whose connections this node owns. Runs until the process ends.
pub(crate) async fn watch_instances<P: Platform>(gateway: Arc<Gateway<P>>) {
    let mut watchers: HashMap<InstanceId, Watcher> = HashMap::new();
    loop {
        sleep(CHECK_INTERVAL).await;
        let limited = limited_instances(&gateway);
        gateway.warm_ups.retain(&limited);
        let wanted: Vec<Arc<Instance>> = limited
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

/// Instances of services that limit the load on cold instances.
fn limited_instances<P: Platform>(gateway: &Gateway<P>) -> Vec<Arc<Instance>> {
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

/// Watches an instance until the task is aborted.
async fn watch<P: Platform>(gateway: Arc<Gateway<P>>, instance: Arc<Instance>) {
    let id = &instance.id;
    // Dropped with the task, whether it ends or is aborted.
    let _guard = WatchGuard {
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
                .update(id, |known| known.warmth.watch_opened(opened_at));
            probe_until_broken(&gateway, id, connection).await;
            gateway
                .warm_ups
                .update(id, |known| known.warmth.watch_closed());
        }
        sleep(RECONNECT_PAUSE.mul_f64(rand::random_range(0.7..1.3))).await;
    }
}

struct WatchGuard<'a, P: Platform> {
    gateway: &'a Gateway<P>,
    id: &'a InstanceId,
}

impl<P: Platform> Drop for WatchGuard<'_, P> {
    fn drop(&mut self) {
        self.gateway
            .warm_ups
            .update(self.id, |known| known.warmth.watch_closed());
    }
}

async fn probe_until_broken<P: Platform>(
    gateway: &Gateway<P>,
    id: &InstanceId,
    mut connection: <P as BackendConnector>::Connection,
) {
    // An empty transaction takes none of the instance's slots.
    let probe = [
        Command::Begin {
            read_only: true,
            fence: None,
        },
        Command::Rollback,
    ];
    let needs_answer = gateway
        .warm_ups
        .update(id, |known| known.needs_answer.clone());
    loop {
        let sent_at = Instant::now();
        let answering = timeout(ANSWER_TIMEOUT, connection.exchange(&probe));
        if !matches!(answering.await, Ok(Ok(_))) {
            return;
        }
        gateway
            .warm_ups
            .update(id, |known| known.warmth.record_answer(sent_at));
        // The next probe is due after the interval, or at once if an answer is needed.
        let _ = timeout(QUESTION_INTERVAL, needs_answer.notified()).await;
    }
}
