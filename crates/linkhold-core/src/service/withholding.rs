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
//! nodes agreed to was sent. That is shorter than [`WITHHOLDING_PERIOD`] by more than
//! an order takes, and each node counts from when it answered, which is later.
//! After that time, a node that has heard of no successor goes on only once it
//! knows the list of instances as of a moment at which one would have been in it.
//! Whoever asked and orders nothing says so, which ends what it asked for.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::failover::MAX_ORDER_DELAY;
use super::instance::InstanceId;

/// How long a node acknowledges nothing of an instance after it agreed, at the least:
/// [`ORDER_WINDOW`], the time in which an order without an answer may be carried out,
/// and a second that the platform takes to promote. Whoever asked ends it before, as soon
/// as it knows that nothing of its order comes any more.
pub const WITHHOLDING_PERIOD: Duration = ORDER_WINDOW
    .saturating_add(MAX_ORDER_DELAY)
    .saturating_add(Duration::from_millis(1_000));
/// How soon after it asked the others a node must have ordered the promotion.
pub const ORDER_WINDOW: Duration = Duration::from_millis(1_500);
/// How long a failed try to reach an instance is as good as a new one for a
/// node that agrees to withhold.
pub const FAILURE_REUSE_PERIOD: Duration = Duration::from_millis(1_500);

/// How long after it leads a successor's entry says so, at the most: it is written at
/// once, and a write takes no longer.
const ANNOUNCEMENT: Duration = Duration::from_millis(500);
/// How long an agreement is remembered of whose outcome nothing is heard: an instance
/// is forgotten before that.
const MEMORY: Duration = Duration::from_secs(600);

/// Questions that are remembered as over, at the most: a node that takes long to answer
/// agrees to none of them any more.
const MOST_RELEASED: usize = 64;

/// Instances of which a node acknowledges nothing for now.
#[derive(Debug, Default)]
pub struct Withholdings {
    /// Questions whose askers order nothing, the latest last.
    released: VecDeque<u64>,
    /// When the node agreed to each question, by its number.
    agreed_at: HashMap<InstanceId, HashMap<u64, Instant>>,
}

impl Withholdings {
    /// The node agrees to acknowledge nothing of an instance, to a question with a number.
    pub fn agree(&mut self, id: &InstanceId, number: u64, now: Instant) {
        self.keep(|_, agreed_at| now < agreed_at + MEMORY);
        if self.released.contains(&number) {
            return;
        }
        let questions = self.agreed_at.entry(id.clone()).or_default();
        questions.insert(number, now);
    }

    /// Whoever asked with a number orders nothing; whether that ends an agreement.
    pub fn release(&mut self, number: u64) -> bool {
        self.released.push_back(number);
        if self.released.len() > MOST_RELEASED {
            self.released.pop_front();
        }
        let count = |withholdings: &Self| -> usize {
            withholdings.agreed_at.values().map(HashMap::len).sum()
        };
        let before = count(self);
        self.keep(|question, _| question != number);
        count(self) < before
    }

    fn keep(&mut self, is_kept: impl Fn(u64, Instant) -> bool) {
        for questions in self.agreed_at.values_mut() {
            questions.retain(|number, agreed_at| is_kept(*number, *agreed_at));
        }
        self.agreed_at.retain(|_, questions| !questions.is_empty());
    }

    /// Whether this holds for any instance.
    pub fn withholds_any(&self, now: Instant, directory_as_of: Option<Instant>) -> bool {
        let mut ids = self.agreed_at.keys();
        ids.any(|id| self.is_withheld(id, now, directory_as_of))
    }

    /// Whether nothing of an instance may be acknowledged. `directory_as_of` is the last
    /// moment as of which the list of instances is known.
    pub fn is_withheld(
        &self,
        id: &InstanceId,
        now: Instant,
        directory_as_of: Option<Instant>,
    ) -> bool {
        let Some(agreed_at) = self.agreed_at.get(id).and_then(|it| it.values().max()) else {
            return false;
        };
        let over = *agreed_at + WITHHOLDING_PERIOD;
        let would_know = directory_as_of.is_some_and(|as_of| as_of >= over + ANNOUNCEMENT);
        now < over || !would_know
    }
}
