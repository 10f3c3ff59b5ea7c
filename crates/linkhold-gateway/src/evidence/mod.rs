//! Evidence about instances, and the requests to them that yield it.
//!
//! * [`probe`] decides when to ask a primary for its log's position, and waits for the
//!   answer;
//! * [`sharing`] asks the reader that this node follows instead, and answers followers;
//! * [`primary_verification`] verifies that a primary was not replaced without this
//!   node's knowledge;
//! * [`survey`] exchanges commands with instances; it has no state and makes no
//!   decisions.
//!
//! [`crate::cluster_state`] holds the evidence.

pub(crate) mod primary_verification;
pub(crate) mod probe;
pub(crate) mod sharing;
pub(crate) mod survey;
