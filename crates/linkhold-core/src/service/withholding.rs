//! Withholding acknowledgements of a primary that another node is about to replace.
//!
//! A primary that is cut off goes on committing until it learns of its successor. A
//! node that reaches it again in the meantime would acknowledge commits that the
//! successor lacks. So the node that orders a promotion first has every node agree to
//! acknowledge nothing of the old primary for a while.
//!
//! # Invariant
//!
//! An order is sent less than [`ORDER_WINDOW`] after the question that all nodes agreed
//! to was sent. That is shorter than [`WITHHOLDING_PERIOD`] by more than an order
//! takes, and each node counts from when it answered, which is later. After that
//! period, a node that has learnt of no successor goes on only once it knows the list
//! of instances as of a moment at which a successor would have been in it. An asking
//! node that orders nothing says so, which ends the agreements to its question.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::failover::{MAX_ORDER_DELAY, PROMOTION_TIME};
use super::instance::InstanceId;

/// How long a node acknowledges nothing of an instance after it agreed, at the least:
/// [`ORDER_WINDOW`], the time in which an unanswered order may be carried out, and the
/// time that the platform takes to promote. The asking node ends it earlier, as soon as
/// it knows that its order can no longer take effect.
pub const WITHHOLDING_PERIOD: Duration = ORDER_WINDOW
    .saturating_add(MAX_ORDER_DELAY)
    .saturating_add(PROMOTION_TIME);
/// How soon after its question a node must have ordered the promotion.
pub const ORDER_WINDOW: Duration = Duration::from_millis(1_500);
/// How long a node that agrees to withhold may rely on an earlier failed attempt to
/// reach the instance instead of a new one.
pub const FAILURE_REUSE_PERIOD: Duration = Duration::from_millis(1_500);

/// Maximum delay until a promoted instance's entry states its new role: the entry is
/// written at once, and a write takes no longer.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(500);
/// How long an agreement is kept if its outcome never becomes known: an instance is
/// forgotten before that.
const AGREEMENT_RETENTION: Duration = Duration::from_secs(600);

/// Maximum number of released questions kept, so that a node that takes long to answer
/// does not agree to one of them afterwards.
const MAX_RELEASED: usize = 64;

/// Instances of which a node currently acknowledges nothing.
#[derive(Debug, Default)]
pub struct Withholdings {
    /// Questions whose senders order nothing, the latest last.
    released: VecDeque<u64>,
    /// When the node agreed to each question, by instance and by the question's number.
    agreed_at: HashMap<InstanceId, HashMap<u64, Instant>>,
}

impl Withholdings {
    /// Agrees to acknowledge nothing of an instance, in answer to a question.
    pub fn agree(&mut self, id: &InstanceId, number: u64, now: Instant) {
        self.retain(|_, agreed_at| now < agreed_at + AGREEMENT_RETENTION);
        if self.released.contains(&number) {
            return;
        }
        let questions = self.agreed_at.entry(id.clone()).or_default();
        questions.insert(number, now);
    }

    /// Records that the sender of a question orders nothing; returns whether that ends
    /// an agreement.
    pub fn release(&mut self, number: u64) -> bool {
        self.released.push_back(number);
        if self.released.len() > MAX_RELEASED {
            self.released.pop_front();
        }
        let count = |withholdings: &Self| -> usize {
            withholdings.agreed_at.values().map(HashMap::len).sum()
        };
        let before = count(self);
        self.retain(|question, _| question != number);
        count(self) < before
    }

    fn retain(&mut self, is_kept: impl Fn(u64, Instant) -> bool) {
        for questions in self.agreed_at.values_mut() {
            questions.retain(|number, agreed_at| is_kept(*number, *agreed_at));
        }
        self.agreed_at.retain(|_, questions| !questions.is_empty());
    }

    /// Whether acknowledgements of any instance are withheld.
    pub fn withholds_any(&self, now: Instant, directory_as_of: Option<Instant>) -> bool {
        let mut ids = self.agreed_at.keys();
        ids.any(|id| self.is_withheld(id, now, directory_as_of))
    }

    /// Whether nothing of an instance may be acknowledged. `directory_as_of` is the
    /// latest moment for which the list of instances is known.
    pub fn is_withheld(
        &self,
        id: &InstanceId,
        now: Instant,
        directory_as_of: Option<Instant>,
    ) -> bool {
        let Some(agreed_at) = self.agreed_at.get(id).and_then(|it| it.values().max()) else {
            return false;
        };
        let ends_at = *agreed_at + WITHHOLDING_PERIOD;
        let is_successor_known =
            directory_as_of.is_some_and(|as_of| as_of >= ends_at + ANNOUNCEMENT_DELAY);
        now < ends_at || !is_successor_known
    }
}
