//! The operators' table: which back ends exist and how much each may do.
//!
//! [`Sheet`] is the table as operators see it, cells of text. [`Topology`] is
//! what a checked sheet means. [`rebase`] merges edits made at the same time.

mod check;
mod column;
mod delta;
mod hours;
pub mod rebase;
mod sheet;
mod topology;

pub use check::{Finding, check};
pub use column::Column;
pub use delta::Delta;
pub use hours::{HourRange, HourRangeError};
pub use sheet::{Sheet, SheetRow};
pub use topology::{BackendState, Database, HourlyWeight, Instance, Topology};
