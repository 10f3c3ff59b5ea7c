//! The linkhold node: a PostgreSQL proxy with session consistency.
//!
//! [`node::Node`] ties the parts together. Slow-changing state (the table, a
//! database group's view) is owned by actors and published as immutable
//! snapshots; the path of a statement reads snapshots and takes permits, and
//! never waits on a mailbox.

pub mod backend;
pub mod benchmark;
pub mod cli;
pub mod console;
pub mod demo;
pub mod group;
pub mod housekeeping;
pub mod log_event;
pub mod machine_list;
pub mod metrics;
pub mod node;
pub mod peer;
pub mod platform;
pub mod session;
pub mod settings;
pub mod table_actor;
pub mod table_editor;
