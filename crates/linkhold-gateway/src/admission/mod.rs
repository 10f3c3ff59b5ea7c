//! Whether a tenant may have one more operation run now.
//!
//! A node spends budgets that the tenant's coordinator, a node like any other,
//! grants ([`linkhold_core::tenancy::budget`] decides). [`quotas`] spends and
//! asks, [`coordinator`] grants, [`claims`] keeps the coordinator's claims in the
//! platform's store. Tenants without a limit, and nodes whose settings tell no
//! window, cost nothing here.
//!
//! The parts meet the fleet, the store and the network through [`BudgetWorld`].

mod claims;
mod coordinator;
mod quotas;
mod world;

pub(crate) use coordinator::grant;
pub(crate) use quotas::{Quotas, admit};
pub(crate) use world::{BudgetWorld, Coordinator};
