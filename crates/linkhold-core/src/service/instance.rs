//! Instances as they announce themselves.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::configuration::ServiceName;

/// Stands between an instance's name and the life that an identity is of.
pub const INCARNATION_SEPARATOR: char = '@';

/// Identity of one life of an instance; never used again.
///
/// An instance that starts again under its name holds nothing and knows nothing of
/// before. Its new life is another identity, so that whatever was learnt of the old one
/// ends with it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId(pub Arc<str>);

impl InstanceId {
    /// The life that began at a moment, in Unix milliseconds, of the instance with a name;
    /// the only one if the instance tells none.
    pub fn of_incarnation(name: &str, born: Option<u64>) -> Self {
        match born {
            Some(born) => Self(format!("{name}{INCARNATION_SEPARATOR}{born}").into()),
            None => Self(name.into()),
        }
    }

    /// The name that all lives of the instance share.
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
