//! Instances that are not listed any more and may still hold commits.
//!
//! An instance whose entry is gone may have lost only its way to the store: it receives
//! commits and counts for their acknowledgement, and may return with its log.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::configuration::ServiceName;
use super::instance::{Instance, InstanceId};

/// How long an instance that is not listed counts as one that may hold commits, unless
/// another one takes over its log: longer than an instance is usually cut off or down.
/// A service whose instance is gone for good is not without a primary for ever.
pub const DEPARTED_RETENTION: Duration = Duration::from_secs(600);

#[derive(Clone, Debug)]
struct Departed {
    id: InstanceId,
    address: SocketAddr,
    since: Instant,
}

/// Instances that have departed, by service.
#[derive(Clone, Debug, Default)]
pub struct DepartedInstances(HashMap<ServiceName, Vec<Departed>>);

impl DepartedInstances {
    /// Records that an instance is not listed any more.
    pub fn record(&mut self, instance: &Instance, now: Instant) {
        let departed = self.0.entry(instance.service.clone()).or_default();
        departed.retain(|it| now < it.since + DEPARTED_RETENTION);
        departed.push(Departed {
            id: instance.id.clone(),
            address: instance.address,
            since: now,
        });
    }

    /// Records that an instance is listed: it has returned, or has taken over the log of
    /// the one that was at its address.
    pub fn record_return(&mut self, instance: &Instance) {
        if let Some(departed) = self.0.get_mut(&instance.service) {
            departed.retain(|it| it.id != instance.id && it.address != instance.address);
        }
    }

    /// Addresses of a service's departed instances that may still hold commits.
    pub fn addresses(&self, service: &str, now: Instant) -> impl Iterator<Item = SocketAddr> {
        let departed = self.0.get(service).into_iter().flatten();
        departed
            .filter(move |it| now < it.since + DEPARTED_RETENTION)
            .map(|it| it.address)
    }
}
