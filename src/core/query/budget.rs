/// Tokens of a new budget: enough to retry the first failures of a node that has just started.
const START_TOKENS: f64 = 5.0;
/// Tokens always allowed to accumulate; more would let a quiet time save up for a burst of extra calls.
const BASE_TOKENS: f64 = 10.0;
/// Queries whose earnings may accumulate on top, so that one wide query can hedge its whole share.
const SAVED_QUERIES: f64 = 4.0;

/// Rate at which the bound forgets wide queries.
const MOST_DECAY: f64 = 0.99;

/// Tokens that pay for hedges and retries of one service on one entry node.
///
/// Each normal call earns a fraction of a token, so extra calls stay below that fraction of normal calls
/// in the long run, whatever fails.
#[derive(Clone, Debug)]
pub struct ExtraCallBudget {
    tokens: f64,
    /// Tokens that may accumulate, by the queries of late.
    most: f64,
}

impl ExtraCallBudget {
    /// Creates a budget with a few tokens.
    pub fn new() -> Self {
        Self {
            tokens: START_TOKENS,
            most: BASE_TOKENS,
        }
    }

    /// Adds what the `calls` normal calls of one query earn at `percent` extra calls.
    pub fn earn(&mut self, calls: u32, percent: f64) {
        let earned = f64::from(calls) * percent / 100.0;
        let most = BASE_TOKENS + SAVED_QUERIES * earned;
        self.most = most.max(self.most * MOST_DECAY);
        self.tokens = (self.tokens + earned).min(self.most.max(self.tokens));
    }

    /// Takes one token and returns whether there was one.
    pub fn spend(&mut self) -> bool {
        self.borrow(1)
    }

    /// Takes `tokens` if at least one is left, going into debt for the rest.
    ///
    /// A restart of a wide query costs more than may accumulate. The debt keeps the long-term bound:
    /// nothing else is paid before it is earned back.
    pub fn borrow(&mut self, tokens: u32) -> bool {
        let paid = tokens == 0 || self.tokens >= 1.0;
        if paid {
            self.tokens -= f64::from(tokens);
        }
        paid
    }

    /// Returns the token of an extra call that did not run.
    pub fn refund(&mut self) {
        self.tokens += 1.0;
    }

    /// Returns how full the budget is, 0 to 1.
    pub fn fill_ratio(&self) -> f64 {
        (self.tokens / self.most).clamp(0.0, 1.0)
    }

    /// Returns the tokens left, negative when in debt.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}

impl Default for ExtraCallBudget {
    fn default() -> Self {
        Self::new()
    }
}
