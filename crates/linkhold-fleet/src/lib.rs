//! Fleet simulation: the control logic and message codec of many nodes in one
//! process, on a simulated network and clock.
//!
//! The nodes run the same [`linkhold_core::membership::Membership`] and
//! [`linkhold_core::table_spread::TableSpread`] as a real node, and every
//! message is encoded and decoded as on a real network. Bytes, messages and
//! processor time are counted for each node. Runs with the same seed give the
//! same counts and simulated times.

mod network;
mod node;
mod report;
mod simulation;

pub use network::{Location, NetworkOptions};
pub use report::FleetReport;
pub use simulation::{FleetOptions, Mutation, Simulation};
