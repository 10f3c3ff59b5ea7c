//! The way of a request from its session to an instance and back.
//!
//! A session ([`crate::session`]) accepts and identifies its caller and has each request
//! admitted ([`crate::admission`]). From there it goes this way:
//!
//! 1. [`statement`] decides where it is placed, how often it is tried, and what a failure
//!    may truthfully be called; [`session_positions`] keep what its session must see;
//! 2. [`attempt`] makes one try on one instance, for one [`principal`];
//! 3. [`batch`] says what is sent; [`exchange`] sends it and waits;
//! 4. [`primary_answer`] decides whether an answer of a primary may be told;
//! 5. [`transaction`] keeps the connection until the caller's transaction ends.

pub(crate) mod attempt;
pub(crate) mod batch;
pub(crate) mod exchange;
pub(crate) mod primary_answer;
pub(crate) mod principal;
pub(crate) mod session_positions;
pub(crate) mod statement;
pub(crate) mod transaction;
