//! Regions to which requests are restricted, and regions in which primaries should be.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use linkhold_core::outcome::NotRun;
use linkhold_core::service::configuration::{Configuration, Consistency, Route, ServiceLimits};
use linkhold_core::service::eligibility::{EligibilityFacts, Ineligible, StatementBinding, check};
use linkhold_core::service::evacuation::ZoneState;
use linkhold_core::service::primary_placement::primary_regions;
use linkhold_core::service::regions::AllowedRegions;
use linkhold_core::tenancy::{Credential, RateLimit, Tenancy, Tenant};
use proptest::prelude::*;

const REGIONS: [&str; 4] = ["east", "north", "south", "west"];

fn only(names: &[&str]) -> AllowedRegions {
    AllowedRegions::listed(names.iter().copied())
}

fn route(regions: AllowedRegions) -> Arc<Route> {
    Arc::new(Route {
        service: "ledger".into(),
        consistency: Consistency::Latest,
        statement_timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(400),
        priority: 1,
        is_public: false,
        regions,
    })
}

fn tenant(name: &str, regions: AllowedRegions) -> Tenant {
    Tenant {
        name: name.into(),
        credentials: vec![Credential::of_secret(name.as_bytes())],
        limit: None,
        regions,
    }
}

fn configuration(routes: &[AllowedRegions], tenants: &[AllowedRegions]) -> Configuration {
    let named = routes.iter().enumerate();
    let routes = named.map(|(index, it)| (format!("db{index}").into(), route(it.clone())));
    let listed = tenants.iter().enumerate();
    let tenants = listed.map(|(index, it)| tenant(&format!("t{index}"), it.clone()));
    let limits = ServiceLimits {
        max_connections: 10,
        synchronous_replicas: 0,
        warm_up: None,
    };
    Configuration {
        routes: routes.collect(),
        services: HashMap::from([("ledger".into(), limits)]),
        tenancy: Some(Tenancy::new(tenants).0),
        ..Configuration::default()
    }
}

fn sets() -> impl Strategy<Value = AllowedRegions> {
    prop::collection::btree_set(0..REGIONS.len(), 0..=REGIONS.len())
        .prop_map(|chosen| AllowedRegions::listed(chosen.into_iter().map(|it| REGIONS[it])))
}

proptest! {
    /// Whatever route and tenant allow, an admitted request may run in a region only if
    /// both allow it, and a refused one has no such region.
    #[test]
    fn both_sets_apply(of_route in sets(), of_tenant in sets()) {
        let configuration = configuration(
            std::slice::from_ref(&of_route),
            std::slice::from_ref(&of_tenant),
        );
        let credential = Credential::of_secret(b"t0");
        let allowed = |region: &&&str| of_route.permits(region) && of_tenant.permits(region);
        match configuration.admit("db0", Some(&credential)) {
            Ok(admitted) => {
                for region in &REGIONS {
                    prop_assert_eq!(admitted.regions.permits(region), allowed(&region));
                }
            }
            Err(reason) => {
                prop_assert_eq!(reason, NotRun::NoSharedRegion);
                prop_assert_eq!(REGIONS.iter().filter(allowed).count(), 0);
            }
        }
    }

    /// Each route, the more urgent first, has the primary where it allows it, unless
    /// those before it leave no such region. Tenants take no region from routes.
    #[test]
    fn more_urgent_routes_have_the_primary_where_they_allow_it(
        routes in prop::collection::vec(sets(), 1..5),
        tenants in prop::collection::vec(sets(), 0..4),
    ) {
        let wanted = primary_regions(&configuration(&routes, &tenants), "ledger");
        prop_assert!(!wanted.is_empty());
        let permitted = |sets: &[AllowedRegions]| -> BTreeSet<&str> {
            let all = |region: &&str| sets.iter().all(|it| it.permits(region));
            REGIONS.into_iter().filter(all).collect()
        };
        let mut satisfied: Vec<AllowedRegions> = Vec::new();
        for route in &routes {
            let mut with = satisfied.clone();
            with.push(route.clone());
            if !permitted(&with).is_empty() {
                satisfied = with;
            }
        }
        for name in wanted.names() {
            prop_assert!(permitted(&satisfied).contains(&**name));
        }
    }

    /// Instances outside the allowed regions are never eligible, whatever their zone's
    /// state.
    #[test]
    fn nothing_outside_is_eligible(state in 0..3, is_free in any::<bool>()) {
        let zone = [ZoneState::InService, ZoneState::Draining, ZoneState::Closed][state as usize];
        let binding = if is_free { StatementBinding::Unbound } else { StatementBinding::Bound };
        let facts = EligibilityFacts { is_in_regions: false, zone };
        prop_assert_eq!(check(facts, binding), Err(Ineligible::OutsideRegions));
    }
}

#[test]
fn larger_tenants_narrow_where_a_primary_is_wanted_before_smaller_ones() {
    let routes = [only(&["north", "south"]), AllowedRegions::Everywhere];
    let narrowed = primary_regions(
        &configuration(&routes, &[only(&["south", "west"])]),
        "ledger",
    );
    assert_eq!(narrowed, only(&["south"]));
    let mut disagreeing = configuration(&routes, &[]);
    let rates = [("small", 3.0, "south"), ("large", 90.0, "north")];
    let tenants = rates.map(|(name, rate_per_second, region)| Tenant {
        limit: Some(RateLimit {
            rate_per_second,
            burst: 1.0,
        }),
        ..tenant(name, only(&[region]))
    });
    disagreeing.tenancy = Some(Tenancy::new(tenants).0);
    assert_eq!(primary_regions(&disagreeing, "ledger"), only(&["north"]));
    let other = primary_regions(&configuration(&routes, &[]), "another");
    assert_eq!(other, AllowedRegions::Everywhere);
}

#[test]
fn a_route_that_only_a_primary_serves_goes_before_one_whose_reads_replicas_serve() {
    let routes = [only(&["north"]), only(&["south"])];
    let mut configuration = configuration(&routes, &[]);
    let mut reads = Route::clone(&configuration.routes["db0"]);
    reads.consistency = Consistency::ReadYourWrites(Duration::from_secs(1));
    configuration.routes.insert("db0".into(), Arc::new(reads));
    assert_eq!(primary_regions(&configuration, "ledger"), only(&["south"]));
}

#[test]
fn an_empty_list_is_no_restriction() {
    assert_eq!(only(&[]), AllowedRegions::Everywhere);
    assert_eq!(only(&["b", "a"]).to_string(), "a,b");
}
