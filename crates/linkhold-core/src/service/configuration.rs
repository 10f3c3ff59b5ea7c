//! The configuration in force: which service serves which database, the guarantees and
//! limits of its statements, and which callers may use it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::outcome::NotRun;
use crate::tenancy::{ConnectionHolder, Credential, Tenancy};

use super::regions::AllowedRegions;
use super::warm_up::WarmUpLimit;

/// Name of a service, a group of instances with one primary.
pub type ServiceName = Arc<str>;

/// Name of a database, by which callers ask for it.
pub type DatabaseName = Arc<str>;

/// How fresh the reads of a route must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// Every acknowledged commit is visible.
    Latest,
    /// Commits acknowledged longer ago than the bound are visible.
    BoundedStaleness(Duration),
    /// As [`Consistency::BoundedStaleness`], and all commits of the session.
    ReadYourWrites(Duration),
}

/// Settings for the statements of one database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Service that holds the database.
    pub service: ServiceName,
    /// How fresh its reads must be.
    pub consistency: Consistency,
    /// Longest time one statement may take.
    pub statement_timeout: Duration,
    /// Time within which an operation should be answered.
    pub latency_objective: Duration,
    /// Rank in queues; 0 is the most urgent.
    pub priority: u8,
    /// Whether callers need no credential.
    pub is_public: bool,
    /// Regions in which its requests may be run.
    pub regions: AllowedRegions,
}

/// Limits of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceLimits {
    /// Maximum number of connections that each instance accepts from all nodes
    /// together.
    pub max_connections: usize,
    /// Replicas that must hold a commit before it is answered.
    pub synchronous_replicas: usize,
    /// Limit for cold instances; `None` is unlimited.
    pub warm_up: Option<WarmUpLimit>,
}

/// One complete version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version; rises with every change, by steps of any size.
    pub version: u64,
    /// Routes by the name of the database.
    pub routes: HashMap<DatabaseName, Arc<Route>>,
    /// Services by name.
    pub services: HashMap<ServiceName, ServiceLimits>,
    /// How long a transaction may stay idle; `None` is unlimited.
    pub transaction_idle_timeout: Option<Duration>,
    /// The tenants; `None` where callers are not distinguished.
    pub tenancy: Option<Tenancy>,
}

/// Permissions of an admitted caller.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// The route of its database.
    pub route: Arc<Route>,
    /// Holder of the connections that carry its statements.
    pub holder: ConnectionHolder,
    /// Regions in which its statements may be run, and seen by other nodes.
    pub regions: AllowedRegions,
}

impl Configuration {
    /// The route of a database.
    pub fn route(&self, database: &str) -> Option<&Arc<Route>> {
        self.routes.get(database)
    }

    /// Admits a caller to a database, or returns why it is refused.
    pub fn admit(
        &self,
        database: &str,
        credential: Option<&Credential>,
    ) -> Result<Admitted, NotRun> {
        let route = self.route(database).ok_or(NotRun::UnknownDatabase)?;
        let holder = self.holder(route, credential)?;
        let regions = self.regions(route, &holder);
        if regions.is_empty() {
            return Err(NotRun::NoSharedRegion);
        }
        Ok(Admitted {
            route: route.clone(),
            holder,
            regions,
        })
    }

    /// Regions that both a route and the tenant of a holder allow.
    pub fn regions(&self, route: &Route, holder: &ConnectionHolder) -> AllowedRegions {
        let tenancy = self.tenancy.as_ref();
        match (tenancy, holder.tenant()) {
            (Some(tenancy), Some(tenant)) => route.regions.shared_with(&tenancy.regions(tenant)),
            _ => route.regions.clone(),
        }
    }

    /// Holder of the connections that carry a caller's statements on a route.
    pub fn holder(
        &self,
        route: &Route,
        credential: Option<&Credential>,
    ) -> Result<ConnectionHolder, NotRun> {
        let Some(tenancy) = &self.tenancy else {
            return Ok(ConnectionHolder::NoTenant);
        };
        match credential.and_then(|it| tenancy.tenant_of(it)) {
            Some(tenant) => Ok(ConnectionHolder::Tenant(tenant.clone())),
            None if route.is_public => Ok(ConnectionHolder::NoTenant),
            None => Err(NotRun::UnknownCredential),
        }
    }

    /// Whether this version may replace `current`: versions never go back.
    pub fn supersedes(&self, current: Option<&Configuration>) -> bool {
        current.is_none_or(|current| self.version > current.version)
    }
}
