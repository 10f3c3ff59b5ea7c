//! Stand-ins for the systems linkhold works with, for tests and the demo.
//!
//! * [`group`]: a replicated database group that speaks the PostgreSQL
//!   protocol over in-memory SQLite, with terms, log positions, replication
//!   lag, elections and faults.
//! * [`platform`]: the platform's table service, object store and machine
//!   list over HTTP.
//! * [`relay`]: a TCP relay that delays, cuts or stalls connections.
//!
//! These are small models, not products: they keep everything in memory and
//! trust whoever connects.

pub mod control;
pub mod group;
pub mod platform;
pub mod relay;
