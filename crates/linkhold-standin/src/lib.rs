//! Stand-ins for the systems that linkhold works with, for tests and the demo.
//!
//! * [`group`]: a replicated database group that serves the PostgreSQL
//!   protocol from in-memory SQLite, with terms, log positions, replication
//!   lag, elections and faults.
//! * [`platform`]: the platform's table service, object store and machine
//!   list over HTTP.
//! * [`relay`]: a TCP relay that delays, cuts or stalls connections.
//! * [`control`]: HTTP control of stand-ins that run as a separate process.
//!
//! These are small models, not products: they keep all data in memory and
//! authenticate no client.

pub mod control;
pub mod group;
pub mod platform;
pub mod relay;
