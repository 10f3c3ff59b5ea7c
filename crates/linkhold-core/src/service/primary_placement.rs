//! Regions in which the primary of a service should be.

use crate::tenancy::Tenant;

use super::configuration::{Configuration, Consistency, DatabaseName, Route};
use super::regions::AllowedRegions;

/// Regions in which the primary of a service should be: those that its routes allow,
/// the more urgent ones first, and then its tenants, the larger ones first. A route or
/// tenant that allows none of the regions left by then is skipped: wherever the
/// primary were, some route or tenant could not write.
///
/// The result depends on the configuration alone, so that all nodes compute the same
/// and a primary in the right region stays.
pub fn primary_regions(configuration: &Configuration, service: &str) -> AllowedRegions {
    let mut routes: Vec<(&DatabaseName, &Route)> = configuration
        .routes
        .iter()
        .map(|(database, route)| (database, &**route))
        .filter(|(_, route)| &*route.service == service && route.regions.is_restricted())
        .collect();
    routes.sort_by_key(|(database, route)| (urgency(route), (*database).clone()));
    let of_routes = routes.iter().map(|(_, route)| &route.regions);
    let tenants = tenants_by_size(configuration);
    let of_tenants = tenants.iter().map(|tenant| &tenant.regions);
    of_routes
        .chain(of_tenants)
        .fold(AllowedRegions::Everywhere, narrow)
}

/// The remaining regions restricted to one more set, unless none would remain.
fn narrow(left: AllowedRegions, set: &AllowedRegions) -> AllowedRegions {
    let shared = left.shared_with(set);
    if shared.is_empty() { left } else { shared }
}

/// Rank of a route for the choice of a primary's region: by priority, and routes that
/// only a primary serves before those whose reads replicas serve.
fn urgency(route: &Route) -> (u8, bool) {
    (route.priority, route.consistency != Consistency::Latest)
}

/// Tenants that are restricted to regions, those with the highest allowed rate first.
fn tenants_by_size(configuration: &Configuration) -> Vec<&Tenant> {
    let tenants = configuration.tenancy.iter().flat_map(|it| it.tenants());
    let mut restricted: Vec<&Tenant> = tenants.filter(|it| it.regions.is_restricted()).collect();
    restricted.sort_by(|one, two| {
        let by_rate = allowed_rate(two).total_cmp(&allowed_rate(one));
        by_rate.then_with(|| one.name.cmp(&two.name))
    });
    restricted
}

fn allowed_rate(tenant: &Tenant) -> f64 {
    tenant
        .limit
        .map_or(f64::INFINITY, |limit| limit.rate_per_second)
}
