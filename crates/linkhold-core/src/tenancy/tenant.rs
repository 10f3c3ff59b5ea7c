//! Tenants and the connections that belong to them.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::sync::Arc;

use thiserror::Error;

use crate::service::regions::AllowedRegions;

use super::credential::Credential;

/// Name of a tenant.
pub type TenantName = Arc<str>;

/// Most bytes of a secret that is taken in.
pub const MAX_SECRET_BYTES: usize = 1_024;

/// How much a tenant may ask, over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Operations a second in the long run.
    pub rate_per_second: f64,
    /// Operations beyond that, at a time.
    pub burst: f64,
}

/// One tenant as the configuration names it.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: TenantName,
    /// The credentials by which its callers are known.
    pub credentials: Vec<Credential>,
    /// How much it may ask; `None` is without limit.
    pub limit: Option<RateLimit>,
    /// Regions in which its requests may be run.
    pub regions: AllowedRegions,
}

/// What is wrong with the tenants of a configuration. Secrets are not named.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TenancyFinding {
    /// Two tenants have the same credential: neither is known by it.
    #[error("tenants {0} and {1} share a credential")]
    SharedCredential(TenantName, TenantName),
    /// No caller can be known as this tenant.
    #[error("tenant {0} has no usable credential")]
    NoCredential(TenantName),
    /// A tenant is listed twice; the first entry counts.
    #[error("tenant {0} is listed twice")]
    ListedTwice(TenantName),
}

/// All tenants of a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenancy {
    tenants: HashMap<TenantName, Tenant>,
    /// `None` where a credential is of two tenants.
    by_credential: HashMap<Credential, Option<TenantName>>,
}

impl Tenancy {
    /// Takes tenants in; what is wrong with them is told, and left out.
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

    /// How much a tenant may ask; `None` is without limit.
    pub fn limit(&self, tenant: &str) -> Option<RateLimit> {
        self.tenants.get(tenant)?.limit
    }

    /// Regions in which a tenant's requests may be run.
    pub fn regions(&self, tenant: &str) -> AllowedRegions {
        let tenant = self.tenants.get(tenant);
        tenant.map(|it| it.regions.clone()).unwrap_or_default()
    }

    /// All tenants, in no order.
    pub fn tenants(&self) -> impl Iterator<Item = &Tenant> {
        self.tenants.values()
    }
}

/// Whose statements a connection to an instance carries, from its start to its
/// end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectionHolder {
    /// No tenant's: statements of the node's own, of callers that need not be
    /// known, and of all callers where the configuration names no tenants.
    NoTenant,
    /// One tenant's alone.
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
