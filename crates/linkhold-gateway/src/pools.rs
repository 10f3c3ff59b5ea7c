//! The pools of all instances and the share of connections this node may use.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use linkhold_core::membership::NodeId;
use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::connection_share;
use linkhold_core::service::instance::{Instance, InstanceId};
use linkhold_core::service::placement::Distance;

use crate::beliefs::{Beliefs, lock};
use crate::places::Places;
use crate::pool::Pool;
use crate::ports::BackendConnection;
use crate::settings::GatewaySettings;

/// Nodes assumed to share the connections until the fleet is known.
const ASSUMED_NODES: usize = 9;

/// How many nodes share the connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeCounts {
    /// All nodes, this one included.
    pub all: usize,
    /// Those in this node's region, this one included; 0 where not counted.
    pub nearby: usize,
}

/// All pools of a node.
pub struct Pools<C> {
    pools: Mutex<HashMap<InstanceId, Arc<Pool<C>>>>,
    limits: Mutex<HashMap<ServiceName, Arc<AtomicUsize>>>,
    node: NodeId,
    places: Places,
    nodes: Mutex<NodeCounts>,
    started: Instant,
    /// Some service has so many nodes that connections are not held ready.
    is_crowded: AtomicBool,
}

/// How long connections of this node's last life may still stand: an instance
/// drops those whose far end has gone dark after some seconds.
const LAST_LIFE: Duration = Duration::from_millis(3_300);

impl<C: BackendConnection> Pools<C> {
    /// No pools yet.
    pub fn new(settings: &GatewaySettings) -> Self {
        Self {
            pools: Mutex::default(),
            limits: Mutex::default(),
            node: NodeId::of_name(&settings.node),
            places: settings.places.clone(),
            nodes: Mutex::new(NodeCounts {
                all: ASSUMED_NODES,
                nearby: 0,
            }),
            started: Instant::now(),
            is_crowded: AtomicBool::new(false),
        }
    }

    /// The pool of an instance.
    pub fn pool(&self, instance: &Arc<Instance>, beliefs: &Beliefs) -> Arc<Pool<C>> {
        if let Some(pool) = lock(&self.pools).get(&instance.id) {
            return pool.clone();
        }
        let limit = self.limit(&instance.service, beliefs);
        let pool = Arc::new(Pool::new(instance.clone(), limit));
        pool.keep_ready(self.kept_ready(instance, beliefs));
        lock(&self.pools).insert(instance.id.clone(), pool.clone());
        pool
    }

    fn limit(&self, service: &ServiceName, beliefs: &Beliefs) -> Arc<AtomicUsize> {
        let mut limits = lock(&self.limits);
        let limit = limits.entry(service.clone()).or_default().clone();
        limit.store(self.share(service, beliefs), Ordering::Relaxed);
        limit
    }

    fn share(&self, service: &str, beliefs: &Beliefs) -> usize {
        let most = most_connections(service, beliefs);
        let nodes = lock(&self.nodes).all.max(1);
        if connection_share::is_crowded(most, nodes) {
            self.is_crowded.store(true, Ordering::Relaxed);
        }
        let has_just_started = self.started.elapsed() < LAST_LIFE;
        connection_share::most_at_a_time(most, nodes, has_just_started)
    }

    /// Connections to an instance that are not closed when they are not used.
    fn kept_ready(&self, instance: &Instance, beliefs: &Beliefs) -> usize {
        if self.places.distance(&instance.zone) == Distance::Remote {
            return 0;
        }
        let most = most_connections(&instance.service, beliefs);
        let nearby = lock(&self.nodes).nearby;
        let is_primary = beliefs
            .primary(&instance.service)
            .is_some_and(|primary| primary.id == instance.id);
        connection_share::kept_ready(most, nearby, is_primary, self.node, &instance.id)
    }

    /// Takes in new numbers of nodes.
    pub fn set_nodes(&self, nodes: NodeCounts, beliefs: &Beliefs) {
        *lock(&self.nodes) = nodes;
        self.refresh_shares(beliefs);
    }

    /// Works out all shares anew: limits may have changed, or the node is no
    /// longer a new one.
    pub fn refresh_shares(&self, beliefs: &Beliefs) {
        self.is_crowded.store(false, Ordering::Relaxed);
        for (service, limit) in lock(&self.limits).iter() {
            limit.store(self.share(service, beliefs), Ordering::Relaxed);
        }
        for pool in lock(&self.pools).values() {
            pool.keep_ready(self.kept_ready(pool.instance(), beliefs));
        }
    }

    /// Closes the idle connections of an instance and forgets its pool.
    pub fn forget(&self, id: &InstanceId) {
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
    pub fn close_unused(&self, idle_for: Duration) {
        for pool in lock(&self.pools).values() {
            pool.close_unused(idle_for);
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

fn most_connections(service: &str, beliefs: &Beliefs) -> usize {
    beliefs
        .limits(service)
        .map_or(connection_share::UNKNOWN_LIMIT, |limits| {
            limits.max_connections
        })
}
