//! Instances as they announce themselves.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::configuration::ServiceName;

/// Identity of one life of an instance; never used again.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId(pub Arc<str>);

impl fmt::Display for InstanceId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Role an instance gives itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes writes.
    Primary,
    /// Follows a primary.
    Replica,
}

/// Whether an instance takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// In service.
    Ready,
    /// Leaving: it finishes what it has.
    Draining,
}

/// What an instance announces about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its identity.
    pub id: InstanceId,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it listens; may be used again by another instance later.
    pub address: SocketAddr,
    /// Zone it runs in.
    pub zone: Arc<str>,
    /// Statements it runs at once.
    pub capacity: usize,
    /// Whether it takes new work.
    pub lifecycle: Lifecycle,
    /// Role it gives itself.
    pub role: Role,
    /// How much longer it is cold, as of when it wrote its entry.
    pub warm_up_left: Duration,
}
