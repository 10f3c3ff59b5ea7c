//! Encoding of a configuration.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use linkhold_core::service::configuration::{Configuration, Consistency, Route, ServiceLimits};
use linkhold_core::service::regions::AllowedRegions;
use linkhold_core::service::warm_up::WarmUpLimit;
use linkhold_core::tenancy::credential::CREDENTIAL_BYTES;
use linkhold_core::tenancy::{Credential, RateLimit, Tenancy, Tenant};
use minicbor::bytes::ByteArray;
use minicbor::{Decode, Encode};

use crate::milliseconds;

#[derive(Encode, Decode)]
pub(super) struct WireRoute {
    #[n(0)]
    database: String,
    #[n(1)]
    service: String,
    #[n(2)]
    consistency: u8,
    #[n(3)]
    staleness_ms: u64,
    #[n(4)]
    timeout_ms: u64,
    #[n(5)]
    objective_ms: u64,
    #[n(6)]
    priority: u8,
    #[n(7)]
    is_public: bool,
    /// Empty: everywhere.
    #[n(8)]
    regions: Vec<String>,
}

#[derive(Encode, Decode)]
pub(super) struct WireService {
    #[n(0)]
    name: String,
    #[n(1)]
    max_connections: u64,
    #[n(2)]
    synchronous_replicas: u64,
    #[n(3)]
    warm_up: Option<WireWarmUpLimit>,
}

#[derive(Encode, Decode)]
pub(super) struct WireWarmUpLimit {
    #[n(0)]
    per_second: f64,
    #[n(1)]
    length_ms: u64,
}

#[derive(Encode, Decode)]
pub(super) struct WireConfiguration {
    #[n(0)]
    version: u64,
    #[n(1)]
    routes: Vec<WireRoute>,
    #[n(2)]
    services: Vec<WireService>,
    #[n(3)]
    idle_ms: Option<u64>,
    #[n(4)]
    tenants: Option<Vec<WireTenant>>,
}

#[derive(Encode, Decode)]
pub(super) struct WireTenant {
    #[n(0)]
    name: String,
    #[n(1)]
    credentials: Vec<ByteArray<CREDENTIAL_BYTES>>,
    #[n(2)]
    limit: Option<WireRateLimit>,
    /// Empty: everywhere.
    #[n(3)]
    regions: Vec<String>,
}

#[derive(Encode, Decode)]
pub(super) struct WireRateLimit {
    #[n(0)]
    rate_per_second: f64,
    #[n(1)]
    burst: f64,
}

const LATEST: u8 = 0;
const BOUNDED: u8 = 1;
const READ_YOUR_WRITES: u8 = 2;

pub(super) fn configuration_to_wire(configuration: &Configuration) -> WireConfiguration {
    let routes = configuration
        .routes
        .iter()
        .map(|(database, route)| route_to_wire(database, route));
    let services = configuration
        .services
        .iter()
        .map(|(name, limits)| WireService {
            name: name.to_string(),
            max_connections: limits.max_connections as u64,
            synchronous_replicas: limits.synchronous_replicas as u64,
            warm_up: limits.warm_up.map(|limit| WireWarmUpLimit {
                per_second: limit.per_second,
                length_ms: milliseconds(limit.length),
            }),
        });
    WireConfiguration {
        version: configuration.version,
        routes: routes.collect(),
        services: services.collect(),
        idle_ms: configuration.transaction_idle_timeout.map(milliseconds),
        tenants: configuration
            .tenancy
            .as_ref()
            .map(|tenancy| tenancy.tenants().map(tenant_to_wire).collect()),
    }
}

fn tenant_to_wire(tenant: &Tenant) -> WireTenant {
    let digests = tenant.credentials.iter().map(Credential::digest);
    WireTenant {
        name: tenant.name.to_string(),
        credentials: digests.map(ByteArray::from).collect(),
        limit: tenant.limit.map(|limit| WireRateLimit {
            rate_per_second: limit.rate_per_second,
            burst: limit.burst,
        }),
        regions: tenant.regions.to_list(),
    }
}

fn tenancy_from_wire(wire: Vec<WireTenant>) -> Tenancy {
    let tenants = wire.into_iter().map(|tenant| Tenant {
        regions: AllowedRegions::listed(&tenant.regions),
        name: tenant.name.into(),
        credentials: tenant
            .credentials
            .into_iter()
            .map(|digest| Credential::from_digest(digest.into()))
            .collect(),
        limit: tenant.limit.map(|limit| RateLimit {
            rate_per_second: limit.rate_per_second,
            burst: limit.burst,
        }),
    });
    // The node that read the tenants has reported what is wrong with them.
    Tenancy::new(tenants).0
}

fn route_to_wire(database: &str, route: &Route) -> WireRoute {
    let (consistency, staleness) = match route.consistency {
        Consistency::Latest => (LATEST, Duration::ZERO),
        Consistency::BoundedStaleness(max_staleness) => (BOUNDED, max_staleness),
        Consistency::ReadYourWrites(max_staleness) => (READ_YOUR_WRITES, max_staleness),
    };
    WireRoute {
        database: database.to_owned(),
        service: route.service.to_string(),
        consistency,
        staleness_ms: milliseconds(staleness),
        timeout_ms: milliseconds(route.statement_timeout),
        objective_ms: milliseconds(route.latency_objective),
        priority: route.priority,
        is_public: route.is_public,
        regions: route.regions.to_list(),
    }
}

pub(super) fn configuration_from_wire(wire: WireConfiguration) -> Option<Configuration> {
    let routes: Option<HashMap<Arc<str>, Arc<Route>>> =
        wire.routes.into_iter().map(route_from_wire).collect();
    let services = wire.services.into_iter().map(|service| {
        let limits = ServiceLimits {
            max_connections: service.max_connections as usize,
            synchronous_replicas: service.synchronous_replicas as usize,
            warm_up: service.warm_up.map(|limit| WarmUpLimit {
                per_second: limit.per_second,
                length: Duration::from_millis(limit.length_ms),
            }),
        };
        (Arc::from(service.name), limits)
    });
    Some(Configuration {
        version: wire.version,
        routes: routes?,
        services: services.collect(),
        transaction_idle_timeout: wire.idle_ms.map(Duration::from_millis),
        tenancy: wire.tenants.map(tenancy_from_wire),
    })
}

fn route_from_wire(wire: WireRoute) -> Option<(Arc<str>, Arc<Route>)> {
    let staleness = Duration::from_millis(wire.staleness_ms);
    let consistency = match wire.consistency {
        LATEST => Consistency::Latest,
        BOUNDED => Consistency::BoundedStaleness(staleness),
        READ_YOUR_WRITES => Consistency::ReadYourWrites(staleness),
        _ => return None,
    };
    let route = Route {
        service: wire.service.into(),
        consistency,
        statement_timeout: Duration::from_millis(wire.timeout_ms),
        latency_objective: Duration::from_millis(wire.objective_ms),
        priority: wire.priority,
        is_public: wire.is_public,
        regions: AllowedRegions::listed(&wire.regions),
    };
    Some((wire.database.into(), Arc::new(route)))
}
