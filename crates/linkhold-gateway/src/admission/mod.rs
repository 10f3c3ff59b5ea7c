//! Whether a tenant may have one more operation run now.
//!
//! A node spends budgets that the tenant's coordinator, a node like any other,
//! grants ([`linkhold_core::tenancy::budget`] decides). [`quotas`] spends and
//! asks, [`coordinator`] grants. Tenants without a limit, and nodes whose settings
//! tell no window, cost nothing here.
//!
//! The parts meet the fleet and the network through [`BudgetEnvironment`].

mod coordinator;
mod environment;
mod quotas;

pub(crate) use coordinator::{BudgetAnswer, Requester, answer_request, record_displacement};
pub(crate) use environment::{BudgetEnvironment, Coordinator};
pub(crate) use quotas::{BudgetRequest, Quotas, admit, return_operation};
