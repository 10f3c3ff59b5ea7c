//! The pools of all instances and the share of connections this node may use.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use linkhold_core::membership::NodeId;
use linkhold_core::service::configuration::ServiceLimits;
use linkhold_core::service::connection_share::{self, Share};
use linkhold_core::service::instance::{Instance, InstanceId};

use crate::beliefs::{Beliefs, lock};
use crate::owners::{InstanceOwners, Owners};
use crate::pool::Pool;
use crate::ports::BackendConnection;
use crate::settings::GatewaySettings;

/// Nodes assumed to share the connections until the fleet is known.
const ASSUMED_NODES: usize = 9;

/// All pools of a node.
pub struct Pools<C> {
    pools: Mutex<HashMap<InstanceId, Arc<Pool<C>>>>,
    /// How many nodes share the connections, this one included.
    nodes: AtomicUsize,
    owners: Owners,
    started: Instant,
    /// Some service has so many nodes that connections are closed when unused.
    is_crowded: AtomicBool,
}

/// How long connections of this node's last life may still stand: an instance
/// drops those whose far end has gone dark after some seconds.
const LAST_LIFE: Duration = Duration::from_millis(3_300);

impl<C: BackendConnection> Pools<C> {
    /// No pools yet.
    pub fn new(settings: &GatewaySettings) -> Self {
        let own = NodeId::of_name(&settings.node);
        Self {
            pools: Mutex::default(),
            nodes: AtomicUsize::new(ASSUMED_NODES),
            owners: Owners::new(own, settings.places.clone()),
            started: Instant::now(),
            is_crowded: AtomicBool::new(false),
        }
    }

    /// The pool of an instance.
    pub fn pool(&self, instance: &Arc<Instance>, beliefs: &Beliefs) -> Arc<Pool<C>> {
        if let Some(pool) = lock(&self.pools).get(&instance.id) {
            return pool.clone();
        }
        let share = self.share(instance, beliefs);
        let pool = Arc::new(Pool::new(instance.clone(), share));
        lock(&self.pools).insert(instance.id.clone(), pool.clone());
        pool
    }

    /// Who owns the connections to an instance; `None` if all nodes hold some: they
    /// are enough, and cold instances may get anything.
    pub(crate) fn owners_of(
        &self,
        instance: &Instance,
        beliefs: &Beliefs,
    ) -> Option<Arc<InstanceOwners>> {
        let limits = beliefs.limits(&instance.service);
        let most = most_connections(limits);
        let nodes = self.nodes.load(Ordering::Relaxed);
        // Few know whether an instance is warm.
        let has_warm_up = limits.is_some_and(|limits| limits.warm_up.is_some());
        if !has_warm_up && !connection_share::is_crowded(most, nodes) {
            return None;
        }
        let owners = self.owners.of(instance);
        (owners.count > 0).then_some(owners)
    }

    /// The owners of all instances.
    pub(crate) fn owners(&self) -> &Owners {
        &self.owners
    }

    fn share(&self, instance: &Instance, beliefs: &Beliefs) -> Share {
        let most = most_connections(beliefs.limits(&instance.service));
        let nodes = self.nodes.load(Ordering::Relaxed);
        let Some(owners) = self.owners_of(instance, beliefs) else {
            let has_just_started = self.started.elapsed() < LAST_LIFE;
            return connection_share::equal(most, nodes, has_just_started);
        };
        self.is_crowded.store(true, Ordering::Relaxed);
        if owners.includes_self {
            connection_share::of_owner(most, owners.count)
        } else {
            connection_share::of_non_owner(most)
        }
    }

    /// Takes in a new number of nodes.
    pub fn set_nodes(&self, nodes: usize, beliefs: &Beliefs) {
        self.nodes.store(nodes, Ordering::Relaxed);
        self.refresh_shares(beliefs);
    }

    /// Works out all shares anew: limits may have changed, or the node is no
    /// longer a new one.
    pub fn refresh_shares(&self, beliefs: &Beliefs) {
        self.is_crowded.store(false, Ordering::Relaxed);
        let pools: Vec<Arc<Pool<C>>> = lock(&self.pools).values().cloned().collect();
        for pool in pools {
            pool.set_share(self.share(pool.instance(), beliefs));
        }
    }

    /// Closes the idle connections of an instance and forgets its pool.
    pub fn forget(&self, id: &InstanceId) {
        self.owners.forget(id);
        if let Some(pool) = lock(&self.pools).remove(id) {
            pool.close_idle();
        }
    }

    /// Closes the idle connections of an instance.
    pub fn close_idle(&self, id: &InstanceId) {
        if let Some(pool) = lock(&self.pools).get(id) {
            pool.close_idle();
        }
    }

    /// Whether connections that are not used are to be closed soon.
    pub fn is_crowded(&self) -> bool {
        self.is_crowded.load(Ordering::Relaxed)
    }

    /// Closes connections that have not been used for a while, but for those
    /// that are kept ready.
    pub fn close_unused(&self) {
        for pool in lock(&self.pools).values() {
            pool.close_unused();
        }
    }

    /// Connections opened since the start, over all present pools.
    pub fn opened(&self) -> usize {
        lock(&self.pools).values().map(|pool| pool.opened()).sum()
    }

    /// Connections open now.
    pub fn open_connections(&self) -> usize {
        lock(&self.pools)
            .values()
            .map(|pool| pool.open_connections())
            .sum()
    }
}

fn most_connections(limits: Option<ServiceLimits>) -> usize {
    limits.map_or(connection_share::UNKNOWN_LIMIT, |it| it.max_connections)
}
