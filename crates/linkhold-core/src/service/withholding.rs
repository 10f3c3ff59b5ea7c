//! What a node agrees to when another one is about to replace a primary that
//! neither of them reaches.
//!
//! A primary that is cut off goes on committing until it hears of its
//! successor. A node whose way to it comes back in between would acknowledge
//! commits that the successor lacks. So whoever orders a promotion first has
//! every node agree to acknowledge nothing of the old primary for a while.
//!
//! # Invariant
//!
//! An order goes out less than [`ORDER_WINDOW`] after the question that all
//! nodes agreed to was sent. That is shorter than [`WITHHOLDING`] by more than
//! an order takes, and each node counts from when it answered, which is later.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::instance::InstanceId;

/// How long a node acknowledges nothing of an instance after it agreed.
pub const WITHHOLDING: Duration = Duration::from_millis(2_500);
/// How soon after it asked the others a node must have ordered the promotion.
pub const ORDER_WINDOW: Duration = Duration::from_millis(1_000);
/// How long a failed try to reach an instance is as good as a new one for a
/// node that agrees to withhold.
pub const RECENT_FAILURE: Duration = Duration::from_millis(1_500);

/// Instances of which a node acknowledges nothing for now.
#[derive(Debug, Default)]
pub struct Withholdings {
    until: HashMap<InstanceId, Instant>,
}

impl Withholdings {
    /// The node agrees to acknowledge nothing of an instance.
    pub fn agree(&mut self, id: &InstanceId, now: Instant) {
        self.until.retain(|_, until| now < *until);
        self.until.insert(id.clone(), now + WITHHOLDING);
    }

    /// Whether nothing of an instance may be acknowledged.
    pub fn holds(&self, id: &InstanceId, now: Instant) -> bool {
        self.until.get(id).is_some_and(|until| now < *until)
    }
}
