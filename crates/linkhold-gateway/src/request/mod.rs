//! The path of a request from its session to an instance and back.
//!
//! A session ([`crate::session`]) accepts and identifies its caller and has each request
//! admitted ([`crate::admission`]). An admitted request then passes through:
//!
//! 1. [`statement`] chooses the instance, decides on retries and reports a failure as
//!    not run or unknown; [`session_positions`] holds the log positions that the
//!    session's reads must have reached;
//! 2. [`attempt`] makes one attempt on one instance, for one [`principal`];
//! 3. [`batch`] builds the commands; [`exchange`] sends them and waits for the replies;
//! 4. [`primary_answer`] decides whether a primary's answer may be relayed;
//! 5. [`transaction`] keeps the connection until the caller's transaction ends.

pub(crate) mod attempt;
pub(crate) mod batch;
pub(crate) mod exchange;
pub(crate) mod primary_answer;
pub(crate) mod principal;
pub(crate) mod session_positions;
pub(crate) mod statement;
pub(crate) mod transaction;
