//! Budget that limits retries to a small fraction of requests, so that they do not
//! amplify an overload.

/// Retries earned by each answered request, in thousandths.
const EARNED_PER_REQUEST: u64 = 100;
/// Cost of a retry, in thousandths.
const RETRY_COST: u64 = 1_000;
/// Largest balance, in thousandths of a retry.
const MAX_BALANCE: u64 = 10 * RETRY_COST;

/// A balance of retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    balance: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: MAX_BALANCE,
        }
    }
}

impl RetryBudget {
    /// Records an answered request.
    pub fn earn(&mut self) {
        self.balance = (self.balance + EARNED_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Pays for a retry; `false` if the balance is too low.
    pub fn try_spend(&mut self) -> bool {
        match self.balance.checked_sub(RETRY_COST) {
            Some(rest) => {
                self.balance = rest;
                true
            }
            None => false,
        }
    }
}
