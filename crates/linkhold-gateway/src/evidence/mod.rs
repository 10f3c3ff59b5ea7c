//! What this node can prove about instances, and asks of them.
//!
//! * [`probe`] decides when a primary is asked how far its log has come, and waits for it;
//! * [`sharing`] asks the reader that is followed instead, and answers followers;
//! * [`primary_verification`] makes sure that a primary was not replaced unseen;
//! * [`survey`] talks to instances: it keeps nothing and decides nothing.
//!
//! What is proved is kept in [`crate::cluster_state`].

pub(crate) mod primary_verification;
pub(crate) mod probe;
pub(crate) mod sharing;
pub(crate) mod survey;
