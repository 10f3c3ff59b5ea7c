//! Admission of tenants: decides whether a tenant may run one more operation now.
//!
//! A node spends budgets that the tenant's coordinator, a node like any other, grants
//! by the rules of [`linkhold_core::tenancy::budget`]. [`quotas`] spends and requests
//! budgets, [`coordinator`] grants them. Tenants without a limit, and nodes whose
//! settings have no quota window, are admitted without a budget.
//!
//! Both access the fleet and the network through [`BudgetEnvironment`].

mod coordinator;
mod environment;
mod quotas;

pub(crate) use coordinator::{BudgetAnswer, Requester, answer_request, record_displacement};
pub(crate) use environment::{BudgetEnvironment, Coordinator};
pub(crate) use quotas::{BudgetRequest, Quotas, admit, return_operation};
