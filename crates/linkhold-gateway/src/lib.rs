//! Engine of linkhold for services whose instances announce themselves.
//!
//! The engine runs callers' statements on the instances of their services. It
//! meets the world through the traits in [`ports`]; an adapter implements them
//! for one platform. What is decided (freshness, placement, outcomes, shares
//! of connections, failover) is decided by `linkhold-core`, without I/O.

mod attempt;
mod batch;
pub mod beliefs;
mod evidence_probe;
mod gateway;
mod keeper;
pub mod lifecycle;
mod marks;
pub mod metrics;
pub mod places;
mod pool;
mod pools;
pub mod ports;
mod session;
pub mod settings;
mod statement;
mod transaction;

use std::sync::Arc;

pub use gateway::Gateway;
pub use session::serve;

use ports::Platform;

/// Starts the tasks that keep a node's beliefs. They run until the process
/// ends.
pub fn start_tasks<P: Platform>(gateway: &Arc<Gateway<P>>) {
    tokio::spawn(keeper::keep_configuration(gateway.clone()));
    tokio::spawn(keeper::keep_instances(gateway.clone()));
    tokio::spawn(keeper::expire_instances(gateway.clone()));
}
