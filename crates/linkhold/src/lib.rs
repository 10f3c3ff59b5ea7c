//! The linkhold node: a PostgreSQL proxy with session consistency.
//!
//! [`node::Node`] connects the modules. State that changes rarely (the table, a
//! database group's view) is owned by actors and published as immutable snapshots.
//! Running a statement reads snapshots and takes permits, and never waits for an
//! actor's mailbox.

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
