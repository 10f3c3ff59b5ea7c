//! The operators' table of back ends and their limits.
//!
//! [`Sheet`] is the table as operators edit it, as cells of text. [`Topology`] is
//! built from a checked sheet. [`rebase`] merges concurrent edits.

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
