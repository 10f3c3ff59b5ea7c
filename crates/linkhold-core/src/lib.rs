//! Decision logic of linkhold.
//!
//! All code here is pure: it takes events and the current time and returns
//! decisions. It has no I/O, clock, logging or source of randomness of its own, so
//! the same code runs in a real node, in a simulation and in property tests.

pub mod admission;
pub mod classify;
pub mod group_view;
pub mod membership;
pub mod outcome;
pub mod position;
pub mod recent_maximum;
pub mod rendezvous;
pub mod request_key;
pub mod retry_budget;
pub mod routing;
pub mod service;
pub mod table;
pub mod table_spread;
pub mod tenancy;
pub mod token;
