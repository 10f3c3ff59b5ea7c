//! Structured log events, each a line of key=value pairs.
//!
//! * [`Event`] builds a line; values are quoted so that a caller's text cannot
//!   forge a line or a key.
//! * [`limit`] limits the rate of lines per event name, and counts and reports the
//!   suppressed events.
//! * [`queue`] passes lines to a writer thread, so that a blocked output never
//!   blocks the program.

mod event;
pub mod limit;
pub mod queue;

pub use event::{Event, quoted, start_logging};
