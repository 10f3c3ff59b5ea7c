//! Instances and their announcements.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::configuration::ServiceName;

/// Separates an instance's name from the start time of its incarnation in an identity.
pub const INCARNATION_SEPARATOR: char = '@';

/// Identity of one incarnation of an instance; never used again.
///
/// A restarted instance has lost its data and its state. Its new incarnation has
/// another identity, so that whatever was known of the old one ends with it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId(pub Arc<str>);

impl InstanceId {
    /// The incarnation of a named instance that started at a moment, in Unix
    /// milliseconds; the only one if the instance reports no start time.
    pub fn of_incarnation(name: &str, started_at: Option<u64>) -> Self {
        match started_at {
            Some(started_at) => Self(format!("{name}{INCARNATION_SEPARATOR}{started_at}").into()),
            None => Self(name.into()),
        }
    }

    /// The name that all incarnations of the instance share.
    pub fn name(&self) -> &str {
        let parts = self.0.split_once(INCARNATION_SEPARATOR);
        parts.map_or(&self.0, |(name, _)| name)
    }
}

impl fmt::Display for InstanceId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Role that an instance announces.
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
    /// Leaving: it finishes its open work.
    Draining,
}

/// An instance's announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its identity.
    pub id: InstanceId,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Address on which it listens; another instance may use it later.
    pub address: SocketAddr,
    /// Zone it runs in.
    pub zone: Arc<str>,
    /// Number of statements that it runs at once.
    pub capacity: usize,
    /// Whether it takes new work.
    pub lifecycle: Lifecycle,
    /// Role that it announces.
    pub role: Role,
    /// Remaining warm-up time, as of when it wrote its entry.
    pub warm_up_left: Duration,
}
