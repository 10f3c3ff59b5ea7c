//! The stored record of which logs may hold commits of a service with synchronous
//! replicas ([`linkhold_core::service::log_group`]).
//!
//! Nothing is read or written for services without synchronous replicas.

mod format;
mod proof;
mod record;

use std::time::{Duration, Instant};

use linkhold_core::service::configuration::ServiceName;
use tokio::time::timeout_at;

use crate::gateway::Gateway;
use crate::ports::Platform;

pub(crate) use proof::keep_proved;
pub(crate) use record::{keep_recorded, read_holders};

/// How long a commit that was not sent yet waits for the record of its service: two
/// tries of a read and a write, each call of which takes a few milliseconds.
pub(crate) const RECORD_TIMEOUT: Duration = Duration::from_millis(500);

/// Waits until commits of a service may be acknowledged, which is when the stored record
/// covers every listed instance; returns `false` if it does not by
/// `deadline`.
pub(crate) async fn wait_until_recorded<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
    deadline: Instant,
) -> bool {
    if is_recorded(gateway, service) {
        return true;
    }
    let mut changes = gateway.log_groups.subscribe();
    loop {
        changes.mark_unchanged();
        if is_recorded(gateway, service) {
            return true;
        }
        gateway.log_groups.request(service);
        if timeout_at(deadline.into(), changes.changed())
            .await
            .is_err()
        {
            return false;
        }
    }
}

/// Whether commits of a service may be acknowledged.
fn is_recorded<P: Platform>(gateway: &Gateway<P>, service: &str) -> bool {
    if !gateway.cluster.forbids_loss(service) {
        return true;
    }
    let instances = gateway.cluster.listed_instances(service);
    gateway.log_groups.covers(
        service,
        instances.iter().map(|instance| &instance.id),
        gateway.cluster.guaranteed_replicas(service),
        gateway.store_era.latest(),
    )
}
