//! The connection pools of all instances, and this node's share of the connections.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use linkhold_core::membership::NodeId;
use linkhold_core::service::configuration::ServiceLimits;
use linkhold_core::service::connection_share::{self, Share};
use linkhold_core::service::instance::{Instance, InstanceId};

use crate::cluster_state::{ClusterState, lock};
use crate::owners::{InstanceOwners, Owners};
use crate::pool::Pool;
use crate::ports::BackendConnection;
use crate::settings::GatewaySettings;

/// Number of nodes assumed to share the connections until the fleet is known.
const ASSUMED_NODES: usize = 9;

/// All pools of a node.
pub struct Pools<C> {
    pools: Mutex<HashMap<InstanceId, Arc<Pool<C>>>>,
    /// Number of nodes that share the connections, including this one.
    nodes: AtomicUsize,
    owners: Owners,
    started_at: Instant,
    /// Whether few nodes own the connections to some instance, so that unused ones are
    /// closed.
    closes_unused: AtomicBool,
}

/// How long connections of this node's previous incarnation may stay open: an instance
/// drops a connection some seconds after its other end went silent.
const PREVIOUS_CONNECTIONS_TIME: Duration = Duration::from_millis(3_300);

impl<C: BackendConnection> Pools<C> {
    /// Creates an empty set of pools.
    pub fn new(settings: &GatewaySettings) -> Self {
        let own = NodeId::of_name(&settings.node);
        Self {
            pools: Mutex::default(),
            nodes: AtomicUsize::new(ASSUMED_NODES),
            owners: Owners::new(own, settings.zone_map.clone()),
            started_at: Instant::now(),
            closes_unused: AtomicBool::new(false),
        }
    }

    /// The pool of an instance, created on first use.
    pub fn pool(&self, instance: &Arc<Instance>, cluster: &ClusterState) -> Arc<Pool<C>> {
        if let Some(pool) = lock(&self.pools).get(&instance.id) {
            return pool.clone();
        }
        let share = self.share(instance, cluster);
        let pool = Arc::new(Pool::new(instance.clone(), share));
        lock(&self.pools).insert(instance.id.clone(), pool.clone());
        pool
    }

    /// The owners of the connections to an instance; `None` if all nodes hold some,
    /// which is so if there are enough of them and the service has no warm-up limit.
    pub(crate) fn designated_owners(
        &self,
        instance: &Instance,
        cluster: &ClusterState,
    ) -> Option<Arc<InstanceOwners>> {
        let limits = cluster.limits(&instance.service);
        let limit = connection_limit(limits);
        let nodes = self.nodes.load(Ordering::Relaxed);
        // Only owners know whether an instance is warm.
        let has_warm_up = limits.is_some_and(|limits| limits.warm_up.is_some());
        if !has_warm_up && !connection_share::needs_owners(limit, nodes) {
            return None;
        }
        let owners = self.owners.of(instance);
        (owners.count > 0).then_some(owners)
    }

    /// The owners of all instances.
    pub(crate) fn owners(&self) -> &Owners {
        &self.owners
    }

    fn share(&self, instance: &Instance, cluster: &ClusterState) -> Share {
        let limit = connection_limit(cluster.limits(&instance.service));
        let nodes = self.nodes.load(Ordering::Relaxed);
        let Some(owners) = self.designated_owners(instance, cluster) else {
            let has_just_started = self.started_at.elapsed() < PREVIOUS_CONNECTIONS_TIME;
            return connection_share::equal(limit, nodes, has_just_started);
        };
        self.closes_unused.store(true, Ordering::Relaxed);
        if owners.includes_self {
            connection_share::of_owner(limit, owners.count)
        } else {
            connection_share::of_non_owner(limit)
        }
    }

    /// Sets the number of nodes and recomputes all shares.
    pub fn set_node_count(&self, nodes: usize, cluster: &ClusterState) {
        self.nodes.store(nodes, Ordering::Relaxed);
        self.refresh_shares(cluster);
    }

    /// Recomputes all shares: limits may have changed, or the node may no longer count
    /// as just started.
    pub fn refresh_shares(&self, cluster: &ClusterState) {
        self.closes_unused.store(false, Ordering::Relaxed);
        let pools: Vec<Arc<Pool<C>>> = lock(&self.pools).values().cloned().collect();
        for pool in pools {
            pool.set_share(self.share(pool.instance(), cluster));
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

    /// Whether unused connections are to be closed.
    pub fn closes_unused(&self) -> bool {
        self.closes_unused.load(Ordering::Relaxed)
    }

    /// Closes connections that have not been used for a while, except for those that
    /// are kept ready.
    pub fn close_unused(&self) {
        for pool in lock(&self.pools).values() {
            pool.close_unused();
        }
    }

    /// Number of connections opened since the start, over all present pools.
    pub fn opened(&self) -> usize {
        lock(&self.pools).values().map(|pool| pool.opened()).sum()
    }

    /// Number of connections that are open or being opened.
    pub fn open_connections(&self) -> usize {
        lock(&self.pools)
            .values()
            .map(|pool| pool.open_connections())
            .sum()
    }
}

fn connection_limit(limits: Option<ServiceLimits>) -> usize {
    limits.map_or(connection_share::UNKNOWN_LIMIT, |it| it.max_connections)
}
