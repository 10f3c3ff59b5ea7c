//! Engine of linkhold for services whose instances announce themselves.
//!
//! The engine runs callers' statements on the instances of their services. It accesses
//! the platform through the traits in [`ports`]; an adapter implements them for one
//! platform. The decisions on freshness, placement, outcomes, shares of connections and
//! failover are made by `linkhold-core`, without I/O.

mod admission;
mod budget_environment;
pub mod cluster_state;
mod confirmation;
mod evidence;
mod failover;
mod feed;
mod fleet;
mod followers;
mod forward;
pub mod gate;
mod gateway;
mod lease_format;
pub mod lifecycle;
mod liveness;
mod log_group;
pub mod metrics;
mod name_conflicts;
mod observations;
mod owners;
mod peers;
mod permission;
mod permission_watch;
mod pool;
mod pools;
pub mod ports;
mod refresh;
mod registration;
pub mod registry;
mod relay;
mod request;
mod session;
pub mod settings;
mod sources;
mod state;
pub mod store_call;
mod store_era;
mod warm_up;
mod watchers;
pub mod zone_map;

use std::sync::Arc;

pub use gateway::Gateway;
pub use session::serve;

use ports::Platform;

/// Starts a node's background tasks. They run until the process ends.
pub fn start_tasks<P: Platform>(gateway: &Arc<Gateway<P>>) {
    tokio::spawn(refresh::refresh_configuration(gateway.clone()));
    tokio::spawn(refresh::refresh_instances(gateway.clone()));
    tokio::spawn(refresh::expire_instances(gateway.clone()));
    tokio::spawn(refresh::close_unused_connections(gateway.clone()));
    tokio::spawn(registration::keep_registered(gateway.clone()));
    tokio::spawn(permission_watch::watch(gateway.clone()));
    tokio::spawn(confirmation::keep_confirmed(gateway.clone()));
    tokio::spawn(peers::answer_questions(gateway.clone()));
    tokio::spawn(feed::serve_peers(gateway.clone()));
    tokio::spawn(sources::choose_source(gateway.clone()));
    tokio::spawn(failover::watch_primaries(gateway.clone()));
    tokio::spawn(failover::claim_leases_in_advance(gateway.clone()));
    tokio::spawn(failover::update_promotion_records(gateway.clone()));
    tokio::spawn(log_group::keep_recorded(gateway.clone()));
    tokio::spawn(log_group::keep_proved(gateway.clone()));
    tokio::spawn(warm_up::watch_instances(gateway.clone()));
}
