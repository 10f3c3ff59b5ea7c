//! Budget that keeps retries a small fraction of requests, so that they never
//! multiply an overload.

/// Retries each answered request earns, in thousandths.
const EARNED_PER_REQUEST: u64 = 100;
/// Price of a retry, in thousandths.
const RETRY_PRICE: u64 = 1_000;
/// Most that is saved up, in thousandths.
const LARGEST_BALANCE: u64 = 10 * RETRY_PRICE;

/// A balance of retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    balance: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: LARGEST_BALANCE,
        }
    }
}

impl RetryBudget {
    /// A request was answered.
    pub fn earn(&mut self) {
        self.balance = (self.balance + EARNED_PER_REQUEST).min(LARGEST_BALANCE);
    }

    /// Takes the price of a retry; `false` if the balance does not cover it.
    pub fn try_spend(&mut self) -> bool {
        match self.balance.checked_sub(RETRY_PRICE) {
            Some(rest) => {
                self.balance = rest;
                true
            }
            None => false,
        }
    }
}
