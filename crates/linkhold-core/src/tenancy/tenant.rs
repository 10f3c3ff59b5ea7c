//! Tenants and the connections that carry their statements.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::sync::Arc;

use thiserror::Error;

use crate::service::regions::AllowedRegions;

use super::credential::Credential;

/// Name of a tenant.
pub type TenantName = Arc<str>;

/// Longest secret that is accepted, in bytes.
pub const MAX_SECRET_BYTES: usize = 1_024;

/// Rate limit of a tenant, over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Operations per second in the long run.
    pub rate_per_second: f64,
    /// Operations allowed at once beyond that rate.
    pub burst: f64,
}

/// A tenant of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name, unique within a configuration.
    pub name: TenantName,
    /// Credentials that identify its callers.
    pub credentials: Vec<Credential>,
    /// Rate limit; `None` if unlimited.
    pub limit: Option<RateLimit>,
    /// Regions in which its requests may run.
    pub regions: AllowedRegions,
}

/// A fault in the tenants of a configuration. Secrets are not named.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TenancyFinding {
    /// Two tenants have the same credential, which then identifies neither.
    #[error("tenants {0} and {1} share a credential")]
    SharedCredential(TenantName, TenantName),
    /// The tenant has no credential, so no caller can be identified as it.
    #[error("tenant {0} has no usable credential")]
    NoCredential(TenantName),
    /// A tenant is listed twice; the first entry is used.
    #[error("tenant {0} is listed twice")]
    ListedTwice(TenantName),
}

/// All tenants of a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenancy {
    tenants: HashMap<TenantName, Tenant>,
    /// `None` for a credential that two tenants share.
    by_credential: HashMap<Credential, Option<TenantName>>,
}

impl Tenancy {
    /// Builds the tenants from a list. Faulty entries are left out and reported.
    pub fn new(listed: impl IntoIterator<Item = Tenant>) -> (Self, Vec<TenancyFinding>) {
        let mut tenancy = Self::default();
        let mut findings = Vec::new();
        for tenant in listed {
            tenancy.add(tenant, &mut findings);
        }
        (tenancy, findings)
    }

    fn add(&mut self, tenant: Tenant, findings: &mut Vec<TenancyFinding>) {
        if self.tenants.contains_key(&tenant.name) {
            findings.push(TenancyFinding::ListedTwice(tenant.name));
            return;
        }
        if tenant.credentials.is_empty() {
            findings.push(TenancyFinding::NoCredential(tenant.name.clone()));
        }
        for credential in &tenant.credentials {
            self.add_credential(*credential, &tenant.name, findings);
        }
        self.tenants.insert(tenant.name.clone(), tenant);
    }

    fn add_credential(
        &mut self,
        credential: Credential,
        name: &TenantName,
        findings: &mut Vec<TenancyFinding>,
    ) {
        match self.by_credential.entry(credential) {
            Entry::Vacant(vacant) => {
                vacant.insert(Some(name.clone()));
            }
            Entry::Occupied(mut occupied) => {
                let Some(other) = occupied.get().clone() else {
                    return;
                };
                if other != *name {
                    findings.push(TenancyFinding::SharedCredential(other, name.clone()));
                    occupied.insert(None);
                }
            }
        }
    }

    /// The tenant that a credential belongs to.
    pub fn tenant_of(&self, credential: &Credential) -> Option<&TenantName> {
        self.by_credential.get(credential)?.as_ref()
    }

    /// Rate limit of a tenant; `None` if unlimited or unknown.
    pub fn limit(&self, tenant: &str) -> Option<RateLimit> {
        self.tenants.get(tenant)?.limit
    }

    /// Regions in which a tenant's requests may run.
    pub fn regions(&self, tenant: &str) -> AllowedRegions {
        let tenant = self.tenants.get(tenant);
        tenant.map(|it| it.regions.clone()).unwrap_or_default()
    }

    /// All tenants, in no particular order.
    pub fn tenants(&self) -> impl Iterator<Item = &Tenant> {
        self.tenants.values()
    }
}

/// The tenant whose statements a connection to an instance carries for the whole of
/// its lifetime.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectionHolder {
    /// No tenant: statements of the node itself, of anonymous callers of public routes,
    /// and of all callers if the configuration lists no tenants.
    NoTenant,
    /// A single tenant.
    Tenant(TenantName),
}

impl ConnectionHolder {
    /// The tenant, if there is one.
    pub fn tenant(&self) -> Option<&TenantName> {
        match self {
            Self::NoTenant => None,
            Self::Tenant(name) => Some(name),
        }
    }
}
