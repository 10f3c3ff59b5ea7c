//! Structured log events: one line of key=value pairs each.
//!
//! * [`Event`] builds a line; values are quoted so that a caller's text cannot
//!   forge a line or a key.
//! * [`limit`] bounds the lines of each event name; what is left out is counted
//!   and reported.
//! * [`queue`] hands lines to a thread that writes them, so that a reader who
//!   does not read never blocks the program.

mod event;
pub mod limit;
pub mod queue;

pub use event::{Event, quoted, start_logging};
