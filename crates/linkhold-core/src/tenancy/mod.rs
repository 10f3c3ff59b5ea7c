//! Tenants: who asks, by which secret, and how much each may ask.
//!
//! No I/O and no clock: the shell tells what time it is.

pub mod budget;
pub mod credential;
pub mod rate;
pub mod shares;
pub mod tenant;

pub use credential::Credential;
pub use rate::{QuotaRules, WindowLimit};
pub use tenant::{ConnectionHolder, RateLimit, Tenancy, TenancyFinding, Tenant, TenantName};
