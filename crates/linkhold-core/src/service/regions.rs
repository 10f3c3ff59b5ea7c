//! Regions in which a request may be run, and seen by nodes other than the one
//! its caller is connected to.
//!
//! # Invariant
//!
//! What a request's route and its tenant allow both bind: [`AllowedRegions::shared_with`]
//! never allows a region that either of them does not.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use crate::tenancy::Tenant;

use super::configuration::{Configuration, Consistency, DatabaseName, Route};

/// Name of a region.
pub type RegionName = Arc<str>;

/// Regions that a request may not leave.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum AllowedRegions {
    /// It may be run anywhere.
    #[default]
    Everywhere,
    /// It may be run in these alone.
    Only(Arc<BTreeSet<RegionName>>),
}

impl AllowedRegions {
    /// The regions that a configuration lists; none listed is no bound.
    pub fn listed<'a>(names: impl IntoIterator<Item = &'a str>) -> Self {
        let names: BTreeSet<RegionName> = names.into_iter().map(Arc::from).collect();
        if names.is_empty() {
            Self::Everywhere
        } else {
            Self::Only(Arc::new(names))
        }
    }

    /// Exactly these regions, which may be none.
    pub fn exactly(names: BTreeSet<RegionName>) -> Self {
        Self::Only(Arc::new(names))
    }

    /// Whether a region is one of them.
    pub fn permits(&self, region: &str) -> bool {
        match self {
            Self::Everywhere => true,
            Self::Only(names) => names.contains(region),
        }
    }

    /// Whether there is a bound at all.
    pub fn is_bound(&self) -> bool {
        matches!(self, Self::Only(_))
    }

    /// Whether no region is left.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Only(names) if names.is_empty())
    }

    /// The names, in their order; none where there is no bound.
    pub fn names(&self) -> impl Iterator<Item = &RegionName> {
        let names = match self {
            Self::Everywhere => None,
            Self::Only(names) => Some(names.iter()),
        };
        names.into_iter().flatten()
    }

    /// Regions that both allow.
    pub fn shared_with(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Everywhere, bound) | (bound, Self::Everywhere) => bound.clone(),
            (Self::Only(one), Self::Only(two)) => {
                Self::exactly(one.intersection(two).cloned().collect())
            }
        }
    }
}

impl fmt::Display for AllowedRegions {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Everywhere => formatter.write_str("everywhere"),
            Self::Only(names) if names.is_empty() => formatter.write_str("none"),
            Self::Only(names) => {
                let names: Vec<&str> = names.iter().map(AsRef::as_ref).collect();
                formatter.write_str(&names.join(","))
            }
        }
    }
}

/// Where the primary of a service should stand: in regions that its routes allow,
/// the more urgent ones first, and then its tenants, the larger ones first. What
/// allows none of the regions that are left by then is passed over: wherever the
/// primary stood, one of them could not write.
///
/// The answer depends on the configuration alone, so that all nodes give the same
/// and a primary that stands right stays.
pub fn primary_regions(configuration: &Configuration, service: &str) -> AllowedRegions {
    let mut routes: Vec<(&DatabaseName, &Route)> = configuration
        .routes
        .iter()
        .map(|(database, route)| (database, &**route))
        .filter(|(_, route)| &*route.service == service && route.regions.is_bound())
        .collect();
    routes.sort_by_key(|(database, route)| (urgency(route), (*database).clone()));
    let of_routes = routes.iter().map(|(_, route)| &route.regions);
    let tenants = tenants_by_size(configuration);
    let of_tenants = tenants.iter().map(|tenant| &tenant.regions);
    of_routes
        .chain(of_tenants)
        .fold(AllowedRegions::Everywhere, narrowed)
}

/// The regions that are left with one more set, unless none would be.
fn narrowed(left: AllowedRegions, set: &AllowedRegions) -> AllowedRegions {
    let shared = left.shared_with(set);
    if shared.is_empty() { left } else { shared }
}

/// Rank of a route among those that want a primary near: by priority, and those
/// that only a primary serves before those whose reads replicas serve.
fn urgency(route: &Route) -> (u8, bool) {
    (route.priority, route.consistency != Consistency::Latest)
}

/// Tenants that are bound to regions, those that may ask most first.
fn tenants_by_size(configuration: &Configuration) -> Vec<&Tenant> {
    let tenants = configuration.tenancy.iter().flat_map(|it| it.tenants());
    let mut bound: Vec<&Tenant> = tenants.filter(|it| it.regions.is_bound()).collect();
    bound.sort_by(|one, two| {
        let by_rate = allowed_rate(two).total_cmp(&allowed_rate(one));
        by_rate.then_with(|| one.name.cmp(&two.name))
    });
    bound
}

fn allowed_rate(tenant: &Tenant) -> f64 {
    tenant
        .limit
        .map_or(f64::INFINITY, |limit| limit.rate_per_second)
}
