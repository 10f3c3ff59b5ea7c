//! Tenants, the credentials of their callers, and their rate limits.
//!
//! No I/O and no clock: callers pass the current time in.

pub mod budget;
pub mod credential;
pub mod rate;
pub mod shares;
pub mod tenant;

pub use credential::Credential;
pub use rate::{QuotaRules, WindowLimit};
pub use tenant::{ConnectionHolder, RateLimit, Tenancy, TenancyFinding, Tenant, TenantName};
